"""Workers back under their ids, in the world of sides, workers and owners."""

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from kingcuplever.process.scheduling import fleet
from tests import side_world
from tests import test_side_histories

JOB = "5c0e7a21d94b36f8"
OTHER = "00c0ffee00c0ffee"
LATE_S = 4.0


async def run_short_job(world: side_world.World, job: str = OTHER) -> None:
    """Run a job to its end, which is acknowledged."""
    await trio.sleep(3.0)
    world.submit(job, seconds=1.0)
    with trio.fail_after(20.0):
        while f"{job}.0.0.0" not in world.acked_done:
            await trio.sleep(0.1)


async def lose_start(
    world: side_world.World,
) -> tuple[side_world.Side, fleet.RunId]:
    """Have a start carried out late, without an answer; return which."""
    await trio.sleep(3.0)
    for side in world.sides:
        side.worker.faults["start"] = [side_world.CallFault(LATE_S, True)]
    world.submit(JOB, seconds=10.0)
    with trio.fail_after(10.0):
        while True:
            for side in world.sides:
                for call in side.worker.calls:
                    if call.kind == "start":
                        side.worker.faults["start"] = []
                        return side, call.run
            await trio.sleep(0.01)


# Guards against ends that are dropped since a former life's ends with the same
# numbers were acknowledged, whatever the clock says about which life is newer.
@pytest.mark.parametrize("clock_step_ms", [0, -60_000])
@pytest.mark.parametrize("down_s", [0.0, 2.3])
def test_ends_of_a_restarted_worker_count(
    down_s: float, clock_step_ms: int
) -> None:
    async def scenario(world: side_world.World) -> None:
        await run_short_job(world)
        world.clock_offset_ms = clock_step_ms
        (side,) = world.sides
        if down_s:
            await side.worker.crash(down_s)
        else:
            side.worker.restart()
        await run_short_job(world, JOB)
        assert len(world.find_runs("")) == 0

    side_world.play(scenario, sides=1, keeps_ids=True)


# Guards against a late start that was sent to a former life, and that the
# next one carries out while the task runs elsewhere.
@pytest.mark.parametrize("restarts_side", [False, True])
@pytest.mark.parametrize("takes_over", [False, True])
def test_late_start_to_a_former_life_starts_nothing_twice(
    restarts_side: bool, takes_over: bool
) -> None:
    async def scenario(world: side_world.World) -> None:
        side, _ = await lose_start(world)
        side.worker.restart()
        if restarts_side:
            side.restart()
        if takes_over:
            world.entries[1].claim()
        await trio.sleep(LATE_S + 2.0)
        assert len(world.find_runs(JOB)) == 1
        await trio.sleep(20.0)
        assert f"{JOB}.0.0.0" in world.acked_done

    side_world.play(scenario, keeps_ids=True)


# Guards against the same where two lives have ended before the start arrives:
# it had been prevented at the second one only.
def test_late_start_to_a_life_before_the_former_starts_nothing_twice() -> None:
    async def scenario(world: side_world.World) -> None:
        side, _ = await lose_start(world)
        side.worker.restart()
        await trio.sleep(1.5)
        side.worker.restart()
        await trio.sleep(LATE_S + 2.0)
        assert len(world.find_runs(JOB)) == 1

    side_world.play(scenario, keeps_ids=True)


# Guards against a late registration of a former life that hides the newer
# one, or ends its tasks; also where the side has forgotten which came first.
@pytest.mark.parametrize("restarts_side", [False, True])
def test_late_registration_of_a_former_life_changes_nothing(
    restarts_side: bool,
) -> None:
    async def scenario(world: side_world.World) -> None:
        await run_short_job(world)
        side = world.sides[0]
        former = side.worker.make_registration()
        side.worker.restart()
        await trio.sleep(2.0)
        if restarts_side:
            side.restart()
        world.submit(JOB)
        await world.wait_for_run(JOB)
        for _ in range(5):
            side.agent.register(former)
            await trio.sleep(0.7)
        await trio.sleep(10.0)
        run = fleet.RunId(f"{JOB}.0.0.0", 1)
        assert [*side.worker.current.runs] == [run]

    side_world.play(scenario, sides=1, keeps_ids=True)


# Guards against a late deregistration of a former life, after which the leases
# of its successor's tasks were not renewed.
def test_late_deregistration_of_a_former_life_changes_nothing() -> None:
    async def scenario(world: side_world.World) -> None:
        await run_short_job(world)
        (side,) = world.sides
        side.worker.restart()
        await trio.sleep(2.0)
        world.submit(JOB)
        _, run = await world.wait_for_run(JOB)
        side.agent.deregister(fleet.worker_id_of(side.worker.current.name))
        await trio.sleep(20.0)
        assert run in side.worker.current.runs

    side_world.play(scenario, sides=1, keeps_ids=True)


# Guards against all of it at random: lives that the side sees or does not see
# end, late calls and registrations, restarts of sides, takeovers, clock steps.
@test_side_histories.fixed_histories
@hypothesis.given(seed=st.integers(0, 2**32))
def test_rules_hold_with_workers_back_under_their_ids(seed: int) -> None:
    test_side_histories.play_history(
        seed,
        lambda faults: [
            faults.crash_worker,
            faults.crash_worker,
            faults.delay_calls,
            faults.restart_side,
            faults.replace_owner,
            faults.cut_side,
            faults.impair_worker,
            faults.step_clock,
        ],
        True,
        keeps_ids=True,
    )
