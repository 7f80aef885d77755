"""What a side does with the worker beside it, over a made-up worker."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from kingcuplever import errors
from kingcuplever import messages
from kingcuplever.process.agent import executor as executors
from kingcuplever.process.agent import worker_agent
from kingcuplever.process import job_metrics
from kingcuplever.process import leases
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model

TASK = "5c0e7a21d94b36f8.0.0.0"
LEASE_MS = 6000


class FakeExecutor:
    """One worker at one address, over its lives."""

    def __init__(self) -> None:
        """Start the first life, with nothing running."""
        self.life = "i-1"
        self.running: dict[fleet.RunId, fleet.RunningTask] = {}
        self.ended: list[fleet.EndedTask] = []
        self.calls: list[str] = []
        self.silent_starts = 0
        self.late_starts: list[fleet.RunId] = []
        self.start_reason = ""
        self.closed: set[fleet.RunId] = set()
        self.acked = 0
        self.until_ms = 0

    def _check(self, incarnation: str) -> None:
        if incarnation != self.life:
            raise errors.ExecutorReplaced("another life")

    async def start(
        self,
        incarnation: str,
        order: fleet.StartOrder,
        lease_end_ms: int,
        epoch: int,
    ) -> executors.StartAnswer:
        """Start a task, or keep silent about it."""
        self._check(incarnation)
        run = fleet.RunId(order.task, order.run)
        self.calls.append(f"start {run.run}")
        if self.silent_starts:
            self.silent_starts -= 1
            self.late_starts.append(run)
            raise errors.PlatformFailed("no answer")
        if self.start_reason:
            return executors.StartAnswer(False, self.start_reason)
        self._begin(run)
        return executors.StartAnswer(True, "")

    async def stop(
        self, incarnation: str, run: fleet.RunId, epoch: int
    ) -> bool:
        """Stop a run, or close it for good."""
        self._check(incarnation)
        self.calls.append(f"stop {run.run}")
        self.closed.add(run)
        if self.running.pop(run, None):
            number = len(self.ended) + 1
            self.ended.append(
                fleet.EndedTask(number, run.task, run.run, "stopped", "")
            )
        return True

    async def pace(
        self, incarnation: str, run: fleet.RunId, percent: int, epoch: int
    ) -> bool:
        """Take note of a pace."""
        self._check(incarnation)
        self.calls.append(f"pace {run.run} {percent}")
        return run in self.running

    async def renew_and_list(
        self,
        incarnation: str,
        epoch: int,
        acked: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> executors.TaskList:
        """List, after the wait."""
        self._check(incarnation)
        await trio.sleep(wait_ms / 1000)
        self._check(incarnation)
        self.acked = max(self.acked, acked)
        self.until_ms = max(self.until_ms, lease_end_ms or 0)
        left = [row for row in self.ended if row.number > self.acked]
        clock_ms = int(trio.current_time() * 1000)
        return executors.TaskList(
            clock_ms, tuple(self.running.values()), tuple(left)
        )

    def carry_out_late(self) -> None:
        """Carry out the starts that got no answer."""
        for run in self.late_starts:
            if run not in self.closed:
                self._begin(run)

    def _begin(self, run: fleet.RunId) -> None:
        row = fleet.RunningTask(run.task, run.run, "", 0, 0)
        self.running[run] = row


def registration(
    life: str = "i-1",
    sequence: int = 1,
    draining: bool = False,
    remaining_ms: int = 0,
    heard_at: float = 0.0,
) -> executors.Registration:
    """Make what a worker says of itself."""
    need = model.Resources(128_000, 262_144, 8)
    return executors.Registration(
        life,
        sequence,
        "desk",
        "hall",
        need,
        ("a", "r1-1"),
        draining,
        remaining_ms,
        heard_at,
    )


def orders(
    number: int,
    *starts: int,
    stops: tuple[int, ...] = (),
    epoch: int = 1,
    life: str = "i-1",
    acked: int = 0,
    paces: tuple[messages.PaceRow, ...] = (),
) -> messages.WorkerOrders:
    """Make the owner's orders about runs of one task."""
    return messages.WorkerOrders(
        epoch,
        number,
        fleet.worker_name(life, "side-1"),
        tuple(
            messages.StartRow(TASK, run, "payload", "", "") for run in starts
        ),
        tuple(messages.StopRow(TASK, run) for run in stops),
        acked,
        paces,
    )


Scenario = Callable[[worker_agent.WorkerAgent, FakeExecutor], Awaitable[None]]


