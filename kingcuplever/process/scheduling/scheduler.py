"""The owner's decisions about jobs: what starts, what stops, what is done.

What must last is named job by job in :meth:`Scheduler.take_changes`; orders
to start a task, and acknowledgements of ends, are released by
:meth:`Scheduler.committed` only once the log has those jobs' records.
"""

from typing import Final
from typing import NamedTuple

from kingcuplever.connection import keyed_log
from kingcuplever import logs
from kingcuplever.process.scheduling import accounts
from kingcuplever.process.scheduling import advice
from kingcuplever.process.scheduling import bindings
from kingcuplever.process.scheduling import checkpoint_selector
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import job_tracker as job_keepers
from kingcuplever.process.scheduling import maintenance
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import placer
from kingcuplever.process.scheduling import scheduler_state as books
from kingcuplever.process.scheduling import worker_tracker as worker_keepers
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table

# Timeouts are looked for so often.
_SCAN_PERIOD_S: Final = 0.25


class Timing(NamedTuple):
    """Times that the decisions depend on, in seconds.

    :ivar lost_after_s: silence of a side after which nothing can run on
        its worker any more.
    :ivar status_s: how long an ended job can be asked for.
    :ivar down_s: how long a host is down for its maintenance.
    """

    lost_after_s: float
    ended_job_retention_s: float
    host_downtime_s: float = 0.0


class RecordBatch(NamedTuple):
    """Records to append in one batch, and what waits for them.

    :ivar number: to hand to :meth:`Scheduler.committed`.
    """

    number: int
    records: tuple[keyed_log.KeyedRecord, ...]


