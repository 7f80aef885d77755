"""An occurrence that waits is not forgotten when a later one has begun."""

import pytest

from kingcuplever.process.scheduling import advice
from kingcuplever.process.scheduling import model
from tests import pool as pools

JOB = "5c0e7a21d94b36f8"
VALID_S = 60.0


def answer_advice(pool: pools.Pool, allowed: dict[str, set[str]]) -> None:
    """Answer the requests; ``allowed`` has the workers of each step."""
    while (request := pool.scheduler.next_advice_request()) is not None:
        names = allowed.get(request.step, {fake.name for fake in pool.workers})
        tickets = {name: "ticket" for name in names}
        reply = advice.AdviceReply(tickets, VALID_S)
        pool.scheduler.apply_advice(request, reply, pool.now)
        pool.settle()


@pytest.fixture
def pool() -> pools.Pool:
    """Return a pool in which occurrence 1 runs, and 0 waits for a worker."""
    pool = pools.Pool(workers=2)
    long_step = pools.step(gpus=8, estimate_ms=60_000)
    pool.submit("long", pools.spec(long_step, queue="batch"))
    pool.settle()
    (busy,) = pool.running_tasks("long").values()
    job = pools.spec(pools.step(), queue="advised")
    job = job._replace(times=2, first_ms=pool.wall_ms, period_ms=100)
    pool.submit(JOB, job)
    for _ in range(8):
        pool.settle()
        answer_advice(pool, {f"{JOB}.0.0": {busy.name}})
    assert {run.task for run in pool.running_tasks(JOB)} == {f"{JOB}.1.0.0"}
    return pool


# Guards against a job that is shown as running for good: a successor took the
# occurrence that had not been placed for one that had ended.
@pytest.mark.parametrize("ends_first", [False, True])
def test_occurrence_that_waits_is_opened_by_the_next_owner(
    pool: pools.Pool, ends_first: bool
) -> None:
    if ends_first:
        pool.end_tasks(JOB, "done")
        pool.settle()
    pool.fail_over()
    pool.end_tasks("long", "done")
    for _ in range(8):
        pool.settle()
        answer_advice(pool, {})
    pool.advance_time(1.0)
    assert f"{JOB}.0.0.0" in {run.task for run in pool.running_tasks(JOB)}
    pool.end_tasks(JOB, "done")
    pool.advance_time(1.0)
    assert pool.get_job_state(JOB) == model.COMPLETED
    assert not pool.running_tasks(JOB)
