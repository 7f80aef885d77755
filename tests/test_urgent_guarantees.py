"""Tests of urgent work whose account has no guarantee."""

import pytest

from kingcuplever.process.scheduling import model
from tests import pool as pools

GUARANTEED = {"stable": 8}
UNLISTED = "an account that is not listed"


@pytest.fixture
def pool() -> pools.Pool:
    """Return a pool of three workers and one account with a guarantee."""
    return pools.Pool(guaranteed=GUARANTEED)


def submit_without_gpus(pool: pools.Pool, name: str, cpu_milli: int) -> None:
    """Submit an urgent job without accelerators, of an unlisted account."""
    step = pools.step(gpus=0, cpu_milli=cpu_milli)
    pool.submit(name, pools.spec(step, queue="urgent", account=UNLISTED))


# An owner ended with KeyError, and so did each of its successors.
def test_group_of_an_unlisted_account_ends_no_owner(pool: pools.Pool) -> None:
    submit_without_gpus(pool, "public", 500)
    pool.settle()
    assert pool.running_tasks("public")
    batch = pools.step(tasks=24, cpu_milli=1_000)
    pool.submit("batch", pools.spec(batch, queue="batch"))
    pool.settle()
    pool.submit("urgent", pools.spec(pools.step(), queue="urgent"))
    pool.settle()
    pool.fail_over()
    pool.advance_time(4.0)
    assert pool.running_tasks("public")
    assert pool.running_tasks("urgent")


# The same from the other side: the account was listed when the job came.
def test_group_of_a_dropped_account_ends_no_owner(pool: pools.Pool) -> None:
    step = pools.step(gpus=0, cpu_milli=500)
    pool.submit("dropped", pools.spec(step, queue="urgent"))
    pool.settle()
    pool.guaranteed = {"farrier": 8}
    pool.fail_over()
    batch = pools.step(tasks=24, cpu_milli=1_000)
    pool.submit("batch", pools.spec(batch, queue="batch"))
    pool.advance_time(3.0)
    urgent = pools.spec(pools.step(), queue="urgent", account="farrier")
    pool.submit("urgent", urgent)
    pool.advance_time(3.0)
    assert pool.running_tasks("dropped")
    assert pool.running_tasks("urgent")


# Nothing guaranteed covered everything without accelerators: such a group
# stopped other urgent work, whatever was lost.
def test_group_of_an_unlisted_account_stops_no_urgent_work(
    pool: pools.Pool,
) -> None:
    step = pools.step(tasks=3, gpus=1, cpu_milli=127_000)
    urgent = pools.spec(step, queue="urgent", account="another one")
    pool.submit("urgent", urgent)
    pool.settle()
    assert len(pool.running_tasks("urgent")) == 3
    submit_without_gpus(pool, "public", 2_000)
    pool.advance_time(4.0)
    assert len(pool.running_tasks("urgent")) == 3
    assert not pool.running_tasks("public")


# A group without accelerators is within any guarantee that is stated.
def test_group_without_gpus_reclaims_for_a_listed_account(
    pool: pools.Pool,
) -> None:
    batch = pools.step(tasks=3, cpu_milli=127_000, estimate_ms=600_000)
    pool.submit("batch", pools.spec(batch, queue="batch", account=UNLISTED))
    pool.advance_time(30.0)
    step = pools.step(gpus=0, cpu_milli=2_000)
    pool.submit("urgent", pools.spec(step, queue="urgent"))
    pool.advance_time(4.0)
    assert pool.running_tasks("urgent")
    assert pool.get_job_state("batch") == model.RUNNING
