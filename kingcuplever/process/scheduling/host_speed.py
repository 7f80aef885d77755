"""Learns how fast hosts are from the run times of like tasks on them.

The logarithm of a run time is a sum of what its step takes, of the host's
slowness and of noise.  Both are fitted to the runs of the newest steps: a
step is what its runs take less the slowness of their hosts, and a host's
slowness is what its runs take less their steps.  A run that is reported costs
the same however many there are; the fit is made anew at most once a second.
"""

import itertools
import math
import operator
import statistics
from typing import Final
from typing import NamedTuple

# Standard deviations of logarithms: of hosts, and of what all of a step's
# tasks on one host have in common.
_HOST_SPREAD: Final = 0.4
_CELL_SPREAD: Final = 0.05
# Newest steps that are fitted, and hosts of a step that are kept.
_MAX_STEPS: Final = 96
_MAX_CELLS: Final = 32
_FIT_ROUNDS: Final = 3
# Degrees of freedom of Student's t-distribution, which bounds the weight of a
# task that takes many times as long as its siblings.
_FREEDOM: Final = 4.0
# A host is treated like all others until this many steps show a difference of
# so many standard deviations.
_MIN_COUNT: Final = 2
_MIN_DEVIATIONS: Final = 2.5
# Smaller differences don't order hosts; larger ones do in bands of this width.
_BAND: Final = 0.25
# Logarithm of the spread from which a fleet's hosts are ordered at all: in an
# evener one the fast hosts' queue costs more than their speed gains.
_MIN_SPREAD: Final = 0.75
# Hosts change: what is known of one is never surer than this.
_MIN_VARIANCE: Final = 0.001
# Knowledge of an incarnation counts for the next one as so many steps at most.
_REBORN_COUNT: Final = 2
_REFRESH_PERIOD_S: Final = 1.0
# Least time between two records of a host, and most records in a batch.
_RECORD_PERIOD_S: Final = 10.0
_MAX_CHANGES: Final = 8
# A host without a worker for this long is forgotten.
_FORGET_S: Final = 120.0
_MAX_HOSTS: Final = 4096
# Run times outside of these are no measurement.
_MIN_RUN_S: Final = 0.02
_MAX_RUN_S: Final = 1e6


class Comparison(NamedTuple):
    """A run's time on a host.

    :ivar host: the host, and the kind of its worker.
    :ivar step: what it is compared with: runs of one step.
    :ivar run_s: time of a whole run.
    :ivar log_variance: variance of its logarithm by the measurement.
    :ivar spread: standard deviation of the logarithms of the run times of the
        step's tasks on equal hosts.
    """

    host: str
    kind: str
    step: str
    run_s: float
    log_variance: float
    spread: float


class Estimate(NamedTuple):
    """What is known of a host.

    :ivar kind: kind of its worker.
    :ivar log_slowness: logarithm of its run times over those of an average
        host.
    :ivar variance: variance of that.
    :ivar steps: number of steps that it was compared by.
    :ivar updated_ms: wall-clock time of the newest comparison.
    """

    kind: str
    log_slowness: float
    variance: float
    steps: int
    updated_ms: int


class _Cell:
    """The runs of a step on one host.

    :ivar log_run: mean logarithm of their time; those far off count little.
    """

    __slots__ = ("count", "log_run", "noise")

    def __init__(self) -> None:
        self.count = 0
        self.log_run = 0.0
        self.noise = 0.0

    @property
    def variance(self) -> float:
        """Variance of the mean as a measurement of step and host."""
        return self.noise / self.count + _CELL_SPREAD**2

    def add(self, log_run: float, noise: float) -> None:
        """Add a run."""
        deviation = log_run - self.log_run
        weight = _weigh(deviation, noise) if self.count else 1.0
        self.count += 1
        self.noise += (noise - self.noise) / self.count
        self.log_run += deviation * weight / self.count


