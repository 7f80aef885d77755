"""Regression tests of patterns of load that delayed or stopped work.

Each guards against a loss that was seen in a run, and reproduces it with fake
workers and no network.
"""

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import headroom
from tests import pool as pools


def finish_urgent_jobs(pool: pools.Pool) -> None:
    """Run two urgent jobs of three tasks, so that headroom is kept."""
    for name in "12":
        pool.submit(name * 16, pools.spec(pools.step(3), queue="urgent"))
        pool.settle()
        pool.end_tasks(name * 16, "done")
        pool.settle()


def test_headroom_is_kept_while_urgent_jobs_keep_arriving() -> None:
    """Guards against a preemption for each of a sequence of urgent jobs.

    The pool is full of batch work, and an urgent job arrives every few
    seconds.  Without headroom each of them had to stop two other tasks first.
    """
    pool = pools.Pool(3)
    batch, names = "b" * 16, iter("12345")
    step = pools.step(90, estimate_ms=600_000)
    pool.submit(batch, pools.spec(step, queue="batch"))
    pool.settle()
    evictions = []
    for name in names:
        job = name * 16
        pool.submit(job, pools.spec(pools.step(2), queue="urgent"))
        pool.settle(8)
        assert len(pool.running_tasks(job)) == 2
        evictions.append(pool.scheduler.jobs[batch].evictions)
        for run, fake in pool.running_tasks(job).items():
            fake.end_run(run, "done")
        for _ in range(4):
            run, fake = next(iter(pool.running_tasks(batch).items()))
            fake.end_run(run, "done")
            pool.advance_time(0.5)
    assert evictions[1] > 0
    assert evictions[2] == evictions[-1]
    # Batch work uses the headroom again after a time without urgent jobs.
    pool.advance_time(35.0)
    assert len(pool.running_tasks(batch)) == 24


def test_new_owner_does_not_stop_work_that_is_nearly_done() -> None:
    """Guards against a new owner that stops work which is nearly done.

    An urgent job arrives just after a failover, in a pool full of batch work.
    The new owner took all work for just started, and so for cheap to stop; it
    stopped a gang after 24 of its 27 seconds.
    """
    pool = pools.Pool(2, guaranteed={"stable": 8})
    old, young = "a" * 16, "b" * 16
    step = pools.step(gpus=8, estimate_ms=30_000)
    pool.submit(old, pools.spec(step, queue="batch", account="x"))
    pool.settle()
    pool.advance_time(8.0)
    pool.submit(young, pools.spec(step, queue="batch", account="x"))
    pool.advance_time(2.0)
    pool.fail_over()
    pool.submit("u" * 16, pools.spec(pools.step(gpus=8), queue="urgent"))
    # The new owner waits until no new worker has reported for half a second;
    # then a stop and a start follow.
    pool.advance_time(1.0)
    assert len(pool.running_tasks("u" * 16)) == 1
    assert len(pool.running_tasks(old)) == 1
    assert not pool.running_tasks(young)


def test_new_owner_knows_the_remaining_time_of_running_work() -> None:
    """Check that a draining worker is evacuated just after a failover.

    The task on it can't end before the worker leaves, so that it must move.
    """
    pool = pools.Pool(2)
    job = "a" * 16
    step = pools.step(gpus=8, estimate_ms=60_000)
    pool.submit(job, pools.spec(step))
    pool.settle()
    pool.advance_time(8.0)
    ((_, before),) = pool.running_tasks(job).items()
    pool.fail_over()
    before.draining = True
    pool.advance_time(1.0)
    ((_, after),) = pool.running_tasks(job).items()
    assert after is not before


