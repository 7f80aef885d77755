"""Accounts for the memory that the requests of one listener may hold.

A request reserves before its bytes are read.  The last part of the budget is
kept for small requests, so that large ones can't keep them out.
"""

from typing import Final

# Share of the budget that requests above the size of a small one may use.
_LARGE_SHARE: Final = 0.75
_SMALL_BYTES: Final = 32 * 1024


class MemoryBudget:
    """A number of bytes that reservations share.

    :ivar peak_bytes: most bytes that were reserved at once.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Start without reservations."""
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self.peak_bytes = 0

    @property
    def limit_bytes(self) -> int:
        """Number of bytes that reservations may hold together."""
        return self._limit_bytes

    @property
    def used_bytes(self) -> int:
        """Number of bytes that reservations hold."""
        return self._used_bytes

    def has_room(self, size: int, more: int, freed: int = 0) -> bool:
        """Return whether a reservation of a size may grow.

        :param size: bytes that the reservation holds so far.
        :param more: bytes that it would hold in addition.
        :param freed: bytes that others would have released.
        """
        is_small = size + more <= _SMALL_BYTES
        share = 1.0 if is_small else _LARGE_SHARE
        used = self._used_bytes - freed
        return used + more <= self._limit_bytes * share

    def _change(self, size: int) -> None:
        self._used_bytes += size
        self.peak_bytes = max(self.peak_bytes, self._used_bytes)


class Reservation:
    """Bytes of a budget that one request holds."""

    def __init__(self, budget: MemoryBudget) -> None:
        """Hold no bytes so far."""
        self._budget = budget
        self._size = 0
        self._released = False

    @property
    def size(self) -> int:
        """Number of bytes that it holds."""
        return self._size

    @property
    def is_released(self) -> bool:
        """Whether it has ended."""
        return self._released

    def try_grow(self, size: int) -> bool:
        """Hold more bytes if there is room; return whether there was."""
        if self._released or not self._budget.has_room(self._size, size):
            return False
        self.grow(size)
        return True

    def grow(self, size: int) -> None:
        """Hold more bytes whether or not there is room.

        An answer to a request that has run is not refused.
        """
        if not self._released:
            self._size += size
            self._budget._change(size)

    def shrink(self, size: int) -> None:
        """Release some bytes; at most those that it holds."""
        size = min(size, self._size)
        self._size -= size
        self._budget._change(-size)

    def release(self) -> None:
        """Release all bytes; a released reservation stays empty."""
        self.shrink(self._size)
        self._released = True
