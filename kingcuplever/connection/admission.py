"""Admits connections to one listener and memory for their requests.

The process's limits are divided among its listeners, so that clients of one
take nothing from another.
"""

import collections
from collections.abc import Callable
from types import TracebackType
from typing import Final
from typing import NamedTuple
from typing import Self

import trio

from kingcuplever.connection import connection_table
from kingcuplever.connection import memory_budget
from kingcuplever import errors
from kingcuplever import logs

DEFAULT_MEMORY_BYTES: Final = 512 * 1024 * 1024
DEFAULT_DESCRIPTORS: Final = 4096

# What the process needs besides its listeners' clients.
_PROCESS_BYTES: Final = 96 * 1024 * 1024
_MIN_SPARE_BYTES: Final = 32 * 1024 * 1024
# A connection's objects, and its receive buffer in the kernel.
_CONNECTION_BYTES: Final = 64 * 1024
# Descriptors kept for files, links to other processes and the store.
_KEPT_DESCRIPTORS: Final = 600
_MIN_CONNECTIONS: Final = 16
_SMALL_LISTENER_CONNECTIONS: Final = 64
# A probe is one small request, and is to be answered within a second.
_PROBE_GRACE_S: Final = 0.1
_SMALL_LISTENER_BYTES: Final = 2 * 1024 * 1024
# Each time that a listener is full, this share of its places is freed at
# once, so that the search for late connections is rare.
_FREED_SHARE: Final = 1 / 32
# A connection may wait so long for a place, and so many may wait.
_PLACE_TIMEOUT_S: Final = 1.0
_MAX_WAITING: Final = 256
_PLACE_CHECK_PERIOD_S: Final = 0.05
_LOG_PERIOD_S: Final = 1.0
# Long requests that are parsed in one turn of the event loop; the others wait,
# so that all other work of the process gets its turn soon.
_PARSERS_PER_TURN: Final = 8


class ListenerLimits(NamedTuple):
    """What the clients of one listener may use.

    :ivar connections: most open connections.
    :ivar request_bytes: memory of requests that are not answered yet.
    :ivar grace_s: how long a connection may stand still while others need
        its place.
    """

    connections: int
    request_bytes: int
    grace_s: float = 0.5


class ProcessLimits(NamedTuple):
    """Limits of a process's listeners.

    :ivar clients: callers' listener, which anyone may reach.
    :ivar peers: listener for links of other processes.
    :ivar own: listener of operators, or of the worker beside a side.
    :ivar small: each listener of probes and metrics.
    """

    clients: ListenerLimits
    peers: ListenerLimits
    own: ListenerLimits
    small: ListenerLimits