class Scheduler:
    """Decisions over one pool of jobs and workers.

    :ivar maintenance: rounds in which hosts go down.
    """

    def __init__(self, timing: Timing) -> None:
        """Start without jobs and workers."""
        self._ended_job_retention_s = timing.ended_job_retention_s
        self._book = books.SchedulerState()
        self._jobs = job_keepers.JobTracker(self._book)
        self._workers = worker_keepers.WorkerTracker(
            self._book, self._jobs, timing.lost_after_s
        )
        self._placer = placer.Placer(self._book)
        self.maintenance = maintenance.Maintenance(
            self._book, timing.host_downtime_s
        )
        self._checkpoints = checkpoint_selector.CheckpointSelector(self._book)
        self._uncommitted: dict[int, books.DeferredActions] = {}
        self._batch_number = 0
        self._next_scan_at = 0.0
        self._recorded_bindings: dict[
            bindings.AccountId, evidence_records.CellsBound
        ] = {}
        self._evidence: list[evidence_records.Row] = []

    @property
    def workers(self) -> dict[str, fleet.Worker]:
        """The workers, by name."""
        return self._book.workers

    @property
    def jobs(self) -> dict[str, job_state.Job]:
        """The jobs that are not over, by name."""
        return self._book.jobs

    @property
    def accounts(self) -> accounts.Accounts:
        """The accounts that operators stated, and their cells."""
        return self._book.accounts

    @property
    def wait_reasons(self) -> dict[str, str]:
        """Why a group has no place yet, by the name of its first task."""
        return self._placer.wait_reasons

    @property
    def lost_work(self) -> dict[str, float]:
        """Core-seconds thrown away so far, by cause."""
        return self._book.lost_work

    def apply_report(
        self, listing: fleet.WorkerStatus, now: float, wall_ms: int
    ) -> None:
        """Take in what a side reports about its worker."""
        self._book.wall_ms = wall_ms
        self._workers.apply_report(listing, now, wall_ms)

    def next_advice_request(self) -> advice.AdviceRequest | None:
        """Give what to ask the queues' policy now, if anything."""
        return self._book.advice.next_request()

    def apply_advice(
        self,
        question: advice.AdviceRequest,
        answer: advice.AdviceReply | None,
        now: float,
    ) -> None:
        """Take in the answer to a question; none if there was no whole one."""
        self._book.advice.apply_reply(question, answer, now)
        self._book.needs_placement = True

    def mark_side_disconnected(self, side: str) -> None:
        """A side's link has ended; its worker may well go on."""
        self._workers.mark_side_disconnected(side)

    def restore(
        self, board: job_table.JobTable, now: float, wall_ms: int
    ) -> None:
        """Begin to decide, from what the log says."""
        self._book.wall_ms = wall_ms
        self._book.start_warmup(now)
        stored = sorted(
            board.jobs.items(), key=lambda item: item[1].submit_offset
        )
        for name, job in stored:
            self._jobs.load_job(name, job, now, wall_ms)
        self.maintenance.restore(board.rounds)

    def set_policy(self, policy: model.Policy) -> None:
        """Use a new version of the configuration."""
        self._book.policy = policy
        self._book.accounts.set_specs(policy.accounts)
        self._book.needs_placement = True

    def warmup_left_s(self, now: float) -> float:
        """Give how long it still has to hear of the workers, in seconds."""
        return max(0.0, self._book.warmup_ends_at - now)

    def on_job_changed(
        self, name: str, stored: job_table.StoredJob, now: float, wall_ms: int
    ) -> None:
        """Follow what callers did: a job handed in, or cancelled."""
        self._book.wall_ms = wall_ms
        if name not in self._book.jobs:
            if name not in self._book.ended_jobs:
                self._jobs.load_job(name, stored, now, wall_ms)
            return
        if stored.cancelled:
            self._jobs.end_job(
                self._book.jobs[name], model.CANCELLED, "cancelled", wall_ms
            )

    def tick(self, now: float, wall_ms: int) -> None:
        """Do what the time asks for, and place what can be placed."""
        self._book.wall_ms = wall_ms
        if now >= self._next_scan_at:
            self._next_scan_at = now + _SCAN_PERIOD_S
            self._jobs.open_due_occurrences(now, wall_ms)
            self._workers.check_workers(now)
            self._rebind_cells(now)
            self._checkpoints.mark_dirty(now)
            self._jobs.purge_ended_jobs(
                self._ended_job_retention_s * 1000,
                not self._uncommitted,
                wall_ms,
            )
            self._book.needs_placement = True
        if self._book.needs_placement:
            self._book.needs_placement = False
            self._placer.place_all(now)

    def take_record_batch(self) -> RecordBatch | None:
        """Give the records that must be appended next, if there are any."""
        after = self._book.deferred
        if not self._book.dirty_jobs and not self._book.purged_jobs:
            if after.acks or after.evidence:
                # What the ends changed was on the log already.
                self._release_effects(after)
                self._book.deferred = books.DeferredActions()
            return None
        records = []
        for name in self._book.dirty_jobs:
            job = self._book.jobs.get(name)
            if job is not None:
                records.append(job_records.encode_progress(job.to_record()))
                for group in job.groups():
                    group.mark_persisted()
        for name in self._book.purged_jobs:
            records.extend(job_records.make_tombstones(name))
        self._book.dirty_jobs.clear()
        self._book.purged_jobs.clear()
        self._book.deferred = books.DeferredActions()
        self._batch_number += 1
        self._uncommitted[self._batch_number] = after
        return RecordBatch(self._batch_number, tuple(records))

    def confirm_commit(self, number: int) -> None:
        """A batch is on the log; what waited for it may happen."""
        self._release_effects(self._uncommitted.pop(number))

    def record_evidence(self, body: evidence_records.Body) -> None:
        """Leave evidence of what was decided outside of the scheduler."""
        self._book.record_evidence(body)

    def take_evidence(self) -> list[evidence_records.Row]:
        """Hand over what can be shown as evidence now."""
        rows, self._evidence = self._evidence, []
        return rows

    def take_log_lines(self) -> list[books.LogLine]:
        """Hand over the log lines that are waiting."""
        said, self._book.log_lines = self._book.log_lines, []
        return said

    def _rebind_cells(self, now: float) -> None:
        """Keep cells for what is promised, on the workers that can hold it."""
        promised = self._book.accounts
        usable = [
            worker
            for worker in self._book.workers.values()
            if worker.has_reported
            and not worker.draining
            and now >= worker.quarantined_until
        ]
        promised.rebind(usable)
        if self.warmup_left_s(now):
            return
        for spec in promised.specs():
            name = bindings.account_id(spec)
            cells = [
                cell
                for shape in promised.bindings.shapes_of(name)
                for cell in shape.cells
            ]
            bound = evidence_records.CellsBound(
                *name,
                tuple(cell.worker for cell in cells),
                tuple(cell.gpus for cell in cells),
                promised.bindings.count_missing(name),
            )
            if self._recorded_bindings.get(name) != bound:
                self._recorded_bindings[name] = bound
                self._book.record_evidence(bound)
                text = (
                    f"{name[0]} in {name[1]} has {len(cells)} cells,"
                    f" {bound.missing} missing."
                )
                self._book.queue_log_line(logs.Component.PLACE, text)

    def _release_effects(self, after: books.DeferredActions) -> None:
        """Carry out what waited for the log."""
        self._evidence += after.evidence
        for group, run_number in after.starts:
            if group.run != run_number or group.phase != job_state.ASSIGNED:
                continue
            if group.stop_reason:
                continue
            for index, name in enumerate(group.assigned_workers):
                if name:
                    run = fleet.RunId(group.tasks[index], group.run)
                    self._book.order_start(
                        self._book.workers[name], group, run
                    )
        for name, number in after.acks.items():
            worker = self._book.workers.get(name)
            if worker is not None and number > worker.acked:
                worker.acked = number
                worker.orders_changed = True
