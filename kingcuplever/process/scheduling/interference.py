"""Learns which kinds of tasks slow each other down on one worker.

A run is compared with itself: how fast it progressed just before a task of
one other kind came or went, and just after.  So neither the host's speed nor
the run's size matter.  A serving task is compared by its tail latency.
"""

import collections
from collections.abc import Iterable
import math
from typing import Final
from typing import NamedTuple

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import progress

# Standard deviations: of effects that are to be expected, and of a run's rate
# that changes by itself.
_EFFECT_SPREAD: Final = 0.15
_RATE_SPREAD: Final = 0.1
# Standard deviation of one reading of a tail latency, over its target.
_LATENCY_SPREAD: Final = 0.3
# Points of progress, or readings of a latency, on each side of a change.
_MIN_POINTS: Final = 6
_MIN_READINGS: Final = 3
# An effect counts once so many changes on two workers show it to be larger
# than zero by so many standard deviations, and larger than this.
_MIN_COUNT: Final = 6
_MIN_WORKERS: Final = 2
_MIN_DEVIATIONS: Final = 3.0
_MIN_EFFECT: Final = 0.05
# Effects change: an old observation loses its weight.
_DECAY_VARIANCE_PER_S: Final = 1e-5
_MIN_VARIANCE: Final = 2e-4
_FREEDOM: Final = 4.0
_MAX_PAIRS: Final = 1024

Pair = tuple[str, str]


class Listed(NamedTuple):
    """A task in a worker's list.

    :ivar kind: tasks of one kind behave alike.
    :ivar usage: tail latency of a serving task in milliseconds.
    :ivar target_ms: target for that; 0 for other tasks.
    """

    run: fleet.RunId
    kind: str
    percent: int
    usage: int
    target_ms: int


class _Effect:
    """Extra run time of a kind beside one task of another.

    :ivar workers: some of the workers that have shown it.
    """

    __slots__ = ("mean", "variance", "count", "workers", "updated_at")

    def __init__(self, now: float) -> None:
        self.mean = 0.0
        self.variance = _EFFECT_SPREAD**2
        self.count = 0
        self.workers: set[str] = set()
        self.updated_at = now

    @property
    def is_known(self) -> bool:
        """Whether tasks are to be kept apart for it."""
        doubt = _MIN_DEVIATIONS * math.sqrt(self.variance)
        return (
            self.count >= _MIN_COUNT
            and len(self.workers) >= _MIN_WORKERS
            and self.mean > max(_MIN_EFFECT, doubt)
        )

    def observe(
        self, value: float, variance: float, worker: str, now: float
    ) -> None:
        """Apply an observation; one that is far off counts little."""
        aged = (now - self.updated_at) * _DECAY_VARIANCE_PER_S
        self.variance = min(_EFFECT_SPREAD**2, self.variance + aged)
        deviation = value - self.mean
        scale = self.variance + variance
        weight = (_FREEDOM + 1) / (_FREEDOM + deviation * deviation / scale)
        gain = self.variance / (self.variance + variance / min(1.0, weight))
        self.mean += gain * deviation
        self.variance = max(_MIN_VARIANCE, self.variance * (1 - gain))
        self.count += 1
        self.updated_at = now
        if len(self.workers) < _MIN_WORKERS:
            self.workers.add(worker)


class _Measure(NamedTuple):
    """Logarithm of a rate, or a latency over its target."""

    value: float
    variance: float


class _Segment:
    """A run between two changes of its neighbours.

    :ivar before: its measure before the first of them, if there is any.
    :ivar neighbour: kind of the task that came or went then.
    :ivar change: number of tasks of that kind that came, less those gone.
    """

    __slots__ = (
        "before",
        "neighbour",
        "change",
        "_progress",
        "_readings",
        "_latency",
    )

    def __init__(self, percent: int) -> None:
        self.before: _Measure | None = None
        self.neighbour = ""
        self.change = 0
        self._progress = progress.RunProgress(percent)
        self._readings = 0
        self._latency = 0.0

    def add(self, row: Listed, clock_ms: int) -> None:
        """Add a row of a list."""
        if row.target_ms:
            self._readings += 1
            ratio = row.usage / row.target_ms
            self._latency += (ratio - self._latency) / self._readings
        else:
            self._progress.update(row.percent, clock_ms)

    def measure(self) -> _Measure | None:
        """Return how the run has fared, if enough was seen."""
        if self._readings >= _MIN_READINGS:
            return _Measure(self._latency, _LATENCY_SPREAD**2 / self._readings)
        run_s = self._progress.run_s
        if self._progress.points < _MIN_POINTS or not run_s:
            return None
        variance = _RATE_SPREAD**2 + self._progress.log_variance
        return _Measure(math.log(run_s), variance)