class _Step:
    """A step that is fitted.

    :ivar mean: absent until it was fitted.
    """

    __slots__ = ("cells", "mean")

    def __init__(self) -> None:
        self.cells: dict[str, _Cell] = {}
        self.mean: float | None = None

    @property
    def compares_hosts(self) -> bool:
        """Whether it says anything of its hosts."""
        return len(self.cells) > 1


class _Host:
    """A host.

    :ivar prior_mean: slowness as known without the steps that are fitted.
    :ivar prior_variance: variance of that.
    :ivar information: inverse variance by those steps, while they are fitted.
    :ivar evidence: sum of their measurements, each by its weight.
    :ivar count: number of steps that it was compared by.
    """

    __slots__ = (
        "kind",
        "worker",
        "prior_mean",
        "prior_variance",
        "mean",
        "variance",
        "weight",
        "information",
        "evidence",
        "count",
        "updated_ms",
        "seen_at",
    )

    def __init__(self, kind: str, now: float) -> None:
        self.kind = kind
        self.worker = ""
        self.prior_mean = self.mean = 0.0
        self.prior_variance = self.variance = _HOST_SPREAD**2
        self.weight = 0.0
        self.information = 0.0
        self.evidence = 0.0
        self.count = 0
        self.updated_ms = 0
        self.seen_at = now

    def set_prior(self, mean: float, variance: float) -> None:
        """Set what is known without the steps that are fitted."""
        floor = _MIN_VARIANCE
        self.prior_mean = self.mean = mean
        self.prior_variance = self.variance = max(variance, floor)

    def begin_fit(self) -> None:
        """Begin a round of the fit."""
        self.weight = self.information = self.evidence = 0.0

    def add(self, value: float, weight: float, information: float) -> None:
        """Add a measurement of the slowness by one step."""
        self.weight += weight
        self.evidence += value * weight
        self.information += information

    def end_fit(self) -> None:
        """Combine the measurements with what was known."""
        prior = 1 / self.prior_variance
        total = prior + self.weight
        self.mean = (self.prior_mean * prior + self.evidence) / total
        self.variance = 1 / (prior + self.information)


