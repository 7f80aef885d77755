"""When a side prolongs the lease of what runs on its worker.

Work that runs on loses nothing, work that lapses is paid for twice: a side
goes on by itself for a bounded time after it last heard an owner.  The owner
counts on that bound before it starts the same task elsewhere.
"""

from typing import Final

# A side that hears no owner prolongs leases for so long.  Longer than a
# takeover and than most partitions, short enough that a lost host's work is
# taken up again within its objective.
ALONE_S: Final = 12.0
# The worker's clock may be this much slower than ours.
_CLOCK_SLACK: Final = 1.02
# Covers reports and prolongations that were under way.
_MARGIN_S: Final = 1.5


def may_prolong(heard_owner_at: float, now: float) -> bool:
    """Tell whether a side may prolong leases by itself."""
    return now - heard_owner_at < ALONE_S


def lost_after_s(lease_s: float) -> float:
    """Silence of a side, in seconds, after which its leases have lapsed.

    :param lease_s: the longest lease that the worker grants.
    """
    return ALONE_S + lease_s * _CLOCK_SLACK + _MARGIN_S


class WorkerClock:
    """Estimates a worker's clock from what it said last."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._clock_ms = 0
        self._at = 0.0
        self.known = False

    def heard(self, clock_ms: int, now: float) -> None:
        """Take in what the worker's clock showed just now."""
        self._clock_ms = clock_ms
        self._at = now
        self.known = True

    def until_ms(self, lease_ms: int, now: float) -> int:
        """Give the end of a lease that begins now, on the worker's clock."""
        return self._clock_ms + int((now - self._at) * 1000) + lease_ms
