"""Plans reservations of workers for groups that would starve.

Small tasks that fill every gap would keep a large gang waiting forever.  The
workers that are likely to have room for it first are reserved; groups behind
it in the queue are not placed there.
"""

from typing import Final
from typing import NamedTuple

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import scheduler_state

# Run time of work in the wrong rack, as a multiple of that in the right one,
# at the users' sites.
_SLOW_RACK_FACTOR: Final = 3.0


class _FreeSlot(NamedTuple):
    """Capacity for one more task on a worker, ``wait_s`` seconds from now."""

    wait_s: float
    worker: str
    rack: str


class Reservation(NamedTuple):
    """Workers to reserve for a group.

    :ivar wait_s: time until all workers have room, plus the extra run time
        of a slow placement.
    :ivar slow: some task is away from its data, or the gang spans racks.
    :ivar workers: one for each task.
    """

    wait_s: float
    slow: bool
    workers: tuple[str, ...]


def plan_reservation(
    state: scheduler_state.SchedulerState,
    group: job_state.Group,
    eligible: list[fleet.Worker],
    free: placement.FreeResources,
    now: float,
) -> Reservation | None:
    """Choose the workers on which a group would finish first.

    :param free: free resources by worker, less those reserved for other
        groups.
    :return: None if the workers don't suffice even after their tasks end.
    """
    slots: list[_FreeSlot] = []
    for worker in eligible:
        for wait_s in _slot_waits_s(state, group, worker, free, now):
            slots.append(_FreeSlot(wait_s, worker.name, worker.rack))
    slots.sort()
    spec = group.spec
    candidates: list[Reservation] = []
    for rack in sorted({slot.rack for slot in slots}):
        in_rack = [slot for slot in slots if slot.rack == rack]
        slow = bool(spec.data_rack) and rack != spec.data_rack
        _add_candidate(candidates, group, in_rack, slow)
    _add_candidate(
        candidates, group, slots, placement.is_locality_sensitive(spec)
    )
    return min(candidates, default=None)


def _add_candidate(
    candidates: list[Reservation],
    group: job_state.Group,
    slots: list[_FreeSlot],
    slow: bool,
) -> None:
    """Add a reservation of the earliest slots, if there are enough."""
    count = len(group.tasks)
    if len(slots) < count:
        return
    wait_s = slots[count - 1].wait_s
    if slow:
        wait_s += (_SLOW_RACK_FACTOR - 1.0) * group.spec.estimate_ms / 1000
    workers = tuple(slot.worker for slot in slots[:count])
    candidates.append(Reservation(wait_s, slow, workers))


def _slot_waits_s(
    state: scheduler_state.SchedulerState,
    group: job_state.Group,
    worker: fleet.Worker,
    free: placement.FreeResources,
    now: float,
) -> list[float]:
    """Return the wait until a worker fits one task, two, and so on."""
    request = group.spec.resources
    limit = min(
        group.spec.most_per_worker or len(group.tasks), len(group.tasks)
    )
    available = free[worker.name]
    releases = []
    for run, released in worker.allocations.items():
        other = state.find_group(run)
        if other is not None and other.phase == job_state.ASSIGNED:
            releases.append(
                (max(0.0, other.estimate_remaining_s(now)), released)
            )
    releases.sort(key=lambda release: release[0])
    waits_s: list[float] = []
    wait_s = 0.0
    while len(waits_s) < limit:
        while not request.fits_into(available) and releases:
            wait_s, released = releases.pop(0)
            available = available.add(released)
        if not request.fits_into(available):
            break
        available = available.subtract(request)
        waits_s.append(wait_s)
    return waits_s
