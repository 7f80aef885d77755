"""Calls a worker until it has done what the owner wants of it.

Orders are levels: each start and stop is repeated until the worker's own
list shows it, or until it is no longer wanted.  A start is said to be refused
only once it can't be carried out late either.
"""

from collections.abc import Callable
from typing import Final

import trio

from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process.agent import executor as executors
from kingcuplever.process.agent import worker_state
from kingcuplever.process import job_metrics
from kingcuplever.process.scheduling import fleet

# Pause after a call that got no answer.
_RETRY_S: Final = 0.15
# Starts and stops that are under way at one worker at the same time.
_MAX_CONCURRENT_CALLS: Final = 16


class OrderReconciler:
    """The starts, stops and paces that are wanted of one worker.

    :ivar refused: runs that surely will not be there, with the reason.
    :ivar acked: ends up to this number may be forgotten.
    """

    def __init__(
        self,
        state: worker_state.WorkerState,
        worker: executors.Executor,
        lease_ms: int,
        metrics: job_metrics.JobMetrics,
        on_change: Callable[[], None],
    ) -> None:
        """Wait for orders.

        :param news: called when there is something new to report.
        """
        self.refused: dict[fleet.RunId, str] = {}
        self.acked = 0
        self._state = state
        self._worker = worker
        self._lease_ms = lease_ms
        self._orders_done = metrics.task_orders
        self._news = on_change
        self._orders_epoch = 0
        self._orders_number = 0
        self._starts: dict[fleet.RunId, fleet.StartOrder] = {}
        self._stops: set[fleet.RunId] = set()
        self._paces: dict[fleet.RunId, int] = {}
        self._active_starts: dict[fleet.RunId, trio.CancelScope] = {}
        self._limit = trio.CapacityLimiter(_MAX_CONCURRENT_CALLS)

    def apply_orders(
        self, orders: messages.WorkerOrders, nursery: trio.Nursery
    ) -> None:
        """Take what the owner wants; older orders change nothing.

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
        stops = {fleet.RunId(*row) for row in orders.stops}
        self._reconcile_runs(starts, stops, nursery)
        paces = {
            fleet.RunId(row.task, row.run): row.percent for row in orders.paces
        }
        self._reconcile_paces(paces, nursery)

    def reset(self) -> None:
        """Forget what was wanted of the life before."""
        for scope in self._active_starts.values():
            scope.cancel()
        self.refused = {}
        self.acked = 0
        self._starts = {}
        self._stops = set()
        self._paces = {}
        self._orders_number = 0

    def _reconcile_runs(
        self,
        starts: dict[fleet.RunId, fleet.StartOrder],
        stops: set[fleet.RunId],
        nursery: trio.Nursery,
    ) -> None:
        """Begin what is new, give up what is no longer wanted."""
        for run in [*self._starts]:
            if run not in starts and run in self._active_starts:
                self._active_starts[run].cancel()
        for run in [*self.refused]:
            if run not in starts and run not in stops:
                del self.refused[run]
        new_starts = [
            order
            for run, order in starts.items()
            if run not in self._starts and run not in self.refused
        ]
        new_stops = stops - self._stops
        self._starts, self._stops = starts, stops
        for order in new_starts:
            nursery.start_soon(self._start, order)
        for run in new_stops:
            nursery.start_soon(self._stop, run)

    def _reconcile_paces(
        self, paces: dict[fleet.RunId, int], nursery: trio.Nursery
    ) -> None:
        """Pace what is to work at another share than it does now."""
        changed = {
            run: percent
            for run, percent in paces.items()
            if self._paces.get(run) != percent
        }
        self._paces = paces
        for run, percent in changed.items():
            nursery.start_soon(self._pace, run, percent)

    async def _start(self, order: fleet.StartOrder) -> None:
        """Start a task, until it is there or surely never will be."""
        run = fleet.RunId(order.task, order.run)
        life = self._state.incarnation
        if not life or run in self._active_starts:
            return
        with trio.CancelScope() as scope:
            self._active_starts[run] = scope
            try:
                async with self._limit:
                    await self._start_until_known(life, order, run)
            finally:
                del self._active_starts[run]

    async def _start_until_known(
        self, life: str, order: fleet.StartOrder, run: fleet.RunId
    ) -> None:
        in_doubt = False
        while run in self._starts and not self._state.has_run(run):
            if not self._state.clock.is_known:
                await trio.sleep(_RETRY_S)
                continue
            if self._state.is_draining:
                await self._refuse_unless_listed(life, run, "draining", True)
                return
            now = trio.current_time()
            until_ms = self._state.clock.compute_lease_end_ms(
                self._lease_ms, now
            )
            try:
                answer = await self._worker.start(
                    life, order, until_ms, self._state.epoch
                )
            except errors.ExecutorReplaced:
                return
            except errors.PlatformFailed as error:
                in_doubt = in_doubt or error.sent
                text = f"Start of {run.task} run {run.run}: {error.detail}"
                logs.warn(logs.Component.TASK, text)
                await trio.sleep(_RETRY_S)
                continue
            outcome = answer.reason or "accepted"
            self._orders_done.labels("start", outcome).inc()
            if answer.accepted:
                logs.info(
                    logs.Component.TASK, f"{run.task} run {run.run} started."
                )
                return
            if answer.reason in ("late", "fence"):
                await trio.sleep(_RETRY_S)
                continue
            if answer.reason == "old":
                await self._refuse_unless_listed(life, run, "old", False)
            else:
                await self._refuse(life, run, answer.reason, in_doubt)
            return

    async def _refuse_unless_listed(
        self, life: str, run: fleet.RunId, reason: str, in_doubt: bool
    ) -> None:
        """Refuse a start that an earlier one may have been carried out for.

        A list that was asked for from now on shows whether it was.
        """
        asked_at = trio.current_time()
        while (
            self._state.task_list is None
            or self._state.task_list_requested_at <= asked_at
        ):
            await trio.sleep(_RETRY_S)
        if not self._state.has_run(run):
            await self._refuse(life, run, reason, in_doubt)

    async def _refuse(
        self, life: str, run: fleet.RunId, reason: str, in_doubt: bool
    ) -> None:
        """Say that a run will never be there, once that is true."""
        if in_doubt:
            # An unanswered start could still be carried out.
            await self._stop_until_answered(life, run)
        self.refused[run] = reason
        self._news()

    async def _stop(self, run: fleet.RunId) -> None:
        """Stop a run, and see that it is gone."""
        life = self._state.incarnation
        if not life:
            return
        async with self._limit:
            if not await self._stop_until_answered(life, run):
                return
        stopped_at = trio.current_time()
        while run in self._stops:
            newer = self._state.task_list is not None
            newer = newer and self._state.task_list_requested_at > stopped_at
            if newer and not self._state.has_run(run):
                self.refused[run] = "stopped"
                self._news()
                return
            await trio.sleep(_RETRY_S)

    async def _pace(self, run: fleet.RunId, percent: int) -> None:
        """Pace a task, until that is answered or no longer wanted."""
        present = self._state.incarnations.current
        while present is not None and self._paces.get(run) == percent:
            try:
                life = present.incarnation
                done = await self._worker.pace(
                    life, run, percent, self._state.epoch
                )
            except errors.ExecutorReplaced:
                return
            except errors.PlatformFailed as error:
                text = f"Pace of {run.task} run {run.run}: {error.detail}"
                logs.warn(logs.Component.TASK, text)
                await trio.sleep(_RETRY_S)
                continue
            outcome = "accepted" if done else "refused"
            self._orders_done.labels("pace", outcome).inc()
            text = f"{run.task} run {run.run} at {percent} percent: {outcome}."
            logs.info(logs.Component.TASK, text)
            return

    async def _stop_until_answered(self, life: str, run: fleet.RunId) -> bool:
        """Order a stop; false if that no longer matters."""
        while True:
            try:
                if await self._worker.stop(life, run, self._state.epoch):
                    self._orders_done.labels("stop", "accepted").inc()
                    text = f"{run.task} run {run.run} is being stopped."
                    logs.info(logs.Component.TASK, text)
                    return True
            except errors.ExecutorReplaced:
                return False
            except errors.PlatformFailed as error:
                text = f"Stop of {run.task} run {run.run}: {error.detail}"
                logs.warn(logs.Component.TASK, text)
            await trio.sleep(_RETRY_S)
            if run not in self._stops and run not in self._starts:
                return False
