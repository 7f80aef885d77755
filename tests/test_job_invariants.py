"""What must hold in every history of jobs, workers, ends and takeovers."""

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
# Histories of one run of the test; more are tried by hand.
HISTORIES: Final = 120
STEPS: Final = 60
QUEUES: Final = {
    queue.name: queue for queue in (pools.URGENT, pools.NORMAL, pools.BATCH)
}


class History:
    """Plays random events and checks the invariants after each."""

    def __init__(self, seed: int) -> None:
        """Start a pool of five workers in two racks."""
        self.luck = random.Random(seed)
        self.pool = pools.Pool(5, GUARANTEED)
        self.specs: dict[str, model.JobSpec] = {}
        self.cancelled: set[str] = set()
        self.noted_done: set[str] = set()
        self.noted_failed: dict[str, set[fleet.RunId]] = {}
        self.done: set[str] = set()
        self.failed: set[fleet.RunId] = set()
        self.begun_at: dict[fleet.RunId, int] = {}
        self.ended_at: dict[fleet.RunId, int] = {}
        self.moment = 0
        self.lives = 0
        self.events: list[Callable[[], None]] = [
            self.submit,
            self.submit,
            self.cancel,
            self.end_some,
            self.end_some,
            self.end_some,
            self.end_some,
            self.fall_silent,
            self.come_back,
            self.come_back,
            self.crash,
            self.drain,
            self.take_over,
            self.die_before_append,
            self.die_after_append,
            self.wait,
            self.wait_long,
        ]

    def play(self, steps: int) -> None:
        """Play random events, then let everything come to its end."""
        for _ in range(steps):
            self.luck.choice(self.events)()
            self.pool.settle(self.luck.randint(0, 2))
            self.check()
        self.calm()

    def calm(self) -> None:
        """With all workers sound, every job comes to its end."""
        for place, fake in enumerate(self.pool.workers):
            fake.is_disconnected = False
            if fake.draining:
                self.replace(place)
        for _ in range(60):
            self.pool.advance_time(0.6)
            self.check()
            for name in self.specs:
                self.end_whole(name, "done")
            if all(self.over(name) for name in self.specs):
                break
        states = {name: self.pool.get_job_state(name) for name in self.specs}
        ended = set(states.values()) <= model.ENDED_STATES
        assert ended, f"not over: {states}"
        self.pool.advance_time(1.0)
        assert not any(fake.running for fake in self.pool.workers)

    def over(self, name: str) -> bool:
        """Tell whether a job is over and leaves nothing running."""
        state = self.pool.get_job_state(name)
        return state in model.ENDED_STATES and not self.pool.running_tasks(
            name
        )

    def submit(self) -> None:
        """Hand in a random job."""
        luck = self.luck
        steps = []
        for number in range(luck.randint(1, 2)):
            gang = luck.random() < 0.4
            steps.append(
                pools.step(
                    tasks=luck.randint(1, 4),
                    gpus=luck.choice((1, 2, 4, 8)),
                    cpu_milli=luck.choice((5_000, 15_000, 52_000)),
                    gang=gang,
                    same_rack=gang and luck.random() < 0.5,
                    data_rack=luck.choice(("", "", "r1-0")),
                    after=(0,) if number else (),
                    most_per_worker=luck.choice((0, 0, 0, 2)),
                    checkpointing=luck.random() < 0.5,
                )
            )
        name = f"{len(self.specs):016x}"
        queue = luck.choice(("urgent", "normal", "batch"))
        account = luck.choice(("stable", "farrier"))
        job = pools.spec(*steps, queue=queue, account=account)
        self.specs[name] = job
        self.pool.submit(name, job)

    def cancel(self) -> None:
        """Cancel a random job."""
        if self.specs:
            name = self.luck.choice(sorted(self.specs))
            self.cancelled.add(name)
            self.pool.cancel(name)

    def end_some(self) -> None:
        """End the tasks of a random running job, one way or another."""
        names = {run.task[:16] for fake in self.live for run in fake.running}
        if names:
            outcome = self.luck.choice(("done", "done", "done", "failed"))
            self.end_whole(self.luck.choice(sorted(names)), outcome)

    def end_whole(self, name: str, outcome: str) -> None:
        """End what runs of a job, gangs as a whole."""
        for run, fake in self.pool.running_tasks(name).items():
            if fake.is_disconnected or run not in fake.running:
                continue
            if not self.is_gang(run):
                fake.end_run(run, outcome)
                continue
            members = self.members(run)
            if len(members) < self.spec_of(run).tasks:
                continue
            for member, its_worker in members.items():
                how = outcome
                if outcome == "failed" and member != run:
                    how = "broken"
                its_worker.end_run(member, how)

    def fall_silent(self) -> None:
        """Cut a worker off; its tasks run on."""
        self.luck.choice(self.pool.workers).is_disconnected = True

    def come_back(self) -> None:
        """Heal a cut."""
        self.luck.choice(self.pool.workers).is_disconnected = False

    def crash(self) -> None:
        """End a worker's life; another follows on the same host."""
        self.replace(self.luck.randrange(len(self.pool.workers)))

    def replace(self, place: int) -> None:
        """Put a new life in a worker's place."""
        old = self.pool.workers[place]
        self.lives += 1
        fresh = pools.FakeWorker(
            f"i-new{self.lives}", old.side, old.rack, self.pool.events
        )
        self.pool.workers[place] = fresh

    def drain(self) -> None:
        """Have a worker announce that it leaves."""
        self.luck.choice(self.pool.workers).draining = True

    def take_over(self) -> None:
        """Kill the owner; another one follows."""
        self.pool.fail_over()

    def die_before_append(self) -> None:
        """Kill the owner with decisions that never reach the log."""
        pool = self.pool
        pool.scheduler.tick(pool.now, pool.wall_ms)
        pool.scheduler.take_record_batch()
        pool.fail_over()

    def die_after_append(self) -> None:
        """Kill the owner between the record and the order."""
        pool = self.pool
        pool.scheduler.tick(pool.now, pool.wall_ms)
        changes = pool.scheduler.take_record_batch()
        if changes is not None:
            pool.append([*changes.records])
        pool.fail_over()

    def wait(self) -> None:
        """Let a little time go by."""
        self.pool.advance_time(0.5)

    def wait_long(self) -> None:
        """Let so much time go by that silent workers are given up."""
        for fake in self.pool.workers:
            if fake.is_disconnected:
                fake.expire_lease()
        self.pool.advance_time(pools.TIMING.lost_after_s + 1)

    @property
    def live(self) -> list[pools.FakeWorker]:
        """Give the workers that can be heard."""
        return [fake for fake in self.pool.workers if not fake.is_disconnected]

    def spec_of(self, run: fleet.RunId) -> model.StepSpec:
        """Give the step of a task."""
        task = model.parse_task_name(run.task)
        assert task is not None
        return self.specs[task.job].steps[task.step]

    def is_gang(self, run: fleet.RunId) -> bool:
        """Tell whether a task belongs to a gang."""
        return self.spec_of(run).gang

    def members(self, run: fleet.RunId) -> dict[fleet.RunId, pools.FakeWorker]:
        """Give the running members of a gang's run."""
        prefix = run.task.rpartition(".")[0]
        return {
            other: fake
            for other, fake in self.pool.running_tasks(run.task[:16]).items()
            if other.task.rpartition(".")[0] == prefix
            and other.run == run.run
            and not fake.is_disconnected
        }

    def check(self) -> None:
        """Check all that must hold at any moment."""
        self.check_one_run_a_task()
        self.check_room()
        self.check_events()
        self.check_shown()

    def check_one_run_a_task(self) -> None:
        """No task runs twice at the same time."""
        tasks = [
            run.task for fake in self.pool.workers for run in fake.running
        ]
        assert len(tasks) == len(set(tasks)), sorted(tasks)

    def check_room(self) -> None:
        """No worker is given more than it has."""
        for fake in self.pool.workers:
            used = model.NO_RESOURCES
            for run in fake.running:
                used = used.add(self.spec_of(run).resources)
            assert used.fits_into(pools.WORKER_CAPACITY), (fake.name, used)

    def check_events(self) -> None:
        """Check the starts and ends since the last look, in their order."""
        for event in self.pool.events:
            self.moment += 1
            if event.kind == "begun":
                self.check_start(event.run)
            elif event.kind == "ended":
                self.ended_at[event.run] = self.moment
                if event.outcome == "done":
                    self.done |= self.names_of(event.run)
                elif event.outcome == "failed":
                    self.failed.add(event.run)
            else:
                self.note_end(event)
        self.pool.events.clear()

    def check_start(self, run: fleet.RunId) -> None:
        """Check one start: its turn had come, and it was not done."""
        task = model.parse_task_name(run.task)
        assert task is not None
        assert run.task not in self.noted_done, f"{run} is done"
        self.begun_at[run] = self.moment
        spec = self.specs[task.job]
        for earlier in spec.steps[task.step].after:
            count = spec.steps[earlier].tasks
            prefix = f"{task.job}.{task.occurrence}.{earlier}"
            names = {f"{prefix}.{n}" for n in range(count)}
            assert names <= self.done, f"{run} before {names - self.done}"
        self.check_attempts(run.task)

    def check_attempts(self, task: str) -> None:
        """No start follows as many noted failures as are allowed."""
        queue = QUEUES[self.specs[task[:16]].queue]
        failed_at = sorted(
            self.ended_at[run] for run in self.noted_failed.get(task, ())
        )
        if len(failed_at) >= queue.most_attempts:
            last = failed_at[queue.most_attempts - 1]
            for run, begun_at in self.begun_at.items():
                late = run.task == task and begun_at > last
                assert not late, f"{run} after its attempts"

    def note_end(self, event: pools.Event) -> None:
        """An end is acknowledged: what began after it should not have."""
        run = event.run
        if event.outcome == "done":
            names = self.names_of(run)
            self.noted_done |= names
            for other, begun_at in self.begun_at.items():
                late = other.task in names and begun_at > self.ended_at[run]
                assert not late, f"{other} after the end of {run}"
        elif event.outcome == "failed":
            for name in self.names_of(run):
                noted = self.noted_failed.setdefault(name, set())
                noted.add(run)
                self.check_attempts(name)

    def has_failed(self, name: str) -> bool:
        """Tell whether a task of a job ended ``failed`` often enough."""
        most = QUEUES[self.specs[name].queue].most_attempts
        counts: dict[str, int] = {}
        for run in self.failed:
            prefix = run.task.rpartition(".")[0]
            key = prefix if self.is_gang(run) else run.task
            counts[key] = counts.get(key, 0) + 1
        return any(
            count >= most
            for task, count in counts.items()
            if task.startswith(f"{name}.")
        )

    def names_of(self, run: fleet.RunId) -> set[str]:
        """Give the tasks that an end stands for: all of a gang's."""
        if not self.is_gang(run):
            return {run.task}
        prefix = run.task.rpartition(".")[0]
        return {f"{prefix}.{n}" for n in range(self.spec_of(run).tasks)}

    def check_shown(self) -> None:
        """What callers see has a cause."""
        for name in self.specs:
            state = self.pool.get_job_state(name)
            if state == model.CANCELLED:
                assert name in self.cancelled
            if state == model.FAILED:
                assert self.has_failed(name), f"{name} without cause"


@hypothesis.settings(max_examples=HISTORIES)
@hypothesis.given(st.integers(0, 2**32))
def test_invariants_hold_in_random_histories(seed: int) -> None:
    History(seed).play(STEPS)


@pytest.mark.parametrize("seed", [3, 48, 1100])
def test_invariants_hold_in_histories_that_once_failed(seed: int) -> None:
    History(seed).play(STEPS)
