"""What is read from outside takes time linear in its length."""

from collections.abc import Callable
from collections.abc import Sequence
import json
import time
from typing import Any
from typing import Final

from kingcuplever.connection import frames
from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import lenient_json
from kingcuplever import plain
from kingcuplever.platform import executor
from kingcuplever.platform import hosts
from kingcuplever.platform import queues
from kingcuplever.platform import store
from kingcuplever.process import evidence_audit
from kingcuplever.process.routing import targets
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import owner_announcements
from kingcuplever.version import configuration
import pytest
import trio

from tests import pool as pools

MAX_BYTES: Final = 4 * 1024 * 1024
# Each size is four times the one before, up to the longest.
SIZES: Final = [MAX_BYTES // 4**power for power in range(4, -1, -1)]
# Time that grows with the square of the length grows 16 times a step.
MAX_GROWTH: Final = 8.0
# Shorter times tell nothing of their growth.
SHORT_S: Final = 0.02

TRIES: Final = 3

Reader = Callable[[bytes], object]


class _Client:
    """An HTTP client whose calls all get the same response."""

    def __init__(self, body: bytes) -> None:
        self._response = http_client.ClientResponse(200, (), body)

    async def call(self, *_: Any, **__: Any) -> http_client.ClientResponse:
        await trio.lowlevel.checkpoint()
        return self._response


def read_record(key: str) -> Reader:
    """Return a reader of records with a key."""
    return lambda data: job_records.decode_record(
        keyed_log.StoredRecord(0, key, data)
    )


def read_job(data: bytes) -> object:
    """Read a job that a client submits."""
    document = http_server.parse_json(data)
    return queues.decode_job(document, pools.URGENT, "stable", 0)


def read_registration(data: bytes) -> object:
    """Read a worker's heartbeat."""
    document = http_server.parse_json(data)
    return executor.decode_registration("i-1", document, 0.0)


def read_task_list(data: bytes) -> object:
    """Read a worker's list of tasks."""
    client: Any = _Client(data)
    worker = executor.Executor(client)
    return trio.run(worker.renew_and_list, "i-1", 1, 0, None, 0)


def read_announcement(data: bytes) -> object:
    """Read a target's announcement."""
    return targets.parse_announcement(http_server.parse_json(data))


def read_page(data: bytes) -> object:
    """Read a page of a snapshot."""
    client: Any = _Client(data)
    return trio.run(store.Store(client).read_snapshot, "jobs")


def read_tail(data: bytes) -> object:
    """Read the tail of a topic."""
    client: Any = _Client(data)
    return trio.run(store.Store(client).read, "jobs", 0, 0)


READERS: Final[dict[str, Reader]] = {
    "json": lenient_json.parse,
    "body": http_server.parse_json,
    "job": read_job,
    "registration": read_registration,
    "announcement": read_announcement,
    "task list": read_task_list,
    "submission": read_record("s:j"),
    "progress": read_record("j:j"),
    "owner": read_record("owner"),
    "plan": read_record("p:x"),
    "configuration": queues.decode_config,
    "own configuration": lambda data: configuration.parse_document(
        lenient_json.parse(data)
    ),
    "maintenance order": hosts.decode_wave,
    "evacuations": lambda data: owner_announcements.decode_evacuations(
        keyed_log.StoredRecord(0, "evacuations", data)
    ),
    "evidence": evidence_records.decode_batch,
    "page": read_page,
    "tail": read_tail,
    "frame": frames.decode,
}

ROW: Final = {"Service": "desk", "Labels": ["a", "b"], "Capacity": {"Cpu": 1}}


def fill(head: bytes, part: bytes, size: int) -> bytes:
    """Return a text of a size that repeats a part after a head."""
    return (head + part * (size // len(part)))[:size]


def nest_json(size: int) -> bytes:
    """Return a document in a string, cut: most of its quotes are escaped."""
    rows = json.dumps([ROW] * (size // len(json.dumps(ROW)) + 1))
    return json.dumps(rows).encode()[:size]


# What a text consists of that is cut, malformed or all of one kind.
SHAPES: Final[dict[str, Callable[[int], bytes]]] = {
    "document in a string": nest_json,
    "escaped quotes": lambda size: fill(b'"', b'\\"', size),
    "deep, then escaped quotes": (
        lambda size: fill(b"[" * 3000 + b'"', b'\\"', size)
    ),
    "backslashes": lambda size: fill(b'"', b"\\", size),
    "brackets": lambda size: fill(b"", b"[", size),
    "objects": lambda size: fill(b"", b'{"a":', size),
    "quotes": lambda size: fill(b"", b'"', size),
    "strings": lambda size: fill(b"[", b'"",', size),
    "numbers": lambda size: fill(b"[", b"1,", size),
    "digits": lambda size: fill(b"", b"1", size),
    "long numbers": lambda size: fill(b"[", b"1" * 4000 + b",", size),
    "decimals": lambda size: fill(b"0.", b"1", size),
    "keys": lambda size: fill(b"{", b'"a":1,', size),
    "zeros": lambda size: fill(b"", b"\0", size),
    "lists in a frame": (
        lambda size: fill(b"", b"\x0f\x00\x63\x0c\x00\x00\x00\x01", size)
    ),
}


def measure_s(reader: Reader, data: bytes) -> float:
    """Return the processor time that a reader takes, whatever it says."""
    began_s = time.process_time()
    try:
        reader(data)
    except (errors.KingcupleverError, ValueError):
        pass
    return time.process_time() - began_s


def measure_best_s(
    reader: Reader, make: Callable[[int], bytes], size: int, limit_s: float
) -> float:
    """Measure again what seems slow: other work may have taken the time."""
    took_s = measure_s(reader, make(size))
    for _ in range(TRIES - 1):
        if took_s < limit_s:
            break
        took_s = min(took_s, measure_s(reader, make(size)))
    return took_s


def check_growth(
    reader: Reader,
    make: Callable[[int], bytes],
    sizes: Sequence[int] = SIZES,
) -> None:
    """Check that the time of a reader grows no faster than its text.

    :param sizes: lengths of the text, each four times the one before.
    """
    before_s = 0.0
    for size in sizes:
        limit_s = MAX_GROWTH * max(before_s, SHORT_S)
        took_s = measure_best_s(reader, make, size, limit_s)
        assert took_s < limit_s, f"{took_s:.2f} s for {size} bytes"
        before_s = took_s


# Guards against a side or an entry that does nothing else for minutes: one
# heartbeat, body or record of a legal length took the square of it.
@pytest.mark.parametrize("name", READERS)
def test_any_text_is_read_in_linear_time(name: str) -> None:
    for shape, make in SHAPES.items():
        try:
            check_growth(READERS[name], make)
        except AssertionError as error:
            raise AssertionError(f"{name}, {shape}: {error}") from error


def test_string_that_is_not_closed_hides_no_bracket_before_it() -> None:
    text = "[" * 100 + "]" * 100
    with pytest.raises(ValueError):
        lenient_json.parse("[" * 5000 + '"' + text)
    with pytest.raises(errors.InvalidRequest):
        http_server.parse_json(b"[" + b'"a",' * 2000 + b'"' + b"," * 100)


def test_values_are_counted_outside_of_strings_only() -> None:
    marks = ",:[{" * http_server.MAX_JSON_VALUES
    body = json.dumps({"Spec": marks, "quoted": '\\",' * 9}).encode()
    assert http_server.parse_json(body)["Spec"] == marks


# Guards against a log line of megabytes for one record.
def test_many_faults_are_counted_after_the_first() -> None:
    document = {f"field-{number}": 1 for number in range(20_000)}
    with pytest.raises(plain.ValidationError) as caught:
        plain.from_plain(model.JobSpec, document, "job")
    text = str(caught.value)
    assert "job.field-0 is unknown" in text
    assert text.endswith(f"{len(caught.value.faults) - 100} more")
    assert len(text) < 64 * 1024


def test_faults_are_told_in_linear_time() -> None:
    """One long name and many faults below it do not multiply."""

    def make(size: int) -> bytes:
        items = [None] * (size // 100)
        return json.dumps({"k" * (size // 2): items}).encode()

    def read(data: bytes) -> object:
        document = lenient_json.parse(data)
        return plain.from_plain(dict[str, tuple[int, ...]], document, "x")

    check_growth(read, make)


WORKER: Final = "i-1@side-1"
# One row of each kind that the audit compares with others, by its number.
EVIDENCE: Final[dict[str, Callable[[int], evidence_records.Body]]] = {
    "open placements": lambda number: evidence_records.GroupPlaced(
        "j", f"j.0.0.{number}", 1, 1, 1, (WORKER,), 0
    ),
    "ends of a gang": lambda number: (
        evidence_records.TaskEnded("j.0.0.0", 1, WORKER, 1, "done")
        if number
        else evidence_records.GroupPlaced(
            "j", "j.0.0.0", 1, 2000, 1, (WORKER,) * 2000, 0
        )
    ),
    "cells": lambda number: evidence_records.CellsBound(
        f"account-{number}", "hall", (WORKER,), (1,), 0
    ),
    "reclaims": lambda number: (
        evidence_records.CapacityReclaimed(f"j-{number}.0.0.0", "a", True, ())
        if number % 2
        else evidence_records.JobEnded(f"j-{number}", "completed", "")
    ),
}


def make_batch(make_body: Callable[[int], evidence_records.Body]) -> Any:
    """Return a function that makes a batch of about so many bytes."""

    def make(size: int) -> bytes:
        seen = evidence_records.WorkerSeen(WORKER, 1)
        rows = [evidence_records.Row(0, seen)]
        left_bytes = size
        while left_bytes > 0:
            body = make_body(len(rows) - 1)
            rows.append(evidence_records.Row(0, body))
            left_bytes -= evidence_records.measure_row(rows[-1])
        batch = evidence_records.Batch(1, 1, "", tuple(rows))
        return evidence_records.encode_batch(batch).value or b""

    return make


def audit(data: bytes) -> object:
    """Audit one batch."""
    return evidence_audit.audit([data], 1000, 0)


# Guards against an audit that compares each row with all rows before it.
@pytest.mark.parametrize("kind", EVIDENCE)
def test_evidence_is_audited_in_linear_time(kind: str) -> None:
    check_growth(audit, make_batch(EVIDENCE[kind]), SIZES[1:4])


def test_claims_are_audited_in_linear_time() -> None:
    """The owner's claims, each in a batch of its own, go back to the first."""

    def read(data: bytes) -> object:
        numbers = range(1, len(data) // 64)
        claim = evidence_records.OwnershipClaimed(1, "e1", "1:x")
        rows = (evidence_records.Row(0, claim),)
        batches = [evidence_records.Batch(n, 1, "", rows) for n in numbers]
        values = [evidence_records.encode_batch(b).value for b in batches]
        return evidence_audit.audit([v for v in values if v], 1000, 0)

    check_growth(read, lambda size: b" " * size, SIZES[1:4])
