"""Tests of the scheduler: jobs, steps and gangs from acceptance to end."""

import pytest

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model
from tests import pool as pools


@pytest.fixture
def pool() -> pools.Pool:
    """Return a pool of three workers in one rack."""
    return pools.Pool()


def test_job_of_one_task_runs_and_is_shown_completed(
    pool: pools.Pool,
) -> None:
    pool.submit("j1", pools.spec(pools.step()))
    pool.settle()
    assert pool.get_job_state("j1") == model.RUNNING
    pool.end_tasks("j1", "done")
    pool.settle()
    assert pool.get_job_state("j1") == model.COMPLETED


def test_start_order_is_sent_only_after_its_record(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step()))
    pool.scheduler.tick(pool.now, pool.wall_ms)
    batch = pool.scheduler.take_record_batch()
    assert batch is not None
    pool.exchange_reports()
    assert not pool.running_tasks("j1")
    pool.append([*batch.records])
    pool.scheduler.confirm_commit(batch.number)
    pool.exchange_reports()
    assert pool.running_tasks("j1")


def test_end_is_acknowledged_after_its_record(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step()))
    pool.settle()
    (worker,) = pool.running_tasks("j1").values()
    pool.end_tasks("j1", "done")
    pool.exchange_reports()
    tracked = pool.scheduler.workers[worker.name]
    assert tracked.acked == 0
    batch = pool.scheduler.take_record_batch()
    assert batch is not None
    assert tracked.acked == 0
    pool.append([*batch.records])
    pool.scheduler.confirm_commit(batch.number)
    assert tracked.acked == 1


def test_step_waits_for_all_tasks_of_the_earlier_step(
    pool: pools.Pool,
) -> None:
    later = pools.step(after=(0,))
    pool.submit("j1", pools.spec(pools.step(tasks=2), later))
    pool.settle()
    first, second = pool.running_tasks("j1").items()
    first[1].end_run(first[0], "done")
    pool.settle()
    assert set(pool.running_tasks("j1")) == {second[0]}
    second[1].end_run(second[0], "done")
    pool.settle()
    assert {run.task for run in pool.running_tasks("j1")} == {"j1.0.1.0"}


def test_gang_is_placed_whole_or_not_at_all(pool: pools.Pool) -> None:
    gang = pools.step(tasks=4, gpus=8, gang=True)
    pool.submit("j1", pools.spec(gang))
    pool.advance_time(3.0)
    assert not pool.running_tasks("j1")
    pool.workers.append(pools.FakeWorker("i-9", "side-9", "r1-1"))
    pool.settle()
    runs = pool.running_tasks("j1")
    assert len(runs) == 4
    assert {run.run for run in runs} == {1}


def test_one_done_member_ends_the_gang(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(tasks=2, gpus=8, gang=True)))
    pool.settle()
    run, worker = next(iter(pool.running_tasks("j1").items()))
    worker.end_run(run, "done")
    pool.settle()
    assert pool.get_job_state("j1") == model.COMPLETED
    allocations = [
        w.allocations for w in pool.scheduler.workers.values() if w.allocations
    ]
    assert len(allocations) == 1


def test_lost_worker_with_two_members_of_a_gang_ends_their_run(
    pool: pools.Pool,
) -> None:
    # Guards against a crash of the owner: it ordered the second member to
    # stop on a worker that it had just removed.
    pool.submit("j1", pools.spec(pools.step(tasks=3, gpus=4, gang=True)))
    pool.settle()
    lost = max(pool.workers, key=lambda fake: len(fake.running))
    assert len(lost.running) == 2
    index = pool.workers.index(lost)
    pool.workers[index] = pools.FakeWorker("i-new", lost.side, lost.rack)
    pool.advance_time(1.0)
    assert {run.run for run in pool.running_tasks("j1")} == {2}
    assert len(pool.running_tasks("j1")) == 3


