"""A stand-in for the platform's adviser, over its wire format.

It serves one call at a time.  Tickets name the step, the worker and the time
until which they are valid.
"""

from collections.abc import Callable
import json
import time
from typing import Final

from kingcuplever.connection import http_server
import trio

VALID_MS: Final = 3000
_DECIDE_S: Final = 0.02
_INTERVAL_S: Final = 0.002


class WireAdviser:
    """Answers which workers may run a step.

    :ivar is_allowed: returns whether a step may run on a worker, by its id.
    """

    def __init__(self) -> None:
        """Allow all."""
        self.is_allowed: Callable[[str, str], bool] = lambda *_: True
        self._limiter = trio.CapacityLimiter(1)

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Answer one request."""
        body = json.loads(request.body)
        step, workers = body["Step"], body["Workers"]
        async with self._limiter:
            await trio.sleep(_DECIDE_S + _INTERVAL_S * len(workers))
        until_ms = int(time.time() * 1000) + VALID_MS
        good = [
            [worker, f"{step} {worker} {until_ms}"]
            for worker in workers
            if self.is_allowed(step, worker)
        ]
        document = {"Good": good, "ValidMs": VALID_MS}
        return http_server.json_response(document)


def is_valid_ticket(ticket: str, step: str, worker: str) -> bool:
    """Return whether a worker may start a step's tasks with a ticket."""
    text, _, until_ms = ticket.rpartition(" ")
    is_fitting = text == f"{step} {worker}"
    return is_fitting and time.time() * 1000 <= int(until_ms)
