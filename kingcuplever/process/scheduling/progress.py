"""Measures how fast a run makes progress, from successive reports."""

from typing import Final

_FULL_PERCENT: Final = 100
# Standard deviation, in percent points, of a difference between two readings
# that are rounded down.
_ROUNDING_POINTS: Final = 0.41
# Below this the rounding hides the rate.
MIN_POINTS: Final = 5
# Two reports that follow each other faster than this show no rate.
_MIN_SPAN_MS: Final = 200


class RunProgress:
    """Progress of one member of a run, by its worker's clock.

    Measured from the first growth that a report shows: before it the run may
    still be starting, or restoring a checkpoint.

    :ivar percent: newest progress.
    :ivar grown_ms: worker's clock when it last grew.
    :ivar is_compared: whether its host has been compared by it.
    """

    __slots__ = (
        "percent",
        "grown_ms",
        "is_compared",
        "_first_percent",
        "_first_ms",
    )

    def __init__(self, percent: int) -> None:
        """Start with the progress that the first report shows."""
        self.percent = percent
        self.grown_ms = 0
        self.is_compared = False
        self._first_percent = percent
        self._first_ms = 0

    @property
    def points(self) -> int:
        """Percent points over which the rate is measured."""
        return self.percent - self._first_percent if self._first_ms else 0

    @property
    def run_s(self) -> float:
        """Time of a whole run at this rate; 0 if it is not known."""
        span_ms = self.grown_ms - self._first_ms
        if self.points < MIN_POINTS or span_ms < _MIN_SPAN_MS:
            return 0.0
        return span_ms / 1000 * _FULL_PERCENT / self.points

    @property
    def log_variance(self) -> float:
        """Variance of the logarithm of :attr:`run_s`, by rounding alone."""
        return (_ROUNDING_POINTS / max(1, self.points)) ** 2

    def update(self, percent: int, clock_ms: int) -> bool:
        """Apply a report; return whether it shows measurable progress.

        Full progress is left out: a run may have reached it long before the
        report.
        """
        if not self.percent < percent < _FULL_PERCENT:
            return False
        if clock_ms < self.grown_ms:
            self.restart()
        if not self._first_ms:
            self._first_percent = percent
            self._first_ms = clock_ms
        self.percent = percent
        self.grown_ms = clock_ms
        return True

    def restart(self) -> None:
        """Measure anew from the next growth on."""
        self._first_percent = self.percent
        self._first_ms = 0
