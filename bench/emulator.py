"""Runs the product's decisions over made-up workers under a made-up clock.

The scheduler is the product's own; the log takes every batch at once, sides
carry out orders at once, and tasks take as long as their payload says.
"""

import heapq
import itertools
import json
from typing import Final

from bench import workload
from kingcuplever.connection import keyed_log
from kingcuplever.process.owner import planner
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import fragmentation
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import scheduler as schedulers
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table

START_MS: Final = 1_000_000_000
# Sides report at least so often.
_PERIOD_S: Final = 1.0
_STEP_S: Final = 0.25
_LOST_AFTER_S: Final = 20.0
_FOR_GOOD_S: Final = 1e9
_FULL_PERCENT: Final = 100


class _Task:
    """One run on a worker."""

    def __init__(self, order: fleet.StartOrder, now: float) -> None:
        self.run = fleet.RunId(order.task, order.run)
        self.begun_at = now
        self.seconds = float(json.loads(order.payload)["seconds"])

    def row(self, now: float) -> fleet.RunningTask:
        done = (now - self.begun_at) / self.seconds
        percent = min(_FULL_PERCENT - 1, int(done * _FULL_PERCENT))
        return fleet.RunningTask(*self.run, "", percent, 0)


class _Worker:
    """A worker that starts what it is given."""

    def __init__(self, machine: workload.Machine) -> None:
        self.machine = machine
        self.name = fleet.worker_name("i", machine.worker)
        self.running: dict[fleet.RunId, _Task] = {}
        self.ended: list[fleet.EndedTask] = []
        self.stopping: set[fleet.RunId] = set()
        self.changed = True
        self.reported_at = float("-inf")
        self._number = 0

    def start(self, order: fleet.StartOrder, now: float) -> _Task | None:
        """Start a task, unless it is there."""
        run = fleet.RunId(order.task, order.run)
        if run in self.running:
            return None
        task = _Task(order, now)
        self.running[run] = task
        self.changed = True
        return task

    def end(self, run: fleet.RunId, outcome: str) -> None:
        """End a task, if it is there."""
        if self.running.pop(run, None) is None:
            return
        self._number += 1
        self.ended.append(
            fleet.EndedTask(self._number, run.task, run.run, outcome, "")
        )
        self.changed = True

    def listing(self, now: float) -> fleet.WorkerStatus:
        """Give what its side reports."""
        return fleet.WorkerStatus(
            self.name,
            self.machine.worker,
            workload.PLACE,
            workload.POOL,
            workload.CAPACITY,
            ("a", self.machine.rack),
            False,
            0,
            False,
            tuple(task.row(now) for task in self.running.values()),
            tuple(self.ended),
            (),
            int(now * 1000),
        )


class Emulation:
    """A pool of workers, jobs that arrive, and the scheduler."""

    def __init__(
        self,
        machines: list[workload.Machine],
        policy: model.Policy,
        stop_s: float = 0.0,
    ) -> None:
        """Start with empty workers.

        :param stop_s: how long a worker takes to stop a task.
        """
        self._stop_s = stop_s
        self._stopping: list[tuple[float, int, _Worker, fleet.RunId]] = []
        self.now = 0.0
        self.board = job_table.JobTable()
        self.thrown_away: dict[str, float] = {}
        self.samples: dict[int, list[float]] = {
            size: [] for size in fragmentation.TASK_SIZES
        }
        self._offset = 0
        self._workers = {
            worker.name: worker for worker in map(_Worker, machines)
        }
        self._ends: list[tuple[float, int, _Worker, _Task]] = []
        self._numbers = itertools.count()
        self._scheduler = schedulers.Scheduler(
            schedulers.Timing(_LOST_AFTER_S, _FOR_GOOD_S)
        )
        self._scheduler.set_policy(policy)

    def run(self, arrivals: list[workload.Arrival], until: float) -> None:
        """Run a whole workload."""
        waiting = sorted(arrivals, key=lambda item: item.at, reverse=True)
        sample_at = 0.0
        while self.now < until:
            while waiting and waiting[-1].at <= self.now:
                self._submit(waiting.pop())
            self._end_stopped()
            while self._ends and self._ends[0][0] <= self.now:
                _, _, worker, task = heapq.heappop(self._ends)
                if worker.running.get(task.run) is task:
                    worker.end(task.run, "done")
            self._decide()
            if self.now >= sample_at:
                sample_at += workload.SAMPLE_S
                self._sample()
            self.now += _STEP_S

    def _submit(self, arrival: workload.Arrival) -> None:
        spec = planner.make_job(arrival.spec, "plan", 3, self._wall_ms(), True)
        if arrival.queue:
            spec = spec._replace(queue=arrival.queue, data_centre="")
        name = arrival.spec.job
        self._append([job_records.encode_submission(name, spec)])
        self._scheduler.on_job_changed(
            name, self.board.jobs[name], self.now, self._wall_ms()
        )

    def _decide(self) -> None:
        """Report, decide, and carry out, until nothing changes any more."""
        is_first = True
        while is_first or any(w.changed for w in self._workers.values()):
            is_first = False
            self._report()
            self._scheduler.tick(self.now, self._wall_ms())
            while (changes := self._scheduler.take_record_batch()) is not None:
                self._append([*changes.records])
                self._scheduler.confirm_commit(changes.number)
            self._obey()
        self.thrown_away = self._scheduler.lost_work
        self._scheduler.take_log_lines()
        self._scheduler.take_evidence()

    def _report(self) -> None:
        for worker in self._workers.values():
            silent_s = self.now - worker.reported_at
            if worker.changed or silent_s >= _PERIOD_S:
                worker.changed = False
                worker.reported_at = self.now
                listing = worker.listing(self.now)
                self._scheduler.apply_report(
                    listing, self.now, self._wall_ms()
                )

    def _obey(self) -> None:
        for name, known in self._scheduler.workers.items():
            if not known.orders_changed:
                continue
            known.orders_changed = False
            worker = self._workers[name]
            for order in known.pending_starts.values():
                task = worker.start(order, self.now)
                if task is not None:
                    due_at = self.now + task.seconds
                    number = next(self._numbers)
                    heapq.heappush(self._ends, (due_at, number, worker, task))
            for run in known.pending_stops - worker.stopping:
                worker.stopping.add(run)
                stop_at = self.now + self._stop_s
                number = next(self._numbers)
                heapq.heappush(self._stopping, (stop_at, number, worker, run))
            self._end_stopped()
            worker.ended = [
                row for row in worker.ended if row.number > known.acked
            ]

    def _end_stopped(self) -> None:
        """End the tasks whose stop has taken its time."""
        while self._stopping and self._stopping[0][0] <= self.now:
            _, _, worker, run = heapq.heappop(self._stopping)
            worker.end(run, "stopped")

    def _append(self, records: list[keyed_log.KeyedRecord]) -> None:
        for record in records:
            stored = keyed_log.StoredRecord(
                self._offset, record.key, record.value
            )
            self.board.apply_records([stored])
            self._offset += 1

    def _sample(self) -> None:
        shares = fragmentation.compute_shares(self._scheduler.workers.values())
        for (_, size), share in shares.items():
            self.samples[size].append(share)

    def _wall_ms(self) -> int:
        return START_MS + int(self.now * 1000)
