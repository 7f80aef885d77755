"""What a new owner makes of work that its predecessor had begun to change."""

from kingcuplever.process.scheduling import advice
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import maintenance_records
from tests import pool as pools
from tests import test_maintenance as rounds

JOB = "5c0e7a21d94b36f8"


def run_gang_of_two() -> pools.Pool:
    """Run a gang with one member on each of two workers."""
    pool = pools.Pool(workers=2)
    step = pools.step(2, 8, gang=True, estimate_ms=60_000)
    pool.submit(JOB, pools.spec(step))
    pool.settle(10)
    return pool


def fail_member_and_replace_owner(pool: pools.Pool) -> pools.FakeWorker:
    """Let one member fail; return the other's worker.

    Its owner is replaced before it has reached that worker.
    """
    rest, failing = pool.workers
    rest.is_disconnected = True
    failing.end_run(next(iter(failing.running)), "failed")
    pool.settle(2)
    pool.fail_over()
    rest.is_disconnected = False
    return rest


# Guards against a job shown as completed, of which a task failed: the owner
# was replaced between the end of one member and the stop of the other.
def test_new_owner_stops_the_rest_of_a_gang() -> None:
    pool = run_gang_of_two()
    rest = fail_member_and_replace_owner(pool)
    pool.advance_time(1.0)
    for run in [run for run in rest.running if run.run == 1]:
        rest.end_run(run, "done")
    pool.advance_time(1.0)
    assert pool.get_job_state(JOB) == "running"


# Guards against more starts than attempts: the owner was replaced between the
# end of one member as failed, which it had acknowledged, and the other's end.
def test_new_owner_counts_the_failure_of_a_gang() -> None:
    pool = run_gang_of_two()
    for _ in range(pools.NORMAL.most_attempts):
        rest = fail_member_and_replace_owner(pool)
        for run in [*rest.running]:
            rest.end_run(run, "broken")
        pool.advance_time(2.0)
    assert not pool.running_tasks(JOB)
    assert pool.get_job_state(JOB) == "failed"


# Guards against evictions that operators are not shown: an owner counted one
# when it ordered the stop, and no record was due before the run had ended.
def test_each_record_has_the_evictions_so_far() -> None:
    pool = pools.Pool(workers=1, guaranteed={"stable": 8})
    step = pools.step(gpus=8, estimate_ms=60_000)
    pool.submit(JOB, pools.spec(step, queue="batch", account="farrier"))
    pool.settle()
    pool.submit("urgent", pools.spec(step, queue="urgent"))
    for cycle in range(40):
        pool.workers[0].is_disconnected = cycle < 20
        pool.settle(1)
        progress = pool.table.jobs[JOB].progress
        assert progress is not None
        job = pool.scheduler.jobs[JOB]
        assert progress.evictions == job.evictions
    assert job.evictions == 1


# Guards against more hosts down than a round allows: the former owner's call
# for one of them is in doubt, or still to be sent after a suspension, and the
# fencing token of a call for another host does not stop it.
def test_new_owner_first_settles_the_host_in_doubt() -> None:
    pool = pools.Pool(workers=2)
    pool.submit(JOB, pools.spec(pools.step(1, 8, estimate_ms=60_000)))
    pool.settle()
    rounds.order_round(pool, 600.0)
    (in_doubt,) = rounds.run_cycle(pool)
    pool.end_tasks(JOB, "done")
    pool.settle()
    progress = pool.scheduler.maintenance.open_progress()
    pool.append([maintenance_records.encode_progress(p) for p in progress])
    pool.fail_over()
    pool.settle()
    rounds.order_round(pool, 600.0)
    for step in rounds.run_cycle(pool):
        assert step.host == in_doubt.host


# Guards against a job shown as failed that a sound worker would have done:
# each owner started it again on the worker where it had failed before.
def test_new_owner_avoids_the_worker_where_a_task_failed() -> None:
    pool = pools.Pool(workers=2)
    pool.submit(JOB, pools.spec(pools.step()))
    pool.settle()
    (failing,) = pool.running_tasks(JOB).values()
    for _ in range(pools.NORMAL.most_attempts):
        for run in [*failing.running]:
            failing.end_run(run, "failed")
        pool.exchange_reports()
        pool.commit()
        pool.fail_over()
        pool.advance_time(1.0)
    assert pool.get_job_state(JOB) == "running"
    assert failing not in pool.running_tasks(JOB).values()


