"""Evidence says broken when a promise is broken on purpose.

Each case takes a sound history and changes what a misbehaving owner, a slow
worker or somebody at the log could have changed.
"""

from collections.abc import Callable
import json

from kingcuplever import intents
from kingcuplever.process import evidence_audit
from kingcuplever.process.owner import planner
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import evidence_records
import pytest
from tests import pool

RECLAIM_MS = 5000
Rows = list[evidence_records.Row]


@pytest.fixture(scope="module")
def history() -> Rows:
    """Give a history with accounts, a reclaim and a takeover in it."""
    running = pool.Pool(6)
    accounts = (
        intents.AccountSpec("a", "hall", (intents.Guarantee("worker", 2),)),
        intents.AccountSpec("b", "hall"),
    )
    running.scheduler.set_policy(model.Policy(1, {}, {}, accounts))
    running.advance_time(3.0)
    rows = [claimed(running, 1)]
    for number, spec in enumerate(accounts):
        plan = f"account.{number}"
        note(running, plan, "account", f"hall/{spec.account}", number + 1)
    note(running, "config.1", "config", "", 3)
    for number in range(12):
        submit(running, f"s{number}", "b", 4)
    running.advance_time(2.0)
    submit(running, "map", "a", 8, tasks=2)
    running.advance_time(2.0)
    finish(running)
    running.advance_time(2.0)
    rows += running.scheduler.take_evidence()
    running.fail_over()
    running.scheduler.set_policy(model.Policy(1, {}, {}, accounts))
    rows.append(claimed(running, 2))
    running.advance_time(3.0)
    finish(running)
    running.advance_time(2.0)
    return rows + running.scheduler.take_evidence()


def claimed(running: pool.Pool, epoch: int) -> evidence_records.Row:
    """Give the row of a claim; batches name the head when they are made."""
    body = evidence_records.OwnershipClaimed(epoch, "e1", "")
    return evidence_records.Row(running.wall_ms, body)


def note(
    running: pool.Pool, plan: str, kind: str, subject: str, version: int
) -> None:
    """Leave evidence of an accepted plan."""
    decided = evidence_records.PlanAccepted(
        plan, kind, subject, "rania", version
    )
    running.scheduler.record_evidence(decided)


def submit(
    running: pool.Pool, name: str, account: str, gpus: int, tasks: int = 1
) -> None:
    """Confirm a job."""
    shape = intents.TaskShape(gpus, gpus * 2.0, gpus * 4.0)
    spec = intents.GangSpec(name, account, "hall", tasks, shape, 30.0)
    plan = f"job.{name}"
    running.submit(name, planner.make_job(spec, plan, 3, 0, True))
    note(running, plan, "job", name, 0)


def finish(running: pool.Pool) -> None:
    """End whatever runs."""
    for fake in running.workers:
        for run in [*fake.running]:
            fake.end_run(run, "done")


def make_batches(rows: Rows, size: int = 10) -> list[bytes]:
    """Chain rows as the owner's writer does."""
    values: list[bytes] = []
    head = evidence_records.EMPTY_HEAD
    number, epoch, after, at = 8, 1, "", 0
    while at < len(rows):
        part: Rows = []
        while at < len(rows) and len(part) < size:
            body = rows[at].body
            if isinstance(body, evidence_records.OwnershipClaimed):
                if part:
                    break
                before = str(head) if head.number else ""
                part.append(
                    rows[at]._replace(body=body._replace(before=before))
                )
                if body.epoch != epoch:
                    epoch, after, number = body.epoch, "", head.number + 8
            else:
                part.append(rows[at])
            at += 1
        batch = evidence_records.Batch(number, epoch, after, tuple(part))
        value = evidence_records.encode_batch(batch).value
        assert value is not None
        values.append(value)
        after = evidence_records.compute_digest(value)
        head = evidence_records.Head(number, after)
        number += 1
    return values


def judge_values(
    values: list[bytes], until_ms: int = 200_000
) -> dict[str, evidence_audit.AuditResult]:
    found = evidence_audit.audit(values, RECLAIM_MS, until_ms)
    return {item.promise: item for item in found}


