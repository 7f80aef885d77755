"""Runs the real decisions against fake workers under a fake clock.

The owner's and the sides' state machines are the product's own; only the
clock, the log, the network and the workers are fake.  Serves the invariant
tests and the scheduling measurements.
"""

from collections.abc import Callable
import heapq
import itertools
import json
import random
import time
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import worker_platform
from kingcuplever import messages
from kingcuplever import options
from kingcuplever.process import commands
from kingcuplever.process import owner as owners
from kingcuplever.process import placing
from kingcuplever.process import planner
from kingcuplever.process import replay
from kingcuplever.process import runs
from kingcuplever.process import state
from kingcuplever.process import tasks
from kingcuplever import records
from kingcuplever import shapes
from kingcuplever.version import configuration

_NETWORK_S: Final = 0.001
_LOG_S: Final = 0.005
_TICK_S: Final = 0.1
# A checkpoint takes so long; the work that it saves is that of its end.
CHECKPOINT_S: Final = 1.0
START_MS: Final = 1_000_000_000

TIMING: Final = options.TimingOptions(
    heartbeat_ms=2000,
    silence_ms=6000,
    owner_lease_ms=6000,
    task_lease_ms=8000,
    reserve_ms=2000,
)


class Truth(NamedTuple):
    """One task that really ran on a fake worker.

    :ivar ended_at: 0 while it runs.
    """

    worker: str
    name: str
    gpu_mask: int
    started_at: float
    ended_at: float
    phase: str


class _Work:
    """One task on a fake worker."""

    def __init__(
        self, order: messages.TaskOrder, now: float, lease_until: float
    ) -> None:
        payload = json.loads(order.payload or "{}")
        self.order = order
        self.needs_s = float(payload.get("seconds", 1.0))
        self.fails = bool(payload.get("fails", False))
        self.started_at = now
        self.lease_until = lease_until
        self.progress = order.progress
        self.phase = messages.RUNNING
        self.ended_at = 0.0

    def done_s(self, now: float) -> float:
        return self.order.progress + now - self.started_at

    @property
    def due_at(self) -> float:
        return self.started_at + self.needs_s - self.order.progress

    def end(self, phase: str, now: float) -> None:
        if self.phase == messages.RUNNING:
            self.phase = phase
            self.ended_at = now


class FakeWorker:
    """A worker that starts what it is given."""

    def __init__(self, shape: shapes.WorkerShape) -> None:
        """Start without tasks."""
        self.shape = shape
        self.fails_all = False
        self.work: dict[str, _Work] = {}
        self.finished: list[Truth] = []

    def advance(self, now: float) -> None:
        """Let the tasks run until now."""
        for work in self.work.values():
            if work.phase != messages.RUNNING:
                continue
            if self.fails_all or work.fails:
                work.end(messages.FAILED, now)
            elif work.due_at <= now and work.due_at <= work.lease_until:
                work.progress = work.needs_s
                work.end(messages.DONE, work.due_at)
            elif work.lease_until <= now:
                work.end(messages.STOPPED, work.lease_until)

    def status(self, now: float) -> worker_platform.PlatformStatus:
        """Give what a real worker would report."""
        self.advance(now)
        rows = tuple(
            worker_platform.PlatformTask(
                name,
                work.phase,
                "",
                work.progress,
                work.order.cores,
                work.order.memory_gb,
                work.order.gpu_mask,
                work.order.cores,
                work.order.memory_gb,
                max(0, int((work.lease_until - now) * 1000)),
            )
            for name, work in self.work.items()
        )
        shape = self.shape
        return worker_platform.PlatformStatus(
            shape.worker, shape.cores, shape.memory_gb, shape.gpus, rows
        )

    def carry_out(self, command: tasks.TaskCommand, now: float) -> None:
        """Do what a side commands."""
        work = self.work.get(command.name)
        if isinstance(command, tasks.StartTask):
            lease_until = now + command.lease_ms / 1000
            new = _Work(command.order, now, lease_until)
            self.work.setdefault(command.name, new)
        elif work is None:
            return
        elif isinstance(command, tasks.RenewTask):
            work.lease_until = now + command.lease_ms / 1000
        elif isinstance(command, tasks.StopTask):
            self.advance(now)
            if command.checkpoint_ms and work.phase == messages.RUNNING:
                work.progress = work.done_s(now)
            work.end(messages.STOPPED, now)

    def forget(self, held: set[str]) -> None:
        """Keep the memory of ended tasks small."""
        for name, work in list(self.work.items()):
            if work.phase != messages.RUNNING and name not in held:
                self.finished.append(self._truth(name, work))
                del self.work[name]

    def truth(self) -> list[Truth]:
        """Give every task that ever ran here."""
        present = [self._truth(name, w) for name, w in self.work.items()]
        return self.finished + present

    def _truth(self, name: str, work: _Work) -> Truth:
        return Truth(
            self.shape.worker,
            name,
            work.order.gpu_mask,
            work.started_at,
            work.ended_at,
            work.phase,
        )


