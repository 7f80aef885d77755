"""Serves the HTTP requests of one connection, one after another, with h11.

Nothing is read ahead: the bytes of a request are read once memory for them is
reserved, and those of the next one once the answer has been taken.  Each phase
has a time limit.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import email.utils
from typing import Final
from typing import NamedTuple
from urllib import parse

import h11
import trio

from kingcuplever.connection import admission
from kingcuplever.connection import connection_table
from kingcuplever import errors

BODY_TIMEOUT_S: Final = 10.0
KEEP_ALIVE_S: Final = 30.0
_HEAD_TIMEOUT_S: Final = 10.0
_ANSWER_TIMEOUT_S: Final = 10.0
_MIN_ANSWER_BYTES_PER_S: Final = 16 * 1024
_MAX_HEAD_BYTES: Final = 16 * 1024
_MAX_HEADERS: Final = 100
_MAX_REQUESTS: Final = 1000
# Each chunk of a body costs processor time, however short it is.
_MAX_CHUNKS: Final = 32_768
# Events that are parsed before other tasks get a turn.
_EVENTS_PER_TURN: Final = 64
_READ_BYTES: Final = 16 * 1024
_WRITE_BYTES: Final = 16 * 1024
# What a request without a body holds.
_REQUEST_BYTES: Final = 4 * 1024
# Between the requests that a client sends ahead of its answers.
_AHEAD_PAUSE_S: Final = 0.25
# What is read after a refusal, so that the client sees the answer and not a
# reset.
_DISCARDED_BYTES: Final = 256 * 1024
_DISCARD_TIMEOUT_S: Final = 1.0
_STATUSES_WITHOUT_BODY: Final = (204, 304)
_HTTP_VERSIONS: Final = (b"1.0", b"1.1")
_ANSWERED: Final = (h11.DONE, h11.MUST_CLOSE)
_READ_WHOLE: Final = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)


_Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class HttpRequest(NamedTuple):
    """One complete request.

    :ivar headers: names in lower case.
    :ivar memory: what it holds of the listener's memory; absent if it did not
        come over a connection.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    memory: admission.RequestMemory | None = None


