"""Client of the platform's adviser, which decides where a step may run."""

import json
from typing import Final

from kingcuplever.connection import http_client
from kingcuplever import errors
from kingcuplever import lenient_json
from kingcuplever import plain
from kingcuplever.process.scheduling import advice
from kingcuplever.process.scheduling import fleet

# The response time grows with each worker of a request.
_CALL_TIMEOUT_S: Final = 8.0
# A longer ticket has no room in orders; its worker counts as not allowed.
_MAX_TICKET_CHARS: Final = 4096


class Adviser:
    """Client of the service; a process has one."""

    def __init__(self, client: http_client.HttpClient) -> None:
        """Send requests through a client of the service's address."""
        self._client = client

    async def ask(self, request: advice.AdviceRequest) -> advice.AdviceReply:
        """Request which of some workers may run a step.

        :raises errors.PlatformFailed: no complete response arrived.
        """
        # The service identifies a worker by its id alone.
        workers = {fleet.worker_id_of(name): name for name in request.workers}
        body = {"Step": request.step, "Workers": list(workers)}
        response = await self._client.call(
            "POST",
            "/advise",
            json.dumps(body).encode(),
            (("Content-Type", "application/json"),),
            _CALL_TIMEOUT_S,
        )
        if response.status != 200:
            raise errors.PlatformFailed(
                f"The adviser returned status {response.status}."
            )
        try:
            document = lenient_json.parse(response.body)
            tickets = {
                workers[worker_id]: str(ticket)
                for worker_id, ticket in document["Good"]
                if worker_id in workers
                and isinstance(ticket, (str, int))
                and len(str(ticket)) <= _MAX_TICKET_CHARS
            }
            return advice.AdviceReply(tickets, int(document["ValidMs"]) / 1000)
        except plain.CONVERSION_ERRORS as error:
            raise errors.PlatformFailed(
                f"The adviser's response can't be decoded ({error!r})."
            ) from error
