"""Input from the users' platform, valid, damaged and arbitrary."""

import json
import struct
from typing import Any

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from kingcuplever.connection import http_client
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import plain
from kingcuplever.platform import executor
from kingcuplever.platform import queues
from kingcuplever.platform import settings
from kingcuplever.platform import store
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
from standins import wire_site

QUEUE = model.QueuePolicy("r-rosters", "desk", 1, 3, 3.0, 1000)
SETTINGS: dict[str, Any] = {
    "NodeName": "edge-1",
    "Zone": "hall",
    "Ip": "10.1.0.19",
    "PortRange": [7000, 7015],
    "Listen": {"Front": "10.1.0.19:8521", "Ready": "10.1.0.19:8523"},
    "Limits": {"CpuShare": 0.5, "Cores": 2, "LinkMbps": 1000.0},
    "Bounds": {"HoldMaxMs": 6000, "status_s": 120, "GraceS": 6},
    "platform": {"Address": "10.200.1.7:8524"},
}

scalars = (
    st.none()
    | st.booleans()
    | st.integers(-5, 10**9)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
)
documents = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=8,
)


def replace_value(document: Any, path: list[Any], value: Any) -> Any:
    """Return a copy of a document with the value at a path replaced."""
    if not path:
        return value
    copy = dict(document) if isinstance(document, dict) else [*document]
    copy[path[0]] = replace_value(copy[path[0]], path[1:], value)
    return copy


def list_paths(document: Any) -> list[list[Any]]:
    """Return the paths of all values in a document."""
    found: list[list[Any]] = []
    pairs: Any = ()
    if isinstance(document, dict):
        pairs = document.items()
    elif isinstance(document, list):
        pairs = enumerate(document)
    for key, value in pairs:
        found.append([key])
        found += [[key, *rest] for rest in list_paths(value)]
    return found


CONFIG = wire_site.make_configuration(7)
JOB = {
    "Spec": "text",
    "Times": 2,
    "FirstMs": 1000,
    "PeriodMs": 500,
    "Steps": [
        {"Count": 4, "Cpu": 500, "MemMb": 256, "Gang": True},
        {"Count": 20, "Cpu": 2000, "After": [0], "Checkpointing": True},
    ],
}
REGISTRATION = {
    "Service": "desk",
    "Zone": "hall",
    "State": "draining",
    "RemainingMs": 2000,
    "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 8},
    "Labels": ["a", "r1-3"],
    "Seq": 4,
}


def test_configuration_is_decoded() -> None:
    read = queues.decode_config(json.dumps(CONFIG).encode())
    assert read.version == 7
    assert read.account_by_key[wire_site.API_KEY] == "yard"
    assert read.policy.guaranteed_gpus == {"yard": 8, "farrier": 0}
    route = read.find_route(wire_site.HOST, wire_site.PREFIX + "x")
    assert route is not None and route.queue == "r-rosters"
    assert read.find_route("other.example", wire_site.PREFIX) is None


@hypothesis.given(st.sampled_from(list_paths(CONFIG)), documents)
def test_damaged_configuration_is_read_or_refused(
    path: list[Any], value: Any
) -> None:
    data = json.dumps(replace_value(CONFIG, path, value)).encode()
    try:
        read = queues.decode_config(data)
    except errors.InvalidRequest:
        return
    read.find_route(wire_site.HOST, wire_site.PREFIX)


@hypothesis.given(st.binary(max_size=60))
def test_foreign_configuration_gets_a_typed_error(data: bytes) -> None:
    with pytest.raises(errors.InvalidRequest):
        queues.decode_config(data)


def test_job_is_decoded() -> None:
    spec = queues.decode_job(JOB, QUEUE, "yard", 5)
    assert [step.tasks for step in spec.steps] == [4, 20]
    assert spec.steps[1].after == (0,)
    assert spec.steps[0].gang and spec.steps[1].checkpointing
    assert (spec.times, spec.due_ms(1)) == (2, 1500)


@hypothesis.given(st.sampled_from(list_paths(JOB)), documents)
def test_damaged_job_is_read_or_refused(path: list[Any], value: Any) -> None:
    try:
        spec = queues.decode_job(
            replace_value(JOB, path, value), QUEUE, "yard", 5
        )
    except errors.InvalidRequest:
        return
    # An accepted job must be the same after it is written and read back.
    record = job_records.encode_submission("5c0e7a21d94b36f8", spec)
    stored = keyed_log.StoredRecord(0, record.key, record.value)
    assert job_records.decode_record(stored) == job_records.Submitted(
        "5c0e7a21d94b36f8", spec
    )


@hypothesis.given(st.sampled_from(list_paths(REGISTRATION)), documents)
def test_damaged_registration_is_read_or_refused(
    path: list[Any], value: Any
) -> None:
    document = replace_value(REGISTRATION, path, value)
    try:
        read = executor.decode_registration("i-1", document, 0.0)
    except errors.InvalidRequest:
        return
    assert isinstance(read.sequence, int)
    assert all(isinstance(label, str) for label in read.labels)