def test_failed_gang_runs_again_as_a_whole(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(tasks=2, gpus=8, gang=True)))
    pool.settle()
    (run, worker), (other, its_worker) = pool.running_tasks("j1").items()
    worker.end_run(run, "failed")
    its_worker.end_run(other, "broken")
    pool.advance_time(1.0)
    assert [r.run for r in pool.running_tasks("j1")] == [2, 2]


def test_job_fails_after_its_last_attempt(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step()))
    for _ in range(pools.NORMAL.most_attempts):
        assert pool.get_job_state("j1") != model.FAILED
        pool.advance_time(1.0)
        pool.end_tasks("j1", "failed")
        pool.settle()
    assert pool.get_job_state("j1") == model.FAILED
    pool.advance_time(1.0)
    assert not pool.running_tasks("j1")


def test_job_of_a_removed_queue_keeps_its_attempt_limit(
    pool: pools.Pool,
) -> None:
    job = pools.spec(pools.step())._replace(queue="gone", most_attempts=2)
    pool.submit("j1", job)
    for _ in range(2):
        pool.advance_time(1.0)
        assert pool.running_tasks("j1")
        pool.end_tasks("j1", "failed")
        pool.settle()
    assert pool.get_job_state("j1") == model.FAILED
    pool.advance_time(1.0)
    assert not pool.running_tasks("j1")


def test_checkpoint_is_given_to_the_next_run(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(checkpointing=True)))
    pool.settle()
    pool.end_tasks("j1", "stopped", "00000bb8")
    pool.advance_time(1.0)
    orders = [order for fake in pool.workers for order in fake.started]
    assert [order.checkpoint for order in orders] == ["", "00000bb8"]


def test_cancelled_job_is_stopped(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(tasks=5)))
    pool.settle()
    pool.cancel("j1")
    assert pool.get_job_state("j1") == model.CANCELLED
    pool.settle()
    assert not pool.running_tasks("j1")
    assert all(not w.allocations for w in pool.scheduler.workers.values())


# Guards against work that waits beside idle workers for a rack that could not
# take it: its workers have left, or there are too few of them.
@pytest.mark.parametrize(
    "step",
    [
        pools.step(data_rack="r9-9", estimate_ms=60_000),
        pools.step(
            4, 8, gang=True, same_rack=True, estimate_ms=60_000, cpu_milli=1
        ),
    ],
)
def test_no_wait_for_a_rack_that_can_not_take_the_work(
    step: model.StepSpec,
) -> None:
    pool = pools.Pool(6)
    pool.submit("j1", pools.spec(step))
    pool.settle()
    assert len(pool.running_tasks("j1")) == step.tasks


# Guards against work that leaves its rack at once, as that is only busy.
def test_work_waits_for_a_rack_that_is_busy() -> None:
    pool = pools.Pool(6)
    pool.submit("j1", pools.spec(pools.step(3, 8, data_rack="r1-0")))
    pool.settle()
    local = pools.step(1, 8, data_rack="r1-0", estimate_ms=60_000)
    pool.submit("j2", pools.spec(local))
    pool.settle()
    assert not pool.running_tasks("j2")


def make_spread_pool() -> pools.Pool:
    """Return a pool of three racks with a small task in each."""
    pool = pools.Pool(9)
    for number in range(3):
        small = pools.step(data_rack=f"r1-{number}", estimate_ms=90_000)
        pool.submit(f"small-{number}", pools.spec(small))
    pool.settle()
    return pool


GANG_OF_A_RACK = pools.step(
    3, 8, gang=True, same_rack=True, estimate_ms=60_000
)
TASK_OF_A_RACK = pools.step(data_rack="r1-0", gpus=8, estimate_ms=60_000)


# Guards against a job that does nothing for as long as it will run, beside
# idle workers, as each rack that could take it has some other work (LOST).
def test_job_at_rest_does_not_wait_long_beside_idle_workers() -> None:
    pool = make_spread_pool()
    pool.submit("j1", pools.spec(GANG_OF_A_RACK))
    pool.advance_time(1.0)
    assert not pool.running_tasks("j1")
    pool.advance_time(1.8)
    assert len(pool.running_tasks("j1")) == 3


