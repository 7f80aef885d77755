"""Random histories with jobs that repeat or last, late orders, clock jumps."""

import hypothesis
from hypothesis import strategies as st

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model
from tests import pool as pools
from tests import test_job_invariants as histories

HISTORIES = 80
STEPS = 60


class WiderHistory(histories.History):
    """A history with more kinds of jobs and of trouble."""

    def __init__(self, seed: int) -> None:
        """Start as the narrower histories do."""
        super().__init__(seed)
        self.latest_ms = 0
        self.events += [
            self.submit_lasting,
            self.submit_repeated,
            self.turn_deaf,
            self.hear,
            self.hear,
            self.jump,
        ]

    def calm(self) -> None:
        """Cancel what would last for ever, then let all come to its end."""
        for fake in self.pool.workers:
            if fake.delays_orders:
                fake.apply_delayed_starts(False)
        for name, job in self.specs.items():
            if job.steps[0].long_running and name not in self.cancelled:
                self.cancelled.add(name)
                self.pool.cancel(name)
        super().calm()

    def submit_lasting(self) -> None:
        """Hand in a job whose tasks run until it is cancelled."""
        step = pools.step(
            tasks=self.luck.randint(1, 3),
            gpus=1,
            long_running=True,
            may_miss=self.luck.choice((0, 1)),
        )
        self._hand_in(pools.spec(step, queue="normal"))

    def submit_repeated(self) -> None:
        """Hand in a job that runs several times."""
        job = pools.spec(
            pools.step(tasks=self.luck.randint(1, 2)),
            queue="batch",
            times=self.luck.randint(2, 3),
            first_ms=self.pool.wall_ms + self.luck.randint(0, 2000),
            period_ms=self.luck.choice((100, 800)),
        )
        self._hand_in(job)

    def turn_deaf(self) -> None:
        """Have a worker leave its orders unanswered."""
        self.luck.choice(self.pool.workers).delays_orders = True

    def hear(self) -> None:
        """Have a worker carry out late what it was told meanwhile."""
        fake = self.luck.choice(self.pool.workers)
        if fake.delays_orders:
            fake.apply_delayed_starts(self.luck.random() < 0.5)

    def jump(self) -> None:
        """Let the time of day jump."""
        self.pool.wall_clock_offset_s = self.luck.choice((-3.0, 0.0, 2.0))

    def check(self) -> None:
        """Check the time of day beside all else."""
        self.latest_ms = max(self.latest_ms, self.pool.wall_ms)
        super().check()
        self.check_availability()

    def check_availability(self) -> None:
        """What may not be away is stopped only with cause."""
        for worker in self.pool.scheduler.workers.values():
            for run in worker.pending_stops:
                task = model.parse_task_name(run.task)
                assert task is not None
                group = self.pool.scheduler.jobs[task.job].find_group(task)
                if group is None or group.run != run.run:
                    continue
                if group.spec.may_miss and task.job not in self.cancelled:
                    assert worker.draining, f"{run} stopped on {worker.name}"

    def check_start(self, run: fleet.RunId) -> None:
        """No occurrence starts before it is due on any clock so far."""
        super().check_start(run)
        task = model.parse_task_name(run.task)
        assert task is not None
        job = self.specs[task.job]
        assert task.occurrence < job.occurrences
        assert job.due_ms(task.occurrence) <= self.latest_ms, run

    def check_attempts(self, task: str) -> None:
        """Tasks that last have no limit."""
        if not self.specs[task[:16]].steps[0].long_running:
            super().check_attempts(task)

    def note_end(self, event: pools.Event) -> None:
        """Tasks that last start again however they end."""
        if not self.specs[event.run.task[:16]].steps[0].long_running:
            super().note_end(event)

    def _hand_in(self, job: model.JobSpec) -> None:
        name = f"{len(self.specs):016x}"
        self.specs[name] = job
        self.pool.submit(name, job)


@hypothesis.settings(max_examples=HISTORIES)
@hypothesis.given(st.integers(0, 2**32))
def test_invariants_hold_in_wider_histories(seed: int) -> None:
    WiderHistory(seed).play(STEPS)
