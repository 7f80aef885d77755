"""Places what waits, most urgent first, and clears room where it must."""

from collections.abc import Collection
from typing import Final
from typing import NamedTuple

from kingcuplever import logs
from kingcuplever.process.scheduling import book as books
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import reclaim
from kingcuplever.process.scheduling import waiting
from kingcuplever.process.scheduling import work
from kingcuplever.process.scheduling import workers

# Work, in core-seconds, that may be thrown away for an urgent group that no
# guarantee covers; a few seconds of one whole worker.
_URGENT_COST: Final = 600.0
# A plan to reclaim room is given up when its victims are not gone by then.
_CLAIM_S: Final = 3.0


class _Claim(NamedTuple):
    """Room that is being cleared for a guaranteed group."""

    workers: tuple[str, ...]
    made_at: float


class _Look:
    """One pass over all that waits.

    :ivar rooms: free room by worker, less what is being cleared.
    :ivar urgent_gpus: accelerators that each account's urgent work has,
        counted once urgent work waits.
    """

    def __init__(
        self,
        usable: list[fleet.Worker],
        rooms: placement.Rooms,
        now: float,
    ) -> None:
        self.rooms = rooms
        self.now = now
        self.urgent_gpus: dict[str, int] | None = None
        self._usable = usable
        self._able: dict[tuple[str, str], list[fleet.Worker]] = {}
        self._failed: set[tuple[object, ...]] = set()

    def able(self, group: work.Group, pool: str) -> list[fleet.Worker]:
        """Give the workers that may run a group's tasks, room aside."""
        key = (pool, group.spec.label)
        if key not in self._able:
            self._able[key] = [
                worker
                for worker in self._usable
                if placement.may_run(worker, group, pool, self.now)
            ]
        return self._able[key]

    def is_hopeless(self, group: work.Group, pool: str) -> bool:
        """Tell whether a group that needs the same found no place."""
        return self._shape(group, pool) in self._failed

    def note_failure(self, group: work.Group, pool: str) -> None:
        """Remember what found no place; limits on a worker are its own."""
        if not group.spec.most_per_worker:
            self._failed.add(self._shape(group, pool))

    def _shape(self, group: work.Group, pool: str) -> tuple[object, ...]:
        spec = group.spec
        return (
            pool,
            spec.label,
            spec.need,
            len(group.tasks),
            spec.same_rack,
            spec.data_rack,
            placement.may_be_slow(group, self.now),
        )


