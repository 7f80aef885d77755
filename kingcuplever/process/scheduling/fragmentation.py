"""Measures fragmentation of the free accelerators.

For a size, it is the share of free accelerators that cannot serve a task of
that many accelerators of one worker: 0 is unbroken, 1 means that nothing of
that size fits although accelerators are free.
"""

from collections.abc import Iterable
from typing import Final

from kingcuplever.process.scheduling import fleet

TASK_SIZES: Final = (2, 4, 8)


def compute_share(free_by_worker: Iterable[int], gpus: int) -> float:
    """Give the fragmentation for one size of task."""
    free = 0
    usable = 0
    for count in free_by_worker:
        free += count
        usable += count - count % gpus
    return 1 - usable / free if free else 0.0


def compute_shares(
    workers: Iterable[fleet.Worker],
) -> dict[tuple[str, int], float]:
    """Give the fragmentation by data centre and usual size of task."""
    free: dict[str, list[int]] = {}
    for worker in workers:
        if worker.has_reported and not worker.draining:
            count = max(0, worker.free.gpus)
            free.setdefault(worker.data_centre, []).append(count)
    return {
        (place, gpus): compute_share(counts, gpus)
        for place, counts in sorted(free.items())
        for gpus in TASK_SIZES
    }
