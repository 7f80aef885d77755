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

_TICK_S: Final = 0.05
_INBOX: Final = 10_000

_Waiter = trio.MemorySendChannel[routers.Verdict]


class _Acquire(NamedTuple):
    ticket: routers.Ticket
    waiter: _Waiter


class _Back(enum.Enum):
    ANSWERED = "answered"
    UNUSED = "unused"
    FULL = "full"


class _Release(NamedTuple):
    assignment: routers.Assignment
    seen_s: float | None
    back: _Back


class _Cancel(NamedTuple):
    ticket: routers.Ticket


class _Heard(NamedTuple):
    heartbeat: messages.Heartbeat


class _Lost(NamedTuple):
    side: str


class _Config(NamedTuple):
    config: configuration.Configuration


class _Describe(NamedTuple):
    waiter: trio.MemorySendChannel[list[dict[str, object]]]


_Inbox = _Acquire | _Release | _Cancel | _Heard | _Lost | _Config | _Describe


class RouterTask:
    """Owns the router of one entry."""

    def __init__(self, data_centre: str) -> None:
        """Start without targets.

        :param data_centre: the entry's own.
        """
        self._router = routers.Router(data_centre)
        self._send, self._receive = trio.open_memory_channel[_Inbox](_INBOX)
        self._waiters: dict[int, _Waiter] = {}

    async def run(self) -> None:
        """Serve the inbox until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            async for message in self._receive:
                self._take(message, trio.current_time())

    async def acquire(
        self,
        service: str,
        priority: routers.Priority,
        deadline: float,
        avoid: frozenset[routers.TargetId],
        number: int = 0,
    ) -> routers.Verdict:
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
        send, receive = trio.open_memory_channel[routers.Verdict](1)
        await self._send.send(_Acquire(ticket, send))
        try:
            return await receive.receive()
        except trio.Cancelled:
            self._send.send_nowait(_Cancel(ticket))
            raise

    def release(
        self, assignment: routers.Assignment, seen_s: float | None
    ) -> None:
        """Give a slot back after an answer, or after none."""
        back = _Back.ANSWERED
        self._send.send_nowait(_Release(assignment, seen_s, back))

    def release_unused(self, assignment: routers.Assignment) -> None:
        """Give back a slot that no request was sent to."""
        self._send.send_nowait(_Release(assignment, None, _Back.UNUSED))

    def full(self, assignment: routers.Assignment) -> None:
        """Give back a slot that the side refused."""
        self._send.send_nowait(_Release(assignment, None, _Back.FULL))

    async def heard(self, heartbeat: messages.Heartbeat) -> None:
        """Hand over a side's heartbeat."""
        await self._send.send(_Heard(heartbeat))

    async def lost(self, side: str) -> None:
        """Say that a side is not heard any more."""
        await self._send.send(_Lost(side))

    async def set_config(self, config: configuration.Configuration) -> None:
        """Use a new version of the configuration."""
        await self._send.send(_Config(config))

    async def describe(self) -> list[dict[str, object]]:
        """Give every target as a row for operators."""
        send, receive = trio.open_memory_channel[list[dict[str, object]]](1)
        await self._send.send(_Describe(send))
        return await receive.receive()

    def queued(self) -> int:
        """Count the waiting requests, for metrics."""
        return self._router.queued()

    async def _tick(self) -> None:
        while True:
            await trio.sleep(_TICK_S)
            if self._waiters:
                self._tell(self._router.tick(trio.current_time()))

    def _take(self, message: _Inbox, now: float) -> None:
        if isinstance(message, _Acquire):
            self._acquire(message, now)
        elif isinstance(message, _Release):
            self._tell(self._release(message, now))
        elif isinstance(message, _Cancel):
            self._cancel(message.ticket)
        elif isinstance(message, _Heard):
            self._tell(self._router.heard(message.heartbeat, now))
        elif isinstance(message, _Lost):
            self._router.lost(message.side)
        elif isinstance(message, _Config):
            self._router.set_config(message.config)
        else:
            message.waiter.send_nowait(self._router.describe(now))

    def _release(self, message: _Release, now: float) -> list[routers.Verdict]:
        assignment = message.assignment
        if message.back is _Back.FULL:
            return self._router.full(assignment, now)
        if message.back is _Back.UNUSED:
            return self._router.release_unused(assignment, now)
        return self._router.release(assignment, message.seen_s, now)

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

    def _tell(self, verdicts: list[routers.Verdict]) -> None:
        now = trio.current_time()
        while verdicts:
            verdict = verdicts.pop()
            waiter = self._waiters.pop(verdict.ticket.number, None)
            if waiter is not None:
                waiter.send_nowait(verdict)
            elif isinstance(verdict, routers.Assignment):
                # Nobody waits for the slot any more.
                verdicts += self._router.release_unused(verdict, now)
