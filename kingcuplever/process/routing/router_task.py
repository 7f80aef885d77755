"""The task that owns an entry's router and serializes access to it.

Request handlers acquire and release slots, and links pass on heartbeats; all
of these arrive as messages in one inbox.
"""

import enum
from typing import Final
from typing import NamedTuple

import trio

from kingcuplever import containment
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
    decisions: trio.MemoryReceiveChannel[routers.RoutingDecision]


class _HeartbeatReceived(NamedTuple):
    heartbeat: messages.Heartbeat


class _SideLost(NamedTuple):
    side: str


class _ConfigChange(NamedTuple):
    config: configuration.Configuration


class _EvacuationsChange(NamedTuple):
    data_centres: tuple[str, ...]


class _Describe(NamedTuple):
    waiter: trio.MemorySendChannel[list[dict[str, object]]]


_InboxMessage = (
    _Acquire
    | _Release
    | _Cancel
    | _HeartbeatReceived
    | _SideLost
    | _ConfigChange
    | _EvacuationsChange
    | _Describe
)


class RouterTask:
    """Runs the router of one entry behind an inbox."""

    def __init__(
        self,
        data_centre: str,
        barrier: containment.ErrorBarrier | None = None,
    ) -> None:
        """Start without targets.

        :param data_centre: data centre of the entry.
        :param barrier: contains the errors of single messages.
        """
        self._barrier = barrier or containment.ErrorBarrier()
        self._router = routers.Router(data_centre)
        self._send, self._receive = trio.open_memory_channel[_InboxMessage](
            _INBOX_CAPACITY
        )
        self._waiters: dict[int, _Waiter] = {}

    async def run(self) -> None:
        """Handle the inbox's messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            async for message in self._receive:
                with self._barrier.contain("route", type(message).__name__):
                    self._handle_message(message, trio.current_time())

    async def acquire(
        self,
        service: str,
        priority: routers.Priority,
        deadline: float,
        avoid: frozenset[routers.TargetId],
        number: int = 0,
    ) -> routers.RoutingDecision:
        """Wait until the request gets a slot at a target, or is refused.

        :param deadline: monotonic time after which it must not start.
        :param avoid: targets that have refused the request before.
        :param number: number of the request's earlier ticket, which keeps its
            place in the queue; 0 for a new one.
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
            self._send.send_nowait(_Cancel(ticket, receive))
            raise

    def release(
        self, assignment: routers.Assignment, latency_s: float | None
    ) -> None:
        """Release the slot of a request that was sent.

        :param latency_s: time to the answer; ``None`` if there was none, or
            if the target failed.
        """
        use = _SlotUse.USED
        self._send.send_nowait(_Release(assignment, latency_s, use))

    def release_unused(self, assignment: routers.Assignment) -> None:
        """Release a slot for which no request was sent."""
        self._send.send_nowait(_Release(assignment, None, _SlotUse.UNUSED))

    def release_as_full(self, assignment: routers.Assignment) -> None:
        """Release a slot that the side refused, as its target was full."""
        self._send.send_nowait(_Release(assignment, None, _SlotUse.FULL))

    async def apply_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Update the targets of a side from its heartbeat."""
        await self._send.send(_HeartbeatReceived(heartbeat))

    async def remove_side(self, side: str) -> None:
        """Remove the targets of a side that is no longer connected."""
        await self._send.send(_SideLost(side))

    async def set_config(self, config: configuration.Configuration) -> None:
        """Replace the configuration."""
        await self._send.send(_ConfigChange(config))

    async def set_evacuations(self, data_centres: tuple[str, ...]) -> None:
        """Replace the evacuated data centres, whose targets get nothing."""
        await self._send.send(_EvacuationsChange(data_centres))

    async def describe(self) -> list[dict[str, object]]:
        """List all targets as rows for operators."""
        send, receive = trio.open_memory_channel[list[dict[str, object]]](1)
        await self._send.send(_Describe(send))
        return await receive.receive()

    def has_service(self, service: str) -> bool:
        """Return whether a target of a service has been here."""
        return self._router.has_service(service)

    def count_queued(self) -> int:
        """Count the queued requests, for metrics."""
        return self._router.count_queued()

    async def _tick(self) -> None:
        while True:
            await trio.sleep(_TICK_INTERVAL_S)
            if self._waiters:
                with self._barrier.contain("route", "tick"):
                    self._deliver_decisions(
                        self._router.tick(trio.current_time())
                    )

    def _handle_message(self, message: _InboxMessage, now: float) -> None:
        if isinstance(message, _Acquire):
            self._acquire(message, now)
        elif isinstance(message, _Release):
            self._deliver_decisions(self._release(message, now))
        elif isinstance(message, _Cancel):
            self._cancel(message, now)
        elif isinstance(message, _HeartbeatReceived):
            self._deliver_decisions(
                self._router.apply_heartbeat(message.heartbeat, now)
            )
        elif isinstance(message, _SideLost):
            self._router.remove_side(message.side)
        elif isinstance(message, _ConfigChange):
            self._router.set_config(message.config)
        elif isinstance(message, _EvacuationsChange):
            self._deliver_decisions(
                self._router.set_evacuations(message.data_centres, now)
            )
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
        decision = self._router.acquire(message.ticket, now)
        if decision is None:
            self._waiters[message.ticket.number] = message.waiter
        else:
            message.waiter.send_nowait(decision)

    def _cancel(self, message: _Cancel, now: float) -> None:
        """Remove the ticket of a request that was cancelled.

        It may have got a slot that nobody has heard of.
        """
        if self._waiters.pop(message.ticket.number, None) is not None:
            self._router.cancel(message.ticket)
            return
        try:
            decision = message.decisions.receive_nowait()
        except (trio.WouldBlock, trio.EndOfChannel):
            return
        if isinstance(decision, routers.Assignment):
            self._deliver_decisions(self._router.release_unused(decision, now))

    def _deliver_decisions(
        self, decisions: list[routers.RoutingDecision]
    ) -> None:
        now = trio.current_time()
        while decisions:
            decision = decisions.pop()
            waiter = self._waiters.pop(decision.ticket.number, None)
            if waiter is not None:
                waiter.send_nowait(decision)
            elif isinstance(decision, routers.Assignment):
                # The request was cancelled before it got this slot.
                decisions += self._router.release_unused(decision, now)
