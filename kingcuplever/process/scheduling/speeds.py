"""Learns which hosts are slow, from tasks of one step on several hosts.

Submitters' estimates are far off, but tasks of one step are alike: one that
takes longer than its siblings took elsewhere tells of its host.  Urgent work
keeps away from slow hosts where others have room.
"""

from collections.abc import Iterable
import math
import statistics
from typing import Final

from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import work

# A host counts as slow if its tasks take so much longer than on the middle
# one; a quarter of what an urgent job may take beyond its run time.
_SLOW: Final = math.log(1.12)
# Tasks at the usual pace that each host is taken to have run before its
# first; tasks of a step differ by a third.
_PRIOR: Final = 4.0
# One task tells no more than this factor; the rest is its own doing, or a
# fault that passes.
_MOST: Final = math.log(1.5)
# Siblings from which on a step tells of its hosts.
_SIBLINGS: Final = 3


class Speeds:
    """The paces of all hosts that have run tasks of several at once."""

    def __init__(self) -> None:
        """Take all hosts for equal."""
        self._paces: dict[str, model.HostPace] = {}
        self._middle = 0.0
        self._changed: dict[str, None] = {}
        self._runs: dict[work.StepId, list[tuple[str, float]]] = {}

    def load(self, paces: Iterable[model.HostPace]) -> None:
        """Begin with what a past owner has learned."""
        for pace in paces:
            self._paces[pace.host] = pace
        self._find_middle()

    def take_changed(self) -> list[model.HostPace]:
        """Give what was learned since the last call."""
        changed, self._changed = self._changed, {}
        return [self._paces[host] for host in changed]

    def delay(self, host: str) -> float:
        """Give how many times as long as usual a host's tasks take."""
        return math.exp(self._lag(host) - self._middle)

    def is_slow(self, host: str) -> bool:
        """Tell whether urgent work should keep away from a host."""
        return self._lag(host) - self._middle > _SLOW

    def note_run(self, step: work.StepId, host: str, seconds: float) -> None:
        """A task of a step was done, from its first start on."""
        if seconds > 0:
            runs = self._runs.setdefault(step, [])
            runs.append((host, math.log(seconds)))

    def end_step(self, step: work.StepId) -> None:
        """All tasks of a step are done; compare them."""
        runs = self._runs.pop(step, [])
        hosts = {host for host, _ in runs}
        if len(runs) < _SIBLINGS or len(hosts) < 2:
            return
        usual = statistics.median(
            took - self._lag(host) for host, took in runs
        )
        for host, took in runs:
            lag = min(_MOST, max(-_MOST, took - usual))
            pace = self._paces.get(host, model.HostPace(host, 0, 0.0))
            self._paces[host] = model.HostPace(
                host, pace.tasks + 1, round(pace.lag + lag, 3)
            )
            self._changed[host] = None
        self._find_middle()

    def drop_step(self, step: work.StepId) -> None:
        """A step's job is over before all its tasks were done."""
        self._runs.pop(step, None)

    def _find_middle(self) -> None:
        if self._paces:
            self._middle = statistics.median(map(self._lag, self._paces))

    def _lag(self, host: str) -> float:
        pace = self._paces.get(host)
        return 0.0 if pace is None else pace.lag / (pace.tasks + _PRIOR)
