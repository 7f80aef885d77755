"""Loads that cost worth, each as a pattern without any network."""

from tests import pool


def finish_urgent_jobs(running: pool.Pool) -> None:
    """Run two urgent jobs of three tasks, so that more are expected."""
    for name in "12":
        running.submit(name * 16, pool.spec(pool.step(3), queue="urgent"))
        running.settle()
        running.end_tasks(name * 16, "done")
        running.settle()


def test_room_is_kept_while_urgent_work_keeps_coming() -> None:
    """A full pool of batch work, an urgent job every few seconds.

    Without the room each of them had to stop two tasks of others first.
    """
    running = pool.Pool(3)
    batch, names = "b" * 16, iter("12345")
    step = pool.step(90, estimate_ms=600_000)
    running.submit(batch, pool.spec(step, queue="batch"))
    running.settle()
    stopped = []
    for name in names:
        job = name * 16
        running.submit(job, pool.spec(pool.step(2), queue="urgent"))
        running.settle(8)
        assert len(running.running_tasks(job)) == 2
        stopped.append(running.scheduler.jobs[batch].evictions)
        for run, fake in running.running_tasks(job).items():
            fake.end_run(run, "done")
        for _ in range(4):
            run, fake = next(iter(running.running_tasks(batch).items()))
            fake.end_run(run, "done")
            running.advance_time(0.5)
    assert stopped[1] > 0
    assert stopped[2] == stopped[-1]
    # Once none has come for a while, the room is used again.
    running.advance_time(35.0)
    assert len(running.running_tasks(batch)) == 24


def test_successor_does_not_stop_what_is_nearly_done() -> None:
    """An urgent job just after a takeover, in a pool full of batch work.

    To a new owner all work had just begun, so that any of it was cheap to
    stop: a gang after 24 of its 27 seconds.
    """
    running = pool.Pool(2, guaranteed={"stable": 8})
    old, young = "a" * 16, "b" * 16
    step = pool.step(gpus=8, estimate_ms=30_000)
    running.submit(old, pool.spec(step, queue="batch", account="x"))
    running.settle()
    running.advance_time(8.0)
    running.submit(young, pool.spec(step, queue="batch", account="x"))
    running.advance_time(2.0)
    running.fail_over()
    running.submit("u" * 16, pool.spec(pool.step(gpus=8), queue="urgent"))
    # The successor hears of the workers for half a second first, then a stop
    # and a start go round.
    running.advance_time(1.0)
    assert len(running.running_tasks("u" * 16)) == 1
    assert len(running.running_tasks(old)) == 1
    assert not running.running_tasks(young)


def test_successor_knows_how_long_work_still_takes() -> None:
    """A worker leaves just after a takeover; work that can't end moves."""
    running = pool.Pool(2)
    job = "a" * 16
    step = pool.step(gpus=8, estimate_ms=60_000)
    running.submit(job, pool.spec(step))
    running.settle()
    running.advance_time(8.0)
    ((_, before),) = running.running_tasks(job).items()
    running.fail_over()
    before.draining = True
    running.advance_time(1.0)
    ((_, after),) = running.running_tasks(job).items()
    assert after is not before


def test_successor_hears_of_all_workers_before_it_stops_work() -> None:
    """A guaranteed urgent job in the first moments of a new owner.

    One worker had reported, full of long work; the others were idle.  5,957
    core-seconds were stopped for room that was free a moment later.
    """
    running = pool.Pool(3, {"stable": 8})
    first, *others = running.workers
    for fake in others:
        fake.draining = True
    running.settle()
    batch, urgent = "b" * 16, "a" * 16
    step = pool.step(1, gpus=8, estimate_ms=60_000)
    running.submit(batch, pool.spec(step, queue="batch"))
    running.settle()
    assert len(running.running_tasks(batch)) == 1
    for fake in others:
        fake.draining = False
        fake.is_disconnected = True
    running.fail_over()
    running.submit(urgent, pool.spec(pool.step(1, gpus=8), queue="urgent"))
    running.settle()
    assert not first.ended_runs
    for fake in others:
        fake.is_disconnected = False
    running.settle()
    assert len(running.running_tasks(urgent)) == 1
    assert len(running.running_tasks(batch)) == 1
    assert running.scheduler.jobs[batch].evictions == 0


def test_successor_makes_room_once_it_knows_the_workers() -> None:
    """The same job, and no other worker to come."""
    running = pool.Pool(1, {"stable": 8})
    batch, urgent = "b" * 16, "a" * 16
    step = pool.step(1, gpus=8, estimate_ms=60_000)
    running.submit(batch, pool.spec(step, queue="batch"))
    running.settle()
    running.fail_over()
    running.submit(urgent, pool.spec(pool.step(1, gpus=8), queue="urgent"))
    running.advance_time(1.0)
    assert len(running.running_tasks(urgent)) == 1


def test_claim_on_a_worker_that_leaves_is_made_anew_at_once() -> None:
    """A worker drains while room on it is being cleared for urgent work.

    The claim was kept for its three seconds; a job of three seconds waited
    for four and was late.
    """
    running = pool.Pool(2, {"stable": 8})
    batch, urgent = "b" * 16, "a" * 16
    step = pool.step(2, gpus=8, estimate_ms=60_000)
    running.submit(batch, pool.spec(step, queue="batch"))
    running.advance_time(2.0)
    for fake in running.workers:
        fake.delays_orders = True
    running.submit(urgent, pool.spec(pool.step(1, gpus=8), queue="urgent"))
    running.settle()
    (claimed,) = [
        fake
        for fake in running.workers
        if running.scheduler.workers[fake.name].pending_stops
    ]
    claimed.draining = True
    for fake in running.workers:
        fake.delays_orders = False
    running.advance_time(1.0)
    assert len(running.running_tasks(urgent)) == 1


