"""A side's link to the entry that schedules its worker.

The side learns from the log who owns, dials that entry, and reports its
worker on every change and at least once a period.
"""

from collections.abc import Callable
from collections.abc import Sequence
import json
from typing import Final

import trio

from kingcuplever.connection import keyed_log
from kingcuplever.connection import peer as peers
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import options
from kingcuplever.process.agent import worker_agent
from kingcuplever.process.stored import job_records

TOPIC: Final = "owner"

# Sides are many and owners change rarely; a silent connection hides a new
# owner for this long at most, in milliseconds.
POLL_MS: Final = 4000
# Announcements are few; they are read as soon as they come.
READ_PAUSE_S: Final = 0.02

# A side reports at least so often; the owner places no work on a worker
# that it has not heard for some of these.
_PERIOD_S: Final = 1.0
# How long a report may stay unanswered before the link is dialled anew.
_ANSWER_S: Final = 1.5
_RECONNECT_S: Final = 0.25


def make_announcement(owner: job_records.Owner) -> keyed_log.KeyedRecord:
    """Make the record that tells sides who owns."""
    data = json.dumps(list(owner), separators=(",", ":")).encode()
    return keyed_log.KeyedRecord(job_records.OWNER_KEY, data)


class OwnerSink:
    """Remembers the newest announcement of an owner."""

    def __init__(self) -> None:
        """Know no owner yet."""
        self.owner: job_records.Owner | None = None
        self.changed = trio.Event()

    def apply_records(self, records: Sequence[keyed_log.StoredRecord]) -> None:
        """Apply records of the topic."""
        for stored in records:
            try:
                record = job_records.decode_record(stored)
            except ValueError as error:
                logs.warn(logs.Component.OWNER, f"Left out: {error}")
                continue
            if not isinstance(record, job_records.Owner):
                continue
            if self.owner is None or record.epoch > self.owner.epoch:
                self.owner = record
                self.changed.set()
                self.changed = trio.Event()

    def begin_snapshot(self) -> None:
        """Expect the newest record again; what is known stays."""


class OwnerLink:
    """Keeps one connection to the present owner."""

    def __init__(
        self,
        sink: OwnerSink,
        agent: worker_agent.WorkerAgent,
        resolve_address: Callable[[job_records.Owner], str] | None = None,
    ) -> None:
        """Link an agent to whoever owns.

        :param find: gives an owner's address, where it is not as announced.
        """
        self._find = resolve_address
        self._sink = sink
        self._agent = agent

    async def run(self) -> None:
        """Keep linked until cancelled."""
        while True:
            owner = self._sink.owner
            changed = self._sink.changed
            if owner is None:
                await changed.wait()
                continue
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_when, changed, nursery)
                await self._live(owner)
                await trio.sleep(_RECONNECT_S)
                nursery.cancel_scope.cancel()

    async def _live(self, owner: job_records.Owner) -> None:
        """Dial an owner and report until the link ends."""
        address = owner.address if self._find is None else self._find(owner)
        host, port = options.split_address(address)
        try:
            with trio.fail_after(_ANSWER_S):
                stream = await trio.open_tcp_stream(host, port)
        except (OSError, trio.TooSlowError) as error:
            text = f"Owner {owner.entry} can't be dialled: {error!r}"
            logs.warn(logs.Component.OWNER, text)
            return
        try:
            async with peers.run_peer(stream, self._serve) as peer:
                await self._report(peer, owner)
        except* errors.KingcupleverError as group:
            text = f"Link to {owner.entry} ended: {group.exceptions[0]}"
            logs.warn(logs.Component.OWNER, text)

    async def _report(
        self, peer: peers.PeerConnection, owner: job_records.Owner
    ) -> None:
        text = f"Linked to {owner.entry}, epoch {owner.epoch}."
        logs.info(logs.Component.OWNER, text)
        while True:
            changed = self._agent.changed
            rows = self._agent.make_reports()
            for row in rows:
                reply = await peer.call(row, _ANSWER_S)
                if not isinstance(reply, messages.WorkerReply):
                    raise errors.InvalidRequest("The owner sent no reply.")
                self._agent.mark_reported(row)
                self._agent.record_owner_contact(reply.epoch)
            if not rows:
                # Orders need an epoch, and so does the first list.
                self._agent.record_owner_contact(owner.epoch)
            with trio.move_on_after(_PERIOD_S):
                await changed.wait()

    async def _serve(
        self, peer: peers.PeerConnection, message: messages.Message
    ) -> messages.Message:
        if not isinstance(message, messages.WorkerOrders):
            raise errors.InvalidRequest("A side takes orders only.")
        if not self._agent.apply_orders(message):
            raise errors.ExecutorFenced("A newer owner is known here.")
        return messages.OrdersTaken(message.number)


async def _cancel_when(event: trio.Event, nursery: trio.Nursery) -> None:
    await event.wait()
    nursery.cancel_scope.cancel()