# The same for a task that stands still: its owner was replaced before its run
# had ended.
def test_new_owner_avoids_the_worker_where_a_task_stalled() -> None:
    pool = pools.Pool(workers=2)
    pool.submit(JOB, pools.spec(pools.step(gpus=8)))
    pool.settle()
    ((run, stalling),) = pool.running_tasks(JOB).items()
    stalling.stalled_runs.add(run)
    for _ in range(100):
        pool.exchange_reports()
        pool.now += 0.1
        pool.scheduler.tick(pool.now, pool.wall_ms)
        if pool.scheduler.workers[stalling.name].pending_stops:
            break
    pool.commit()
    pool.fail_over()
    stalling.end_run(run, "stopped")
    pool.advance_time(1.0)
    assert pool.running_tasks(JOB)
    assert stalling not in pool.running_tasks(JOB).values()


def place_advised_task(pool: pools.Pool) -> set[str]:
    """Record a placement, and replace the owner before it orders the start.

    :return: the workers that the adviser allows.
    """
    allowed = {fake.name for fake in pool.workers}
    pool.submit(JOB, pools.spec(pools.step(), queue="advised"))
    pool.settle()
    request = pool.scheduler.next_advice_request()
    assert request is not None
    tickets = dict.fromkeys(request.workers, "ticket")
    reply = advice.AdviceReply(tickets, 5.0)
    pool.scheduler.apply_advice(request, reply, pool.now)
    pool.scheduler.tick(pool.now, pool.wall_ms)
    batch = pool.scheduler.take_record_batch()
    assert batch is not None
    pool.append([*batch.records])
    pool.fail_over()
    return allowed


# Guards against a start that its worker rejects: a new owner ordered it
# without the ticket that only its predecessor had.
def test_new_owner_starts_an_advised_task_with_a_ticket() -> None:
    pool = pools.Pool()
    allowed = place_advised_task(pool)
    pool.settle(10)
    assert not any(fake.started for fake in pool.workers)
    assert pool.answer_advice_requests(allowed, 5.0) == 1
    ((run, worker),) = pool.running_tasks(JOB).items()
    (order,) = worker.started
    assert (run.run, order.ticket) == (1, f"ticket of {worker.name}")
    assert pool.answer_advice_requests(allowed, 5.0) == 0


# Guards against a task that waits for good for a ticket of a worker that the
# adviser allows no more.
def test_new_owner_gives_up_an_advised_start_that_is_not_allowed() -> None:
    pool = pools.Pool()
    allowed = place_advised_task(pool)
    (placed,) = pool.scheduler.jobs[JOB].groups()
    former = placed.assigned_workers[0]
    pool.settle()
    for _ in range(3):
        pool.answer_advice_requests(allowed - {former}, 60.0)
        pool.advance_time(1.0)
    ((run, worker),) = pool.running_tasks(JOB).items()
    assert (run.run, worker.name != former) == (2, True)


# Guards against work that nobody needs: a task was done by a former run, and a
# new owner let its current run go on.
def test_new_owner_stops_the_run_of_a_task_that_is_done() -> None:
    pool = pools.Pool(workers=2)
    step = pools.step(gpus=8, estimate_ms=60_000)
    pool.submit(JOB, pools.spec(step, pools.step(after=(0,))))
    pool.settle()
    ((run, former),) = pool.running_tasks(JOB).items()
    former.is_disconnected = True
    pool.advance_time(pools.TIMING.lost_after_s + 1)
    (current,) = [fake for fake in pool.workers if fake is not former]
    assert current.running
    former.end_run(run, "done")
    former.is_disconnected, current.is_disconnected = False, True
    pool.settle()
    pool.fail_over()
    current.is_disconnected = False
    pool.advance_time(1.0)
    assert not any(row.task == run.task for row in current.running)


def fail_tasks_of_one_worker(pool: pools.Pool) -> pools.FakeWorker:
    """Let a worker fail tasks until it is quarantined; return it."""
    failing = pool.workers[0]
    pool.submit(JOB, pools.spec(pools.step(tasks=4, gpus=2)))
    pool.settle()
    for run in [*failing.running]:
        failing.end_run(run, "failed")
    pool.exchange_reports()
    pool.commit()
    assert pool.scheduler.workers[failing.name].quarantined_until > pool.now
    return failing


