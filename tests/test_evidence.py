"""Tests that the audit of the evidence detects broken promises.

Each test changes a history without faults as a faulty owner, a slow worker or
an edit of the log would have changed it.
"""

from collections.abc import Callable
import json

from kingcuplever import intents
from kingcuplever.process import evidence_audit
from kingcuplever.process.owner import planner
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import evidence_records
import pytest
from tests import pool as pools

RECLAIM_MS = 5000
Rows = list[evidence_records.Row]


@pytest.fixture(scope="module")
def history() -> Rows:
    """Return a history with accounts, a reclaim and a failover."""
    pool = pools.Pool(6)
    accounts = (
        intents.AccountSpec("a", "hall", (intents.Guarantee("worker", 2),)),
        intents.AccountSpec("b", "hall"),
    )
    pool.scheduler.set_policy(model.Policy(1, {}, {}, accounts))
    pool.advance_time(3.0)
    rows = [make_claim_row(pool, 1)]
    for number, spec in enumerate(accounts):
        plan = f"account.{number}"
        record_accepted_plan(
            pool, plan, "account", f"hall/{spec.account}", number + 1
        )
    record_accepted_plan(pool, "config.1", "config", "", 3)
    for number in range(12):
        submit(pool, f"s{number}", "b", 4)
    pool.advance_time(2.0)
    submit(pool, "map", "a", 8, tasks=2)
    pool.advance_time(2.0)
    end_all_tasks(pool)
    pool.advance_time(2.0)
    rows += pool.scheduler.take_evidence()
    pool.fail_over()
    pool.scheduler.set_policy(model.Policy(1, {}, {}, accounts))
    rows.append(make_claim_row(pool, 2))
    pool.advance_time(3.0)
    end_all_tasks(pool)
    pool.advance_time(2.0)
    return rows + pool.scheduler.take_evidence()


def make_claim_row(pool: pools.Pool, epoch: int) -> evidence_records.Row:
    """Return the row of a claim; :func:`make_batches` sets its head."""
    body = evidence_records.OwnershipClaimed(epoch, "e1", "")
    return evidence_records.Row(pool.wall_ms, body)


def record_accepted_plan(
    pool: pools.Pool, plan: str, kind: str, subject: str, version: int
) -> None:
    """Record evidence of an accepted plan."""
    accepted = evidence_records.PlanAccepted(
        plan, kind, subject, "rania", version
    )
    pool.scheduler.record_evidence(accepted)


def submit(
    pool: pools.Pool, name: str, account: str, gpus: int, tasks: int = 1
) -> None:
    """Submit a job of a confirmed plan."""
    shape = intents.TaskShape(gpus, gpus * 2.0, gpus * 4.0)
    spec = intents.GangSpec(name, account, "hall", tasks, shape, 30.0)
    plan = f"job.{name}"
    pool.submit(name, planner.make_job(spec, plan, 3, 0, True))
    record_accepted_plan(pool, plan, "job", name, 0)


def end_all_tasks(pool: pools.Pool) -> None:
    """End all running tasks as done."""
    for fake in pool.workers:
        for run in [*fake.running]:
            fake.end_run(run, "done")


def make_batches(rows: Rows, size: int = 10) -> list[bytes]:
    """Chain rows into batches as the owner's evidence writer does."""
    values: list[bytes] = []
    head = evidence_records.EMPTY_HEAD
    number, epoch, after, position = 8, 1, "", 0
    while position < len(rows):
        batch_rows: Rows = []
        while position < len(rows) and len(batch_rows) < size:
            body = rows[position].body
            if isinstance(body, evidence_records.OwnershipClaimed):
                if batch_rows:
                    break
                before = str(head) if head.number else ""
                batch_rows.append(
                    rows[position]._replace(body=body._replace(before=before))
                )
                if body.epoch != epoch:
                    epoch, after, number = body.epoch, "", head.number + 8
            else:
                batch_rows.append(rows[position])
            position += 1
        batch = evidence_records.Batch(number, epoch, after, tuple(batch_rows))
        value = evidence_records.encode_batch(batch).value
        assert value is not None
        values.append(value)
        after = evidence_records.compute_digest(value)
        head = evidence_records.Head(number, after)
        number += 1
    return values


def audit_values(
    values: list[bytes], until_ms: int = 200_000
) -> dict[str, evidence_audit.AuditResult]:
    results = evidence_audit.audit(values, RECLAIM_MS, until_ms)
    return {item.promise: item for item in results}


def audit_rows(rows: Rows) -> dict[str, evidence_audit.AuditResult]:
    return audit_values(make_batches(rows))


