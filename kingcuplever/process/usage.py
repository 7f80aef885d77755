"""Compares what tasks use with what they declared.

Usage comes with a lag, but it beats the declaration: a task over its cores
is throttled; a task over its memory is stopped once its worker is full,
since a full worker would fail its neighbours.
"""

from collections.abc import Iterator
from typing import NamedTuple

from kingcuplever import messages
from kingcuplever.process import ledger as ledgers


class Finding(NamedTuple):
    """A task that uses more than it declared.

    :ivar stop: whether it must be stopped; else it is throttled.
    :ivar cause: what was seen, with the remedy.
    """

    task: messages.TaskState
    stop: bool
    cause: str


class UsageWatch:
    """Remembers which tasks have been throttled."""

    def __init__(self) -> None:
        """Start without any finding."""
        self._throttled: dict[tuple[str, int, int], None] = {}

    def check(
        self,
        room: ledgers.WorkerRoom,
        tasks: tuple[messages.TaskState, ...],
        tolerance: float,
    ) -> Iterator[Finding]:
        """Give new findings on one worker."""
        used_gb = sum(task.memory_used_gb for task in tasks)
        full = used_gb > room.shape.memory_gb
        for task in tasks:
            if task.phase != messages.RUNNING:
                continue
            key = (task.job, task.attempt, task.task)
            holding = room.holdings.get(key)
            if holding is None:
                continue
            declared = holding.shape
            if full and task.memory_used_gb > declared.memory_gb * tolerance:
                cause = (
                    f"uses {task.memory_used_gb:.1f} GB of a full worker,"
                    f" declared {declared.memory_gb:g}; declare more"
                )
                yield Finding(task, True, cause)
            elif task.cores_used > declared.cores * tolerance:
                if key in self._throttled:
                    continue
                self._throttled[key] = None
                cause = (
                    f"uses {task.cores_used:.1f} cores, declared"
                    f" {declared.cores:g}"
                )
                yield Finding(task, False, cause)
        if len(self._throttled) > 10 * len(tasks) + 10000:
            self._throttled.clear()
