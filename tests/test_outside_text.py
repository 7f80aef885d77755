"""Text from outside that can't be sent on is refused where it comes in."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
from typing import Any

from kingcuplever.connection import frames
from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import intents
from kingcuplever import lenient_json
from kingcuplever import messages
from kingcuplever import plain
from kingcuplever.platform import executor
from kingcuplever.platform import job_http
from kingcuplever.process.agent import executor as executors
from kingcuplever.process import job_metrics
from kingcuplever.process import metrics as entry_metrics
from kingcuplever.process.routing import limits
from kingcuplever.process.routing import members
from kingcuplever.process.routing import router_task
from kingcuplever.process.routing import targets
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import job_records
from kingcuplever.request import caller
from kingcuplever.request import relay
import pytest
import trio

from tests import test_platform_input as inputs

# Bytes beyond ASCII in a header, as received.
FOREIGN = "caf\u00e9 \u00ff"


Send = Callable[[str], Awaitable[Any]]


def exchange(send: Send) -> tuple[http_server.HttpRequest, Any]:
    """Send a request to a server that echoes a header.

    :param send: sends it to an address and returns the response.
    :return: the request as the server got it, and the response.
    """
    requests: list[http_server.HttpRequest] = []
    failures: list[errors.KingcupleverError] = []

    async def handle(
        request: http_server.HttpRequest,
    ) -> http_server.HttpResponse:
        requests.append(request)
        value = request.headers.get("x-note", "")
        return http_server.HttpResponse(200, (("x-note", value),), b"")

    async def main() -> Any:
        async with trio.open_nursery() as nursery:
            (url,) = await nursery.start(
                http_server.serve, "127.0.0.1:0", handle, trio.Event()
            )
            response = None
            try:
                response = await send(url.removeprefix("http://"))
            except errors.KingcupleverError as error:
                failures.append(error)
            nursery.cancel_scope.cancel()
            return response

    response = trio.run(main)
    if failures:
        raise failures[0]
    return requests[0], response


def make_get(path: str, note: str = "") -> Send:
    """Make a GET with a header."""

    async def send(address: str) -> http_client.ClientResponse:
        async with http_client.HttpClient(address, 5.0) as client:
            return await client.call("GET", path, b"", (("x-note", note),))

    return send


# Guards against a side that ends when a caller's header, which it passes on to
# the target, has a byte beyond ASCII; and against one that is mangled.
def test_bytes_of_a_header_are_passed_on_as_they_came() -> None:
    request, response = exchange(make_get("/", FOREIGN))
    assert request.headers["x-note"] == FOREIGN
    assert dict(response.headers)["x-note"] == FOREIGN


@pytest.mark.parametrize("note", ["\u20ac", "\ud800"])
def test_header_that_is_no_bytes_is_an_error_of_its_request(note: str) -> None:
    with pytest.raises(errors.InvalidRequest):
        exchange(make_get("/", note))
    with pytest.raises(errors.InvalidRequest):
        exchange(make_get(f"/{note}"))


def test_path_is_relayed_as_it_came() -> None:
    request = http_server.HttpRequest(
        "GET", "/v1/jobs/d\u00e9j\u00e0 vu?", {"a": "b&c=d"}, {}, b""
    )

    async def send(address: str) -> http_server.HttpResponse:
        async with contextlib.AsyncExitStack() as stack:
            entries = relay.Relay({"entry-1": address}, stack)
            return await entries.forward("entry-1", request)

    relayed, _ = exchange(send)
    assert relayed.path == request.path
    assert relayed.query == request.query


# Guards against a side that ends, and again after each restart, when another
# writer registers under an id that no header can carry, or no key of a record.
@pytest.mark.parametrize(
    "worker_id", ["i-\u20ac", "i-\u00e9", "i\n1", " i-1", "i" * 300]
)
def test_id_that_fits_no_header_is_refused(worker_id: str) -> None:
    with pytest.raises(errors.InvalidRequest):
        executor.decode_registration(worker_id, inputs.REGISTRATION, 0.0)


HALF = "\ud83d"
WHOLE = "\U0001f40e"


def test_invalid_text_is_unusable_and_the_rest_is_kept() -> None:
    document = {"bad": [HALF, 1], "good": {"text": WHOLE}, HALF: 2}
    found = lenient_json.parse(json.dumps(document))
    assert found == {
        "bad": [lenient_json.UNUSABLE, 1],
        "good": {"text": WHOLE},
    }
    assert lenient_json.parse(json.dumps(HALF)) is lenient_json.UNUSABLE


# Guards against an announcement or intent that keeps a process from sending
# anything to its peers.
@pytest.mark.parametrize(
    "body",
    [
        json.dumps({"a": [HALF]}).encode(),
        json.dumps({HALF: 1}).encode(),
        b'["\xed\xa0\xbd"]',
    ],
)
def test_body_with_invalid_text_is_refused(body: bytes) -> None:
    with pytest.raises(errors.InvalidRequest):
        http_server.parse_json(body)


# The parser guesses the encoding of bytes, and takes such halves in others.
@pytest.mark.parametrize("encoding", ["utf-16", "utf-16-be", "utf-32"])
def test_body_in_another_encoding_is_refused(encoding: str) -> None:
    text = '{"Service": "' + HALF + '"}'
    with pytest.raises(errors.InvalidRequest, match="UTF-8"):
        http_server.parse_json(text.encode(encoding, "surrogatepass"))
    with pytest.raises(ValueError):
        lenient_json.parse(text.encode(encoding, "surrogatepass"))


def test_byte_order_mark_is_skipped() -> None:
    body = "\ufeff[1]".encode()
    assert http_server.parse_json(body) == lenient_json.parse(body) == [1]


def test_body_with_any_valid_text_is_taken() -> None:
    document = {WHOLE: f"\\ud83d {WHOLE}"}
    assert http_server.parse_json(json.dumps(document).encode()) == document


# Guards against orders for a worker that can't be sent, whatever else they
# say, as one of them has such a text.
@pytest.mark.parametrize("field", ["payload", "account", "queue"])
def test_record_with_invalid_text_is_refused(field: str) -> None:
    document = {"queue": "q", "pool": "p", "account": "a", "payload": ""}
    document |= {"steps": [{"tasks": 1}], "accepted_ms": 0}  # type: ignore
    value = json.dumps(document | {field: HALF}).encode()
    with pytest.raises(plain.ValidationError):
        job_records.decode_record(keyed_log.StoredRecord(0, "s:j", value))


# Guards against a configuration that is taken, and later exceeds the stack of
# whatever takes it apart: its plan, its record or the answer about it.
def test_value_that_is_passed_on_is_not_nested_too_deeply() -> None:
    def read(depth: int) -> intents.Intent:
        nested = json.loads("[" * depth + "]" * depth)
        document = {"kind": "config", "config": {"limits": nested}}
        return plain.from_plain(intents.Intent, document, "intent")

    assert plain.to_plain(read(60))
    with pytest.raises(plain.ValidationError, match="nested deeper"):
        read(600)


# Guards against a side without links, as one target's announcement does not
# fit into the heartbeats about all of them.
@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("slots", 2**31),
        ("cold_left_ms", 10**30),
        ("period_ms", 2**31),
        ("target", "t" * 201),
        ("service_name", "s" * 4 * 1024 * 1024),
    ],
)
def test_announcement_that_no_heartbeat_takes_is_refused(
    field: str, value: object
) -> None:
    sound = targets.Announcement(
        "t" * 200,
        "s" * 200,
        "127.0.0.1:8080",
        2**31 - 1,
        1000,
        False,
        2**31 - 1,
    )
    document = plain.to_plain(sound)
    table = targets.TargetTable()
    table.apply_announcement(targets.parse_announcement(document), 0.0)
    states = table.list_states(0.0)
    heartbeat = messages.Heartbeat("side", 1, 1, "hall", states, 0, None)
    assert frames.encode(frames.Frame(1, False, heartbeat))
    with pytest.raises(plain.ValidationError, match=field.partition("_")[0]):
        targets.parse_announcement(document | {field: value})


# Guards against an end that is applied to another task than it names, and
# against a name whose number can't be converted.
@pytest.mark.parametrize(
    "name",
    ["j.0.0.00", "j.0.0.+1", "j.0.0.\u0661", "j.0.0.", f"j.0.0.{'1' * 5000}"],
)
def test_number_in_a_name_has_one_spelling(name: str) -> None:
    assert model.parse_task_name(name) is None
    assert model.parse_task_name("j.0.0.10") == model.TaskId("j", 0, 0, 10)


# Guards against memory that grows with each word a client sends as its method.
def test_methods_of_clients_are_counted_under_few_labels() -> None:
    metrics = job_metrics.JobMetrics()
    api: Any = None
    handler = job_http.JobHttpHandler(api, metrics)

    async def main() -> None:
        for number in range(100):
            method = "GET" if number < 2 else f"WORD{number}"
            request = http_server.HttpRequest(method, "/x/", {}, {}, b"")
            assert (await handler.handle(request)).status == 503

    trio.run(main)
    (family,) = metrics.answers.collect()
    labels = {sample.labels["method"] for sample in family.samples}
    assert labels == {"GET", "other"}


# The same for the service that a caller names in its path.
def test_services_of_callers_are_counted_under_few_labels() -> None:
    counted = entry_metrics.EntryMetrics()

    async def main() -> None:
        router = router_task.RouterTask("hall")
        handler = caller.CallerHandler(
            router, members.Members(), limits.AccountRateLimits(1), counted
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(router.run)
            for number in range(100):
                request = http_server.HttpRequest(
                    "POST",
                    f"/v1/services/word{number}/requests",
                    {},
                    {"kingcuplever-account": "farrier"},
                    b"",
                )
                assert (await handler.handle(request)).status == 503
            nursery.cancel_scope.cancel()

    trio.run(main)
    for metric in (counted.requests, counted.request_seconds):
        (family,) = metric.collect()
        labels = {sample.labels["service"] for sample in family.samples}
        assert labels == {"unknown"}


class _Refuser:
    """An executor's client; each start is refused for a reason."""

    def __init__(self, reason: object) -> None:
        self._body = json.dumps({"Reason": reason}).encode()

    async def call(self, *_: Any, **__: Any) -> http_client.ClientResponse:
        await trio.lowlevel.checkpoint()
        return http_client.ClientResponse(409, (), self._body)


# Guards against a side that reports nothing any more, as the reason of one
# refusal fits no message; and against a label for each word.
@pytest.mark.parametrize("reason", ["r" * 5 * 1024 * 1024, ["room"], None])
def test_reason_that_is_not_known_is_not_passed_on(reason: object) -> None:
    def start(given: object) -> executors.StartAnswer:
        client: Any = _Refuser(given)
        order = fleet.StartOrder("j.0.0.0", 1, "", "", "")
        return trio.run(executor.Executor(client).start, "i-1", order, 1000, 1)

    assert start(reason) == executors.StartAnswer(False, "invalid")
    assert start("room") == executors.StartAnswer(False, "room")
