"""Reconciles the runs of a worker with the owner's orders.

Orders are level-triggered: each start and stop is retried until the worker's
own task list shows its effect, or until it is no longer ordered.  A start is
reported as refused only once it can't take effect late either.  Starts are
void once the side may no longer act: the owner may have given them up by the
time it is back, and orders again what it still wants.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final

import trio

from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process.agent import executor as executors
from kingcuplever.process.agent import former_incarnations
from kingcuplever.process.agent import worker_state
from kingcuplever.process import job_metrics
from kingcuplever.process.scheduling import fleet

# Pause before a call is retried or the task list is checked again.
_RETRY_S: Final = 0.15
# Limit of the starts and stops in flight at one worker.
_MAX_CONCURRENT_CALLS: Final = 16


class OrderReconciler:
    """Carries out the starts, stops and paces ordered of one worker.

    :ivar refused: runs that are not on the worker and can't start there any
        more, with the reason.
    :ivar acked: number up to which the owner has acknowledged ends.
    """

    def __init__(
        self,
        state: worker_state.WorkerState,
        worker: executors.Executor,
        lease_ms: int,
        metrics: job_metrics.JobMetrics,
        on_change: Callable[[], None],
        former: former_incarnations.FormerIncarnations,
    ) -> None:
        """Start without orders.

        :param on_change: called when there is a change to report.
        :param former: keeps the starts that may take effect late.
        """
        self.refused: dict[fleet.RunId, str] = {}
        self.acked = 0
        self._state = state
        self._worker = worker
        self._lease_ms = lease_ms
        self._order_counter = metrics.task_orders
        self._barrier = metrics.barrier
        self._on_change = on_change
        self._former = former
        self._orders_epoch = 0
        self._orders_number = 0
        self._wanted_starts: dict[fleet.RunId, fleet.StartOrder] = {}
        self._wanted_stops: set[fleet.RunId] = set()
        self._wanted_paces: dict[fleet.RunId, int] = {}
        self._active_starts: dict[fleet.RunId, trio.CancelScope] = {}
        self._call_limiter = trio.CapacityLimiter(_MAX_CONCURRENT_CALLS)

    def apply_orders(
        self, orders: messages.WorkerOrders, nursery: trio.Nursery
    ) -> None:
        """Apply the owner's orders; older ones change nothing.

        :param nursery: runs the calls.
        """
        if orders.epoch > self._orders_epoch:
            self._orders_epoch = orders.epoch
            self._orders_number = 0
        if orders.number <= self._orders_number:
            return
        self._orders_number = orders.number
        self.acked = max(self.acked, orders.acked)
        starts = {
            fleet.RunId(row.task, row.run): fleet.StartOrder(*row)
            for row in orders.starts
        }
        if not self._state.may_act:
            self.void_starts()
            starts = {}
        stops = {fleet.RunId(*row) for row in orders.stops}
        self._reconcile_runs(starts, stops, nursery)
        paces = {
            fleet.RunId(row.task, row.run): row.percent for row in orders.paces
        }
        self._reconcile_paces(paces, nursery)

    @property
    def number(self) -> int:
        """Number of the orders of the current owner that hold; 0 for none."""
        is_current = self._orders_epoch == self._state.epoch
        return self._orders_number if is_current else 0

    def void_starts(self) -> None:
        """Drop the ordered starts, and report that no orders hold."""
        self._wanted_starts = {}
        self._orders_number = 0
        self._on_change()

    def reset(self) -> None:
        """Drop the orders for the previous incarnation of the worker."""
        for scope in self._active_starts.values():
            scope.cancel()
        self.refused = {}
        self.acked = 0
        self._wanted_starts = {}
        self._wanted_stops = set()
        self._wanted_paces = {}
        self._orders_number = 0

    def _reconcile_runs(
        self,
        starts: dict[fleet.RunId, fleet.StartOrder],
        stops: set[fleet.RunId],
        nursery: trio.Nursery,
    ) -> None:
        """Begin new starts and stops; cancel starts no longer ordered."""
        for run in [*self._wanted_starts]:
            if run not in starts and run in self._active_starts:
                self._active_starts[run].cancel()
        for run in [*self.refused]:
            if run not in starts and run not in stops:
                del self.refused[run]
        new_starts = [
            order
            for run, order in starts.items()
            if run not in self._wanted_starts and run not in self.refused
        ]
        new_stops = stops - self._wanted_stops
        self._wanted_starts, self._wanted_stops = starts, stops
        for order in new_starts:
            run = fleet.RunId(order.task, order.run)
            nursery.start_soon(self._carry_out, run, self._start, order)
        for run in new_stops:
            nursery.start_soon(self._carry_out, run, self._stop, run)

    def _reconcile_paces(
        self, paces: dict[fleet.RunId, int], nursery: trio.Nursery
    ) -> None:
        """Set the paces that have changed."""
        changed = {
            run: percent
            for run, percent in paces.items()
            if self._wanted_paces.get(run) != percent
        }
        self._wanted_paces = paces
        for run, percent in changed.items():
            nursery.start_soon(self._carry_out, run, self._pace, run, percent)

    async def _carry_out(
        self,
        run: fleet.RunId,
        order: Callable[..., Awaitable[None]],
        *arguments: object,
    ) -> None:
        """Carry out one order; orders about other runs go on if it fails."""
        with self._barrier.contain("order", run.task) as attempt:
            await order(*arguments)
        if attempt.has_failed:
            # The owner sends its orders again.
            self.void_starts()
            self._wanted_stops.discard(run)
            self._wanted_paces.pop(run, None)

    async def _start(self, order: fleet.StartOrder) -> None:
        """Retry a start until the run is listed or finally refused."""
        run = fleet.RunId(order.task, order.run)
        incarnation = self._state.incarnation
        if not incarnation or run in self._active_starts:
            return
        with trio.CancelScope() as scope:
            self._active_starts[run] = scope
            try:
                async with self._call_limiter:
                    await self._start_until_known(incarnation, order, run)
            finally:
                del self._active_starts[run]

    async def _start_until_known(
        self, incarnation: str, order: fleet.StartOrder, run: fleet.RunId
    ) -> None:
        while run in self._wanted_starts and not self._state.has_run(run):
            if not self._state.may_act:
                self.void_starts()
                return
            if not self._state.clock.is_known:
                await trio.sleep(_RETRY_S)
                continue
            if self._state.is_draining:
                await self._refuse_unless_listed(incarnation, run, "draining")
                return
            if self._state.is_evacuated:
                await self._refuse_unless_listed(
                    incarnation, run, fleet.EVACUATED
                )
                return
            now = trio.current_time()
            lease_end_ms = self._state.clock.compute_lease_end_ms(
                self._lease_ms, now
            )
            is_first_try = run not in self._state.unlisted_starts
            self._state.unlisted_starts.add(run)
            is_only_try = self._former.expect_late_start(incarnation, run)
            try:
                answer = await self._worker.start(
                    incarnation, order, lease_end_ms, self._state.epoch
                )
            except errors.ExecutorReplaced:
                if is_first_try:
                    self._state.unlisted_starts.discard(run)
                return
            except errors.PlatformFailed as error:
                if is_first_try and not error.sent:
                    self._state.unlisted_starts.discard(run)
                if is_only_try and not error.sent:
                    self._former.forget_late_start(incarnation, run)
                text = f"Start of {run.task} run {run.run}: {error.detail}"
                logs.warn(logs.Component.TASK, text)
                await trio.sleep(_RETRY_S)
                continue
            if incarnation == self._state.incarnation:
                self._state.contact.record_answer()
            if is_only_try:
                self._former.forget_late_start(incarnation, run)
            if is_first_try and not answer.accepted:
                self._state.unlisted_starts.discard(run)
            outcome = answer.reason or "accepted"
            self._order_counter.labels("start", outcome).inc()
            if answer.accepted:
                logs.info(
                    logs.Component.TASK, f"{run.task} run {run.run} started."
                )
                return
            if answer.reason in ("late", "fence"):
                await trio.sleep(_RETRY_S)
                continue
            if answer.reason == "old":
                await self._refuse_unless_listed(incarnation, run, "old")
            else:
                await self._report_refusal(incarnation, run, answer.reason)
            return

    async def _refuse_unless_listed(
        self, incarnation: str, run: fleet.RunId, reason: str
    ) -> None:
        """Refuse a start unless an earlier attempt has taken effect.

        Only a list that is requested from now on shows whether it has.
        """
        called_at = trio.current_time()
        while run in self._wanted_starts and not self._state.has_run(run):
            if self._state.lacks_run_since(run, called_at):
                await self._report_refusal(incarnation, run, reason)
                return
            await trio.sleep(_RETRY_S)

    async def _report_refusal(
        self, incarnation: str, run: fleet.RunId, reason: str
    ) -> None:
        """Report a run as refused, once it can't start any more.

        An earlier start, perhaps of this side's former process, may have
        taken effect unseen, or may still do so: the run is stopped.
        """
        if not await self._stop_until_answered(incarnation, run):
            return
        while run in self._wanted_starts and not self._state.has_run(run):
            if await self._is_absent(incarnation, run):
                self._record_refusal(incarnation, run, reason)
                return
            await trio.sleep(_RETRY_S)

    async def _is_absent(self, incarnation: str, run: fleet.RunId) -> bool:
        """List the tasks now; return whether the worker lacks a run.

        False also without a list.
        """
        try:
            task_list = await self._worker.renew_and_list(
                incarnation, self._state.epoch, self.acked, None, 0
            )
        except errors.KingcupleverError as error:
            text = f"No list of {incarnation} for {run.task}: {error.detail}"
            logs.warn(logs.Component.TASK, text)
            return False
        if task_list.incarnation not in ("", incarnation):
            return False
        return worker_state.lacks_run(task_list, run)

    def _record_refusal(
        self, incarnation: str, run: fleet.RunId, reason: str
    ) -> None:
        """Record a refusal, unless its incarnation has ended meanwhile.

        The next incarnation knows nothing of the run.
        """
        if self._state.incarnation == incarnation:
            self._state.unlisted_starts.discard(run)
            self.refused[run] = reason
            self._on_change()

    async def _stop(self, run: fleet.RunId) -> None:
        """Stop a run; report it as refused once a newer list lacks it."""
        incarnation = self._state.incarnation
        if not incarnation:
            return
        async with self._call_limiter:
            if not await self._stop_until_answered(incarnation, run):
                return
        stopped_at = trio.current_time()
        while run in self._wanted_stops:
            if self._state.lacks_run_since(run, stopped_at):
                self._record_refusal(incarnation, run, "stopped")
                return
            await trio.sleep(_RETRY_S)

    async def _pace(self, run: fleet.RunId, percent: int) -> None:
        """Set a task's pace, until answered or no longer ordered."""
        current = self._state.incarnations.current
        while current is not None and self._wanted_paces.get(run) == percent:
            try:
                incarnation = current.incarnation
                done = await self._worker.pace(
                    incarnation, run, percent, self._state.epoch
                )
            except errors.ExecutorReplaced:
                return
            except errors.PlatformFailed as error:
                text = f"Pace of {run.task} run {run.run}: {error.detail}"
                logs.warn(logs.Component.TASK, text)
                await trio.sleep(_RETRY_S)
                continue
            outcome = "accepted" if done else "refused"
            self._order_counter.labels("pace", outcome).inc()
            text = f"{run.task} run {run.run} at {percent} percent: {outcome}."
            logs.info(logs.Component.TASK, text)
            return

    async def _stop_until_answered(
        self, incarnation: str, run: fleet.RunId
    ) -> bool:
        """Retry a stop until it is answered.

        :return: false if the worker was replaced or the run is no longer
            part of the orders.
        """
        while True:
            try:
                if await self._worker.stop(
                    incarnation, run, self._state.epoch
                ):
                    self._order_counter.labels("stop", "accepted").inc()
                    text = f"{run.task} run {run.run} is being stopped."
                    logs.info(logs.Component.TASK, text)
                    return True
            except errors.ExecutorReplaced:
                return False
            except errors.PlatformFailed as error:
                text = f"Stop of {run.task} run {run.run}: {error.detail}"
                logs.warn(logs.Component.TASK, text)
            await trio.sleep(_RETRY_S)
            if (
                run not in self._wanted_stops
                and run not in self._wanted_starts
            ):
                return False
