"""Checkpoints that outlive all hosts: a day that ends without power."""

import pytest

from kingcuplever.process.scheduling import checkpoint_selector
from kingcuplever.process.scheduling import job_state
from tests import pool as pools

LONG = {"estimate_ms": 14_000, "checkpointing": True, "gpus": 8}


@pytest.fixture
def pool() -> pools.Pool:
    """Give three workers that make checkpoints, with an owner."""
    made = pools.Pool()
    for fake in made.workers:
        fake.makes_checkpoints = True
    return made


def lose_power(pool: pools.Pool) -> None:
    """All hosts lose power; new lives come, another owner reads the log."""
    pool.workers = [
        pools.FakeWorker(f"j-{number}", fake.side, fake.rack, pool.events)
        for number, fake in enumerate(pool.workers)
    ]
    pool.fail_over()
    pool.advance_time(2.0)


def kept_of(pool: pools.Pool, name: str) -> list[str]:
    """Give the checkpoints that the log has of a job."""
    progress = pool.table.jobs[name].progress
    return [] if progress is None else [row.saved for row in progress.groups]


def test_work_goes_on_from_its_checkpoint_after_a_loss_of_power(
    pool: pools.Pool,
) -> None:
    # The heaviest loss on the days that end without power: 5,068 of 5,068
    # core-seconds thrown away were running when it came.
    pool.submit("j1", pools.spec(pools.step(tasks=2, **LONG)))
    pool.advance_time(5.0)
    newest = {
        int(task.checkpoint.split()[1])
        for fake in pool.workers
        for task in fake.running.values()
    }
    lose_power(pool)
    again = [order for fake in pool.workers for order in fake.started]
    assert len(again) == 2
    for order in again:
        # At most one period's progress, a few of the lists, is lost.
        assert min(newest) - int(order.checkpoint.split()[1]) <= 10


def test_few_records_are_written_and_the_largest_stake_first(
    pool: pools.Pool,
) -> None:
    small = pools.step(tasks=4, cpu_milli=100, gpus=0, checkpointing=True)
    pool.submit("small", pools.spec(small))
    pool.submit("large", pools.spec(pools.step(tasks=2, **LONG)))
    pool.settle()
    before = pool.offset
    pool.advance_time(7.0)
    # What came with the record of their start, and no more.
    assert set(kept_of(pool, "small")) == {"at 1"}
    assert not {"", "at 1"} & {*kept_of(pool, "large")}
    assert pool.offset - before <= 10 + 1


def test_many_jobs_write_no_more_than_their_share() -> None:
    pool = pools.Pool(workers=24)
    for fake in pool.workers:
        fake.makes_checkpoints = True
    for number in range(8):
        step = pools.step(tasks=20, checkpointing=True, estimate_ms=60_000)
        pool.submit(f"j{number}", pools.spec(step))
    pool.advance_time(2.0)
    before = pool.offset
    began_at = pool.now
    pool.advance_time(14.0)
    groups = (pool.offset - before) * 20
    periods = (pool.now - began_at) / checkpoint_selector._PERIOD_S
    assert 0 < groups <= checkpoint_selector._GROUPS_PER_PERIOD * (periods + 1)
    # None is left out for good.
    for number in range(8):
        assert "at 1" not in kept_of(pool, f"j{number}")


def test_checkpoint_that_the_log_has_is_not_written_again(
    pool: pools.Pool,
) -> None:
    pool.submit("j1", pools.spec(pools.step(tasks=1, **LONG)))
    pool.advance_time(3.0)
    for fake in pool.workers:
        fake.stalled_runs |= {*fake.running}
    pool.advance_time(1.0)
    before = pool.offset
    pool.advance_time(1.0)
    assert pool.offset == before


def test_gang_restarts_as_one_from_one_checkpoint(pool: pools.Pool) -> None:
    step = pools.step(tasks=3, gang=True, **LONG)
    pool.submit("j1", pools.spec(step))
    pool.advance_time(5.0)
    lose_power(pool)
    again = [order for fake in pool.workers for order in fake.started]
    assert len(again) == 3
    assert len({order.checkpoint for order in again}) == 1
    assert again[0].checkpoint
    group = pool.scheduler.jobs["j1"].groups()[0]
    assert group.phase == job_state.ASSIGNED
