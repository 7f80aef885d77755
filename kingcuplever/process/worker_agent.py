"""The part of a side that runs tasks on the worker beside it.

It carries out what the owner wants of the worker, again and again until the
worker's own list shows it, and reports that list.  It remembers nothing
that it could not read back from the worker.
"""

from typing import Final

import trio

from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process import executor as executors
from kingcuplever.process import job_metrics
from kingcuplever.process import leases
from kingcuplever.process.scheduling import fleet
from kingcuplever.process import worker_lives

# How long one call to the worker may wait for an end; with it the period
# of the lists, and of the leases' prolongation.
_HOLD_WAIT_MS: Final = 1000
# Ends that the owner has not acknowledged are listed without any wait; the
# next list would show nothing new before the owner could have acted.
_UNACKED_PAUSE_S: Final = 0.05
# Pause after a call that got no answer.
_RETRY_S: Final = 0.15
# Starts and stops that are under way at one worker at the same time.
_CALLS: Final = 16


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
    ) -> None:
        """Wait for the worker to register.

        :param lease_ms: the longest lease that the worker grants.
        """
        self.changed = trio.Event()
        self._side = side
        self._worker = worker
        self._lease_ms = lease_ms
        self._orders_done = metrics.task_orders
        metrics.alone_seconds.set_function(self._alone_s)
        self._lives = worker_lives.Registered()
        self._clock = leases.WorkerClock()
        self._view: executors.View | None = None
        self._view_wanted_at = 0.0
        self._gone: list[executors.Registration] = []
        self._epoch = 0
        self._orders_epoch = 0
        self._orders_number = 0
        self._starts: dict[fleet.RunId, fleet.StartOrder] = {}
        self._stops: set[fleet.RunId] = set()
        self._busy: dict[fleet.RunId, trio.CancelScope] = {}
        self._refused: dict[fleet.RunId, str] = {}
        self._paces: dict[fleet.RunId, int] = {}
        self._acked = 0
        self._heard_owner_at = float("-inf")
        self._limit = trio.CapacityLimiter(_CALLS)
        self._registered = trio.Event()
        self._nursery: trio.Nursery | None = None

    def _alone_s(self) -> float:
        """Give the time since an owner was heard, for the metrics."""
        try:
            return trio.current_time() - self._heard_owner_at
        except RuntimeError:
            # Read from outside of the running process, as tests do.
            return 0.0

    @property
    def _is_draining(self) -> bool:
        present = self._lives.present
        return present is not None and present.draining

    async def run(self) -> None:
        """Hold and list until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await self._look()

    def registered(self, registration: executors.Registration) -> None:
        """Take in a registration of the worker."""
        if self._lives.heard(registration):
            self._registered.set()
            text = (
                f"Life {registration.life} registers, sequence"
                f" {registration.sequence},"
                f" {'draining' if registration.draining else 'ready'}."
            )
            logs.info(logs.Part.MEMBER, text)
            self._touch()

    def left(self, life: str) -> None:
        """The worker says that a life ends."""
        present = self._lives.present
        if self._lives.ended(life) and present is not None:
            self._life_over(present, "it said so")

    def heard_owner(self, epoch: int) -> None:
        """The owner of an epoch has answered."""
        if epoch >= self._epoch:
            self._epoch = epoch
            self._heard_owner_at = trio.current_time()

    def take_orders(self, orders: messages.WorkerOrders) -> bool:
        """Take what the owner wants; false if a newer owner is known."""
        if orders.epoch < self._epoch:
            return False
        present = self._lives.present
        if present is None or orders.worker != self._name(present):
            return True
        if orders.epoch > self._orders_epoch:
            self._orders_epoch = orders.epoch
            self._orders_number = 0
        self.heard_owner(orders.epoch)
        if orders.number <= self._orders_number:
            return True
        self._orders_number = orders.number
        self._acked = max(self._acked, orders.acked)
        starts = {
            fleet.RunId(row.task, row.run): fleet.StartOrder(*row)
            for row in orders.starts
        }
        stops = {fleet.RunId(*row) for row in orders.stops}
        self._use_orders(starts, stops)
        self._use_paces(
            {
                fleet.RunId(row.task, row.run): row.percent
                for row in orders.paces
            }
        )
        return True

    def reports(self) -> list[messages.WorkerReport]:
        """Give what to report now, lives that are over first."""
        rows = [self._report_of(life, True) for life in self._gone]
        if self._lives.present is not None and self._view is not None:
            rows.append(self._report_of(self._lives.present, False))
        return rows

    def reported(self, report: messages.WorkerReport) -> None:
        """The owner has taken a report."""
        if report.gone:
            self._gone = [
                life
                for life in self._gone
                if self._name(life) != report.worker
            ]

    def _name(self, life: executors.Registration) -> str:
        return fleet.worker_name(life.life, self._side)

    def _report_of(
        self, life: executors.Registration, gone: bool
    ) -> messages.WorkerReport:
        view = None if gone else self._view
        running = () if view is None else view.running
        ended = () if view is None else view.ended
        refused = {} if gone else self._refused
        return messages.WorkerReport(
            self._name(life),
            self._side,
            life.data_centre,
            life.pool,
            *life.capacity,
            life.labels,
            life.draining,
            life.remaining_ms,
            gone,
            tuple(messages.RunningRow(*row) for row in running),
            tuple(messages.EndedRow(*row) for row in ended),
            tuple(
                messages.RefusedRow(run.task, run.run, reason)
                for run, reason in refused.items()
            ),
            0 if view is None else view.clock_ms,
        )

    def _touch(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def _use_orders(
        self,
        starts: dict[fleet.RunId, fleet.StartOrder],
        stops: set[fleet.RunId],
    ) -> None:
        """Begin what is new, give up what is no longer wanted."""
        for run in [*self._starts]:
            if run not in starts and run in self._busy:
                self._busy[run].cancel()
        for run in [*self._refused]:
            if run not in starts and run not in stops:
                del self._refused[run]
        new_starts = [
            order
            for run, order in starts.items()
            if run not in self._starts and run not in self._refused
        ]
        new_stops = stops - self._stops
        self._starts, self._stops = starts, stops
        assert self._nursery is not None
        for order in new_starts:
            self._nursery.start_soon(self._start, order)
        for run in new_stops:
            self._nursery.start_soon(self._stop, run)

    def _use_paces(self, paces: dict[fleet.RunId, int]) -> None:
        """Pace what is to work at another share than it does now."""
        assert self._nursery is not None
        changed = {
            run: percent
            for run, percent in paces.items()
            if self._paces.get(run) != percent
        }
        self._paces = paces
        for run, percent in changed.items():
            self._nursery.start_soon(self._pace, run, percent)

    def _lists(self, run: fleet.RunId) -> bool:
        """Tell whether the worker's newest list has a run."""
        if self._view is None:
            return False
        view = self._view
        return any((row.task, row.run) == run for row in view.running) or any(
            (row.task, row.run) == run for row in view.ended
        )

    async def _look(self) -> None:
        """List once, prolonging the leases where that is allowed."""
        registration = self._lives.candidate or self._lives.present
        if registration is None or not self._epoch:
            self._registered = trio.Event()
            with trio.move_on_after(_RETRY_S):
                await self._registered.wait()
            return
        life = registration.life
        now = trio.current_time()
        until_ms = None
        if self._clock.known and self._lives.candidate is None:
            if leases.may_prolong(self._heard_owner_at, now):
                until_ms = self._clock.until_ms(self._lease_ms, now)
        # The first look at a life learns its clock and must not wait.
        wait_ms = 0 if until_ms is None else _HOLD_WAIT_MS
        acked = 0 if self._lives.candidate else self._acked
        try:
            view = await self._worker.hold(
                life, self._epoch, acked, until_ms, wait_ms
            )
        except errors.ExecutorChanged:
            self._changed_life(registration)
            return
        except errors.ExecutorFenced:
            logs.warn(logs.Part.OWNER, f"Epoch {self._epoch} is fenced.")
            await trio.sleep(_RETRY_S)
            return
        except errors.PlatformFailed as error:
            logs.warn(logs.Part.TASK, f"No list of {life}: {error.detail}")
            await trio.sleep(_RETRY_S)
            return
        self._take_view(registration, view, now)
        if view.ended:
            await trio.sleep(_UNACKED_PAUSE_S)
        elif until_ms is None and self._clock.known:
            await trio.sleep(_RETRY_S)

    def _take_view(
        self,
        registration: executors.Registration,
        view: executors.View,
        asked_at: float,
    ) -> None:
        present = self._lives.present
        if self._lives.verified(registration.life):
            if present is not None:
                self._life_over(present, f"{registration.life} follows it")
            self._begin_life()
        elif present is None or present.life != registration.life:
            return
        self._clock.heard(view.clock_ms, trio.current_time())
        before = self._view
        self._view = view
        self._view_wanted_at = asked_at
        if before is None or _differs(before, view):
            self._touch()

    def _changed_life(self, registration: executors.Registration) -> None:
        """Another life answers at the worker's address."""
        if self._lives.ended(registration.life):
            self._life_over(registration, "another life answers")

    def _life_over(
        self, registration: executors.Registration, reason: str
    ) -> None:
        text = f"Life {registration.life} is over: {reason}."
        logs.info(logs.Part.MEMBER, text)
        self._gone.append(registration)
        self._begin_life()

    def _begin_life(self) -> None:
        """Forget all that was about the life before."""
        for scope in self._busy.values():
            scope.cancel()
        self._starts = {}
        self._stops = set()
        self._refused = {}
        self._paces = {}
        self._view = None
        self._acked = 0
        self._orders_number = 0
        self._clock = leases.WorkerClock()
        self._touch()

    async def _start(self, order: fleet.StartOrder) -> None:
        """Start a task, until it is there or surely never will be."""
        run = fleet.RunId(order.task, order.run)
        present = self._lives.present
        if present is None or run in self._busy:
            return
        with trio.CancelScope() as scope:
            self._busy[run] = scope
            try:
                async with self._limit:
                    await self._start_until_known(present.life, order, run)
            finally:
                del self._busy[run]

    async def _start_until_known(
        self, life: str, order: fleet.StartOrder, run: fleet.RunId
    ) -> None:
        in_doubt = False
        while run in self._starts and not self._lists(run):
            if not self._clock.known:
                await trio.sleep(_RETRY_S)
                continue
            if self._is_draining:
                await self._refuse_unless_there(life, run, "draining", True)
                return
            now = trio.current_time()
            until_ms = self._clock.until_ms(self._lease_ms, now)
            try:
                answer = await self._worker.start(
                    life, order, until_ms, self._epoch
                )
            except errors.ExecutorChanged:
                return
            except errors.PlatformFailed as error:
                in_doubt = in_doubt or error.sent
                text = f"Start of {run.task} run {run.run}: {error.detail}"
                logs.warn(logs.Part.TASK, text)
                await trio.sleep(_RETRY_S)
                continue
            outcome = answer.reason or "accepted"
            self._orders_done.labels("start", outcome).inc()
            if answer.accepted:
                logs.info(logs.Part.TASK, f"{run.task} run {run.run} started.")
                return
            if answer.reason in ("late", "fence"):
                await trio.sleep(_RETRY_S)
                continue
            if answer.reason == "old":
                await self._refuse_unless_there(life, run, "old", False)
            else:
                await self._refuse(life, run, answer.reason, in_doubt)
            return

    async def _refuse_unless_there(
        self, life: str, run: fleet.RunId, reason: str, in_doubt: bool
    ) -> None:
        """Refuse a start that an earlier one may have been carried out for.

        A list that was asked for from now on shows whether it was.
        """
        asked_at = trio.current_time()
        while self._view is None or self._view_wanted_at <= asked_at:
            await trio.sleep(_RETRY_S)
        if not self._lists(run):
            await self._refuse(life, run, reason, in_doubt)

    async def _refuse(
        self, life: str, run: fleet.RunId, reason: str, in_doubt: bool
    ) -> None:
        """Say that a run will never be there, once that is true."""
        if in_doubt:
            # An unanswered start could still be carried out.
            await self._stop_until_answered(life, run)
        self._refused[run] = reason
        self._touch()

    async def _stop(self, run: fleet.RunId) -> None:
        """Stop a run, and see that it is gone."""
        present = self._lives.present
        if present is None:
            return
        async with self._limit:
            if not await self._stop_until_answered(present.life, run):
                return
        stopped_at = trio.current_time()
        while run in self._stops:
            newer = self._view is not None
            newer = newer and self._view_wanted_at > stopped_at
            if newer and not self._lists(run):
                self._refused[run] = "stopped"
                self._touch()
                return
            await trio.sleep(_RETRY_S)

    async def _pace(self, run: fleet.RunId, percent: int) -> None:
        """Pace a task, until that is answered or no longer wanted."""
        present = self._lives.present
        while present is not None and self._paces.get(run) == percent:
            try:
                life = present.life
                done = await self._worker.pace(life, run, percent, self._epoch)
            except errors.ExecutorChanged:
                return
            except errors.PlatformFailed as error:
                text = f"Pace of {run.task} run {run.run}: {error.detail}"
                logs.warn(logs.Part.TASK, text)
                await trio.sleep(_RETRY_S)
                continue
            outcome = "accepted" if done else "refused"
            self._orders_done.labels("pace", outcome).inc()
            text = f"{run.task} run {run.run} at {percent} percent: {outcome}."
            logs.info(logs.Part.TASK, text)
            return

    async def _stop_until_answered(self, life: str, run: fleet.RunId) -> bool:
        """Order a stop; false if that no longer matters."""
        while True:
            try:
                if await self._worker.stop(life, run, self._epoch):
                    self._orders_done.labels("stop", "accepted").inc()
                    text = f"{run.task} run {run.run} is being stopped."
                    logs.info(logs.Part.TASK, text)
                    return True
            except errors.ExecutorChanged:
                return False
            except errors.PlatformFailed as error:
                text = f"Stop of {run.task} run {run.run}: {error.detail}"
                logs.warn(logs.Part.TASK, text)
            await trio.sleep(_RETRY_S)
            if run not in self._stops and run not in self._starts:
                return False


def _differs(before: executors.View, after: executors.View) -> bool:
    """Tell whether tasks have begun or ended between two lists."""
    if before.ended != after.ended:
        return True
    old = {(row.task, row.run) for row in before.running}
    return old != {(row.task, row.run) for row in after.running}
