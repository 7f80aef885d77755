"""Keeps cells for guaranteed shapes: the promise that can be reclaimed.

Cells bound to accounts never overlap and lie on usable workers.  Work that
is not its account's own in its own cells is borrowed and may be evicted, so
each shape can be had back by evicting borrowers alone.  Choices here look
only at workers and bindings, never at what runs, so that every replica of
the state makes the same.
"""

from collections.abc import Iterable
from typing import NamedTuple

from kingcuplever.process import blocks
from kingcuplever.process import ledger as ledgers
from kingcuplever.process import placement
from kingcuplever.process import state
from kingcuplever import shapes


class Shortfall(NamedTuple):
    """A guarantee that the fleet can't give at present."""

    account: str
    guarantee: shapes.Guarantee
    missing: int


def cell_gpus(ledger: ledgers.Ledger, level: shapes.Level) -> int:
    """Give the accelerators of a cell; a worker cell is the largest."""
    if level == "worker":
        sizes = [room.shape.gpus for room in ledger.workers.values()]
        return max(sizes, default=0)
    return shapes.LEVEL_GPUS[level]


def find_cells(
    ledger: ledgers.Ledger, guarantee: shapes.Guarantee
) -> tuple[shapes.Cell, ...] | None:
    """Find adjacent cells that no account is promised.

    :return: the cells, or ``None`` if there are not enough together.
    """
    gpus = cell_gpus(ledger, guarantee.level)
    if not gpus:
        return None
    shape = shapes.TaskShape(gpus, 0.0, 0.0)
    gang = placement.Gang(guarantee.cells, shape)
    slots = _place_unbound(ledger, gang)
    if slots is None:
        return None
    return tuple(shapes.Cell(slot.worker, slot.gpu_mask) for slot in slots)


def bind_account(
    ledger: ledgers.Ledger, account: state.Account
) -> list[Shortfall]:
    """Bind all guaranteed shapes of an account that holds none yet."""
    shortfalls = []
    wanted = sorted(
        account.spec.guarantees,
        key=lambda item: -item.cells * cell_gpus(ledger, item.level),
    )
    for guarantee in wanted:
        bound = _bind_shape(ledger, account.spec.account, guarantee)
        account.bound.append(bound)
        if bound.missing:
            shortfalls.append(
                Shortfall(account.spec.account, guarantee, bound.missing)
            )
    return shortfalls


def unbind_account(ledger: ledgers.Ledger, account: state.Account) -> None:
    """Take back every cell of an account."""
    for bound in account.bound:
        for cell in bound.cells:
            ledger.unbind(cell)
    account.bound = []


def rebind_after_change(
    ledger: ledgers.Ledger,
    accounts: Iterable[state.Account],
    in_use: dict[shapes.Cell, str],
) -> list[Shortfall]:
    """Replace cells on workers that can't be used any more.

    :param in_use: bound cells where the account's own work runs; a shape
        with such a cell is mended cell by cell and not moved.
    :return: what can't be given now.
    """
    shortfalls = []
    for account in accounts:
        for index, bound in enumerate(account.bound):
            account.bound[index] = _mend(ledger, account, bound, in_use)
            missing = account.bound[index].missing
            if missing:
                shortfalls.append(
                    Shortfall(account.spec.account, bound.guarantee, missing)
                )
    return shortfalls


def can_move(ledger: ledgers.Ledger, cells: tuple[shapes.Cell, ...]) -> bool:
    """Tell whether cells exist, are usable and promised to nobody."""
    taken: dict[str, int] = {}
    for cell in cells:
        room = ledger.workers.get(cell.worker)
        if room is None or not room.usable:
            return False
        blocked = room.bound_mask | taken.get(cell.worker, 0)
        if cell.gpu_mask & blocked:
            return False
        taken[cell.worker] = taken.get(cell.worker, 0) | cell.gpu_mask
    return True


def _bind_shape(
    ledger: ledgers.Ledger, account: str, guarantee: shapes.Guarantee
) -> state.BoundShape:
    cells = find_cells(ledger, guarantee)
    if cells is None:
        cells = _find_some(ledger, guarantee)
    for cell in cells:
        ledger.bind(cell, account)
    return state.BoundShape(guarantee, cells, guarantee.cells - len(cells))


def _find_some(
    ledger: ledgers.Ledger, guarantee: shapes.Guarantee
) -> tuple[shapes.Cell, ...]:
    """Find as many adjacent cells as there are, fewer than wanted."""
    for count in range(guarantee.cells - 1, 0, -1):
        fewer = guarantee._replace(cells=count)
        cells = find_cells(ledger, fewer)
        if cells is not None:
            return cells
    return ()


def _mend(
    ledger: ledgers.Ledger,
    account: state.Account,
    bound: state.BoundShape,
    in_use: dict[shapes.Cell, str],
) -> state.BoundShape:
    sound = tuple(
        cell for cell in bound.cells if ledger.workers[cell.worker].usable
    )
    if len(sound) == bound.guarantee.cells:
        return bound
    name = account.spec.account
    for cell in bound.cells:
        ledger.unbind(cell)
    if not any(cell in in_use for cell in sound):
        return _bind_shape(ledger, name, bound.guarantee)
    for cell in sound:
        ledger.bind(cell, name)
    missing = bound.guarantee.cells - len(sound)
    rest = shapes.Guarantee(bound.guarantee.level, missing)
    more = _bind_shape(ledger, name, rest)
    return state.BoundShape(bound.guarantee, sound + more.cells, more.missing)


def _place_unbound(
    ledger: ledgers.Ledger, gang: placement.Gang
) -> tuple[shapes.Slot, ...] | None:
    rooms = sorted(
        ledger.usable_rooms(),
        key=lambda room: (_unbound(room).bit_count(), room.shape.worker),
    )
    gpus = gang.shape.gpus
    whole = blocks.round_up(gang.tasks * gpus)
    for room in rooms:
        mask = blocks.best_block(_unbound(room), room.shape.gpus, whole)
        if mask:
            masks = blocks.carve(mask, room.shape.gpus, gpus, gang.tasks)
            return tuple(shapes.Slot(room.shape.worker, m) for m in masks)
    for room in rooms:
        masks = blocks.carve(_unbound(room), room.shape.gpus, gpus, gang.tasks)
        if len(masks) == gang.tasks:
            return tuple(shapes.Slot(room.shape.worker, m) for m in masks)
    return _place_unbound_racks(ledger, gang)


def _place_unbound_racks(
    ledger: ledgers.Ledger, gang: placement.Gang
) -> tuple[shapes.Slot, ...] | None:
    racks = list(ledger.racks)
    counts = [
        sum(
            blocks.capacity(_unbound(room), room.shape.gpus, gang.shape.gpus)
            for room in ledger.rooms_of(rack)
        )
        for rack in racks
    ]
    window = placement.smallest_window(counts, gang.tasks)
    if window is None:
        return None
    rooms = [
        room
        for rack in racks[window[0] : window[1]]
        for room in ledger.rooms_of(rack)
    ]
    return placement.place_within(rooms, gang, _unbound)


def _unbound(room: ledgers.WorkerRoom) -> int:
    return blocks.full_mask(room.shape.gpus) & ~room.bound_mask
