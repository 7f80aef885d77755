"""Probes the owner's entry over a direct connection.

A failure shows sooner this way than by missing records on the log: a process
that ends closes its connection at once, and an owner that can't append to the
log reports it.
"""

from typing import Final

import trio

from kingcuplever.connection import peer as peers
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import options
from kingcuplever.process import entry_links
from kingcuplever.process.owner import failure_detector
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table

# Timeout of a probe; several times the response time of a slowed-down host.
_PROBE_TIMEOUT_S: Final = 0.4
# Pause before a closed connection is opened again.
_RECONNECT_S: Final = 0.1
# How long the connection to a former owner's entry stays open, so that it can
# send requests; longer than a host stays disconnected from the log.
_LINGER_S: Final = 60.0
# Time between probes, unless the owner's answer gives a longer one.
_PROBE_PERIOD_S: Final = 0.25
# Probes that an owner answers per second, however many entries send them;
# about 0.5 % of a core.
_MAX_PROBES_PER_S: Final = 25.0


class OwnerProber:
    """Keeps a connection to the owner's entry, unless it is this one."""

    def __init__(
        self,
        name: str,
        table: job_table.JobTable,
        links: entry_links.EntryLinks,
        serve: peers.Handler = peers.reject_requests,
    ) -> None:
        """Create a prober that is not connected yet.

        :param name: name of this entry, which is not probed.
        :param links: records the connection to the owner's entry.
        :param serve: handles requests from the owner's entry.
        """
        self._name = name
        self._table = table
        self._links = links
        self._serve = serve
        self._result = failure_detector.ProbeResult(
            failure_detector.ProbeOutcome.NO_ANSWER
        )
        self._epoch = -1
        self._result_at = float("-inf")
        self._period_s = _PROBE_PERIOD_S

    def get_result(self, now: float) -> failure_detector.ProbeResult:
        """Return the newest probe result of the current owner.

        A result that is overdue, or of another epoch, counts as no answer.
        """
        owner = self._table.owner
        age_s = now - self._result_at
        is_current = owner is not None and owner.epoch == self._epoch
        if not is_current or age_s > self._period_s + _PROBE_TIMEOUT_S:
            return failure_detector.ProbeResult(
                failure_detector.ProbeOutcome.NO_ANSWER
            )
        return self._result

    async def run(self) -> None:
        """Probe whichever entry owns, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                changed = self._table.owner_changed
                owner = self._table.owner
                if owner is None or owner.entry == self._name:
                    await changed.wait()
                    continue
                released = trio.Event()
                nursery.start_soon(self._run_connection, owner, released)
                await released.wait()
                await trio.sleep(_RECONNECT_S)

    async def _run_connection(
        self, owner: job_records.Owner, released: trio.Event
    ) -> None:
        """Probe one owner, then keep the connection open for a while.

        :param released: set once the connection has ended, or the epoch has
            changed.
        """
        try:
            stream = await self._connect(owner)
            if stream is None:
                return
            async with peers.run_peer(stream, self._serve) as peer:
                self._links.set_owner_link(peer)
                try:
                    await self._probe(peer, owner.epoch)
                finally:
                    self._links.remove_link(peer)
                    released.set()
                # A former owner without access to the log has no other way to
                # reach the entries.
                await trio.sleep(_LINGER_S)
        except* errors.KingcupleverError as group:
            text = f"No word of {owner.entry}: {group.exceptions[0]}"
            logs.info(logs.Component.OWNER, text)
        finally:
            released.set()

    async def _connect(
        self, owner: job_records.Owner
    ) -> trio.SocketStream | None:
        host, port = options.split_address(owner.address)
        try:
            with trio.fail_after(_PROBE_TIMEOUT_S):
                return await trio.open_tcp_stream(host, port)
        except trio.TooSlowError:
            return None
        except OSError as error:
            if _is_refused(error):
                not_owner = failure_detector.ProbeResult(
                    failure_detector.ProbeOutcome.NOT_OWNER
                )
                self._set_result(owner.epoch, not_owner)
            return None

    async def _probe(self, peer: peers.PeerConnection, epoch: int) -> None:
        while True:
            changed = self._table.owner_changed
            current = self._table.owner
            if current is None or current.epoch != epoch:
                return
            probe = messages.OwnerProbe(epoch)
            status = await peer.call(probe, _PROBE_TIMEOUT_S)
            if not isinstance(status, messages.OwnerStatus):
                raise errors.InvalidRequest(
                    "The reply to an owner probe is no owner status."
                )
            self._period_s = status.next_ms / 1000
            self._set_result(
                epoch, _evaluate_status(status, trio.current_time())
            )
            with trio.move_on_after(self._period_s):
                await changed.wait()

    def _set_result(
        self, epoch: int, result: failure_detector.ProbeResult
    ) -> None:
        if (epoch, result.outcome) != (self._epoch, self._result.outcome):
            text = f"The owner of epoch {epoch} {result.outcome.value}."
            logs.info(logs.Component.OWNER, text)
        self._epoch = epoch
        self._result = result
        self._result_at = trio.current_time()


def make_status(
    links: entry_links.EntryLinks, owns: bool, failing_s: float, tries: int
) -> messages.OwnerStatus:
    """Make the reply to a probe.

    The time until the next probe grows with the number of probing entries.

    :param failing_s: how long the current append has been failing.
    :param tries: failed tries of that append.
    """
    period_s = max(_PROBE_PERIOD_S, links.prober_count / _MAX_PROBES_PER_S)
    return messages.OwnerStatus(
        owns, int(failing_s * 1000), tries, int(period_s * 1000)
    )


def _evaluate_status(
    status: messages.OwnerStatus, now: float
) -> failure_detector.ProbeResult:
    if not status.owns:
        return failure_detector.ProbeResult(
            failure_detector.ProbeOutcome.NOT_OWNER
        )
    failing_s = status.failing_ms / 1000
    is_failing = failing_s >= failure_detector.APPEND_FAILURE_S
    if is_failing or status.failed_tries >= failure_detector.MAX_FAILED_TRIES:
        return failure_detector.ProbeResult(
            failure_detector.ProbeOutcome.APPEND_FAILING, now - failing_s
        )
    return failure_detector.ProbeResult(failure_detector.ProbeOutcome.OWNS)


def _is_refused(error: OSError) -> bool:
    """Return whether the host was reached but refused the connection."""
    cause = error.__cause__
    if isinstance(cause, BaseExceptionGroup):
        return all(
            isinstance(item, ConnectionRefusedError)
            for item in cause.exceptions
        )
    return isinstance(cause or error, ConnectionRefusedError)