class _Side:
    """The side beside one fake worker."""

    def __init__(self, worker: FakeWorker, incarnation: int) -> None:
        self.worker = worker
        self.incarnation = incarnation
        self.table = tasks.TaskTable("", worker.shape.rack)
        self.alive = True
        self.sequence = 0


class Emulation:
    """One data centre under a fake clock.

    :ivar now: seconds since the start.
    :ivar schedule: the replicated state.
    :ivar owner: the deciding entry.
    :ivar loses: tells whether a message is lost; by default none is.
    :ivar decide_s: processor time spent deciding.
    """

    def __init__(
        self,
        workers: list[shapes.WorkerShape],
        config: configuration.SchedulingConfig,
        seed: int = 1,
        timing: options.TimingOptions = TIMING,
    ) -> None:
        """Start with every worker up and an owner."""
        self.now = 0.0
        self.random = random.Random(seed)
        self.loses: Callable[[], bool] = lambda: False
        self.decide_s = 0.0
        self.decisions = 0
        self.history: list[records.Record] = []
        self.log_down_until = 0.0
        self._timing = timing
        self._config = config
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._incarnations = itertools.count(1)
        self.schedule = state.Schedule("here")
        self.sides: dict[str, _Side] = {}
        for shape in workers:
            self._add_worker(shape)
        self.owner = self._new_owner()

    @property
    def wall_ms(self) -> int:
        """Give the wall clock, as in records."""
        return START_MS + int(self.now * 1000)

    def run_until(self, end: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def intend(self, intent: records.Intent) -> str:
        """State and confirm an intent, as one operator would.

        :return: the plan's refusal, or empty.
        """
        found = planner.draft(self.schedule, intent)
        name = f"plan-{next(self._numbers)}"
        plan = records.Plan(
            name,
            intent,
            self.schedule.version,
            found.effects,
            found.refusal,
            "",
            "tester",
        )
        self._append(plan, 0, "tester")
        if not found.refusal:
            confirmation = records.Confirmation(name, "tester")
            self._append(confirmation, 0, "tester")
        return found.refusal

    def take_over(self) -> None:
        """Let another owner follow the present one at once."""
        self.owner.lose()
        self.owner = self._new_owner()

    def crash_side(self, worker: str, for_s: float) -> None:
        """Kill a side; a new one starts with an empty memory."""
        self.sides[worker].alive = False

        def start() -> None:
            incarnation = next(self._incarnations)
            side = _Side(self.sides[worker].worker, incarnation)
            self.sides[worker] = side
            self._beat(side)

        self.at(self.now + for_s, start)

    def truth(self) -> list[Truth]:
        """Give every task that ever ran."""
        found = []
        for side in self.sides.values():
            side.worker.advance(self.now)
            found += side.worker.truth()
        return found

    def _add_worker(self, shape: shapes.WorkerShape) -> None:
        side = _Side(FakeWorker(shape), next(self._incarnations))
        self.sides[shape.worker] = side
        first = self.random.random() * self._timing.heartbeat_ms / 1000
        self.at(first, lambda: self._beat(side))

    def _new_owner(self) -> owners.Owner:
        writer = f"owner-{self.schedule.epoch + 1}"
        claim = records.Claim(self._timing.owner_lease_ms)
        epoch = self.schedule.epoch + 1
        self._apply(records.make(claim, epoch, writer, self.wall_ms))
        owner = owners.Owner(self.schedule, self._timing)
        owner.set_config(self._config)
        owner.gain(self._moment())
        self.at(self.now, lambda: self._tick(owner))
        return owner

    def _moment(self) -> placing.Moment:
        return placing.Moment(self.now, self.wall_ms)

    def _tick(self, owner: owners.Owner) -> None:
        if owner is not self.owner:
            return
        begun = time.perf_counter()
        owner.tick(self._moment())
        self.decide_s += time.perf_counter() - begun
        self._carry_out()
        self.at(self.now + _TICK_S, lambda: self._tick(owner))

    def _carry_out(self) -> None:
        for command in self.owner.take():
            if isinstance(command, commands.Append):
                body = command.body
                self.decisions += isinstance(body, records.Commit)
                self._append(body, self.schedule.epoch, self.schedule.owner)
            elif isinstance(command, commands.Order):
                self._send(command)

    def _append(self, body: records.Body, epoch: int, writer: str) -> None:
        record = records.make(body, epoch, writer, self.wall_ms)
        when = max(self.now, self.log_down_until) + _LOG_S
        self.at(when, lambda: self._apply_and_tell(record))

    def _apply(self, record: records.Record) -> bool:
        offset = self.schedule.offset
        self.history.append(record)
        return replay.apply(self.schedule, offset, record, record.id)

    def _apply_and_tell(self, record: records.Record) -> None:
        counted = self._apply(record)
        self.owner.applied(record, counted, self._moment())
        self._carry_out()

    def _send(self, order: commands.Order) -> None:
        side = self.sides[order.worker]
        owner = self.owner
        if self.loses():
            self.at(
                self.now + self._timing.reserve_ms / 1000,
                lambda: self._answer(owner, order, None),
            )
            return
        self.at(
            self.now + _NETWORK_S,
            lambda: self._deliver(owner, side, order),
        )

    def _deliver(
        self, owner: owners.Owner, side: _Side, order: commands.Order
    ) -> None:
        reply = None
        if side.alive and side is self.sides[order.worker]:
            reply = self._obey(side, order.message)
        lost = reply is None or self.loses()
        wait_s = self._timing.reserve_ms / 1000 if lost else _NETWORK_S
        answer = None if lost else reply
        self.at(self.now + wait_s, lambda: self._answer(owner, order, answer))

    def _answer(
        self,
        owner: owners.Owner,
        order: commands.Order,
        reply: messages.TaskReport | None,
    ) -> None:
        if owner is not self.owner:
            return
        owner.order_answered(order, reply, self._moment())
        self._carry_out()

    def _obey(
        self, side: _Side, message: messages.Message
    ) -> messages.TaskReport:
        table = side.table
        if isinstance(message, messages.Reserve):
            answer = table.reserve(message, self.now)
        elif isinstance(message, messages.Go):
            answer = table.go(message, self.now)
        elif isinstance(message, messages.Stop):
            answer = table.stop(message)
        else:
            answer = tasks.Answer(True, "")
        self._run_worker(side)
        side.sequence += 1
        table.sending(side.sequence, self.now)
        return messages.TaskReport(
            side.worker.shape.worker,
            side.incarnation,
            side.sequence,
            answer.accepted,
            answer.detail,
            table.states(),
            table.epoch,
        )

    def _run_worker(self, side: _Side) -> None:
        """Carry out a side's commands, and read the worker."""
        side.table.tick(self.now)
        taken = side.table.commands
        side.table.commands = []
        for command in taken:
            if isinstance(command, tasks.StopTask) and command.checkpoint_ms:
                self._stop_later(side, command)
                continue
            side.worker.carry_out(command, self.now)
            if isinstance(command, tasks.StartTask):
                side.table.started(command.name, "")
                self._watch_end(side, command.name)
        status = side.worker.status(self.now)
        side.table.heard_worker(status, self.now)
        for command in taken:
            if isinstance(command, tasks.StopTask):
                if not command.checkpoint_ms:
                    side.table.stopped(command.name)

    def _stop_later(self, side: _Side, command: tasks.StopTask) -> None:
        """Stop a task once its checkpoint is written."""

        def stop() -> None:
            side.worker.carry_out(command, self.now)
            side.table.heard_worker(side.worker.status(self.now), self.now)
            side.table.stopped(command.name)
            self._report(side)

        self.at(self.now + CHECKPOINT_S, stop)

    def _watch_end(self, side: _Side, name: str) -> None:
        """Send a heartbeat soon after a task is done, as sides do."""
        work = side.worker.work[name]
        due_at = max(work.due_at, self.now)
        self.at(due_at + 0.2, lambda: self._report(side))

    def _beat(self, side: _Side) -> None:
        if not side.alive:
            return
        self._report(side)
        period_s = self._timing.heartbeat_ms / 1000
        self.at(self.now + period_s, lambda: self._beat(side))

    def _report(self, side: _Side) -> None:
        """Send one heartbeat and take its reply in."""
        if not side.alive or side is not self.sides[side.worker.shape.worker]:
            return
        self._run_worker(side)
        side.sequence += 1
        table = side.table
        table.sending(side.sequence, self.now)
        if self.loses():
            return
        name = side.worker.shape.worker
        report = runs.Report(
            name,
            name,
            side.incarnation,
            side.sequence,
            table.states(),
            table.epoch,
        )
        assert table.shape is not None
        self.owner.report(report, table.shape, self._moment())
        reply = messages.HeartbeatReply(
            "",
            self.schedule.epoch,
            self.owner.leases(name, self.now),
            self.owner.forgettable(name),
            0,
            None,
        )
        if not self.loses():
            table.replied(reply, side.sequence, self.now)
            held = {
                worker_platform.task_id(t.job, t.attempt, t.task)
                for t in table.states()
            }
            side.worker.forget(held)
            self._run_worker(side)
        self._carry_out()
