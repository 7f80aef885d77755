"""All jobs, as the log has them: what an entry answers callers from."""

from collections.abc import Sequence
from typing import Protocol

import trio

from kingcuplever.connection import keyed_log
from kingcuplever import intents
from kingcuplever import logs
from kingcuplever import plain
from kingcuplever.process.scheduling import maintenance_rounds
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import intent_records
from kingcuplever.process.stored import intent_table
from kingcuplever.process.stored import job_records


class StoredJob:
    """One job as the log has it.

    :ivar spec: absent while only other records of the job were seen.
    :ivar order: offset at which it was first seen to be handed in.
    """

    def __init__(self) -> None:
        """Know nothing yet."""
        self.spec: model.JobSpec | None = None
        self.submit_offset = -1
        self.cancelled = False
        self.progress: job_records.Progress | None = None

    @property
    def state(self) -> str:
        """The state to show to callers."""
        shown = model.PENDING
        if self.progress is not None:
            shown = self.progress.state
        if self.cancelled and shown not in model.ENDED_STATES:
            return model.CANCELLED
        return shown


class Listener(Protocol):
    """Hears of what callers and operators did, as the log has it."""

    def on_job_changed(self, name: str, job: StoredJob) -> None:
        """A job was handed in or cancelled."""

    def on_intents_changed(self) -> None:
        """A plan, an account or the configuration is new."""


class JobTable:
    """Applies the records of the topic, the newest of each key.

    :ivar jobs: by name.
    :ivar owner: who schedules, as far as the log says.
    :ivar owner_changed: set, and replaced, whenever another epoch is owned.
    :ivar owner_heard: counts the records that only an owner writes.
    :ivar intents: what operators stated.
    :ivar rounds: how far rounds of maintenance are, by number.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.jobs: dict[str, StoredJob] = {}
        self.owner: job_records.Owner | None = None
        self.owner_changed = trio.Event()
        self.owner_record_count = 0
        self.intents = intent_table.IntentTable()
        self.rounds: dict[int, maintenance_rounds.RoundProgress] = {}
        self.listener: Listener | None = None
        self._offsets: dict[str, int] = {}

    def apply_records(self, records: Sequence[keyed_log.StoredRecord]) -> None:
        """Apply records; an older offset of a key changes nothing."""
        for stored in records:
            if stored.offset <= self._offsets.get(stored.key, -1):
                continue
            self._offsets[stored.key] = stored.offset
            try:
                record = job_records.decode_record(stored)
            except plain.ValidationError as error:
                text = f"Record {stored.offset} is left out: {error}"
                logs.warn(logs.Component.LOG, text)
                continue
            self._apply(record, stored.offset)

    def begin_snapshot(self) -> None:
        """Expect the newest record of each key again.

        What is known stays: a key that was dropped meanwhile is forgotten
        late, which harms nobody, while a caller's job must not vanish.
        """

    def count_waiting(self, queue: str) -> int:
        """Count the accepted jobs of a queue that have not begun."""
        return sum(
            1
            for job in self.jobs.values()
            if job.spec is not None
            and job.spec.queue == queue
            and job.state == model.PENDING
        )

    def _apply(self, record: job_records.Record, offset: int) -> None:
        if isinstance(record, job_records.Owner):
            self.owner_record_count += 1
            self._apply_owner(record)
            return
        if isinstance(record, job_records.Tombstone):
            self._apply_tombstone(record.key)
            return
        if isinstance(record, maintenance_rounds.RoundProgress):
            self.rounds[record.number] = record
            return
        if isinstance(
            record,
            intents.Plan | intents.AccountSpec | intent_records.Config,
        ):
            self.intents.apply_record(record)
            if self.listener is not None:
                self.listener.on_intents_changed()
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
            self.owner_record_count += 1
            job.progress = record

    def _apply_owner(self, record: job_records.Owner) -> None:
        present = self.owner
        if present is not None and record.epoch < present.epoch:
            return
        self.owner = record
        if present is None or record.epoch > present.epoch:
            self.owner_changed.set()
            self.owner_changed = trio.Event()

    def _notify_job_changed(self, name: str, job: StoredJob) -> None:
        if self.listener is not None:
            self.listener.on_job_changed(name, job)

    def _apply_tombstone(self, key: str) -> None:
        self._offsets.pop(key, None)
        self.jobs.pop(job_records.parse_job_name(key), None)
        self.intents.drop_plan(intent_records.parse_plan_name(key))
