"""Decides which silences of workers' sides are recorded for a successor.

While a silence is on the log, or on its way there, its side gets no permission
to act: a successor counts the silence from it.
"""

from typing import Final

from kingcuplever.process.scheduling import fleet

# A shorter silence is not worth a record.
_MIN_RECORDED_S: Final = 6.0
# Longest name that fits into the key of a record.
_MAX_NAME_BYTES: Final = 250


class Silences:
    """The silences of one owner's term that are or may be on the log."""

    def __init__(self) -> None:
        """Start without silences."""
        self._recorded: set[str] = set()
        self._dropping: set[str] = set()
        self._changes: dict[str, int | None] = {}

    def is_recorded(self, worker: str) -> bool:
        """Return whether the log may hold a silence of a worker's side.

        A permission is the side's, whichever incarnation it reports on.
        """
        side = fleet.side_of(worker)
        return any(fleet.side_of(name) == side for name in self._recorded)

    def restore(self, worker: str) -> None:
        """Take over a silence that a former owner has recorded."""
        self._recorded.add(worker)

    def check(self, worker: fleet.Worker, now: float) -> None:
        """Record the silence of a worker with tasks once it is long."""
        silent_s = now - worker.last_report_at
        is_long = silent_s > _MIN_RECORDED_S and bool(worker.allocations)
        if (
            is_long
            and fits_key(worker.name)
            and worker.name not in self._recorded
        ):
            self._recorded.add(worker.name)
            self._changes[worker.name] = int(silent_s * 1000)

    def end(self, worker: str) -> None:
        """Drop the silence of a worker that reports again or is removed."""
        if worker in self._recorded and worker not in self._dropping:
            self._dropping.add(worker)
            self._changes[worker] = None

    def take_changes(self) -> dict[str, int | None]:
        """Return and clear what to write: milliseconds, or None to drop."""
        changes, self._changes = self._changes, {}
        return changes

    def confirm_dropped(self, worker: str) -> None:
        """Record that the log holds no silence of a worker any more."""
        self._recorded.discard(worker)
        self._dropping.discard(worker)


def fits_key(worker: str) -> bool:
    """Return whether a worker's name fits into the key of a record."""
    return len(worker.encode()) <= _MAX_NAME_BYTES
