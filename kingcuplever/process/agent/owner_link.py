"""A side's connection to the owner, the entry that schedules its worker.

The side learns from the log which entry is the owner, connects to it, and
reports its worker's tasks on every change and at least once per period.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Final

import trio

from kingcuplever import clock
from kingcuplever.connection import keyed_log
from kingcuplever.connection import peer as peers
from kingcuplever import containment
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import options
from kingcuplever.process.agent import worker_agent
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import owner_announcements

# How long one read waits for an announcement.  Long, since sides are many and
# owners change rarely; bounds how long a dead connection hides a new owner.
POLL_MS: Final = 4000
# Short, since announcements are rare and should be read at once.
READ_PAUSE_S: Final = 0.02

# Longest time between two reports.  The owner places no work on a worker
# that has not reported for several of these periods.
_REPORT_PERIOD_S: Final = 1.0
# Timeout of a report; the connection is then opened again.
_REPLY_TIMEOUT_S: Final = 1.5
_RECONNECT_PAUSE_S: Final = 0.25


class OwnerSink:
    """Keeps the newest owner announcement of the topic.

    :ivar changed: set, and replaced, whenever a newer epoch is announced.
    """

    def __init__(
        self,
        agent: worker_agent.WorkerAgent | None = None,
        barrier: containment.ErrorBarrier | None = None,
    ) -> None:
        """Start without an owner.

        :param agent: learns the evacuations that owners announce.
        :param barrier: contains the errors of single records.
        """
        self.owner: job_records.Owner | None = None
        self.changed = trio.Event()
        self._agent = agent
        self._barrier = barrier or containment.ErrorBarrier()

    def apply_records(self, records: Sequence[keyed_log.StoredRecord]) -> None:
        """Apply announcements; an older epoch changes nothing."""
        for stored in records:
            with self._barrier.contain("announcement", stored.key):
                self._apply_stored(stored)

    def _apply_stored(self, stored: keyed_log.StoredRecord) -> None:
        """Apply one announcement; ignore one that can't be decoded."""
        try:
            if stored.key == owner_announcements.EVACUATIONS_KEY:
                self._apply_evacuations(stored)
                return
            record = job_records.decode_record(stored)
        except ValueError as error:
            text = f"Owner announcement ignored: {error}"
            logs.warn(logs.Component.OWNER, text)
            return
        if not isinstance(record, job_records.Owner):
            return
        if self.owner is None or record.epoch > self.owner.epoch:
            self.owner = record
            self.changed.set()
            self.changed = trio.Event()

    def begin_snapshot(self, end: int) -> None:
        """Keep the current owner; its record is delivered again."""

    def _apply_evacuations(self, stored: keyed_log.StoredRecord) -> None:
        evacuations = owner_announcements.decode_evacuations(stored)
        if self._agent is not None:
            self._agent.record_evacuations(evacuations)


class OwnerLink:
    """Keeps one connection to the current owner."""

    def __init__(
        self,
        sink: OwnerSink,
        agent: worker_agent.WorkerAgent,
        resolve_address: Callable[[job_records.Owner], str] | None = None,
    ) -> None:
        """Connect an agent to the owner that the sink has received.

        :param resolve_address: returns an owner's address; the announced one
            is used if absent.
        """
        self._resolve_address = resolve_address
        self._sink = sink
        self._agent = agent

    async def run(self) -> None:
        """Stay connected to the current owner until cancelled."""
        while True:
            owner = self._sink.owner
            changed = self._sink.changed
            if owner is None:
                await changed.wait()
                continue
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_event, changed, nursery)
                await self._connect_and_report(owner)
                await trio.sleep(_RECONNECT_PAUSE_S)
                nursery.cancel_scope.cancel()

    async def _connect_and_report(self, owner: job_records.Owner) -> None:
        """Connect to an owner and report until the connection ends."""
        address = (
            owner.address
            if self._resolve_address is None
            else self._resolve_address(owner)
        )
        host, port = options.split_address(address)
        try:
            with trio.fail_after(_REPLY_TIMEOUT_S):
                stream = await trio.open_tcp_stream(host, port)
        except (OSError, trio.TooSlowError) as error:
            text = f"Can't connect to owner {owner.entry}: {error!r}"
            logs.warn(logs.Component.OWNER, text)
            if isinstance(error.__cause__, ConnectionRefusedError):
                self._agent.record_host_contact()
            return
        try:
            async with peers.run_peer(stream, self._handle_message) as peer:
                await self._send_reports(peer, owner)
        except* errors.KingcupleverError as group:
            text = f"Connection to {owner.entry} ended: {group.exceptions[0]}"
            logs.warn(logs.Component.OWNER, text)

    async def _send_reports(
        self, peer: peers.PeerConnection, owner: job_records.Owner
    ) -> None:
        text = f"Connected to {owner.entry}, epoch {owner.epoch}."
        logs.info(logs.Component.OWNER, text)
        is_first = True
        while True:
            changed = self._agent.changed
            rows = self._agent.make_reports()
            if rows and is_first:
                # The owner applies no report before the side has shown, by
                # the next one, that it received a reply on this connection.
                await _send_report(peer, rows[0])
                is_first = False
            for row in rows:
                # The owner waits for the next report from when it received
                # this one, and a successor from its claim on the log; so it
                # is neither the reply's arrival nor its sending that counts.
                sent_at = clock.read_moment()
                reply = await _send_report(peer, row)
                self._agent.record_host_contact()
                if reply.recorded is not False:
                    self._agent.mark_reported(row)
                age_s = (reply.proof_age_ms or 0) / 1000
                if row.gone:
                    # The owner counts from reports on the current incarnation.
                    self._agent.record_epoch(reply.epoch)
                    continue
                self._agent.record_owner_contact(
                    reply.epoch, sent_at.subtract(age_s)
                )
            if not rows:
                # Orders and the first poll of the worker need an epoch.
                self._agent.record_epoch(owner.epoch)
            with trio.move_on_after(_REPORT_PERIOD_S):
                await changed.wait()

    async def _handle_message(
        self, peer: peers.PeerConnection, message: messages.Message
    ) -> messages.Message:
        if not isinstance(message, messages.WorkerOrders):
            raise errors.InvalidRequest(
                "A side accepts only orders from the owner."
            )
        if not self._agent.apply_orders(message):
            raise errors.ExecutorFenced("The orders' epoch is stale.")
        return messages.OrdersTaken(message.number)


async def _send_report(
    peer: peers.PeerConnection, row: messages.WorkerReport
) -> messages.WorkerReply:
    """Send a report and return the owner's reply."""
    reply = await peer.call(row, _REPLY_TIMEOUT_S)
    if not isinstance(reply, messages.WorkerReply):
        raise errors.InvalidRequest("The owner sent no reply to a report.")
    return reply


async def _cancel_on_event(event: trio.Event, nursery: trio.Nursery) -> None:
    await event.wait()
    nursery.cancel_scope.cancel()
