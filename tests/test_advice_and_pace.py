"""Tests of advice for queues, and of the pace of filling tasks."""

import pytest

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import pacing
from tests import pool as pools


@pytest.fixture
def pool() -> pools.Pool:
    """Return a pool of three workers in one rack."""
    return pools.Pool()


def test_step_runs_only_on_workers_with_a_ticket(pool: pools.Pool) -> None:
    allowed = pool.workers[1]
    pool.submit("j1", pools.spec(pools.step(tasks=3), queue="advised"))
    pool.settle()
    assert not pool.running_tasks("j1")
    assert pool.answer_advice_requests({allowed.name}, 5.0) == 1
    assert set(pool.running_tasks("j1").values()) == {allowed}
    tickets = {order.ticket for order in allowed.started}
    assert tickets == {f"ticket of {allowed.name}"}


def test_refused_workers_are_not_requested_again(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(), queue="advised"))
    pool.settle()
    assert pool.answer_advice_requests(set(), 5.0) == 1
    pool.advance_time(5.0)
    assert pool.answer_advice_requests(set(), 5.0) == 0
    assert not pool.running_tasks("j1")


def test_expired_ticket_is_requested_again(pool: pools.Pool) -> None:
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


def test_failed_advice_request_is_repeated(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(), queue="advised"))
    pool.settle()
    request = pool.scheduler.next_advice_request()
    assert request is not None
    assert pool.scheduler.next_advice_request() is None
    pool.scheduler.apply_advice(request, None, pool.now)
    pool.settle()
    names = {fake.name for fake in pool.workers}
    assert pool.answer_advice_requests(names, 5.0) == 1
    assert pool.running_tasks("j1")


def test_pace_drops_under_slow_serving_and_recovers() -> None:
    slow = [pacing.ServingTask(190, 200)]
    fast = [pacing.ServingTask(50, 200)]
    percent = pacing.FULL_PERCENT
    paces = []
    for serving in [slow] * 3 + [fast] * 20:
        percent = pacing.choose_percent(percent, serving)
        paces.append(percent)
    assert paces[:3] == [50, 25, 12]
    assert paces[-1] == pacing.FULL_PERCENT
    assert pacing.choose_percent(40, [pacing.ServingTask(130, 200)]) == 40


def slow_filling_task(
    pool: pools.Pool,
) -> tuple[pools.FakeWorker, fleet.RunId, fleet.RunId]:
    """Have a filling task slowed down beside a serving one.

    :return: their worker, the serving and the filling run.
    """
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
    assert worker.paces[filling_run] <= 25
    return worker, serving_run, filling_run


def test_filling_task_is_paced_while_a_serving_task_is_too_slow(
    pool: pools.Pool,
) -> None:
    worker, serving_run, filling_run = slow_filling_task(pool)
    _set_usage(worker, serving_run, 40)
    pool.advance_time(12.0)
    assert worker.paces[filling_run] == pacing.FULL_PERCENT


# Guards against a task that stands still for good: a new owner took it for
# one at full pace, and gave no order.
@pytest.mark.parametrize("still_serves", [False, True])
def test_new_owner_restores_the_pace_that_its_predecessor_lowered(
    pool: pools.Pool, still_serves: bool
) -> None:
    worker, serving_run, filling_run = slow_filling_task(pool)
    _set_usage(worker, serving_run, 40)
    if not still_serves:
        pool.cancel("serve")
    pool.fail_over()
    pool.advance_time(12.0)
    assert worker.paces[filling_run] == pacing.FULL_PERCENT


# Guards against a serving task that is disturbed again at each takeover: a
# slowed task's pace is read from what it uses, and raised with care.
def test_new_owner_goes_on_at_the_pace_that_reports_show(
    pool: pools.Pool,
) -> None:
    worker, serving_run, filling_run = slow_filling_task(pool)
    _set_usage(worker, serving_run, 120)
    _set_usage(worker, filling_run, 2000)
    pool.fail_over()
    pool.settle()
    assert worker.paces[filling_run] == 20
    pool.advance_time(2.0)
    assert worker.paces[filling_run] in (30, 40)
    _set_usage(worker, serving_run, 180)
    pool.advance_time(1.0)
    _set_usage(worker, serving_run, 120)
    percent = worker.paces[filling_run]
    assert percent <= 20
    pool.advance_time(6.0)
    assert worker.paces[filling_run] == percent


# Guards against a task that stays slow beside a serving one that is neither
# slow nor fast: it was at full pace, and has just started or uses little.
def test_new_owner_leaves_a_task_at_the_pace_that_does_no_harm(
    pool: pools.Pool,
) -> None:
    worker, serving_run, filling_run = slow_filling_task(pool)
    _set_usage(worker, serving_run, 40)
    pool.advance_time(12.0)
    _set_usage(worker, serving_run, 120)
    _set_usage(worker, filling_run, 0)
    pool.fail_over()
    pool.advance_time(12.0)
    assert worker.paces[filling_run] == pacing.FULL_PERCENT


# Guards against a task that stays slow: the order for its full pace was
# replaced by one that left it out, before its side had it.
def test_full_pace_stays_ordered(pool: pools.Pool) -> None:
    worker, serving_run, filling_run = slow_filling_task(pool)
    _set_usage(worker, serving_run, 40)
    pool.advance_time(12.0)
    tracked = pool.scheduler.workers[worker.name]
    assert tracked.paces == {filling_run: pacing.FULL_PERCENT}


def test_filling_task_gets_no_cpu_of_a_full_worker(
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
