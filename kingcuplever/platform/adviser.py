"""The platform's service for advice on queues."""

import json
from typing import Final

from kingcuplever.connection import http_client
from kingcuplever import errors
from kingcuplever.process.scheduling import advice
from kingcuplever.process.scheduling import fleet

# The service thinks for a while about each worker of a question.
_CALL_TIMEOUT_S: Final = 8.0


class Adviser:
    """The one client of the service in a process."""

    def __init__(self, client: http_client.HttpClient) -> None:
        """Use a client whose address is the service's."""
        self._client = client

    async def ask(self, question: advice.AdviceRequest) -> advice.AdviceReply:
        """Ask which of some workers may run a step."""
        # The service knows a worker by its life alone.
        names = {fleet.incarnation_of(name): name for name in question.workers}
        body = {"Step": question.step, "Workers": list(names)}
        answer = await self._client.call(
            "POST",
            "/advise",
            json.dumps(body).encode(),
            (("Content-Type", "application/json"),),
            _CALL_TIMEOUT_S,
        )
        if answer.status != 200:
            raise errors.PlatformFailed(
                f"The adviser answered {answer.status}."
            )
        try:
            document = json.loads(answer.body)
            tickets = {
                names[life]: str(ticket)
                for life, ticket in document["Good"]
                if life in names
            }
            return advice.AdviceReply(tickets, int(document["ValidMs"]) / 1000)
        except (ValueError, KeyError, TypeError) as error:
            raise errors.PlatformFailed(
                f"The adviser sent no list ({error!r})."
            ) from error
