"""Chooses where a queued job goes, in the order of least harm.

First the account's own cells, then a swap of its cells for free ones, then
the eviction of borrowers from its cells, then borrowed space.  Pure
functions over the replicated state.
"""

from typing import Final
from typing import NamedTuple

from kingcuplever.process import bindings
from kingcuplever.process import blocks
from kingcuplever.process import ledger as ledgers
from kingcuplever.process import placement
from kingcuplever.process import state
from kingcuplever import records
from kingcuplever import shapes

_ROUNDING: Final = 1e-6


class Choice(NamedTuple):
    """Where a job may go.

    :ivar borrowed: whether it may be evicted from there.
    :ivar victims: jobs that must be evicted first.
    :ivar reason: for the log line and the record.
    """

    slots: tuple[shapes.Slot, ...]
    borrowed: bool
    rebinds: tuple[records.Rebind, ...] = ()
    victims: tuple[str, ...] = ()
    reason: str = ""


def choose(
    schedule: state.Schedule,
    job: state.Job,
    kept: frozenset[str],
    shun: frozenset[str],
    span: placement.Span,
) -> Choice | None:
    """Choose a place for a job.

    :param kept: workers that are kept for other jobs; a guarantee does not
        heed them.
    :param shun: workers where the job should not go at all.
    :param span: when the job is expected to run.
    """
    account = schedule.accounts[job.spec.account]
    choice = None
    if account.bound and job.spec.shape.gpus:
        choice = _choose_guaranteed(schedule, account, job, shun)
    if choice is None:
        choice = _choose_borrowed(schedule, job, kept | shun, span)
    if choice is None and account.bound and job.spec.shape.gpus:
        choice = _choose_reclaim(schedule, account, job, shun)
    return choice


def limit_reached(account: state.Account, spec: shapes.JobSpec) -> str:
    """Say which limit keeps a job waiting, or give nothing."""
    gpus = spec.tasks * spec.shape.gpus
    most = account.spec.max_gpus
    if most and account.gpus_in_use + gpus > most:
        return f"account {spec.account} uses {account.gpus_in_use} of {most}"
    if spec.team:
        most = account.spec.teams.get(spec.team, 0)
        used = account.team_gpus.get(spec.team, 0)
        if used + gpus > most:
            return f"team {spec.team} uses {used} of {most}"
    return ""


def account_mask(room: ledgers.WorkerRoom, account: str) -> int:
    """Give the accelerators of a worker that are bound to an account."""
    mask = 0
    for block, name in room.bound.items():
        if name == account:
            mask |= block
    return mask


def borrowers(
    schedule: state.Schedule, account: str, slots: tuple[shapes.Slot, ...]
) -> tuple[str, ...]:
    """Give the jobs of other accounts that stand on given slots."""
    found: dict[str, None] = {}
    for slot in slots:
        room = schedule.ledger.workers[slot.worker]
        for holding in room.holdings.values():
            if not holding.slot.gpu_mask & slot.gpu_mask:
                continue
            owner = schedule.jobs.get(holding.job)
            if owner is None or owner.spec.account != account:
                found[holding.job] = None
    return tuple(found)


def _choose_guaranteed(
    schedule: state.Schedule,
    account: state.Account,
    job: state.Job,
    shun: frozenset[str],
) -> Choice | None:
    rooms = _own_rooms(schedule, account, job.spec.shape)
    gang = placement.Gang(job.spec.tasks, job.spec.shape, shun)
    name = account.spec.account

    def own_free(room: ledgers.WorkerRoom) -> int:
        return account_mask(room, name) & room.free_mask

    slots = placement.place_within(rooms, gang, own_free)
    if slots is not None:
        return Choice(slots, False, reason="own guaranteed cells")
    return _choose_swap(schedule, account, job, shun)


def _own_rooms(
    schedule: state.Schedule,
    account: state.Account,
    shape: shapes.TaskShape,
) -> list[ledgers.WorkerRoom]:
    """Give the workers whose bound cells can hold such a task.

    A guaranteed task may use no more than its cells' share of cores and
    memory; else it could starve the guarantee of a neighbour.
    """
    names = {cell.worker for bound in account.bound for cell in bound.cells}
    rooms = []
    for name in sorted(names):
        room = schedule.ledger.workers[name]
        if room.usable and _within_share(room.shape, shape):
            rooms.append(room)
    return rooms


def _within_share(worker: shapes.WorkerShape, shape: shapes.TaskShape) -> bool:
    share = blocks.round_up(shape.gpus) / worker.gpus
    fits_cores = shape.cores <= worker.cores * share + _ROUNDING
    fits_memory = shape.memory_gb <= worker.memory_gb * share + _ROUNDING
    return fits_cores and fits_memory


