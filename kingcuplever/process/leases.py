"""Decides how long a side renews the task leases of its worker.

Without contact to an owner, a side keeps renewing for a bounded time: a task
whose lease expires has to run again, while one that keeps running loses
nothing.  The owner waits until the last lease has surely expired before it
starts the same task on another worker.  docs/DESIGN.md has the inequality.
"""

from typing import Final

# How long a task keeps its lease without contact to an owner.  Longer than an
# owner takeover and most partitions; short enough that the work of a lost
# host restarts within its objective.
_LEASE_HORIZON_S: Final = 16.0
# Covers the time between two reports and a lost one, if leases are long.
_MIN_AUTONOMOUS_RENEWAL_S: Final = 4.0
# A worker's clock may run slower than ours by up to this factor.
_MAX_CLOCK_DRIFT: Final = 1.02
# Allows for different rates of the clocks of two hosts.
_CLOCK_MARGIN_S: Final = 1.0
# Upper bound of the time between two renewals.
_RENEWAL_PERIOD_S: Final = 1.0


def compute_autonomous_renewal_s(lease_s: float) -> float:
    """Return how long a side renews leases without contact to an owner.

    The result is in seconds.

    :param lease_s: longest lease that the worker grants, in seconds.
    """
    return max(_MIN_AUTONOMOUS_RENEWAL_S, _LEASE_HORIZON_S - lease_s)


def can_act(owner_silence_s: float, autonomous_renewal_s: float) -> bool:
    """Return whether a side may renew leases and start tasks.

    After that silence the owner may have started the tasks elsewhere.
    """
    return owner_silence_s < autonomous_renewal_s


def compute_side_timeout_s(
    lease_s: float, autonomous_renewal_s: float, late_call_s: float
) -> float:
    """Return the silence of a side after which its leases have expired.

    The result is in seconds.

    :param lease_s: longest lease that the worker grants, in seconds.
    :param autonomous_renewal_s: how long sides renew without an owner.
    :param late_call_s: how late a worker may carry out a call without an
        answer, if the call's lease counts from then.
    """
    return (
        autonomous_renewal_s
        + late_call_s
        + lease_s * _MAX_CLOCK_DRIFT
        + _CLOCK_MARGIN_S
    )


def compute_partial_gang_bound_s(
    autonomous_renewal_s: float, late_call_s: float
) -> float:
    """Return how long part of a gang can run without the rest, in seconds.

    If a side ends, its member of the gang stops when the lease expires.  The
    other members stop once the owner counts that side as lost.  The result
    includes one renewal period, as the last renewal may be that old.
    """
    return (
        autonomous_renewal_s
        + late_call_s
        + _CLOCK_MARGIN_S
        + _RENEWAL_PERIOD_S
    )


class WorkerClock:
    """Estimates a worker's clock from its latest reading."""

    def __init__(self) -> None:
        """Start without a reading."""
        self._clock_ms = 0
        self._read_at = 0.0
        self.is_known = False

    def update(self, clock_ms: int, now: float) -> None:
        """Store a reading of the worker's clock that was taken at ``now``."""
        self._clock_ms = clock_ms
        self._read_at = now
        self.is_known = True

    def compute_lease_end_ms(self, lease_ms: int, now: float) -> int:
        """Return the end of a lease from now, on the worker's clock."""
        return self._clock_ms + int((now - self._read_at) * 1000) + lease_ms