class Placer:
    """Chooses places for all that waits."""

    def __init__(self, book: books.Book) -> None:
        """Work on a shared book."""
        self._book = book
        self._claims: dict[work.Group, _Claim] = {}

    def place_all(self, now: float) -> None:
        """Place what can be placed, the most urgent first."""
        usable = [
            worker
            for worker in self._book.workers.values()
            if worker.known and now - worker.heard_at <= workers.FRESH_S
        ]
        rooms = {worker.name: worker.free for worker in usable}
        self._check_claims(rooms, now)
        look = _Look(usable, rooms, now)
        for groups in self._book.ready.in_order(self._rank):
            self._place_step(groups, look)

    def _place_step(
        self, groups: Collection[work.Group], look: "_Look"
    ) -> None:
        """Place what can be placed of one step's groups."""
        first = waiting.first_of(groups)
        queue = self._book.queue_of(first.job)
        urgent = queue.priority == 0
        if urgent and look.urgent_gpus is None:
            look.urgent_gpus = self._count_urgent()
        if not urgent and look.is_hopeless(first, queue.pool):
            return
        able = look.able(first, queue.pool)
        if queue.needs_advice:
            able = self._find_advised(first, able, look)
        for group in [*groups]:
            if look.now < group.not_before:
                continue
            if not urgent and look.is_hopeless(group, queue.pool):
                return
            placed = self._place(group, able, look)
            if urgent:
                self._claim_if_urgent(group, able, placed, look)
            elif not placed:
                if not queue.needs_advice:
                    look.note_failure(group, queue.pool)
                return

    def _find_advised(
        self,
        group: work.Group,
        able: list[fleet.Worker],
        look: "_Look",
    ) -> list[fleet.Worker]:
        """Give the workers with leave for a step; have others asked for."""
        book = self._book.advice
        step = group.step_name
        advised = [
            worker
            for worker in able
            if book.ticket(step, worker.name, look.now)
        ]
        free = sorted(
            able, key=lambda worker: look.rooms[worker.name], reverse=True
        )
        book.want(step, [worker.name for worker in free], look.now)
        return advised

    def _claim_if_urgent(
        self,
        group: work.Group,
        able: list[fleet.Worker],
        placed: bool,
        look: "_Look",
    ) -> None:
        """Clear room for an urgent group that found none."""
        assert look.urgent_gpus is not None
        account = group.job.spec.account
        used = look.urgent_gpus.get(account, 0)
        promised = self._book.policy.guaranteed_gpus.get(account, 0)
        if not placed:
            entitled = used + group.gpus <= promised
            most = float("inf") if entitled else _URGENT_COST
            self._reclaim(group, able, look, most)
        if placed or group in self._claims:
            look.urgent_gpus[account] = used + group.gpus

    def _count_urgent(self) -> dict[str, int]:
        """Count the accelerators that each account's urgent work has."""
        counts: dict[str, int] = {}
        for job in self._book.jobs.values():
            if self._book.queue_of(job).priority != 0:
                continue
            used = sum(
                group.gpus
                for group in job.groups()
                if group.phase == work.ASSIGNED
            )
            account = job.spec.account
            counts[account] = counts.get(account, 0) + used
        return counts

    def _check_claims(self, rooms: placement.Rooms, now: float) -> None:
        """Set room aside for what is being cleared; drop failed claims."""
        for group, claim in [*self._claims.items()]:
            overdue = now - claim.made_at > _CLAIM_S
            missing = any(name not in rooms for name in claim.workers)
            if group not in self._book.ready or overdue or missing:
                del self._claims[group]
                continue
            for name in claim.workers:
                rooms[name] = rooms[name].minus(group.spec.need)

    def _reclaim(
        self,
        group: work.Group,
        able: list[fleet.Worker],
        look: "_Look",
        most: float,
    ) -> None:
        """Clear room for an urgent group.

        :param most: core-seconds of work that may be thrown away.
        """
        if group in self._claims:
            return
        rooms, now = look.rooms, look.now
        guaranteed = most == float("inf")
        victims = self._find_victims(able, guaranteed)
        search = reclaim.Search(rooms, victims, now)
        plan = search.find(group, able)
        if plan is None or plan.cost > most:
            return
        self._claims[group] = _Claim(plan.workers, now)
        for name in plan.workers:
            rooms[name] = rooms[name].minus(group.spec.need)
        names = ", ".join(victim.tasks[0] for victim in plan.victims)
        text = (
            f"{group.tasks[0]} reclaims {', '.join(sorted(set(plan.workers)))}"
            f" for {group.job.spec.account}; stopped: {names or 'none'};"
            f" {plan.cost:.0f} core-seconds lost."
        )
        self._book.say(logs.Part.PLACE, text)
        for victim in plan.victims:
            if not victim.stopping:
                victim.stopping = f"reclaimed for {group.tasks[0]}"
                self._book.stop_group(victim)

    def _find_victims(
        self, workers: list[fleet.Worker], guaranteed: bool
    ) -> dict[str, list[work.Group]]:
        """Give the groups on each worker that may be stopped.

        Urgent work within its account's guarantee is spared, and so is
        work whose tasks may not be away.

        :param guaranteed: other urgent work may be stopped as well.
        """
        spared = self._find_guaranteed()
        victims: dict[str, list[work.Group]] = {}
        for worker in workers:
            groups: dict[work.Group, None] = {}
            for run in worker.held:
                group = self._book.group_of(run)
                if group is None or group.phase != work.ASSIGNED:
                    continue
                urgent = self._book.queue_of(group.job).priority == 0
                if urgent and (group in spared or not guaranteed):
                    continue
                if not group.spec.may_miss:
                    groups[group] = None
            victims[worker.name] = list(groups)
        return victims

    def _find_guaranteed(self) -> set[work.Group]:
        """Give the urgent groups that guarantees cover, oldest first."""
        left = dict(self._book.policy.guaranteed_gpus)
        spared = set()
        for job in self._book.jobs.values():
            if self._book.queue_of(job).priority != 0:
                continue
            for group in job.groups():
                account = job.spec.account
                if group.phase != work.ASSIGNED or group.stopping:
                    continue
                if group.gpus <= left.get(account, 0):
                    left[account] -= group.gpus
                    spared.add(group)
        return spared

    def _rank(self, group: work.Group) -> waiting.Rank:
        job = group.job
        return (self._book.queue_of(job).priority, job.order, group.step)

    def _place(
        self, group: work.Group, able: list[fleet.Worker], look: "_Look"
    ) -> bool:
        rooms, now = look.rooms, look.now
        allow_slow = placement.may_be_slow(group, now)
        claim = self._claims.get(group)
        if claim is not None:
            for name in claim.workers:
                rooms[name] = rooms[name].plus(group.spec.need)
        places = placement.choose(
            group,
            able,
            rooms,
            lambda name: self._count_on(group, name),
            allow_slow,
        )
        if places is None:
            if claim is not None:
                for name in claim.workers:
                    rooms[name] = rooms[name].minus(group.spec.need)
            return False
        self._claims.pop(group, None)
        self._assign(group, places, now)
        for name in places.workers:
            rooms[name] = rooms[name].minus(group.spec.need)
        return True

    def _count_on(self, group: work.Group, name: str) -> int:
        """Count the tasks of a group's step on one worker."""
        if not group.spec.most_per_worker:
            return 0
        occurrence = group.job.open[group.occurrence]
        return sum(
            other.holders.count(name)
            for other in occurrence.steps[group.step]
            if other is not group
        )

    def _assign(
        self, group: work.Group, places: placement.Places, now: float
    ) -> None:
        self._book.ready.discard(group)
        group.begin_run(places.workers)
        group.tickets = {
            name: self._book.advice.ticket(group.step_name, name, now)
            for name in set(places.workers)
        }
        for index, name in enumerate(places.workers):
            run = fleet.RunId(group.tasks[index], group.run)
            self._book.workers[name].hold(run, group.spec.need)
        self._book.dirty[group.job.name] = None
        self._book.after.starts.append((group, group.run))
        waited_ms = int((now - group.ready_at) * 1000)
        text = (
            f"{group.tasks[0]} and {len(group.tasks) - 1} more, run"
            f" {group.run}, go to {', '.join(sorted(set(places.workers)))}"
            f" after {waited_ms} ms{', slow' if places.slow else ''}."
        )
        self._book.say(logs.Part.PLACE, text)