class HttpResponse(NamedTuple):
    """One complete response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Responder(NamedTuple):
    """Makes the responses of a listener; neither function raises.

    :ivar handle: responds to a complete request.
    :ivar refuse: responds to a request that must not run.
    :ivar max_body_bytes: longest body of a request.
    """

    handle: Callable[[HttpRequest], Awaitable[HttpResponse]]
    refuse: Callable[[errors.KingcupleverError], HttpResponse]
    max_body_bytes: int


class HttpConnection:
    """One connection of a client."""

    def __init__(
        self,
        stream: trio.SocketStream,
        place: connection_table.Connection,
        admitted_by: admission.Admission,
        responder: Responder,
        stop: trio.Event,
    ) -> None:
        """Take a connected stream, which the caller closes.

        :param place: its place among the listener's connections.
        :param stop: once set, no further request is read.
        """
        self._stream = stream
        self._place = place
        self._admission = admitted_by
        self._responder = responder
        self._stop = stop
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._requests = 0
        self._events = 0
        self._request_bytes = 0

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_request():
                self._http.start_next_cycle()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.LocalProtocolError,
        ):
            # The client has gone, the connection was let go for others, or a
            # handler's response broke off.
            return
        if (
            self._http.our_state in _ANSWERED
            and self._http.their_state not in _READ_WHOLE
        ):
            await self._discard_input()

    async def _serve_request(self) -> bool:
        """Serve one request; return whether another one may follow."""
        try:
            head = await self._receive_head()
        except h11.RemoteProtocolError as error:
            await self._answer_malformed(error)
            return False
        if head is None:
            return False
        self._requests += 1
        with self._admission.open_request(self._place) as memory:
            try:
                request = await self._receive_request(head, memory)
            except errors.KingcupleverError as error:
                response = self._responder.refuse(error)
            except h11.RemoteProtocolError as error:
                await self._answer_malformed(error)
                return False
            else:
                self._enter(connection_table.Phase.WORKING)
                response = await self._responder.handle(request)
            memory.hold(2 * len(response.body))
            await self._answer(response, is_head=head.method == b"HEAD")
        self._place.has_been_served = True
        return (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )

    async def _receive_head(self) -> h11.Request | None:
        """Receive the next head.

        :return: the head; nothing if none came in time.
        """
        self._request_bytes = 0
        if self._http.trailing_data[0]:
            self._enter(connection_table.Phase.HEAD)
            await trio.sleep(_AHEAD_PAUSE_S)
        else:
            self._enter(connection_table.Phase.WAITING)
            with trio.move_on_after(KEEP_ALIVE_S) as timeout:
                if self._stop.is_set() or not await self._receive():
                    return None
            if timeout.cancelled_caught:
                return None
        self._enter(connection_table.Phase.HEAD)
        with trio.move_on_after(_HEAD_TIMEOUT_S):
            while True:
                self._check_head()
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    break
                await self._receive()
            if not isinstance(event, h11.Request):
                return None
            if event.http_version not in _HTTP_VERSIONS:
                raise h11.RemoteProtocolError(
                    "unknown version", error_status_hint=505
                )
            return event
        return None

    def _check_head(self) -> None:
        """Check the number of headers before they become objects.

        :raises h11.RemoteProtocolError: there are too many.
        """
        head, _, _ = self._http.trailing_data[0].partition(b"\r\n\r\n")
        if head.count(b"\n") > _MAX_HEADERS:
            raise h11.RemoteProtocolError(
                "too many headers", error_status_hint=431
            )

    async def _receive_request(
        self, head: h11.Request, memory: admission.RequestMemory
    ) -> HttpRequest:
        """Receive a request's body.

        :raises errors.KingcupleverError: it is refused.
        """
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in head.headers
        }
        target = head.target.decode("latin-1")
        path, _, query = target.partition("?")
        if query.count("&") > _MAX_HEADERS:
            raise self._make_limit_error(
                f"The query has more than {_MAX_HEADERS} fields."
            )
        length = int(headers.get("content-length", "0"))
        self._check_body_length(length)
        memory.require(_REQUEST_BYTES + 2 * length)
        body = await self._receive_body(length, memory)
        return HttpRequest(
            head.method.decode("ascii").upper(),
            parse.unquote(path),
            dict(parse.parse_qsl(query)),
            headers,
            body,
            memory,
        )

    async def _receive_body(
        self, length: int, memory: admission.RequestMemory
    ) -> bytes:
        """Receive a body.

        :param length: declared length; 0 if none is declared.
        """
        self._enter(connection_table.Phase.BODY)
        body = bytearray()
        chunks = 0
        with trio.move_on_after(BODY_TIMEOUT_S) as timeout:
            if self._http.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await self._stream.send_all(self._http.send(go_on) or b"")
            while isinstance(event := await self._receive_event(), h11.Data):
                body += event.data
                chunks += event.chunk_end
                self._check_body_length(len(body))
                if chunks > _MAX_CHUNKS:
                    raise self._make_limit_error(
                        f"The body has more than {_MAX_CHUNKS} chunks."
                    )
                if not length:
                    memory.require(2 * len(event.data))
        if timeout.cancelled_caught:
            raise self._make_limit_error(
                f"The body did not arrive within {BODY_TIMEOUT_S:.0f} s; send"
                " it without pauses."
            )
        if not isinstance(event, h11.EndOfMessage):
            raise trio.BrokenResourceError
        memory.shrink(len(body))
        return bytes(body)

    def _check_body_length(self, length: int) -> None:
        """Check the length of a body, declared or received so far.

        :raises errors.InvalidRequest: it is too long.
        """
        most = self._responder.max_body_bytes
        if length > most:
            raise self._make_limit_error(
                f"The body exceeds {most} bytes; send less."
            )

    async def _receive_event(self) -> _Event:
        """Return the next event of the client."""
        while (event := self._http.next_event()) is h11.NEED_DATA:
            await self._receive()
        self._events += 1
        if self._events % _EVENTS_PER_TURN == 0:
            await trio.lowlevel.checkpoint()
        return event

    async def _receive(self) -> int:
        """Receive bytes for the parser; return their number."""
        data = await self._stream.receive_some(_READ_BYTES)
        self._place.record_progress(len(data), trio.current_time())
        self._request_bytes += len(data)
        if self._request_bytes > _READ_BYTES:
            # Long requests take turns, so that they hold up no short ones.
            async with self._admission.parsers:
                self._http.receive_data(data)
        else:
            self._http.receive_data(data)
        return len(data)

    async def _answer_malformed(self, error: h11.RemoteProtocolError) -> None:
        self._admission.count_refusal("malformed")
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            # The answer is the last one, whatever the client asks for.
            self._requests = _MAX_REQUESTS
            await self._answer(HttpResponse(error.error_status_hint, (), b""))

    async def _answer(
        self, response: HttpResponse, is_head: bool = False
    ) -> None:
        """Send a response; the client has to take it in time.

        :raises trio.ClosedResourceError: it did not.
        """
        self._enter(connection_table.Phase.ANSWERING)
        # The bytes of a header are passed on as they came.
        headers = [
            (n.encode("latin-1"), v.encode("latin-1"))
            for n, v in response.headers
        ]
        # A handler may set the length itself.
        if not any(name == b"content-length" for name, _ in headers):
            length = str(len(response.body)).encode()
            headers.append((b"content-length", length))
        headers.append((b"date", email.utils.formatdate(usegmt=True).encode()))
        if self._is_last():
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=response.status, headers=headers)
        data = self._http.send(head) or b""
        has_body = response.status not in _STATUSES_WITHOUT_BODY
        if response.body and has_body and not is_head:
            data += self._http.send(h11.Data(data=response.body)) or b""
        await self._send(data)
        self._http.send(h11.EndOfMessage())

    def _is_last(self) -> bool:
        """Return whether the connection ends with this answer."""
        return (
            self._stop.is_set()
            or self._admission.is_pressed
            or self._requests >= _MAX_REQUESTS
            or self._http.their_state is not h11.DONE
        )

    async def _send(self, data: bytes) -> None:
        limit_s = _ANSWER_TIMEOUT_S + len(data) / _MIN_ANSWER_BYTES_PER_S
        with trio.move_on_after(limit_s) as timeout:
            for start in range(0, len(data), _WRITE_BYTES):
                part = memoryview(data)[start : start + _WRITE_BYTES]
                await self._stream.send_all(part)
                self._place.record_progress(len(part), trio.current_time())
        if timeout.cancelled_caught:
            self._admission.count_refusal("answer_not_taken")
            raise trio.ClosedResourceError

    async def _discard_input(self) -> None:
        """Let the client read the refusal before the connection ends."""
        self._enter(connection_table.Phase.CLOSING)
        left = _DISCARDED_BYTES
        with trio.move_on_after(_DISCARD_TIMEOUT_S):
            try:
                await self._stream.send_eof()
                while left > 0:
                    data = await self._stream.receive_some(_READ_BYTES)
                    if not data:
                        return
                    left -= len(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    def _enter(self, phase: connection_table.Phase) -> None:
        self._place.enter(phase, trio.current_time())

    def _make_limit_error(self, detail: str) -> errors.InvalidRequest:
        self._admission.count_refusal("over_limit")
        return errors.InvalidRequest(detail)
