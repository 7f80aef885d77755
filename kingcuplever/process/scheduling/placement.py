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
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import work

Rooms = dict[str, model.Need]

_NOBODY: Final[Mapping[str, int]] = types.MappingProxyType({})


class Places(NamedTuple):
    """Workers for the tasks of a group, in their order.

    :ivar slow: some task is away from its data, or the gang spans racks.
    """

    workers: tuple[str, ...]
    slow: bool


def may_run(
    worker: fleet.Worker, group: work.Group, pool: str, now: float
) -> bool:
    """Tell whether a worker may run a group's tasks, room aside."""
    spec = group.spec
    return (
        worker.known
        and worker.linked
        and worker.takes_work
        and (not pool or worker.pool == pool)
        and group.job.spec.data_centre in ("", worker.data_centre)
        and now >= worker.away_until
        and (not spec.label or spec.label in worker.labels)
    )


def is_bound(spec: model.StepSpec) -> bool:
    """Tell whether work is slow in some racks."""
    return bool(spec.data_rack) or (spec.gang and spec.same_rack)


def may_be_slow(group: work.Group, now: float) -> bool:
    """Tell whether a group has waited long enough for the right place.

    Work that is slow in the wrong place waits as long as one run takes in
    the right one.
    """
    return now - group.ready_at > group.spec.estimate_ms / 1000


def choose(
    group: work.Group,
    workers: list[fleet.Worker],
    rooms: Rooms,
    taken: Callable[[str], int],
    allow_slow: bool,
    strangers: Mapping[str, int] = _NOBODY,
) -> Places | None:
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
        found = _choose_in_one_rack(group, workers, rooms, taken, strangers)
        if found is not None and (allow_slow or not found.slow):
            return found
        if not allow_slow:
            return None
        return _choose_anywhere(group, workers, rooms, taken, True, strangers)
    near = [w for w in workers if _is_near(spec, w)]
    found = _choose_anywhere(group, near, rooms, taken, False, strangers)
    if found is not None or not allow_slow:
        return found
    return _choose_anywhere(group, workers, rooms, taken, True, strangers)


def _is_near(spec: model.StepSpec, worker: fleet.Worker) -> bool:
    return not spec.data_rack or worker.rack == spec.data_rack


def _choose_in_one_rack(
    group: work.Group,
    workers: list[fleet.Worker],
    rooms: Rooms,
    taken: Callable[[str], int],
    strangers: Mapping[str, int],
) -> Places | None:
    best: Places | None = None
    for rack in sorted({worker.rack for worker in workers}):
        members = [worker for worker in workers if worker.rack == rack]
        wanted = group.spec.data_rack
        slow = bool(wanted) and rack != wanted
        if best is not None and slow >= best.slow:
            continue
        found = _choose_anywhere(group, members, rooms, taken, slow, strangers)
        if found is not None:
            best = found
    return best


def _choose_anywhere(
    group: work.Group,
    workers: Iterable[fleet.Worker],
    rooms: Rooms,
    taken: Callable[[str], int],
    slow: bool,
    strangers: Mapping[str, int],
) -> Places | None:
    """Fill workers one after another, the tightest fit first."""
    spec = group.spec
    need = spec.need
    left = {
        worker.name: rooms[worker.name]
        for worker in workers
        if need.fits(rooms[worker.name])
    }
    counts = {name: taken(name) for name in left} if spec.gang else {}
    chosen: list[str] = []
    order = sorted(
        left,
        key=lambda name: (
            name in group.avoid,
            _stands_in(strangers, name, left[name], need),
            left[name].gpus - need.gpus,
            left[name].cpu_milli,
            name,
        ),
    )
    for name in order:
        limit = spec.most_per_worker or len(group.tasks)
        used = counts.get(name, 0) if spec.gang else taken(name)
        while len(chosen) < len(group.tasks) and need.fits(left[name]):
            if spec.most_per_worker and used >= limit:
                break
            left[name] = left[name].minus(need)
            chosen.append(name)
            used += 1
        if len(chosen) == len(group.tasks):
            return Places(tuple(chosen), slow)
    return None


def _stands_in(
    strangers: Mapping[str, int], name: str, room: model.Need, need: model.Need
) -> bool:
    """Tell whether work would use accelerators promised to others."""
    return need.gpus > 0 and room.gpus - need.gpus < strangers.get(name, 0)
