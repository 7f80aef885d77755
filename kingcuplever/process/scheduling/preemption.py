"""Finds the cheapest work to stop, so that a guaranteed group has room.

A plan names the workers that the group will use and the groups that must go
from them.  What is stopping already costs nothing more.
"""

from typing import NamedTuple

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model

# Work in the wrong rack takes several times as long; better stop more.
_SLOW_COST = 1e6


class PreemptionPlan(NamedTuple):
    """Room for a group, once the victims are gone.

    :ivar cost: core-seconds of work that are thrown away.
    """

    workers: tuple[str, ...]
    victims: tuple[job_state.Group, ...]
    cost: float


class PreemptionSearch:
    """Looks for the cheapest plan over some workers."""

    def __init__(
        self,
        rooms: dict[str, model.Resources],
        victims: dict[str, list[job_state.Group]],
        now: float,
    ) -> None:
        """Prepare a search.

        :param rooms: free room by worker.
        :param victims: groups that may be stopped, by worker.
        """
        self._rooms = rooms
        self._victims = victims
        self._now = now
        self._counts: dict[str, int] = {}

    def find_cheapest(
        self,
        group: job_state.Group,
        workers: list[fleet.Worker],
        task_limits: dict[str, int],
    ) -> PreemptionPlan | None:
        """Give the cheapest plan, racks and data considered.

        :param counts: most tasks on each worker; empty for no limit.
        """
        spec = group.spec
        self._counts = task_limits
        plans = []
        if spec.gang and spec.same_rack:
            for rack in sorted({worker.rack for worker in workers}):
                members = [w for w in workers if w.rack == rack]
                slow = bool(spec.data_rack) and rack != spec.data_rack
                plans.append(self._fill(group, members, slow))
        elif spec.data_rack:
            near = [w for w in workers if w.rack == spec.data_rack]
            plans.append(self._fill(group, near, False))
        if not any(plans):
            slow = bool(spec.data_rack or spec.same_rack)
            plans.append(self._fill(group, workers, slow))
        found = [plan for plan in plans if plan is not None]
        return min(found, key=lambda plan: plan.cost, default=None)

    def _fill(
        self, group: job_state.Group, workers: list[fleet.Worker], slow: bool
    ) -> PreemptionPlan | None:
        """Place task by task where the next one is cheapest."""
        rooms = {worker.name: self._rooms[worker.name] for worker in workers}
        gone: dict[job_state.Group, None] = {}
        chosen: list[str] = []
        cost = _SLOW_COST if slow else 0.0
        limit = group.spec.most_per_worker or len(group.tasks)
        for _ in group.tasks:
            best: tuple[float, str, list[job_state.Group]] | None = None
            for name in rooms:
                most = min(limit, self._counts.get(name, limit))
                if chosen.count(name) >= most:
                    continue
                offer = self._price_one_task(group, name, rooms[name], gone)
                if offer is not None and (best is None or offer[0] < best[0]):
                    best = (offer[0], name, offer[1])
                    if not offer[0]:
                        break
            if best is None:
                return None
            cost += best[0]
            for victim in best[2]:
                gone[victim] = None
                self._free_victim(victim, rooms)
            rooms[best[1]] = rooms[best[1]].subtract(group.spec.resources)
            chosen.append(best[1])
        return PreemptionPlan(tuple(chosen), tuple(gone), cost)

    def _price_one_task(
        self,
        group: job_state.Group,
        name: str,
        room: model.Resources,
        gone: dict[job_state.Group, None],
    ) -> tuple[float, list[job_state.Group]] | None:
        """Price the room for one more task on a worker."""
        need = group.spec.resources
        if need.fits_into(room):
            return 0.0, []
        left = [v for v in self._victims.get(name, ()) if v not in gone]
        left.sort(key=lambda victim: self._price_victim(victim))
        taken: list[job_state.Group] = []
        for victim in left:
            taken.append(victim)
            room = room.add(_resources_on(victim, name))
            if need.fits_into(room):
                break
        else:
            return None
        # What turned out to be needless is spared, the dearest first.
        for victim in [*reversed(taken)]:
            smaller = room.subtract(_resources_on(victim, name))
            if need.fits_into(smaller):
                room = smaller
                taken.remove(victim)
        return sum(self._price_victim(victim) for victim in taken), taken

    def _price_victim(self, victim: job_state.Group) -> float:
        """Price a victim; even one that has done nothing costs a little."""
        if victim.stop_reason:
            return 0.0
        return 1.0 + victim.estimate_lost_work(self._now) * len(victim.tasks)

    def _free_victim(
        self, victim: job_state.Group, rooms: dict[str, model.Resources]
    ) -> None:
        for name in {holder for holder in victim.assigned_workers if holder}:
            if name in rooms:
                rooms[name] = rooms[name].add(_resources_on(victim, name))


def _resources_on(group: job_state.Group, name: str) -> model.Resources:
    """Give the room that a group holds on one worker."""
    held = model.NO_RESOURCES
    for holder in group.assigned_workers:
        if holder == name:
            held = held.add(group.spec.resources)
    return held
