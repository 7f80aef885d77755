"""Decides which connections of one listener stay open.

Each connection has to transfer bytes at a least rate.  Nobody is let go for
being slower while there is room; when room is needed, the connections that
are late go first, those furthest behind before the others.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import enum
import heapq
from typing import Final

# What a connection has to transfer while others need its place.
_MIN_BYTES_PER_S: Final = 64 * 1024


class Phase(enum.Enum):
    """What a connection does."""

    WAITING = "waiting for a request"
    HEAD = "receiving a head"
    BODY = "receiving a body"
    WORKING = "handling a request"
    ANSWERING = "sending an answer"
    CLOSING = "discarding what follows a refusal"


class Connection:
    """State of one connection that decides whether it stays.

    :ivar address: IP address of the client.
    :ivar has_been_served: whether it has taken an answer.
    """

    def __init__(
        self,
        address: str,
        close: Callable[[], None],
        now: float,
        grace_s: float,
    ) -> None:
        """Start waiting for a request.

        :param close: closes the connection at once.
        :param grace_s: how long it may stand still before it is late.
        """
        self.address = address
        self.has_been_served = False
        self._close = close
        self._phase = Phase.WAITING
        self._grace_s = grace_s
        self._due_at = now + grace_s

    @property
    def phase(self) -> Phase:
        """What it does."""
        return self._phase

    @property
    def due_at(self) -> float:
        """Time by which it has to transfer more."""
        return self._due_at

    def enter(self, phase: Phase, now: float) -> None:
        """Begin a phase; its time to transfer starts anew."""
        self._phase = phase
        self._due_at = now + (0 if phase is Phase.CLOSING else self._grace_s)

    def record_progress(self, size: int, now: float) -> None:
        """Record transferred bytes."""
        earned_at = self._due_at + size / _MIN_BYTES_PER_S
        self._due_at = min(earned_at, now + self._grace_s)

    def is_late(self, now: float) -> bool:
        """Return whether it may be let go for others.

        One whose request is being handled never is: the request may run.
        """
        return self._phase is not Phase.WORKING and now >= self._due_at

    def close(self) -> None:
        """Close the connection at once."""
        self._close()


class ConnectionTable:
    """The open connections of a listener."""

    def __init__(self, capacity: int) -> None:
        """Start empty.

        :param capacity: most connections that may be open.
        """
        self._capacity = capacity
        self._connections: dict[Connection, None] = {}
        self._count_by_address: collections.Counter[str] = (
            collections.Counter()
        )

    @property
    def capacity(self) -> int:
        """Most connections that may be open."""
        return self._capacity

    @property
    def is_full(self) -> bool:
        """Whether no further connection may be open."""
        return len(self._connections) >= self._capacity

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def list_in(self, phase: Phase) -> list[Connection]:
        """Return the connections that are in a phase."""
        return [c for c in self._connections if c.phase is phase]

    def add(self, connection: Connection) -> None:
        """Add an open connection."""
        self._connections[connection] = None
        self._count_by_address[connection.address] += 1

    def remove(self, connection: Connection) -> None:
        """Remove a connection, if it is there."""
        if connection not in self._connections:
            return
        del self._connections[connection]
        self._count_by_address[connection.address] -= 1
        if not self._count_by_address[connection.address]:
            del self._count_by_address[connection.address]

    def find_late(
        self, now: float, count: int, among: Iterable[Connection] | None = None
    ) -> list[Connection]:
        """Return connections that may be let go, those to go first first.

        Of addresses with more than an equal share of the places first, then
        those that have never taken an answer, then those furthest behind.

        :param count: most connections to return.
        :param among: connections to choose from; all if absent.
        """
        share = self._capacity / max(1, len(self._count_by_address))

        def make_key(connection: Connection) -> tuple[bool, bool, float]:
            is_over = self._count_by_address[connection.address] > share
            return not is_over, connection.has_been_served, connection.due_at

        candidates = self._connections if among is None else among
        late = (c for c in candidates if c.is_late(now))
        return heapq.nsmallest(count, late, key=make_key)