class _WorkerView:
    """The newest list of a worker."""

    __slots__ = ("clock_ms", "pace_percent", "kinds", "segments")

    def __init__(self) -> None:
        self.clock_ms = -1
        self.pace_percent = -1
        self.kinds: collections.Counter[str] = collections.Counter()
        self.segments: dict[fleet.RunId, _Segment] = {}


class Interference:
    """Effects of kinds of tasks on one another.

    :ivar observations: number of changes that were observed.
    """

    def __init__(self) -> None:
        """Start without effects."""
        self.observations = 0
        self._effects: dict[Pair, _Effect] = {}
        self._known: dict[Pair, float] = {}
        self._views: dict[str, _WorkerView] = {}

    @property
    def known_count(self) -> int:
        """Number of pairs of kinds that are kept apart."""
        return len(self._known)

    def observe_list(
        self,
        worker: str,
        rows: list[Listed],
        clock_ms: int,
        pace_percent: int,
        now: float,
    ) -> None:
        """Learn from a worker's list of tasks.

        :param pace_percent: share of its CPU that a filling task may use; a
            change of it hides the effect of another.
        """
        view = self._views.get(worker)
        if view is None:
            view = self._views[worker] = _WorkerView()
        if clock_ms == view.clock_ms:
            return
        kinds = collections.Counter(row.kind for row in rows)
        changes = _find_changes(view.kinds, kinds)
        is_cut = bool(changes) or pace_percent != view.pace_percent
        has_one_cause = len(changes) == 1 and pace_percent == view.pace_percent
        segments: dict[fleet.RunId, _Segment] = {}
        for row in rows:
            segment = view.segments.get(row.run)
            if segment is None or is_cut:
                former = segment
                segment = _Segment(row.percent)
                if former is not None and has_one_cause:
                    segment.before = former.measure()
                    ((segment.neighbour, segment.change),) = changes.items()
            segments[row.run] = segment
            segment.add(row, clock_ms)
            self._observe_segment(worker, row, segment, now)
        view.clock_ms = clock_ms
        view.pace_percent = pace_percent
        view.kinds = kinds
        view.segments = segments

    def forget_absent(self, present: Iterable[str]) -> None:
        """Forget the lists of workers that are gone."""
        self._views = {
            name: self._views[name] for name in present if name in self._views
        }

    def estimate_cost(self, kind: str, worker: str) -> float:
        """Return what a task of a kind and its neighbours cost one another.

        :return: the sum of their extra run times, as a share.
        """
        view = self._views.get(worker) if self._known else None
        if view is None:
            return 0.0
        return sum(
            count
            * (
                self._known.get((kind, other), 0.0)
                + self._known.get((other, kind), 0.0)
            )
            for other, count in view.kinds.items()
        )

    def describe(self, now: float) -> str:
        """Describe the largest known effect, for the log."""
        text = (
            f"Neighbours: {self.observations} changes of"
            f" {len(self._effects)} pairs observed, {len(self._known)} slow"
            " each other"
        )
        pair = max(self._known, key=self._known.__getitem__, default=None)
        if pair is None:
            return f"{text}."
        effect = self._effects[pair]
        return (
            f"{text}: {pair[0]} takes {effect.mean:.0%} more beside {pair[1]}"
            f" (+-{math.sqrt(effect.variance):.0%}, {effect.count} changes,"
            f" {now - effect.updated_at:.0f} s ago)."
        )

    def _observe_segment(
        self, worker: str, row: Listed, segment: _Segment, now: float
    ) -> None:
        """Compare a run with itself, once after each change."""
        before = segment.before
        after = None if before is None else segment.measure()
        if before is None or after is None:
            return
        segment.before = None
        change = segment.change
        pair = (row.kind, segment.neighbour)
        effect = self._effects.pop(pair, None)
        if effect is None:
            effect = _Effect(now)
            if len(self._effects) >= _MAX_PAIRS:
                oldest = next(iter(self._effects))
                del self._effects[oldest]
                self._known.pop(oldest, None)
        self._effects[pair] = effect
        effect.observe(
            (after.value - before.value) / change,
            (after.variance + before.variance) / change**2,
            worker,
            now,
        )
        self.observations += 1
        self._known.pop(pair, None)
        if effect.is_known:
            self._known[pair] = effect.mean


def _find_changes(
    before: collections.Counter[str], after: collections.Counter[str]
) -> dict[str, int]:
    """Return how many more tasks of each kind there are, if not as many."""
    if before == after:
        return {}
    return {
        kind: after[kind] - before[kind]
        for kind in {*before, *after}
        if after[kind] != before[kind]
    }