def judge(rows: Rows) -> dict[str, evidence_audit.AuditResult]:
    return judge_values(make_batches(rows))


def position(
    rows: Rows, wanted: Callable[[evidence_records.Body], bool]
) -> int:
    return next(n for n, row in enumerate(rows) if wanted(row.body))


def find_placed(
    rows: Rows, job: str
) -> tuple[int, evidence_records.GroupPlaced]:
    place = position(
        rows,
        lambda b: isinstance(b, evidence_records.GroupPlaced) and b.job == job,
    )
    body = rows[place].body
    assert isinstance(body, evidence_records.GroupPlaced)
    return place, body


def with_body(rows: Rows, place: int, body: evidence_records.Body) -> Rows:
    changed = rows[place]._replace(body=body)
    return [*rows[:place], changed, *rows[place + 1 :]]


def test_sound_history_is_kept(history: Rows) -> None:
    found = judge(history)
    for item in found.values():
        assert item.findings == ()
    assert {item.verdict for item in found.values()} == {"kept"}
    kinds = {type(row.body) for row in history}
    assert kinds == {type(row) for row in _one_of_each(history)}


def _one_of_each(rows: Rows) -> list[evidence_records.Body]:
    """Every kind must be there, or the cases below prove little."""
    found = {type(row.body): row.body for row in rows}
    assert len(found) == 9
    return list(found.values())


def test_part_of_a_gang_is_broken(history: Rows) -> None:
    place, body = find_placed(history, "map")
    part = body._replace(workers=body.workers[:1])
    found = judge(with_body(history, place, part))
    assert found[evidence_audit.WHOLE_GANGS].verdict == "broken"


def test_accelerators_in_use_are_broken(history: Rows) -> None:
    placed = [
        (place, row.body)
        for place, row in enumerate(history)
        if isinstance(row.body, evidence_records.GroupPlaced)
        and row.body.job.startswith("s")
    ]
    taken = placed[0][1].workers
    rows = history
    for place, body in placed[:3]:
        rows = with_body(rows, place, body._replace(workers=taken))
    assert judge(rows)[evidence_audit.WHOLE_GANGS].verdict == "broken"


def test_run_beside_another_is_broken(history: Rows) -> None:
    place, body = find_placed(history, "s0")
    again = history[place]._replace(body=body._replace(run=body.run + 1))
    rows = [*history[: place + 1], again, *history[place + 1 :]]
    assert judge(rows)[evidence_audit.RUN_ONCE].verdict == "broken"


def test_run_after_the_end_is_broken(history: Rows) -> None:
    place = position(
        history,
        lambda b: isinstance(b, evidence_records.TaskEnded)
        and b.outcome == "done",
    )
    ended = history[place].body
    assert isinstance(ended, evidence_records.TaskEnded)
    job = ended.group.partition(".")[0]
    _, body = find_placed(history, job)
    again = body._replace(run=ended.run + 1)
    row = evidence_records.Row(history[place].at_ms, again)
    rows = [*history[: place + 1], row, *history[place + 1 :]]
    assert judge(rows)[evidence_audit.RUN_ONCE].verdict == "broken"


def test_job_without_confirmation_is_broken(history: Rows) -> None:
    place = position(
        history,
        lambda b: isinstance(b, evidence_records.PlanAccepted)
        and b.subject == "s0",
    )
    rows = [*history[:place], *history[place + 1 :]]
    assert judge(rows)[evidence_audit.CONFIRMED_CHANGES].verdict == "broken"


def test_slow_reclaim_is_broken(history: Rows) -> None:
    place = position(
        history, lambda b: isinstance(b, evidence_records.CapacityReclaimed)
    )
    early = history[place]._replace(
        at_ms=history[place].at_ms - 2 * RECLAIM_MS
    )
    rows = [*history[:place], early, *history[place + 1 :]]
    assert judge(rows)[evidence_audit.GUARANTEE].verdict == "broken"


