"""Keeps whole workers for large work that has waited too long.

Small work that goes into every gap would keep a large gang waiting for good.
The workers that are likely to be free first are kept for it; nothing that
comes after it in the queue is placed there.
"""

from kingcuplever.process.scheduling import book as books
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import work


def choose(
    book: books.Book,
    group: work.Group,
    able: list[fleet.Worker],
    rooms: placement.Rooms,
    now: float,
) -> tuple[str, ...]:
    """Choose workers to keep for a group, the soonest free first.

    :param rooms: free room by worker; where others have room kept it is
        less than the worker's own.
    :return: one worker for each task, or nothing if they never suffice.
    """
    offers: list[tuple[float, str]] = []
    for worker in able:
        for wait_s in _waits(book, group, worker, rooms, now):
            offers.append((wait_s, worker.name))
    offers.sort()
    if len(offers) < len(group.tasks):
        return ()
    return tuple(name for _, name in offers[: len(group.tasks)])


def _waits(
    book: books.Book,
    group: work.Group,
    worker: fleet.Worker,
    rooms: placement.Rooms,
    now: float,
) -> list[float]:
    """Give when a worker can hold one task, two, and so on."""
    need = group.spec.need
    limit = group.spec.most_per_worker or len(group.tasks)
    room = rooms[worker.name]
    ends = []
    for run, held in worker.held.items():
        other = book.group_of(run)
        if other is not None and other.phase == work.ASSIGNED:
            ends.append((max(0.0, other.left_s(now)), held))
    ends.sort(key=lambda end: end[0])
    waits: list[float] = []
    wait_s = 0.0
    while len(waits) < limit:
        while not need.fits(room) and ends:
            wait_s, held = ends.pop(0)
            room = room.plus(held)
        if not need.fits(room):
            break
        room = room.minus(need)
        waits.append(wait_s)
    return waits
