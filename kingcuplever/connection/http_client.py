"""Calls HTTP servers of the platform through one httpcore pool.

The one place that tells the kinds of failure apart: a request that surely
did not leave, one that may have taken effect, and an answer that is not
whole.
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

MAX_CONNECTIONS: Final = 60
# A connection that is not there by then has surely carried no request; a
# lost opening packet is sent again only after a second.  Shorter than any
# bound of a whole call, which says nothing about whether it was sent.
CONNECT_TIMEOUT_S: Final = 0.4


class ClientResponse(NamedTuple):
    """One whole HTTP answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class HttpClient:
    """A pool of connections to one server."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Make the pool; nothing is connected yet.

        :param address: IP number and port, ``host:port``.
        :param timeout_s: default bound of one call.
        """
        self._base = f"http://{address}"
        self._timeout_s = timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=5.0,
        )

    async def __aenter__(self) -> Self:
        """Give the client itself."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
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
    ) -> ClientResponse:
        """Make one call, without any retry.

        :raises errors.PlatformFailed: with ``sent`` telling whether the
            server may have seen the request.
        """
        bound = self._timeout_s if timeout_s is None else timeout_s
        with trio.move_on_after(bound) as scope:
            return await self._call(method, path, body, headers)
        assert scope.cancelled_caught
        raise errors.PlatformFailed(
            f"{self._base}{path} did not answer within {bound:.1f} s."
        )

    async def call_json(
        self,
        method: str,
        path: str,
        value: Any = None,
        timeout_s: float | None = None,
    ) -> Any:
        """Make one call with JSON both ways.

        :raises errors.PlatformFailed: also for a status that is no success.
        """
        body = b"" if value is None else json.dumps(value).encode()
        answer = await self.call(method, path, body, (), timeout_s)
        if answer.status >= 300:
            raise errors.PlatformFailed(
                f"{self._base}{path} answered {answer.status}:"
                f" {answer.body[:200]!r}."
            )
        try:
            return json.loads(answer.body)
        except ValueError as error:
            raise errors.PlatformFailed(
                f"{self._base}{path} answered no JSON."
            ) from error

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> ClientResponse:
        all_headers = [
            ("Host", self._base.removeprefix("http://")),
            ("Content-Length", str(len(body))),
            *headers,
        ]
        try:
            response = await self._pool.request(
                method,
                self._base + path,
                headers=all_headers,
                content=body,
                extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise errors.PlatformFailed(
                f"{self._base} can't be reached ({error}).", sent=False
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise errors.PlatformFailed(
                f"{self._base}{path} broke off ({error!r})."
            ) from error
        received = tuple(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in response.headers
        )
        return ClientResponse(response.status, received, response.content)