def divide(memory_bytes: int, descriptors: int) -> ProcessLimits:
    """Divide a process's limits among its listeners.

    :param memory_bytes: most memory that the process may take.
    :param descriptors: most descriptors that it may have open.
    """
    spare_bytes = max(_MIN_SPARE_BYTES, memory_bytes - _PROCESS_BYTES)
    by_memory = spare_bytes * 3 // 8 // _CONNECTION_BYTES
    by_descriptors = max(
        _MIN_CONNECTIONS, (descriptors - _KEPT_DESCRIPTORS) // 2
    )
    connections = min(by_memory, by_descriptors)
    return ProcessLimits(
        ListenerLimits(connections, spare_bytes // 4),
        # Links hold little, and one that is refused costs a side's work.
        ListenerLimits(by_descriptors, spare_bytes // 8),
        ListenerLimits(
            min(connections, _SMALL_LISTENER_CONNECTIONS), spare_bytes // 6
        ),
        ListenerLimits(
            min(connections, _SMALL_LISTENER_CONNECTIONS),
            min(spare_bytes // 8, _SMALL_LISTENER_BYTES),
            _PROBE_GRACE_S,
        ),
    )


class Admission:
    """The connections of one listener and the memory of their requests.

    :ivar name: name of the listener in log lines and metrics.
    :ivar refusals: number of refused requests and closed connections by
        cause.
    :ivar parsers: held by a connection while it parses input.
    """

    def __init__(self, name: str, limits: ListenerLimits) -> None:
        """Start without connections."""
        self.name = name
        self.refusals: collections.Counter[str] = collections.Counter()
        self.parsers = trio.CapacityLimiter(_PARSERS_PER_TURN)
        self._grace_s = limits.grace_s
        self._table = connection_table.ConnectionTable(limits.connections)
        self._budget = memory_budget.MemoryBudget(limits.request_bytes)
        self._held: dict[
            connection_table.Connection, memory_budget.Reservation
        ] = {}
        self._waiting: collections.deque[trio.Event] = collections.deque()
        self._logged_at = float("-inf")
        self._logged_count = 0

    @property
    def table(self) -> connection_table.ConnectionTable:
        """The open connections."""
        return self._table

    @property
    def budget(self) -> memory_budget.MemoryBudget:
        """The memory of requests."""
        return self._budget

    @property
    def is_pressed(self) -> bool:
        """Whether others wait for a place, so that answers end connections."""
        return bool(self._waiting)

    async def admit(
        self, address: str, close: Callable[[], None]
    ) -> connection_table.Connection | None:
        """Admit a connection, letting late ones go if there is no place.

        Without late ones it waits a moment: those that have taken an answer
        end meanwhile.

        :param close: closes the connection at once.
        :return: the connection, to be given to :meth:`remove` at its end;
            nothing if it must be closed.
        """
        self._free_places()
        if self._table.is_full or self._waiting:
            await self._wait_for_place()
        if self._table.is_full:
            self.count_refusal("no_connection")
            return None
        now = trio.current_time()
        connection = connection_table.Connection(
            address, close, now, self._grace_s
        )
        self._table.add(connection)
        return connection

    def remove(self, connection: connection_table.Connection) -> None:
        """Remove a connection that has ended, with what its request held."""
        self._table.remove(connection)
        self.release(connection)
        if self._waiting:
            self._waiting[0].set()

    async def _wait_for_place(self) -> None:
        """Wait in turn until there is a place, for a limited time."""
        if len(self._waiting) >= _MAX_WAITING:
            return
        turn = trio.Event()
        self._waiting.append(turn)
        try:
            with trio.move_on_after(_PLACE_TIMEOUT_S):
                while self._table.is_full or self._waiting[0] is not turn:
                    with trio.move_on_after(_PLACE_CHECK_PERIOD_S):
                        await turn.wait()
                    if self._waiting[0] is turn:
                        self._free_places()
                        turn = self._waiting[0] = trio.Event()
        finally:
            self._waiting.remove(turn)
            if self._waiting:
                self._waiting[0].set()

    def _free_places(self) -> None:
        """Let late connections go if there is no place."""
        if self._table.is_full:
            count = max(1, int(self._table.capacity * _FREED_SHARE))
            now = trio.current_time()
            for late in self._table.find_late(now, count):
                self._let_go(late, "late_connection")

    def open_request(
        self, connection: connection_table.Connection
    ) -> "RequestMemory":
        """Return the memory of a connection's next request, empty so far.

        It ends as a context manager.
        """
        reservation = memory_budget.Reservation(self._budget)
        self._held[connection] = reservation
        return RequestMemory(self, connection, reservation)

    def try_grow(
        self, reservation: memory_budget.Reservation, size: int
    ) -> bool:
        """Add to a reservation, letting late requests go for it."""
        if reservation.try_grow(size):
            return True
        if reservation.is_released:
            return False
        now = trio.current_time()
        others = [c for c, held in self._held.items() if held.size]
        chosen = []
        freed = 0
        for late in self._table.find_late(now, len(others), others):
            chosen.append(late)
            freed += self._held[late].size
            if self._budget.has_room(reservation.size, size, freed):
                break
        else:
            return False
        for late in chosen:
            self._let_go(late, "late_request")
        return reservation.try_grow(size)

    def release(self, connection: connection_table.Connection) -> None:
        """Release the memory of a connection's request, if it holds any."""
        reservation = self._held.pop(connection, None)
        if reservation is not None:
            reservation.release()

    def count_refusal(self, cause: str) -> None:
        """Count a refusal; log the sum of them at most once a second."""
        self.refusals[cause] += 1
        now = trio.current_time()
        if now - self._logged_at < _LOG_PERIOD_S:
            return
        total = self.refusals.total()
        text = (
            f"Listener {self.name} refused or closed"
            f" {total - self._logged_count} since it last said so, the last"
            f" for {cause}; {len(self._table)} connections,"
            f" {self._budget.used_bytes} bytes of requests."
        )
        logs.warn(logs.Component.PROCESS, text)
        self._logged_at = now
        self._logged_count = total

    def _let_go(
        self, connection: connection_table.Connection, cause: str
    ) -> None:
        connection.close()
        self.remove(connection)
        self.count_refusal(cause)


class RequestMemory:
    """The memory that one request holds, as a context manager."""

    def __init__(
        self,
        admission: Admission,
        connection: connection_table.Connection,
        reservation: memory_budget.Reservation,
    ) -> None:
        """Use a reservation that the admission has opened."""
        self._admission = admission
        self._connection = connection
        self._reservation = reservation

    def __enter__(self) -> Self:
        """Return itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release all bytes."""
        self._admission.release(self._connection)

    def try_hold(self, size: int) -> bool:
        """Hold more bytes if there is room; return whether there was."""
        return self._admission.try_grow(self._reservation, size)

    def require(self, size: int) -> None:
        """Hold more bytes.

        :raises errors.KingcupleverError: ``OVERLOADED`` if there is no room;
            the request must not run then.
        """
        if not self.try_hold(size):
            self._admission.count_refusal("no_memory")
            raise errors.KingcupleverError(
                "There is no memory for this request now.",
                errors.Code.OVERLOADED,
            )

    def hold(self, size: int) -> None:
        """Hold more bytes even if there is no room, for an answer."""
        self._reservation.grow(size)

    def shrink(self, size: int) -> None:
        """Release some of the bytes."""
        self._reservation.shrink(size)
