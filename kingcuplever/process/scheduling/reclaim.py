"""Finds the cheapest work to stop, so that a guaranteed group has room.

A plan names the workers that the group will use and the groups that must go
from them.  What is stopping already costs nothing more.
"""

from typing import NamedTuple

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import work

# Work in the wrong rack takes several times as long; better stop more.
_SLOW_COST = 1e6


class Plan(NamedTuple):
    """Room for a group, once the victims are gone.

    :ivar cost: core-seconds of work that are thrown away.
    """

    workers: tuple[str, ...]
    victims: tuple[work.Group, ...]
    cost: float


class Search:
    """Looks for the cheapest plan over some workers."""

    def __init__(
        self,
        rooms: dict[str, model.Need],
        victims: dict[str, list[work.Group]],
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

    def find(
        self,
        group: work.Group,
        workers: list[fleet.Worker],
        counts: dict[str, int],
    ) -> Plan | None:
        """Give the cheapest plan, racks and data considered.

        :param counts: most tasks on each worker; empty for no limit.
        """
        spec = group.spec
        self._counts = counts
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
        self, group: work.Group, workers: list[fleet.Worker], slow: bool
    ) -> Plan | None:
        """Place task by task where the next one is cheapest."""
        rooms = {worker.name: self._rooms[worker.name] for worker in workers}
        gone: dict[work.Group, None] = {}
        chosen: list[str] = []
        cost = _SLOW_COST if slow else 0.0
        limit = group.spec.most_per_worker or len(group.tasks)
        for _ in group.tasks:
            best: tuple[float, str, list[work.Group]] | None = None
            for name in rooms:
                most = min(limit, self._counts.get(name, limit))
                if chosen.count(name) >= most:
                    continue
                offer = self._offer(group, name, rooms[name], gone)
                if offer is not None and (best is None or offer[0] < best[0]):
                    best = (offer[0], name, offer[1])
                    if not offer[0]:
                        break
            if best is None:
                return None
            cost += best[0]
            for victim in best[2]:
                gone[victim] = None
                self._give_back(victim, rooms)
            rooms[best[1]] = rooms[best[1]].minus(group.spec.need)
            chosen.append(best[1])
        return Plan(tuple(chosen), tuple(gone), cost)

    def _offer(
        self,
        group: work.Group,
        name: str,
        room: model.Need,
        gone: dict[work.Group, None],
    ) -> tuple[float, list[work.Group]] | None:
        """Price the room for one more task on a worker."""
        need = group.spec.need
        if need.fits(room):
            return 0.0, []
        left = [v for v in self._victims.get(name, ()) if v not in gone]
        left.sort(key=lambda victim: self._price(victim))
        taken: list[work.Group] = []
        for victim in left:
            taken.append(victim)
            room = room.plus(_held_on(victim, name))
            if need.fits(room):
                break
        else:
            return None
        # What turned out to be needless is spared, the dearest first.
        for victim in [*reversed(taken)]:
            smaller = room.minus(_held_on(victim, name))
            if need.fits(smaller):
                room = smaller
                taken.remove(victim)
        return sum(self._price(victim) for victim in taken), taken

    def _price(self, victim: work.Group) -> float:
        """Price a victim; even one that has done nothing costs a little."""
        if victim.stopping:
            return 0.0
        return 1.0 + victim.lost_work(self._now) * len(victim.tasks)

    def _give_back(
        self, victim: work.Group, rooms: dict[str, model.Need]
    ) -> None:
        for name in {holder for holder in victim.holders if holder}:
            if name in rooms:
                rooms[name] = rooms[name].plus(_held_on(victim, name))


def _held_on(group: work.Group, name: str) -> model.Need:
    """Give the room that a group holds on one worker."""
    held = model.NOTHING
    for holder in group.holders:
        if holder == name:
            held = held.plus(group.spec.need)
    return held
