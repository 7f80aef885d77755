"""Forwards operators' requests to the entry that is the owner."""

import contextlib
from typing import Final
from urllib import parse

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever import errors

# Longer than the owner takes to respond.
_TIMEOUT_S: Final = 8.0
# Marks a request that another entry has forwarded already.
_RELAYED_HEADER: Final = "kingcuplever-relayed"


class Relay:
    """HTTP clients of the operators' listeners of other entries."""

    def __init__(
        self,
        addresses: dict[str, str],
        stack: contextlib.AsyncExitStack,
    ) -> None:
        """Create a relay; clients are created when they are first used.

        :param addresses: operators' address of each entry, by its name.
        :param stack: closes the clients.
        """
        self._addresses = addresses
        self._stack = stack
        self._clients: dict[str, http_client.HttpClient] = {}

    async def forward(
        self, entry: str, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Forward a request to an entry, and return its response.

        A request that was forwarded once is not forwarded again, so that
        entries that disagree on the owner can't form a loop.

        :raises errors.KingcupleverError: ``OVERLOADED`` if the request was
            certainly not carried out, ``OUTCOME_UNKNOWN`` if it may have been.
        """
        if entry not in self._addresses or _RELAYED_HEADER in request.headers:
            raise errors.KingcupleverError(
                "No owner is known at present.", errors.Code.OVERLOADED
            )
        headers = (
            ("authorization", request.headers.get("authorization", "")),
            (_RELAYED_HEADER, "1"),
        )
        path = parse.quote(request.path)
        if request.query:
            path += f"?{parse.urlencode(request.query)}"
        try:
            response = await self._get_client(entry).call(
                request.method, path, request.body, headers
            )
        except errors.PlatformFailed as error:
            code = errors.Code.OVERLOADED
            if error.sent and request.method != "GET":
                code = errors.Code.OUTCOME_UNKNOWN
            raise errors.KingcupleverError(
                f"The owner {entry} did not answer: {error.detail}", code
            ) from error
        kept_headers = tuple(
            (name, value)
            for name, value in response.headers
            if name in ("content-type", "retry-after")
        )
        return http_server.HttpResponse(
            response.status, kept_headers, response.body
        )

    def _get_client(self, entry: str) -> http_client.HttpClient:
        if entry not in self._clients:
            client = http_client.HttpClient(self._addresses[entry], _TIMEOUT_S)
            self._stack.push_async_exit(client)
            self._clients[entry] = client
        return self._clients[entry]