# Guards against a job that uses up its attempts on workers that are known to
# fail all tasks: a new owner took them for sound.
def test_new_owner_keeps_failing_workers_in_quarantine() -> None:
    pool = pools.Pool(workers=2)
    failing = fail_tasks_of_one_worker(pool)
    pool.fail_over()
    pool.submit("new", pools.spec(pools.step(tasks=4)))
    pool.advance_time(2.0)
    assert not failing.running
    pool.advance_time(pool.make_policy().probation_s)
    assert failing.running
    assert pool.table.quarantines == {}


def test_quarantine_of_a_worker_that_is_gone_is_dropped() -> None:
    pool = pools.Pool(workers=2)
    failing = fail_tasks_of_one_worker(pool)
    pool.end_worker(failing, crashed=True)
    pool.fail_over()
    assert pool.table.quarantines
    pool.advance_time(pool.make_policy().probation_s + 1.0)
    pool.submit("new", pools.spec(pools.step()))
    pool.advance_time(1.0)
    assert pool.table.quarantines == {}


def submit_to(
    pool: pools.Pool,
    names: set[str],
    job: str,
    step: model.StepSpec,
) -> None:
    """Submit a job of one step while only some workers take new work."""
    workers = pool.scheduler.workers.values()
    for worker in workers:
        worker.cordoned = worker.name not in names
    pool.submit(job, pools.spec(step))
    pool.settle()
    for worker in workers:
        worker.cordoned = False
    assert {fake.name for fake in pool.running_tasks(job).values()} == names


# Guards against a task that lasts and stays down: it waits for a while for a
# worker of its own, and each new owner let that while begin anew.
def test_wait_of_a_suspect_goes_on_under_a_new_owner() -> None:
    pool = pools.Pool(workers=3)
    first, *others = [fake.name for fake in pool.workers]
    lasting = pools.step(gpus=4, long_running=True)
    submit_to(pool, {first}, JOB, lasting)
    more = lasting._replace(tasks=2, most_per_worker=1)
    submit_to(pool, {*others}, "others", more)
    pool.end_worker(pool.workers[0], crashed=True).is_disconnected = True
    pool.settle()
    assert not pool.running_tasks(JOB)
    for _ in range(3):
        pool.advance_time(3.0)
        pool.fail_over()
    pool.advance_time(1.0)
    assert pool.running_tasks(JOB)


# Guards against work that runs three times as long: a new owner knew that it
# had waited, and not yet the workers that are near its data.
def test_long_wait_does_not_count_before_workers_have_reported() -> None:
    pool = pools.Pool(workers=6)
    full, *near = pool.workers[:3]
    names = {fake.name for fake in near[:1]}
    submit_to(pool, {full.name}, "busy", pools.step(gpus=8))
    step = pools.step(gpus=8, data_rack="r1-0", estimate_ms=60_000)
    submit_to(pool, names, JOB, step)
    for worker in pool.scheduler.workers.values():
        worker.cordoned = True
    pool.end_tasks(JOB, "failed")
    pool.advance_time(3.0)
    assert not pool.running_tasks(JOB)
    for fake in near:
        fake.is_disconnected = True
    pool.fail_over()
    pool.settle()
    assert not pool.running_tasks(JOB)
    for fake in near:
        fake.is_disconnected = False
    pool.settle()
    (placed,) = pool.running_tasks(JOB).values()
    assert placed in near


# Guards against a job at rest for longer with each takeover: the host whose
# crash it waits for never comes back.
def test_absence_of_a_crashed_host_goes_on_under_a_new_owner() -> None:
    pool = pools.Pool(workers=4)
    pool.submit(JOB, pools.spec(pools.step(gpus=8, estimate_ms=60_000)))
    pool.settle()
    for _ in range(3):
        (crashing,) = pool.running_tasks(JOB).values()
        pool.end_worker(crashing, crashed=True).is_disconnected = True
        pool.settle(8)
    assert not pool.running_tasks(JOB)
    for _ in range(5):
        pool.advance_time(5.0)
        pool.fail_over()
    pool.settle(8)
    assert pool.running_tasks(JOB)
