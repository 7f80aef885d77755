"""Learns how often workers leave at short notice, and which hosts flap.

Kept in memory: a new owner starts without it, and chooses workers as if none
left until some do.
"""

import math
from typing import Final

from kingcuplever.process.scheduling import fleet

_MEMORY_S: Final = 120.0
_FLAP_MEMORY_S: Final = 30.0
# A few workers that leave just after a takeover are no high rate yet.
_MIN_OBSERVED_S: Final = 10.0

_Kind = tuple[str, str]


# A lower rate says that nothing has left for long.
_MIN_RATE_PER_S: Final = 1e-6


class _DecayingCount:
    """A count of events that are forgotten with time."""

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, now: float) -> None:
        self._value = self.get(now) + 1.0
        self._updated_at = now

    def get(self, now: float) -> float:
        elapsed_s = now - self._updated_at
        return self._value * math.exp(-elapsed_s / self._memory_s)


class Departures:
    """Rates at which workers leave, by their pool and kind, and by host."""

    def __init__(self) -> None:
        """Start without any knowledge."""
        self._drains: dict[_Kind, _DecayingCount] = {}
        self._flaps: dict[str, _DecayingCount] = {}
        self._sizes: dict[_Kind, int] = {}
        self._observed_since = float("inf")

    def observe(self, workers: list[fleet.Worker], now: float) -> None:
        """Note the workers that are there."""
        self._observed_since = min(self._observed_since, now)
        self._sizes = {}
        for worker in workers:
            kind = _kind_of(worker)
            self._sizes[kind] = self._sizes.get(kind, 0) + 1

    def record_drain(self, worker: fleet.Worker, now: float) -> None:
        """Record that a worker has begun to drain."""
        count = self._drains.setdefault(
            _kind_of(worker), _DecayingCount(_MEMORY_S)
        )
        count.add(now)

    def record_flap(self, side: str, now: float) -> None:
        """Record that a host's worker has ended without notice."""
        self._flaps.setdefault(side, _DecayingCount(_FLAP_MEMORY_S)).add(now)

    def get_drain_rate(self, worker: fleet.Worker, now: float) -> float:
        """Return how often a worker of this kind drains, per second."""
        kind = _kind_of(worker)
        if kind not in self._drains:
            return 0.0
        observed_s = max(_MIN_OBSERVED_S, now - self._observed_since)
        weight_s = _MEMORY_S * (1 - math.exp(-observed_s / _MEMORY_S))
        size = max(1, self._sizes.get(kind, 0))
        return self._drains[kind].get(now) / (size * weight_s)

    def get_flap_rate(self, worker: fleet.Worker, now: float) -> float:
        """Return how often a worker's host has flapped, per second."""
        count = self._flaps.get(worker.side)
        return 0.0 if count is None else count.get(now) / _FLAP_MEMORY_S

    def get_mean_drain_rate(
        self, workers: list[fleet.Worker], now: float
    ) -> float:
        """Return how often one of some workers drains, on average."""
        if not self._drains or not workers:
            return 0.0
        rates: dict[_Kind, float] = {}
        total = 0.0
        for worker in workers:
            kind = _kind_of(worker)
            if kind not in rates:
                rates[kind] = self.get_drain_rate(worker, now)
            total += rates[kind]
        rate = total / len(workers)
        return rate if rate >= _MIN_RATE_PER_S else 0.0


def _kind_of(worker: fleet.Worker) -> _Kind:
    return worker.pool, worker.labels[0] if worker.labels else ""
