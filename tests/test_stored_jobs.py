"""A record of a job that can't be scheduled is refused, whoever wrote it."""

import json
from typing import Any

from kingcuplever.connection import keyed_log
from kingcuplever import plain
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import job_records
import pytest

from tests import pool as pools

JOB = "5c0e7a21d94b36f8"
OTHER_JOB = "00c0ffee00c0ffee"
STEP: dict[str, Any] = {"tasks": 1, "gpus": 1}
SPEC: dict[str, Any] = {
    "queue": "normal",
    "pool": "desk",
    "account": "stable",
    "payload": "",
    "steps": [STEP],
    "accepted_ms": 0,
}


def make_record(key: str, document: Any) -> keyed_log.KeyedRecord:
    """Make a record as another writer may."""
    return keyed_log.KeyedRecord(key, json.dumps(document).encode())


def check_other_jobs_run(record: keyed_log.KeyedRecord) -> None:
    """Check that a job runs beside a record, and under the next owner."""
    pool = pools.Pool()
    pool.append([record])
    stored = pool.table.jobs.get(JOB)
    if stored is not None:
        pool.scheduler.on_job_changed(JOB, stored, pool.now, pool.wall_ms)
    pool.submit(OTHER_JOB, pools.spec(pools.step()))
    pool.fail_over()
    pool.advance_time(1.0)
    assert pool.running_tasks(OTHER_JOB)


# Guards against owners that end one after the other, or do nothing else any
# more: a caller's job was checked, and a record of another writer was not.
@pytest.mark.parametrize(
    "changes",
    [
        {"steps": [STEP, STEP | {"after": [7]}]},
        {"steps": [STEP | {"after": [0]}]},
        {"steps": [STEP | {"tasks": 10**15}]},
        {"steps": [STEP | {"tasks": -1}]},
        {"steps": [], "times": 10**15},
        {"steps": []},
        {"times": 10**15},
        {"first_ms": 10**300},
        {"steps": [STEP | {"gpus": -8, "memory_mb": -(10**6)}]},
        {"steps": [STEP | {"estimate_ms": -1}]},
    ],
    ids=lambda changes: json.dumps(changes)[:40],
)
def test_submission_that_cannot_be_scheduled_is_refused(
    changes: dict[str, Any],
) -> None:
    record = make_record(f"s:{JOB}", SPEC | changes)
    stored = keyed_log.StoredRecord(0, record.key, record.value)
    with pytest.raises(plain.ValidationError):
        job_records.decode_record(stored)
    check_other_jobs_run(record)


ROW: list[Any] = [0, 0, 0, 1, "w", 0, "", []]


@pytest.mark.parametrize(
    "progress",
    [
        {
            "workers": [],
            "rest": ["pending"],
            "groups": [],
            "finished": [[0, n]],
        }
        for n in (model.MAX_OCCURRENCES, 10**15)
    ]
    + [["running", [], [ROW[:3] + [2**31] + ROW[4:]], 0, 0, 0]],
    ids=lambda progress: json.dumps(progress)[:40],
)
def test_progress_beyond_any_job_is_refused(progress: Any) -> None:
    record = make_record(f"j:{JOB}", progress)
    stored = keyed_log.StoredRecord(0, record.key, record.value)
    with pytest.raises(plain.ValidationError):
        job_records.decode_record(stored)
    check_other_jobs_run(record)


# Guards against an owner out of memory: each row opened an occurrence with all
# tasks of the job.
def test_progress_opens_no_more_than_a_job_may_have_open() -> None:
    pool = pools.Pool()
    step = pools.step(tasks=500)
    pool.submit(JOB, pools.spec(step, times=10_000, period_ms=10**12))
    rows = [[number, *ROW[1:]] for number in range(-5, 10_000)]
    pool.append([make_record(f"j:{JOB}", ["pending", [], rows, 0, 0, 0])])
    pool.fail_over()
    pool.settle()
    opened = pool.scheduler.jobs[JOB].open_occurrences
    assert len(opened) * step.tasks <= model.MAX_TASKS


# Guards against a job that never ends: its step counted a group as done twice.
def test_group_that_a_record_names_twice_is_done_once() -> None:
    pool = pools.Pool()
    pool.submit(JOB, pools.spec(pools.step(tasks=2)))
    done = [*ROW[:4], "d", *ROW[5:]]
    document = ["running", [], [done, done], 0, 0, 0]
    pool.append([make_record(f"j:{JOB}", document)])
    pool.fail_over()
    pool.advance_time(1.0)
    pool.end_tasks(JOB, "done")
    pool.advance_time(1.0)
    assert pool.get_job_state(JOB) == model.COMPLETED


def test_largest_job_is_taken() -> None:
    step = pools.step(tasks=model.MAX_TASKS // 2)
    last = pools.step(tasks=model.MAX_TASKS // 2, after=(0,))
    job = pools.spec(step, last, times=model.MAX_OCCURRENCES)
    record = job_records.encode_submission(JOB, job)
    stored = keyed_log.StoredRecord(0, record.key, record.value)
    assert job_records.decode_record(stored) == job_records.Submitted(JOB, job)
