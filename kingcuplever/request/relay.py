"""Hands an operator's request on to the entry that owns."""

import contextlib
from typing import Final

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever import errors

# Longer than an owner takes for its answer.
_TIMEOUT_S: Final = 8.0
# Says that another entry has handed the request on already.
_RELAYED_HEADER: Final = "kingcuplever-relayed"


class Relay:
    """Connections to the operators' listeners of other entries."""

    def __init__(
        self,
        addresses: dict[str, str],
        stack: contextlib.AsyncExitStack,
    ) -> None:
        """Connect to nobody yet.

        :param addresses: operators' address of each entry, by its name.
        :param stack: owns the clients.
        """
        self._addresses = addresses
        self._stack = stack
        self._clients: dict[str, http_client.HttpClient] = {}

    async def forward(
        self, entry: str, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Have an entry answer a request.

        :raises errors.KingcupleverError: ``OVERLOADED`` if the request is
            surely not carried out, ``OUTCOME_UNKNOWN`` if that is open.
        """
        if entry not in self._addresses or _RELAYED_HEADER in request.headers:
            raise errors.KingcupleverError(
                "No owner is known at present.", errors.Code.OVERLOADED
            )
        headers = (
            ("authorization", request.headers.get("authorization", "")),
            (_RELAYED_HEADER, "1"),
        )
        query = "&".join(f"{key}={val}" for key, val in request.query.items())
        path = f"{request.path}?{query}" if query else request.path
        try:
            answer = await self._get_client(entry).call(
                request.method, path, request.body, headers
            )
        except errors.PlatformFailed as error:
            code = errors.Code.OVERLOADED
            if error.sent and request.method != "GET":
                code = errors.Code.OUTCOME_UNKNOWN
            raise errors.KingcupleverError(
                f"The owner {entry} did not answer: {error.detail}", code
            ) from error
        kept = tuple(
            (name, value)
            for name, value in answer.headers
            if name in ("content-type", "retry-after")
        )
        return http_server.HttpResponse(answer.status, kept, answer.body)

    def _get_client(self, entry: str) -> http_client.HttpClient:
        if entry not in self._clients:
            client = http_client.HttpClient(self._addresses[entry], _TIMEOUT_S)
            self._stack.push_async_exit(client)
            self._clients[entry] = client
        return self._clients[entry]
