"""Chooses workers for one group of tasks, or says that none will do.

A plan never overfills a worker, keeps to labels, limits on one worker and
racks, and prefers what leaves large accelerators whole.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import types
from typing import Final
from typing import NamedTuple

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model

FreeResources = dict[str, model.Resources]

_NONE_RESERVED: Final[Mapping[str, int]] = types.MappingProxyType({})


class Placement(NamedTuple):
    """Workers for the tasks of a group, in their order.

    :ivar slow: some task is away from its data, or the gang spans racks.
    """

    workers: tuple[str, ...]
    slow: bool


def is_eligible(
    worker: fleet.Worker, group: job_state.Group, pool: str, now: float
) -> bool:
    """Tell whether a worker may run a group's tasks, room aside."""
    spec = group.spec
    return (
        worker.has_reported
        and worker.is_connected
        and worker.is_schedulable
        and (not pool or worker.pool == pool)
        and group.job.spec.data_centre in ("", worker.data_centre)
        and now >= worker.quarantined_until
        and (not spec.label or spec.label in worker.labels)
    )


def is_locality_sensitive(spec: model.StepSpec) -> bool:
    """Tell whether work is slow in some racks."""
    return bool(spec.data_rack) or (spec.gang and spec.same_rack)


def is_locality_wait_over(group: job_state.Group, now: float) -> bool:
    """Tell whether a group has waited long enough for the right place.

    Work that is slow in the wrong place waits as long as one run takes in
    the right one.
    """
    return now - group.ready_at > group.spec.estimate_ms / 1000


def choose_workers(
    group: job_state.Group,
    workers: list[fleet.Worker],
    free: FreeResources,
    count_placed: Callable[[str], int],
    allow_slow: bool,
    reserved_gpus: Mapping[str, int] = _NONE_RESERVED,
) -> Placement | None:
    """Choose places for all tasks of a group.

    :param workers: those that may run it.
    :param rooms: free room by worker's name.
    :param taken: tasks of the same step that a worker has already.
    :param allow_slow: also give places where the work is slow.
    :param strangers: accelerators promised to others, by worker; work that
        keeps away from them need not be stopped for them.
    """
    spec = group.spec
    if spec.gang and spec.same_rack:
        found = _choose_in_one_rack(
            group, workers, free, count_placed, reserved_gpus
        )
        if found is not None and (allow_slow or not found.slow):
            return found
        if not allow_slow:
            return None
        return _choose_best_fit(
            group, workers, free, count_placed, True, reserved_gpus
        )
    near = [w for w in workers if _is_data_local(spec, w)]
    found = _choose_best_fit(
        group, near, free, count_placed, False, reserved_gpus
    )
    if found is not None or not allow_slow:
        return found
    return _choose_best_fit(
        group, workers, free, count_placed, True, reserved_gpus
    )


def _is_data_local(spec: model.StepSpec, worker: fleet.Worker) -> bool:
    return not spec.data_rack or worker.rack == spec.data_rack


def _choose_in_one_rack(
    group: job_state.Group,
    workers: list[fleet.Worker],
    rooms: FreeResources,
    taken: Callable[[str], int],
    strangers: Mapping[str, int],
) -> Placement | None:
    best: Placement | None = None
    for rack in sorted({worker.rack for worker in workers}):
        members = [worker for worker in workers if worker.rack == rack]
        wanted = group.spec.data_rack
        slow = bool(wanted) and rack != wanted
        if best is not None and slow >= best.slow:
            continue
        found = _choose_best_fit(group, members, rooms, taken, slow, strangers)
        if found is not None:
            best = found
    return best


def _choose_best_fit(
    group: job_state.Group,
    workers: Iterable[fleet.Worker],
    rooms: FreeResources,
    taken: Callable[[str], int],
    slow: bool,
    strangers: Mapping[str, int],
) -> Placement | None:
    """Fill workers one after another, the tightest fit first."""
    spec = group.spec
    need = spec.resources
    left = {
        worker.name: rooms[worker.name]
        for worker in workers
        if need.fits_into(rooms[worker.name])
    }
    counts = {name: taken(name) for name in left} if spec.gang else {}
    chosen: list[str] = []
    order = sorted(
        left,
        key=lambda name: (
            name in group.avoided_workers,
            _uses_reserved(strangers, name, left[name], need),
            left[name].gpus - need.gpus,
            left[name].cpu_milli,
            name,
        ),
    )
    for name in order:
        limit = spec.most_per_worker or len(group.tasks)
        used = counts.get(name, 0) if spec.gang else taken(name)
        while len(chosen) < len(group.tasks) and need.fits_into(left[name]):
            if spec.most_per_worker and used >= limit:
                break
            left[name] = left[name].subtract(need)
            chosen.append(name)
            used += 1
        if len(chosen) == len(group.tasks):
            return Placement(tuple(chosen), slow)
    return None


def _uses_reserved(
    strangers: Mapping[str, int],
    name: str,
    room: model.Resources,
    need: model.Resources,
) -> bool:
    """Tell whether work would use accelerators promised to others."""
    return need.gpus > 0 and room.gpus - need.gpus < strangers.get(name, 0)
