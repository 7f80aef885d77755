"""Chooses workers for one group of tasks, by best fit.

A placement never exceeds a worker's free resources and obeys labels, racks
and the limit of tasks on one worker.  Best fit keeps workers with many free
accelerators unfragmented for large tasks.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import types
from typing import Final
from typing import NamedTuple

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import footprint as footprints
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model

FreeResources = dict[str, model.Resources]
ScoreWorker = Callable[[fleet.Worker], int]

_NONE_RESERVED: Final[Mapping[str, int]] = types.MappingProxyType({})


def _score_equally(worker: fleet.Worker) -> int:
    return 0


# Bounds the time of the search for fewer workers: workers by tasks.
_MAX_COMPACT_STEPS: Final = 20_000


class Preferences(NamedTuple):
    """What orders the workers that have room.

    :ivar reserved_gpus: accelerators guaranteed to other accounts, by
        worker.  They are used last, since work there may be preempted.
    :ivar score: returns what a worker costs the group; it only orders
        workers, after avoided and reserved ones.
    :ivar drain_rate: how often a worker leaves at short notice, per second.
    """

    reserved_gpus: Mapping[str, int] = _NONE_RESERVED
    score: ScoreWorker = _score_equally
    drain_rate: float = 0.0


class Placement(NamedTuple):
    """Workers chosen for a group.

    :ivar workers: the worker of each task, in the order of the tasks.
    :ivar slow: some task is away from its data, or the gang spans racks.
    :ivar price: expected cost of a gang's footprint; 0 while no worker
        leaves.
    """

    workers: tuple[str, ...]
    slow: bool
    price: float = 0.0


def is_locality_sensitive(spec: model.StepSpec) -> bool:
    """Return whether a step's tasks run slower in some racks."""
    return bool(spec.data_rack) or (spec.gang and spec.same_rack)


def is_locality_wait_over(group: job_state.Group, waited_s: float) -> bool:
    """Return whether a group has waited long enough for a local placement.

    Work that is slow in the wrong rack waits as long as one run takes in
    the right one.
    """
    return waited_s > group.spec.estimate_ms / 1000


def can_be_local(
    group: job_state.Group, workers: Iterable[fleet.Worker]
) -> bool:
    """Return whether some rack could run a group where it is not slow.

    Counts what workers have in all, as their tasks will end.

    :param workers: those that are eligible for the group.
    """
    spec = group.spec
    fits_by_rack: dict[str, int] = {}
    for worker in workers:
        if not _is_data_local(spec, worker):
            continue
        limit = spec.most_per_worker or len(group.tasks)
        fits = spec.resources.count_fits(worker.capacity, limit)
        fits_by_rack[worker.rack] = fits_by_rack.get(worker.rack, 0) + fits
    most = max(fits_by_rack.values(), default=0)
    return most >= (len(group.tasks) if spec.gang else 1)


def choose_workers(
    group: job_state.Group,
    workers: list[fleet.Worker],
    free: FreeResources,
    count_placed: Callable[[str], int],
    allow_slow: bool,
    preferences: Preferences = Preferences(),
) -> Placement | None:
    """Choose workers for all tasks of a group.

    :param workers: those that are eligible for the group.
    :param free: free resources by worker.
    :param count_placed: returns how many tasks of the same step a worker
        has.
    :param allow_slow: accept a placement where the work is slow.
    :param preferences: order of the workers.
    :return: None if the free resources don't suffice.
    """
    spec = group.spec
    if spec.gang and spec.same_rack:
        found = _choose_in_one_rack(
            group, workers, free, count_placed, preferences
        )
        if found is not None and (allow_slow or not found.slow):
            return found
        if not allow_slow:
            return None
        return _choose_best_fit(
            group, workers, free, count_placed, True, preferences
        )
    local_workers = [w for w in workers if _is_data_local(spec, w)]
    found = _choose_best_fit(
        group, local_workers, free, count_placed, False, preferences
    )
    if found is not None or not allow_slow:
        return found
    return _choose_best_fit(
        group, workers, free, count_placed, True, preferences
    )


def _is_data_local(spec: model.StepSpec, worker: fleet.Worker) -> bool:
    return not spec.data_rack or worker.rack == spec.data_rack


def _choose_in_one_rack(
    group: job_state.Group,
    workers: list[fleet.Worker],
    free: FreeResources,
    count_placed: Callable[[str], int],
    preferences: Preferences,
) -> Placement | None:
    best: Placement | None = None
    for rack in sorted({worker.rack for worker in workers}):
        members = [worker for worker in workers if worker.rack == rack]
        data_rack = group.spec.data_rack
        slow = bool(data_rack) and rack != data_rack
        if best is not None and _is_enough(best, slow, preferences):
            continue
        found = _choose_best_fit(
            group, members, free, count_placed, slow, preferences
        )
        if found is not None and (
            best is None or (found.slow, found.price) < (best.slow, best.price)
        ):
            best = found
    return best


