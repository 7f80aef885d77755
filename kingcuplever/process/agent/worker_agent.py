"""The part of a side that runs tasks on the worker beside it.

It holds the leases of what runs there, lists it, reports the list to the
owner, and hands the owner's orders to the calls.  It remembers nothing that
it could not read back from the worker.
"""

from typing import Final

import trio

from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process.agent import executor as executors
from kingcuplever.process.agent import order_reconciler
from kingcuplever.process.agent import worker_state
from kingcuplever.process import job_metrics
from kingcuplever.process import leases
from kingcuplever.process.scheduling import fleet

# How long one call to the worker may wait for an end; with it the period
# of the lists, and of the leases' prolongation.
_LIST_WAIT_MS: Final = 1000
# Ends that the owner has not acknowledged are listed without any wait; the
# next list would show nothing new before the owner could have acted.
_UNACKED_PAUSE_S: Final = 0.05
# Pause after a call that got no answer.
_RETRY_S: Final = 0.15


class WorkerAgent:
    """Runs the owner's orders on one worker.

    :ivar changed: set, and replaced, whenever there is news to report.
    """

    def __init__(
        self,
        side: str,
        worker: executors.Executor,
        lease_ms: int,
        metrics: job_metrics.JobMetrics,
        autonomous_renewal_s: float = leases.AUTONOMOUS_RENEWAL_S,
    ) -> None:
        """Wait for the worker to register.

        :param lease_ms: the longest lease that the worker grants.
        :param alone_s: how long leases are prolonged without an owner.
        """
        self._prolong_s = autonomous_renewal_s
        self.changed = trio.Event()
        self._side = side
        self._worker = worker
        self._lease_ms = lease_ms
        metrics.alone_seconds.set_function(self._alone_s)
        self._state = worker_state.WorkerState()
        self._orders = order_reconciler.OrderReconciler(
            self._state, worker, lease_ms, metrics, self._signal_change
        )
        self._ended_incarnations: list[executors.Registration] = []
        self._registered = trio.Event()
        self._nursery: trio.Nursery | None = None

    def _alone_s(self) -> float:
        """Give the time since an owner was heard, for the metrics."""
        try:
            return trio.current_time() - self._state.owner_contact_at
        except RuntimeError:
            # Read from outside of the running process, as tests do.
            return 0.0

    async def run(self) -> None:
        """Hold and list until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await self._poll_worker()

    def register(self, registration: executors.Registration) -> None:
        """Take in a registration of the worker."""
        if self._state.incarnations.apply_registration(registration):
            self._registered.set()
            text = (
                f"Life {registration.incarnation} registers, sequence"
                f" {registration.sequence},"
                f" {'draining' if registration.draining else 'ready'}."
            )
            logs.info(logs.Component.MEMBER, text)
            self._signal_change()

    def deregister(self, life: str) -> None:
        """The worker says that a life ends."""
        present = self._state.incarnations.current
        if self._state.incarnations.mark_ended(life) and present is not None:
            self._end_incarnation(present, "it said so")

    def record_owner_contact(self, epoch: int) -> None:
        """The owner of an epoch has answered."""
        self._state.record_owner_contact(epoch)

    def apply_orders(self, orders: messages.WorkerOrders) -> bool:
        """Take what the owner wants; false if a newer owner is known."""
        if orders.epoch < self._state.epoch:
            return False
        present = self._state.incarnations.current
        if present is None or orders.worker != self._name(present):
            return True
        self.record_owner_contact(orders.epoch)
        assert self._nursery is not None
        self._orders.apply_orders(orders, self._nursery)
        return True

    def make_reports(self) -> list[messages.WorkerReport]:
        """Give what to report now, lives that are over first."""
        rows = [
            self._make_report(life, True) for life in self._ended_incarnations
        ]
        if (
            self._state.incarnations.current is not None
            and self._state.task_list is not None
        ):
            rows.append(
                self._make_report(self._state.incarnations.current, False)
            )
        return rows

    def mark_reported(self, report: messages.WorkerReport) -> None:
        """The owner has taken a report."""
        if report.gone:
            self._ended_incarnations = [
                life
                for life in self._ended_incarnations
                if self._name(life) != report.worker
            ]

    def _name(self, life: executors.Registration) -> str:
        return fleet.worker_name(life.incarnation, self._side)

    def _make_report(
        self, life: executors.Registration, gone: bool
    ) -> messages.WorkerReport:
        view = None if gone else self._state.task_list
        running = () if view is None else view.running
        ended = () if view is None else view.ended
        refused = {} if gone else self._orders.refused
        return messages.WorkerReport(
            self._name(life),
            self._side,
            life.data_centre,
            life.pool,
            *life.capacity,
            life.labels,
            life.draining,
            life.time_left_ms(trio.current_time()),
            gone,
            tuple(messages.RunningRow(*row) for row in running),
            tuple(messages.EndedRow(*row) for row in ended),
            tuple(
                messages.RefusedRow(run.task, run.run, reason)
                for run, reason in refused.items()
            ),
            0 if view is None else view.clock_ms,
        )

    def _signal_change(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    async def _poll_worker(self) -> None:
        """List once, prolonging the leases where that is allowed."""
        registration = (
            self._state.incarnations.candidate
            or self._state.incarnations.current
        )
        if registration is None or not self._state.epoch:
            self._registered = trio.Event()
            with trio.move_on_after(_RETRY_S):
                await self._registered.wait()
            return
        life = registration.incarnation
        now = trio.current_time()
        until_ms = None
        if (
            self._state.clock.is_known
            and self._state.incarnations.candidate is None
        ):
            heard_at = self._state.owner_contact_at
            if leases.can_renew(heard_at, now, self._prolong_s):
                until_ms = self._state.clock.compute_lease_end_ms(
                    self._lease_ms, now
                )
        # The first look at a life learns its clock and must not wait.
        wait_ms = 0 if until_ms is None else _LIST_WAIT_MS
        acked = 0 if self._state.incarnations.candidate else self._orders.acked
        try:
            view = await self._worker.renew_and_list(
                life, self._state.epoch, acked, until_ms, wait_ms
            )
        except errors.ExecutorReplaced:
            self._handle_changed_incarnation(registration)
            return
        except errors.ExecutorFenced:
            logs.warn(
                logs.Component.OWNER, f"Epoch {self._state.epoch} is fenced."
            )
            await trio.sleep(_RETRY_S)
            return
        except errors.PlatformFailed as error:
            logs.warn(
                logs.Component.TASK, f"No list of {life}: {error.detail}"
            )
            await trio.sleep(_RETRY_S)
            return
        self._apply_task_list(registration, view, now)
        if view.ended:
            await trio.sleep(_UNACKED_PAUSE_S)
        elif until_ms is None and self._state.clock.is_known:
            await trio.sleep(_RETRY_S)

    def _apply_task_list(
        self,
        registration: executors.Registration,
        view: executors.TaskList,
        asked_at: float,
    ) -> None:
        present = self._state.incarnations.current
        if self._state.incarnations.confirm_candidate(
            registration.incarnation
        ):
            if present is not None:
                self._end_incarnation(
                    present, f"{registration.incarnation} follows it"
                )
            self._reset_state()
        elif (
            present is None or present.incarnation != registration.incarnation
        ):
            return
        self._state.clock.update(view.clock_ms, trio.current_time())
        before = self._state.task_list
        self._state.task_list = view
        self._state.task_list_requested_at = asked_at
        if before is None or _has_task_changes(before, view):
            self._signal_change()

    def _handle_changed_incarnation(
        self, registration: executors.Registration
    ) -> None:
        """Another life answers at the worker's address."""
        if self._state.incarnations.mark_ended(registration.incarnation):
            self._end_incarnation(registration, "another life answers")

    def _end_incarnation(
        self, registration: executors.Registration, reason: str
    ) -> None:
        text = f"Life {registration.incarnation} is over: {reason}."
        logs.info(logs.Component.MEMBER, text)
        self._ended_incarnations.append(registration)
        self._reset_state()

    def _reset_state(self) -> None:
        """Forget all that was about the life before."""
        self._state.reset()
        self._orders.reset()
        self._signal_change()


def _has_task_changes(
    before: executors.TaskList, after: executors.TaskList
) -> bool:
    """Tell whether tasks have begun or ended between two lists."""
    if before.ended != after.ended:
        return True
    old = {(row.task, row.run) for row in before.running}
    return old != {(row.task, row.run) for row in after.running}