def test_new_owner_stops_no_work_before_all_workers_report() -> None:
    """Guards against needless preemption just after a failover.

    A guaranteed urgent job arrived when only one worker had reported, which
    was full of long work; the others were idle.  The new owner stopped 5,957
    core-seconds of work for capacity that was free a moment later.
    """
    pool = pools.Pool(3, {"stable": 8})
    busy, *others = pool.workers
    for fake in others:
        fake.draining = True
    pool.settle()
    batch, urgent = "b" * 16, "a" * 16
    step = pools.step(1, gpus=8, estimate_ms=60_000)
    pool.submit(batch, pools.spec(step, queue="batch"))
    pool.settle()
    assert len(pool.running_tasks(batch)) == 1
    for fake in others:
        fake.draining = False
        fake.is_disconnected = True
    pool.fail_over()
    pool.submit(urgent, pools.spec(pools.step(1, gpus=8), queue="urgent"))
    pool.settle()
    assert not busy.ended_runs
    for fake in others:
        fake.is_disconnected = False
    pool.settle()
    assert len(pool.running_tasks(urgent)) == 1
    assert len(pool.running_tasks(batch)) == 1
    assert pool.scheduler.jobs[batch].evictions == 0


def test_new_owner_preempts_once_it_knows_the_workers() -> None:
    """Check that a new owner preempts if no other worker reports.

    The case is that of a guaranteed urgent job just after a failover.
    """
    pool = pools.Pool(1, {"stable": 8})
    batch, urgent = "b" * 16, "a" * 16
    step = pools.step(1, gpus=8, estimate_ms=60_000)
    pool.submit(batch, pools.spec(step, queue="batch"))
    pool.settle()
    pool.fail_over()
    pool.submit(urgent, pools.spec(pools.step(1, gpus=8), queue="urgent"))
    pool.advance_time(1.0)
    assert len(pool.running_tasks(urgent)) == 1


def test_preemption_on_a_draining_worker_is_replaced_at_once() -> None:
    """Guards against a preemption that stays open on a draining worker.

    The worker begins to drain while work on it is stopped for an urgent job.
    The preemption stayed open until its timeout of three seconds, so that a
    job of three seconds waited for four and was late.
    """
    pool = pools.Pool(2, {"stable": 8})
    batch, urgent = "b" * 16, "a" * 16
    step = pools.step(2, gpus=8, estimate_ms=60_000)
    pool.submit(batch, pools.spec(step, queue="batch"))
    pool.advance_time(2.0)
    for fake in pool.workers:
        fake.delays_orders = True
    pool.submit(urgent, pools.spec(pools.step(1, gpus=8), queue="urgent"))
    pool.settle()
    (preempted,) = [
        fake
        for fake in pool.workers
        if pool.scheduler.workers[fake.name].pending_stops
    ]
    preempted.draining = True
    for fake in pool.workers:
        fake.delays_orders = False
    pool.advance_time(1.0)
    assert len(pool.running_tasks(urgent)) == 1


def test_freed_capacity_is_kept_for_a_waiting_urgent_gang() -> None:
    """Guards against batch work that starves a waiting urgent gang.

    The pool is full, preempting work for the gang costs too much, and workers
    come free one after another; batch work that waits behind the gang took
    them.  Found as SHORT in a run on phulrenu-kl.
    """
    pool = pools.Pool(2)
    batch, urgent = "b" * 16, "a" * 16
    whole_worker = pools.step(6, gpus=8, cpu_milli=100_000, estimate_ms=20_000)
    pool.submit(batch, pools.spec(whole_worker, queue="batch"))
    pool.advance_time(10.0)
    gang = pools.step(2, gpus=8, gang=True, same_rack=True)
    pool.submit(urgent, pools.spec(gang, queue="urgent"))
    for _ in range(2):
        first = next(iter(pool.running_tasks(batch)))
        pool.running_tasks(batch)[first].end_run(first, "done")
        pool.advance_time(1.0)
    assert len(pool.running_tasks(urgent)) == 2


def test_headroom_does_not_fragment_idle_workers() -> None:
    """Guards against headroom that fragments an idle pool.

    The headroom for the next urgent job was taken from each worker of a rack
    in turn.  No worker was free as a whole for half a minute, and a job that
    needs whole workers waited.  Found as LOST in a run on phulrenu-kl.
    """
    pool = pools.Pool(3)
    finish_urgent_jobs(pool)
    batch = "b" * 16
    whole_worker = pools.step(2, gpus=8, estimate_ms=60_000)
    pool.submit(batch, pools.spec(whole_worker, queue="batch"))
    pool.settle()
    assert len(pool.running_tasks(batch)) == 2