class HostSpeeds:
    """Relative speeds of hosts.

    :ivar comparisons: how often a host was compared with others.
    :ivar is_uneven: whether the hosts differ enough to order workers by them.
    """

    def __init__(self) -> None:
        """Start without knowledge."""
        self.comparisons = 0
        self._hosts: dict[str, _Host] = {}
        self._steps: dict[str, _Step] = {}
        self._is_fitted = True
        self._bands: dict[str, float] = {}
        self.is_uneven = False
        self._recorded: dict[str, tuple[float, Estimate]] = {}
        self._changes: dict[str, Estimate | None] = {}
        self._typical = 0.0
        self._refreshed_at = float("-inf")

    @property
    def differing_count(self) -> int:
        """Number of hosts that are known to differ from the others."""
        return len(self._bands)

    def find_slowness(self, host: str) -> float:
        """Return the extra run time on a host as a share, 0 if unknown."""
        return self._bands.get(host, 0.0)

    def find_estimate(self, host: str) -> Estimate | None:
        """Return what is known of a host, relative to the others."""
        known = self._hosts.get(host)
        if known is None or not known.count:
            return None
        return _make_estimate(known, self._typical)

    def compare(
        self, comparison: Comparison, now: float, wall_ms: int
    ) -> None:
        """Learn from a run; each run is passed once."""
        if not _MIN_RUN_S <= comparison.run_s <= _MAX_RUN_S:
            return
        step = self._steps.get(comparison.step)
        if step is None:
            if len(self._steps) >= _MAX_STEPS:
                self._fold_oldest_step()
            step = self._steps[comparison.step] = _Step()
        cell = step.cells.get(comparison.host)
        if cell is None:
            if len(step.cells) >= _MAX_CELLS:
                return
            cell = step.cells[comparison.host] = _Cell()
        host = self._get_host(comparison.host, comparison.kind, now)
        if not cell.count:
            host.count += 1
        host.updated_ms = wall_ms
        noise = comparison.spread**2 + comparison.log_variance
        cell.add(math.log(comparison.run_s), noise)
        self.comparisons += 1
        self._is_fitted = False

    def _fold_oldest_step(self) -> None:
        """Keep what the oldest step shows of its hosts, and drop it."""
        name = next(iter(self._steps))
        if self._steps[name].compares_hosts and self._steps[name].mean is None:
            # The others are fitted with it, so this is rare.
            self._fit()
        step = self._steps.pop(name)
        if step.mean is None:
            return
        total = sum(1 / cell.variance for cell in step.cells.values())
        for host_name, cell in step.cells.items():
            host = self._hosts.get(host_name)
            if host is None:
                continue
            weight = 1 / cell.variance
            information = weight * (1 - weight / total)
            prior = 1 / host.prior_variance
            gain = information / (prior + information)
            value = cell.log_run - step.mean
            host.set_prior(
                host.prior_mean + gain * (value - host.prior_mean),
                1 / (prior + information),
            )

    def _fit(self) -> None:
        """Fit steps and hosts to the runs."""
        for _ in range(_FIT_ROUNDS):
            for host in self._hosts.values():
                host.begin_fit()
            for step in self._steps.values():
                self._fit_step(step)
            for host in self._hosts.values():
                host.end_fit()
        self._is_fitted = True

    def _fit_step(self, step: _Step) -> None:
        rows = [
            (self._hosts[name], cell)
            for name, cell in step.cells.items()
            if name in self._hosts
        ]
        if len(rows) < 2:
            return
        values = [cell.log_run - host.mean for host, cell in rows]
        middle = statistics.median(values)
        weights = [
            _weigh(value - middle, cell.variance + host.variance)
            / (cell.variance + host.variance)
            for value, (host, cell) in zip(values, rows, strict=True)
        ]
        step.mean = sum(map(operator.mul, values, weights)) / sum(weights)
        total = sum(1 / cell.variance for _, cell in rows)
        for host, cell in rows:
            value = cell.log_run - step.mean
            variance = cell.variance
            weight = _weigh(value - host.mean, variance + host.variance)
            weight /= variance
            host.add(value, weight, weight * (1 - 1 / variance / total))

    def note_worker(self, host: str, kind: str, worker: str) -> None:
        """Doubt what is known of a host that has another incarnation.

        Another kind of worker is another host.
        """
        known = self._hosts.get(host)
        if known is None or known.worker == worker:
            return
        if known.kind != kind:
            self._forget(host)
            return
        is_restored = not known.worker
        known.worker = worker
        if is_restored:
            return
        for step in self._steps.values():
            step.cells.pop(host, None)
        known.count = min(known.count, _REBORN_COUNT)
        doubt = _HOST_SPREAD**2 / _REBORN_COUNT
        known.set_prior(known.mean, known.variance + doubt)

    def is_refresh_due(self, now: float) -> bool:
        """Return whether the order of the hosts is out of date."""
        return now - self._refreshed_at >= _REFRESH_PERIOD_S

    def refresh(self, present: set[str], now: float) -> None:
        """Order the hosts anew, and forget those without a worker.

        :param present: the hosts that have one.
        """
        self._refreshed_at = now
        for name in [*self._hosts]:
            if name in present:
                self._hosts[name].seen_at = now
            elif now - self._hosts[name].seen_at > _FORGET_S:
                self._forget(name)
        if not self._is_fitted:
            self._fit()
        # Only hosts that differ are recorded, so after a takeover those that
        # are not known yet count as the prior says.
        means = [
            host.mean if host.count else 0.0
            for name, host in self._hosts.items()
            if host.count or name in present
        ]
        self._typical = statistics.median(means) if means else 0.0
        self._bands = {}
        for name, host in self._hosts.items():
            band = _find_band(host, self._typical)
            if band:
                self._bands[name] = math.expm1(band)
        spread = [0.0, *map(math.log1p, self._bands.values())]
        self.is_uneven = max(spread) - min(spread) >= _MIN_SPREAD
        self._queue_changes(now)

    def take_changes(self) -> list[tuple[str, Estimate | None]]:
        """Return and clear some of the estimates to be recorded.

        :return: pairs of host and estimate; no estimate for a host that is
            forgotten.
        """
        names = list(itertools.islice(self._changes, _MAX_CHANGES))
        return [(name, self._changes.pop(name)) for name in names]

    def describe(self, wall_ms: int) -> str:
        """Describe the extremes of what is known, for the log."""
        known = [name for name, host in self._hosts.items() if host.count]
        known.sort(key=lambda name: self._hosts[name].mean)
        extremes = ", ".join(
            self._describe_host(name, wall_ms)
            for name in dict.fromkeys([*known[:1], *known[-1:]])
        )
        return (
            f"Speeds of {len(known)} hosts by {self.comparisons} comparisons,"
            f" {len(self._bands)} differ: {extremes}."
        )

    def _describe_host(self, name: str, wall_ms: int) -> str:
        host = self._hosts[name]
        factor = math.exp(host.mean - self._typical)
        age_s = (wall_ms - host.updated_ms) / 1000
        return (
            f"{name} takes {factor:.2f} times as long"
            f" (+-{math.sqrt(host.variance):.0%}, {host.count} steps,"
            f" {age_s:.0f} s ago)"
        )

    def _queue_changes(self, now: float) -> None:
        """Queue the estimates that differ from what is recorded.

        A host like the others needs no record.
        """
        for name, host in self._hosts.items():
            recorded = self._recorded.get(name)
            is_like_others = recorded is None and name not in self._bands
            if not host.count or is_like_others or name in self._changes:
                continue
            estimate = _make_estimate(host, 0.0)
            if recorded is None or (
                now - recorded[0] >= _RECORD_PERIOD_S
                and _is_news(recorded[1], estimate)
            ):
                self._recorded[name] = (now, estimate)
                self._changes[name] = estimate

    def restore(self, estimates: dict[str, Estimate], now: float) -> None:
        """Restore what a former owner has recorded."""
        for name, row in estimates.items():
            host = self._get_host(name, row.kind, now)
            host.set_prior(row.log_slowness, row.variance)
            host.count = row.steps
            host.updated_ms = row.updated_ms
            self._recorded[name] = (now, row)

    def _get_host(self, name: str, kind: str, now: float) -> _Host:
        host = self._hosts.get(name)
        if host is None:
            if len(self._hosts) >= _MAX_HOSTS:
                self._forget(next(iter(self._hosts)))
            host = self._hosts[name] = _Host(kind, now)
        return host

    def _forget(self, name: str) -> None:
        del self._hosts[name]
        self._bands.pop(name, None)
        self._changes.pop(name, None)
        if self._recorded.pop(name, None) is not None:
            self._changes[name] = None


def _weigh(deviation: float, variance: float) -> float:
    """Return the weight of a measurement, less if it is far off."""
    scaled = deviation * deviation / variance
    return min(1.0, (_FREEDOM + 1) / (_FREEDOM + scaled))


def _make_estimate(host: _Host, typical: float) -> Estimate:
    return Estimate(
        host.kind,
        host.mean - typical,
        host.variance,
        host.count,
        host.updated_ms,
    )


def _is_news(recorded: Estimate, estimate: Estimate) -> bool:
    """Return whether an estimate is worth a record."""
    shift = abs(recorded.log_slowness - estimate.log_slowness)
    return (
        recorded.kind != estimate.kind
        or shift > _BAND / 2
        or estimate.steps >= 2 * recorded.steps
    )


def _find_band(host: _Host, typical: float) -> float:
    """Return a host's slowness in bands; 0 if it may be like the others."""
    difference = host.mean - typical
    doubt = _MIN_DEVIATIONS * math.sqrt(host.variance)
    if host.count < _MIN_COUNT or abs(difference) < doubt:
        return 0.0
    return round(difference / _BAND) * _BAND
