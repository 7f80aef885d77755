"""Places what waits, most urgent first, and clears room where it must."""

from collections.abc import Collection
from collections.abc import Sequence

from kingcuplever import logs
from kingcuplever.process.scheduling import accounts
from kingcuplever.process.scheduling import book as books
from kingcuplever.process.scheduling import claims
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import look as looks
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import reserve
from kingcuplever.process.scheduling import waiting
from kingcuplever.process.scheduling import work
from kingcuplever.process.scheduling import workers
from kingcuplever.process.stored import evidence_records


class Placer:
    """Chooses places for all that waits.

    :ivar waiting_for: why a group has no place yet, by its first task.
    """

    def __init__(self, book: books.Book) -> None:
        """Work on a shared book."""
        self.waiting_for: dict[str, str] = {}
        self._book = book
        self._claims = claims.Claims(book)

    def place_all(self, now: float) -> None:
        """Place what can be placed, the most urgent first."""
        usable = [
            worker
            for worker in self._book.workers.values()
            if worker.known and now - worker.heard_at <= workers.FRESH_S
        ]
        rooms = {worker.name: worker.free for worker in usable}
        self._claims.set_room_aside(rooms, now)
        look = looks.Look(self._book, usable, rooms, now)
        kept: set[str] = set()
        self.waiting_for.clear()
        steps = self._book.ready.in_order(self._rank)
        for groups in steps:
            job = waiting.first_of(groups).job
            if self._book.accounts.has_cells(job.spec):
                self._place_in_cells(groups, look)
        for groups in steps:
            if not groups:
                continue
            queue = self._book.queue_of(waiting.first_of(groups).job)
            if queue.priority and self._is_held_back(steps, look):
                return
            if queue.priority and queue.pool not in kept:
                kept.add(queue.pool)
                pool = [w for w in usable if w.pool == queue.pool]
                part = self._book.policy.headroom_part
                self._book.headroom.keep(queue.pool, pool, rooms, part, now)
            self._place_step(groups, look)

    def _is_held_back(
        self, steps: Sequence[Collection[work.Group]], look: looks.Look
    ) -> bool:
        """Tell whether work that can wait has to, under a new owner.

        Urgent work may fit once another worker reports; what takes the first
        ones would have to be stopped for it.
        """
        if self._book.is_settled(look.now):
            return False
        # Urgent steps come first, so those that still have groups are known.
        first = next(waiting.first_of(groups) for groups in steps if groups)
        return self._book.queue_of(first.job).priority == 0

    def _place_in_cells(
        self, groups: Collection[work.Group], look: looks.Look
    ) -> None:
        """Place what an account's own cells hold, before all else.

        What is kept for others, or comes before it in the queue, has no
        part in those cells.
        """
        first = waiting.first_of(groups)
        able = look.able(first, self._book.queue_of(first.job).pool)
        for group in [*groups]:
            if look.now < group.not_before or look.is_over_limit(group):
                return
            own = look.own_cells(group)
            counts = accounts.tasks_by_worker(group, own, able)
            if not counts:
                return
            if not self._place(group, able, look, counts):
                self._claims.claim_cells(group, able, look, counts)

    def _place_step(
        self, groups: Collection[work.Group], look: looks.Look
    ) -> None:
        """Place what can be placed of one step's groups."""
        first = waiting.first_of(groups)
        queue = self._book.queue_of(first.job)
        urgent = queue.priority == 0
        if urgent:
            look.count_urgent()
        if not urgent and look.is_hopeless(first, queue.pool):
            self._wait(first, "no room for all its tasks")
            return
        able = look.able(first, queue.pool)
        if queue.needs_advice:
            able = self._find_advised(first, able, look)
        for group in [*groups]:
            if look.now < group.not_before:
                continue
            if not urgent and look.is_hopeless(group, queue.pool):
                return
            if group in self._claims and not urgent:
                self._wait(group, "room is being cleared for it")
                continue
            if look.is_over_limit(group):
                self._wait(group, "its account or team is at a limit")
                return
            placed = self._place(group, able, look)
            if not placed and urgent:
                self._claims.claim_urgent(group, able, look)
            if urgent and (placed or group in self._claims):
                look.note_urgent(group)
            if placed:
                continue
            self._keep_room(group, able, look)
            if not urgent:
                if not queue.needs_advice:
                    look.note_failure(group, queue.pool)
                return

    def _keep_room(
        self, group: work.Group, able: list[fleet.Worker], look: looks.Look
    ) -> None:
        """Keep what comes free for a group that has waited too long.

        Urgent work does not wait for that: what is placed behind it would
        hold the room for longer than it may take.  No more than half of
        the accelerators are left idle for it.
        """
        if group in self._claims:
            return
        urgent = self._book.queue_of(group.job).priority == 0
        waited_s = look.now - group.ready_at
        patient = waited_s <= self._book.policy.patience_s
        if patient and (not urgent or look.is_mostly_free):
            self._wait(group, "no room for all its tasks")
            return
        plan = reserve.choose(self._book, group, able, look.rooms, look.now)
        kept = () if plan is None else plan.workers
        for name in kept:
            look.rooms[name] = look.rooms[name].minus(group.spec.need)
        self._wait(group, f"room is kept on {', '.join(kept) or 'no worker'}")

    def _wait(self, group: work.Group, reason: str) -> None:
        self.waiting_for[group.tasks[0]] = reason

    def _find_advised(
        self,
        group: work.Group,
        able: list[fleet.Worker],
        look: looks.Look,
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

    def _rank(self, group: work.Group) -> waiting.Rank:
        job = group.job
        return (self._book.queue_of(job).priority, job.order, group.step)

    def _place(
        self,
        group: work.Group,
        able: list[fleet.Worker],
        look: looks.Look,
        counts: dict[str, int] | None = None,
    ) -> bool:
        """Place one group, if there is room.

        :param counts: most tasks on each worker, for room that is kept for
            the group's account; the cells may be in several racks.
        """
        rooms, now = look.rooms, look.now
        self._claims.release(group, rooms)
        allow_slow = self._may_be_slow(group, able, look)
        usable = rooms
        if counts:
            allow_slow = True
            usable = _limit(rooms, counts, group.spec.need)
            able = [worker for worker in able if worker.name in counts]
        places = placement.choose(
            group,
            able,
            usable,
            lambda name: self._count_on(group, name),
            allow_slow,
            self._book.accounts.strangers_cells(group.job.spec),
        )
        if places is None:
            self._claims.hold(group, rooms)
            return False
        self._claims.end(group)
        look.note_placed(group)
        self._assign(group, places, now)
        for name in places.workers:
            rooms[name] = rooms[name].minus(group.spec.need)
        return True

    def _may_be_slow(
        self, group: work.Group, able: list[fleet.Worker], look: looks.Look
    ) -> bool:
        """Tell whether a group may be placed where its work is slow.

        In a busy pool the right place may be free soon enough for the work
        to be done earlier there.
        """
        if not placement.may_be_slow(group, look.now):
            return False
        if not placement.is_bound(group.spec) or look.is_mostly_free:
            return True
        plan = reserve.choose(self._book, group, able, look.rooms, look.now)
        return plan is None or plan.slow

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
        group.job.begun_ms = group.job.begun_ms or self._book.wall_ms
        self._book.after.starts.append((group, group.run))
        waited_ms = int((now - group.ready_at) * 1000)
        text = (
            f"{group.tasks[0]} and {len(group.tasks) - 1} more, run"
            f" {group.run}, go to {', '.join(sorted(set(places.workers)))}"
            f" after {waited_ms} ms{', slow' if places.slow else ''}."
        )
        self._book.say(logs.Part.PLACE, text)
        self._book.note(
            evidence_records.Placed(
                group.job.name,
                group.tasks[0],
                group.run,
                len(group.tasks),
                group.spec.gpus,
                places.workers,
                waited_ms,
            )
        )


def _limit(
    rooms: placement.Rooms, counts: dict[str, int], need: model.Need
) -> placement.Rooms:
    """Give the room of some workers, cut to so many tasks on each."""
    return {
        name: rooms[name]._replace(
            gpus=min(rooms[name].gpus, count * need.gpus)
        )
        for name, count in counts.items()
        if name in rooms
    }
