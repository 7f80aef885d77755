"""Searches for the cheapest groups to preempt in favour of another group.

A plan names the workers that the group will use and the victims that must be
stopped there.  Groups that are already being stopped cost nothing more.
"""

import collections
from collections.abc import Mapping
from collections.abc import Set
from typing import Final
from typing import NamedTuple

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model

# Added to the cost of a plan in the wrong rack: work takes several times as
# long there, so stopping more work elsewhere is better.
_SLOW_RACK_COST_CORE_S: Final = 1e6
# Added for each urgent victim, which has little work to lose and a tight
# objective.  It comes last: even a run in the wrong rack makes one job late
# where stopping an urgent one makes another late, and throws its work away.
_URGENT_VICTIM_COST_CORE_S: Final = 1e7


class PreemptionPlan(NamedTuple):
    """Workers that have room for a group once the victims are stopped.

    :ivar workers: the worker of each task, in the order of the tasks.
    :ivar cost: core-seconds of work lost, plus penalties for a slow rack and
        for urgent victims.
    """

    workers: tuple[str, ...]
    victims: tuple[job_state.Group, ...]
    cost: float


class PreemptionSearch:
    """Searches for preemption plans over the given victims."""

    def __init__(
        self,
        free: dict[str, model.Resources],
        candidates: dict[str, list[job_state.Group]],
        urgent: Set[job_state.Group],
        now: float,
        held: Mapping[str, model.Resources],
    ) -> None:
        """Prepare a search.

        :param free: free resources by worker.
        :param candidates: groups that may be stopped, by worker.
        :param urgent: those among them that are urgent.
        :param held: resources kept unused beside isolated groups, by worker.
        """
        self._held = held
        self._free = free
        self._candidates = candidates
        self._urgent = urgent
        self._now = now
        self._task_limits: dict[str, int] = {}

    def find_cheapest(
        self,
        group: job_state.Group,
        workers: list[fleet.Worker],
        task_limits: dict[str, int],
    ) -> PreemptionPlan | None:
        """Return the cheapest plan, or None if there is none.

        Plans in one rack, or near the data, come before others, unless they
        stop urgent work.

        :param workers: those that are eligible for the group.
        :param task_limits: most tasks on each worker; empty for no limit.
        """
        spec = group.spec
        self._task_limits = task_limits
        plans: list[PreemptionPlan | None] = []
        if spec.gang and spec.same_rack:
            for rack in sorted({worker.rack for worker in workers}):
                members = [w for w in workers if w.rack == rack]
                slow = bool(spec.data_rack) and rack != spec.data_rack
                plans.append(self._plan_greedily(group, members, slow))
        elif spec.data_rack:
            local_workers = [w for w in workers if w.rack == spec.data_rack]
            plans.append(self._plan_greedily(group, local_workers, False))
        best = _choose_cheapest(plans)
        if best is None or best.cost >= _URGENT_VICTIM_COST_CORE_S:
            slow = bool(spec.data_rack or spec.same_rack)
            plans.append(self._plan_greedily(group, workers, slow))
            best = _choose_cheapest(plans)
        return best

    def _plan_greedily(
        self, group: job_state.Group, workers: list[fleet.Worker], slow: bool
    ) -> PreemptionPlan | None:
        """Place task by task on the worker with the cheapest victims."""
        free = {worker.name: self._free[worker.name] for worker in workers}
        chosen_victims: dict[job_state.Group, None] = {}
        chosen: list[str] = []
        counts: collections.Counter[str] = collections.Counter()
        cost = _SLOW_RACK_COST_CORE_S if slow else 0.0
        limit = min(
            group.spec.most_per_worker or len(group.tasks), len(group.tasks)
        )
        for _ in group.tasks:
            best: tuple[float, str, list[job_state.Group]] | None = None
            for name in free:
                worker_limit = min(limit, self._task_limits.get(name, limit))
                if counts[name] >= worker_limit:
                    continue
                option = self._price_one_task(
                    group, name, free[name], chosen_victims
                )
                if option is not None and (
                    best is None or option[0] < best[0]
                ):
                    best = (option[0], name, option[1])
                    if not option[0]:
                        break
            if best is None:
                return None
            cost += best[0]
            for victim in best[2]:
                chosen_victims[victim] = None
                self._free_victim(victim, free)
            free[best[1]] = free[best[1]].subtract(group.spec.resources)
            chosen.append(best[1])
            counts[best[1]] += 1
        return PreemptionPlan(tuple(chosen), tuple(chosen_victims), cost)

    def _price_one_task(
        self,
        group: job_state.Group,
        name: str,
        available: model.Resources,
        chosen_victims: dict[job_state.Group, None],
    ) -> tuple[float, list[job_state.Group]] | None:
        """Return the cost and the victims of one more task on a worker.

        :param available: resources of the worker that are free in the plan.
        :param chosen_victims: groups that the plan stops already.
        :return: None if stopping every candidate frees too little.
        """
        request = group.spec.resources
        if request.fits_into(available):
            return 0.0, []
        remaining = [
            v
            for v in self._candidates.get(name, ())
            if v not in chosen_victims
        ]
        remaining.sort(key=lambda victim: self._price_victim(victim))
        needed: list[job_state.Group] = []
        for victim in remaining:
            needed.append(victim)
            available = available.add(self._resources_on(victim, name))
            if request.fits_into(available):
                break
        else:
            return None
        # A later, larger victim may make earlier ones needless; the most
        # expensive of those is dropped first.
        for victim in [*reversed(needed)]:
            reduced = available.subtract(self._resources_on(victim, name))
            if request.fits_into(reduced):
                available = reduced
                needed.remove(victim)
        return sum(self._price_victim(victim) for victim in needed), needed

    def _price_victim(self, victim: job_state.Group) -> float:
        """Estimate the core-seconds lost by stopping a victim.

        One that has done no work yet still costs a little, so that a plan
        without victims is cheaper.
        """
        if victim.stop_reason:
            return 0.0
        urgent = _URGENT_VICTIM_COST_CORE_S if victim in self._urgent else 0.0
        lost = victim.estimate_lost_work(self._now) * len(victim.tasks)
        return 1.0 + lost + urgent

    def _free_victim(
        self, victim: job_state.Group, free: dict[str, model.Resources]
    ) -> None:
        for name in {worker for worker in victim.assigned_workers if worker}:
            if name in free:
                free[name] = free[name].add(self._resources_on(victim, name))

    def _resources_on(
        self, group: job_state.Group, name: str
    ) -> model.Resources:
        """Return the resources that stopping a group frees on a worker."""
        freed = model.NO_RESOURCES
        for worker in group.assigned_workers:
            if worker == name:
                freed = freed.add(group.spec.resources)
        if group.must_run_alone and name in self._held:
            freed = freed.add(self._held[name])
        return freed


def _choose_cheapest(
    plans: list[PreemptionPlan | None],
) -> PreemptionPlan | None:
    found = [plan for plan in plans if plan is not None]
    return min(found, key=lambda plan: plan.cost, default=None)
