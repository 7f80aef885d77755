"""Measures the fragmentation of the free accelerators.

For a task size in accelerators, it is the share of free accelerators that no
task of that size can use on one worker: 0 means no fragmentation, 1 means
that no task of that size fits although accelerators are free.
"""

from collections.abc import Iterable
from typing import Final

from kingcuplever.process.scheduling import fleet

# Accelerators of one task.
TASK_SIZES: Final = (2, 4, 8)


def compute_share(free_by_worker: Iterable[int], gpus: int) -> float:
    """Return the fragmentation for tasks of ``gpus`` accelerators."""
    free = 0
    usable = 0
    for count in free_by_worker:
        free += count
        usable += count - count % gpus
    return 1 - usable / free if free else 0.0


def compute_shares(
    workers: Iterable[fleet.Worker],
) -> dict[tuple[str, int], float]:
    """Return the fragmentation by data centre and task size."""
    free: dict[str, list[int]] = {}
    for worker in workers:
        if worker.has_reported and not worker.draining:
            count = max(0, worker.free.gpus)
            free.setdefault(worker.data_centre, []).append(count)
    return {
        (data_centre, gpus): compute_share(counts, gpus)
        for data_centre, counts in sorted(free.items())
        for gpus in TASK_SIZES
    }