def _is_enough(best: Placement, slow: bool, preferences: Preferences) -> bool:
    """Return whether another rack can't be better than the best so far."""
    if preferences.drain_rate:
        return slow > best.slow
    return slow >= best.slow


def _choose_best_fit(
    group: job_state.Group,
    workers: list[fleet.Worker],
    free: FreeResources,
    count_placed: Callable[[str], int],
    slow: bool,
    preferences: Preferences,
) -> Placement | None:
    """Choose by best fit, or on fewer workers where that costs less."""
    filling = _Filling(group, workers, free, count_placed, preferences)
    best = filling.fill(filling.best_fit_order())
    if best is None:
        return None
    if not (preferences.drain_rate and group.spec.gang):
        return Placement(best, slow)
    if len(group.tasks) * len(free) > _MAX_COMPACT_STEPS:
        return Placement(best, slow, filling.price(best))
    best = min(best, filling.fill_compactly(), key=filling.price)
    return Placement(best, slow, filling.price(best))


class _Filling:
    """Fills workers with the tasks of one group, one after another."""

    def __init__(
        self,
        group: job_state.Group,
        workers: Iterable[fleet.Worker],
        free: FreeResources,
        count_placed: Callable[[str], int],
        preferences: Preferences,
    ) -> None:
        self._group = group
        self._request = group.spec.resources
        self._preferences = preferences
        self._count_placed = count_placed
        self._workers = {
            worker.name: worker
            for worker in workers
            if self._request.fits_into(free[worker.name])
        }
        self._free = {name: free[name] for name in self._workers}
        reserved = preferences.reserved_gpus
        self._ranks = {
            name: (
                name in group.avoided_workers,
                _uses_reserved(reserved, name, available, self._request),
                preferences.score(self._workers[name]),
            )
            for name, available in self._free.items()
        }

    def best_fit_order(self) -> list[str]:
        """Return the workers, the best fit first."""
        return sorted(
            self._free, key=lambda name: (self._ranks[name], self._fit(name))
        )

    def fill(self, order: Iterable[str]) -> tuple[str, ...] | None:
        """Fill workers in an order; return None if they don't suffice."""
        chosen: list[str] = []
        for name in order:
            missing = len(self._group.tasks) - len(chosen)
            chosen += [name] * self._count_fitting(name, missing)
            if len(chosen) == len(self._group.tasks):
                return tuple(chosen)
        return None

    def fill_compactly(self) -> tuple[str, ...]:
        """Fill as few workers, and then racks, as a greedy choice finds.

        The free resources must suffice.
        """
        chosen: list[str] = []
        unused = set(self._free)
        racks: set[str] = set()
        while len(chosen) < len(self._group.tasks):
            missing = len(self._group.tasks) - len(chosen)
            counts = {
                name: self._count_fitting(name, missing) for name in unused
            }
            name = min(
                unused,
                key=lambda name: (
                    self._ranks[name],
                    -counts[name],
                    bool(racks) and self._workers[name].rack not in racks,
                    self._fit(name),
                ),
            )
            chosen += [name] * counts[name]
            unused.discard(name)
            racks.add(self._workers[name].rack)
        return tuple(chosen)

    def price(self, chosen: tuple[str, ...]) -> float:
        """Return the expected cost of a choice."""
        names = set(chosen)
        opened_gpus = sum(
            self._free[name].gpus
            for name in names
            if self._free[name].gpus == self._workers[name].capacity.gpus
        )
        footprint = footprints.Footprint(len(names), opened_gpus)
        spec = self._group.spec
        return footprints.price(spec, footprint, self._preferences.drain_rate)

    def _fit(self, name: str) -> tuple[int, int, str]:
        available = self._free[name]
        return (
            available.gpus - self._request.gpus,
            available.cpu_milli,
            name,
        )

    def _count_fitting(self, name: str, most: int) -> int:
        """Return how many of the missing tasks a worker takes."""
        limit = self._group.spec.most_per_worker
        if limit:
            most = min(most, limit - self._count_placed(name))
        available = self._free[name]
        count = 0
        while count < most and self._request.fits_into(available):
            available = available.subtract(self._request)
            count += 1
        return count


def _uses_reserved(
    reserved_gpus: Mapping[str, int],
    name: str,
    available: model.Resources,
    request: model.Resources,
) -> bool:
    """Return whether a task would use other accounts' accelerators."""
    return (
        request.gpus > 0
        and available.gpus - request.gpus < reserved_gpus.get(name, 0)
    )