def find_index(
    rows: Rows, predicate: Callable[[evidence_records.Body], bool]
) -> int:
    return next(n for n, row in enumerate(rows) if predicate(row.body))


def find_placed(
    rows: Rows, job: str
) -> tuple[int, evidence_records.GroupPlaced]:
    index = find_index(
        rows,
        lambda b: isinstance(b, evidence_records.GroupPlaced) and b.job == job,
    )
    body = rows[index].body
    assert isinstance(body, evidence_records.GroupPlaced)
    return index, body


def replace_body(rows: Rows, index: int, body: evidence_records.Body) -> Rows:
    changed = rows[index]._replace(body=body)
    return [*rows[:index], changed, *rows[index + 1 :]]


def test_history_without_faults_keeps_all_promises(history: Rows) -> None:
    results = audit_rows(history)
    for item in results.values():
        assert item.findings == ()
    assert {item.verdict for item in results.values()} == {"kept"}
    kinds = {type(row.body) for row in history}
    assert kinds == {type(row) for row in _one_of_each(history)}


def _one_of_each(rows: Rows) -> list[evidence_records.Body]:
    """Return a row of each kind; the other tests need them all."""
    bodies = {type(row.body): row.body for row in rows}
    assert len(bodies) == 9
    return list(bodies.values())


def test_partly_placed_gang_breaks_whole_gangs(history: Rows) -> None:
    index, body = find_placed(history, "map")
    partial = body._replace(workers=body.workers[:1])
    results = audit_rows(replace_body(history, index, partial))
    assert results[evidence_audit.WHOLE_GANGS].verdict == "broken"


def test_overcommitted_accelerators_break_whole_gangs(history: Rows) -> None:
    placed = [
        (index, row.body)
        for index, row in enumerate(history)
        if isinstance(row.body, evidence_records.GroupPlaced)
        and row.body.job.startswith("s")
    ]
    workers = placed[0][1].workers
    rows = history
    for index, body in placed[:3]:
        rows = replace_body(rows, index, body._replace(workers=workers))
    assert audit_rows(rows)[evidence_audit.WHOLE_GANGS].verdict == "broken"


def test_concurrent_run_of_a_task_breaks_run_once(history: Rows) -> None:
    index, body = find_placed(history, "s0")
    rerun = history[index]._replace(body=body._replace(run=body.run + 1))
    rows = [*history[: index + 1], rerun, *history[index + 1 :]]
    assert audit_rows(rows)[evidence_audit.RUN_ONCE].verdict == "broken"


def test_run_of_a_done_task_breaks_run_once(history: Rows) -> None:
    index = find_index(
        history,
        lambda b: isinstance(b, evidence_records.TaskEnded)
        and b.outcome == "done",
    )
    ended = history[index].body
    assert isinstance(ended, evidence_records.TaskEnded)
    job = ended.group.partition(".")[0]
    _, body = find_placed(history, job)
    rerun = body._replace(run=ended.run + 1)
    row = evidence_records.Row(history[index].at_ms, rerun)
    rows = [*history[: index + 1], row, *history[index + 1 :]]
    assert audit_rows(rows)[evidence_audit.RUN_ONCE].verdict == "broken"


def test_unconfirmed_job_breaks_confirmed_changes(history: Rows) -> None:
    index = find_index(
        history,
        lambda b: isinstance(b, evidence_records.PlanAccepted)
        and b.subject == "s0",
    )
    rows = [*history[:index], *history[index + 1 :]]
    assert (
        audit_rows(rows)[evidence_audit.CONFIRMED_CHANGES].verdict == "broken"
    )


def test_slow_reclaim_breaks_the_guarantee(history: Rows) -> None:
    index = find_index(
        history, lambda b: isinstance(b, evidence_records.CapacityReclaimed)
    )
    early = history[index]._replace(
        at_ms=history[index].at_ms - 2 * RECLAIM_MS
    )
    rows = [*history[:index], early, *history[index + 1 :]]
    assert audit_rows(rows)[evidence_audit.GUARANTEE].verdict == "broken"


def test_unserved_reclaim_breaks_the_guarantee(history: Rows) -> None:
    index, _ = find_placed(history, "map")
    # The job's end is cut off as well: an ended job has no claim to capacity.
    rows = history[:index]
    assert audit_rows(rows)[evidence_audit.GUARANTEE].verdict == "broken"
    values = make_batches(rows)
    before_limit = audit_values(values, until_ms=history[index].at_ms)
    assert before_limit[evidence_audit.GUARANTEE].verdict == "kept"