def test_headroom_is_on_the_workers_with_least_free_capacity() -> None:
    """Check that headroom leaves a worker whole in a pool over half full."""
    pool = pools.Pool(3)
    for name, gpus in (("x", 8), ("y", 5)):
        step = pools.step(1, gpus=gpus, estimate_ms=60_000)
        pool.submit(name * 16, pools.spec(step, queue="batch"))
    finish_urgent_jobs(pool)
    batch = "b" * 16
    whole_worker = pools.step(1, gpus=8, estimate_ms=60_000)
    pool.submit(batch, pools.spec(whole_worker, queue="batch"))
    pool.settle()
    assert len(pool.running_tasks(batch)) == 1


def test_new_owner_places_urgent_work_before_batch_work() -> None:
    """Guards against batch work that takes every worker after a restart.

    Workers report to a new owner one by one.  Each got batch work at once,
    which had to be stopped again for an urgent gang that needs two workers.
    Found as SHORT in a run on phulrenu-kl.
    """
    pool = pools.Pool(2, {"stable": 16})
    for fake in pool.workers:
        fake.is_disconnected = True
    pool.fail_over()
    batch, urgent = "b" * 16, "a" * 16
    whole_worker = pools.step(2, gpus=8, estimate_ms=60_000)
    pool.submit(batch, pools.spec(whole_worker, queue="batch"))
    gang = pools.step(2, gpus=8, gang=True, same_rack=True)
    pool.submit(urgent, pools.spec(gang, queue="urgent"))
    for fake in pool.workers:
        fake.is_disconnected = False
        pool.settle(2)
    assert len(pool.running_tasks(urgent)) == 2
    assert not pool.running_tasks(batch)
    assert pool.scheduler.jobs[batch].evictions == 0


def test_new_owner_places_batch_work_if_nothing_is_urgent() -> None:
    """Check that no worker stays idle after a failover without urgent work."""
    pool = pools.Pool(3)
    pool.fail_over()
    batch = "b" * 16
    pool.submit(batch, pools.spec(pools.step(3, gpus=8), queue="batch"))
    pool.settle(2)
    assert len(pool.running_tasks(batch)) == 3


def test_urgent_gang_waits_for_its_rack_if_it_ends_sooner_there() -> None:
    """Guards against a gang that spans racks just before one comes free.

    It had waited for as long as one run takes, and then took three times as
    long across racks: 17.3 s, so that its job earned nothing.  Found as SHORT
    in a run on phulrenu-kl.
    """
    pool = pools.Pool(6)
    short, urgent = "b" * 16, "a" * 16
    whole_worker = pools.step(6, gpus=8, cpu_milli=100_000, estimate_ms=10_000)
    pool.submit(short, pools.spec(whole_worker, queue="batch"))
    pool.settle()
    pool.advance_time(4.0)
    gang = pools.step(2, gpus=8, gang=True, same_rack=True, estimate_ms=3000)
    pool.submit(urgent, pools.spec(gang, queue="urgent"))
    pool.advance_time(4.0)
    for number in (0, 3):
        fake = pool.workers[number]
        fake.end_run(next(iter(fake.running)), "done")
    pool.advance_time(0.5)
    assert not pool.running_tasks(urgent)
    fake = pool.workers[1]
    fake.end_run(next(iter(fake.running)), "done")
    pool.advance_time(0.5)
    racks = {fake.rack for fake in pool.running_tasks(urgent).values()}
    assert racks == {pool.workers[0].rack}


def test_reserve_for_an_urgent_gang_does_not_idle_half_of_the_pool() -> None:
    """Guards against a reserve that leaves half of the pool idle.

    An urgent gang that needs most of a pool waits for long-running work.
    Capacity is reserved for it, but not while half of the pool is free, so
    that batch work does not wait beside idle workers.
    """
    pool = pools.Pool(5)
    old, urgent, batch = "o" * 16, "a" * 16, "b" * 16
    whole_worker = pools.step(2, gpus=8, cpu_milli=100_000, estimate_ms=60_000)
    pool.submit(old, pools.spec(whole_worker, queue="batch"))
    pool.advance_time(10.0)
    gang = pools.step(4, gpus=8, gang=True)
    pool.submit(urgent, pools.spec(gang, queue="urgent"))
    pool.settle()
    assert not pool.running_tasks(urgent)
    pool.submit(batch, pools.spec(whole_worker, queue="batch"))
    pool.settle()
    assert len(pool.running_tasks(batch)) >= 1