def test_room_that_comes_free_is_kept_for_waiting_urgent_work() -> None:
    """SHORT on phulrenu-kl: batch work took what an urgent gang waited for.

    The pool is full, stopping work for the gang is too dear, and its room
    comes free one worker after another; more batch work waits behind it.
    """
    running = pool.Pool(2)
    batch, urgent = "b" * 16, "a" * 16
    whole = pool.step(6, gpus=8, cpu_milli=100_000, estimate_ms=20_000)
    running.submit(batch, pool.spec(whole, queue="batch"))
    running.advance_time(10.0)
    gang = pool.step(2, gpus=8, gang=True, same_rack=True)
    running.submit(urgent, pool.spec(gang, queue="urgent"))
    for _ in range(2):
        first = next(iter(running.running_tasks(batch)))
        running.running_tasks(batch)[first].end_run(first, "done")
        running.advance_time(1.0)
    assert len(running.running_tasks(urgent)) == 2


def test_room_kept_for_urgent_work_leaves_whole_workers_whole() -> None:
    """LOST on phulrenu-kl: a job of whole workers waited in an idle pool.

    The room for the next urgent job was taken from each worker of a rack in
    turn, so that none of them was whole for half a minute.
    """
    running = pool.Pool(3)
    finish_urgent_jobs(running)
    batch = "b" * 16
    whole = pool.step(2, gpus=8, estimate_ms=60_000)
    running.submit(batch, pool.spec(whole, queue="batch"))
    running.settle()
    assert len(running.running_tasks(batch)) == 2


def test_room_kept_for_urgent_work_is_where_least_is_free() -> None:
    """The same in a pool that is more than half full."""
    running = pool.Pool(3)
    for name, gpus in (("x", 8), ("y", 5)):
        step = pool.step(1, gpus=gpus, estimate_ms=60_000)
        running.submit(name * 16, pool.spec(step, queue="batch"))
    finish_urgent_jobs(running)
    batch = "b" * 16
    whole = pool.step(1, gpus=8, estimate_ms=60_000)
    running.submit(batch, pool.spec(whole, queue="batch"))
    running.settle()
    assert len(running.running_tasks(batch)) == 1


def test_successor_places_urgent_work_before_what_can_wait() -> None:
    """SHORT on phulrenu-kl: after a restart batch work took every worker.

    Workers come to a new owner one by one.  Each was given to batch work at
    once, and an urgent gang that needs two had to have it stopped again.
    """
    running = pool.Pool(2, {"stable": 16})
    for fake in running.workers:
        fake.is_disconnected = True
    running.fail_over()
    batch, urgent = "b" * 16, "a" * 16
    whole = pool.step(2, gpus=8, estimate_ms=60_000)
    running.submit(batch, pool.spec(whole, queue="batch"))
    gang = pool.step(2, gpus=8, gang=True, same_rack=True)
    running.submit(urgent, pool.spec(gang, queue="urgent"))
    for fake in running.workers:
        fake.is_disconnected = False
        running.settle(2)
    assert len(running.running_tasks(urgent)) == 2
    assert not running.running_tasks(batch)
    assert running.scheduler.jobs[batch].evictions == 0


def test_successor_places_what_can_wait_if_nothing_is_urgent() -> None:
    """The same without the gang: no worker stays idle for its sake."""
    running = pool.Pool(3)
    running.fail_over()
    batch = "b" * 16
    running.submit(batch, pool.spec(pool.step(3, gpus=8), queue="batch"))
    running.settle(2)
    assert len(running.running_tasks(batch)) == 3


def test_urgent_gang_waits_for_its_rack_where_that_is_done_sooner() -> None:
    """SHORT on phulrenu-kl: a gang spanned racks just before one was free.

    It had waited for as long as one run takes, and then took three times as
    long: 17.3 s, so that its job earned nothing.
    """
    running = pool.Pool(6)
    short, urgent = "b" * 16, "a" * 16
    whole = pool.step(6, gpus=8, cpu_milli=100_000, estimate_ms=10_000)
    running.submit(short, pool.spec(whole, queue="batch"))
    running.settle()
    running.advance_time(4.0)
    gang = pool.step(2, gpus=8, gang=True, same_rack=True, estimate_ms=3000)
    running.submit(urgent, pool.spec(gang, queue="urgent"))
    running.advance_time(4.0)
    for number in (0, 3):
        fake = running.workers[number]
        fake.end_run(next(iter(fake.running)), "done")
    running.advance_time(0.5)
    assert not running.running_tasks(urgent)
    fake = running.workers[1]
    fake.end_run(next(iter(fake.running)), "done")
    running.advance_time(0.5)
    racks = {fake.rack for fake in running.running_tasks(urgent).values()}
    assert racks == {running.workers[0].rack}


def test_room_for_an_urgent_gang_leaves_no_half_of_the_pool_idle() -> None:
    """A gang that needs most of a pool waits for work that runs for long.

    Room is kept for it, but not while half of the pool is free: what can
    wait would have nothing running beside idle workers.
    """
    running = pool.Pool(5)
    old, urgent, batch = "o" * 16, "a" * 16, "b" * 16
    whole = pool.step(2, gpus=8, cpu_milli=100_000, estimate_ms=60_000)
    running.submit(old, pool.spec(whole, queue="batch"))
    running.advance_time(10.0)
    gang = pool.step(4, gpus=8, gang=True)
    running.submit(urgent, pool.spec(gang, queue="urgent"))
    running.settle()
    assert not running.running_tasks(urgent)
    running.submit(batch, pool.spec(whole, queue="batch"))
    running.settle()
    assert len(running.running_tasks(batch)) >= 1
