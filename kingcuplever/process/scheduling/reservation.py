"""Keeps whole workers for large work that has waited too long.

Small work that goes into every gap would keep a large gang waiting for good.
The workers that are likely to be free first are kept for it; nothing that
comes after it in the queue is placed there.
"""

from typing import Final
from typing import NamedTuple

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import scheduler_state as books

# Work in the wrong rack takes so many times as long (the users' sites).
_SLOW_RACK_FACTOR: Final = 3.0


class _FreeSlot(NamedTuple):
    """Room for one more task on a worker, some seconds from now."""

    wait_s: float
    worker: str
    rack: str


class Reservation(NamedTuple):
    """Workers to keep for a group, one for each task.

    :ivar wait_s: until all have room, and how much longer the work then
        takes than it might.
    :ivar slow: some task is away from its data, or the gang spans racks.
    """

    wait_s: float
    slow: bool
    workers: tuple[str, ...]


def plan_reservation(
    book: books.SchedulerState,
    group: job_state.Group,
    able: list[fleet.Worker],
    rooms: placement.FreeResources,
    now: float,
) -> Reservation | None:
    """Choose workers to keep for a group, by when its work would be done.

    :param rooms: free room by worker; where others have room kept it is
        less than the worker's own.
    :return: none if the workers never suffice.
    """
    offers: list[_FreeSlot] = []
    for worker in able:
        for wait_s in _slot_waits_s(book, group, worker, rooms, now):
            offers.append(_FreeSlot(wait_s, worker.name, worker.rack))
    offers.sort()
    spec = group.spec
    plans: list[Reservation] = []
    for rack in sorted({offer.rack for offer in offers}):
        inside = [offer for offer in offers if offer.rack == rack]
        far = bool(spec.data_rack) and rack != spec.data_rack
        _add_plan(plans, group, inside, far)
    _add_plan(plans, group, offers, placement.is_locality_sensitive(spec))
    return min(plans, default=None)


def _add_plan(
    plans: list[Reservation],
    group: job_state.Group,
    offers: list[_FreeSlot],
    slow: bool,
) -> None:
    """Add the soonest of some offers, if they suffice."""
    count = len(group.tasks)
    if len(offers) < count:
        return
    wait_s = offers[count - 1].wait_s
    if slow:
        wait_s += (_SLOW_RACK_FACTOR - 1.0) * group.spec.estimate_ms / 1000
    workers = tuple(offer.worker for offer in offers[:count])
    plans.append(Reservation(wait_s, slow, workers))


def _slot_waits_s(
    book: books.SchedulerState,
    group: job_state.Group,
    worker: fleet.Worker,
    rooms: placement.FreeResources,
    now: float,
) -> list[float]:
    """Give when a worker can hold one task, two, and so on."""
    need = group.spec.resources
    limit = group.spec.most_per_worker or len(group.tasks)
    room = rooms[worker.name]
    ends = []
    for run, held in worker.allocations.items():
        other = book.find_group(run)
        if other is not None and other.phase == job_state.ASSIGNED:
            ends.append((max(0.0, other.estimate_remaining_s(now)), held))
    ends.sort(key=lambda end: end[0])
    waits: list[float] = []
    wait_s = 0.0
    while len(waits) < limit:
        while not need.fits_into(room) and ends:
            wait_s, held = ends.pop(0)
            room = room.add(held)
        if not need.fits_into(room):
            break
        room = room.subtract(need)
        waits.append(wait_s)
    return waits
