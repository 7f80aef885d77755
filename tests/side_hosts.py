"""Simulated processes in one trio run: clocks, standstills, connections."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Generator
from collections.abc import Iterator
import contextlib
import contextvars
import functools
import math
import sys
import types
from typing import Any
from typing import Final
from typing import NamedTuple
import weakref

import pytest
import trio
import trio.testing

from kingcuplever import clock

# Wall-clock time at the start of a run, in ms.
WALL_START_MS: Final = 1_700_000_000_000
_BOOT_START_S: Final = 5_000.0
_LATENCY_S: Final = 0.001
_HOST: Final = "127.0.0.1"

_current: contextvars.ContextVar["Process | None"] = contextvars.ContextVar(
    "process", default=None
)


class Pause(NamedTuple):
    """A standstill of a process.

    :ivar suspends: the host is suspended, so that its clock stands still.
    """

    seconds: float
    suspends: bool = False


class Process:
    """One process; its tasks take no step while it stands still.

    A killed process stands still for ever, so that nothing that it would do
    when it is cancelled happens.

    :ivar suspended_s: for how long its event loop's clock has stood.
    :ivar is_killed: whether it has been killed.
    """

    def __init__(self, name: str, nursery: trio.Nursery) -> None:
        """Create a process without tasks.

        :param nursery: runs its tasks, and the timers of its standstills.
        """
        self.name = name
        self.suspended_s = 0.0
        self.is_killed = False
        self._nursery = nursery
        self._standstills = 0
        self._streams: list[Stream] = []
        self._parked: list[trio.lowlevel.Task] = []
        self._scopes: weakref.WeakSet[trio.CancelScope] = weakref.WeakSet()
        self._steps_left = 0
        self._armed: tuple[float, bool] = (0.0, False)

    @property
    def stands_still(self) -> bool:
        """Whether its tasks take no steps now."""
        return self._standstills > 0

    def spawn(
        self, function: Callable[..., Awaitable[Any]], *args: Any
    ) -> None:
        """Run a function as a task of this process."""
        token = _current.set(self)
        self._nursery.start_soon(function, *args)
        _current.reset(token)

    def kill(self, ends_connections: bool = True) -> None:
        """Kill the process.

        :param ends_connections: false if the other ends learn nothing of it.
        """
        self.is_killed = True
        self._standstills += 1
        if ends_connections:
            for stream in self._streams:
                stream.end()

    def add_stream(self, stream: "Stream") -> None:
        """Add an end of a connection, which ends with the process."""
        self._streams.append(stream)

    def pause(self, seconds: float, suspends: bool = False) -> None:
        """Let the process stand still for a while.

        :param suspends: its event loop's clock stands still, too.
        """
        self._standstills += 1
        deadlines = self._take_deadlines() if suspends else {}
        spawn_outside(
            self._nursery, self._resume_after, seconds, suspends, deadlines
        )

    def arm_pause(
        self, steps: int, seconds: float, suspends: bool = False
    ) -> None:
        """Pause the process after so many steps of its tasks."""
        self._steps_left = steps
        self._armed = (seconds, suspends)

    def release(self) -> None:
        """Let its tasks take steps again, so that they can be cancelled."""
        self._standstills = 0
        self._steps_left = 0
        self._wake_tasks()

    def add_scope(self, scope: trio.CancelScope) -> None:
        """Add a timeout, which a suspension interrupts."""
        self._scopes.add(scope)

    def count_step(self) -> None:
        """Count a step of a task, after which a pause may be due."""
        if self._steps_left:
            self._steps_left -= 1
            if not self._steps_left:
                self.pause(*self._armed)

    def park(self, task: trio.lowlevel.Task) -> None:
        """Add a task that waits for the end of the standstill."""
        self._parked.append(task)

    def _take_deadlines(self) -> dict[trio.CancelScope, float]:
        """Clear the deadlines; return the time left until each."""
        now = trio.current_time()
        left = {
            scope: scope.deadline - now
            for scope in self._scopes
            if now < scope.deadline < float("inf")
        }
        for scope in left:
            scope.deadline = float("inf")
        return left

    async def _resume_after(
        self,
        seconds: float,
        suspends: bool,
        deadlines: dict[trio.CancelScope, float],
    ) -> None:
        await trio.sleep(seconds)
        if suspends:
            self.suspended_s += seconds
        for scope, left_s in deadlines.items():
            scope.deadline = trio.current_time() + left_s
        self._standstills = max(0, self._standstills - 1)
        if not self._standstills:
            self._wake_tasks()

    def _wake_tasks(self) -> None:
        parked, self._parked = self._parked, []
        for task in parked:
            trio.lowlevel.reschedule(task)


def spawn_outside(
    nursery: trio.Nursery,
    function: Callable[..., Awaitable[Any]],
    *args: Any,
) -> None:
    """Run a function as a task that belongs to no process."""
    token = _current.set(None)
    nursery.start_soon(function, *args)
    _current.reset(token)


async def _run_in_process(
    inner: Coroutine[Any, Any, Any], process: Process
) -> Any:
    """Run a process's task, which waits while the process stands still."""
    return await _take_steps(inner, process)


