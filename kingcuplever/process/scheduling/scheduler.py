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
from kingcuplever.process.scheduling import book as books
from kingcuplever.process.scheduling import checkpoints
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import jobs as job_keepers
from kingcuplever.process.scheduling import maintenance
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import placer
from kingcuplever.process.scheduling import work
from kingcuplever.process.scheduling import workers as worker_keepers
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import job_board
from kingcuplever.process.stored import job_records

# Timeouts are looked for so often.
_SCAN_S: Final = 0.25


class Timing(NamedTuple):
    """Times that the decisions depend on, in seconds.

    :ivar lost_after_s: silence of a side after which nothing can run on
        its worker any more.
    :ivar status_s: how long an ended job can be asked for.
    :ivar down_s: how long a host is down for its maintenance.
    """

    lost_after_s: float
    status_s: float
    down_s: float = 0.0


class Changes(NamedTuple):
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
        self._status_s = timing.status_s
        self._book = books.Book()
        self._jobs = job_keepers.JobKeeper(self._book)
        self._workers = worker_keepers.WorkerKeeper(
            self._book, self._jobs, timing.lost_after_s
        )
        self._placer = placer.Placer(self._book)
        self.maintenance = maintenance.Maintenance(self._book, timing.down_s)
        self._checkpoints = checkpoints.Checkpoints(self._book)
        self._batches: dict[int, books.AfterCommit] = {}
        self._batch_number = 0
        self._scan_at = 0.0
        self._noted: dict[bindings.AccountId, evidence_records.Bound] = {}
        self._evidence: list[evidence_records.Row] = []

    @property
    def workers(self) -> dict[str, fleet.Worker]:
        """The workers, by name."""
        return self._book.workers

    @property
    def jobs(self) -> dict[str, work.Job]:
        """The jobs that are not over, by name."""
        return self._book.jobs

    @property
    def accounts(self) -> accounts.Accounts:
        """The accounts that operators stated, and their cells."""
        return self._book.accounts

    @property
    def waiting_for(self) -> dict[str, str]:
        """Why a group has no place yet, by the name of its first task."""
        return self._placer.waiting_for

    @property
    def lost_work(self) -> dict[str, float]:
        """Core-seconds thrown away so far, by cause."""
        return self._book.lost_work

    def report(self, listing: fleet.Listing, now: float, wall_ms: int) -> None:
        """Take in what a side reports about its worker."""
        self._book.wall_ms = wall_ms
        self._workers.report(listing, now, wall_ms)

    def next_question(self) -> advice.Question | None:
        """Give what to ask the queues' policy now, if anything."""
        return self._book.advice.next_question()

    def advised(
        self,
        question: advice.Question,
        answer: advice.Answer | None,
        now: float,
    ) -> None:
        """Take in the answer to a question; none if there was no whole one."""
        self._book.advice.answered(question, answer, now)
        self._book.place_wanted = True

    def side_lost(self, side: str) -> None:
        """A side's link has ended; its worker may well go on."""
        self._workers.side_lost(side)

    def load(
        self, board: job_board.JobBoard, now: float, wall_ms: int
    ) -> None:
        """Begin to decide, from what the log says."""
        self._book.wall_ms = wall_ms
        self._book.begin(now)
        stored = sorted(board.jobs.items(), key=lambda item: item[1].order)
        for name, job in stored:
            self._jobs.load_job(name, job, now, wall_ms)
        self.maintenance.load(board.rounds)

    def set_policy(self, policy: model.Policy) -> None:
        """Use a new version of the configuration."""
        self._book.policy = policy
        self._book.accounts.set_specs(policy.accounts)
        self._book.place_wanted = True

    def unsettled_s(self, now: float) -> float:
        """Give how long it still has to hear of the workers, in seconds."""
        return max(0.0, self._book.settles_at - now)

    def job_changed(
        self, name: str, stored: job_board.StoredJob, now: float, wall_ms: int
    ) -> None:
        """Follow what callers did: a job handed in, or cancelled."""
        self._book.wall_ms = wall_ms
        if name not in self._book.jobs:
            if name not in self._book.over:
                self._jobs.load_job(name, stored, now, wall_ms)
            return
        if stored.cancelled:
            self._jobs.end(
                self._book.jobs[name], model.CANCELLED, "cancelled", wall_ms
            )

    def tick(self, now: float, wall_ms: int) -> None:
        """Do what the time asks for, and place what can be placed."""
        self._book.wall_ms = wall_ms
        if now >= self._scan_at:
            self._scan_at = now + _SCAN_S
            self._jobs.open_due(now, wall_ms)
            self._workers.check(now)
            self._rebind(now)
            self._checkpoints.mark(now)
            self._jobs.forget_ended(
                self._status_s * 1000, not self._batches, wall_ms
            )
            self._book.place_wanted = True
        if self._book.place_wanted:
            self._book.place_wanted = False
            self._placer.place_all(now)

    def take_changes(self) -> Changes | None:
        """Give the records that must be appended next, if there are any."""
        after = self._book.after
        if not self._book.dirty and not self._book.dropped:
            if after.acks or after.rows:
                # What the ends changed was on the log already.
                self._release(after)
                self._book.after = books.AfterCommit()
            return None
        records = []
        for name in self._book.dirty:
            job = self._book.jobs.get(name)
            if job is not None:
                records.append(job_records.progress(job.record()))
                for group in job.groups():
                    group.note_recorded()
        for name in self._book.dropped:
            records.extend(job_records.forgotten(name))
        self._book.dirty.clear()
        self._book.dropped.clear()
        self._book.after = books.AfterCommit()
        self._batch_number += 1
        self._batches[self._batch_number] = after
        return Changes(self._batch_number, tuple(records))

    def committed(self, number: int) -> None:
        """A batch is on the log; what waited for it may happen."""
        self._release(self._batches.pop(number))

    def note(self, body: evidence_records.Body) -> None:
        """Leave evidence of what was decided outside of the scheduler."""
        self._book.note(body)

    def take_evidence(self) -> list[evidence_records.Row]:
        """Hand over what can be shown as evidence now."""
        rows, self._evidence = self._evidence, []
        return rows

    def take_said(self) -> list[books.Say]:
        """Hand over the log lines that are waiting."""
        said, self._book.said = self._book.said, []
        return said

    def _rebind(self, now: float) -> None:
        """Keep cells for what is promised, on the workers that can hold it."""
        promised = self._book.accounts
        usable = [
            worker
            for worker in self._book.workers.values()
            if worker.known
            and not worker.draining
            and now >= worker.away_until
        ]
        promised.rebind(usable)
        if self.unsettled_s(now):
            return
        for spec in promised.specs():
            name = bindings.account_id(spec)
            cells = [
                cell
                for shape in promised.bindings.shapes_of(name)
                for cell in shape.cells
            ]
            bound = evidence_records.Bound(
                *name,
                tuple(cell.worker for cell in cells),
                tuple(cell.gpus for cell in cells),
                promised.bindings.missing(name),
            )
            if self._noted.get(name) != bound:
                self._noted[name] = bound
                self._book.note(bound)
                text = (
                    f"{name[0]} in {name[1]} has {len(cells)} cells,"
                    f" {bound.missing} missing."
                )
                self._book.say(logs.Part.PLACE, text)

    def _release(self, after: books.AfterCommit) -> None:
        """Carry out what waited for the log."""
        self._evidence += after.rows
        for group, run_number in after.starts:
            if group.run != run_number or group.phase != work.ASSIGNED:
                continue
            if group.stopping:
                continue
            for index, name in enumerate(group.holders):
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
