"""Binds cells of accelerators to the guaranteed shapes of accounts.

The cells bound on a worker never add up to more than its accelerators.  Work
that runs in another account's cells is a borrower and may be preempted, so
each guarantee can be reclaimed by stopping borrowers alone.  Bindings depend
only on the workers and the earlier bindings, never on what runs.
"""

from collections.abc import Iterable
from typing import NamedTuple

from kingcuplever import intents
from kingcuplever.process.scheduling import fleet

AccountId = tuple[str, str]


class Cell(NamedTuple):
    """Accelerators of one worker that are bound to an account."""

    worker: str
    gpus: int


class BoundShape(NamedTuple):
    """One guaranteed shape and the cells that are bound to it.

    :ivar missing: number of cells that no usable worker has room for.
    """

    guarantee: intents.Guarantee
    cells: tuple[Cell, ...]
    missing: int


def account_id(spec: intents.AccountSpec) -> AccountId:
    """Return the id of an account in its data centre."""
    return spec.account, spec.data_centre


_ShapesByAccount = dict[AccountId, tuple[BoundShape, ...]]


class Bindings:
    """The cells of all accounts."""

    def __init__(self) -> None:
        """Create an empty set of bindings."""
        self._shapes: _ShapesByAccount = {}

    def copy(self) -> "Bindings":
        """Return a copy, to try changes on."""
        other = Bindings()
        other._shapes = dict(self._shapes)
        return other

    def shapes_of(self, account: AccountId) -> tuple[BoundShape, ...]:
        """Return the bound shapes of one account."""
        return self._shapes.get(account, ())

    def gpus_by_worker(self, account: AccountId) -> dict[str, int]:
        """Return the accelerators in one account's cells, by worker."""
        totals: dict[str, int] = {}
        for shape in self.shapes_of(account):
            for cell in shape.cells:
                totals[cell.worker] = totals.get(cell.worker, 0) + cell.gpus
        return totals

    def gpus_of_others(self, account: AccountId) -> dict[str, int]:
        """Return the accelerators in other accounts' cells, by worker."""
        totals: dict[str, int] = {}
        for other in self._shapes:
            if other == account:
                continue
            for worker, gpus in self.gpus_by_worker(other).items():
                totals[worker] = totals.get(worker, 0) + gpus
        return totals

    def count_missing(self, account: AccountId) -> int:
        """Count the cells of an account that can't be bound at present."""
        return sum(shape.missing for shape in self.shapes_of(account))

    def rebind(
        self,
        specs: Iterable[intents.AccountSpec],
        workers: Iterable[fleet.Worker],
    ) -> list[AccountId]:
        """Bind cells to all guarantees, and retain those still valid.

        :param workers: workers whose cells can be bound now.
        :return: accounts whose cells have changed.
        """
        usable = [*workers]
        previous = self._shapes
        spec_by_account = {account_id(spec): spec for spec in specs}
        self._shapes = _bind_all(spec_by_account, previous, usable)
        if any(self.count_missing(name) for name in spec_by_account):
            # Retained cells may block others; binding anew may leave fewer
            # missing.
            fresh = _bind_all(spec_by_account, {}, usable)
            if _count_all_missing(fresh) < _count_all_missing(self._shapes):
                self._shapes = fresh
        names = {*previous, *self._shapes}
        return [
            name
            for name in sorted(names)
            if previous.get(name, ()) != self._shapes.get(name, ())
        ]


def _bind_all(
    spec_by_account: dict[AccountId, intents.AccountSpec],
    previous: _ShapesByAccount,
    usable: list[fleet.Worker],
) -> _ShapesByAccount:
    """Bind cells for every account, those with the largest cells first."""
    free_gpus = {worker.name: worker.capacity.gpus for worker in usable}
    shapes: _ShapesByAccount = {}
    for name, spec in spec_by_account.items():
        bound = previous.get(name, ())
        if tuple(shape.guarantee for shape in bound) == spec.guarantees:
            shapes[name] = tuple(
                _retain_cells(shape, free_gpus) for shape in bound
            )
        else:
            shapes[name] = tuple(
                BoundShape(guarantee, (), guarantee.cells)
                for guarantee in spec.guarantees
            )
    order = sorted(
        spec_by_account,
        key=lambda name: (-_largest_level_rank(spec_by_account[name]), name),
    )
    for name in order:
        local_workers = [w for w in usable if w.data_centre == name[1]]
        shapes[name] = tuple(
            _bind_missing_cells(shape, local_workers, free_gpus)
            for shape in shapes[name]
        )
    return shapes


