"""Defragmenting moves: only where the gain pays for the checkpoint.

Space kept for a waiting gang is emptied early if the accelerator-seconds
that the gang gains are worth more, in the configuration's weights, than
those that the moved jobs lose by a checkpoint and a new start.  A worker
that holds little is emptied into the gaps of others, so that it is whole
again, if the same comparison says so.  Urgent work that finds no room moves
the least batch work that makes some.
"""

from typing import Final
from typing import NamedTuple

from kingcuplever.process import blocks
from kingcuplever.process import chooser
from kingcuplever.process import ledger as ledgers
from kingcuplever.process import placement
from kingcuplever.process import queueing
from kingcuplever.process import state
from kingcuplever.version import configuration

# A move loses, beside the checkpoint, the wait for a new place.
_RESTART_S: Final = 2.0
# The moved jobs may be so large, as a share of the waiting gang.
_MOVED_SHARE: Final = 0.5
# A worker is emptied only if at most this share of it is in use.
_LITTLE_SHARE: Final = 0.5
# Nobody may need the worker that is whole again, so a gathering move must
# gain this much more than it costs.
_GATHERING_PRICE: Final = 10.0
# Names trial holdings; no job's name has a slash.
_TRIAL: Final = "trial/"
# A job is moved at most so often.
_MOVES_AT_MOST: Final = 2
# ... and so often for urgent work, which may not wait.
_URGENT_MOVES_AT_MOST: Final = 4


class Making(NamedTuple):
    """Room that is to be made on a worker.

    :ivar victims: jobs to move.
    """

    worker: str
    victims: tuple[str, ...]


def worth_moving(
    schedule: state.Schedule,
    job: state.Job,
    keep: queueing.Keep,
    now: float,
    config: configuration.SchedulingConfig,
) -> tuple[str, ...]:
    """Give the jobs to move out of kept workers, or nothing.

    :param job: the waiting gang.
    :param keep: the workers that are kept for it.
    """
    victims = _borrowers_on(schedule, keep)
    if victims is None or not victims:
        return ()
    moved_gpus = sum(schedule.jobs[name].gpus for name in victims)
    if moved_gpus > job.gpus * _MOVED_SHARE:
        return ()
    lost_s = config.checkpoint_ms / 1000 + _RESTART_S
    gain = job.gpus * max(keep.ready_at - now, 0.0)
    cost = moved_gpus * lost_s
    worth = gain * max(config.fragmentation_weight, 0.01)
    price = cost * max(config.completion_weight, 0.01)
    return victims if worth > price else ()


def worth_gathering(
    schedule: state.Schedule,
    now: float,
    config: configuration.SchedulingConfig,
    avoid: frozenset[str],
) -> tuple[str, ...]:
    """Give the jobs to move so that one more worker is whole, or nothing.

    :param avoid: workers that are kept for a job.
    """
    ledger = schedule.ledger
    whole = frozenset(
        name
        for name, room in ledger.workers.items()
        if room.usable and not room.used_mask
    )
    best: tuple[float, tuple[str, ...]] = (0.0, ())
    for room in ledger.usable_rooms():
        name = room.shape.worker
        used = room.used_mask.bit_count()
        if name in avoid or not 0 < used <= room.shape.gpus * _LITTLE_SHARE:
            continue
        worth = _worth_of(schedule, room, now, config)
        if worth > best[0]:
            victims = _movable(schedule, room, now)
            taken = avoid | whole | {name}
            if victims and _fit_elsewhere(schedule, victims, taken):
                best = (worth, victims)
    return best[1]


def for_urgent(
    schedule: state.Schedule, job: state.Job, avoid: frozenset[str]
) -> Making | None:
    """Choose the batch work to move so that urgent work can start.

    Only borrowers of one worker are moved, those with the fewest
    accelerators, and none that was moved often.

    :param avoid: workers that must not be used.
    """
    shape = job.spec.shape
    size = blocks.round_up(job.spec.tasks * blocks.round_up(shape.gpus))
    if not size:
        return None
    best: tuple[int, str, Making] | None = None
    for room in schedule.ledger.usable_rooms():
        name = room.shape.worker
        if name in avoid:
            continue
        full = blocks.full_mask(room.shape.gpus)
        for block in blocks.aligned_blocks(full, room.shape.gpus, size):
            victims = _movable_from(schedule, room, block, job)
            if not victims:
                continue
            gpus = sum(schedule.jobs[victim].gpus for victim in victims)
            choice = (gpus, name, Making(name, victims))
            if best is None or choice[:2] < best[:2]:
                best = choice
    return best[2] if best else None