# The same for a single task; the others of its job wait for their rack.
def test_one_task_of_a_job_leaves_a_busy_rack() -> None:
    pool = pools.Pool(9)
    pool.submit("local", pools.spec(TASK_OF_A_RACK._replace(tasks=3)))
    pool.settle()
    pool.submit("j1", pools.spec(TASK_OF_A_RACK._replace(tasks=3)))
    pool.advance_time(1.0)
    assert not pool.running_tasks("j1")
    pool.advance_time(4.0)
    assert len(pool.running_tasks("j1")) == 1


# Guards against the next step of a job that was cancelled while the end of its
# last task was on its way (UNASKED).
def test_cancelled_job_begins_no_further_step(pool: pools.Pool) -> None:
    later = pools.step(tasks=3, after=(0,))
    pool.submit("j1", pools.spec(pools.step(), later))
    pool.settle()
    pool.end_tasks("j1", "done")
    pool.cancel("j1")
    pool.settle(8)
    assert not pool.running_tasks("j1")
    started = [order.task for fake in pool.workers for order in fake.started]
    assert started == ["j1.0.0.0"]


# Guards against a successor that starts the tasks of a job whose cancelling
# its predecessor had recorded, and leaves them running (UNASKED).
def test_successor_stops_the_runs_of_a_cancelled_job(
    pool: pools.Pool,
) -> None:
    pool.submit("j1", pools.spec(pools.step()))
    for fake in pool.workers:
        fake.is_disconnected = True
    pool.settle()
    pool.cancel("j1")
    pool.settle()
    pool.fail_over()
    for fake in pool.workers:
        fake.is_disconnected = False
    pool.settle(8)
    assert not any(fake.started for fake in pool.workers)
    assert all(not w.allocations for w in pool.scheduler.workers.values())


def test_new_owner_does_not_rerun_tasks_of_silent_workers(
    pool: pools.Pool,
) -> None:
    pool.submit("j1", pools.spec(pools.step(tasks=2)))
    pool.settle()
    before = set(pool.running_tasks("j1"))
    for fake in pool.workers:
        fake.is_disconnected = True
    pool.fail_over()
    pool.advance_time(5.0)
    for fake in pool.workers:
        fake.is_disconnected = False
    pool.advance_time(2.0)
    assert set(pool.running_tasks("j1")) == before
    pool.end_tasks("j1", "done")
    pool.settle()
    assert pool.get_job_state("j1") == model.COMPLETED


def test_silent_worker_is_lost_only_after_its_leases_expire(
    pool: pools.Pool,
) -> None:
    pool.submit("j1", pools.spec(pools.step()))
    pool.settle()
    ((_, worker),) = pool.running_tasks("j1").items()
    worker.is_disconnected = True
    pool.advance_time(pools.TIMING.lost_after_s - 2)
    assert len(pool.running_tasks("j1")) == 1
    pool.advance_time(4.0)
    assert {run.run for run in pool.running_tasks("j1")} == {1, 2}


def test_draining_worker_gets_no_new_task(pool: pools.Pool) -> None:
    for fake in pool.workers[1:]:
        fake.draining = True
    pool.settle()
    pool.submit("j1", pools.spec(pools.step(tasks=12)))
    pool.settle()
    assert set(pool.running_tasks("j1").values()) == {pool.workers[0]}
    assert len(pool.running_tasks("j1")) == 8


def test_task_that_ends_in_time_stays_on_a_draining_worker(
    pool: pools.Pool,
) -> None:
    # The estimate is two minutes, but it is at 90 % after 9 s, and the
    # worker leaves in 4 s.
    pool.submit("j1", pools.spec(pools.step(estimate_ms=120_000)))
    pool.settle()
    ((run, worker),) = pool.running_tasks("j1").items()
    pool.advance_time(9.0)
    _set_percent(pool, run, 90)
    worker.draining = True
    pool.advance_time(0.5)
    assert set(pool.running_tasks("j1")) == {run}


