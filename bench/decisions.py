"""Measures the cost of a scheduling decision by workers and tasks.

Drives the scheduler alone, with simulated workers that all are busy.  Tasks
end one after another; each end frees resources, and the next tick of the
scheduler places a waiting task there.
"""

import statistics
import time
from typing import Final
from typing import NamedTuple

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import scheduler as schedulers
from kingcuplever.process.stored import job_table

# Workers and tasks: the users' present size, the target size, and twice a
# planned data centre.
SIZES: Final = ((11, 330), (100, 3000), (225, 6750))
_TASK_ENDS: Final = 300
_TASKS_PER_JOB: Final = 20
_CAPACITY: Final = model.Resources(128_000, 262_144, 8)
_END_PERIOD_S: Final = 1.0


class DecisionCost(NamedTuple):
    """Costs for one size of the pool.

    :ivar tasks: all tasks submitted, running and waiting.
    :ivar decision_us: median microseconds to apply a task's end and place
        the next task.
    :ivar report_us: median microseconds to apply a report without changes.
    """

    workers: int
    tasks: int
    decision_us: float
    report_us: float


class _FullPool:
    """A pool of busy workers, with more tasks waiting."""

    def __init__(self, workers: int, tasks: int) -> None:
        self.now = 0.0
        self.end_numbers = [0] * workers
        self.scheduler = schedulers.Scheduler(schedulers.Timing(60.0, 120.0))
        queue = model.QueuePolicy("batch", "desk", 1, 3, 3.0, 1000)
        self.scheduler.set_policy(model.Policy(1, {"batch": queue}, {}))
        self.running: list[list[fleet.RunningTask]] = [
            [] for _ in range(workers)
        ]
        self.names = [
            fleet.worker_name(f"i-{n}", f"side-{n}") for n in range(workers)
        ]
        for number in range(workers):
            self.send_report(number)
        for number in range(tasks // _TASKS_PER_JOB):
            self._submit_job(f"{number:016x}", number)
        self.commit_and_start()

    def commit_and_start(self) -> None:
        """Run a cycle, commit its records and start the placed tasks."""
        self.scheduler.tick(self.now, int(self.now * 1000))
        batch = self.scheduler.take_record_batch()
        if batch is not None:
            self.scheduler.confirm_commit(batch.number)
        self.scheduler.take_log_lines()
        for number, name in enumerate(self.names):
            worker = self.scheduler.workers[name]
            for run in worker.pending_starts:
                row = fleet.RunningTask(run.task, run.run, "", 1, 0)
                self.running[number].append(row)
            if worker.pending_starts:
                self.send_report(number)

    def send_report(self, number: int, *ended: fleet.EndedTask) -> None:
        """Apply the status report of one worker's side."""
        status = fleet.WorkerStatus(
            self.names[number],
            f"side-{number}",
            "hall",
            "desk",
            _CAPACITY,
            ("a", f"r1-{number // 8}"),
            False,
            0,
            False,
            tuple(self.running[number]),
            ended,
            (),
            int(self.now * 1000) + 1,
        )
        self.scheduler.apply_report(status, self.now, int(self.now * 1000))

    def end_oldest_task(self, number: int) -> fleet.EndedTask:
        """End the oldest task of a worker and return its end."""
        row = self.running[number].pop(0)
        self.end_numbers[number] += 1
        return fleet.EndedTask(
            self.end_numbers[number], row.task, row.run, "done", ""
        )

    def _submit_job(self, name: str, order: int) -> None:
        step = model.StepSpec(
            _TASKS_PER_JOB, 11_000, 20_000, 1, estimate_ms=600_000
        )
        stored = job_table.StoredJob()
        stored.spec = model.JobSpec("batch", "desk", "a", "", (step,), 0)
        stored.submit_offset = order
        self.scheduler.on_job_changed(name, stored, self.now, 0)


def measure(workers: int, tasks: int) -> DecisionCost:
    """Measure the costs for one size."""
    pool = _FullPool(workers, tasks)
    decisions = []
    reports = []
    for iteration in range(_TASK_ENDS):
        pool.now += _END_PERIOD_S / workers
        number = iteration % workers
        ended = pool.end_oldest_task(number)
        started_at = time.perf_counter()
        pool.send_report(number, ended)
        pool.scheduler.tick(pool.now, int(pool.now * 1000))
        decisions.append(time.perf_counter() - started_at)
        pool.commit_and_start()
        started_at = time.perf_counter()
        pool.send_report((number + 1) % workers)
        reports.append(time.perf_counter() - started_at)
    return DecisionCost(
        workers,
        tasks,
        statistics.median(decisions) * 1e6,
        statistics.median(reports) * 1e6,
    )


def main() -> None:
    """Print the costs for all sizes."""
    print("workers  tasks  us a decision  us a report without news")
    for workers, tasks in SIZES:
        cost = measure(workers, tasks)
        print(
            f"{cost.workers:7}  {cost.tasks:5}  {cost.decision_us:13.0f}"
            f"  {cost.report_us:24.0f}"
        )


if __name__ == "__main__":
    main()
