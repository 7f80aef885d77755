"""Room that is being cleared for work that a guarantee or urgency covers.

A claim names the workers that a group will use; what stands there is being
stopped, and the room is kept until the group is placed.
"""

from typing import Final
from typing import NamedTuple

from kingcuplever import logs
from kingcuplever.process.scheduling import book as books
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import look as looks
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import reclaim
from kingcuplever.process.scheduling import work
from kingcuplever.process.stored import evidence_records

# Work, in core-seconds, that may be thrown away for an urgent group that no
# guarantee covers; a few seconds of one whole worker.
_URGENT_COST: Final = 600.0
# A plan to reclaim room is given up when its victims are not gone by then.
_CLAIM_S: Final = 3.0


class _Claim(NamedTuple):
    workers: tuple[str, ...]
    made_at: float


class Claims:
    """All claims that are open."""

    def __init__(self, book: books.Book) -> None:
        """Work on a shared book."""
        self._book = book
        self._claims: dict[work.Group, _Claim] = {}

    def __contains__(self, group: work.Group) -> bool:
        """Tell whether room is being cleared for a group."""
        return group in self._claims

    def set_room_aside(self, rooms: placement.Rooms, now: float) -> None:
        """Take claimed room out of what is free; drop failed claims."""
        for group, claim in [*self._claims.items()]:
            overdue = now - claim.made_at > _CLAIM_S
            leaving = not all(
                name in rooms and self._book.workers[name].takes_work
                for name in claim.workers
            )
            if group not in self._book.ready or overdue or leaving:
                del self._claims[group]
            else:
                self.hold(group, rooms)

    def hold(self, group: work.Group, rooms: placement.Rooms) -> None:
        """Take a group's claimed room out of what is free."""
        for name in self._workers_of(group):
            rooms[name] = rooms[name].minus(group.spec.need)

    def release(self, group: work.Group, rooms: placement.Rooms) -> None:
        """Let a group itself see the room that is claimed for it."""
        for name in self._workers_of(group):
            rooms[name] = rooms[name].plus(group.spec.need)

    def end(self, group: work.Group) -> None:
        """A group is placed, and needs no claim any more."""
        self._claims.pop(group, None)

    def claim_cells(
        self,
        group: work.Group,
        able: list[fleet.Worker],
        look: looks.Look,
        counts: dict[str, int],
    ) -> None:
        """Clear an account's own cells for a group that they cover.

        :param counts: most tasks on each worker that has such cells.
        """
        if group not in self._claims and self._book.is_settled(look.now):
            workers = [worker for worker in able if worker.name in counts]
            self._claim(group, workers, look, float("inf"), counts)

    def claim_urgent(
        self, group: work.Group, able: list[fleet.Worker], look: looks.Look
    ) -> None:
        """Clear room for an urgent group: dear only within its guarantee."""
        if group in self._claims or not self._book.is_settled(look.now):
            # A new owner may not have heard yet of room that is free.
            return
        account = group.job.spec.account
        promised = self._book.policy.guaranteed_gpus.get(account, 0)
        entitled = look.urgent_gpus(account) + group.gpus <= promised
        most = float("inf") if entitled else _URGENT_COST
        self._claim(group, able, look, most, {})

    def _workers_of(self, group: work.Group) -> tuple[str, ...]:
        claim = self._claims.get(group)
        return () if claim is None else claim.workers

    def _claim(
        self,
        group: work.Group,
        able: list[fleet.Worker],
        look: looks.Look,
        most: float,
        counts: dict[str, int],
    ) -> None:
        """Stop the cheapest work whose room a group needs.

        :param most: core-seconds of work that may be thrown away.
        :param counts: most tasks on each worker; empty for no limit.
        """
        entitled = most == float("inf")
        victims = self._find_victims(able, entitled)
        search = reclaim.Search(look.rooms, victims, look.now)
        plan = search.find(group, able, counts)
        if plan is None or plan.cost > most:
            return
        self._claims[group] = _Claim(plan.workers, look.now)
        self.hold(group, look.rooms)
        self._tell(group, plan, entitled)
        for victim in plan.victims:
            if not victim.stopping:
                victim.stopping = f"reclaimed for {group.tasks[0]}"
                victim.job.evictions += 1
                self._book.stop_group(victim)

    def _tell(
        self, group: work.Group, plan: reclaim.Plan, entitled: bool
    ) -> None:
        names = tuple(victim.tasks[0] for victim in plan.victims)
        account = group.job.spec.account
        text = (
            f"{group.tasks[0]} reclaims {', '.join(sorted(set(plan.workers)))}"
            f" for {account}; stopped: {', '.join(names) or 'none'};"
            f" {plan.cost:.0f} core-seconds lost."
        )
        self._book.say(logs.Part.PLACE, text)
        self._book.note(
            evidence_records.Reclaimed(
                group.tasks[0], account, entitled, names
            )
        )

    def _find_victims(
        self, workers: list[fleet.Worker], entitled: bool
    ) -> dict[str, list[work.Group]]:
        """Give the groups on each worker that may be stopped.

        Work within its account's guarantee is spared, and so is work whose
        tasks may not be away.

        :param entitled: urgent work may be stopped as well.
        """
        spared = self._find_spared()
        victims: dict[str, list[work.Group]] = {}
        for worker in workers:
            groups: dict[work.Group, None] = {}
            for run in worker.held:
                group = self._book.group_of(run)
                if group is None or group.phase != work.ASSIGNED:
                    continue
                urgent = self._book.queue_of(group.job).priority == 0
                if group in spared or (urgent and not entitled):
                    continue
                if not group.spec.may_miss:
                    groups[group] = None
            victims[worker.name] = list(groups)
        return victims

    def _find_spared(self) -> set[work.Group]:
        """Give the groups that guarantees cover, the oldest first."""
        book = self._book
        spared, _ = book.accounts.cover(book.jobs.values(), book.workers)
        left = dict(book.policy.guaranteed_gpus)
        for job in book.jobs.values():
            if book.queue_of(job).priority != 0:
                continue
            account = job.spec.account
            for group in job.groups():
                if group.phase != work.ASSIGNED or group.stopping:
                    continue
                if group.gpus <= left.get(account, 0):
                    left[account] -= group.gpus
                    spared.add(group)
        return spared
