"""The records that keep jobs: what was handed in, cancelled and done.

One topic holds them all, by key: ``s:JOB`` is the job as it was handed in,
``c:JOB`` its cancelling, ``j:JOB`` how far it is, ``owner`` who schedules.
A submission and a progress have keys of their own, so that handing a job in
again can't overwrite what has been done.  Values are compact JSON.  What
operators stated lies beside them, see :mod:`intent_records`.
"""

import json
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import keyed_log
from kingcuplever import plain
from kingcuplever.process.scheduling import maintenance_rounds
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import intent_records
from kingcuplever.process.stored import maintenance_records

TOPIC: Final = "jobs"
OWNER_KEY: Final = "owner"

_SUBMITTED: Final = "s:"
_CANCELLED: Final = "c:"
_PROGRESS: Final = "j:"


class Submitted(NamedTuple):
    """A job was handed in."""

    job: str
    spec: model.JobSpec


class Cancelled(NamedTuple):
    """A job was cancelled."""

    job: str


class GroupProgress(NamedTuple):
    """How far the tasks are that start together.

    :ivar first: index of the group's first task.
    :ivar run: number of its last start.
    :ivar phase: ``w`` waiting, ``a`` assigned, ``d`` done.
    :ivar workers: worker of each task of an assignment, empty where that
        task no longer holds anything.
    """

    occurrence: int
    step: int
    first: int
    run: int
    phase: str
    failures: int
    saved: str
    workers: tuple[str, ...]


class Progress(NamedTuple):
    """How far a job is.

    :ivar finished: occurrences that are wholly done.
    :ivar ended_ms: time of day of the end, or 0.
    :ivar begun_ms: time of day when a task was first given a worker.
    :ivar evictions: how often work of it was stopped for other work.
    """

    job: str
    state: str
    finished: tuple[int, ...]
    groups: tuple[GroupProgress, ...]
    ended_ms: int = 0
    begun_ms: int = 0
    evictions: int = 0


class Owner(NamedTuple):
    """Who schedules.

    :ivar address: where sides reach it, ``host:port``.
    :ivar renewal: counts the renewals within the epoch.
    :ivar evidence: newest batch of evidence that it has written, as text.
    """

    epoch: int
    entry: str
    address: str
    renewal: int
    evidence: str = ""


class Tombstone(NamedTuple):
    """A key was dropped."""

    key: str


Record = (
    Submitted
    | Cancelled
    | Progress
    | Owner
    | Tombstone
    | maintenance_rounds.RoundProgress
    | intent_records.Record
)


def encode_submission(job: str, spec: model.JobSpec) -> keyed_log.KeyedRecord:
    """Make the record of a job that was handed in."""
    return _record(_SUBMITTED + job, _omit_defaults(spec))


def encode_cancellation(job: str) -> keyed_log.KeyedRecord:
    """Make the record of a cancelling."""
    return _record(_CANCELLED + job, {})


def encode_progress(record: Progress) -> keyed_log.KeyedRecord:
    """Make the record of how far a job is."""
    value = [
        record.state,
        list(record.finished),
        [list(group) for group in record.groups],
        record.ended_ms,
        record.begun_ms,
        record.evictions,
    ]
    return _record(_PROGRESS + record.job, value)


def encode_owner(record: Owner) -> keyed_log.KeyedRecord:
    """Make the record of who schedules."""
    return _record(OWNER_KEY, list(record))


def make_tombstones(job: str) -> tuple[keyed_log.KeyedRecord, ...]:
    """Make the records that drop all keys of a job."""
    return tuple(
        keyed_log.KeyedRecord(prefix + job, None)
        for prefix in (_SUBMITTED, _CANCELLED, _PROGRESS)
    )


def decode_record(stored: keyed_log.StoredRecord) -> Record:
    """Read a record of the topic.

    :raises plain.FaultyValue: if it is none of ours.
    """
    key, value = stored.key, stored.value
    if value is None:
        return Tombstone(key)
    try:
        document = json.loads(value)
        return _read(key, document)
    except plain.ValidationError:
        raise
    except (ValueError, TypeError, RecursionError) as error:
        fault = plain.Fault(key, repr(value[:60]), "a record of the product")
        raise plain.ValidationError([fault]) from error


def is_caller_key(key: str) -> bool:
    """Tell whether a key is of a record that any entry may write."""
    return key[:2] in (_SUBMITTED, _CANCELLED)


def parse_job_name(key: str) -> str:
    """Give the job that a dropped key belongs to, or an empty text."""
    return key[2:] if key[:2] in (_SUBMITTED, _CANCELLED, _PROGRESS) else ""


def _read(key: str, document: Any) -> Record:
    if key.startswith(_SUBMITTED):
        spec = plain.from_plain(model.JobSpec, document, key)
        return Submitted(key[2:], spec)
    if key.startswith(_CANCELLED):
        return Cancelled(key[2:])
    if key.startswith(_PROGRESS):
        state, finished, groups, *numbers = document
        rows = tuple(_read_group(row) for row in groups)
        done = _check_types(finished, (int,) * len(finished))
        _check_types([state, *numbers], (str, int, int, int))
        return Progress(key[2:], state, tuple(done), rows, *numbers)
    if key == OWNER_KEY:
        return Owner(*_check_types(document, (int, str, str, int, str)))
    if maintenance_records.is_round_key(key):
        return maintenance_records.decode_record(key, document)
    if intent_records.is_intent_key(key):
        return intent_records.decode_record(key, document)
    fault = plain.Fault("key", repr(key), "a key of the product")
    raise plain.ValidationError([fault])


def _read_group(row: list[Any]) -> GroupProgress:
    """Read one group's row."""
    occurrence, step, first, run, phase, failures, saved = _check_types(
        row[:7], (int, int, int, int, str, int, str)
    )
    workers = _check_types(row[7], (str,) * len(row[7]))
    return GroupProgress(
        occurrence, step, first, run, phase, failures, saved, tuple(workers)
    )


def _check_types(values: list[Any], types: tuple[type, ...]) -> list[Any]:
    """Give values whose types are as they should be.

    :raises TypeError: if they are not.
    """
    if tuple(map(type, values)) != types:
        raise TypeError(f"{values!r:.60} in a record")
    return values


def _record(key: str, value: Any) -> keyed_log.KeyedRecord:
    data = json.dumps(value, separators=(",", ":")).encode()
    return keyed_log.KeyedRecord(key, data)


def _omit_defaults(value: Any) -> Any:
    """Turn a NamedTuple into plain values, defaults left out."""
    if hasattr(value, "_fields"):
        defaults = value._field_defaults
        return {
            name: _omit_defaults(item)
            for name, item in zip(value._fields, value, strict=True)
            if name not in defaults or defaults[name] != item
        }
    if isinstance(value, tuple):
        return [_omit_defaults(item) for item in value]
    return value
