"""Keeps cells for guaranteed shapes: the promise that can be reclaimed.

Cells that are bound to accounts lie on usable workers and never add up to
more than a worker has.  Work that is not its account's own in its own cells
is borrowed and may be stopped, so each shape can be had back by stopping
borrowers alone.  Choices look only at workers and bindings, never at what
runs.
"""

from collections.abc import Iterable
from typing import NamedTuple

from kingcuplever import intents
from kingcuplever.process.scheduling import fleet

AccountId = tuple[str, str]


class Cell(NamedTuple):
    """Accelerators of one worker that are kept for an account."""

    worker: str
    gpus: int


class BoundShape(NamedTuple):
    """One guaranteed shape and the cells that are kept for it.

    :ivar missing: cells that no usable worker has.
    """

    guarantee: intents.Guarantee
    cells: tuple[Cell, ...]
    missing: int


def account_id(spec: intents.AccountSpec) -> AccountId:
    """Name an account in its data centre."""
    return spec.account, spec.data_centre


_Shapes = dict[AccountId, tuple[BoundShape, ...]]


class Bindings:
    """The cells of all accounts."""

    def __init__(self) -> None:
        """Start with nothing promised."""
        self._shapes: _Shapes = {}

    def copy(self) -> "Bindings":
        """Give a copy to try things on."""
        other = Bindings()
        other._shapes = dict(self._shapes)
        return other

    def shapes_of(self, account: AccountId) -> tuple[BoundShape, ...]:
        """Give the bound shapes of one account."""
        return self._shapes.get(account, ())

    def gpus_by_worker(self, account: AccountId) -> dict[str, int]:
        """Sum one account's cells up by worker."""
        found: dict[str, int] = {}
        for shape in self.shapes_of(account):
            for cell in shape.cells:
                found[cell.worker] = found.get(cell.worker, 0) + cell.gpus
        return found

    def gpus_of_others(self, account: AccountId) -> dict[str, int]:
        """Sum the cells of all other accounts up by worker."""
        found: dict[str, int] = {}
        for other in self._shapes:
            if other == account:
                continue
            for worker, gpus in self.gpus_by_worker(other).items():
                found[worker] = found.get(worker, 0) + gpus
        return found

    def count_missing(self, account: AccountId) -> int:
        """Count the cells of an account that can't be kept at present."""
        return sum(shape.missing for shape in self.shapes_of(account))

    def rebind(
        self,
        specs: Iterable[intents.AccountSpec],
        workers: Iterable[fleet.Worker],
    ) -> list[AccountId]:
        """Bind what is promised, keeping the cells that are still good.

        :param workers: those that can be promised now.
        :return: accounts whose cells have changed.
        """
        usable = [*workers]
        before = self._shapes
        wanted = {account_id(spec): spec for spec in specs}
        self._shapes = _bind_all(wanted, before, usable)
        if any(self.count_missing(name) for name in wanted):
            # What is kept may stand in the way; a fresh start may not.
            fresh = _bind_all(wanted, {}, usable)
            if _count_all_missing(fresh) < _count_all_missing(self._shapes):
                self._shapes = fresh
        names = {*before, *self._shapes}
        return [
            name
            for name in sorted(names)
            if before.get(name, ()) != self._shapes.get(name, ())
        ]


def _bind_all(
    wanted: dict[AccountId, intents.AccountSpec],
    before: _Shapes,
    usable: list[fleet.Worker],
) -> _Shapes:
    """Bind every account, the largest shapes first."""
    left = {worker.name: worker.capacity.gpus for worker in usable}
    shapes: _Shapes = {}
    for name, spec in wanted.items():
        known = before.get(name, ())
        if tuple(shape.guarantee for shape in known) == spec.guarantees:
            shapes[name] = tuple(_retain_cells(shape, left) for shape in known)
        else:
            shapes[name] = tuple(
                BoundShape(guarantee, (), guarantee.cells)
                for guarantee in spec.guarantees
            )
    order = sorted(
        wanted, key=lambda name: (-_largest_level_rank(wanted[name]), name)
    )
    for name in order:
        here = [w for w in usable if w.data_centre == name[1]]
        shapes[name] = tuple(
            _bind_missing_cells(shape, here, left) for shape in shapes[name]
        )
    return shapes


