"""Tasks that crash each worker that starts them, and work beside them."""

import pytest
import trio

from kingcuplever.process.scheduling import model
from tests import side_world

DEADLY = "5c0e7a21d94b36f8"
OTHER = "00000000000000f1"
# Longer than the crashes of a deadly task until it is given up.
LONG_S = 40.0


def get_state(world: side_world.World, job: str) -> str:
    """Return a job's state as callers see it."""
    term = next(e.term for e in world.entries if e.term is not None)
    return term._table.jobs[job].state


# Guards against a task that crashes worker after worker without an end.
@pytest.mark.parametrize("gpus", [8, 1])
def test_deadly_task_is_given_up(gpus: int) -> None:
    async def scenario(world: side_world.World) -> None:
        await trio.sleep(3.0)
        world.submit(OTHER, tasks=4, gpus=1, seconds=20.0)
        await trio.sleep(3.0)
        world.deadly.add(DEADLY)
        world.submit(DEADLY, gpus=gpus)
        await trio.sleep(LONG_S)
        assert get_state(world, DEADLY) == model.FAILED
        assert get_state(world, OTHER) != model.FAILED

    side_world.play(scenario)


# Guards against a count of crashes that is lost with the owner: another entry
# takes over at each crash.
def test_deadly_task_is_given_up_across_takeovers() -> None:
    async def scenario(world: side_world.World) -> None:
        await trio.sleep(3.0)
        world.deadly.add(DEADLY)
        world.submit(DEADLY)
        crashes = 0
        with trio.move_on_after(2 * LONG_S):
            while True:
                await trio.sleep(0.05)
                if sum(world.crashes.values()) > crashes:
                    crashes += 1
                    standby = next(e for e in world.entries if e.term is None)
                    standby.claim()
        assert get_state(world, DEADLY) == model.FAILED

    side_world.play(scenario)