def beside_worker(scenario: Scenario) -> Callable[[], None]:
    """Make a test that runs beside an agent whose worker has registered.

    Its clock jumps to the next event.
    """

    async def main() -> None:
        fake = FakeExecutor()
        agent = worker_agent.WorkerAgent(
            "side-1", fake, LEASE_MS, job_metrics.JobMetrics()
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(agent.run)
            agent.record_owner_contact(1)
            agent.register(registration())
            await trio.sleep(0.5)
            await scenario(agent, fake)
            nursery.cancel_scope.cancel()

    def test() -> None:
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return test


@beside_worker
async def test_start_is_carried_out_and_listed(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.apply_orders(orders(1, 1))
    await trio.sleep(1.5)
    (report,) = agent.make_reports()
    assert [(row.task, row.run) for row in report.running] == [(TASK, 1)]


@beside_worker
async def test_orders_of_a_new_owner_are_obeyed_from_its_first(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    # A side that had heard the new epoch in a reply once took the new
    # owner's low numbers for old orders, and never stopped a cancelled task.
    agent.apply_orders(orders(7, 1))
    await trio.sleep(1.5)
    agent.record_owner_contact(2)
    assert agent.apply_orders(orders(1, stops=(1,), epoch=2))
    await trio.sleep(1.5)
    assert not fake.running


@beside_worker
async def test_orders_of_a_past_owner_are_refused(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.record_owner_contact(2)
    assert not agent.apply_orders(orders(9, 1, epoch=1))
    await trio.sleep(1.0)
    assert not fake.calls


@beside_worker
async def test_unanswered_start_is_tried_until_it_is_there(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    fake.silent_starts = 2
    agent.apply_orders(orders(1, 1))
    await trio.sleep(2.0)
    assert len(fake.running) == 1


@beside_worker
async def test_refused_start_that_may_come_late_is_closed_first(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    fake.silent_starts = 1
    fake.start_reason = "unhealthy"
    agent.apply_orders(orders(1, 1))
    await trio.sleep(2.0)
    fake.carry_out_late()
    assert not fake.running
    (report,) = agent.make_reports()
    assert [row.reason for row in report.refused] == ["unhealthy"]


@beside_worker
async def test_withdrawn_start_that_may_come_late_is_stopped(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    fake.silent_starts = 100
    agent.apply_orders(orders(1, 1))
    await trio.sleep(1.0)
    agent.apply_orders(orders(2, stops=(1,)))
    await trio.sleep(2.0)
    fake.carry_out_late()
    assert not fake.running
    (report,) = agent.make_reports()
    assert [row.reason for row in report.refused] == ["stopped"]


@beside_worker
async def test_draining_worker_starts_nothing(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.register(registration(sequence=2, draining=True))
    agent.apply_orders(orders(1, 1))
    await trio.sleep(1.0)
    assert "start 1" not in fake.calls
    await trio.sleep(1.0)
    (report,) = agent.make_reports()
    assert report.draining
    assert [row.reason for row in report.refused] == ["draining"]


@beside_worker
async def test_started_task_is_not_refused_when_its_worker_drains(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    # The start was accepted, but no list had shown it yet; the side said
    # that it had not run, and the owner started it elsewhere as well.
    agent.apply_orders(orders(1, 1))
    await trio.sleep(0.1)
    assert fake.running
    agent.register(registration(sequence=2, draining=True))
    (report,) = agent.make_reports()
    assert not report.refused
    await trio.sleep(2.0)
    (report,) = agent.make_reports()
    assert not report.refused
    assert len(report.running) == 1


@beside_worker
async def test_restarted_side_of_a_draining_worker_refuses_what_is_not_there(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.register(registration(sequence=2, draining=True))
    run = fleet.RunId(TASK, 1)
    fake.running[run] = fleet.RunningTask(TASK, 1, "", 0, 0)
    agent.apply_orders(orders(1, 1, 2))
    await trio.sleep(3.0)
    (report,) = agent.make_reports()
    assert [row.run for row in report.refused] == [2]
    assert [row.run for row in report.running] == [1]
    assert fake.calls == ["stop 2"]


@beside_worker
async def test_ended_task_is_listed_and_not_refused_as_old(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    # A new owner asks again for a start that ended a moment ago.
    fake.start_reason = "old"
    await trio.sleep(0.3)
    fake.ended.append(fleet.EndedTask(1, TASK, 1, "done", ""))
    agent.apply_orders(orders(1, 1))
    await trio.sleep(0.2)
    (report,) = agent.make_reports()
    assert not report.refused
    await trio.sleep(2.0)
    (report,) = agent.make_reports()
    assert not report.refused
    assert [row.outcome for row in report.ended] == ["done"]


@beside_worker
async def test_pace_is_set_once_for_each_change(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.apply_orders(orders(1, 1))
    await trio.sleep(1.5)
    slow = messages.PaceRow(TASK, 1, 50)
    agent.apply_orders(orders(2, paces=(slow,)))
    await trio.sleep(0.5)
    agent.apply_orders(orders(3, paces=(slow,)))
    await trio.sleep(0.5)
    full = messages.PaceRow(TASK, 1, 100)
    agent.apply_orders(orders(4, paces=(full,)))
    await trio.sleep(0.5)
    assert fake.calls == ["start 1", "pace 1 50", "pace 1 100"]


@beside_worker
async def test_time_until_a_worker_leaves_runs_down(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    # Reports repeated what the last registration had said, so that a worker
    # seemed to have as much time left with each of them.
    now = trio.current_time()
    leaving = registration("i-1", 2, True, 4000, now)
    agent.register(leaving)
    await trio.sleep(3.0)
    (report,) = agent.make_reports()
    assert 900 <= report.remaining_ms <= 1000
    await trio.sleep(3.0)
    (report,) = agent.make_reports()
    assert report.remaining_ms == 0


@beside_worker
async def test_another_life_ends_the_one_before(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    fake.life = "i-2"
    agent.register(registration("i-2"))
    await trio.sleep(2.0)
    gone, present = agent.make_reports()
    assert (gone.worker, gone.gone) == ("i-1@side-1", True)
    assert (present.worker, present.gone) == ("i-2@side-1", False)


@beside_worker
async def test_late_registration_of_a_dead_life_changes_nothing(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    fake.life = "i-2"
    agent.register(registration("i-2"))
    await trio.sleep(2.0)
    agent.register(registration("i-1", sequence=99))
    agent.register(registration("i-0"))
    await trio.sleep(2.0)
    assert agent.make_reports()[-1].worker == "i-2@side-1"


@beside_worker
async def test_lease_is_prolonged_alone_for_a_bounded_time(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    await trio.sleep(60.0)
    alone_s = (fake.until_ms - LEASE_MS) / 1000
    assert leases.AUTONOMOUS_RENEWAL_S - 2 < alone_s
    assert alone_s < leases.AUTONOMOUS_RENEWAL_S + 1
