"""Estimates how long a run still takes.

The rate of its progress is the best evidence; then come the run times that
other runs of its queue had, as multiples of what submitters had declared, and
last the declaration itself.
"""

import bisect
import collections
from typing import Final
from typing import NamedTuple

_FULL_PERCENT: Final = 100
# Below this progress the run time so far says little about the rest.
_MIN_PERCENT_TO_EXTRAPOLATE: Final = 10
# Newest runs of a queue, or of an account on it, that are kept, and fewest
# that say anything.
_MAX_RUNS: Final = 64
_MIN_RUNS: Final = 8
# Queues, and accounts on queues, that are kept.
_MAX_KEYS: Final = 512

_Key = tuple[str, str]


class _Ratios:
    """Run times over declared times of the newest runs."""

    __slots__ = ("newest", "ordered")

    def __init__(self) -> None:
        self.newest: collections.deque[float] = collections.deque()
        self.ordered: list[float] = []

    def add(self, ratio: float) -> None:
        if len(self.newest) >= _MAX_RUNS:
            oldest = self.newest.popleft()
            del self.ordered[bisect.bisect_left(self.ordered, oldest)]
        self.newest.append(ratio)
        bisect.insort(self.ordered, ratio)

    def find_median_over(self, ratio: float) -> float:
        """Return the median of those that are larger; 0 if none is."""
        first = bisect.bisect_right(self.ordered, ratio)
        if first == len(self.ordered):
            return 0.0
        return self.ordered[(first + len(self.ordered)) // 2]


class RunTimes:
    """Run times on each queue, over what submitters declared."""

    def __init__(self) -> None:
        """Start without runs."""
        self._ratios: dict[_Key, _Ratios] = {}

    def record(
        self, queue: str, account: str, declared_s: float, run_s: float
    ) -> None:
        """Record the time of a whole run."""
        if declared_s <= 0 or run_s <= 0:
            return
        for key in ((queue, ""), (queue, account)):
            ratios = self._ratios.pop(key, None)
            if ratios is None:
                ratios = _Ratios()
                if len(self._ratios) >= _MAX_KEYS:
                    del self._ratios[next(iter(self._ratios))]
            self._ratios[key] = ratios
            ratios.add(run_s / declared_s)

    def expect_s(
        self, queue: str, account: str, declared_s: float, ran_s: float = 0.0
    ) -> float:
        """Return the expected time of a whole run.

        :param ran_s: time for which the run has been at work, which rules
            shorter run times out.
        """
        ratios = None
        for key in ((queue, account), (queue, "")):
            known = self._ratios.get(key)
            if known is not None and len(known.newest) >= _MIN_RUNS:
                ratios = known
                break
        if ratios is None or declared_s <= 0:
            return declared_s if ran_s < declared_s else 2 * ran_s
        ratio = ratios.find_median_over(ran_s / declared_s)
        # What has outlasted all others may last as long again.
        return ratio * declared_s if ratio else 2 * ran_s


class RunView(NamedTuple):
    """What is known of a run.

    :ivar percent: progress of its slowest member.
    :ivar paced_s: remaining time by the members' rates; None if some member
        has shown no rate.
    :ivar ran_s: time at work; 0 if unknown.
    :ivar is_resumed: whether its progress began with a checkpoint, or may
        have.
    :ivar declared_s: run time as the submitter estimates it.
    """

    percent: int
    paced_s: float | None
    ran_s: float
    is_resumed: bool
    declared_s: float


def estimate_remaining_s(
    run: RunView, run_times: RunTimes | None, queue: str, account: str
) -> float:
    """Estimate the remaining run time of a run."""
    if run.paced_s is not None:
        return run.paced_s
    left = 1 - run.percent / _FULL_PERCENT
    has_progress = run.percent >= _MIN_PERCENT_TO_EXTRAPOLATE
    if run.ran_s and has_progress and not run.is_resumed:
        return run.ran_s * left * _FULL_PERCENT / run.percent
    if run_times is None:
        return run.declared_s * left
    if run.percent and run.declared_s > 0:
        return run_times.expect_s(queue, account, run.declared_s) * left
    expected_s = run_times.expect_s(queue, account, run.declared_s, run.ran_s)
    return max(0.0, expected_s - run.ran_s)
