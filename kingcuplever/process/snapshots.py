"""Writes the replicated state into a snapshot record, and reads it back.

A snapshot and the records after its offset give the same state as all
records from the beginning.  What is derived (the ledger) is rebuilt.
"""

from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever import plain
from kingcuplever.process import replay
from kingcuplever.process import state
from kingcuplever import records
from kingcuplever import shapes

_JOB_FIELDS: Final = (
    "order",
    "submitted_ms",
    "phase",
    "attempt",
    "borrowed",
    "progress",
    "failures",
    "evictions",
    "vacate_reason",
    "vacate_cause",
    "stop_wanted",
    "outcome",
    "started_ms",
    "committed_ms",
    "ended_ms",
)


class _AccountPart(NamedTuple):
    spec: shapes.AccountSpec
    bound: tuple[state.BoundShape, ...]


class _JobPart(NamedTuple):
    spec: shapes.JobSpec
    slots: tuple[shapes.Slot, ...]
    failed_on: tuple[str, ...]
    facts: dict[str, Any]


class _Whole(NamedTuple):
    data_centre: str
    offset: int
    version: int
    epoch: int
    owner: str
    owner_since: int
    digest: str
    dropped: int
    workers: tuple[state.WorkerFacts, ...]
    accounts: tuple[_AccountPart, ...]
    jobs: tuple[_JobPart, ...]
    plans: tuple[state.PlanState, ...]


def write(schedule: state.Schedule) -> records.Snapshot:
    """Give a snapshot of the state as it is now."""
    whole = _Whole(
        schedule.data_centre,
        schedule.offset,
        schedule.version,
        schedule.epoch,
        schedule.owner,
        schedule.owner_since,
        schedule.digest,
        schedule.dropped,
        tuple(schedule.workers.values()),
        tuple(
            _AccountPart(account.spec, tuple(account.bound))
            for account in schedule.accounts.values()
        ),
        tuple(_write_job(job) for job in schedule.jobs.values()),
        tuple(schedule.plans.values()),
    )
    return records.Snapshot(schedule.offset, plain.to_plain(whole))


def read(snapshot: records.Snapshot) -> state.Schedule:
    """Build the state that a snapshot describes.

    :raises plain.FaultyValue: if the snapshot can't be read.
    """
    whole = plain.from_plain(_Whole, snapshot.state, "snapshot")
    schedule = state.Schedule(whole.data_centre)
    schedule.offset = whole.offset
    schedule.version = whole.version
    schedule.epoch = whole.epoch
    schedule.owner = whole.owner
    schedule.owner_since = whole.owner_since
    schedule.digest = whole.digest
    schedule.dropped = whole.dropped
    for facts in whole.workers:
        schedule.workers[facts.shape.worker] = facts
        schedule.ledger.set_worker(facts.shape, facts.status == "up")
    for part in whole.accounts:
        _read_account(schedule, part)
    for job_part in whole.jobs:
        _read_job(schedule, job_part)
    for plan in whole.plans:
        schedule.plans[plan.plan.plan] = plan
    return schedule


def _write_job(job: state.Job) -> _JobPart:
    facts = {name: getattr(job, name) for name in _JOB_FIELDS}
    return _JobPart(job.spec, job.slots, job.failed_on, facts)


def _read_account(schedule: state.Schedule, part: _AccountPart) -> None:
    account = state.Account(part.spec)
    account.bound = list(part.bound)
    for bound in account.bound:
        for cell in bound.cells:
            schedule.ledger.bind(cell, part.spec.account)
    schedule.accounts[part.spec.account] = account


def _read_job(schedule: state.Schedule, part: _JobPart) -> None:
    job = state.Job(part.spec, 0, 0)
    for name in _JOB_FIELDS:
        setattr(job, name, part.facts[name])
    job.slots = part.slots
    job.failed_on = part.failed_on
    schedule.jobs[part.spec.job] = job
    if job.phase in ("running", "stopping"):
        replay.hold_job(schedule.ledger, job)
        replay.count_gpus(schedule, job, job.gpus)
