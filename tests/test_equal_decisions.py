"""Tests that the scheduler decides as a recorded version of it did.

The digests cover every record of seeded loads on which no worker drains or
leaves.  A change that is meant to decide otherwise records them anew, with
its figures on these loads.
"""

from bench import loads
from bench import scheduling
from bench import workload
import pytest

_MINUTES_S = 600.0
_WORKERS = 10


@pytest.mark.parametrize(
    ("seed", "digest"),
    [
        (1, "55d2798dd5b30749"),
        (2, "3c89c0c93d87c8e3"),
        (3, "2a14b057cacf0e4d"),
    ],
)
def test_decisions_under_urgent_load(seed: int, digest: str) -> None:
    """Check placements, headroom and preemptions for urgent jobs."""
    emulation = loads.emulate(loads.generate_arrivals(seed), 0.125)
    assert emulation.decisions_digest[:16] == digest


@pytest.mark.parametrize(
    ("mix", "seed", "digest"),
    [
        (workload.SADDLEBROOK, 1, "a1289db93a4a1f09"),
        (workload.SADDLEBROOK, 2, "ab339dc9eb5ad0c2"),
        (workload.PHULRENU, 1, "15e53f3f75f055b8"),
        (workload.PHULRENU, 2, "3e9c4884e216bd00"),
    ],
)
def test_decisions_under_guarantees(
    mix: workload.Mix, seed: int, digest: str
) -> None:
    """Check placements, reservations and reclaims under guarantees."""
    arrivals = workload.generate_arrivals(mix, _WORKERS, _MINUTES_S, seed)
    emulation = scheduling.emulate(arrivals, _WORKERS, _MINUTES_S)
    assert emulation.decisions_digest[:16] == digest