def test_task_that_can_not_end_in_time_leaves_a_draining_worker(
    pool: pools.Pool,
) -> None:
    # The estimate is one second, but it is at 20 % after 9 s.
    pool.submit("j1", pools.spec(pools.step(estimate_ms=1000)))
    pool.settle()
    ((run, worker),) = pool.running_tasks("j1").items()
    worker.stalled_runs.add(run)
    for percent in (5, 10, 15, 20):
        pool.advance_time(1.2)
        _set_percent(pool, run, percent)
    worker.draining = True
    pool.advance_time(1.0)
    assert not worker.running
    assert pool.running_tasks("j1")


def test_worker_is_never_overcommitted(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(tasks=30, cpu_milli=52_000)))
    pool.settle()
    assert len(pool.running_tasks("j1")) == 6
    pool.end_tasks("j1", "done")
    pool.settle()
    assert len(pool.running_tasks("j1")) == 6


def test_most_per_worker_limits_the_tasks_on_a_worker(
    pool: pools.Pool,
) -> None:
    pool.submit("j1", pools.spec(pools.step(tasks=6, most_per_worker=1)))
    pool.settle()
    assert sorted(len(fake.running) for fake in pool.workers) == [1, 1, 1]


def test_step_runs_only_on_workers_with_its_label(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(label="b")))
    pool.submit("j2", pools.spec(pools.step(label="a")))
    pool.settle()
    assert not pool.running_tasks("j1")
    assert pool.running_tasks("j2")


def test_occurrences_run_when_they_are_due(pool: pools.Pool) -> None:
    due = pool.wall_ms + 1000
    pool.submit(
        "j1",
        pools.spec(pools.step(), times=2, first_ms=due, period_ms=2000),
    )
    pool.settle()
    assert not pool.running_tasks("j1")
    pool.advance_time(1.5)
    assert {run.task for run in pool.running_tasks("j1")} == {"j1.0.0.0"}
    pool.end_tasks("j1", "done")
    pool.advance_time(2.0)
    assert {run.task for run in pool.running_tasks("j1")} == {"j1.1.0.0"}
    pool.end_tasks("j1", "done")
    pool.settle()
    assert pool.get_job_state("j1") == model.COMPLETED


def test_long_running_task_is_always_restarted(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(long_running=True)))
    for outcome in ("done", "failed", "failed", "failed", "lapsed"):
        pool.advance_time(1.0)
        assert len(pool.running_tasks("j1")) == 1
        pool.end_tasks("j1", outcome)
    pool.advance_time(1.0)
    assert pool.get_job_state("j1") == model.RUNNING
    assert len(pool.running_tasks("j1")) == 1


def test_unknown_run_is_stopped(pool: pools.Pool) -> None:
    unknown = fleet.RunId("feedfeed.0.0.0", 4)
    row = fleet.RunningTask(*unknown, "", 0, 0)
    pool.workers[0].running[unknown] = row
    pool.settle()
    assert not pool.workers[0].running
    tracked = pool.scheduler.workers[pool.workers[0].name]
    assert not tracked.pending_stops


def _set_percent(pool: pools.Pool, run: fleet.RunId, percent: int) -> None:
    for fake in pool.workers:
        if run in fake.running:
            row = fake.running[run]._replace(percent=percent)
            fake.running[run] = row


def test_waiting_member_of_a_gang_does_not_count_as_stalled(
    pool: pools.Pool,
) -> None:
    # Members run at their workers' speeds; one that is ready waits for the
    # others and makes no progress.
    pool.submit("j1", pools.spec(pools.step(tasks=2, gpus=8, gang=True)))
    pool.settle()
    fast, slow = pool.running_tasks("j1")
    _set_percent(pool, fast, 100)
    pool.running_tasks("j1")[fast].stalled_runs.add(fast)
    pool.advance_time(6.0)
    assert set(pool.running_tasks("j1")) == {fast, slow}


