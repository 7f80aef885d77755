"""Histories of sides, workers and owners, with late calls and standstills."""

from collections.abc import Awaitable
from collections.abc import Callable

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from kingcuplever.process.scheduling import fleet
from tests import side_faults
from tests import side_hosts
from tests import side_world

JOB = "5c0e7a21d94b36f8"
FILLER = "00000000000000f1"
# Silence of a side after which its owner gives its runs up.
SILENCE_S = side_world.SIDE_TIMEOUT_S
# Longer than any timeout of the product.
LONG_S = 60.0 + SILENCE_S
# Histories in one run of each property, and steps of each.
HISTORIES = 8
STEPS = 15

# A smaller seed is no simpler history, so failures are not shrunk.
fixed_histories = hypothesis.settings(
    max_examples=HISTORIES, phases=(hypothesis.Phase.generate,)
)

World = side_world.World
CallFault = side_world.CallFault
Scenario = Callable[[World], Awaitable[None]]


def with_world(scenario: Scenario) -> Callable[[], None]:
    """Make a test of a scenario with two sides and two entries."""

    def test() -> None:
        side_world.play(scenario)

    return test


async def place_one_job(world: World) -> side_world.Side:
    """Run a job on one of the sides; return that side."""
    await trio.sleep(3.0)
    world.submit(JOB)
    side, _ = await world.wait_for_run(JOB)
    await trio.sleep(2.0)
    return side


async def fill_one_side(world: World) -> side_world.Side:
    """Fill one of two workers; return the other side."""
    await trio.sleep(3.0)
    world.submit(FILLER)
    full, _ = await world.wait_for_run(FILLER)
    await trio.sleep(2.0)
    (other,) = [side for side in world.sides if side is not full]
    return other


def cut_from_entries(
    world: World, side: side_world.Side, seconds: float
) -> None:
    """Cut a side off from all entries and the log."""
    for name in [*(entry.name for entry in world.entries), side_world.LOG]:
        world.network.cut(side.name, name, seconds)