def test_missing_cells_break_the_guarantee(history: Rows) -> None:
    unbound = evidence_records.CellsBound("a", "hall", (), (), 2)
    rows = [*history, evidence_records.Row(history[-1].at_ms, unbound)]
    result = audit_rows(rows)[evidence_audit.GUARANTEE]
    assert result.verdict == "broken"
    assert "short of 2" in result.findings[0].text


def test_cells_bound_twice_break_the_guarantee(history: Rows) -> None:
    index = find_index(
        history, lambda b: isinstance(b, evidence_records.CellsBound)
    )
    body = history[index].body
    assert isinstance(body, evidence_records.CellsBound)
    other = evidence_records.Row(
        history[index].at_ms, body._replace(account="c")
    )
    rows = [*history[: index + 1], other, *history[index + 1 :]]
    assert audit_rows(rows)[evidence_audit.GUARANTEE].verdict == "broken"


def test_edited_batch_breaks_intact_records(history: Rows) -> None:
    values = make_batches(history)
    document = json.loads(values[2])
    document["rows"][0][1] += 1
    values[2] = json.dumps(document, separators=(",", ":")).encode()
    assert (
        audit_values(values)[evidence_audit.INTACT_RECORDS].verdict == "broken"
    )


@pytest.mark.parametrize("place", [1, 3])
def test_missing_batch_breaks_intact_records(
    history: Rows, place: int
) -> None:
    values = make_batches(history)
    del values[place]
    assert (
        audit_values(values)[evidence_audit.INTACT_RECORDS].verdict == "broken"
    )


def test_missing_last_batch_of_an_epoch_breaks_intact_records(
    history: Rows,
) -> None:
    values = make_batches(history)
    epochs = [json.loads(value)["epoch"] for value in values]
    del values[epochs.index(2) - 1]
    assert (
        audit_values(values)[evidence_audit.INTACT_RECORDS].verdict == "broken"
    )


def test_unreadable_batch_breaks_intact_records(history: Rows) -> None:
    values = [*make_batches(history), b"{}"]
    assert (
        audit_values(values)[evidence_audit.INTACT_RECORDS].verdict == "broken"
    )


def test_missing_oldest_batch_keeps_intact_records(history: Rows) -> None:
    values = make_batches(history)[1:]
    assert (
        audit_values(values)[evidence_audit.INTACT_RECORDS].verdict == "kept"
    )


def test_two_owners_of_an_epoch_break_single_owner(history: Rows) -> None:
    second = evidence_records.OwnershipClaimed(1, "e2", "")
    row = evidence_records.Row(history[-1].at_ms, second)
    values = make_batches([*history, row])
    assert (
        audit_values(values)[evidence_audit.SINGLE_OWNER].verdict == "broken"
    )


def test_older_configuration_breaks_monotonic_config(history: Rows) -> None:
    older = evidence_records.PlanAccepted("config.0", "config", "", "omar", 2)
    row = evidence_records.Row(history[-1].at_ms, older)
    results = audit_rows([*history, row])
    assert results[evidence_audit.MONOTONIC_CONFIG].verdict == "broken"


def test_promises_without_records_are_not_provable() -> None:
    results = audit_rows([])
    assert {item.verdict for item in results.values()} == {"not provable"}
    assert all(item.missing for item in results.values())


def test_accelerators_of_an_ended_gang_member_can_be_reused() -> None:
    """Check that only the accelerators of ended members are free.

    The first end of a member ends the run of the gang; the other members end
    a little later.
    """
    bodies: list[evidence_records.Body] = [
        evidence_records.OwnershipClaimed(1, "e1", ""),
        evidence_records.WorkerSeen("w1", 8),
        evidence_records.WorkerSeen("w2", 8),
        evidence_records.GroupPlaced("g", "g.0.0.0", 1, 2, 8, ("w1", "w2"), 0),
        evidence_records.TaskEnded("g.0.0.0", 1, "w1", 1, "done"),
        evidence_records.GroupPlaced("s", "s.0.0.0", 1, 1, 8, ("w1",), 0),
        evidence_records.TaskEnded("g.0.0.0", 1, "w2", 0, "done"),
        evidence_records.GroupPlaced("t", "t.0.0.0", 1, 1, 8, ("w2",), 0),
    ]
    rows = [evidence_records.Row(100_000, body) for body in bodies]
    results = audit_rows(rows)
    assert results[evidence_audit.WHOLE_GANGS].findings == ()
    assert results[evidence_audit.WHOLE_GANGS].checked == 3
    early = [*rows[:4], rows[7], *rows[4:7]]
    assert audit_rows(early)[evidence_audit.WHOLE_GANGS].verdict == "broken"
