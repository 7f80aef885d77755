"""Invariants of the scheduler in random histories.

A history is a random sequence of submissions, cancellations, ends of tasks,
worker failures and failovers of the owner.
"""

from collections.abc import Callable
import random
from typing import Final

import hypothesis
from hypothesis import strategies as st
import pytest

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model
from tests import pool as pools

GUARANTEED: Final = {"stable": 8, "farrier": 8}
# Histories in one run of the test.
HISTORIES: Final = 120
STEPS: Final = 60
QUEUES: Final = pools.QUEUES


class History:
    """Plays random actions, and checks the invariants after each.

    :ivar cancelled: jobs that were cancelled.
    :ivar done: tasks that have ended ``done``, as a whole gang if in one.
    :ivar failed: runs that have ended ``failed``.
    :ivar acked_done: tasks whose ``done`` the owner has acknowledged.
    :ivar acked_failures: the runs of each task whose ``failed`` the owner has
        acknowledged.
    :ivar event_number: count of the events so far; serves as their time.
    :ivar started_at: event number of each start.
    :ivar ended_at: event number of each end.
    """

    def __init__(self, seed: int) -> None:
        """Create a pool of five workers in two racks."""
        self.rng = random.Random(seed)
        self.pool = pools.Pool(5, GUARANTEED)
        self.specs: dict[str, model.JobSpec] = {}
        self.cancelled: set[str] = set()
        self.acked_done: set[str] = set()
        self.acked_failures: dict[str, set[fleet.RunId]] = {}
        self.done: set[str] = set()
        self.failed: set[fleet.RunId] = set()
        self.started_at: dict[fleet.RunId, int] = {}
        self.ended_at: dict[fleet.RunId, int] = {}
        self.event_number = 0
        self.replacement_count = 0
        self.actions: list[Callable[[], None]] = [
            self.submit,
            self.submit,
            self.cancel,
            self.end_random_job_tasks,
            self.end_random_job_tasks,
            self.end_random_job_tasks,
            self.end_random_job_tasks,
            self.disconnect_worker,
            self.reconnect_worker,
            self.reconnect_worker,
            self.restart_worker,
            self.drain_worker,
            self.fail_over,
            self.fail_over_before_append,
            self.fail_over_after_append,
            self.wait_briefly,
            self.wait_until_workers_lost,
        ]

    def play(self, steps: int) -> None:
        """Play random actions, then let all jobs end."""
        for _ in range(steps):
            self.rng.choice(self.actions)()
            self.pool.settle(self.rng.randint(0, 2))
            self.check()
        self.finish_all_jobs()

    def finish_all_jobs(self) -> None:
        """Check that all jobs end once no worker fails any more."""
        for index, fake in enumerate(self.pool.workers):
            fake.is_disconnected = False
            if fake.draining:
                self.replace_worker(index)
        for _ in range(60):
            self.pool.advance_time(0.6)
            self.check()
            for name in self.specs:
                self.end_job_tasks(name, "done")
            if all(self.has_ended(name) for name in self.specs):
                break
        states = {name: self.pool.get_job_state(name) for name in self.specs}
        ended = set(states.values()) <= model.ENDED_STATES
        assert ended, f"not ended: {states}"
        self.pool.advance_time(1.0)
        assert not any(fake.running for fake in self.pool.workers)

    def has_ended(self, name: str) -> bool:
        """Whether a job has ended and none of its tasks runs."""
        state = self.pool.get_job_state(name)
        return state in model.ENDED_STATES and not self.pool.running_tasks(
            name
        )

    def submit(self) -> None:
        """Submit a random job."""
        rng = self.rng
        steps = []
        for number in range(rng.randint(1, 2)):
            gang = rng.random() < 0.4
            steps.append(
                pools.step(
                    tasks=rng.randint(1, 4),
                    gpus=rng.choice((1, 2, 4, 8)),
                    cpu_milli=rng.choice((5_000, 15_000, 52_000)),
                    gang=gang,
                    same_rack=gang and rng.random() < 0.5,
                    data_rack=rng.choice(("", "", "r1-0")),
                    after=(0,) if number else (),
                    most_per_worker=rng.choice((0, 0, 0, 2)),
                    checkpointing=rng.random() < 0.5,
                )
            )
        name = f"{len(self.specs):016x}"
        queue = rng.choice(("urgent", "normal", "batch"))
        account = rng.choice(("stable", "farrier"))
        job = pools.spec(*steps, queue=queue, account=account)
        self.specs[name] = job
        self.pool.submit(name, job)

    def cancel(self) -> None:
        """Cancel a random job."""
        if self.specs:
            name = self.rng.choice(sorted(self.specs))
            self.cancelled.add(name)
            self.pool.cancel(name)

    def end_random_job_tasks(self) -> None:
        """End the tasks of a random running job as done or failed."""
        names = {
            run.task[:16]
            for fake in self.connected_workers
            for run in fake.running
        }
        if names:
            outcome = self.rng.choice(("done", "done", "done", "failed"))
            self.end_job_tasks(self.rng.choice(sorted(names)), outcome)

    def end_job_tasks(self, name: str, outcome: str) -> None:
        """End the running tasks of a job; gangs only as a whole."""
        for run, fake in self.pool.running_tasks(name).items():
            if fake.is_disconnected or run not in fake.running:
                continue
            if not self.is_gang(run):
                fake.end_run(run, outcome)
                continue
            members = self.find_gang_members(run)
            if len(members) < self.spec_of(run).tasks:
                continue
            for member, its_worker in members.items():
                member_outcome = outcome
                if outcome == "failed" and member != run:
                    member_outcome = "broken"
                its_worker.end_run(member, member_outcome)

    def disconnect_worker(self) -> None:
        """Disconnect a worker from the owner; its tasks continue."""
        self.rng.choice(self.pool.workers).is_disconnected = True

    def reconnect_worker(self) -> None:
        """Connect a worker to the owner again."""
        self.rng.choice(self.pool.workers).is_disconnected = False

    def restart_worker(self) -> None:
        """End a worker's incarnation; a new one starts on the same host."""
        self.replace_worker(self.rng.randrange(len(self.pool.workers)))

    def replace_worker(self, index: int) -> None:
        """Replace a worker by a new incarnation."""
        old = self.pool.workers[index]
        self.replacement_count += 1
        fresh = pools.FakeWorker(
            f"i-new{self.replacement_count}",
            old.side,
            old.rack,
            self.pool.events,
        )
        self.pool.workers[index] = fresh

    def drain_worker(self) -> None:
        """Have a worker announce that it drains."""
        self.rng.choice(self.pool.workers).draining = True

    def fail_over(self) -> None:
        """Replace the owner by a new one."""
        self.pool.fail_over()

    def fail_over_before_append(self) -> None:
        """Replace the owner before its decisions reach the log."""
        pool = self.pool
        pool.scheduler.tick(pool.now, pool.wall_ms)
        pool.scheduler.take_record_batch()
        pool.fail_over()

    def fail_over_after_append(self) -> None:
        """Replace the owner after its append and before its start orders."""
        pool = self.pool
        pool.scheduler.tick(pool.now, pool.wall_ms)
        batch = pool.scheduler.take_record_batch()
        if batch is not None:
            pool.append([*batch.records])
        pool.fail_over()

    def wait_briefly(self) -> None:
        """Advance the time by 0.5 s."""
        self.pool.advance_time(0.5)

    def wait_until_workers_lost(self) -> None:
        """Advance the time until disconnected workers count as lost."""
        for fake in self.pool.workers:
            if fake.is_disconnected:
                fake.expire_lease()
        self.pool.advance_time(pools.TIMING.lost_after_s + 1)

    @property
    def connected_workers(self) -> list[pools.FakeWorker]:
        """Return the connected workers."""
        return [fake for fake in self.pool.workers if not fake.is_disconnected]

    def spec_of(self, run: fleet.RunId) -> model.StepSpec:
        """Return the step of a task."""
        task = model.parse_task_name(run.task)
        assert task is not None
        return self.specs[task.job].steps[task.step]

    def is_gang(self, run: fleet.RunId) -> bool:
        """Whether a task belongs to a gang."""
        return self.spec_of(run).gang

    def find_gang_members(
        self, run: fleet.RunId
    ) -> dict[fleet.RunId, pools.FakeWorker]:
        """Return the running members of a gang's run on connected workers."""
        prefix = run.task.rpartition(".")[0]
        return {
            other: fake
            for other, fake in self.pool.running_tasks(run.task[:16]).items()
            if other.task.rpartition(".")[0] == prefix
            and other.run == run.run
            and not fake.is_disconnected
        }

    def check(self) -> None:
        """Check all invariants."""
        self.check_no_concurrent_runs()
        self.check_worker_capacity()
        self.check_events()
        self.check_job_states()

    def check_no_concurrent_runs(self) -> None:
        """Check that no task runs twice at the same time."""
        tasks = [
            run.task for fake in self.pool.workers for run in fake.running
        ]
        assert len(tasks) == len(set(tasks)), sorted(tasks)

    def check_worker_capacity(self) -> None:
        """Check that no worker is overcommitted."""
        for fake in self.pool.workers:
            used = model.NO_RESOURCES
            for run in fake.running:
                used = used.add(self.spec_of(run).resources)
            assert used.fits_into(pools.WORKER_CAPACITY), (fake.name, used)

    def check_events(self) -> None:
        """Check the events since the last check, in their order."""
        for event in self.pool.events:
            self.event_number += 1
            if event.kind == "begun":
                self.check_start(event.run)
            elif event.kind == "ended":
                self.ended_at[event.run] = self.event_number
                if event.outcome == "done":
                    self.done |= self.tasks_ended_by(event.run)
                elif event.outcome == "failed":
                    self.failed.add(event.run)
            else:
                self.check_acked_end(event)
        self.pool.events.clear()

    def check_start(self, run: fleet.RunId) -> None:
        """Check that a started task is not done and its earlier steps are."""
        task = model.parse_task_name(run.task)
        assert task is not None
        assert run.task not in self.acked_done, f"{run} is done"
        self.check_not_cancelled(run, task.job)
        self.started_at[run] = self.event_number
        spec = self.specs[task.job]
        for earlier in spec.steps[task.step].after:
            count = spec.steps[earlier].tasks
            prefix = f"{task.job}.{task.occurrence}.{earlier}"
            names = {f"{prefix}.{n}" for n in range(count)}
            assert names <= self.done, f"{run} before {names - self.done}"
        self.check_attempt_limit(run.task)

    def check_not_cancelled(self, run: fleet.RunId, job: str) -> None:
        """Check that a started task's job was not cancelled before."""
        assert job not in self.cancelled, f"{run} after its cancelling"

    def check_attempt_limit(self, task: str) -> None:
        """Check that no run starts after the last allowed failure."""
        queue = QUEUES[self.specs[task[:16]].queue]
        failed_at = sorted(
            self.ended_at[run] for run in self.acked_failures.get(task, ())
        )
        if len(failed_at) >= queue.most_attempts:
            last = failed_at[queue.most_attempts - 1]
            for run, started_at in self.started_at.items():
                is_late = run.task == task and started_at > last
                assert not is_late, f"{run} after its last attempt"

    def check_acked_end(self, event: pools.Event) -> None:
        """Check that no run started after an end that is acknowledged now."""
        run = event.run
        if event.outcome == "done":
            names = self.tasks_ended_by(run)
            self.acked_done |= names
            for other, started_at in self.started_at.items():
                is_late = (
                    other.task in names and started_at > self.ended_at[run]
                )
                assert not is_late, f"{other} after the end of {run}"
        elif event.outcome == "failed":
            for name in self.tasks_ended_by(run):
                failures = self.acked_failures.setdefault(name, set())
                failures.add(run)
                self.check_attempt_limit(name)

    def has_failed(self, name: str) -> bool:
        """Whether a task of a job has failed as often as is allowed."""
        limit = QUEUES[self.specs[name].queue].most_attempts
        counts: dict[str, int] = {}
        for run in self.failed:
            prefix = run.task.rpartition(".")[0]
            key = prefix if self.is_gang(run) else run.task
            counts[key] = counts.get(key, 0) + 1
        return any(
            count >= limit
            for task, count in counts.items()
            if task.startswith(f"{name}.")
        )

    def tasks_ended_by(self, run: fleet.RunId) -> set[str]:
        """Return the tasks that end with a run: all tasks of a gang."""
        if not self.is_gang(run):
            return {run.task}
        prefix = run.task.rpartition(".")[0]
        return {f"{prefix}.{n}" for n in range(self.spec_of(run).tasks)}

    def check_job_states(self) -> None:
        """Check that cancelled and failed jobs have a cause."""
        for name in self.specs:
            state = self.pool.get_job_state(name)
            if state == model.CANCELLED:
                assert name in self.cancelled
            if state == model.FAILED:
                assert self.has_failed(name), f"{name} failed without cause"


@hypothesis.settings(max_examples=HISTORIES)
@hypothesis.given(st.integers(0, 2**32))
def test_invariants_hold_in_random_histories(seed: int) -> None:
    History(seed).play(STEPS)


@pytest.mark.parametrize("seed", [3, 48, 1100])
def test_invariants_hold_in_histories_that_failed_before(seed: int) -> None:
    History(seed).play(STEPS)
