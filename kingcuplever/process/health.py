"""Tells workers that fail everything from jobs that fail everywhere.

A worker that fails several tasks in a row is quarantined; after a while it
is let back on probation, where one more failure sends it away for twice as
long.  One success clears it.  Time is passed in.
"""

from typing import Final

from kingcuplever.version import configuration

_LONGEST_DOUBLINGS: Final = 6


class WorkerHealth:
    """Failures in a row, and quarantines, of each worker."""

    def __init__(self) -> None:
        """Start with every worker trusted."""
        self._failures: dict[str, int] = {}
        self._quarantines: dict[str, int] = {}
        self._until: dict[str, float] = {}

    def succeeded(self, worker: str) -> None:
        """Note a task that was done."""
        self._failures.pop(worker, None)
        self._quarantines.pop(worker, None)

    def failed(
        self,
        worker: str,
        now: float,
        config: configuration.SchedulingConfig,
    ) -> bool:
        """Note a failed task.

        :return: whether the worker is to be quarantined.
        """
        count = self._failures.get(worker, 0) + 1
        self._failures[worker] = count
        on_probation = worker in self._quarantines
        if count < config.worker_failures and not on_probation:
            return False
        before = self._quarantines.get(worker, 0)
        doublings = min(before, _LONGEST_DOUBLINGS)
        self._quarantines[worker] = before + 1
        self._until[worker] = now + config.probation_s * 2**doublings
        self._failures[worker] = 0
        return True

    def keep_away(self, worker: str, until: float) -> None:
        """Note a quarantine that another owner has set."""
        self._until.setdefault(worker, until)
        self._quarantines.setdefault(worker, 1)

    def due(self, now: float) -> list[str]:
        """Give the workers whose quarantine is over, and let them go."""
        over = [name for name, until in self._until.items() if until <= now]
        for name in over:
            del self._until[name]
        return over