def _choose_swap(
    schedule: state.Schedule,
    account: state.Account,
    job: state.Job,
    shun: frozenset[str],
) -> Choice | None:
    """Move one of the account's shapes to free cells and place it there."""
    ledger = schedule.ledger
    for index, bound in enumerate(account.bound):
        if bound.missing or _own_work_in(schedule, account, bound):
            continue
        gpus = bindings.cell_gpus(ledger, bound.guarantee.level)
        cell_shape = shapes.TaskShape(gpus, 0.0, 0.0)
        gang = placement.Gang(bound.guarantee.cells, cell_shape, shun)
        free = placement.place(ledger, gang, placement.Space.OPEN)
        if free is None:
            continue
        cells = tuple(shapes.Cell(slot.worker, slot.gpu_mask) for slot in free)
        slots = _place_in_cells(ledger, job, cells)
        if slots is not None:
            rebind = records.Rebind(account.spec.account, index, cells)
            reason = "guaranteed cells swapped for free ones"
            return Choice(slots, False, (rebind,), reason=reason)
    return None


def _own_work_in(
    schedule: state.Schedule,
    account: state.Account,
    bound: state.BoundShape,
) -> bool:
    for cell in bound.cells:
        room = schedule.ledger.workers[cell.worker]
        for holding in room.holdings.values():
            if not holding.slot.gpu_mask & cell.gpu_mask:
                continue
            owner = schedule.jobs.get(holding.job)
            if owner and owner.spec.account == account.spec.account:
                return True
    return False


def _place_in_cells(
    ledger: ledgers.Ledger, job: state.Job, cells: tuple[shapes.Cell, ...]
) -> tuple[shapes.Slot, ...] | None:
    masks: dict[str, int] = {}
    for cell in cells:
        masks[cell.worker] = masks.get(cell.worker, 0) | cell.gpu_mask
    rooms = [
        ledger.workers[name]
        for name in masks
        if _within_share(ledger.workers[name].shape, job.spec.shape)
    ]
    gang = placement.Gang(job.spec.tasks, job.spec.shape)
    return placement.place_within(
        rooms, gang, lambda room: masks[room.shape.worker] & room.free_mask
    )


def _choose_borrowed(
    schedule: state.Schedule,
    job: state.Job,
    avoid: frozenset[str],
    span: placement.Span,
) -> Choice | None:
    gang = placement.Gang(job.spec.tasks, job.spec.shape, avoid, span)
    ledger = schedule.ledger
    slots = placement.place(ledger, gang, placement.Space.OPEN)
    if slots is not None:
        return Choice(slots, True, reason="open space")
    slots = placement.place(ledger, gang, placement.Space.FREE)
    if slots is not None:
        return Choice(slots, True, reason="idle guaranteed cells, borrowed")
    return None


def _choose_reclaim(
    schedule: state.Schedule,
    account: state.Account,
    job: state.Job,
    shun: frozenset[str],
) -> Choice | None:
    name = account.spec.account
    rooms = _own_rooms(schedule, account, job.spec.shape)
    masks = {
        room.shape.worker: account_mask(room, name)
        & ~_own_use(schedule, room, name)
        for room in rooms
    }
    # Evicting the borrowers frees the cells' share of cores and memory.
    shape = job.spec.shape._replace(cores=0.0, memory_gb=0.0)
    gang = placement.Gang(job.spec.tasks, shape, shun)
    slots = placement.place_within(
        rooms, gang, lambda room: masks[room.shape.worker]
    )
    if slots is None:
        return None
    victims = dict.fromkeys(borrowers(schedule, name, slots))
    victims |= dict.fromkeys(_crowders(schedule, job, slots, victims))
    reason = f"reclaim of own cells from {len(victims)} borrowers"
    return Choice(slots, False, victims=tuple(victims), reason=reason)


def _own_use(
    schedule: state.Schedule, room: ledgers.WorkerRoom, account: str
) -> int:
    """Give the accelerators that the account's own work uses."""
    mask = 0
    for holding in room.holdings.values():
        owner = schedule.jobs.get(holding.job)
        if owner is not None and owner.spec.account == account:
            mask |= holding.slot.gpu_mask
    return mask


def _crowders(
    schedule: state.Schedule,
    job: state.Job,
    slots: tuple[shapes.Slot, ...],
    victims: dict[str, None],
) -> list[str]:
    """Give more borrowers whose cores and memory the job needs."""
    shape = job.spec.shape
    tasks_on: dict[str, int] = {}
    for slot in slots:
        tasks_on[slot.worker] = tasks_on.get(slot.worker, 0) + 1
    found = []
    for worker, tasks in tasks_on.items():
        room = schedule.ledger.workers[worker]
        cores = room.cores_free - tasks * shape.cores
        memory_gb = room.memory_free_gb - tasks * shape.memory_gb
        for holding in room.holdings.values():
            if holding.job in victims or holding.job in found:
                cores += holding.shape.cores
                memory_gb += holding.shape.memory_gb
        for holding in room.holdings.values():
            if cores >= -_ROUNDING and memory_gb >= -_ROUNDING:
                break
            if holding.job in victims or holding.job in found:
                continue
            if not is_borrowed(schedule, room, holding):
                continue
            found.append(holding.job)
            cores += holding.shape.cores
            memory_gb += holding.shape.memory_gb
    return found


def is_borrowed(
    schedule: state.Schedule,
    room: ledgers.WorkerRoom,
    holding: ledgers.Holding,
) -> bool:
    """Tell whether a holding stands outside its account's own cells."""
    owner = schedule.jobs.get(holding.job)
    if owner is None:
        return True
    own = account_mask(room, owner.spec.account)
    mask = holding.slot.gpu_mask
    return not mask or mask & own != mask
