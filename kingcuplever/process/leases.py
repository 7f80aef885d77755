"""When a side prolongs the lease of what runs on its worker.

Work that runs on loses nothing, work that lapses is paid for twice: a side
goes on by itself for a bounded time after it last heard an owner.  The owner
counts on that bound before it starts the same task elsewhere.
"""

from typing import Final

# A side that hears no owner prolongs leases for so long.  Longer than a
# takeover and than most partitions, short enough that a lost host's work is
# taken up again within its objective.
AUTONOMOUS_RENEWAL_S: Final = 12.0
# The worker's clock may be this much slower than ours.
_MAX_CLOCK_DRIFT: Final = 1.02
# Covers reports and prolongations that were under way.
_MARGIN_S: Final = 1.5
# Leases are prolonged at least so often.
_PERIOD_S: Final = 1.0


def can_renew(
    heard_owner_at: float, now: float, autonomous_renewal_s: float
) -> bool:
    """Tell whether a side may prolong leases by itself."""
    return now - heard_owner_at < autonomous_renewal_s


def compute_side_timeout_s(
    lease_s: float, autonomous_renewal_s: float = AUTONOMOUS_RENEWAL_S
) -> float:
    """Silence of a side, in seconds, after which its leases have lapsed.

    :param lease_s: the longest lease that the worker grants.
    :param alone_s: how long sides prolong leases by themselves.
    """
    return autonomous_renewal_s + lease_s * _MAX_CLOCK_DRIFT + _MARGIN_S


def compute_partial_gang_bound_s(autonomous_renewal_s: float) -> float:
    """Give how long part of a gang can run without the rest, in seconds.

    A member whose side has ended lapses at its lease's end; the others are
    stopped once its owner counts the side as lost, and a lease is prolonged
    anew each second at most.
    """
    return autonomous_renewal_s + _MARGIN_S + _PERIOD_S


class WorkerClock:
    """Estimates a worker's clock from what it said last."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._clock_ms = 0
        self._at = 0.0
        self.is_known = False

    def update(self, clock_ms: int, now: float) -> None:
        """Take in what the worker's clock showed just now."""
        self._clock_ms = clock_ms
        self._at = now
        self.is_known = True

    def compute_lease_end_ms(self, lease_ms: int, now: float) -> int:
        """Give the end of a lease that begins now, on the worker's clock."""
        return self._clock_ms + int((now - self._at) * 1000) + lease_ms
