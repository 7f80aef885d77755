"""The jobs topic as an in-memory table, from which entries answer."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

import trio

from kingcuplever.connection import keyed_log
from kingcuplever import containment
from kingcuplever import intents
from kingcuplever import logs
from kingcuplever import plain
from kingcuplever.process.scheduling import host_speed
from kingcuplever.process.scheduling import maintenance_rounds
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import host_records
from kingcuplever.process.stored import intent_records
from kingcuplever.process.stored import intent_table
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import quarantine_records
from kingcuplever.process.stored import silence_records


class StoredJob:
    """State of one job on the log.

    :ivar spec: absent until the record of the submission is read.
    :ivar submit_offset: offset of the first submission read; -1 before.
    :ivar cancelled: whether a cancellation was read.
    :ivar progress: newest progress by an owner, if there is any.
    """

    def __init__(self) -> None:
        """Create a job without records."""
        self.spec: model.JobSpec | None = None
        self.submit_offset = -1
        self.cancelled = False
        self.progress: job_records.Progress | None = None

    @property
    def state(self) -> str:
        """The state shown to callers."""
        state = model.PENDING
        if self.progress is not None:
            state = self.progress.state
        if self.cancelled and state not in model.ENDED_STATES:
            return model.CANCELLED
        return state


class Listener(Protocol):
    """Callbacks for records by callers and operators."""

    def on_job_changed(self, name: str, job: StoredJob) -> None:
        """Handle the submission or cancellation of a job."""

    def on_intents_changed(self) -> None:
        """Handle a new plan, account or configuration."""


class JobTable:
    """Holds the newest record of each key of the jobs topic.

    :ivar jobs: jobs by name.
    :ivar owner: newest record of an owner.
    :ivar owner_changed: event that is set, and replaced, when the owner's
        epoch changes.
    :ivar owner_record_count: how many records by owners were read.
    :ivar owner_recorded_at: monotonic time, in seconds, when the newest of
        them was read.
    :ivar silences: monotonic time, in seconds, since when the side of a
        worker has surely had no permission to act, by worker.
    :ivar quarantines: monotonic time, in seconds, when the quarantine of a
        worker ends, by worker.
    :ivar intents: the operators' state.
    :ivar rounds: progress of maintenance rounds by number.
    :ivar host_speeds: what an owner has learned of hosts, by host.
    :ivar listener: gets the callbacks, if there is one.
    """

    def __init__(
        self,
        read_clock: Callable[[], float] | None = None,
        barrier: containment.ErrorBarrier | None = None,
    ) -> None:
        """Create an empty table.

        :param read_clock: returns the monotonic time in seconds; by default
            that of the event loop.
        :param barrier: contains the errors of single records.
        """
        self._read_clock = read_clock or _read_loop_clock
        self.owner_recorded_at = float("-inf")
        self.silences: dict[str, float] = {}
        self.quarantines: dict[str, float] = {}
        self.jobs: dict[str, StoredJob] = {}
        self.owner: job_records.Owner | None = None
        self.owner_changed = trio.Event()
        self.owner_record_count = 0
        self.intents = intent_table.IntentTable()
        self.rounds: dict[int, maintenance_rounds.RoundProgress] = {}
        self.host_speeds: dict[str, host_speed.Estimate] = {}
        self.listener: Listener | None = None
        self._barrier = barrier or containment.ErrorBarrier()
        self._offsets: dict[str, int] = {}

    def apply_records(self, records: Sequence[keyed_log.StoredRecord]) -> None:
        """Apply records; one with an older offset of its key has no effect."""
        had_intents = False
        for stored in records:
            if stored.offset <= self._offsets.get(stored.key, -1):
                continue
            self._offsets[stored.key] = stored.offset
            if not job_records.is_caller_key(stored.key):
                # Callers' records are appended by any entry, others by owners.
                self.owner_record_count += 1
                self.owner_recorded_at = self._read_clock()
            had_intents |= intent_records.is_intent_key(stored.key)
            with self._barrier.contain("record of the log", stored.key):
                self._apply_stored(stored)
        if had_intents and self.listener is not None:
            # Records of a snapshot tell the operators' state only together.
            with self._barrier.contain("intents", "all"):
                self.listener.on_intents_changed()

    def begin_snapshot(self, end: int) -> None:
        """Keep all jobs while a snapshot follows.

        A caller's job must not disappear meanwhile.  A key that was dropped
        before the snapshot stays too long, which does no harm.  A silence
        that was dropped meanwhile must not count, as its side may act again.
        """
        for worker in self.silences:
            self._offsets.pop(silence_records.make_key(worker), None)
        self.silences.clear()

    def count_waiting(self, queue: str) -> int:
        """Count the jobs of a queue that have not started."""
        return sum(
            1
            for job in self.jobs.values()
            if job.spec is not None
            and job.spec.queue == queue
            and job.state == model.PENDING
        )

    def _apply_stored(self, stored: keyed_log.StoredRecord) -> None:
        """Apply one record; skip one that can't be decoded."""
        try:
            record = job_records.decode_record(stored)
        except plain.ValidationError as error:
            text = f"Record at offset {stored.offset} is skipped: {error}"
            logs.warn(logs.Component.LOG, text)
            return
        self._apply(record, stored.offset)

    def _apply(self, record: job_records.Record, offset: int) -> None:
        if isinstance(record, job_records.Owner):
            self._apply_owner(record)
            return
        if isinstance(record, job_records.Tombstone):
            self._apply_tombstone(record.key)
            return
        if isinstance(record, silence_records.Silence):
            silent_s = record.silent_ms / 1000
            self.silences[record.worker] = self.owner_recorded_at - silent_s
            return
        if isinstance(record, quarantine_records.Quarantine):
            left_s = record.left_ms / 1000
            self.quarantines[record.worker] = self.owner_recorded_at + left_s
            return
        if isinstance(record, maintenance_rounds.RoundProgress):
            self.rounds[record.number] = record
            return
        if isinstance(record, host_records.HostSpeed):
            self.host_speeds[record.host] = record.estimate
            return
        if isinstance(
            record,
            intents.Plan
            | intents.AccountSpec
            | intents.EvacuationSpec
            | intent_records.Config,
        ):
            self.intents.apply_record(record, offset)
            return
        job = self.jobs.setdefault(record.job, StoredJob())
        if isinstance(record, job_records.Submitted):
            if job.spec is None:
                job.spec = record.spec
                job.submit_offset = offset
                self._notify_job_changed(record.job, job)
        elif isinstance(record, job_records.Cancelled):
            job.cancelled = True
            self._notify_job_changed(record.job, job)
        else:
            job.progress = record

    def _apply_owner(self, record: job_records.Owner) -> None:
        current = self.owner
        if current is not None and record.epoch < current.epoch:
            return
        self.owner = record
        if current is None or record.epoch > current.epoch:
            self.owner_changed.set()
            self.owner_changed = trio.Event()

    def _notify_job_changed(self, name: str, job: StoredJob) -> None:
        if self.listener is not None:
            self.listener.on_job_changed(name, job)

    def _apply_tombstone(self, key: str) -> None:
        self._offsets.pop(key, None)
        self.jobs.pop(job_records.parse_job_name(key), None)
        self.host_speeds.pop(host_records.parse_host(key), None)
        self.intents.drop_plan(intent_records.parse_plan_name(key))
        self.silences.pop(silence_records.parse_worker(key), None)
        self.quarantines.pop(quarantine_records.parse_worker(key), None)


def _read_loop_clock() -> float:
    return trio.current_time()