def test_gang_with_a_stalled_member_is_restarted(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(tasks=2, gpus=8, gang=True)))
    pool.settle()
    _, stalled = pool.running_tasks("j1")
    its_worker = pool.running_tasks("j1")[stalled]
    its_worker.stalled_runs.add(stalled)
    pool.advance_time(4.0)
    assert {run.run for run in pool.running_tasks("j1")} == {2}
    assert not its_worker.running


def test_guaranteed_urgent_job_reclaims_capacity_at_once() -> None:
    pool = pools.Pool(guaranteed={"farrier": 8})
    pool.submit("b1", pools.spec(pools.step(tasks=24), queue="batch"))
    pool.settle()
    assert len(pool.running_tasks("b1")) == 24
    gang = pools.step(tasks=1, gpus=8, gang=True)
    pool.submit("u1", pools.spec(gang, queue="urgent", account="farrier"))
    pool.advance_time(1.0)
    assert len(pool.running_tasks("u1")) == 1
    assert len(pool.running_tasks("b1")) == 16


def test_reclaim_spares_guarantees_of_other_accounts() -> None:
    pool = pools.Pool(guaranteed={"farrier": 8, "vet": 8})
    pool.submit("b1", pools.spec(pools.step(tasks=16), queue="batch"))
    whole_worker = pools.step(gpus=8)
    pool.settle()
    pool.submit("v1", pools.spec(whole_worker, queue="urgent", account="vet"))
    pool.settle()
    vet_runs = set(pool.running_tasks("v1"))
    assert vet_runs
    pool.submit(
        "u1", pools.spec(whole_worker, queue="urgent", account="farrier")
    )
    pool.advance_time(1.0)
    assert len(pool.running_tasks("u1")) == 1
    assert set(pool.running_tasks("v1")) == vet_runs


def test_nothing_is_reclaimed_beyond_a_guarantee() -> None:
    pool = pools.Pool(guaranteed={"farrier": 8})
    pool.submit("b1", pools.spec(pools.step(tasks=24), queue="batch"))
    pool.settle()
    pool.advance_time(6.0)
    whole_worker = pools.step(tasks=2, gpus=8)
    pool.submit(
        "u1", pools.spec(whole_worker, queue="urgent", account="farrier")
    )
    pool.advance_time(1.0)
    assert len(pool.running_tasks("u1")) == 1
    assert len(pool.running_tasks("b1")) == 16


def test_urgent_job_beyond_its_guarantee_preempts_only_cheap_work() -> None:
    # Stopping work that has just started costs less than a late urgent job.
    pool = pools.Pool()
    pool.submit("b1", pools.spec(pools.step(tasks=24), queue="batch"))
    pool.settle()
    pool.submit("u1", pools.spec(pools.step(gpus=8), queue="urgent"))
    pool.advance_time(1.0)
    assert len(pool.running_tasks("u1")) == 1
    assert len(pool.running_tasks("b1")) == 16


def test_missing_reports_do_not_count_as_a_stall(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step()))
    pool.settle()
    (run,) = pool.running_tasks("j1")
    (worker,) = pool.running_tasks("j1").values()
    for _ in range(3):
        pool.settle()
        worker.is_disconnected = True
        pool.advance_time(6.0)
        worker.is_disconnected = False
    assert set(pool.running_tasks("j1")) == {run}


