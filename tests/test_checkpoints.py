"""Tests of checkpoints on the log, which survive the loss of all hosts."""

import pytest

from kingcuplever.process.scheduling import checkpoint_selector
from kingcuplever.process.scheduling import job_state
from tests import pool as pools

LONG = {"estimate_ms": 14_000, "checkpointing": True, "gpus": 8}


@pytest.fixture
def pool() -> pools.Pool:
    """Return a pool of three workers that make checkpoints."""
    pool = pools.Pool()
    for fake in pool.workers:
        fake.makes_checkpoints = True
    return pool


def restart_all_hosts(pool: pools.Pool) -> None:
    """Restart all hosts: new incarnations, and an owner that reads the log."""
    pool.workers = [
        pools.FakeWorker(f"j-{number}", fake.side, fake.rack, pool.events)
        for number, fake in enumerate(pool.workers)
    ]
    pool.fail_over()
    pool.advance_time(2.0)


def list_persisted_checkpoints(pool: pools.Pool, name: str) -> list[str]:
    """Return the checkpoints of a job that are on the log."""
    progress = pool.table.jobs[name].progress
    return [] if progress is None else [row.saved for row in progress.groups]


def test_tasks_resume_from_their_checkpoints_after_a_power_loss(
    pool: pools.Pool,
) -> None:
    # Guards against the loss of all running work with the power: it was the
    # largest loss on days that end without power, 5,068 of the 5,068
    # core-seconds thrown away.
    pool.submit("j1", pools.spec(pools.step(tasks=2, **LONG)))
    pool.advance_time(5.0)
    newest = {
        int(task.checkpoint.split()[1])
        for fake in pool.workers
        for task in fake.running.values()
    }
    restart_all_hosts(pool)
    restarts = [order for fake in pool.workers for order in fake.started]
    assert len(restarts) == 2
    for order in restarts:
        # Only the progress of one period, a few reports, may be lost.
        assert min(newest) - int(order.checkpoint.split()[1]) <= 10


def test_largest_loss_is_persisted_first_in_few_records(
    pool: pools.Pool,
) -> None:
    small = pools.step(tasks=4, cpu_milli=100, gpus=0, checkpointing=True)
    pool.submit("small", pools.spec(small))
    pool.submit("large", pools.spec(pools.step(tasks=2, **LONG)))
    pool.settle()
    before = pool.offset
    pool.advance_time(7.0)
    # Small tasks have only the checkpoint in the record of their start.
    assert set(list_persisted_checkpoints(pool, "small")) == {"at 1"}
    assert not {"", "at 1"} & {*list_persisted_checkpoints(pool, "large")}
    assert pool.offset - before <= 10 + 1


def test_checkpoints_of_many_jobs_stay_within_the_write_limit() -> None:
    pool = pools.Pool(workers=24)
    for fake in pool.workers:
        fake.makes_checkpoints = True
    for number in range(8):
        step = pools.step(tasks=20, checkpointing=True, estimate_ms=60_000)
        pool.submit(f"j{number}", pools.spec(step))
    pool.advance_time(2.0)
    before = pool.offset
    started_at = pool.now
    pool.advance_time(14.0)
    groups = (pool.offset - before) * 20
    periods = (pool.now - started_at) / checkpoint_selector._PERIOD_S
    assert 0 < groups <= checkpoint_selector._GROUPS_PER_PERIOD * (periods + 1)
    # Every job gets its turn.
    for number in range(8):
        assert "at 1" not in list_persisted_checkpoints(pool, f"j{number}")


def test_persisted_checkpoint_is_not_written_again(
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


def test_gang_restarts_as_a_whole_from_one_checkpoint(
    pool: pools.Pool,
) -> None:
    step = pools.step(tasks=3, gang=True, **LONG)
    pool.submit("j1", pools.spec(step))
    pool.advance_time(5.0)
    restart_all_hosts(pool)
    restarts = [order for fake in pool.workers for order in fake.started]
    assert len(restarts) == 3
    assert len({order.checkpoint for order in restarts}) == 1
    assert restarts[0].checkpoint
    group = pool.scheduler.jobs["j1"].groups()[0]
    assert group.phase == job_state.ASSIGNED
