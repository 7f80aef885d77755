"""The worker agent of a side, against a fake worker."""

from collections.abc import Awaitable
from collections.abc import Callable

import pytest
import trio

from kingcuplever import clock
from kingcuplever import errors
from kingcuplever import messages
from kingcuplever.process.agent import executor as executors
from kingcuplever.process.agent import former_incarnations
from kingcuplever.process.agent import order_reconciler
from kingcuplever.process.agent import worker_agent
from kingcuplever.process.agent import worker_state
from kingcuplever.process import job_metrics
from kingcuplever.process import leases
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model

TASK = "5c0e7a21d94b36f8.0.0.0"
LEASE_MS = 6000
# Ends that a worker lists at a time.
MAX_LISTED_ENDS = 500
AUTONOMOUS_RENEWAL_S = leases.compute_autonomous_renewal_s(LEASE_MS / 1000)


class FakeExecutor:
    """The incarnations of one worker at one address.

    :ivar unanswered_starts: how many of the next starts get no answer.
    :ivar delayed_starts: the starts that got none; they may take effect later.
    :ivar refusal_reason: why starts are refused; empty to accept them.
    :ivar closed_runs: runs that were stopped and can't start any more.
    :ivar acked: number of the last end that was acknowledged.
    :ivar lease_end_ms: latest end of the lease so far.
    :ivar fails_stops: whether stops have no effect and get no answer.
    :ivar has_ended: whether nobody listens at its address.
    :ivar is_silent: whether it answers no call.
    :ivar fails_lists: whether it answers no list.
    """

    def __init__(self) -> None:
        """Begin the first incarnation, without tasks."""
        self.incarnation = "i-1"
        self.running: dict[fleet.RunId, fleet.RunningTask] = {}
        self.ended: list[fleet.EndedTask] = []
        self.calls: list[str] = []
        self.unanswered_starts = 0
        self.delayed_starts: list[fleet.RunId] = []
        self.refusal_reason = ""
        self.closed_runs: set[fleet.RunId] = set()
        self.acked = 0
        self.lease_end_ms = 0
        self.fails_stops = False
        self.has_ended = False
        self.is_silent = False
        self.fails_lists = False

    def _check(self, incarnation: str) -> None:
        if self.has_ended:
            raise errors.PlatformFailed("refused", sent=False, refused=True)
        if self.is_silent:
            raise errors.PlatformFailed("no answer")
        if incarnation != self.incarnation:
            raise errors.ExecutorReplaced("another incarnation")

    async def start(
        self,
        incarnation: str,
        order: fleet.StartOrder,
        lease_end_ms: int,
        epoch: int,
    ) -> executors.StartAnswer:
        """Start or refuse a task, or leave the start unanswered."""
        self._check(incarnation)
        run = fleet.RunId(order.task, order.run)
        self.calls.append(f"start {run.run}")
        if self.unanswered_starts:
            self.unanswered_starts -= 1
            self.delayed_starts.append(run)
            raise errors.PlatformFailed("no answer")
        if self.refusal_reason:
            return executors.StartAnswer(False, self.refusal_reason)
        self._start_run(run)
        return executors.StartAnswer(True, "")

    async def stop(
        self, incarnation: str, run: fleet.RunId, epoch: int
    ) -> bool:
        """Stop a run, and prevent it from starting later."""
        self._check(incarnation)
        self.calls.append(f"stop {run.run}")
        if self.fails_stops:
            raise errors.PlatformFailed("no answer")
        self.closed_runs.add(run)
        if self.running.pop(run, None):
            number = len(self.ended) + 1
            self.ended.append(
                fleet.EndedTask(number, run.task, run.run, "stopped", "")
            )
        return True

    async def pace(
        self, incarnation: str, run: fleet.RunId, percent: int, epoch: int
    ) -> bool:
        """Record a pace; return whether the run is there."""
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
        """Renew the lease, and list the tasks after the wait."""
        self._check(incarnation)
        await trio.sleep(wait_ms / 1000)
        self._check(incarnation)
        if self.fails_lists:
            raise errors.PlatformFailed("no answer")
        self.acked = max(self.acked, acked)
        self.lease_end_ms = max(self.lease_end_ms, lease_end_ms or 0)
        unacked = [row for row in self.ended if row.number > self.acked]
        clock_ms = int(trio.current_time() * 1000)
        return executors.TaskList(
            clock_ms,
            tuple(self.running.values()),
            tuple(unacked[:MAX_LISTED_ENDS]),
            is_cut=len(unacked) >= MAX_LISTED_ENDS,
        )

    def apply_delayed_starts(self) -> None:
        """Start the runs of unanswered starts, unless they are closed."""
        for run in self.delayed_starts:
            if run not in self.closed_runs:
                self._start_run(run)

    def _start_run(self, run: fleet.RunId) -> None:
        row = fleet.RunningTask(run.task, run.run, "", 0, 0)
        self.running[run] = row