def test_reclaim_stops_the_work_with_least_progress() -> None:
    pool = pools.Pool(guaranteed={"farrier": 8})
    pool.submit("old", pools.spec(pools.step(tasks=2, gpus=8), queue="batch"))
    pool.settle()
    for run in pool.running_tasks("old"):
        _set_percent(pool, run, 90)
    pool.advance_time(1.0)
    pool.submit("new", pools.spec(pools.step(gpus=8), queue="batch"))
    pool.settle()
    whole_worker = pools.step(gpus=8)
    pool.submit(
        "u1", pools.spec(whole_worker, queue="urgent", account="farrier")
    )
    pool.advance_time(1.0)
    assert pool.running_tasks("u1")
    assert len(pool.running_tasks("old")) == 2
    assert not pool.running_tasks("new")


def test_ended_job_is_purged_after_its_retention() -> None:
    timing = pools.TIMING._replace(ended_job_retention_s=120.0)
    pool = pools.Pool(timing=timing)
    pool.submit("j1", pools.spec(pools.step()))
    pool.settle()
    pool.end_tasks("j1", "done")
    pool.advance_time(119.0)
    assert pool.get_job_state("j1") == model.COMPLETED
    pool.advance_time(60.0)
    assert "j1" not in pool.table.jobs


def test_end_takes_precedence_over_a_refusal_of_the_same_run(
    pool: pools.Pool,
) -> None:
    # A new owner sends the start order of an ended run again; the worker
    # reports the end and refuses the start as old.
    pool.submit("j1", pools.spec(pools.step()))
    pool.settle()
    pool.end_tasks("j1", "done")
    pool.fail_over()
    pool.settle()
    assert pool.get_job_state("j1") == model.COMPLETED


# Guards against a guarantee that a quarantine takes away: no sound worker
# has the accelerators, and the quarantined one could serve them.
def test_guaranteed_work_runs_on_a_quarantined_worker_if_it_must() -> None:
    pool = pools.Pool(2, {"stable": 16})
    first, _ = pool.scheduler.workers.values()
    first.quarantine(60.0, pool.now)
    pool.submit("b", pools.spec(pools.step(tasks=1, gpus=8), queue="batch"))
    pool.settle()
    assert [
        w.name == first.name for w in pool.running_tasks("b").values()
    ] == [False]
    pool.submit(
        "u",
        pools.spec(pools.step(tasks=2, gpus=8, gang=True), queue="urgent"),
    )
    pool.settle(12)
    assert len(pool.running_tasks("u")) == 2
    assert not pool.running_tasks("b")


# Guards against work of a host that was only silent: it is neither started
# again nor given up before its leases have surely ended, and it goes on.
@pytest.mark.parametrize("silence_s", [5.0, 13.0, 18.0])
def test_work_of_a_silent_worker_goes_on_when_it_is_back(
    silence_s: float,
) -> None:
    pool = pools.Pool(2)
    pool.submit("a", pools.spec(pools.step(gpus=8)))
    pool.settle()
    ((run, fake),) = pool.running_tasks("a").items()
    fake.is_disconnected = True
    pool.scheduler.mark_side_disconnected(fake.side)
    pool.advance_time(silence_s)
    assert pool.running_tasks("a") == {run: fake}
    fake.is_disconnected = False
    pool.advance_time(2.0)
    assert pool.running_tasks("a") == {run: fake}
    pool.end_tasks("a", "done")
    pool.settle()
    assert pool.get_job_state("a") == "completed"


def test_work_of_a_worker_that_was_silent_for_long_runs_once() -> None:
    """Check that its old run is stopped when it is back after all."""
    pool = pools.Pool(2)
    pool.submit("a", pools.spec(pools.step(gpus=8)))
    pool.settle()
    ((run, fake),) = pool.running_tasks("a").items()
    fake.is_disconnected = True
    pool.scheduler.mark_side_disconnected(fake.side)
    pool.advance_time(15.0)
    fake.expire_lease()
    pool.advance_time(10.0)
    ((next_run, other),) = pool.running_tasks("a").items()
    assert other is not fake and next_run.run == run.run + 1
    fake.is_disconnected = False
    pool.advance_time(2.0)
    assert pool.running_tasks("a") == {next_run: other}