@types.coroutine
def _take_steps(
    inner: Coroutine[Any, Any, Any], process: Process
) -> Generator[Any, Any, Any]:
    value = None
    while True:
        while process.stands_still:
            process.park(trio.lowlevel.current_task())
            wait = trio.lowlevel.wait_task_rescheduled(_refuse_abort)
            message = wait.send(None)
            wait.close()
            yield message
        process.count_step()
        try:
            message = inner.send(value)
        except StopIteration as end:
            return end.value
        value = yield message


def _refuse_abort(raise_cancel: Any) -> trio.lowlevel.Abort:
    return trio.lowlevel.Abort.FAILED


class ProcessInstrument(trio.abc.Instrument):
    """Makes the tasks of simulated processes stand still with them."""

    def task_spawned(self, task: trio.lowlevel.Task) -> None:
        """Wrap a task that belongs to a process."""
        process = task.context.get(_current)
        if process is not None:
            wrapped = _run_in_process(task.coro, process)
            assert isinstance(wrapped, types.CoroutineType)
            task.coro = wrapped


class _Listener(NamedTuple):
    host: str
    accept: Callable[["Stream"], None]


class Network:
    """Connections between processes, which may be cut.

    What is sent during a cut is delivered after it.

    :ivar pauses_after_send: standstills of the process that sends next from
        a host.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        """Start without listeners and cuts."""
        self._nursery = nursery
        self._cuts: dict[tuple[str, str], int] = {}
        self.pauses_after_send: dict[str, Pause] = {}
        self._healed = trio.Event()
        self._listeners: dict[int, _Listener] = {}

    def listen(
        self, port: int, host: str, accept: Callable[["Stream"], None]
    ) -> None:
        """Pass each new connection to a host's port to a function."""
        self._listeners[port] = _Listener(host, accept)

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether nothing passes from one host to another."""
        return (sender, receiver) in self._cuts

    def cut(
        self, one: str, other: str, seconds: float, both: bool = True
    ) -> None:
        """Cut two hosts off from each other for a while.

        :param both: false if only what the first one sends does not pass.
        """
        for pair in [(one, other), (other, one)][: 1 + both]:
            self._cuts[pair] = self._cuts.get(pair, 0) + 1
            spawn_outside(self._nursery, self._heal, pair, seconds)

    async def _heal(self, pair: tuple[str, str], seconds: float) -> None:
        await trio.sleep(seconds)
        self._cuts[pair] -= 1
        if not self._cuts[pair]:
            del self._cuts[pair]
            self._healed.set()
            self._healed = trio.Event()

    async def wait_until_passable(self, sender: str, receiver: str) -> None:
        """Wait until something passes from one host to another."""
        await trio.sleep(_LATENCY_S)
        while self.is_cut(sender, receiver):
            await self._healed.wait()

    async def connect(self, host: str, port: int) -> "Stream":
        """Connect the current process to a port."""
        process = _current.get()
        assert process is not None and host == _HOST
        listener = self._listeners[port]
        await self.wait_until_passable(process.name, listener.host)
        await self.wait_until_passable(listener.host, process.name)
        near = Stream(self, process.name, listener.host)
        far = Stream(self, listener.host, process.name)
        near.other, far.other = far, near
        for stream in (near, far):
            spawn_outside(self._nursery, stream.deliver)
        process.add_stream(near)
        listener.accept(far)
        return near


class Stream(trio.abc.Stream):
    """One end of a connection between two processes."""

    def __init__(self, network: Network, here: str, there: str) -> None:
        """Create an end; the other one is set afterwards."""
        self.other: Stream | None = None
        self._network = network
        self._here = here
        self._there = there
        self._is_closed = False
        self._send, self._outgoing = trio.open_memory_channel[bytes](math.inf)
        self._incoming, self._receive = trio.open_memory_channel[bytes](
            math.inf
        )

    async def deliver(self) -> None:
        """Deliver what is sent at this end, and its end."""
        assert self.other is not None
        async with self._outgoing:
            async for data in self._outgoing:
                await self._network.wait_until_passable(
                    self._here, self._there
                )
                with contextlib.suppress(trio.BrokenResourceError):
                    self.other._incoming.send_nowait(data)
            await self._network.wait_until_passable(self._here, self._there)
            await self.other._incoming.aclose()

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send data without waiting."""
        if self._is_closed:
            raise trio.ClosedResourceError
        self._send.send_nowait(bytes(data))
        process = _current.get()
        pause = self._network.pauses_after_send.pop(self._here, None)
        if process is not None and pause is not None:
            process.pause(*pause)

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once; a connection takes any amount of data."""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next data, or none at the end of the connection."""
        try:
            return await self._receive.receive()
        except trio.EndOfChannel:
            return b""

    def end(self) -> None:
        """Send the end of the connection."""
        self._is_closed = True
        self._send.close()

    async def aclose(self) -> None:
        """Close this end."""
        self.end()
        self._receive.close()
        await trio.lowlevel.checkpoint()