def make_registration(
    incarnation: str = "i-1",
    sequence: int = 1,
    draining: bool = False,
    remaining_ms: int = 0,
    received_at: float = 0.0,
) -> executors.Registration:
    """Make a worker's registration."""
    capacity = model.Resources(128_000, 262_144, 8)
    return executors.Registration(
        incarnation,
        sequence,
        "desk",
        "hall",
        capacity,
        ("a", "r1-1"),
        draining,
        remaining_ms,
        received_at,
    )


def make_orders(
    number: int,
    *starts: int,
    stops: tuple[int, ...] = (),
    epoch: int = 1,
    incarnation: str = "i-1",
    acked: int = 0,
    paces: tuple[messages.PaceRow, ...] = (),
) -> messages.WorkerOrders:
    """Make the owner's orders for runs of one task."""
    return messages.WorkerOrders(
        epoch,
        number,
        fleet.worker_name(incarnation, "side-1"),
        tuple(
            messages.StartRow(TASK, run, "payload", "", "") for run in starts
        ),
        tuple(messages.StopRow(TASK, run) for run in stops),
        acked,
        paces,
    )


Scenario = Callable[[worker_agent.WorkerAgent, FakeExecutor], Awaitable[None]]


def with_worker_agent(scenario: Scenario) -> Callable[[], None]:
    """Make a test of a scenario with an agent whose worker has registered.

    The clock is simulated and advances to the next event.
    """

    async def main() -> None:
        fake = FakeExecutor()
        agent = worker_agent.WorkerAgent(
            "side-1", fake, LEASE_MS, job_metrics.JobMetrics()
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(agent.run)
            agent.record_owner_contact(1, clock.read_moment())
            agent.register(make_registration())
            await trio.sleep(0.5)
            await scenario(agent, fake)
            nursery.cancel_scope.cancel()

    def test() -> None:
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return test


@with_worker_agent
async def test_started_task_is_reported(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(1.5)
    (report,) = agent.make_reports()
    assert [(row.task, row.run) for row in report.running] == [(TASK, 1)]


@with_worker_agent
async def test_first_orders_of_a_new_owner_are_applied(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    # Guards against a task that is never stopped after it was cancelled: a
    # side that had learned the new epoch from a reply took the new owner's
    # orders, which are numbered from 1 again, for old ones.
    agent.apply_orders(make_orders(7, 1))
    await trio.sleep(1.5)
    agent.record_owner_contact(2, clock.read_moment())
    assert agent.apply_orders(make_orders(1, stops=(1,), epoch=2))
    await trio.sleep(1.5)
    assert not fake.running


@with_worker_agent
async def test_orders_of_a_former_owner_are_rejected(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.record_owner_contact(2, clock.read_moment())
    assert not agent.apply_orders(make_orders(9, 1, epoch=1))
    await trio.sleep(1.0)
    assert not fake.calls


# Guards against an error that nobody had foreseen in a side that ends: orders
# came while its tasks were being cancelled (soak seed 117).
def test_orders_for_an_agent_that_ends_are_a_typed_refusal() -> None:
    async def main() -> None:
        agent = worker_agent.WorkerAgent(
            "side-1", FakeExecutor(), LEASE_MS, job_metrics.JobMetrics()
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(agent.run)
            agent.record_owner_contact(1, clock.read_moment())
            agent.register(make_registration())
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        with pytest.raises(errors.KingcupleverError) as raised:
            agent.apply_orders(make_orders(1, 1))
        assert raised.value.code is errors.Code.OVERLOADED

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@with_worker_agent
async def test_unanswered_start_is_retried_until_the_task_runs(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    fake.unanswered_starts = 2
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(2.0)
    assert len(fake.running) == 1


@with_worker_agent
async def test_refused_start_is_stopped_in_case_it_arrives_late(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    fake.unanswered_starts = 1
    fake.refusal_reason = "unhealthy"
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(2.0)
    fake.apply_delayed_starts()
    assert not fake.running
    (report,) = agent.make_reports()
    assert [row.reason for row in report.refused] == ["unhealthy"]


@with_worker_agent
async def test_withdrawn_start_is_stopped_in_case_it_arrives_late(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    fake.unanswered_starts = 100
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(1.0)
    agent.apply_orders(make_orders(2, stops=(1,)))
    await trio.sleep(2.0)
    fake.apply_delayed_starts()
    assert not fake.running
    (report,) = agent.make_reports()
    assert [row.reason for row in report.refused] == ["stopped"]


@with_worker_agent
async def test_draining_worker_starts_nothing(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.register(make_registration(sequence=2, draining=True))
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(1.0)
    assert "start 1" not in fake.calls
    await trio.sleep(1.0)
    (report,) = agent.make_reports()
    assert report.draining
    assert [row.reason for row in report.refused] == ["draining"]


@with_worker_agent
async def test_started_task_is_not_refused_when_its_worker_drains(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    # Guards against a task that runs twice: its start was accepted but not
    # listed yet, the side reported it as refused, and the owner started it on
    # another worker as well.
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(0.1)
    assert fake.running
    agent.register(make_registration(sequence=2, draining=True))
    (report,) = agent.make_reports()
    assert not report.refused
    await trio.sleep(2.0)
    (report,) = agent.make_reports()
    assert not report.refused
    assert len(report.running) == 1


@with_worker_agent
async def test_restarted_side_of_a_draining_worker_refuses_unlisted_runs(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.register(make_registration(sequence=2, draining=True))
    run = fleet.RunId(TASK, 1)
    fake.running[run] = fleet.RunningTask(TASK, 1, "", 0, 0)
    agent.apply_orders(make_orders(1, 1, 2))
    await trio.sleep(3.0)
    (report,) = agent.make_reports()
    assert [row.run for row in report.refused] == [2]
    assert [row.run for row in report.running] == [1]
    assert fake.calls == ["stop 2"]


@with_worker_agent
async def test_repeated_start_of_an_ended_task_is_not_refused_as_old(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    # A new owner orders the start of a run that has just ended.
    fake.refusal_reason = "old"
    await trio.sleep(0.3)
    fake.ended.append(fleet.EndedTask(1, TASK, 1, "done", ""))
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(0.2)
    (report,) = agent.make_reports()
    assert not report.refused
    await trio.sleep(2.0)
    (report,) = agent.make_reports()
    assert not report.refused
    assert [row.outcome for row in report.ended] == ["done"]


def end_many_runs(fake: FakeExecutor) -> None:
    """Let more runs end than a list holds, and one more run after them."""
    for number in range(MAX_LISTED_ENDS):
        task = f"5c0e7a21d94b36f8.0.1.{number}"
        row = fleet.EndedTask(number + 1, task, 1, "done", "")
        fake.ended.append(row)
    row = fleet.EndedTask(MAX_LISTED_ENDS + 1, TASK, 1, "done", "")
    fake.ended.append(row)


# Guards against a task that runs again though it is done: its end was not
# listed, as the list was cut, and its run was reported as stopped or refused.
@pytest.mark.parametrize("is_stop", [False, True])
def test_run_that_a_cut_list_lacks_is_not_refused(is_stop: bool) -> None:
    @with_worker_agent
    async def play(
        agent: worker_agent.WorkerAgent, fake: FakeExecutor
    ) -> None:
        await trio.sleep(0.3)
        end_many_runs(fake)
        fake.refusal_reason = "old"
        if is_stop:
            agent.apply_orders(make_orders(1, stops=(1,)))
        else:
            agent.apply_orders(make_orders(1, 1, 1))
        for _ in range(30):
            await trio.sleep(0.1)
            (report,) = agent.make_reports()
            assert not report.refused
        assert report.cut
        assert len(report.ended) == MAX_LISTED_ENDS
        fake.acked = 1
        await trio.sleep(3.0)
        (report,) = agent.make_reports()
        assert not report.refused
        assert report.ended[-1].task == TASK

    play()


@with_worker_agent
async def test_pace_is_set_once_for_each_change(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(1.5)
    slow = messages.PaceRow(TASK, 1, 50)
    agent.apply_orders(make_orders(2, paces=(slow,)))
    await trio.sleep(0.5)
    agent.apply_orders(make_orders(3, paces=(slow,)))
    await trio.sleep(0.5)
    full = messages.PaceRow(TASK, 1, 100)
    agent.apply_orders(make_orders(4, paces=(full,)))
    await trio.sleep(0.5)
    assert fake.calls == ["start 1", "pace 1 50", "pace 1 100"]


@with_worker_agent
async def test_remaining_time_of_a_draining_worker_counts_down(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    # Guards against reports that repeat the remaining time of the last
    # registration, so that it never seems to pass.
    now = trio.current_time()
    draining = make_registration("i-1", 2, True, 4000, now)
    agent.register(draining)
    await trio.sleep(3.0)
    (report,) = agent.make_reports()
    assert 900 <= report.remaining_ms <= 1000
    await trio.sleep(3.0)
    (report,) = agent.make_reports()
    assert report.remaining_ms == 0


@with_worker_agent
async def test_new_incarnation_ends_the_previous_one(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    fake.incarnation = "i-2"
    agent.register(make_registration("i-2"))
    await trio.sleep(2.0)
    ended, current = agent.make_reports()
    assert (ended.worker, ended.gone) == ("i-1@side-1", True)
    assert (current.worker, current.gone) == ("i-2@side-1", False)


async def end_worker(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor, contact: bool = True
) -> messages.WorkerReport:
    """End the worker, and begin its next incarnation after some seconds.

    :param contact: whether another host answers the side meanwhile.
    :return: the report of its end.
    """
    if contact:
        agent.record_host_contact()
    fake.has_ended = True
    await trio.sleep(0.4)
    if contact:
        agent.record_host_contact()
    await trio.sleep(3.0)
    fake.has_ended = False
    fake.fails_lists = False
    fake.incarnation = "i-2"
    fake.running.clear()
    agent.register(make_registration("i-2"))
    await trio.sleep(2.0)
    return agent.make_reports()[0]


# Guards against crashes that count for no task, or for one that had not begun.
@with_worker_agent
async def test_crash_in_contact_is_reported_with_the_started_runs(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(1.2)
    agent.apply_orders(make_orders(2, 1, 2))
    await trio.sleep(0.1)
    fake.has_ended = True
    agent.apply_orders(make_orders(3, 1, 2, 3))
    report = await end_worker(agent, fake)
    assert (report.gone, report.crashed) == (True, True)
    assert [row.run for row in report.running] == [1, 2]


# Guards against a start in doubt that is left out when its worker crashes.
@with_worker_agent
async def test_crash_is_reported_with_an_unanswered_start(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    fake.unanswered_starts = 1
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(0.05)
    report = await end_worker(agent, fake)
    assert [row.run for row in report.running] == [1]


# Guards against crashes that count for the tasks of a worker that left.
@pytest.mark.parametrize("sign", ["draining", "deregistered"])
def test_end_of_a_leaving_worker_is_no_crash(sign: str) -> None:
    @with_worker_agent
    async def test(
        agent: worker_agent.WorkerAgent, fake: FakeExecutor
    ) -> None:
        agent.apply_orders(make_orders(1, 1))
        await trio.sleep(1.2)
        if sign == "draining":
            agent.register(make_registration(sequence=2, draining=True))
        else:
            agent.deregister("i-1")
        report = await end_worker(agent, fake)
        assert (report.gone, report.crashed) == (True, False)

    test()


# Guards against work that waits for a worker that has left without a word: it
# had said that it drains, and its host goes some seconds after it.
@with_worker_agent
async def test_draining_worker_has_left_once_nobody_listens(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(1.2)
    agent.register(make_registration(sequence=2, draining=True))
    fake.has_ended = True
    await trio.sleep(1.5)
    (report,) = agent.make_reports()
    assert (report.gone, report.crashed) == (True, False)


# Guards against crashes that count for the tasks of a host that was cut off.
@with_worker_agent
async def test_end_behind_a_cut_of_the_host_is_no_crash(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.record_host_contact()
    report = await end_worker(agent, fake, contact=False)
    assert (report.gone, report.crashed) == (True, False)


# Guards against the same for a worker that was silent before it ended.
@with_worker_agent
async def test_end_of_a_silent_worker_is_no_crash(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    fake.is_silent = True
    await trio.sleep(4.0)
    fake.is_silent = False
    report = await end_worker(agent, fake)
    assert (report.gone, report.crashed) == (True, False)


# Guards against crashes that count for nothing as the worker's lists got no
# answer: its answer to the start shows that it was there.
@with_worker_agent
async def test_answered_start_is_contact(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    fake.fails_lists = True
    await trio.sleep(5.0)
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(0.01)
    report = await end_worker(agent, fake)
    assert (report.gone, report.crashed) == (True, True)


# Guards against work that is sent to a worker that nobody can reach.
@with_worker_agent
async def test_unreachable_worker_is_reported_at_once(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    changed = agent.changed
    fake.has_ended = True
    await trio.sleep(1.3)
    assert changed.is_set()
    assert agent.make_reports()[0].unreachable
    fake.has_ended = False
    await trio.sleep(0.5)
    assert not agent.make_reports()[0].unreachable


# Guards against a crash that only a dead owner knew.
@with_worker_agent
async def test_end_is_reported_until_it_is_recorded(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    report = await end_worker(agent, fake)
    assert agent.make_reports()[0] == report
    agent.mark_reported(report)
    assert not agent.make_reports()[0].gone


@with_worker_agent
async def test_late_registration_of_an_ended_incarnation_is_ignored(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    fake.incarnation = "i-2"
    agent.register(make_registration("i-2"))
    await trio.sleep(2.0)
    agent.register(make_registration("i-1", sequence=99))
    agent.register(make_registration("i-0"))
    await trio.sleep(2.0)
    assert agent.make_reports()[-1].worker == "i-2@side-1"


@with_worker_agent
async def test_leases_are_renewed_without_an_owner_for_a_bounded_time(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    await trio.sleep(60.0)
    renewed_s = (fake.lease_end_ms - LEASE_MS) / 1000
    assert AUTONOMOUS_RENEWAL_S - 2 < renewed_s
    assert renewed_s < AUTONOMOUS_RENEWAL_S + 1


# Guards against a run that its owner takes as refused by an incarnation that
# has not answered: the stop was answered by the incarnation before it.
def test_stop_of_a_former_incarnation_is_no_refusal_of_the_next() -> None:
    async def main() -> None:
        state = worker_state.WorkerState(12.0)
        fake = FakeExecutor()
        metrics = job_metrics.JobMetrics()
        reconciler = order_reconciler.OrderReconciler(
            state,
            fake,
            LEASE_MS,
            metrics,
            lambda: None,
            former_incarnations.FormerIncarnations(fake, 0.0),
        )
        state.incarnations.apply_registration(make_registration("i-1"))
        state.incarnations.confirm_candidate("i-1")
        async with trio.open_nursery() as nursery:
            reconciler.apply_orders(make_orders(1, stops=(1,)), nursery)
            await trio.sleep(0.01)
            fake.incarnation = "i-2"
            fake.fails_stops = True
            state.incarnations.apply_registration(make_registration("i-2"))
            state.incarnations.confirm_candidate("i-2")
            state.reset()
            reconciler.reset()
            state.task_list = executors.TaskList(0, (), ())
            state.task_list_requested_at = trio.current_time()
            reconciler.apply_orders(
                make_orders(1, stops=(1,), epoch=2, incarnation="i-2"), nursery
            )
            await trio.sleep(1.0)
            assert fake.calls[:2] == ["stop 1", "stop 1"]
            assert reconciler.refused == {}
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


# Guards against a start that an owner has given up: it has not heard of the
# side for longer than the side may act alone, and ran the task elsewhere.
@with_worker_agent
async def test_start_is_not_retried_once_the_owner_may_have_given_it_up(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    fake.unanswered_starts = 10_000
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(AUTONOMOUS_RENEWAL_S + 1.0)
    fake.unanswered_starts = 0
    await trio.sleep(10.0)
    assert not fake.running
    # The owner is back, and has not said yet what it wants now.
    agent.record_owner_contact(1, clock.read_moment())
    await trio.sleep(1.0)
    assert not fake.running
    (report,) = agent.make_reports()
    assert report.orders == 0
    # It still orders it.
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(1.0)
    assert len(fake.running) == 1


# Guards against the same with orders that arrive late at a frozen side.
@with_worker_agent
async def test_orders_without_permission_start_nothing_later(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    await trio.sleep(AUTONOMOUS_RENEWAL_S + 1.0)
    agent.apply_orders(make_orders(3, 1))
    agent.record_owner_contact(1, clock.read_moment())
    await trio.sleep(1.0)
    assert not fake.running
    (report,) = agent.make_reports()
    assert report.orders == 0


@with_worker_agent
async def test_report_has_the_number_of_the_orders(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.apply_orders(make_orders(7, 1))
    (report,) = agent.make_reports()
    assert report.orders == 7
    # A new owner's orders are numbered from 1 again.
    agent.record_epoch(2)
    (report,) = agent.make_reports()
    assert report.orders == 0


# Guards against the same after a suspension, for which the clock of the event
# loop stands still.
def test_start_waits_for_the_owner_after_a_suspension(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    boot_s = [1000.0]
    monkeypatch.setattr(clock, "boot_s", lambda: boot_s[0])

    @with_worker_agent
    async def scenario(
        agent: worker_agent.WorkerAgent, fake: FakeExecutor
    ) -> None:
        fake.unanswered_starts = 1
        agent.apply_orders(make_orders(1, 1))
        await trio.sleep(0.01)
        boot_s[0] += 25.0
        # A renewal may have been under way.
        await trio.sleep(1.5)
        lease_end_ms = fake.lease_end_ms
        await trio.sleep(3.0)
        assert not fake.running
        assert fake.lease_end_ms == lease_end_ms
        agent.record_owner_contact(1, clock.read_moment())
        agent.apply_orders(make_orders(1, 1))
        await trio.sleep(1.5)
        assert len(fake.running) == 1
        assert fake.lease_end_ms > lease_end_ms

    scenario()


# Guards against a task that runs twice: a worker that has deregistered runs
# its tasks until it ends.
@with_worker_agent
async def test_deregistered_worker_is_gone_once_nobody_listens(
    agent: worker_agent.WorkerAgent, fake: FakeExecutor
) -> None:
    agent.apply_orders(make_orders(1, 1))
    await trio.sleep(1.5)
    agent.deregister("i-1")
    await trio.sleep(3.0)
    (report,) = agent.make_reports()
    assert report.draining
    assert [row.run for row in report.running] == [1]
    fake.has_ended = True
    await trio.sleep(1.5)
    (report,) = agent.make_reports()
    assert (report.worker, report.gone) == ("i-1@side-1", True)
