"""Queues whose policy is asked, and filling tasks that give way."""

import pytest

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import pacing
from tests import pool as pools


@pytest.fixture
def pool() -> pools.Pool:
    """Give three workers of one rack, with an owner."""
    return pools.Pool()


def test_step_runs_only_where_it_has_leave(pool: pools.Pool) -> None:
    allowed = pool.workers[1]
    pool.submit("j1", pools.spec(pools.step(tasks=3), queue="advised"))
    pool.settle()
    assert not pool.running_tasks("j1")
    assert pool.answer_advice_requests({allowed.name}, 5.0) == 1
    assert set(pool.running_tasks("j1").values()) == {allowed}
    tickets = {order.ticket for order in allowed.started}
    assert tickets == {f"ticket of {allowed.name}"}


def test_refused_workers_are_not_asked_for_again(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(), queue="advised"))
    pool.settle()
    assert pool.answer_advice_requests(set(), 5.0) == 1
    pool.advance_time(5.0)
    assert pool.answer_advice_requests(set(), 5.0) == 0
    assert not pool.running_tasks("j1")


def test_ticket_that_ran_out_is_asked_for_again(pool: pools.Pool) -> None:
    names = {fake.name for fake in pool.workers}
    pool.submit("j1", pools.spec(pools.step(), queue="advised"))
    pool.settle()
    pool.answer_advice_requests(names, 2.0)
    assert pool.running_tasks("j1")
    pool.advance_time(3.0)
    pool.end_tasks("j1", "failed")
    pool.settle()
    assert not pool.running_tasks("j1")
    assert pool.answer_advice_requests(names, 2.0) == 1
    assert pool.running_tasks("j1")


def test_question_without_answer_is_asked_again(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(), queue="advised"))
    pool.settle()
    question = pool.scheduler.next_advice_request()
    assert question is not None
    assert pool.scheduler.next_advice_request() is None
    pool.scheduler.apply_advice(question, None, pool.now)
    pool.settle()
    names = {fake.name for fake in pool.workers}
    assert pool.answer_advice_requests(names, 5.0) == 1
    assert pool.running_tasks("j1")


def test_filler_gives_way_and_comes_back() -> None:
    slow = [pacing.ServingTask(190, 200)]
    calm = [pacing.ServingTask(50, 200)]
    percent = pacing.FULL_PERCENT
    seen = []
    for serving in [slow] * 3 + [calm] * 20:
        percent = pacing.choose_percent(percent, serving)
        seen.append(percent)
    assert seen[:3] == [50, 25, 12]
    assert seen[-1] == pacing.FULL_PERCENT
    assert pacing.choose_percent(40, [pacing.ServingTask(130, 200)]) == 40


def test_filler_is_paced_while_a_serving_task_is_too_slow(
    pool: pools.Pool,
) -> None:
    serving = pools.step(long_running=True, target_ms=200, gpus=0)
    filling = pools.step(long_running=True, fills=True, gpus=0)
    for fake in pool.workers[1:]:
        fake.draining = True
    pool.settle()
    pool.submit("serve", pools.spec(serving))
    pool.submit("fill", pools.spec(filling))
    pool.settle()
    (serving_run,) = pool.running_tasks("serve")
    (filling_run,) = pool.running_tasks("fill")
    worker = pool.workers[0]
    _set_usage(worker, serving_run, 400)
    pool.advance_time(3.0)
    known = pool.scheduler.workers[worker.name]
    assert known.paces[filling_run] <= 25
    _set_usage(worker, serving_run, 40)
    pool.advance_time(12.0)
    assert (
        known.paces.get(filling_run, pacing.FULL_PERCENT)
        == pacing.FULL_PERCENT
    )


def test_filler_takes_no_processor_of_a_full_worker(
    pool: pools.Pool,
) -> None:
    full = pools.step(tasks=3, cpu_milli=128_000, long_running=True, gpus=0)
    filling = pools.step(fills=True, cpu_milli=20_000, gpus=0)
    pool.submit("serve", pools.spec(full))
    pool.submit("fill", pools.spec(filling))
    pool.settle()
    assert len(pool.running_tasks("serve")) == 3
    assert len(pool.running_tasks("fill")) == 1


def _set_usage(worker: pools.FakeWorker, run: fleet.RunId, usage: int) -> None:
    worker.running[run] = worker.running[run]._replace(usage=usage)