class ProcessTrio:
    """Stands in for trio in the modules of the product.

    Clocks and timeouts are those of the current process, connections those
    of the simulated network.
    """

    def __init__(self, network: Network) -> None:
        self._network = network

    def __getattr__(self, name: str) -> Any:
        return getattr(trio, name)

    def current_time(self) -> float:
        process = _current.get()
        suspended_s = 0.0 if process is None else process.suspended_s
        return trio.current_time() - suspended_s

    def move_on_after(
        self, seconds: float, *, shield: bool = False
    ) -> trio.CancelScope:
        scope = trio.move_on_after(seconds, shield=shield)
        process = _current.get()
        if process is not None:
            process.add_scope(scope)
        return scope

    @contextlib.contextmanager
    def fail_after(
        self, seconds: float, *, shield: bool = False
    ) -> Iterator[trio.CancelScope]:
        with self.move_on_after(seconds, shield=shield) as scope:
            yield scope
        if scope.cancelled_caught:
            raise trio.TooSlowError

    async def sleep(self, seconds: float) -> None:
        with self.move_on_after(max(0.0, seconds)):
            await trio.sleep_forever()

    async def sleep_until(self, deadline: float) -> None:
        await self.sleep(deadline - self.current_time())

    async def open_tcp_stream(
        self, host: str, port: int, **options: Any
    ) -> Stream:
        return await self._network.connect(host, port)


@contextlib.contextmanager
def patch_product(network: Network) -> Iterator[pytest.MonkeyPatch]:
    """Let the product's modules use the simulated clocks and network."""
    with pytest.MonkeyPatch.context() as patch:
        for name, module in [*sys.modules.items()]:
            if name.startswith("kingcuplever.") and hasattr(module, "trio"):
                patch.setattr(module, "trio", ProcessTrio(network))
        patch.setattr(clock, "boot_s", _read_boot_s)
        patch.setattr(clock, "wall_ms", read_wall_ms)
        yield patch


def _read_boot_s() -> float:
    return _BOOT_START_S + trio.current_time()


def current_name() -> str:
    """Return the name of the current process's host, or an empty string."""
    process = _current.get()
    return "" if process is None else process.name


def read_wall_ms() -> int:
    return WALL_START_MS + int(trio.current_time() * 1000)


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run a simulation; its clock advances to the next event."""
    trio.run(
        functools.partial(main),
        clock=trio.testing.MockClock(autojump_threshold=0),
        instruments=[ProcessInstrument()],
    )
