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
from kingcuplever.process.agent import worker_orders
from kingcuplever.process.agent import worker_state
from kingcuplever.process import job_metrics
from kingcuplever.process import leases
from kingcuplever.process.scheduling import fleet

# How long one call to the worker may wait for an end; with it the period
# of the lists, and of the leases' prolongation.
_HOLD_WAIT_MS: Final = 1000
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
        alone_s: float = leases.ALONE_S,
    ) -> None:
        """Wait for the worker to register.

        :param lease_ms: the longest lease that the worker grants.
        :param alone_s: how long leases are prolonged without an owner.
        """
        self._prolong_s = alone_s
        self.changed = trio.Event()
        self._side = side
        self._worker = worker
        self._lease_ms = lease_ms
        metrics.alone_seconds.set_function(self._alone_s)
        self._state = worker_state.WorkerState()
        self._orders = worker_orders.OrderCalls(
            self._state, worker, lease_ms, metrics, self._touch
        )
        self._gone: list[executors.Registration] = []
        self._registered = trio.Event()
        self._nursery: trio.Nursery | None = None

    def _alone_s(self) -> float:
        """Give the time since an owner was heard, for the metrics."""
        try:
            return trio.current_time() - self._state.heard_owner_at
        except RuntimeError:
            # Read from outside of the running process, as tests do.
            return 0.0

    async def run(self) -> None:
        """Hold and list until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await self._look()

    def registered(self, registration: executors.Registration) -> None:
        """Take in a registration of the worker."""
        if self._state.lives.heard(registration):
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
        present = self._state.lives.present
        if self._state.lives.ended(life) and present is not None:
            self._life_over(present, "it said so")

    def heard_owner(self, epoch: int) -> None:
        """The owner of an epoch has answered."""
        self._state.heard_owner(epoch)

    def take_orders(self, orders: messages.WorkerOrders) -> bool:
        """Take what the owner wants; false if a newer owner is known."""
        if orders.epoch < self._state.epoch:
            return False
        present = self._state.lives.present
        if present is None or orders.worker != self._name(present):
            return True
        self.heard_owner(orders.epoch)
        assert self._nursery is not None
        self._orders.take(orders, self._nursery)
        return True

    def reports(self) -> list[messages.WorkerReport]:
        """Give what to report now, lives that are over first."""
        rows = [self._report_of(life, True) for life in self._gone]
        if (
            self._state.lives.present is not None
            and self._state.view is not None
        ):
            rows.append(self._report_of(self._state.lives.present, False))
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
        view = None if gone else self._state.view
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
            life.left_ms(trio.current_time()),
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

    async def _look(self) -> None:
        """List once, prolonging the leases where that is allowed."""
        registration = self._state.lives.candidate or self._state.lives.present
        if registration is None or not self._state.epoch:
            self._registered = trio.Event()
            with trio.move_on_after(_RETRY_S):
                await self._registered.wait()
            return
        life = registration.life
        now = trio.current_time()
        until_ms = None
        if self._state.clock.known and self._state.lives.candidate is None:
            heard_at = self._state.heard_owner_at
            if leases.may_prolong(heard_at, now, self._prolong_s):
                until_ms = self._state.clock.until_ms(self._lease_ms, now)
        # The first look at a life learns its clock and must not wait.
        wait_ms = 0 if until_ms is None else _HOLD_WAIT_MS
        acked = 0 if self._state.lives.candidate else self._orders.acked
        try:
            view = await self._worker.hold(
                life, self._state.epoch, acked, until_ms, wait_ms
            )
        except errors.ExecutorChanged:
            self._changed_life(registration)
            return
        except errors.ExecutorFenced:
            logs.warn(logs.Part.OWNER, f"Epoch {self._state.epoch} is fenced.")
            await trio.sleep(_RETRY_S)
            return
        except errors.PlatformFailed as error:
            logs.warn(logs.Part.TASK, f"No list of {life}: {error.detail}")
            await trio.sleep(_RETRY_S)
            return
        self._take_view(registration, view, now)
        if view.ended:
            await trio.sleep(_UNACKED_PAUSE_S)
        elif until_ms is None and self._state.clock.known:
            await trio.sleep(_RETRY_S)

    def _take_view(
        self,
        registration: executors.Registration,
        view: executors.View,
        asked_at: float,
    ) -> None:
        present = self._state.lives.present
        if self._state.lives.verified(registration.life):
            if present is not None:
                self._life_over(present, f"{registration.life} follows it")
            self._begin_life()
        elif present is None or present.life != registration.life:
            return
        self._state.clock.heard(view.clock_ms, trio.current_time())
        before = self._state.view
        self._state.view = view
        self._state.view_wanted_at = asked_at
        if before is None or _differs(before, view):
            self._touch()

    def _changed_life(self, registration: executors.Registration) -> None:
        """Another life answers at the worker's address."""
        if self._state.lives.ended(registration.life):
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
        self._state.begin_life()
        self._orders.begin_life()
        self._touch()


def _differs(before: executors.View, after: executors.View) -> bool:
    """Tell whether tasks have begun or ended between two lists."""
    if before.ended != after.ended:
        return True
    old = {(row.task, row.run) for row in before.running}
    return old != {(row.task, row.run) for row in after.running}
