"""What an owner knows of runs that nobody lists, and from when on."""

import trio

from tests import side_world
from tests import test_side_histories as histories

# Silence of a side before its owner is replaced.
SILENT_S = 20.0
# A takeover, a placement, and what orders and answers take.
SLACK_S = 5.0


async def lose_side(world: side_world.World) -> None:
    """Let a job's worker and side go for good, without a sign."""
    side = await histories.place_one_job(world)
    histories.cut_from_entries(world, side, histories.LONG_S)
    side.worker.current.crash()


async def check_next_start(
    world: side_world.World, silent_since: float
) -> None:
    """Check that the job starts elsewhere once the silence is long enough."""
    await histories.wait_until(lambda: bool(world.find_runs(histories.JOB)))
    waited_s = trio.current_time() - silent_since
    assert waited_s < histories.SILENCE_S + SLACK_S


# Guards against a job that stands still for the whole silence of its side
# once more after a takeover, though the former owner knew of the silence:
# the users saw a gang wait for 34 s while most workers were free (LOST).
def test_takeover_does_not_count_a_silence_anew() -> None:
    async def scenario(world: side_world.World) -> None:
        await lose_side(world)
        silent_since = trio.current_time()
        await trio.sleep(SILENT_S)
        former, successor = world.entries
        former.process.kill()
        successor.claim()
        await check_next_start(world, silent_since)

    side_world.play(scenario)


# Guards against the same after a time without any owner, in which no side
# was permitted to go on: the store was away (LOST).
def test_silence_counts_from_the_end_of_the_former_owner() -> None:
    async def scenario(world: side_world.World) -> None:
        await lose_side(world)
        former, successor = world.entries
        former.process.kill()
        silent_since = trio.current_time()
        await trio.sleep(SILENT_S)
        successor.claim()
        await check_next_start(world, silent_since)

    side_world.play(scenario)
