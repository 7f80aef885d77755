"""Drains hosts for maintenance rounds and decides when to take them down.

An operator's order names the hosts of a round, its time limit, and how many
hosts may be unavailable at once.  A host that is being drained is cordoned:
its tasks may end, and are stopped only when the round's time limit leaves no
more time to wait.  A host is taken down once no task is allocated on it.
Pure: time is passed in, and the caller carries out the take-downs.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Final

from kingcuplever import logs
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import maintenance_rounds
from kingcuplever.process.scheduling import scheduler_state

# First and longest pause before a host that could not be taken down is
# retried.
_INITIAL_RETRY_S: Final = 2.0
_MAX_RETRY_S: Final = 30.0
# How long a cordon outlasts the drain.  An incarnation that still reports
# after that has survived the take-down: the platform had carried it out
# before, and the worker may get work again.
_CORDON_EXPIRY_S: Final = 5.0


class _HostDrain:
    """The drain of one host.

    :ivar stop_at: monotonic time from which tasks that still run are stopped.
    :ivar is_requested: whether the take-down was requested.
    :ivar is_in_doubt: whether a requested take-down may still happen.
    """

    def __init__(self, stop_at: float) -> None:
        self.stop_at = stop_at
        self.is_requested = False
        self.is_in_doubt = False


class _OpenRound:
    """A round that is not completed.

    :ivar began_ms: wall-clock time when the round began.
    :ivar done: hosts that were taken down, or are not part of the round.
    :ivar drains: hosts that are being drained, by name.
    :ivar retry_at: monotonic time of the next attempt, by host.
    :ivar retry_pauses_s: pause before the next retry, by host.
    """

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
    """All maintenance rounds that the owner knows of."""

    def __init__(
        self, state: scheduler_state.SchedulerState, host_downtime_s: float
    ) -> None:
        """Start without rounds.

        :param host_downtime_s: how long a host is down for maintenance.
        """
        self._state = state
        self._host_downtime_s = host_downtime_s
        self._rounds: dict[int, _OpenRound] = {}
        self._completed: set[int] = set()
        self._cordoned_until: dict[str, float] = {}
        # A platform that has just refused to take an empty host down may
        # always refuse.  Until an attempt has another outcome, only hosts that
        # are empty already are tried.
        self._only_empty_hosts = False

    @property
    def is_idle(self) -> bool:
        """Whether no round is open."""
        return not self._rounds

    def restore(
        self, stored: Mapping[int, maintenance_rounds.RoundProgress]
    ) -> None:
        """Restore the stored progress; the orders arrive separately."""
        for progress in stored.values():
            if progress.completed:
                self._completed.add(progress.number)
                continue
            order = maintenance_rounds.RoundOrder(progress.number, (), 0.0, 1)
            open_round = _OpenRound(order, progress.began_ms, {*progress.done})
            for name in progress.requested:
                # Its host may go down any time, so nothing is to be spared.
                drain = _HostDrain(float("-inf"))
                drain.is_in_doubt = True
                open_round.drains[name] = drain
            self._rounds[progress.number] = open_round

    def apply_order(self, order: maintenance_rounds.RoundOrder) -> None:
        """Open a round or update its order; completed rounds stay closed."""
        if order.number in self._completed:
            return
        known = self._rounds.get(order.number)
        if known is not None:
            known.order = order
            return
        open_round = _OpenRound(order, self._state.wall_ms, set())
        self._rounds[order.number] = open_round
        text = (
            f"Maintenance {order.number}: {len(order.hosts)} hosts,"
            f" {order.max_unavailable} at once,"
            f" within {order.time_limit_s:.0f} s."
        )
        self._state.queue_log_line(logs.Component.MEMBER, text)

    def open_progress(self) -> list[maintenance_rounds.RoundProgress]:
        """Return the progress of the open rounds, to be stored."""
        return [self._make_progress(number) for number in self._rounds]

    def plan_take_downs(
        self, hosts: Iterable[maintenance_rounds.Host], now: float
    ) -> list[maintenance_rounds.TakeDown]:
        """Drain hosts, and return those to take down now.

        :param hosts: all hosts that the platform lists.
        """
        listed = {host.name: host for host in hosts}
        self._expire_cordons(now)
        take_downs: list[maintenance_rounds.TakeDown] = []
        for open_round in self._rounds.values():
            self._start_drains(open_round, listed, now)
            for name, drain in open_round.drains.items():
                host = listed.get(name)
                if host is None or not host.is_up or drain.is_requested:
                    continue
                if open_round.retry_at.get(name, 0.0) > now:
                    continue
                worker = self._find_worker_on(host)
                if worker is None or not worker.allocations:
                    drain.is_requested = drain.is_in_doubt = True
                    take_downs.append(
                        maintenance_rounds.TakeDown(
                            open_round.order.number, name
                        )
                    )
                elif now >= drain.stop_at:
                    self._stop_tasks(worker)
        return take_downs

    def record_outcome(
        self,
        take_down: maintenance_rounds.TakeDown,
        outcome: maintenance_rounds.TakeDownOutcome,
        now: float,
    ) -> None:
        """Apply the outcome of a take-down."""
        open_round = self._rounds[take_down.number]
        text = (
            f"Maintenance {take_down.number}, {take_down.host}:"
            f" {outcome.value}."
        )
        self._state.queue_log_line(logs.Component.MEMBER, text)
        self._only_empty_hosts = (
            outcome is maintenance_rounds.TakeDownOutcome.BUSY
        )
        if outcome in (
            maintenance_rounds.TakeDownOutcome.STARTED,
            maintenance_rounds.TakeDownOutcome.NOT_PART,
        ):
            open_round.done.add(take_down.host)
            open_round.drains.pop(take_down.host, None)
            return
        pause_s = open_round.retry_pauses_s.get(
            take_down.host, _INITIAL_RETRY_S
        )
        open_round.retry_pauses_s[take_down.host] = min(
            2 * pause_s, _MAX_RETRY_S
        )
        if outcome is maintenance_rounds.TakeDownOutcome.BUSY:
            # The host takes work again meanwhile: its capacity is worth more
            # than an attempt that may never succeed.
            del open_round.drains[take_down.host]
            self._cordoned_until.pop(take_down.host, None)
            open_round.retry_at[take_down.host] = now + pause_s
        else:
            # The host may be down or may still go down, so it stays cordoned.
            open_round.drains[take_down.host].is_requested = False
            open_round.retry_at[take_down.host] = now + _INITIAL_RETRY_S

    def find_completed(
        self, hosts: Iterable[maintenance_rounds.Host]
    ) -> list[int]:
        """Return the open rounds whose hosts are all up again or gone."""
        listed = {host.name: host for host in hosts}
        found = []
        for number, open_round in self._rounds.items():
            listed_names = [n for n in open_round.order.hosts if n in listed]
            if open_round.order.hosts and all(
                name in open_round.done and listed[name].is_up
                for name in listed_names
            ):
                found.append(number)
        return found

    def complete_round(self, number: int) -> maintenance_rounds.RoundProgress:
        """Close a round, and return its progress, to be stored."""
        progress = self._make_progress(number)
        del self._rounds[number]
        self._completed.add(number)
        return progress._replace(completed=True)

    def update_cordons(
        self, hosts: Iterable[maintenance_rounds.Host], now: float
    ) -> None:
        """Cordon the workers of hosts in a drain, and uncordon the others."""
        draining = {name for o in self._rounds.values() for name in o.drains}
        for host in hosts:
            worker = self._find_worker_on(host)
            if worker is None:
                continue
            if host.name in draining:
                worker.cordoned = True
                self._cordoned_until[host.name] = now + _CORDON_EXPIRY_S
            elif worker.cordoned and host.name not in self._cordoned_until:
                worker.cordoned = False
                self._state.needs_placement = True

    def _make_progress(self, number: int) -> maintenance_rounds.RoundProgress:
        open_round = self._rounds[number]
        done = tuple(sorted(open_round.done))
        requested = tuple(
            sorted(
                name
                for name, drain in open_round.drains.items()
                if drain.is_in_doubt
            )
        )
        return maintenance_rounds.RoundProgress(
            number, open_round.began_ms, done, False, requested
        )

    def _expire_cordons(self, now: float) -> None:
        for name, until in [*self._cordoned_until.items()]:
            if now >= until:
                del self._cordoned_until[name]

    def _start_drains(
        self,
        open_round: _OpenRound,
        listed: dict[str, maintenance_rounds.Host],
        now: float,
    ) -> None:
        """Start draining as many hosts as the round allows.

        Hosts where a stop would lose least work come first.
        """
        for name in [*open_round.drains]:
            if name not in listed:
                del open_round.drains[name]
        names = [name for name in open_round.order.hosts if name in listed]
        unavailable = {name for name in names if not listed[name].is_up}
        unavailable |= {*open_round.drains}
        candidates = [
            name
            for name in names
            if name not in open_round.done
            and name not in unavailable
            and open_round.retry_at.get(name, 0.0) <= now
        ]
        if self._only_empty_hosts:
            candidates = [
                name for name in candidates if self._is_empty(listed[name])
            ]
        available_slots = open_round.order.max_unavailable - len(unavailable)
        candidates.sort(key=lambda name: self._work_at_risk(listed[name], now))
        for name in candidates[: max(0, available_slots)]:
            drain_s = self._drain_time_s(open_round, len(candidates))
            open_round.drains[name] = _HostDrain(now + drain_s)

    def _drain_time_s(self, open_round: _OpenRound, candidates: int) -> float:
        """Return how long a drain may wait for tasks to end.

        The time left is divided among the batches of hosts to come, less the
        downtime of each.
        """
        order = open_round.order
        elapsed_s = (self._state.wall_ms - open_round.began_ms) / 1000
        batches = math.ceil(candidates / max(1, order.max_unavailable))
        left_s = order.time_limit_s - elapsed_s
        return max(0.0, left_s / max(1, batches) - self._host_downtime_s)

    def _find_worker_on(
        self, host: maintenance_rounds.Host
    ) -> fleet.Worker | None:
        for name, worker in self._state.workers.items():
            if host.worker_id and fleet.worker_id_of(name) == host.worker_id:
                return worker
        return None

    def _is_empty(self, host: maintenance_rounds.Host) -> bool:
        worker = self._find_worker_on(host)
        return worker is None or not worker.allocations

    def _work_at_risk(
        self, host: maintenance_rounds.Host, now: float
    ) -> float:
        """Estimate the core-seconds lost by stopping all tasks on a host."""
        worker = self._find_worker_on(host)
        if worker is None:
            return 0.0
        groups = {self._state.find_group(run) for run in worker.allocations}
        return sum(
            group.estimate_lost_work(now) * len(group.tasks)
            for group in groups
            if group is not None
        )

    def _stop_tasks(self, worker: fleet.Worker) -> None:
        """Stop a worker's tasks where their disruption budget allows it."""
        budgets: dict[str, _DisruptionBudget] = {}
        for run in [*worker.allocations]:
            group = self._state.find_group(run)
            if group is None or group.stop_reason:
                continue
            if group.phase != job_state.ASSIGNED:
                continue
            if group.spec.may_miss:
                step = group.step_name
                if step not in budgets:
                    budgets[step] = _DisruptionBudget(group)
                if not budgets[step].try_spend(group):
                    continue
            group.stop_reason = "maintenance"
            text = f"{run.task} is stopped on {worker.name}: maintenance."
            self._state.queue_log_line(logs.Component.TASK, text)
            self._state.order_group_stop(group)


class _DisruptionBudget:
    """How many groups of one step are down, or are about to be."""

    def __init__(self, group: job_state.Group) -> None:
        """Count the groups of a group's step that are not serving."""
        occurrence = group.job.open_occurrences[group.occurrence]
        step = occurrence.steps[group.step]
        self._down = sum(not other.is_serving for other in step)

    def try_spend(self, group: job_state.Group) -> bool:
        """Count a group as down if its step may miss one more."""
        others_down = self._down - (not group.is_serving)
        if others_down >= group.spec.may_miss:
            return False
        self._down = others_down + 1
        return True