@hypothesis.given(st.sampled_from(list_paths(SETTINGS)), documents)
def test_damaged_settings_are_read_or_refused(
    path: list[Any], value: Any
) -> None:
    try:
        settings.parse(replace_value(SETTINGS, path, value), "boot.toml")
    except errors.SettingsError as error:
        assert "boot.toml" in error.detail


def test_settings_error_names_the_missing_field() -> None:
    incomplete = {name: v for name, v in SETTINGS.items() if name != "Bounds"}
    with pytest.raises(errors.SettingsError, match="Bounds.HoldMaxMs"):
        settings.parse(incomplete, "boot.toml")


def test_weaker_host_has_less_election_weight() -> None:
    weak = SETTINGS | {
        "Limits": {"CpuShare": 0.5, "Cores": 1, "LinkMbps": 5.0}
    }
    strong = settings.parse(SETTINGS, "boot.toml").election_weight
    assert settings.parse(weak, "boot.toml").election_weight < strong <= 1.0


class _FakeClient:
    """An HTTP client that returns the same response to every call."""

    def __init__(self, status: int, body: bytes) -> None:
        self._response = http_client.ClientResponse(status, (), body)

    async def call(self, *_: Any, **__: Any) -> http_client.ClientResponse:
        return self._response


def _make_store(status: int, body: bytes) -> store.Store:
    return store.Store(_FakeClient(status, body))  # type: ignore[arg-type]


def _append(status: int, body: bytes) -> int:
    stamp = keyed_log.ProducerStamp("owner", 3, 9)
    record = keyed_log.KeyedRecord("k", b"v")

    async def main() -> int:
        return await _make_store(status, body).append(
            "jobs", [record], stamp, 4
        )

    return trio.run(main)


@pytest.mark.parametrize(
    ("status", "body", "kind"),
    [
        (412, b'{"End":7}', errors.LogConflict),
        (409, b'{"Reason":"fenced","epoch":4}', errors.LogFenced),
        (409, b'{"Reason":"seq","Seq":8}', errors.LogFenced),
        (429, b"", errors.LogRefused),
        (503, b'{"Error":"try later"}', errors.LogRefused),
        (507, b"", errors.LogRefused),
        (500, b"", errors.LogUnavailable),
        (200, b"no json", errors.LogUnavailable),
    ],
)
def test_answers_of_the_store_have_typed_errors(
    status: int, body: bytes, kind: type[Exception]
) -> None:
    with pytest.raises(kind) as raised:
        _append(status, body)
    assert type(raised.value) is kind


def test_failed_connection_is_a_refusal() -> None:
    # The connect timeout must expire first: after a timeout of the whole call
    # it is unknown whether the request was sent.
    assert http_client.CONNECT_TIMEOUT_S < store.CALL_TIMEOUT_S
    client = http_client.HttpClient("127.0.0.1:1", 1.0)
    stamp = keyed_log.ProducerStamp("owner", 3, 9)
    record = keyed_log.KeyedRecord("k", b"v")

    async def main() -> None:
        async with client:
            await store.Store(client).append("jobs", [record], stamp)

    with pytest.raises(errors.LogRefused):
        trio.run(main)


def test_append_returns_the_offset_after_its_records() -> None:
    assert _append(200, b'{"Offset":840,"End":900}') == 841


@hypothesis.given(st.binary(max_size=200))
def test_foreign_records_of_a_topic_are_left_out(body: bytes) -> None:
    async def main() -> None:
        table = job_table.JobTable()
        try:
            batch = await _make_store(200, body).read("jobs", 0, 0)
        except errors.LogUnavailable:
            return
        table.apply_records(batch.records)
        assert not table.jobs or all(table.jobs)

    trio.run(main)


@hypothesis.given(
    st.sampled_from(["s:j1", "c:j1", "j:j1", "owner", "other"]),
    documents.map(lambda value: json.dumps(value).encode())
    | st.binary(max_size=30),
)
def test_foreign_record_of_a_key_is_read_or_refused(
    key: str, value: bytes
) -> None:
    try:
        job_records.decode_record(keyed_log.StoredRecord(0, key, value))
    except plain.ValidationError:
        return


def test_truncated_record_ends_the_batch() -> None:
    whole = struct.pack(">I", 3) + b"\x01kv"
    body = struct.pack(">QQ", 9, 0) + whole + struct.pack(">I", 50) + b"\x01k"

    async def main() -> keyed_log.ReadBatch:
        return await _make_store(200, body).read("jobs", 5, 0)

    batch = trio.run(main)
    assert batch.next_offset == 6
    assert batch.records == (keyed_log.StoredRecord(5, "k", b"v"),)
