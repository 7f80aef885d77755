"""Chooses the accelerators for a gang: the smallest enclosing cell first.

A gang is placed in one block of one worker, else in one worker, else in one
rack, else in the fewest neighbouring racks.  Among equal choices the tightest
wins, so that large blocks stay whole.  Pure functions over the ledger.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import enum
from typing import Final
from typing import NamedTuple

from kingcuplever.process import blocks
from kingcuplever.process import ledger as ledgers
from kingcuplever import shapes

# A small gang looks at so many workers before it settles for less.
_LOOK_AT_MOST: Final = 64
# Tasks without accelerators that one worker is expected to hold.
GPULESS_TASKS: Final = 16

MaskOf = Callable[[ledgers.WorkerRoom], int]


class Space(enum.Enum):
    """Which free accelerators may be used."""

    OPEN = "open"
    FREE = "free"


class Span(NamedTuple):
    """When something is expected to run, on the owner's clock."""

    now: float
    until: float


class Gang(NamedTuple):
    """What is to be placed.

    :ivar avoid: workers that are kept for another job.
    :ivar span: when it is expected to run.
    """

    tasks: int
    shape: shapes.TaskShape
    avoid: frozenset[str] = frozenset()
    span: Span = Span(0.0, 0.0)


def place(
    ledger: ledgers.Ledger, gang: Gang, space: Space
) -> tuple[shapes.Slot, ...] | None:
    """Place a gang on free accelerators.

    :return: one slot for each task, or ``None`` if it does not fit.
    """
    mask_of = _open_mask if space is Space.OPEN else _free_mask
    slots = _place_in_worker(ledger, gang, space, mask_of)
    if slots is None:
        slots = _place_in_racks(ledger, gang, space, mask_of)
    return slots


def place_within(
    rooms: Iterable[ledgers.WorkerRoom], gang: Gang, mask_of: MaskOf
) -> tuple[shapes.Slot, ...] | None:
    """Place a gang on given workers, fewest workers first.

    :param mask_of: accelerators of a worker that may be used.
    """
    counted = [
        (room.fits_count(gang.shape, mask_of(room)), room)
        for room in rooms
        if room.shape.worker not in gang.avoid
    ]
    slots: list[shapes.Slot] = []
    while len(slots) < gang.tasks:
        need = gang.tasks - len(slots)
        chosen = _tightest(counted, need)
        if chosen is None:
            return None
        count, room = counted.pop(chosen)
        slots += _carve(room, gang.shape, min(count, need), mask_of(room))
    return tuple(slots)


def _tightest(
    counted: list[tuple[int, ledgers.WorkerRoom]], need: int
) -> int | None:
    """Choose the least sufficient worker, else the roomiest."""
    sufficient = [
        (count, index)
        for index, (count, _) in enumerate(counted)
        if count >= need
    ]
    if sufficient:
        return min(sufficient)[1]
    rest = [
        (-count, index)
        for index, (count, _) in enumerate(counted)
        if count > 0
    ]
    return min(rest)[1] if rest else None


def _carve(
    room: ledgers.WorkerRoom,
    shape: shapes.TaskShape,
    tasks: int,
    free_mask: int,
) -> list[shapes.Slot]:
    name = room.shape.worker
    if not shape.gpus:
        return [shapes.Slot(name, 0)] * tasks
    masks = blocks.carve(free_mask, room.shape.gpus, shape.gpus, tasks)
    return [shapes.Slot(name, mask) for mask in masks]


def _place_in_worker(
    ledger: ledgers.Ledger, gang: Gang, space: Space, mask_of: MaskOf
) -> tuple[shapes.Slot, ...] | None:
    whole = blocks.round_up(gang.tasks * blocks.round_up(gang.shape.gpus))
    if whole:
        slots = _place_in_block(ledger, gang, space, mask_of, whole)
        if slots is not None:
            return slots
    looked = 0
    for room in _candidates(ledger, gang.shape.gpus, space):
        looked += 1
        if looked > _LOOK_AT_MOST:
            break
        if room.shape.worker in gang.avoid:
            continue
        mask = mask_of(room)
        if room.fits_count(gang.shape, mask) < gang.tasks:
            continue
        slots = tuple(_carve(room, gang.shape, gang.tasks, mask))
        if len(slots) == gang.tasks:
            return slots
    return None


