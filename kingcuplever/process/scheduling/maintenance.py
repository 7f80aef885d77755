"""Empties workers' hosts for maintenance, few at a time, and says when.

The operator orders rounds: which hosts, within how long, how many at once.
A host that is about to go down gets no new work; what runs there may end,
and only what has not by the time that the round can wait is stopped.  A host
is taken down once nothing of ours is on it.  Pure: time is passed in, and the
caller carries the steps out.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Final

from kingcuplever import logs
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import maintenance_rounds
from kingcuplever.process.scheduling import scheduler_state as books

# First and longest pause before a host that could not go down is tried again.
_RETRY_S: Final = 2.0
_MAX_RETRY_S: Final = 30.0
# A life that is still heard of so long after its host went down has outlived
# it: the step had been carried out before, and the worker takes work again.
_CORDON_EXPIRY_S: Final = 5.0


class _HostDrain:
    """One host on its way down.

    :ivar stops_at: steady time when what still runs there is stopped.
    """

    def __init__(self, stops_at: float) -> None:
        self.stop_at = stops_at
        self.is_requested = False


class _OpenRound:
    """A round that is not completed."""

    def __init__(
        self,
        order: maintenance_rounds.RoundOrder,
        began_ms: int,
        done: set[str],
    ) -> None:
        self.order = order
        self.began_ms = began_ms
        self.done = done
        self.drains: dict[str, _HostDrain] = {}
        self.retry_at: dict[str, float] = {}
        self.retry_pauses_s: dict[str, float] = {}


class Maintenance:
    """All rounds, as the owner follows them."""

    def __init__(self, book: books.SchedulerState, down_s: float) -> None:
        """Work on a shared book.

        :param down_s: how long a host is down for its maintenance.
        """
        self._book = book
        self._down_s = down_s
        self._rounds: dict[int, _OpenRound] = {}
        self._completed: set[int] = set()
        self._cordoned_until: dict[str, float] = {}
        # A platform that has just kept an empty host up may never let one go
        # down; until it does, only what is empty anyway is tried.
        self._only_empty_hosts = False

    @property
    def is_idle(self) -> bool:
        """Whether no round is open."""
        return not self._rounds

    def restore(
        self, stored: Mapping[int, maintenance_rounds.RoundProgress]
    ) -> None:
        """Take over how far the past owner came; orders come besides."""
        for progress in stored.values():
            if progress.completed:
                self._completed.add(progress.number)
                continue
            order = maintenance_rounds.RoundOrder(progress.number, (), 0.0, 1)
            self._rounds[progress.number] = _OpenRound(
                order, progress.began_ms, {*progress.done}
            )

    def apply_order(self, order: maintenance_rounds.RoundOrder) -> None:
        """Follow an order; one that is over stays so."""
        if order.number in self._completed:
            return
        present = self._rounds.get(order.number)
        if present is not None:
            present.order = order
            return
        opened = _OpenRound(order, self._book.wall_ms, set())
        self._rounds[order.number] = opened
        text = (
            f"Maintenance {order.number}: {len(order.hosts)} hosts,"
            f" {order.max_unavailable} at once,"
            f" within {order.time_limit_s:.0f} s."
        )
        self._book.queue_log_line(logs.Component.MEMBER, text)

    def open_progress(self) -> list[maintenance_rounds.RoundProgress]:
        """Give what must last of the open rounds."""
        return [self._progress_of(number) for number in self._rounds]

    def plan_take_downs(
        self, hosts: Iterable[maintenance_rounds.Host], now: float
    ) -> list[maintenance_rounds.TakeDown]:
        """Empty hosts, and give those that are to go down now.

        :param hosts: what the platform lists, all of it.
        """
        listed = {host.name: host for host in hosts}
        self._expire_cordons(now)
        steps: list[maintenance_rounds.TakeDown] = []
        for opened in self._rounds.values():
            self._start_drains(opened, listed, now)
            for name, emptying in opened.drains.items():
                host = listed.get(name)
                if host is None or not host.is_up or emptying.is_requested:
                    continue
                if opened.retry_at.get(name, 0.0) > now:
                    continue
                worker = self._worker_on(host)
                if worker is None or not worker.allocations:
                    emptying.is_requested = True
                    steps.append(
                        maintenance_rounds.TakeDown(opened.order.number, name)
                    )
                elif now >= emptying.stop_at:
                    self._stop_tasks(worker)
        return steps

    def record_outcome(
        self,
        step: maintenance_rounds.TakeDown,
        outcome: maintenance_rounds.TakeDownOutcome,
        now: float,
    ) -> None:
        """Take in what became of a step."""
        opened = self._rounds[step.number]
        text = f"Maintenance {step.number}, {step.host}: {outcome.value}."
        self._book.queue_log_line(logs.Component.MEMBER, text)
        self._only_empty_hosts = (
            outcome is maintenance_rounds.TakeDownOutcome.BUSY
        )
        if outcome in (
            maintenance_rounds.TakeDownOutcome.STARTED,
            maintenance_rounds.TakeDownOutcome.NOT_PART,
        ):
            opened.done.add(step.host)
            opened.drains.pop(step.host, None)
            return
        pause_s = opened.retry_pauses_s.get(step.host, _RETRY_S)
        opened.retry_pauses_s[step.host] = min(2 * pause_s, _MAX_RETRY_S)
        if outcome is maintenance_rounds.TakeDownOutcome.BUSY:
            # Its room is worth more than a try that may never succeed.
            del opened.drains[step.host]
            self._cordoned_until.pop(step.host, None)
            opened.retry_at[step.host] = now + pause_s
        else:
            # It may have gone down, or may yet; nothing new goes there.
            opened.drains[step.host].is_requested = False
            opened.retry_at[step.host] = now + _RETRY_S

    def find_completed(
        self, hosts: Iterable[maintenance_rounds.Host]
    ) -> list[int]:
        """Give the open rounds whose hosts are all up again, or have left."""
        listed = {host.name: host for host in hosts}
        found = []
        for number, opened in self._rounds.items():
            here = [n for n in opened.order.hosts if n in listed]
            if opened.order.hosts and all(
                name in opened.done and listed[name].is_up for name in here
            ):
                found.append(number)
        return found

    def complete_round(self, number: int) -> maintenance_rounds.RoundProgress:
        """A round is over; give what must last of it."""
        progress = self._progress_of(number)
        del self._rounds[number]
        self._completed.add(number)
        return progress._replace(completed=True)

    def update_cordons(
        self, hosts: Iterable[maintenance_rounds.Host], now: float
    ) -> None:
        """Keep new work from the hosts that go down, and from no others."""
        closed = {name for o in self._rounds.values() for name in o.drains}
        for host in hosts:
            worker = self._worker_on(host)
            if worker is None:
                continue
            if host.name in closed:
                worker.cordoned = True
                self._cordoned_until[host.name] = now + _CORDON_EXPIRY_S
            elif worker.cordoned and host.name not in self._cordoned_until:
                worker.cordoned = False
                self._book.needs_placement = True

    def _progress_of(self, number: int) -> maintenance_rounds.RoundProgress:
        opened = self._rounds[number]
        done = tuple(sorted(opened.done))
        return maintenance_rounds.RoundProgress(
            number, opened.began_ms, done, False
        )

    def _expire_cordons(self, now: float) -> None:
        for name, until in [*self._cordoned_until.items()]:
            if now >= until:
                del self._cordoned_until[name]

    def _start_drains(
        self,
        opened: _OpenRound,
        listed: dict[str, maintenance_rounds.Host],
        now: float,
    ) -> None:
        """Begin to empty as many hosts as the round allows."""
        for name in [*opened.drains]:
            if name not in listed:
                del opened.drains[name]
        names = [name for name in opened.order.hosts if name in listed]
        away = {name for name in names if not listed[name].is_up}
        away |= {*opened.drains}
        waiting = [
            name
            for name in names
            if name not in opened.done
            and name not in away
            and opened.retry_at.get(name, 0.0) <= now
        ]
        if self._only_empty_hosts:
            waiting = [
                name for name in waiting if self._is_empty(listed[name])
            ]
        free = opened.order.max_unavailable - len(away)
        waiting.sort(key=lambda name: self._work_at_risk(listed[name], now))
        for name in waiting[: max(0, free)]:
            wait_s = self._drain_time_s(opened, len(waiting))
            opened.drains[name] = _HostDrain(now + wait_s)

    def _drain_time_s(self, opened: _OpenRound, waiting: int) -> float:
        """Give how long a host may take to become empty by itself."""
        order = opened.order
        gone_s = (self._book.wall_ms - opened.began_ms) / 1000
        turns = math.ceil(waiting / max(1, order.max_unavailable))
        left_s = order.time_limit_s - gone_s
        return max(0.0, left_s / max(1, turns) - self._down_s)

    def _worker_on(self, host: maintenance_rounds.Host) -> fleet.Worker | None:
        for name, worker in self._book.workers.items():
            if (
                host.incarnation
                and fleet.incarnation_of(name) == host.incarnation
            ):
                return worker
        return None

    def _is_empty(self, host: maintenance_rounds.Host) -> bool:
        worker = self._worker_on(host)
        return worker is None or not worker.allocations

    def _work_at_risk(
        self, host: maintenance_rounds.Host, now: float
    ) -> float:
        """Weigh what a stop would throw away on a host."""
        worker = self._worker_on(host)
        if worker is None:
            return 0.0
        groups = {self._book.find_group(run) for run in worker.allocations}
        return sum(
            group.estimate_lost_work(now) * len(group.tasks)
            for group in groups
            if group is not None
        )

    def _stop_tasks(self, worker: fleet.Worker) -> None:
        """Stop what is left on a worker, as far as steps may miss tasks."""
        for run in [*worker.allocations]:
            group = self._book.find_group(run)
            if group is None or group.stop_reason:
                continue
            if group.phase != job_state.ASSIGNED or not _may_disrupt(group):
                continue
            group.stop_reason = "maintenance"
            text = f"{run.task} leaves {worker.name}, which goes down."
            self._book.queue_log_line(logs.Component.TASK, text)
            self._book.order_group_stop(group)


def _may_disrupt(group: job_state.Group) -> bool:
    """Tell whether one more task of a step may be away by our doing."""
    if not group.spec.may_miss:
        return True
    step = group.job.open_occurrences[group.occurrence].steps[group.step]
    away = sum(not other.is_serving for other in step if other is not group)
    return away < group.spec.may_miss
