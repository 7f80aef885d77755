"""What is in use and what is promised on the workers of one data centre.

The ledger counts accelerators, cores and memory, remembers which cells are
bound to which client account, and keeps an index of free blocks so that a
small placement need not look at the whole fleet.  It decides nothing.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Final
from typing import NamedTuple

from kingcuplever.process import blocks
from kingcuplever import shapes

# Cores and memory are sums of decimal fractions.
_ROUNDING: Final = 1e-6


class Holding(NamedTuple):
    """Room on one worker, held by one task of one attempt.

    :ivar ends_at: when it is expected to be given back, on the owner's
        clock; 0 where that is not known.
    """

    job: str
    attempt: int
    task: int
    slot: shapes.Slot
    shape: shapes.TaskShape
    ends_at: float = 0.0


class WorkerRoom:
    """Room on one worker.

    :ivar shape: the worker and its place.
    :ivar usable: whether new work may be placed here.
    :ivar used_mask: accelerators in use.
    :ivar cores_free: cores not promised to tasks.
    :ivar memory_free_gb: memory not promised to tasks.
    :ivar bound: account of each bound block, by the block's mask.
    """

    def __init__(self, shape: shapes.WorkerShape) -> None:
        """Start with an empty worker."""
        self.shape = shape
        self.usable = True
        self.used_mask = 0
        self.bound_mask = 0
        self.cores_free = shape.cores
        self.memory_free_gb = shape.memory_gb
        self.bound: dict[int, str] = {}
        self.holdings: dict[tuple[str, int, int], Holding] = {}

    @property
    def free_mask(self) -> int:
        """Accelerators that no task uses."""
        return blocks.full_mask(self.shape.gpus) & ~self.used_mask

    @property
    def open_mask(self) -> int:
        """Accelerators that no task uses and no account is promised."""
        return self.free_mask & ~self.bound_mask

    def busy_until(self, mask: int) -> float:
        """Give when a block is expected to be free; 0 if it is now."""
        if not mask & self.used_mask:
            return 0.0
        return max(
            holding.ends_at
            for holding in self.holdings.values()
            if holding.slot.gpu_mask & mask
        )

    def fits_count(self, shape: shapes.TaskShape, free_mask: int) -> int:
        """Count the tasks of a shape that fit, given free accelerators."""
        count = shapes.MAX_GANG_TASKS
        if shape.gpus:
            gpus = self.shape.gpus
            count = blocks.capacity(free_mask, gpus, shape.gpus)
        if shape.cores > 0:
            room = (self.cores_free + _ROUNDING) // shape.cores
            count = min(count, int(room))
        if shape.memory_gb > 0:
            room = (self.memory_free_gb + _ROUNDING) // shape.memory_gb
            count = min(count, int(room))
        return max(count, 0)


class _BlockIndex:
    """Workers by the sizes of their maximal free blocks."""

    def __init__(self) -> None:
        self._by_size: dict[int, dict[str, None]] = {}
        self._sizes_of: dict[str, frozenset[int]] = {}

    def update(self, worker: str, free_mask: int, gpus: int) -> None:
        found = blocks.maximal_blocks(free_mask, gpus)
        sizes = frozenset(block.bit_count() for block in found)
        before = self._sizes_of.get(worker, frozenset())
        for size in before - sizes:
            del self._by_size[size][worker]
        for size in sizes - before:
            self._by_size.setdefault(size, {})[worker] = None
        self._sizes_of[worker] = sizes

    def tightest_first(self, need: int) -> Iterator[str]:
        for size in sorted(self._by_size):
            if size >= need:
                yield from self._by_size[size]


class Ledger:
    """All workers of one data centre."""

    def __init__(self) -> None:
        """Start without workers."""
        self.workers: dict[str, WorkerRoom] = {}
        self.racks: dict[str, list[str]] = {}
        self._open = _BlockIndex()
        self._free = _BlockIndex()
        self._rack_counts: dict[str, dict[tuple[object, ...], int]] = {}
        self._holdings: dict[tuple[str, int], list[Holding]] = {}

    def set_worker(self, shape: shapes.WorkerShape, usable: bool) -> None:
        """Add a worker or change its usability."""
        room = self.workers.get(shape.worker)
        if room is None or room.shape != shape:
            room = self._replace_worker(shape)
        room.usable = usable
        self._changed(room)

    def hold(self, holding: Holding) -> None:
        """Take room for a task; taking it twice changes nothing."""
        room = self.workers.get(holding.slot.worker)
        key = (holding.job, holding.attempt, holding.task)
        if room is None or key in room.holdings:
            return
        room.holdings[key] = holding
        room.used_mask |= holding.slot.gpu_mask
        room.cores_free -= holding.shape.cores
        room.memory_free_gb -= holding.shape.memory_gb
        attempt = (holding.job, holding.attempt)
        self._holdings.setdefault(attempt, []).append(holding)
        self._changed(room)

    def release(self, job: str, attempt: int) -> None:
        """Give back all room of an attempt."""
        for holding in self._holdings.pop((job, attempt), []):
            room = self.workers.get(holding.slot.worker)
            key = (holding.job, holding.attempt, holding.task)
            if room is None or room.holdings.pop(key, None) is None:
                continue
            room.used_mask &= ~holding.slot.gpu_mask
            room.cores_free += holding.shape.cores
            room.memory_free_gb += holding.shape.memory_gb
            self._changed(room)

    def bind(self, cell: shapes.Cell, account: str) -> None:
        """Promise a cell to an account."""
        room = self.workers[cell.worker]
        room.bound[cell.gpu_mask] = account
        room.bound_mask |= cell.gpu_mask
        self._changed(room)

    def unbind(self, cell: shapes.Cell) -> None:
        """Take a promise back."""
        room = self.workers[cell.worker]
        del room.bound[cell.gpu_mask]
        room.bound_mask &= ~cell.gpu_mask
        self._changed(room)

    def open_workers(self, need: int) -> Iterator[WorkerRoom]:
        """Give usable workers with an open block, tightest block first."""
        for name in self._open.tightest_first(need):
            yield self.workers[name]

    def free_workers(self, need: int) -> Iterator[WorkerRoom]:
        """Give usable workers with a free block, tightest block first."""
        for name in self._free.tightest_first(need):
            yield self.workers[name]

    def rack_count(
        self, rack: str, shape: shapes.TaskShape, open_only: bool
    ) -> int:
        """Count the tasks of a shape that fit into a rack."""
        counts = self._rack_counts.setdefault(rack, {})
        key = (shape, open_only)
        if key not in counts:
            counts[key] = sum(
                room.fits_count(
                    shape, room.open_mask if open_only else room.free_mask
                )
                for room in self.rooms_of(rack)
            )
        return counts[key]

    def rooms_of(self, rack: str) -> Iterable[WorkerRoom]:
        """Give the usable workers of a rack, in order of name."""
        for name in self.racks.get(rack, ()):
            if self.workers[name].usable:
                yield self.workers[name]

    def usable_rooms(self) -> Iterable[WorkerRoom]:
        """Give every usable worker, rack by rack."""
        for rack in self.racks:
            yield from self.rooms_of(rack)

    def _replace_worker(self, shape: shapes.WorkerShape) -> WorkerRoom:
        before = self.workers.get(shape.worker)
        if before is not None:
            self.racks[before.shape.rack].remove(shape.worker)
        room = WorkerRoom(shape)
        self.workers[shape.worker] = room
        if before is not None:
            self._move_contents(before, room)
        names = self.racks.setdefault(shape.rack, [])
        names.append(shape.worker)
        names.sort()
        self.racks = dict(sorted(self.racks.items()))
        return room

    def _move_contents(self, before: WorkerRoom, room: WorkerRoom) -> None:
        # A worker that came back with another shape keeps its tasks until
        # their ends are known.
        room.bound = before.bound
        room.bound_mask = before.bound_mask
        room.holdings = before.holdings
        for holding in room.holdings.values():
            room.used_mask |= holding.slot.gpu_mask
            room.cores_free -= holding.shape.cores
            room.memory_free_gb -= holding.shape.memory_gb

    def _changed(self, room: WorkerRoom) -> None:
        name = room.shape.worker
        gpus = room.shape.gpus
        open_mask = room.open_mask if room.usable else 0
        free_mask = room.free_mask if room.usable else 0
        self._open.update(name, open_mask, gpus)
        self._free.update(name, free_mask, gpus)
        self._rack_counts.pop(room.shape.rack, None)