def _place_in_block(
    ledger: ledgers.Ledger,
    gang: Gang,
    space: Space,
    mask_of: MaskOf,
    size: int,
) -> tuple[shapes.Slot, ...] | None:
    """Place the whole gang in the aligned block where it blocks least."""
    best: tuple[float, str, int] | None = None
    looked = 0
    for room in _candidates(ledger, size, space):
        looked += 1
        if looked > _LOOK_AT_MOST:
            break
        name = room.shape.worker
        if name in gang.avoid:
            continue
        mask = mask_of(room)
        if room.fits_count(gang.shape, mask) < gang.tasks:
            continue
        for block in blocks.aligned_blocks(mask, room.shape.gpus, size):
            choice = (_blocking(room, block, gang.span), name, block)
            if best is None or choice < best:
                best = choice
    if best is None:
        return None
    _, name, block = best
    room = ledger.workers[name]
    return tuple(_carve(room, gang.shape, gang.tasks, block))


def _blocking(room: ledgers.WorkerRoom, block: int, span: Span) -> float:
    """Give for how long a placement keeps larger blocks from being whole.

    Every larger block around the chosen one counts by its size and by the
    time that it is blocked longer than by what runs there already.  Short
    work so gathers beside short work, and blocks come free together.
    """
    cost = 0.0
    size = block.bit_count() * 2
    while size <= room.shape.gpus:
        around = blocks.enclosing(block, size)
        busy_until = max(room.busy_until(around), span.now)
        longer_s = max(0.0, span.until - busy_until)
        cost += size * longer_s
        size *= 2
    return cost


def _candidates(
    ledger: ledgers.Ledger, need: int, space: Space
) -> Iterator[ledgers.WorkerRoom]:
    if not need:
        # Work without accelerators goes to the workers that have the
        # fewest left, so that it does not cost others their cores.
        rooms = list(ledger.usable_rooms())
        rooms.sort(key=lambda room: room.free_mask.bit_count())
        return iter(rooms)
    if space is Space.OPEN:
        return ledger.open_workers(need)
    return ledger.free_workers(need)


def _place_in_racks(
    ledger: ledgers.Ledger, gang: Gang, space: Space, mask_of: MaskOf
) -> tuple[shapes.Slot, ...] | None:
    racks = list(ledger.racks)
    counts = [_rack_count(ledger, rack, gang, space) for rack in racks]
    window = smallest_window(counts, gang.tasks)
    if window is None:
        return None
    rooms = [
        room
        for rack in racks[window[0] : window[1]]
        for room in ledger.rooms_of(rack)
    ]
    return place_within(rooms, gang, mask_of)


def _rack_count(
    ledger: ledgers.Ledger, rack: str, gang: Gang, space: Space
) -> int:
    open_only = space is Space.OPEN
    count = ledger.rack_count(rack, gang.shape, open_only)
    if gang.avoid and count:
        for room in ledger.rooms_of(rack):
            if room.shape.worker in gang.avoid:
                mask = room.open_mask if open_only else room.free_mask
                count -= room.fits_count(gang.shape, mask)
    return count


def smallest_window(counts: list[int], need: int) -> tuple[int, int] | None:
    """Choose the fewest neighbouring racks that suffice, tightest first.

    :return: first rack and the one after the last.
    """
    best: tuple[int, int, int] | None = None
    first = 0
    total = 0
    for last, count in enumerate(counts):
        total += count
        while total - counts[first] >= need:
            total -= counts[first]
            first += 1
        if total >= need:
            choice = (last + 1 - first, total, first)
            best = min(best, choice) if best else choice
    if best is None:
        return None
    return best[2], best[2] + best[0]


def _open_mask(room: ledgers.WorkerRoom) -> int:
    return room.open_mask


def _free_mask(room: ledgers.WorkerRoom) -> int:
    return room.free_mask
