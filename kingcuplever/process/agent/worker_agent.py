"""The part of a side that manages the tasks on the worker beside it.

It renews the tasks' leases, lists the tasks, makes the reports to the owner
and passes the owner's orders on.  It keeps no state that it could not read
back from the worker.
"""

from typing import Final

import trio

from kingcuplever import clock
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process.agent import executor as executors
from kingcuplever.process.agent import former_incarnations
from kingcuplever.process.agent import order_reconciler
from kingcuplever.process.agent import report_parts
from kingcuplever.process.agent import worker_state
from kingcuplever.process import job_metrics
from kingcuplever.process import leases
from kingcuplever.process.scheduling import evacuations
from kingcuplever.process.scheduling import fleet

# How long the worker may delay its task list until a task ends.  It is also
# the longest time between two lease renewals, apart from failed calls.
_LIST_WAIT_MS: Final = 1000
# Pause after a list with unacknowledged ends: the worker answers at once
# while there are any, and the owner needs time to acknowledge them.
_UNACKED_PAUSE_S: Final = 0.05
# Pause after a failed call, and poll interval while no call can be made.
_RETRY_S: Final = 0.15
# Runs named in the log line about the end of an incarnation.
_MAX_LOGGED_RUNS: Final = 16


class WorkerAgent:
    """Applies the owner's orders to one worker and reports its state.

    :ivar changed: set, and replaced, whenever there is a change to report.
    """

    def __init__(
        self,
        side: str,
        worker: executors.Executor,
        lease_ms: int,
        metrics: job_metrics.JobMetrics,
        autonomous_renewal_s: float | None = None,
        late_call_s: float = 0.0,
    ) -> None:
        """Start without a worker; it has to register first.

        :param lease_ms: longest lease that the worker grants.
        :param autonomous_renewal_s: how long leases are renewed without
            contact to an owner; derived from the lease if absent.
        :param late_call_s: how late the worker may carry out a call that it
            did not answer.
        """
        if autonomous_renewal_s is None:
            autonomous_renewal_s = leases.compute_autonomous_renewal_s(
                lease_ms / 1000
            )
        self.changed = trio.Event()
        self._side = side
        self._worker = worker
        self._lease_ms = lease_ms
        self._barrier = metrics.barrier
        metrics.alone_seconds.set_function(self._get_owner_silence_s)
        self._state = worker_state.WorkerState(autonomous_renewal_s)
        self._former = former_incarnations.FormerIncarnations(
            worker, late_call_s
        )
        self._orders = order_reconciler.OrderReconciler(
            self._state,
            worker,
            lease_ms,
            metrics,
            self._signal_change,
            self._former,
        )
        self._registered = trio.Event()
        self._nursery: trio.Nursery | None = None
        # Incarnation that has deregistered and may not have ended yet.
        self._leaving = ""
        # Incarnation of whose id a deregistration has come, perhaps late.
        self._doubtful_leave = ""

    def _get_owner_silence_s(self) -> float:
        """Return the seconds since the last contact to an owner."""
        try:
            return self._state.owner_silence_s
        except RuntimeError:
            # The metrics are read outside of a trio run, as in tests.
            return 0.0

    async def run(self) -> None:
        """Poll the worker until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await self._poll_on()
            finally:
                # No order may be begun while the nursery closes.
                self._nursery = None

    async def _poll_on(self) -> None:
        while True:
            with self._barrier.contain("poll", self._side) as poll:
                await self._poll_worker()
            if poll.has_failed:
                await trio.sleep(_RETRY_S)

    def register(self, registration: executors.Registration) -> None:
        """Apply a registration of the worker."""
        incarnations = self._state.incarnations
        before = incarnations.current
        is_change = incarnations.apply_registration(registration)
        if incarnations.current is registration:
            is_change = self._revoke_leave(registration) or is_change
        elif not is_change:
            text = (
                f"Registration of {registration.incarnation}, sequence"
                f" {registration.sequence}, is ignored as old or incomplete."
            )
            logs.info(logs.Component.MEMBER, text)
        if not is_change:
            return
        self._registered.set()
        if before is not None and _has_shrunk(before, registration):
            # The owner orders again what still has room.
            self._orders.void_starts()
        text = (
            f"Worker {registration.incarnation} registered, sequence"
            f" {registration.sequence},"
            f" {'draining' if registration.draining else 'ready'},"
            f" {registration.capacity}."
        )
        logs.info(logs.Component.MEMBER, text)
        self._signal_change()

    def deregister(self, worker_id: str) -> None:
        """Expect the end of an incarnation that the worker has deregistered.

        Its tasks run until it has ended: nobody listens at its address then,
        or another incarnation.
        """
        current = self._state.incarnations.current
        if (
            current is None
            or fleet.worker_id_of(current.incarnation) != worker_id
        ):
            self._state.incarnations.deregister(worker_id)
            return
        text = f"Worker {current.incarnation} has deregistered."
        logs.info(logs.Component.MEMBER, text)
        if fleet.has_birth(current.incarnation) and not current.draining:
            # A worker drains before it deregisters; this one may be late.
            self._doubtful_leave = current.incarnation
            return
        self._leaving = current.incarnation
        self._signal_change()

    def _revoke_leave(self, registration: executors.Registration) -> bool:
        """Expect no end of a worker that registers as ready after all.

        The deregistration was a late one of a former incarnation.

        :return: whether its end was expected.
        """
        if registration.draining:
            return False
        self._doubtful_leave = ""
        was_leaving = registration.incarnation == self._leaving
        if was_leaving:
            self._leaving = ""
        return was_leaving

    def record_epoch(self, epoch: int) -> None:
        """Record the epoch of an owner, which permits no starts or renewals.

        The worker's tasks can be listed from then on.
        """
        self._state.record_epoch(epoch)

    def record_owner_contact(self, epoch: int, moment: clock.Moment) -> None:
        """Record that the owner of an epoch has answered a report.

        :param moment: latest moment at which the owner is known to have
            waited for this side's reports.
        """
        self._state.record_owner_contact(epoch, moment)

    def record_evacuations(self, view: evacuations.Evacuations) -> None:
        """Record which data centres are evacuated; ignore older views.

        Nothing is started in those from then on.
        """
        was_evacuated = self._state.is_evacuated
        self._state.record_evacuations(view)
        if self._state.is_evacuated != was_evacuated:
            state = "is evacuated" if self._state.is_evacuated else "is back"
            text = f"The data centre {state}, version {view.version}."
            logs.info(logs.Component.MEMBER, text)

    def record_host_contact(self) -> None:
        """Record that another host has answered, whatever it said."""
        self._state.contact.record_host_contact()

    def apply_orders(self, orders: messages.WorkerOrders) -> bool:
        """Apply the owner's orders; return false if their epoch is stale.

        :raises errors.KingcupleverError: ``OVERLOADED`` while the agent does
            not run, as when the side ends.
        """
        if orders.epoch < self._state.epoch:
            return False
        current = self._state.incarnations.current
        if current is None or orders.worker != self._make_worker_name(current):
            return True
        self.record_epoch(orders.epoch)
        if orders.evacuated is not None:
            self.record_evacuations(
                evacuations.Evacuations(
                    orders.evacuations_version or 0, orders.evacuated
                )
            )
        if self._nursery is None:
            raise errors.KingcupleverError(
                f"Side {self._side} takes no orders now.",
                errors.Code.OVERLOADED,
            )
        self._orders.apply_orders(orders, self._nursery)
        return True

    def make_reports(self) -> list[messages.WorkerReport]:
        """Make the reports that are due, ended incarnations first."""
        reports = [
            self._make_report(ended.registration, ended)
            for ended in self._former.list_reportable()
        ]
        if (
            self._state.incarnations.current is not None
            and self._state.task_list is not None
        ):
            reports.append(
                self._make_report(self._state.incarnations.current, None)
            )
        return [
            part
            for report in reports
            for part in report_parts.split_report(report)
        ]

    def mark_reported(self, report: messages.WorkerReport) -> None:
        """Record that the log has what a report has led to."""
        if report.gone:
            self._former.remove(fleet.incarnation_of(report.worker))

    def _make_worker_name(self, registration: executors.Registration) -> str:
        return fleet.worker_name(registration.incarnation, self._side)

    def _make_report(
        self,
        registration: executors.Registration,
        end: former_incarnations.EndedIncarnation | None,
    ) -> messages.WorkerReport:
        """Make the report about an incarnation.

        :param end: its end; None if it is the current one.
        """
        is_leaving = self._is_leaving(registration)
        task_list = self._state.task_list if end is None else None
        running = () if task_list is None else task_list.running
        ended = () if task_list is None else task_list.ended
        refused = self._orders.refused if end is None else {}
        if end is not None:
            running = end.runs
        return messages.WorkerReport(
            self._make_worker_name(registration),
            self._side,
            registration.data_centre,
            registration.pool,
            *registration.capacity,
            registration.labels,
            is_leaving,
            registration.time_left_ms(trio.current_time()),
            end is not None,
            tuple(messages.RunningRow(*row) for row in running),
            tuple(messages.EndedRow(*row) for row in ended),
            tuple(
                messages.RefusedRow(run.task, run.run, reason)
                for run, reason in refused.items()
            ),
            0 if task_list is None else task_list.clock_ms,
            self._orders.number,
            end is None and self._state.contact.is_refused,
            end is not None and end.crashed,
            cut=task_list is not None and task_list.is_cut,
        )

    def _signal_change(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    async def _poll_worker(self) -> None:
        """List the tasks once and renew their leases if allowed."""
        registration = (
            self._state.incarnations.candidate
            or self._state.incarnations.current
        )
        if registration is None or not self._state.epoch:
            self._registered = trio.Event()
            with trio.move_on_after(_RETRY_S):
                await self._registered.wait()
            return
        incarnation = registration.incarnation
        now = trio.current_time()
        lease_end_ms = None
        if (
            self._state.clock.is_known
            and self._state.incarnations.candidate is None
        ):
            if self._state.may_act and incarnation != self._leaving:
                lease_end_ms = self._state.clock.compute_lease_end_ms(
                    self._lease_ms, now
                )
        # The first list of an incarnation reads its clock; it must not wait.
        may_wait = lease_end_ms is not None
        may_wait = may_wait and not self._state.contact.is_refused
        wait_ms = _LIST_WAIT_MS if may_wait else 0
        acked = self._find_acked_end()
        try:
            task_list = await self._worker.renew_and_list(
                incarnation, self._state.epoch, acked, lease_end_ms, wait_ms
            )
        except errors.ExecutorReplaced:
            self._former.release(fleet.worker_id_of(incarnation))
            self._handle_ended_incarnation(
                registration, "a worker with another id answers"
            )
            return
        except errors.ExecutorFenced:
            logs.warn(
                logs.Component.OWNER, f"Epoch {self._state.epoch} is fenced."
            )
            await trio.sleep(_RETRY_S)
            return
        except errors.PlatformFailed as error:
            await self._handle_failed_list(registration, error)
            return
        answered = task_list.incarnation or registration.incarnation
        if answered != registration.incarnation:
            self._handle_other_answer(registration, answered)
        if not await self._confirm_incarnation(answered, task_list):
            await trio.sleep(_UNACKED_PAUSE_S)
            return
        self._apply_task_list(task_list, now)
        if task_list.ended:
            await trio.sleep(_UNACKED_PAUSE_S)
        elif lease_end_ms is None and self._state.clock.is_known:
            await trio.sleep(_RETRY_S)

    def _find_acked_end(self) -> int:
        """Return the acknowledgement for the next list, or 0 for none.

        Only an end that the worker still lists is acknowledged: the call may
        reach a later incarnation, whose ends have the same numbers.
        """
        task_list = self._state.task_list
        if self._state.incarnations.candidate or task_list is None:
            return 0
        acked = self._orders.acked
        return max(
            (row.number for row in task_list.ended if row.number <= acked),
            default=0,
        )

    def _handle_other_answer(
        self, registration: executors.Registration, answered: str
    ) -> None:
        """Handle that another incarnation with the same id has answered."""
        text = f"{answered} answers instead of {registration.incarnation}."
        logs.info(logs.Component.MEMBER, text)
        current = self._state.incarnations.current
        if current is None or current.incarnation != registration.incarnation:
            self._state.incarnations.mark_ended(registration.incarnation)

    async def _confirm_incarnation(
        self, answered: str, task_list: executors.TaskList
    ) -> bool:
        """Make the incarnation that has answered the current one.

        :return: whether it is; false if it has not registered yet, or may
            still start runs of a former one.
        """
        incarnations = self._state.incarnations
        current = incarnations.current
        if current is not None:
            if current.incarnation == answered:
                return True
            if incarnations.has_ended(answered):
                return False
            is_restart = fleet.worker_id_of(
                current.incarnation
            ) == fleet.worker_id_of(answered)
            incarnations.mark_ended(current.incarnation)
            reason = f"{answered} replaced it"
            self._end_incarnation(current, reason, is_restart)
        if not await self._former.settle(
            answered, self._state.epoch, task_list
        ):
            return False
        if not incarnations.confirm_candidate(answered):
            return False
        self._reset_state()
        return True

    def _is_leaving(self, registration: executors.Registration) -> bool:
        """Return whether an incarnation drains or has deregistered."""
        return (
            registration.draining or registration.incarnation == self._leaving
        )

    async def _handle_failed_list(
        self,
        registration: executors.Registration,
        error: errors.PlatformFailed,
    ) -> None:
        """Handle a list without an answer, and pause before the next."""
        incarnation = registration.incarnation
        current = self._state.incarnations.current
        is_current = current is not None and current.incarnation == incarnation
        if current is not None and is_current:
            # It may have registered again since the call.
            registration = current
        may_leave = (
            self._is_leaving(registration)
            or incarnation == self._doubtful_leave
        )
        if error.refused and may_leave:
            self._handle_ended_incarnation(registration, "it has left")
            return
        logs.warn(
            logs.Component.TASK,
            f"No task list of {incarnation}: {error.detail}",
        )
        if error.refused and is_current:
            if self._state.contact.record_refusal():
                self._signal_change()
        await trio.sleep(_RETRY_S)

    def _apply_task_list(
        self, task_list: executors.TaskList, requested_at: float
    ) -> None:
        """Apply a list of the current incarnation."""
        self._state.clock.update(task_list.clock_ms, trio.current_time())
        if self._state.contact.is_refused:
            self._signal_change()
        self._state.contact.record_answer()
        previous = self._state.task_list
        self._state.apply_task_list(task_list, requested_at)
        if previous is None or _has_task_changes(previous, task_list):
            self._signal_change()

    def _handle_ended_incarnation(
        self, registration: executors.Registration, reason: str
    ) -> None:
        """Handle that an incarnation no longer answers at its address."""
        current = self._state.incarnations.current
        if self._state.incarnations.mark_ended(registration.incarnation):
            assert current is not None
            self._end_incarnation(current, reason, is_restart=False)

    def _end_incarnation(
        self,
        registration: executors.Registration,
        reason: str,
        is_restart: bool,
    ) -> None:
        """End the current incarnation.

        :param is_restart: whether the worker has restarted under its id.
        """
        saw_crash = self._state.contact.saw_crash
        runs = self._state.list_started_tasks()
        end = former_incarnations.EndedIncarnation(
            registration,
            runs,
            saw_crash and not self._is_leaving(registration),
        )
        self._log_end(end, reason)
        self._former.add(end, is_restart)
        self._reset_state()

    def _log_end(
        self, end: former_incarnations.EndedIncarnation, reason: str
    ) -> None:
        """Log the end of an incarnation, and the evidence of its cause."""
        contact = self._state.contact
        refused = "never refused"
        if contact.is_refused:
            refused = f"refused {contact.silence_s:.2f} s after an answer"
        names = [f"{row.task} run {row.run}" for row in end.runs]
        more = len(names) - _MAX_LOGGED_RUNS
        if more > 0:
            names = [*names[:_MAX_LOGGED_RUNS], f"{more} more"]
        text = (
            f"Worker {end.registration.incarnation} ended: {reason};"
            f" {'crashed in contact' if end.crashed else 'no crash seen'},"
            f" {refused}; there were {', '.join(names) or 'no runs'}."
        )
        logs.info(logs.Component.MEMBER, text)

    def _reset_state(self) -> None:
        """Drop the state and the orders of the previous incarnation."""
        self._state.reset()
        self._orders.reset()
        self._signal_change()


def _has_shrunk(
    before: executors.Registration, after: executors.Registration
) -> bool:
    """Return whether an incarnation has less room than before."""
    is_same = before.incarnation == after.incarnation
    return is_same and not before.capacity.fits_into(after.capacity)


def _has_task_changes(
    before: executors.TaskList, after: executors.TaskList
) -> bool:
    """Return whether tasks have started or ended between two lists."""
    if before.ended != after.ended:
        return True
    old = {(row.task, row.run) for row in before.running}
    return old != {(row.task, row.run) for row in after.running}