def _movable_from(
    schedule: state.Schedule,
    room: ledgers.WorkerRoom,
    block: int,
    job: state.Job,
) -> tuple[str, ...]:
    """Give the jobs on a block, if all may move and that is enough."""
    found: dict[str, None] = {}
    cores = room.cores_free
    memory_gb = room.memory_free_gb
    for holding in room.holdings.values():
        if not holding.slot.gpu_mask & block:
            continue
        victim = schedule.jobs.get(holding.job)
        if victim is None or victim.phase != "running":
            return ()
        if victim.spec.priority == "urgent":
            return ()
        if victim.evictions >= _URGENT_MOVES_AT_MOST:
            return ()
        if not chooser.is_borrowed(schedule, room, holding):
            return ()
        found[holding.job] = None
        cores += holding.shape.cores
        memory_gb += holding.shape.memory_gb
    shape = job.spec.shape
    tasks = job.spec.tasks
    if cores < tasks * shape.cores or memory_gb < tasks * shape.memory_gb:
        return ()
    return tuple(found)


def _worth_of(
    schedule: state.Schedule,
    room: ledgers.WorkerRoom,
    now: float,
    config: configuration.SchedulingConfig,
) -> float:
    """Give what emptying a worker gains over its price."""
    rest_s = max(
        (holding.ends_at - now for holding in room.holdings.values()),
        default=0.0,
    )
    lost_s = config.checkpoint_ms / 1000 + _RESTART_S
    price = room.used_mask.bit_count() * lost_s * _GATHERING_PRICE
    gain = room.shape.gpus * max(rest_s, 0.0)
    return gain * config.fragmentation_weight - price * max(
        config.completion_weight, 0.01
    )


def _movable(
    schedule: state.Schedule, room: ledgers.WorkerRoom, now: float
) -> tuple[str, ...]:
    """Give all jobs of a worker, if each may be moved; else nothing."""
    found: dict[str, None] = {}
    for holding in room.holdings.values():
        job = schedule.jobs.get(holding.job)
        if job is None or job.phase != "running" or job.spec.tasks > 1:
            return ()
        if job.spec.priority == "urgent" or job.evictions >= _MOVES_AT_MOST:
            return ()
        if not chooser.is_borrowed(schedule, room, holding):
            return ()
        found[holding.job] = None
    return tuple(found)


def _fit_elsewhere(
    schedule: state.Schedule, victims: tuple[str, ...], avoid: frozenset[str]
) -> bool:
    """Tell whether jobs fit together into the gaps of other workers."""
    ledger = schedule.ledger
    fits = True
    for name in victims:
        spec = schedule.jobs[name].spec
        gang = placement.Gang(spec.tasks, spec.shape, avoid)
        slots = placement.place(ledger, gang, placement.Space.OPEN)
        if slots is None:
            fits = False
            break
        for task, slot in enumerate(slots):
            trial = ledgers.Holding(_TRIAL + name, 0, task, slot, spec.shape)
            ledger.hold(trial)
    for name in victims:
        ledger.release(_TRIAL + name, 0)
    return fits


def _borrowers_on(
    schedule: state.Schedule, keep: queueing.Keep
) -> tuple[str, ...] | None:
    """Give the borrowers on kept workers; ``None`` if one can't move."""
    found: dict[str, None] = {}
    for worker in sorted(keep.workers):
        room = schedule.ledger.workers[worker]
        for holding in room.holdings.values():
            job = schedule.jobs.get(holding.job)
            if job is None or job.phase != "running":
                return None
            if not chooser.is_borrowed(schedule, room, holding):
                continue
            if job.evictions >= _MOVES_AT_MOST:
                return None
            if job.spec.priority == "urgent":
                return None
            found[holding.job] = None
    return tuple(found)