def test_reclaim_that_is_never_served_is_broken(history: Rows) -> None:
    place, _ = find_placed(history, "map")
    # The job's end is cut off as well: a job that is over is owed nothing.
    rows = history[:place]
    assert judge(rows)[evidence_audit.GUARANTEE].verdict == "broken"
    values = make_batches(rows)
    soon = judge_values(values, until_ms=history[place].at_ms)
    assert soon[evidence_audit.GUARANTEE].verdict == "kept"


def test_guarantee_that_the_fleet_lost_is_broken(history: Rows) -> None:
    short = evidence_records.CellsBound("a", "hall", (), (), 2)
    rows = [*history, evidence_records.Row(history[-1].at_ms, short)]
    found = judge(rows)[evidence_audit.GUARANTEE]
    assert found.verdict == "broken"
    assert "short of 2" in found.findings[0].text


def test_room_promised_twice_is_broken(history: Rows) -> None:
    place = position(
        history, lambda b: isinstance(b, evidence_records.CellsBound)
    )
    body = history[place].body
    assert isinstance(body, evidence_records.CellsBound)
    other = evidence_records.Row(
        history[place].at_ms, body._replace(account="c")
    )
    rows = [*history[: place + 1], other, *history[place + 1 :]]
    assert judge(rows)[evidence_audit.GUARANTEE].verdict == "broken"


def test_edited_batch_shows(history: Rows) -> None:
    values = make_batches(history)
    document = json.loads(values[2])
    document["rows"][0][1] += 1
    values[2] = json.dumps(document, separators=(",", ":")).encode()
    assert (
        judge_values(values)[evidence_audit.INTACT_RECORDS].verdict == "broken"
    )


@pytest.mark.parametrize("place", [1, 3])
def test_missing_batch_shows(history: Rows, place: int) -> None:
    values = make_batches(history)
    del values[place]
    assert (
        judge_values(values)[evidence_audit.INTACT_RECORDS].verdict == "broken"
    )


def test_missing_end_of_an_epoch_shows(history: Rows) -> None:
    values = make_batches(history)
    epochs = [json.loads(value)["epoch"] for value in values]
    del values[epochs.index(2) - 1]
    assert (
        judge_values(values)[evidence_audit.INTACT_RECORDS].verdict == "broken"
    )


def test_unreadable_batch_shows(history: Rows) -> None:
    values = [*make_batches(history), b"{}"]
    assert (
        judge_values(values)[evidence_audit.INTACT_RECORDS].verdict == "broken"
    )


def test_oldest_batches_may_have_been_dropped(history: Rows) -> None:
    values = make_batches(history)[1:]
    assert (
        judge_values(values)[evidence_audit.INTACT_RECORDS].verdict == "kept"
    )


def test_two_owners_of_an_epoch_are_broken(history: Rows) -> None:
    second = evidence_records.OwnershipClaimed(1, "e2", "")
    row = evidence_records.Row(history[-1].at_ms, second)
    values = make_batches([*history, row])
    assert (
        judge_values(values)[evidence_audit.SINGLE_OWNER].verdict == "broken"
    )


def test_reverted_configuration_is_broken(history: Rows) -> None:
    older = evidence_records.PlanAccepted("config.0", "config", "", "omar", 2)
    row = evidence_records.Row(history[-1].at_ms, older)
    found = judge([*history, row])
    assert found[evidence_audit.MONOTONIC_CONFIG].verdict == "broken"


def test_nothing_is_kept_without_a_case() -> None:
    found = judge([])
    assert {item.verdict for item in found.values()} == {"not provable"}
    assert all(item.missing for item in found.values())


def test_room_of_a_member_that_is_gone_can_be_given_again() -> None:
    """The first end of a gang is the gang's; the others end a little later."""
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
    found = judge(rows)
    assert found[evidence_audit.WHOLE_GANGS].findings == ()
    assert found[evidence_audit.WHOLE_GANGS].checked == 3
    early = [*rows[:4], rows[7], *rows[4:7]]
    assert judge(early)[evidence_audit.WHOLE_GANGS].verdict == "broken"
