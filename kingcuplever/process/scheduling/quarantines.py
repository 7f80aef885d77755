"""Keeps the quarantines of workers that are recorded for a successor."""

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import silences


class Quarantines:
    """The quarantines of one owner's term that are or may be on the log."""

    def __init__(self) -> None:
        """Start without quarantines."""
        self._until: dict[str, float] = {}
        self._changes: dict[str, int | None] = {}

    def restore(self, until: dict[str, float]) -> None:
        """Take over the quarantines that a former owner has recorded.

        :param until: monotonic time of their end, by worker.
        """
        self._until = dict(until)

    def get_end(self, worker: str) -> float:
        """Return the monotonic time when a worker's quarantine ends, or 0."""
        return self._until.get(worker, 0.0)

    def record(self, worker: fleet.Worker, now: float) -> None:
        """Record a worker's quarantine if it is new or longer."""
        until = worker.quarantined_until
        if until <= max(now, self.get_end(worker.name)):
            return
        if silences.fits_key(worker.name):
            self._until[worker.name] = until
            self._changes[worker.name] = int((until - now) * 1000)

    def check(self, now: float) -> None:
        """Drop the quarantines that have ended."""
        for name in [n for n, until in self._until.items() if until <= now]:
            del self._until[name]
            self._changes[name] = None

    def take_changes(self) -> dict[str, int | None]:
        """Return and clear what to write: milliseconds, or None to drop."""
        changes, self._changes = self._changes, {}
        return changes
