"""Histories of sides, workers and owners, with late calls and standstills."""

from collections.abc import Awaitable
from collections.abc import Callable

import pytest
import trio

from kingcuplever.process.scheduling import fleet
from tests import side_hosts
from tests import side_world

JOB = "5c0e7a21d94b36f8"
FILLER = "00000000000000f1"
# Longer than any timeout of the product.
LONG_S = 60.0

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
        await trio.sleep(45.0)

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
        await trio.sleep(40.0)

    side_world.play(scenario)


# Guards against a start that an owner has given up: its order waited in the
# socket of a side that stood still, and the side was cut off afterwards.
@pytest.mark.parametrize("suspends", [False, True])
def test_order_read_after_a_standstill_starts_nothing(suspends: bool) -> None:
    async def scenario(world: World) -> None:
        side = await fill_one_side(world)
        side.process.pause(25.0, suspends)
        world.submit(JOB)
        await trio.sleep(2.0)
        cut_from_entries(world, side, LONG_S)
        world.cancel(FILLER)
        await trio.sleep(50.0)

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
    pause = side_hosts.Pause(25.0, True)
    world.network.pauses_after_send[side.name] = pause
    await trio.sleep(2.0)
    side.worker.faults["start"] = []
    cut_from_entries(world, side, LONG_S)
    world.cancel(FILLER)
    await trio.sleep(50.0)


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
    await trio.sleep(40.0)


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
    await trio.sleep(50.0)


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
    world.entries[0].process.pause(20.5)
    await trio.sleep(5.0)
    side.restart()
    await trio.sleep(40.0)