def test_urgent_work_is_stopped_for_urgent_work_last() -> None:
    """Guards against urgent jobs of two accounts that stop one another.

    An urgent job has other work stopped for it and starts.  A second later a
    guaranteed one of another account arrives.  The first had least work to
    lose, so it was stopped: twice the work was lost, and both were late.
    """
    pool = pools.Pool(3, guaranteed={"stable": 8})
    step = pools.step(gpus=8, estimate_ms=60_000)
    for name in "abc":
        pool.submit(name * 16, pools.spec(step, queue="batch", account="y"))
    pool.advance_time(2.0)
    first, second = "1" * 16, "2" * 16
    pool.submit(first, pools.spec(step, queue="urgent", account="x"))
    pool.advance_time(1.0)
    assert len(pool.running_tasks(first)) == 1
    pool.submit(second, pools.spec(step, queue="urgent"))
    pool.advance_time(1.0)
    assert len(pool.running_tasks(second)) == 1
    assert len(pool.running_tasks(first)) == 1
    assert pool.scheduler.jobs[first].evictions == 0


def test_guaranteed_work_stops_urgent_work_if_nothing_else_will_do() -> None:
    """Check that a guarantee is met where only urgent work could make room."""
    pool = pools.Pool(1, guaranteed={"stable": 8})
    step = pools.step(gpus=8, estimate_ms=60_000)
    pool.submit("1" * 16, pools.spec(step, queue="urgent", account="x"))
    pool.advance_time(1.0)
    pool.submit("2" * 16, pools.spec(step, queue="urgent"))
    pool.advance_time(1.0)
    assert len(pool.running_tasks("2" * 16)) == 1
    assert not pool.running_tasks("1" * 16)


def test_gang_is_slow_sooner_than_it_stops_urgent_work() -> None:
    """Guards against a gang that stops urgent work to be in one rack.

    Three of the four workers are in one rack; one of those has urgent work,
    the others batch work.
    """
    pool = pools.Pool(4, guaranteed={"z": 24})
    step = pools.step(gpus=8, estimate_ms=60_000)
    pool.submit("1" * 16, pools.spec(step, queue="urgent", account="x"))
    pool.settle()
    for name in "abc":
        pool.submit(name * 16, pools.spec(step, queue="batch", account="y"))
    pool.advance_time(1.0)
    (near,) = pool.running_tasks("1" * 16).values()
    assert near.rack == "r1-0"
    gang = pools.step(3, gpus=8, gang=True, same_rack=True)
    pool.submit("2" * 16, pools.spec(gang, queue="urgent", account="z"))
    pool.advance_time(6.0)
    assert len(pool.running_tasks("2" * 16)) == 3
    assert pool.scheduler.jobs["1" * 16].evictions == 0


def count_kept_gpus(interval_s: float, arrivals: int) -> int:
    """Count the accelerators kept after urgent jobs of two came evenly.

    The pool has 16 workers, and one accelerator in four is free.
    """
    urgent = headroom.Headroom()
    workers = []
    for number in range(16):
        worker = fleet.Worker(f"i-{number}@s-{number}", 0.0)
        worker.labels = ("a", f"r1-{number // 4}")
        worker.capacity = pools.WORKER_CAPACITY
        worker.free = pools.WORKER_CAPACITY._replace(gpus=2)
        workers.append(worker)
    now = 0.0
    for _ in range(arrivals):
        now += interval_s
        urgent.record_arrival("desk", pools.step(gpus=1), 2, now)
    free = {worker.name: worker.free for worker in workers}
    urgent.reserve("desk", workers, free, 0.125, now)
    return 32 - sum(resources.gpus for resources in free.values())


def test_headroom_grows_with_the_rate_of_urgent_jobs() -> None:
    """Guards against a preemption for each of several urgent jobs a second.

    A preemption takes about a second.  With room for one job, all that came
    within it stopped other work.
    """
    assert count_kept_gpus(5.0, 6) == 2
    assert count_kept_gpus(0.4, 30) == 6
    # An eighth of the pool's accelerators at most.
    assert count_kept_gpus(0.05, 100) == 16
