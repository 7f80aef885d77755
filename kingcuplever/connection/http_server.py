"""Serves HTTP for handlers of complete requests.

A handler gets a request with its whole body and returns a whole response.
The connections, the memory of all requests and the time of each are limited:
a request that exceeds a limit gets a typed error.  A malformed or incomplete
request never reaches the handler.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import json
import re
from typing import Any
from typing import Final

import trio

from kingcuplever.connection import admission
from kingcuplever.connection import connection_table
from kingcuplever.connection import http_connection
from kingcuplever.connection import listener
from kingcuplever import containment
from kingcuplever import errors
from kingcuplever import lenient_json

# Longest body where a listener sets no other bound: a heartbeat of a worker.
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
# Longest body of a caller.
MAX_CALLER_BODY_BYTES: Final = 1024 * 1024
SHUTDOWN_TIMEOUT_S: Final = 20.0
# Most values that a JSON body may have, and the memory that one may take.
MAX_JSON_VALUES: Final = 65_536
_JSON_VALUE_BYTES: Final = 128
# One character beyond the BMP makes all of a text so wide.
_TEXT_BYTES_PER_BYTE: Final = 4
# Each value follows one of these characters, or is the only one.
_VALUE_MARKS: Final = (b",", b":", b"[", b"{")
_JSON_STRING: Final = re.compile(
    lenient_json.STRING_PATTERN.encode(), re.DOTALL
)
# So few values need no exact count.
_FEW_VALUES: Final = 1024
# Whole seconds after which a refused request may be sent again.
_RETRY_AFTER: Final = ("retry-after", "1")

HttpRequest = http_connection.HttpRequest
HttpResponse = http_connection.HttpResponse
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def json_response(
    value: Any, status: int = 200, *headers: tuple[str, str]
) -> HttpResponse:
    """Return a response with a JSON body."""
    body = json.dumps(value, separators=(",", ":")).encode()
    content_type = ("content-type", "application/json")
    return HttpResponse(status, (content_type, *headers), body)


def problem_response(
    error: errors.KingcupleverError,
    *headers: tuple[str, str],
    extra: dict[str, Any] | None = None,
) -> HttpResponse:
    """Return an error as an ``application/problem+json`` response.

    :param extra: further fields of the document.
    """
    info = error.info
    document = {
        "code": error.code.value,
        "run": info.run_status.value,
        "detail": error.detail,
        "remedy": info.remedy,
        **(extra or {}),
    }
    body = json.dumps(document, separators=(",", ":")).encode()
    content_type = ("content-type", "application/problem+json")
    return HttpResponse(info.status, (content_type, *headers), body)


def parse_json(
    body: bytes, memory: admission.RequestMemory | None = None
) -> Any:
    """Parse a JSON body.

    :param memory: takes what the parsed values hold.
    :raises errors.InvalidRequest: if the body is not JSON, or has too many
        values.
    :raises errors.KingcupleverError: ``OVERLOADED`` if there is no memory
        for the values.
    """
    values = _count_values(body)
    if values > _FEW_VALUES:
        # Strings may contain the same characters.
        values = _count_values(_JSON_STRING.sub(b"", body))
    if values > MAX_JSON_VALUES:
        raise errors.InvalidRequest(
            f"The body has about {values} values; at most {MAX_JSON_VALUES}"
            " are allowed."
        )
    if memory is not None:
        text_bytes = len(body) * _TEXT_BYTES_PER_BYTE
        memory.require(values * _JSON_VALUE_BYTES + text_bytes)
    try:
        text = lenient_json.decode_text(body)
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidRequest(
            f"The body is not JSON in UTF-8 ({error}); send such a document."
        ) from error
    _, invalid = lenient_json.replace_invalid_texts(document, text)
    if invalid:
        raise errors.InvalidRequest(
            f"The body has {invalid} texts that are not valid Unicode."
        )
    return document


def _count_values(body: bytes) -> int:
    """Return the most values that a JSON text without strings may have."""
    return 1 + sum(body.count(mark) for mark in _VALUE_MARKS)


async def serve(
    address: str,
    handler: Handler,
    stop: trio.Event,
    admitted_by: admission.Admission | None = None,
    *,
    max_body_bytes: int = MAX_BODY_BYTES,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``stop`` is set, then finish the requests in progress.

    :param address: IP address and port, ``host:port``.
    :param admitted_by: limits of the listener; generous ones if absent.
    :param max_body_bytes: longest body that is read.
    :param task_status: reports the URLs when the socket listens.
    """
    if admitted_by is None:
        admitted_by = admission.Admission("http", _DEFAULT_LIMITS)
    gate = admitted_by
    responder = http_connection.Responder(
        functools.partial(_respond, handler), _refuse, max_body_bytes
    )

    async def serve_connection(
        stream: trio.SocketStream, place: connection_table.Connection
    ) -> None:
        await http_connection.HttpConnection(
            stream, place, gate, responder, stop
        ).run()

    async with trio.open_nursery() as nursery:
        async with listener.listen(
            address, gate, serve_connection, nursery
        ) as bound:
            task_status.started([f"http://{bound}"])
            await stop.wait()
        for place in gate.table.list_in(connection_table.Phase.WAITING):
            place.close()
        # Handlers limit their own time: a shutdown must not cancel a request
        # that still waits for its result.
        nursery.cancel_scope.deadline = (
            trio.current_time() + SHUTDOWN_TIMEOUT_S
        )


_DEFAULT_LIMITS: Final = admission.divide(
    admission.DEFAULT_MEMORY_BYTES, admission.DEFAULT_DESCRIPTORS
).clients


async def _respond(handler: Handler, request: HttpRequest) -> HttpResponse:
    try:
        return await handler(request)
    except errors.KingcupleverError as error:
        return _refuse(error)
    except Exception as error:
        # Whatever one request brings about, the others are served.
        item = f"{request.method} {request.path!r:.70}"
        containment.report_error("request", item, error)
        return HttpResponse(500, (), b"")


def _refuse(error: errors.KingcupleverError) -> HttpResponse:
    if error.code is errors.Code.OVERLOADED:
        return problem_response(error, _RETRY_AFTER)
    return problem_response(error)
