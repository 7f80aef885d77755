"""Calls an HTTP server through an httpcore connection pool.

A failed call raises an error that says whether the request may have reached
the server, and so whether it is safe to send it again.

A timeout bounds how long a call may make no progress, not how much it may
transfer: a call that needs longer than that would fail in each of its tries.
"""

import json
from types import TracebackType
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import Self

import httpcore
import trio

from kingcuplever import errors
from kingcuplever import lenient_json

MAX_CONNECTIONS: Final = 60
# Shorter than the timeout of any whole call: after a connect timeout the
# request was certainly not sent, after a call timeout that is unknown.  A
# lost SYN packet is retransmitted only after 1 s.
CONNECT_TIMEOUT_S: Final = 0.4
# A slower transfer is given up.  The progress of a request is not seen, as the
# kernel buffers it, so its rate bounds how late a lost one is detected.
_MIN_SENT_BYTES_PER_S: Final = 128 * 1024
_MIN_RECEIVED_BYTES_PER_S: Final = 16 * 1024
_MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024


class ClientResponse(NamedTuple):
    """One complete HTTP response; header names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class HttpClient:
    """A pool of connections to one server."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Create the pool without opening a connection.

        :param address: IP address and port, ``host:port``.
        :param timeout_s: default timeout of a call.
        """
        self._base = f"http://{address}"
        self._timeout_s = timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=5.0,
        )

    async def __aenter__(self) -> Self:
        """Return the client itself."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close every connection."""
        with trio.CancelScope(shield=True):
            await self._pool.aclose()

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        timeout_s: float | None = None,
        extends: bool = True,
    ) -> ClientResponse:
        """Make one call, without any retry.

        :param timeout_s: timeout in seconds, if not the default.
        :param extends: whether the timeout is extended by the size of the
            request, and by each part of the response that arrives; else it is
            that of the whole call.
        :raises errors.PlatformFailed: no complete response arrived; ``sent``
            says whether the request may have reached the server.
        :raises errors.InvalidRequest: the path or a header can't be sent.
        """
        if not path.isascii():
            raise errors.InvalidRequest(f"{path!r:.40} can't be requested.")
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        if extends:
            limit_s += len(body) / _MIN_SENT_BYTES_PER_S
        began_at = trio.current_time()
        with trio.move_on_after(limit_s) as scope:
            transfer = _Transfer(scope, limit_s, extends)
            return await self._send_request(
                method, path, body, headers, transfer
            )
        assert scope.cancelled_caught
        elapsed_s = trio.current_time() - began_at
        raise errors.PlatformFailed(
            f"{self._base}{path} did not answer within {elapsed_s:.1f} s;"
            f" {transfer.received_bytes} bytes of its response arrived."
        )

    async def call_json(
        self,
        method: str,
        path: str,
        value: Any = None,
        timeout_s: float | None = None,
    ) -> Any:
        """Make one call with a JSON request and response.

        :param value: value to send as JSON; with ``None``, the body is empty.
        :return: the response; its values may be unusable, as
            :mod:`lenient_json` says.
        :raises errors.PlatformFailed: as :meth:`call`, and if the status is
            300 or more or the response is not JSON.
        """
        body = b"" if value is None else json.dumps(value).encode()
        response = await self.call(method, path, body, (), timeout_s)
        if response.status >= 300:
            raise errors.PlatformFailed(
                f"{self._base}{path} answered {response.status}:"
                f" {response.body[:200]!r}."
            )
        try:
            return lenient_json.parse(response.body)
        except ValueError as error:
            raise errors.PlatformFailed(
                f"{self._base}{path} sent a response that is not JSON."
            ) from error

    async def _send_request(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
        transfer: "_Transfer",
    ) -> ClientResponse:
        host = self._base.removeprefix("http://")
        all_headers = _encode_headers(
            (("Host", host), ("Content-Length", str(len(body))), *headers)
        )
        try:
            async with self._pool.stream(
                method,
                self._base + path,
                headers=all_headers,
                content=body,
                extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
            ) as response:
                content = await transfer.receive(response)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise errors.PlatformFailed(
                f"{self._base} can't be reached ({error}).",
                sent=False,
                refused=isinstance(error, httpcore.ConnectError),
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise errors.PlatformFailed(
                f"{self._base}{path} sent no complete response ({error!r})."
            ) from error
        received = tuple(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in response.headers
        )
        return ClientResponse(response.status, received, content)


def _encode_headers(
    headers: tuple[tuple[str, str], ...],
) -> list[tuple[bytes, bytes]]:
    """Encode headers; bytes that were received are sent as they came.

    :raises errors.InvalidRequest: if one can't be a header.
    """
    try:
        return [
            (name.encode("ascii"), value.encode("latin-1"))
            for name, value in headers
        ]
    except UnicodeEncodeError as error:
        raise errors.InvalidRequest(
            f"A header can't be sent ({error.object!r:.40})."
        ) from error


class _Transfer:
    """Receives the response of one call and extends its timeout.

    :ivar received_bytes: bytes of the response's body that have arrived.
    """

    def __init__(
        self, scope: trio.CancelScope, timeout_s: float, extends: bool
    ) -> None:
        self.received_bytes = 0
        self._scope = scope
        self._timeout_s = timeout_s
        self._extends = extends
        # When the call is given up at the lowest rate of transfer.
        self._slowest_end = scope.deadline

    async def receive(self, response: httpcore.Response) -> bytes:
        """Receive the response's body.

        :raises errors.PlatformFailed: if it is too long.
        """
        parts = []
        async for part in response.aiter_stream():
            self.received_bytes += len(part)
            if self.received_bytes > _MAX_RESPONSE_BYTES:
                raise errors.PlatformFailed(
                    f"A response exceeds {_MAX_RESPONSE_BYTES} bytes."
                )
            parts.append(part)
            if self._extends:
                self._extend(len(part))
        return b"".join(parts)

    def _extend(self, size_bytes: int) -> None:
        """Extend the timeout after a part of the response has arrived."""
        self._slowest_end += size_bytes / _MIN_RECEIVED_BYTES_PER_S
        self._scope.deadline = min(
            trio.current_time() + self._timeout_s, self._slowest_end
        )
