"""Encodes the records of the jobs topic.

Keys: ``s:JOB`` is the submission of a job, ``c:JOB`` its cancellation,
``j:JOB`` its progress, and ``owner`` the owner of the scheduling.  Submission
and progress have separate keys, so that a repeated submission can't overwrite
the progress.  Values are compact JSON.  The topic also holds the records of
:mod:`host_records`, :mod:`intent_records`, :mod:`maintenance_records`,
:mod:`quarantine_records` and :mod:`silence_records`.
"""

import json
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import keyed_log
from kingcuplever import lenient_json
from kingcuplever import options
from kingcuplever import plain
from kingcuplever.process.scheduling import maintenance_rounds
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import host_records
from kingcuplever.process.stored import intent_records
from kingcuplever.process.stored import large_progress
from kingcuplever.process.stored import maintenance_records
from kingcuplever.process.stored import quarantine_records
from kingcuplever.process.stored import silence_records

TOPIC: Final = "jobs"
OWNER_KEY: Final = "owner"

_SUBMISSION_PREFIX: Final = "s:"
_CANCELLATION_PREFIX: Final = "c:"
_PROGRESS_PREFIX: Final = "j:"
# Messages between processes carry no higher one.
_MAX_RUN: Final = 2**31 - 1


class Submitted(NamedTuple):
    """Submission of a job."""

    job: str
    spec: model.JobSpec


class Cancelled(NamedTuple):
    """Cancellation of a job."""

    job: str


class GroupProgress(NamedTuple):
    """Progress of a group, the tasks that start together.

    :ivar occurrence: number of the job's occurrence.
    :ivar step: index of the step in the job.
    :ivar first: index of the group's first task.
    :ivar run: number of the group's newest run.
    :ivar phase: ``w`` waiting, ``a`` assigned, ``d`` done.
    :ivar failures: failed runs.
    :ivar saved: newest checkpoint, or empty.
    :ivar workers: worker of each task of an assignment; empty for a task
        that no longer holds resources.
    :ivar crashes: crashes of workers under it.
    :ivar avoided: workers on which it is placed only if there is no other.
    :ivar ready_ms: wall-clock time when its last run ended, if it waits for
        another one; else 0.
    """

    occurrence: int
    step: int
    first: int
    run: int
    phase: str
    failures: int
    saved: str
    workers: tuple[str, ...]
    crashes: model.CrashHistory = model.NO_CRASHES
    avoided: tuple[str, ...] = ()
    ready_ms: int = 0


class Progress(NamedTuple):
    """Progress of a job.

    :ivar finished: numbers of the completed occurrences.
    :ivar groups: groups of the occurrences in progress.
    :ivar ended_ms: wall-clock time of the end, or 0.
    :ivar begun_ms: wall-clock time of the first placement, or 0.
    :ivar evictions: how often a run was stopped in favour of other work.
    """

    job: str
    state: str
    finished: tuple[int, ...]
    groups: tuple[GroupProgress, ...]
    ended_ms: int = 0
    begun_ms: int = 0
    evictions: int = 0


class Owner(NamedTuple):
    """Claim of the ownership, or a renewal of it.

    :ivar entry: name of the owner's entry.
    :ivar address: address of the entry for sides, ``host:port``.
    :ivar renewal: number of the renewal within the epoch; 0 for the claim, -1
        for a resignation.
    :ivar evidence: head of the owner's evidence chain, as text.
    """

    epoch: int
    entry: str
    address: str
    renewal: int
    evidence: str = ""


class Tombstone(NamedTuple):
    """Removal of a key."""

    key: str


Record = (
    Submitted
    | Cancelled
    | Progress
    | Owner
    | Tombstone
    | host_records.HostSpeed
    | maintenance_rounds.RoundProgress
    | quarantine_records.Quarantine
    | silence_records.Silence
    | intent_records.Record
)


def encode_submission(job: str, spec: model.JobSpec) -> keyed_log.KeyedRecord:
    """Encode the submission of a job."""
    return _encode(_SUBMISSION_PREFIX + job, _omit_defaults(spec))


def encode_cancellation(job: str) -> keyed_log.KeyedRecord:
    """Encode the cancellation of a job."""
    return _encode(_CANCELLATION_PREFIX + job, {})


def encode_progress(
    record: Progress,
    most_bytes: int = keyed_log.USUAL_LIMITS.record_bytes,
) -> keyed_log.KeyedRecord:
    """Encode the progress of a job, as a large one if it is too long.

    :param most_bytes: longest record that the log takes.
    """
    value = [
        record.state,
        list(record.finished),
        [_encode_group(group) for group in record.groups],
        record.ended_ms,
        record.begun_ms,
        record.evictions,
    ]
    key = _PROGRESS_PREFIX + record.job
    encoded = _encode(key, value)
    if keyed_log.measure_record(encoded) <= most_bytes:
        return encoded
    # Without them work is tried again in vain, or is done again since its
    # start; the rest must not be lost.
    for left_out in ((), ("avoided",), ("avoided", "saved")):
        encoded = _encode(key, large_progress.encode(value, left_out))
        if keyed_log.measure_record(encoded) <= most_bytes:
            break
    return encoded