def _count_all_missing(shapes: _Shapes) -> int:
    return sum(shape.missing for bound in shapes.values() for shape in bound)


def _largest_level_rank(spec: intents.AccountSpec) -> int:
    """Rank an account by its largest cell; those have the fewest places."""
    return max((_level_rank(item) for item in spec.guarantees), default=0)


def _retain_cells(shape: BoundShape, left: dict[str, int]) -> BoundShape:
    """Keep the cells whose workers still have room for them."""
    cells = []
    for cell in shape.cells:
        if left.get(cell.worker, 0) >= cell.gpus:
            left[cell.worker] -= cell.gpus
            cells.append(cell)
    missing = shape.guarantee.cells - len(cells)
    return BoundShape(shape.guarantee, tuple(cells), missing)


def _bind_missing_cells(
    shape: BoundShape, workers: list[fleet.Worker], left: dict[str, int]
) -> BoundShape:
    """Bind the missing cells of one shape, as near together as can be."""
    cells = [*shape.cells]
    used_racks = {
        worker.rack
        for worker in workers
        if any(cell.worker == worker.name for cell in cells)
    }
    while len(cells) < shape.guarantee.cells:
        missing = shape.guarantee.cells - len(cells)
        worker = _choose_worker(
            shape.guarantee, missing, workers, left, used_racks
        )
        if worker is None:
            break
        gpus = gpus_per_cell(shape.guarantee.level, worker)
        while len(cells) < shape.guarantee.cells:
            if left[worker.name] < gpus:
                break
            left[worker.name] -= gpus
            cells.append(Cell(worker.name, gpus))
        used_racks.add(worker.rack)
    missing = shape.guarantee.cells - len(cells)
    return BoundShape(shape.guarantee, tuple(cells), missing)


def _choose_worker(
    guarantee: intents.Guarantee,
    missing: int,
    workers: list[fleet.Worker],
    left: dict[str, int],
    used_racks: set[str],
) -> fleet.Worker | None:
    """Choose the worker for the next cells.

    One that holds all that is missing is best, the tightest first; else a
    worker in a rack that is used already, or in the rack with most room.
    """
    by_rack: dict[str, int] = {}
    for worker in workers:
        count = _count_free_cells(guarantee.level, worker, left)
        by_rack[worker.rack] = by_rack.get(worker.rack, 0) + count
    best: tuple[tuple[int, ...], str, fleet.Worker] | None = None
    for worker in workers:
        count = _count_free_cells(guarantee.level, worker, left)
        if not count:
            continue
        whole = count >= missing
        rank = (
            0 if whole else 1,
            0 if worker.rack in used_racks else 1,
            0 if by_rack[worker.rack] >= missing else 1,
            left[worker.name] if whole else -count,
        )
        choice = (rank, worker.name, worker)
        if best is None or choice[:2] < best[:2]:
            best = choice
    return None if best is None else best[2]


def _count_free_cells(
    level: intents.Level, worker: fleet.Worker, left: dict[str, int]
) -> int:
    """Count the cells that a worker still has room for."""
    gpus = gpus_per_cell(level, worker)
    return left[worker.name] // gpus if gpus else 0


def gpus_per_cell(level: intents.Level, worker: fleet.Worker) -> int:
    """Give the accelerators of a cell; a worker cell is a whole worker."""
    if level == "worker":
        return worker.capacity.gpus
    return intents.LEVEL_GPUS[level]


def _level_rank(guarantee: intents.Guarantee) -> int:
    """Rank shapes: whole workers first, then by the size of a cell."""
    return intents.LEVEL_GPUS.get(guarantee.level, 1 << 10)
