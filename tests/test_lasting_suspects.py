"""Tasks that last, under suspicion of crashing their workers, run on."""

import pytest

from kingcuplever.process.scheduling import model
from tests import pool as pools

JOB = "5c0e7a21d94b36f8"
SERVICE = "00000000000000f1"
WHOLE = "00000000000000f2"
WORKERS = 4
LASTING = pools.step(gpus=1, cpu_milli=4000, long_running=True, estimate_ms=0)


def find_worker(pool: pools.Pool) -> pools.FakeWorker:
    """Return the worker that runs the task."""
    (worker,) = pool.running_tasks(JOB).values()
    return worker


def make_busy_pool(suspect: model.StepSpec) -> pools.Pool:
    """Run a suspect on one worker, and a task that lasts on each other."""
    pool = pools.Pool(workers=WORKERS)
    pool.submit(JOB, pools.spec(suspect, queue="batch"))
    pool.settle()
    # The others come to the other workers.
    first = pool.scheduler.workers[find_worker(pool).name]
    first.quarantine(1.0, pool.now)
    service = LASTING._replace(
        tasks=WORKERS - 1, most_per_worker=1, gpus=2, cpu_milli=16_000
    )
    pool.submit(SERVICE, pools.spec(service, queue="batch"))
    pool.advance_time(3.0)
    workers = {id(fake) for fake in pool.running_tasks(SERVICE).values()}
    assert len(workers | {id(find_worker(pool))}) == WORKERS
    return pool


# Guards against a task that never runs again after one crash: it waited for an
# idle worker, and tasks that last were on each of the others.
@pytest.mark.parametrize("lasts", [True, False])
def test_suspect_runs_beside_tasks_that_last(lasts: bool) -> None:
    suspect = LASTING if lasts else LASTING._replace(long_running=False)
    pool = make_busy_pool(suspect._replace(estimate_ms=60_000))
    whole = pools.step(gpus=8, cpu_milli=100_000, estimate_ms=600_000)
    pool.submit(WHOLE, pools.spec(whole))
    pool.end_worker(find_worker(pool), crashed=True)
    pool.advance_time(0.5)
    assert pool.running_tasks(WHOLE)
    # What runs for ten minutes is worth a wait, unless the suspect lasts.
    pool.advance_time(6.0)
    assert bool(pool.running_tasks(JOB)) is lasts


# The same without a worker that will ever be idle, for a job of any kind.
@pytest.mark.parametrize("lasts", [True, False])
def test_suspect_does_not_wait_for_what_never_ends(lasts: bool) -> None:
    suspect = LASTING if lasts else LASTING._replace(long_running=False)
    pool = make_busy_pool(suspect._replace(estimate_ms=60_000))
    whole = LASTING._replace(gpus=8, cpu_milli=100_000)
    pool.submit(WHOLE, pools.spec(whole))
    pool.end_worker(find_worker(pool), crashed=True)
    pool.advance_time(6.0)
    assert pool.running_tasks(WHOLE)
    assert pool.running_tasks(JOB)


# Room on a worker that will never be idle is not kept for a suspect.
def test_nothing_is_reserved_where_a_task_lasts() -> None:
    pool = make_busy_pool(LASTING)
    whole = LASTING._replace(gpus=8, cpu_milli=100_000)
    pool.submit(WHOLE, pools.spec(whole))
    pool.end_worker(find_worker(pool), crashed=True)
    pool.advance_time(0.5)
    small = pools.step(tasks=3 * (WORKERS - 1), gpus=2, cpu_milli=1000)
    pool.submit("small", pools.spec(small, queue="batch"))
    pool.settle()
    assert len(pool.running_tasks("small")) == 3 * (WORKERS - 1)


# Guards against a job that lasts and is shown as failed, though no run of it
# has ended so: machines under it had crashed for causes of their own.
def test_job_that_lasts_outlives_any_crashes() -> None:
    pool = pools.Pool()
    pool.submit(JOB, pools.spec(LASTING))
    pool.settle()
    for _ in range(5):
        pool.end_worker(find_worker(pool), crashed=True)
        pool.advance_time(8.0)
        assert pool.running_tasks(JOB)
    pool.fail_over()
    pool.advance_time(8.0)
    assert pool.running_tasks(JOB)
    assert pool.get_job_state(JOB) == model.RUNNING


# The same for a job that ends: a run that outlasts the crashes before it shows
# that they were not its own.
def test_run_that_outlasts_its_crashes_is_cleared_of_them() -> None:
    pool = pools.Pool()
    pool.submit(JOB, pools.spec(pools.step(gpus=8, estimate_ms=600_000)))
    pool.settle()
    for at_work_s in (1.0, 6.0, 16.0, 30.0):
        pool.advance_time(at_work_s)
        assert pool.running_tasks(JOB)
        pool.end_worker(find_worker(pool), crashed=True)
        pool.advance_time(8.0)
    pool.advance_time(2.0)
    assert pool.running_tasks(JOB)
    assert pool.get_job_state(JOB) == model.RUNNING
