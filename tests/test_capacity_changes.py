"""Workers whose room shrinks and grows again while they run."""

import pytest
import trio

from kingcuplever.process.agent import worker_agent
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model
from tests import pool as pools
from tests import test_worker_agent

JOB = "5c0e7a21d94b36f8"
OTHER = "00000000000000f1"
SMALL = pools.WORKER_CAPACITY._replace(gpus=2)


def run_on(worker: pools.FakeWorker) -> set[str]:
    """Return the tasks that run on a worker."""
    return {run.task for run in worker.running}


# Guards against a worker over its room: what runs there stays, and nothing
# joins it until the room has grown again.
def test_shrunk_worker_gets_no_work_until_it_grows() -> None:
    pool = pools.Pool(workers=1)
    (worker,) = pool.workers
    pool.submit(JOB, pools.spec(pools.step(1, 4, estimate_ms=60_000)))
    pool.settle()
    worker.capacity = SMALL
    pool.settle()
    pool.submit(OTHER, pools.spec(pools.step(1, 1)))
    pool.advance_time(3.0)
    assert run_on(worker) == {f"{JOB}.0.0.0"}
    worker.capacity = pools.WORKER_CAPACITY
    pool.settle(8)
    assert run_on(worker) == {f"{JOB}.0.0.0", f"{OTHER}.0.0.0"}


# Guards against a start that is carried out after the room for it has gone:
# its worker left the order unanswered for a while.
def test_unconfirmed_start_is_withdrawn_when_its_worker_shrinks() -> None:
    pool = pools.Pool(workers=1)
    (fake,) = pool.workers
    fake.delays_orders = True
    pool.submit(JOB, pools.spec(pools.step(1, 4)))
    pool.settle()
    fake.capacity = SMALL
    pool.settle()
    worker = pool.scheduler.workers[fake.name]
    assert not worker.pending_starts
    assert worker.pending_stops
    fake.apply_delayed_starts(stops_first=True)
    pool.settle(8)
    assert not run_on(fake)
    fake.capacity = pools.WORKER_CAPACITY
    pool.advance_time(1.0)
    assert run_on(fake) == {f"{JOB}.0.0.0"}


# Guards against the withdrawal of more starts than the room has lost.
def test_start_that_still_fits_is_kept_when_its_worker_shrinks() -> None:
    pool = pools.Pool(workers=1)
    (fake,) = pool.workers
    fake.delays_orders = True
    for name in (JOB, OTHER):
        pool.submit(name, pools.spec(pools.step(1, 2)))
        pool.settle()
    fake.capacity = SMALL
    pool.settle()
    worker = pool.scheduler.workers[fake.name]
    assert [run.task for run in worker.pending_starts] == [f"{JOB}.0.0.0"]


# Guards against a start that was decided before its worker has shrunk and is
# ordered afterwards.
def test_start_is_not_ordered_once_its_worker_has_shrunk() -> None:
    pool = pools.Pool(workers=1)
    (fake,) = pool.workers
    pool.submit(JOB, pools.spec(pools.step(1, 4)))
    pool.scheduler.tick(pool.now, pool.wall_ms)
    fake.capacity = SMALL
    pool.exchange_reports()
    pool.commit()
    assert not pool.scheduler.workers[fake.name].pending_starts


# Guards against a start that a side without its owner tries until the room
# for it has gone.
@test_worker_agent.with_worker_agent
async def test_side_tries_no_start_on_a_shrunk_worker(
    agent: worker_agent.WorkerAgent, fake: test_worker_agent.FakeExecutor
) -> None:
    fake.unanswered_starts = 100
    agent.apply_orders(test_worker_agent.make_orders(1, 1))
    await trio.sleep(0.5)
    changed = agent.changed
    registration = test_worker_agent.make_registration(sequence=2)
    agent.register(registration._replace(capacity=SMALL))
    assert changed.is_set()
    await trio.sleep(0.3)
    fake.calls.clear()
    await trio.sleep(2.0)
    assert not [call for call in fake.calls if call.startswith("start")]
    (report,) = agent.make_reports()
    assert (report.gpus, report.orders) == (SMALL.gpus, 0)


# Guards against room that is counted by what a worker had before.
@pytest.mark.parametrize("gpus", [0, 2, 6])
def test_free_resources_follow_the_capacity(gpus: int) -> None:
    pool = pools.Pool(workers=1)
    (fake,) = pool.workers
    pool.submit(JOB, pools.spec(pools.step(1, 4, estimate_ms=60_000)))
    pool.settle()
    fake.capacity = fake.capacity._replace(gpus=gpus)
    pool.settle()
    worker: fleet.Worker = pool.scheduler.workers[fake.name]
    request = model.Resources(10_000, 1000, 4)
    assert worker.free == fake.capacity.subtract(request)
