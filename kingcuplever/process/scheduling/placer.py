"""Places what waits, most urgent first, and clears room where it must."""

from collections.abc import Collection
from collections.abc import Sequence

from kingcuplever import logs
from kingcuplever.process.scheduling import accounts
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import preemptor
from kingcuplever.process.scheduling import ready_queue
from kingcuplever.process.scheduling import reservation
from kingcuplever.process.scheduling import scheduler_state as books
from kingcuplever.process.scheduling import scheduling_cycle as looks
from kingcuplever.process.scheduling import worker_tracker
from kingcuplever.process.stored import evidence_records


class Placer:
    """Chooses places for all that waits.

    :ivar waiting_for: why a group has no place yet, by its first task.
    """

    def __init__(self, book: books.SchedulerState) -> None:
        """Work on a shared book."""
        self.wait_reasons: dict[str, str] = {}
        self._book = book
        self._claims = preemptor.Preemptor(book)

    def place_all(self, now: float) -> None:
        """Place what can be placed, the most urgent first."""
        usable = [
            worker
            for worker in self._book.workers.values()
            if worker.has_reported
            and now - worker.last_report_at <= worker_tracker.MAX_REPORT_AGE_S
        ]
        rooms = {worker.name: worker.free for worker in usable}
        self._claims.subtract_preempted(rooms, now)
        look = looks.SchedulingCycle(self._book, usable, rooms, now)
        kept: set[str] = set()
        self.wait_reasons.clear()
        steps = self._book.ready_queue.sort_steps(self._queue_rank)
        for groups in steps:
            job = ready_queue.oldest_group(groups).job
            if self._book.accounts.has_guarantees(job.spec):
                self._place_in_own_cells(groups, look)
        for groups in steps:
            if not groups:
                continue
            queue = self._book.queue_policy_of(
                ready_queue.oldest_group(groups).job
            )
            if queue.priority and self._must_defer_lower_priority(steps, look):
                return
            if queue.priority and queue.pool not in kept:
                kept.add(queue.pool)
                pool = [w for w in usable if w.pool == queue.pool]
                part = self._book.policy.max_headroom_share
                self._book.headroom.reserve(queue.pool, pool, rooms, part, now)
            self._place_step(groups, look)

    def _must_defer_lower_priority(
        self,
        steps: Sequence[Collection[job_state.Group]],
        look: looks.SchedulingCycle,
    ) -> bool:
        """Tell whether work that can wait has to, under a new owner.

        Urgent work may fit once another worker reports; what takes the first
        ones would have to be stopped for it.
        """
        if self._book.is_warmed_up(look.now):
            return False
        # Urgent steps come first, so those that still have groups are known.
        first = next(
            ready_queue.oldest_group(groups) for groups in steps if groups
        )
        return self._book.queue_policy_of(first.job).priority == 0

    def _place_in_own_cells(
        self, groups: Collection[job_state.Group], look: looks.SchedulingCycle
    ) -> None:
        """Place what an account's own cells hold, before all else.

        What is kept for others, or comes before it in the queue, has no
        part in those cells.
        """
        first = ready_queue.oldest_group(groups)
        able = look.find_eligible(
            first, self._book.queue_policy_of(first.job).pool
        )
        for group in [*groups]:
            if look.now < group.not_before or look.is_over_limit(group):
                return
            own = look.free_own_cells(group)
            counts = accounts.count_tasks_in_cells(group, own, able)
            if not counts:
                return
            if not self._try_place(group, able, look, counts):
                self._claims.preempt_in_cells(group, able, look, counts)

    def _place_step(
        self, groups: Collection[job_state.Group], look: looks.SchedulingCycle
    ) -> None:
        """Place what can be placed of one step's groups."""
        first = ready_queue.oldest_group(groups)
        queue = self._book.queue_policy_of(first.job)
        urgent = queue.priority == 0
        if urgent:
            look.ensure_urgent_counted()
        if not urgent and look.is_unplaceable(first, queue.pool):
            self._set_wait_reason(first, "no room for all its tasks")
            return
        able = look.find_eligible(first, queue.pool)
        if queue.needs_advice:
            able = self._select_ticketed(first, able, look)
        for group in [*groups]:
            if look.now < group.not_before:
                continue
            if not urgent and look.is_unplaceable(group, queue.pool):
                return
            if group in self._claims and not urgent:
                self._set_wait_reason(group, "room is being cleared for it")
                continue
            if look.is_over_limit(group):
                self._set_wait_reason(
                    group, "its account or team is at a limit"
                )
                return
            placed = self._try_place(group, able, look)
            if not placed and urgent:
                self._claims.preempt_for_urgent(group, able, look)
            if urgent and (placed or group in self._claims):
                look.add_urgent(group)
            if placed:
                continue
            self._reserve_for_starved(group, able, look)
            if not urgent:
                if not queue.needs_advice:
                    look.mark_unplaceable(group, queue.pool)
                return

    def _reserve_for_starved(
        self,
        group: job_state.Group,
        able: list[fleet.Worker],
        look: looks.SchedulingCycle,
    ) -> None:
        """Keep what comes free for a group that has waited too long.

        Urgent work does not wait for that: what is placed behind it would
        hold the room for longer than it may take.  No more than half of
        the accelerators are left idle for it.
        """
        if group in self._claims:
            return
        urgent = self._book.queue_policy_of(group.job).priority == 0
        waited_s = look.now - group.ready_at
        patient = waited_s <= self._book.policy.starvation_s
        if patient and (not urgent or look.is_mostly_free):
            self._set_wait_reason(group, "no room for all its tasks")
            return
        plan = reservation.plan_reservation(
            self._book, group, able, look.free, look.now
        )
        kept = () if plan is None else plan.workers
        for name in kept:
            look.free[name] = look.free[name].subtract(group.spec.resources)
        self._set_wait_reason(
            group, f"room is kept on {', '.join(kept) or 'no worker'}"
        )

    def _set_wait_reason(self, group: job_state.Group, reason: str) -> None:
        self.wait_reasons[group.tasks[0]] = reason

    def _select_ticketed(
        self,
        group: job_state.Group,
        able: list[fleet.Worker],
        look: looks.SchedulingCycle,
    ) -> list[fleet.Worker]:
        """Give the workers with leave for a step; have others asked for."""
        book = self._book.advice
        step = group.step_name
        advised = [
            worker
            for worker in able
            if book.find_ticket(step, worker.name, look.now)
        ]
        free = sorted(
            able, key=lambda worker: look.free[worker.name], reverse=True
        )
        book.queue_request(step, [worker.name for worker in free], look.now)
        return advised

    def _queue_rank(self, group: job_state.Group) -> ready_queue.Rank:
        job = group.job
        return (
            self._book.queue_policy_of(job).priority,
            job.order,
            group.step,
        )

    def _try_place(
        self,
        group: job_state.Group,
        able: list[fleet.Worker],
        look: looks.SchedulingCycle,
        counts: dict[str, int] | None = None,
    ) -> bool:
        """Place one group, if there is room.

        :param counts: most tasks on each worker, for room that is kept for
            the group's account; the cells may be in several racks.
        """
        rooms, now = look.free, look.now
        self._claims.add_back_preemption(group, rooms)
        allow_slow = self._may_place_slow(group, able, look)
        usable = rooms
        if counts:
            allow_slow = True
            usable = _cap_by_tasks(rooms, counts, group.spec.resources)
            able = [worker for worker in able if worker.name in counts]
        places = placement.choose_workers(
            group,
            able,
            usable,
            lambda name: self._count_step_tasks(group, name),
            allow_slow,
            self._book.accounts.gpus_of_others(group.job.spec),
        )
        if places is None:
            self._claims.subtract_preemption(group, rooms)
            return False
        self._claims.finish(group)
        look.add_usage(group)
        self._assign(group, places, now)
        for name in places.workers:
            rooms[name] = rooms[name].subtract(group.spec.resources)
        return True

    def _may_place_slow(
        self,
        group: job_state.Group,
        able: list[fleet.Worker],
        look: looks.SchedulingCycle,
    ) -> bool:
        """Tell whether a group may be placed where its work is slow.

        In a busy pool the right place may be free soon enough for the work
        to be done earlier there.
        """
        if not placement.is_locality_wait_over(group, look.now):
            return False
        if (
            not placement.is_locality_sensitive(group.spec)
            or look.is_mostly_free
        ):
            return True
        plan = reservation.plan_reservation(
            self._book, group, able, look.free, look.now
        )
        return plan is None or plan.slow

    def _count_step_tasks(self, group: job_state.Group, name: str) -> int:
        """Count the tasks of a group's step on one worker."""
        if not group.spec.most_per_worker:
            return 0
        occurrence = group.job.open_occurrences[group.occurrence]
        return sum(
            other.assigned_workers.count(name)
            for other in occurrence.steps[group.step]
            if other is not group
        )

    def _assign(
        self, group: job_state.Group, places: placement.Placement, now: float
    ) -> None:
        self._book.ready_queue.discard(group)
        group.begin_run(places.workers)
        group.tickets = {
            name: self._book.advice.find_ticket(group.step_name, name, now)
            for name in set(places.workers)
        }
        for index, name in enumerate(places.workers):
            run = fleet.RunId(group.tasks[index], group.run)
            self._book.workers[name].allocate(run, group.spec.resources)
        self._book.dirty_jobs[group.job.name] = None
        group.job.first_placed_ms = (
            group.job.first_placed_ms or self._book.wall_ms
        )
        self._book.deferred.starts.append((group, group.run))
        waited_ms = int((now - group.ready_at) * 1000)
        text = (
            f"{group.tasks[0]} and {len(group.tasks) - 1} more, run"
            f" {group.run}, go to {', '.join(sorted(set(places.workers)))}"
            f" after {waited_ms} ms{', slow' if places.slow else ''}."
        )
        self._book.queue_log_line(logs.Component.PLACE, text)
        self._book.record_evidence(
            evidence_records.GroupPlaced(
                group.job.name,
                group.tasks[0],
                group.run,
                len(group.tasks),
                group.spec.gpus,
                places.workers,
                waited_ms,
            )
        )


def _cap_by_tasks(
    rooms: placement.FreeResources,
    counts: dict[str, int],
    need: model.Resources,
) -> placement.FreeResources:
    """Give the room of some workers, cut to so many tasks on each."""
    return {
        name: rooms[name]._replace(
            gpus=min(rooms[name].gpus, count * need.gpus)
        )
        for name, count in counts.items()
        if name in rooms
    }
