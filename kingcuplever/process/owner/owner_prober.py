"""Asks the owner's entry, over a direct link, whether it still decides.

An owner that ends closes its link at once, and one that is cut from the log
says so; the log alone shows either by a silence only.
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

# An answer that takes longer counts as none; several times that of a host
# that is slowed down.
_ANSWER_S: Final = 0.4
# Pause before a link that has ended is dialled again.
_RETRY_S: Final = 0.1
# How long a link to a former owner's entry stays open for its sake; over the
# time that one host is cut from the log.
_KEEP_S: Final = 60.0
# How often an owner is asked, if it does not say.
_PERIOD_S: Final = 0.25
# Probes that an owner answers in a second, whatever the number of askers;
# about half a hundredth of a core.
_PROBES_PER_S: Final = 25.0


class OwnerProber:
    """Keeps one link to the present owner's entry, if that is another."""

    def __init__(
        self,
        name: str,
        board: job_table.JobTable,
        links: entry_links.EntryLinks,
        serve: peers.Handler = peers.reject_requests,
    ) -> None:
        """Ask nobody yet.

        :param name: of this entry, which need not ask itself.
        :param links: are told of the link to the owner's entry.
        :param serve: serves what the owner's entry asks over that link.
        """
        self._name = name
        self._board = board
        self._links = links
        self._serve = serve
        self._result = failure_detector.ProbeResult(
            failure_detector.ProbeOutcome.NO_ANSWER
        )
        self._epoch = -1
        self._result_at = float("-inf")
        self._period_s = _PERIOD_S

    def get_result(self, now: float) -> failure_detector.ProbeResult:
        """Give what the present owner's entry said last."""
        owner = self._board.owner
        silent_s = now - self._result_at
        is_of_owner = owner is not None and owner.epoch == self._epoch
        if not is_of_owner or silent_s > self._period_s + _ANSWER_S:
            return failure_detector.ProbeResult(
                failure_detector.ProbeOutcome.NO_ANSWER
            )
        return self._result

    async def run(self) -> None:
        """Ask until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                changed = self._board.owner_changed
                owner = self._board.owner
                if owner is None or owner.entry == self._name:
                    await changed.wait()
                    continue
                asked = trio.Event()
                nursery.start_soon(self._follow, owner, asked)
                await asked.wait()
                await trio.sleep(_RETRY_S)

    async def _follow(
        self, owner: job_records.Owner, asked: trio.Event
    ) -> None:
        """Ask one owner, then leave it the link for a while.

        :param asked: set once the link has ended, or another owns.
        """
        try:
            stream = await self._dial(owner)
            if stream is None:
                return
            async with peers.run_peer(stream, self._serve) as peer:
                self._links.set_owner_link(peer)
                try:
                    await self._ask(peer, owner.epoch)
                finally:
                    self._links.remove_link(peer)
                    asked.set()
                # A former owner that is cut from the log knows no others.
                await trio.sleep(_KEEP_S)
        except* errors.KingcupleverError as group:
            text = f"No word of {owner.entry}: {group.exceptions[0]}"
            logs.info(logs.Component.OWNER, text)
        finally:
            asked.set()

    async def _dial(
        self, owner: job_records.Owner
    ) -> trio.SocketStream | None:
        host, port = options.split_address(owner.address)
        try:
            with trio.fail_after(_ANSWER_S):
                return await trio.open_tcp_stream(host, port)
        except trio.TooSlowError:
            return None
        except OSError as error:
            if _is_refused(error):
                gone = failure_detector.ProbeResult(
                    failure_detector.ProbeOutcome.NOT_OWNER
                )
                self._set_result(owner.epoch, gone)
            return None

    async def _ask(self, peer: peers.PeerConnection, epoch: int) -> None:
        while True:
            changed = self._board.owner_changed
            present = self._board.owner
            if present is None or present.epoch != epoch:
                return
            wanted = messages.OwnerProbe(epoch)
            status = await peer.call(wanted, _ANSWER_S)
            if not isinstance(status, messages.OwnerStatus):
                raise errors.InvalidRequest("An owner's entry says no status.")
            self._period_s = status.next_ms / 1000
            self._set_result(epoch, _read_status(status, trio.current_time()))
            with trio.move_on_after(self._period_s):
                await changed.wait()

    def _set_result(
        self, epoch: int, told: failure_detector.ProbeResult
    ) -> None:
        if (epoch, told.outcome) != (self._epoch, self._result.outcome):
            text = f"The owner of epoch {epoch} {told.outcome.value}."
            logs.info(logs.Component.OWNER, text)
        self._epoch = epoch
        self._result = told
        self._result_at = trio.current_time()


def make_status(
    links: entry_links.EntryLinks, owns: bool, failing_s: float, tries: int
) -> messages.OwnerStatus:
    """Answer a probe; the more entries ask, the less often each may.

    :param failing_s: for how long the present append has been failing.
    :param tries: tries of it that failed.
    """
    period_s = max(_PERIOD_S, links.prober_count / _PROBES_PER_S)
    return messages.OwnerStatus(
        owns, int(failing_s * 1000), tries, int(period_s * 1000)
    )


def _read_status(
    status: messages.OwnerStatus, now: float
) -> failure_detector.ProbeResult:
    if not status.owns:
        return failure_detector.ProbeResult(
            failure_detector.ProbeOutcome.NOT_OWNER
        )
    failing_s = status.failing_ms / 1000
    cut = failing_s >= failure_detector.APPEND_FAILURE_S
    if cut or status.failed_tries >= failure_detector.MAX_FAILED_TRIES:
        return failure_detector.ProbeResult(
            failure_detector.ProbeOutcome.APPEND_FAILING, now - failing_s
        )
    return failure_detector.ProbeResult(failure_detector.ProbeOutcome.OWNS)


def _is_refused(error: OSError) -> bool:
    """Tell whether nobody listens at an address that can be reached."""
    cause = error.__cause__
    if isinstance(cause, BaseExceptionGroup):
        return all(
            isinstance(one, ConnectionRefusedError) for one in cause.exceptions
        )
    return isinstance(cause or error, ConnectionRefusedError)