async def wait_until(is_true: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    with trio.fail_after(LONG_S):
        while not is_true():
            await trio.sleep(0.01)


async def wait_for_call(side: side_world.Side, kind: str) -> None:
    """Wait until a side has sent another call of a kind to its worker."""
    before = len(side.worker.sent)
    await wait_until(
        lambda: any(sent == kind for sent, _ in side.worker.sent[before:])
    )


async def wait_for_report(world: World, side: side_world.Side) -> None:
    """Wait for the next report of a side."""
    term = world.entries[0].term
    assert term is not None
    worker = term.scheduler.workers[side.worker.name]
    before = worker.last_report_at
    await wait_until(lambda: worker.last_report_at > before)


# Guards against a world in which nothing runs, so that no check can fail.
@with_world
async def test_job_runs_until_it_is_done(world: World) -> None:
    await trio.sleep(3.0)
    world.submit(JOB, seconds=5.0)
    await world.wait_for_run(JOB)
    await trio.sleep(7.0)
    assert world.acked_done == {f"{JOB}.0.0.0"}


# Guards against a run that goes on where its owner has given it up: each
# second renewal of its lease arrived late.
@pytest.mark.parametrize("keeps_duration", [False, True])
def test_late_renewals_do_not_outlive_the_silence_timeout(
    keeps_duration: bool,
) -> None:
    async def scenario(world: World) -> None:
        side = await place_one_job(world)
        cut_from_entries(world, side, LONG_S)
        late = CallFault(12.0, keeps_duration)
        side.worker.faults["renew"] = [late, None] * 50
        await trio.sleep(SILENCE_S + 25.0)

    side_world.play(scenario)


# Guards against a start that is carried out where its owner has given it up:
# the last tries of it arrived late.
@pytest.mark.parametrize("keeps_duration", [False, True])
def test_late_start_is_not_carried_out_after_the_silence_timeout(
    keeps_duration: bool,
) -> None:
    async def scenario(world: World) -> None:
        side = await fill_one_side(world)
        side.worker.faults["start"] = [CallFault()] * 500
        world.submit(JOB)
        await wait_for_call(side, "start")
        cut_from_entries(world, side, LONG_S)
        world.cancel(FILLER)
        await trio.sleep(9.0)
        late = CallFault(12.0, keeps_duration)
        side.worker.faults["start"] = [late] * 500
        await trio.sleep(SILENCE_S + 20.0)

    side_world.play(scenario)


# Guards against a start that an owner has given up: its order waited in the
# socket of a side that stood still, and the side was cut off afterwards.
@pytest.mark.parametrize("suspends", [False, True])
def test_order_read_after_a_standstill_starts_nothing(suspends: bool) -> None:
    async def scenario(world: World) -> None:
        side = await fill_one_side(world)
        side.process.pause(SILENCE_S + 5.0, suspends)
        world.submit(JOB)
        await trio.sleep(2.0)
        cut_from_entries(world, side, LONG_S)
        world.cancel(FILLER)
        await trio.sleep(SILENCE_S + 30.0)

    side_world.play(scenario)


# Guards against the same with the reply to a report, which a suspended side
# takes for a timely one.
@with_world
async def test_reply_read_after_a_suspension_permits_nothing(
    world: World,
) -> None:
    side = await fill_one_side(world)
    side.worker.faults["start"] = [CallFault()] * 10
    world.submit(JOB)
    await wait_for_call(side, "start")
    pause = side_hosts.Pause(SILENCE_S + 5.0, True)
    world.network.pauses_after_send[side.name] = pause
    await trio.sleep(2.0)
    side.worker.faults["start"] = []
    cut_from_entries(world, side, LONG_S)
    world.cancel(FILLER)
    await trio.sleep(SILENCE_S + 30.0)


# Guards against orders that prolong leases for longer than their owner waits:
# the side's reports don't reach it.
@with_world
async def test_orders_during_a_cut_in_one_direction_prolong_nothing(
    world: World,
) -> None:
    side = await place_one_job(world)
    # While its end is not acknowledged, the leases are renewed all the time.
    world.submit(FILLER, 1, 0, 8.0)
    await trio.sleep(2.0)
    await wait_for_report(world, side)
    side.worker.faults["start"] = [CallFault()] * 500
    for name in (*(entry.name for entry in world.entries), side_world.LOG):
        world.network.cut(side.name, name, LONG_S, both=False)
    for number in range(12):
        world.submit(f"{number:016x}", 1, 0)
        await trio.sleep(0.2)
    await trio.sleep(SILENCE_S + 20.0)


# Guards against a former owner that keeps a side's leases alive while its
# successor, which hears nothing of the side, starts the runs elsewhere.
@with_world
async def test_former_owner_without_the_log_prolongs_nothing(
    world: World,
) -> None:
    side = await place_one_job(world)
    former, successor = world.entries
    world.network.cut(former.name, side_world.LOG, LONG_S)
    world.network.cut(side.name, side_world.LOG, LONG_S)
    world.network.cut(side.name, successor.name, LONG_S)
    await trio.sleep(1.6)
    successor.claim()
    await trio.sleep(SILENCE_S + 30.0)


# Guards against a task that runs twice: its side restarted while a start was
# on its way, was refused the next try, and reported that nothing would run.
@pytest.mark.parametrize("late_s", [2.0, 5.0, 8.0])
def test_start_of_a_killed_side_does_not_follow_a_refusal(
    late_s: float,
) -> None:
    async def scenario(world: World) -> None:
        side = await fill_one_side(world)
        side.worker.faults["start"] = [CallFault(late_s, True)]
        world.submit(JOB)
        await wait_for_call(side, "start")
        side.worker.current.is_unhealthy = True
        side.restart()
        world.cancel(FILLER)
        await trio.sleep(late_s - 0.5)
        side.worker.current.is_unhealthy = False
        await trio.sleep(20.0)

    side_world.play(scenario)


# Guards against work placed on a worker that still runs what its owner has
# given up: a stop takes time.
def test_run_unknown_to_the_owner_takes_room_until_it_has_ended() -> None:
    async def scenario(world: World) -> None:
        await trio.sleep(3.0)
        world.submit(FILLER, seconds=2.0)
        side, run = await world.wait_for_run(FILLER)
        await trio.sleep(4.0)
        term = world.entries[0].term
        assert term is not None
        unknown = fleet.RunId(run.task[:-1] + "1", 1)
        life = side.worker.current
        call = side_world.Call(
            "start", life.name, term.epoch, unknown, None, life.clock_ms + 6000
        )
        world.durations[FILLER] = LONG_S
        assert life.start(call).accepted
        worker = term.scheduler.workers[side.worker.name]
        await wait_until(lambda: unknown in worker.pending_stops)
        world.submit(JOB)
        await trio.sleep(10.0)
        assert world.find_runs(JOB)

    side_world.play(scenario, sides=1)


# Guards against a run that goes on where its owner has given it up: its side
# restarted, and took the connection to an owner that stood still for contact.
@with_world
async def test_connection_without_a_reply_permits_nothing(
    world: World,
) -> None:
    side = await place_one_job(world)
    # The owner gives the run up as soon as it awakes.
    world.entries[0].process.pause(SILENCE_S + 0.9)
    await trio.sleep(SILENCE_S - 15.0)
    side.restart()
    await trio.sleep(SILENCE_S + 20.0)


# Guards against a task that runs again after it was done: its worker was
# silent for too long, came back and listed the end, and the owner had it
# dropped without an effect.
@with_world
async def test_end_listed_after_the_silence_timeout_is_not_lost(
    world: World,
) -> None:
    await trio.sleep(3.0)
    for name in (JOB, FILLER):
        world.submit(name, seconds=10.0 if name == JOB else LONG_S)
        await trio.sleep(1.0)
    side, _ = await world.wait_for_run(JOB)
    # The other worker is full, so that the task waits for this one.
    cut_from_entries(world, side, SILENCE_S + 5.0)
    await trio.sleep(SILENCE_S + 4.0)
    side.worker.faults["start"] = [CallFault()] * 3
    await trio.sleep(26.0)
    assert f"{JOB}.0.0.0" in world.acked_done


# Guards against the same while the next run is on its way elsewhere.
@with_world
async def test_end_listed_late_ends_the_next_run_before_its_start(
    world: World,
) -> None:
    await trio.sleep(3.0)
    world.submit(JOB, seconds=10.0)
    side, _ = await world.wait_for_run(JOB)
    (other,) = [each for each in world.sides if each is not side]
    await trio.sleep(1.0)
    cut_from_entries(world, side, SILENCE_S + 5.0)
    other.worker.faults["start"] = [CallFault()] * 500
    await wait_until(lambda: f"{JOB}.0.0.0" in world.acked_done)
    await trio.sleep(1.0)
    other.worker.faults["start"] = []
    await trio.sleep(10.0)


# Guards against a start that an owner has given up: the side still had its
# order when it was in contact again, and no newer orders yet.
@with_world
async def test_order_from_before_a_long_cut_starts_nothing(
    world: World,
) -> None:
    side = await fill_one_side(world)
    side.worker.faults["start"] = [CallFault()] * 500
    world.submit(JOB)
    await wait_for_call(side, "start")
    cut_from_entries(world, side, SILENCE_S + 5.0)
    world.cancel(FILLER)
    await trio.sleep(SILENCE_S + 4.0)
    side.worker.faults["start"] = []
    entry = world.entries[0]
    with trio.fail_after(10.0):
        while side.owner_silence_s > 3.0:
            await trio.sleep(0.0005)
    # The reply to the report passes, the orders after it do not.
    world.network.cut(entry.name, side.name, 5.0, both=False)
    await trio.sleep(10.0)


# Guards against a run that neither starts nor ends: its side was restarted,
# and the end of its first connection has not reached the owner.
@with_world
async def test_restarted_side_gets_its_orders_again(world: World) -> None:
    side = await fill_one_side(world)
    side.worker.faults["start"] = [CallFault()]
    world.submit(JOB)
    await wait_for_call(side, "start")
    side.restart(ends_connections=False)
    await trio.sleep(10.0)
    assert world.find_runs(JOB)


# Guards against runs of a former life of a worker that its owner gives up
# late, or starts beside one another: it crashed behind a cut, and what it had
# sent before arrives afterwards.
@pytest.mark.parametrize("late_s", [0.1, 3.0, 7.0])
def test_late_registration_of_a_crashed_worker_changes_nothing(
    late_s: float,
) -> None:
    async def scenario(world: World) -> None:
        side = await place_one_job(world)
        former = side.worker.make_registration()
        world.network.cut(side.name, side.worker.host, 5.0)
        side.worker.restart()
        await trio.sleep(late_s)
        side.agent.register(former)
        await trio.sleep(15.0)
        assert len(world.find_runs(JOB)) == 1

    side_world.play(scenario)


# Guards against the same where the side has forgotten which life has ended.
@with_world
async def test_late_registration_at_a_restarted_side_changes_nothing(
    world: World,
) -> None:
    side = await place_one_job(world)
    former = side.worker.make_registration()
    side.worker.restart()
    await trio.sleep(2.0)
    side.restart()
    await trio.sleep(1.0)
    for _ in range(5):
        side.agent.register(former)
        await trio.sleep(0.7)
    await trio.sleep(10.0)
    assert len(world.find_runs(JOB)) == 1


# Guards against a start or a renewal that stands for a permission that has
# ended: the side stood still between its look at the clock and the call.
@pytest.mark.parametrize("kind", ["start", "renew"])
@pytest.mark.parametrize("suspends", [False, True])
def test_call_after_a_standstill_prolongs_nothing(
    kind: str, suspends: bool
) -> None:
    async def scenario(world: World) -> None:
        side = await fill_one_side(world)
        side.client.pauses[kind] = side_hosts.Pause(SILENCE_S + 5.0, suspends)
        world.submit(JOB)
        await trio.sleep(2.0)
        cut_from_entries(world, side, LONG_S)
        world.cancel(FILLER)
        await trio.sleep(SILENCE_S + 25.0)

    side_world.play(scenario)


# Guards against a late stop that ends the next run of its task there, or room
# that is given away before a stopped run has ended.
@with_world
async def test_late_stop_ends_only_its_run(world: World) -> None:
    side = await place_one_job(world)
    late = [CallFault(3.0), CallFault(8.0)]
    side.worker.faults["stop"] = [*late]
    world.cancel(JOB)
    await trio.sleep(0.5)
    for name in (FILLER, f"{1:016x}"):
        world.submit(name)
    await trio.sleep(15.0)
    assert len(world.find_runs("")) == 2


# Guards against a former owner that awakes and answers reports, or sends
# orders, while its successor counts the silence of their side.
@pytest.mark.parametrize("pause_s", [6.0, 12.0, 16.0])
@pytest.mark.parametrize("suspends", [False, True])
def test_former_owner_that_awakes_prolongs_nothing(
    pause_s: float, suspends: bool
) -> None:
    async def scenario(world: World) -> None:
        side = await place_one_job(world)
        former, successor = world.entries
        world.network.cut(side.name, side_world.LOG, LONG_S)
        world.network.cut(side.name, successor.name, LONG_S)
        former.process.pause(pause_s, suspends)
        await trio.sleep(1.0)
        successor.claim()
        await trio.sleep(pause_s - 1.0)
        # Its next look at the log takes until the next append.
        world.network.cut(former.name, side_world.LOG, 3.0)
        await trio.sleep(SILENCE_S + 25.0)

    side_world.play(scenario)


# Guards against an entry that judges the sides by clocks which it read before
# it stood still, in the midst of its claim.
@pytest.mark.parametrize("steps", [1, 3, 6, 12, 40])
@pytest.mark.parametrize("suspends", [False, True])
def test_entry_that_stands_still_in_its_claim_starts_nothing_twice(
    steps: int, suspends: bool
) -> None:
    async def scenario(world: World) -> None:
        side = await place_one_job(world)
        former, successor = world.entries
        former.process.kill()
        successor.claim()
        successor.process.arm_pause(steps, 10.0, suspends)
        await trio.sleep(9.0)
        cut_from_entries(world, side, LONG_S)
        await trio.sleep(SILENCE_S + 20.0)
        assert world.find_runs(JOB)

    side_world.play(scenario)


# Guards against a task that runs twice: a start that was still being tried
# when the side was cut off was tried once more before the owner, which had
# given it up, could say so.
@with_world
async def test_start_given_up_is_not_tried_after_a_cut(world: World) -> None:
    side = await fill_one_side(world)
    side.worker.faults["start"] = [CallFault()] * 500
    world.submit(JOB)
    await wait_for_call(side, "start")
    cut_from_entries(world, side, 40.0)
    await trio.sleep(10.0)
    world.cancel(FILLER)
    await trio.sleep(29.0)
    side.worker.faults["start"] = []
    # Orders take longer than a reply.
    world.network.pauses_after_send[world.entries[0].name] = side_hosts.Pause(
        0.3, False
    )
    await trio.sleep(10.0)
    starts = [kind for kind, _ in side.worker.sent[-60:] if kind == "start"]
    assert not starts


# Guards against a task that runs twice: a first try of its start took effect
# without an answer, the next was refused, and the run was given up while its
# stop was still under way.
@pytest.mark.parametrize("phase_s", [0.0, 0.2, 0.4, 0.6, 0.8])
def test_refused_start_is_given_up_once_its_run_has_ended(
    phase_s: float,
) -> None:
    async def scenario(world: World) -> None:
        side = await fill_one_side(world)
        await trio.sleep(phase_s)
        side.worker.faults["start"] = [CallFault(0.6)]
        world.submit(JOB)
        await wait_for_call(side, "start")
        world.cancel(FILLER)
        await trio.sleep(0.65)
        side.worker.current.is_unhealthy = True
        await trio.sleep(20.0)

    side_world.play(scenario)


# Guards against a task that runs twice: a worker deregisters before it ends.
@with_world
async def test_deregistered_worker_has_ended_before_its_runs_are_lost(
    world: World,
) -> None:
    side = await place_one_job(world)
    side.agent.deregister(side.worker.current.name)
    await trio.sleep(2.0)
    side.worker.restart()
    await trio.sleep(20.0)


# Guards against orders that are sent without end: each makes the side report
# that it holds none, as it may not act without a confirmation of the log.
@with_world
async def test_orders_are_not_sent_in_a_loop_without_the_log(
    world: World,
) -> None:
    side = await fill_one_side(world)
    side.worker.faults["start"] = [CallFault()] * 500
    world.submit(JOB)
    await wait_for_call(side, "start")
    owner = world.entries[0]
    world.network.cut(owner.name, side_world.LOG, LONG_S)
    await trio.sleep(15.0)
    term = owner.term
    assert term is not None
    before = term._order_number
    await trio.sleep(10.0)
    assert term._order_number - before <= 100


def play_history(
    seed: int,
    choose: Callable[[side_faults.Faults], list[side_faults.Action]],
    keeps_duration: bool = False,
    limits_deadly_starts: bool = True,
    keeps_ids: bool = False,
) -> None:
    """Play a history of random faults of some kinds.

    :param choose: returns the actions that it is made of.
    :param limits_deadly_starts: whether the starts of deadly tasks are
        checked.
    :param keeps_ids: whether workers restart under the ids that they had.
    """

    async def scenario(world: World) -> None:
        world.limits_deadly_starts = limits_deadly_starts
        faults = side_faults.Faults(world, seed)
        faults.late_by_duration = keeps_duration
        await trio.sleep(2.0)
        world.submit(JOB, 2, 1, 20.0)
        await world.wait_for_run(JOB)
        await faults.play(STEPS, choose(faults))
        await trio.sleep(SILENCE_S + 10.0)

    side_world.play(scenario, sides=3, entries=2, keeps_ids=keeps_ids)


@pytest.mark.parametrize("keeps_duration", [False, True])
@fixed_histories
@hypothesis.given(seed=st.integers(0, 2**32))
def test_rules_hold_with_late_calls(seed: int, keeps_duration: bool) -> None:
    play_history(
        seed,
        lambda faults: [
            faults.cancel,
            faults.delay_calls,
            faults.delay_calls,
            faults.cut_side,
            faults.impair_worker,
        ],
        keeps_duration,
    )


@fixed_histories
@hypothesis.given(seed=st.integers(0, 2**32))
def test_rules_hold_with_standstills(seed: int) -> None:
    play_history(
        seed,
        lambda faults: [
            faults.cancel,
            faults.pause_process,
            faults.pause_process,
            faults.cut_side,
        ],
    )


@fixed_histories
@hypothesis.given(seed=st.integers(0, 2**32))
def test_rules_hold_with_restarts(seed: int) -> None:
    play_history(
        seed,
        lambda faults: [
            faults.crash_worker,
            faults.restart_side,
            faults.delay_calls,
            faults.impair_worker,
            faults.cut_side,
        ],
    )


@fixed_histories
@hypothesis.given(seed=st.integers(0, 2**32))
def test_rules_hold_with_takeovers(seed: int) -> None:
    play_history(
        seed,
        lambda faults: [
            faults.replace_owner,
            faults.replace_owner,
            faults.cut_side,
            faults.cancel,
        ],
    )


@fixed_histories
@hypothesis.given(seed=st.integers(0, 2**32))
def test_rules_hold_with_overlapping_faults(seed: int) -> None:
    play_history(
        seed,
        lambda faults: [
            faults.cancel,
            faults.delay_calls,
            faults.cut_side,
            faults.crash_worker,
            faults.restart_side,
            faults.pause_process,
            faults.replace_owner,
            faults.impair_worker,
        ],
        True,
    )


# Guards against deadly tasks that are started without end, and against jobs
# that are given up for them, while owners change.
@fixed_histories
@hypothesis.given(seed=st.integers(0, 2**32))
def test_rules_hold_with_deadly_tasks(seed: int) -> None:
    play_history(
        seed,
        lambda faults: [faults.submit_deadly, faults.claim, faults.cancel],
    )


# Guards against jobs that are given up for others, where the ends of workers
# have all causes at once.
@fixed_histories
@hypothesis.given(seed=st.integers(0, 2**32))
def test_no_job_is_given_up_for_another(seed: int) -> None:
    play_history(
        seed,
        lambda faults: [
            faults.submit_deadly,
            faults.submit_deadly,
            faults.delay_calls,
            faults.cut_side,
            faults.crash_worker,
            faults.restart_side,
            faults.pause_process,
            faults.replace_owner,
            faults.impair_worker,
        ],
        True,
        False,
    )
