"""The task that owns an entry's router.

Requests ask it for a target and give the slot back; links hand it their
heartbeats.  All of it comes through one inbox.
"""

import enum
from typing import Final
from typing import NamedTuple

import trio

from kingcuplever import messages
from kingcuplever.process.routing import router as routers
from kingcuplever.version import configuration

_TICK_INTERVAL_S: Final = 0.05
_INBOX_CAPACITY: Final = 10_000

_Waiter = trio.MemorySendChannel[routers.RoutingDecision]


class _Acquire(NamedTuple):
    ticket: routers.Ticket
    waiter: _Waiter


class _SlotUse(enum.Enum):
    USED = "answered"
    UNUSED = "unused"
    FULL = "full"


class _Release(NamedTuple):
    assignment: routers.Assignment
    latency_s: float | None
    use: _SlotUse


class _Cancel(NamedTuple):
    ticket: routers.Ticket


class _HeartbeatReceived(NamedTuple):
    heartbeat: messages.Heartbeat


class _SideLost(NamedTuple):
    side: str


class _ConfigChange(NamedTuple):
    config: configuration.Configuration


class _Describe(NamedTuple):
    waiter: trio.MemorySendChannel[list[dict[str, object]]]


_InboxMessage = (
    _Acquire
    | _Release
    | _Cancel
    | _HeartbeatReceived
    | _SideLost
    | _ConfigChange
    | _Describe
)


class RouterTask:
    """Owns the router of one entry."""

    def __init__(self, data_centre: str) -> None:
        """Start without targets.

        :param data_centre: the entry's own.
        """
        self._router = routers.Router(data_centre)
        self._send, self._receive = trio.open_memory_channel[_InboxMessage](
            _INBOX_CAPACITY
        )
        self._waiters: dict[int, _Waiter] = {}

    async def run(self) -> None:
        """Serve the inbox until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            async for message in self._receive:
                self._handle_message(message, trio.current_time())

    async def acquire(
        self,
        service: str,
        priority: routers.Priority,
        deadline: float,
        avoid: frozenset[routers.TargetId],
        number: int = 0,
    ) -> routers.RoutingDecision:
        """Wait for a target, or for a refusal.

        :param number: of the request's earlier ticket, to keep its place.
        """
        ticket = routers.Ticket(
            number or self._router.next_number(),
            service,
            priority,
            deadline,
            avoid,
        )
        send, receive = trio.open_memory_channel[routers.RoutingDecision](1)
        await self._send.send(_Acquire(ticket, send))
        try:
            return await receive.receive()
        except trio.Cancelled:
            self._send.send_nowait(_Cancel(ticket))
            raise

    def release(
        self, assignment: routers.Assignment, latency_s: float | None
    ) -> None:
        """Give a slot back after an answer, or after none."""
        back = _SlotUse.USED
        self._send.send_nowait(_Release(assignment, latency_s, back))

    def release_unused(self, assignment: routers.Assignment) -> None:
        """Give back a slot that no request was sent to."""
        self._send.send_nowait(_Release(assignment, None, _SlotUse.UNUSED))

    def release_as_full(self, assignment: routers.Assignment) -> None:
        """Give back a slot that the side refused."""
        self._send.send_nowait(_Release(assignment, None, _SlotUse.FULL))

    async def apply_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Hand over a side's heartbeat."""
        await self._send.send(_HeartbeatReceived(heartbeat))

    async def remove_side(self, side: str) -> None:
        """Say that a side is not heard any more."""
        await self._send.send(_SideLost(side))

    async def set_config(self, config: configuration.Configuration) -> None:
        """Use a new version of the configuration."""
        await self._send.send(_ConfigChange(config))

    async def describe(self) -> list[dict[str, object]]:
        """Give every target as a row for operators."""
        send, receive = trio.open_memory_channel[list[dict[str, object]]](1)
        await self._send.send(_Describe(send))
        return await receive.receive()

    def count_queued(self) -> int:
        """Count the waiting requests, for metrics."""
        return self._router.count_queued()

    async def _tick(self) -> None:
        while True:
            await trio.sleep(_TICK_INTERVAL_S)
            if self._waiters:
                self._deliver_decisions(self._router.tick(trio.current_time()))

    def _handle_message(self, message: _InboxMessage, now: float) -> None:
        if isinstance(message, _Acquire):
            self._acquire(message, now)
        elif isinstance(message, _Release):
            self._deliver_decisions(self._release(message, now))
        elif isinstance(message, _Cancel):
            self._cancel(message.ticket)
        elif isinstance(message, _HeartbeatReceived):
            self._deliver_decisions(
                self._router.apply_heartbeat(message.heartbeat, now)
            )
        elif isinstance(message, _SideLost):
            self._router.remove_side(message.side)
        elif isinstance(message, _ConfigChange):
            self._router.set_config(message.config)
        else:
            message.waiter.send_nowait(self._router.describe(now))

    def _release(
        self, message: _Release, now: float
    ) -> list[routers.RoutingDecision]:
        assignment = message.assignment
        if message.use is _SlotUse.FULL:
            return self._router.release_as_full(assignment, now)
        if message.use is _SlotUse.UNUSED:
            return self._router.release_unused(assignment, now)
        return self._router.release(assignment, message.latency_s, now)

    def _acquire(self, message: _Acquire, now: float) -> None:
        verdict = self._router.acquire(message.ticket, now)
        if verdict is None:
            self._waiters[message.ticket.number] = message.waiter
        else:
            message.waiter.send_nowait(verdict)

    def _cancel(self, ticket: routers.Ticket) -> None:
        """Take a caller out that has gone away."""
        if self._waiters.pop(ticket.number, None) is not None:
            self._router.cancel(ticket)

    def _deliver_decisions(
        self, verdicts: list[routers.RoutingDecision]
    ) -> None:
        now = trio.current_time()
        while verdicts:
            verdict = verdicts.pop()
            waiter = self._waiters.pop(verdict.ticket.number, None)
            if waiter is not None:
                waiter.send_nowait(verdict)
            elif isinstance(verdict, routers.Assignment):
                # Nobody waits for the slot any more.
                verdicts += self._router.release_unused(verdict, now)