def _count_all_missing(shapes: _ShapesByAccount) -> int:
    return sum(shape.missing for bound in shapes.values() for shape in bound)


def _largest_level_rank(spec: intents.AccountSpec) -> int:
    """Rank an account by its largest cell, the hardest to place."""
    return max((_level_rank(item) for item in spec.guarantees), default=0)


def _retain_cells(shape: BoundShape, free_gpus: dict[str, int]) -> BoundShape:
    """Retain the cells whose workers still have room for them."""
    cells = []
    for cell in shape.cells:
        if free_gpus.get(cell.worker, 0) >= cell.gpus:
            free_gpus[cell.worker] -= cell.gpus
            cells.append(cell)
    missing = shape.guarantee.cells - len(cells)
    return BoundShape(shape.guarantee, tuple(cells), missing)


def _bind_missing_cells(
    shape: BoundShape, workers: list[fleet.Worker], free_gpus: dict[str, int]
) -> BoundShape:
    """Bind the missing cells of one shape, on as few racks as possible."""
    cells = [*shape.cells]
    used_racks = {
        worker.rack
        for worker in workers
        if any(cell.worker == worker.name for cell in cells)
    }
    while len(cells) < shape.guarantee.cells:
        missing = shape.guarantee.cells - len(cells)
        worker = _choose_worker(
            shape.guarantee, missing, workers, free_gpus, used_racks
        )
        if worker is None:
            break
        gpus = gpus_per_cell(shape.guarantee.level, worker)
        while len(cells) < shape.guarantee.cells:
            if free_gpus[worker.name] < gpus:
                break
            free_gpus[worker.name] -= gpus
            cells.append(Cell(worker.name, gpus))
        used_racks.add(worker.rack)
    missing = shape.guarantee.cells - len(cells)
    return BoundShape(shape.guarantee, tuple(cells), missing)


def _choose_worker(
    guarantee: intents.Guarantee,
    missing: int,
    workers: list[fleet.Worker],
    free_gpus: dict[str, int],
    used_racks: set[str],
) -> fleet.Worker | None:
    """Choose the worker for the next cells.

    Prefers the tightest fit among the workers with room for all missing
    cells.  Without one, prefers a rack that is used already, then a rack
    with room for all missing cells, then the worker with the most.
    """
    free_by_rack: dict[str, int] = {}
    for worker in workers:
        count = _count_free_cells(guarantee.level, worker, free_gpus)
        free_by_rack[worker.rack] = free_by_rack.get(worker.rack, 0) + count
    best: tuple[tuple[int, ...], str, fleet.Worker] | None = None
    for worker in workers:
        count = _count_free_cells(guarantee.level, worker, free_gpus)
        if not count:
            continue
        fits_all = count >= missing
        rank = (
            0 if fits_all else 1,
            0 if worker.rack in used_racks else 1,
            0 if free_by_rack[worker.rack] >= missing else 1,
            free_gpus[worker.name] if fits_all else -count,
        )
        candidate = (rank, worker.name, worker)
        if best is None or candidate[:2] < best[:2]:
            best = candidate
    return None if best is None else best[2]


def _count_free_cells(
    level: intents.Level, worker: fleet.Worker, free_gpus: dict[str, int]
) -> int:
    """Count the cells of a level that a worker still has room for."""
    gpus = gpus_per_cell(level, worker)
    return free_gpus[worker.name] // gpus if gpus else 0


def gpus_per_cell(level: intents.Level, worker: fleet.Worker) -> int:
    """Return the accelerators of a cell; a worker cell is a whole worker."""
    if level == "worker":
        return worker.capacity.gpus
    return intents.LEVEL_GPUS[level]


def _level_rank(guarantee: intents.Guarantee) -> int:
    """Rank a shape by its cell size; whole workers rank highest."""
    return intents.LEVEL_GPUS.get(guarantee.level, 1 << 10)