def bound_progress_bytes(spec: model.JobSpec) -> int:
    """Return the most bytes that the progress of a job needs."""
    tasks = sum(step.tasks for step in spec.steps)
    occurrences = 1
    if spec.times:
        occurrences = max(1, min(spec.times, model.MAX_TASKS // max(1, tasks)))
    return large_progress.bound_bytes(tasks * occurrences, occurrences)


def encode_owner(record: Owner) -> keyed_log.KeyedRecord:
    """Encode a claim or renewal of the ownership."""
    return _encode(OWNER_KEY, list(record))


def make_tombstones(job: str) -> tuple[keyed_log.KeyedRecord, ...]:
    """Make the records that drop all keys of a job."""
    return tuple(
        keyed_log.KeyedRecord(prefix + job, None)
        for prefix in (
            _SUBMISSION_PREFIX,
            _CANCELLATION_PREFIX,
            _PROGRESS_PREFIX,
        )
    )


def decode_record(stored: keyed_log.StoredRecord) -> Record:
    """Decode a record of the topic.

    :raises plain.ValidationError: if the key is unknown, or the value does
        not fit it.
    """
    key, value = stored.key, stored.value
    if value is None:
        return Tombstone(key)
    try:
        document = lenient_json.parse(value)
        return _decode_document(key, document)
    except plain.ValidationError:
        raise
    except plain.CONVERSION_ERRORS as error:
        fault = plain.Fault(
            key, repr(value[:60]), "a record that fits the key"
        )
        raise plain.ValidationError([fault]) from error


def is_caller_key(key: str) -> bool:
    """Return whether any entry, not only the owner, may write to a key."""
    return key[:2] in (_SUBMISSION_PREFIX, _CANCELLATION_PREFIX)


def parse_job_name(key: str) -> str:
    """Return the job's name from its key; empty for other keys."""
    return (
        key[2:]
        if key[:2]
        in (_SUBMISSION_PREFIX, _CANCELLATION_PREFIX, _PROGRESS_PREFIX)
        else ""
    )


def _decode_document(key: str, document: Any) -> Record:
    if key.startswith(_SUBMISSION_PREFIX):
        return Submitted(key[2:], _decode_spec(document, key))
    if key.startswith(_CANCELLATION_PREFIX):
        return Cancelled(key[2:])
    if key.startswith(_PROGRESS_PREFIX):
        if isinstance(document, dict):
            document = large_progress.decode(document)
        state, finished, groups, *numbers = document
        rows = tuple(_decode_group(row) for row in groups)
        done = _check_types(finished, (int,) * len(finished))
        _check_types([state, *numbers], (str, int, int, int))
        return Progress(key[2:], state, tuple(done), rows, *numbers)
    if key == OWNER_KEY:
        owner = Owner(*_check_types(document, (int, str, str, int, str)))
        # Sides and entries dial it.
        options.split_address(owner.address)
        return owner
    if maintenance_records.is_round_key(key):
        return maintenance_records.decode_record(key, document)
    if silence_records.is_silence_key(key):
        return silence_records.decode_record(key, document)
    if quarantine_records.is_quarantine_key(key):
        return quarantine_records.decode_record(key, document)
    if host_records.is_host_key(key):
        return host_records.decode_record(key, document)
    if intent_records.is_intent_key(key):
        return intent_records.decode_record(key, document)
    fault = plain.Fault("key", repr(key), "a key of the jobs topic")
    raise plain.ValidationError([fault])


def _decode_spec(document: Any, key: str) -> model.JobSpec:
    """Decode a job.

    :raises plain.ValidationError: if it can't be scheduled.
    """
    spec = plain.from_plain(model.JobSpec, document, key)
    fault = model.explain_invalid(spec)
    if fault:
        raise plain.ValidationError([plain.Fault(key, fault, "a valid job")])
    return spec


def _encode_group(group: GroupProgress) -> list[Any]:
    """Encode the progress of a group; mostly the last fields are empty."""
    *row, crashes, avoided, ready_ms = group
    if crashes != model.NO_CRASHES or avoided or ready_ms:
        row.append(list(crashes if crashes.unconfirmed else crashes[:3]))
    if avoided or ready_ms:
        row.append(avoided)
    if ready_ms:
        row.append(ready_ms)
    return row


def _decode_group(row: list[Any]) -> GroupProgress:
    """Decode the progress of a group from its list."""
    occurrence, step, first, run, phase, failures, saved = _check_types(
        row[:7], (int, int, int, int, str, int, str)
    )
    if not 0 <= run <= _MAX_RUN:
        raise ValueError(f"{run} is no number of a run")
    workers = _check_types(row[7], (str,) * len(row[7]))
    crashes = model.NO_CRASHES
    if len(row) > 8:
        proven, suspicion, alone_ms = _check_types(row[8][:3], (int,) * 3)
        hosts = row[8][3] if len(row[8]) > 3 else []
        _check_types(hosts, (str,) * len(hosts))
        crashes = model.CrashHistory(proven, suspicion, alone_ms, tuple(hosts))
    avoided = row[9] if len(row) > 9 else []
    _check_types(avoided, (str,) * len(avoided))
    (ready_ms,) = _check_types(row[10:11] or [0], (int,))
    return GroupProgress(
        occurrence,
        step,
        first,
        run,
        phase,
        failures,
        saved,
        tuple(workers),
        crashes,
        tuple(avoided),
        ready_ms,
    )


def _check_types(values: list[Any], types: tuple[type, ...]) -> list[Any]:
    """Return the values if each has the expected type.

    :raises TypeError: if one does not, or their number differs.
    """
    if tuple(map(type, values)) != types:
        raise TypeError(f"{values!r:.60} has a wrong type in a record")
    return values


def _encode(key: str, value: Any) -> keyed_log.KeyedRecord:
    data = json.dumps(value, separators=(",", ":")).encode()
    return keyed_log.KeyedRecord(key, data)


def _omit_defaults(value: Any) -> Any:
    """Turn a NamedTuple into plain values without fields at their default."""
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
