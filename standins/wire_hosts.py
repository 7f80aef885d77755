"""A stand-in for the platform's list of machines, and for their upkeep."""

import json
from typing import Any
from typing import Final

from kingcuplever.connection import http_server
from standins import wire_worker
import trio

# How long a machine is away.
UPKEEP_S: Final = 0.5


class WireHosts:
    """One machine for each worker.

    :ivar begun: machines whose upkeep began, with the fence of the call.
    :ivar most_down: most that were down at one time.
    :ivar busy: answer that no machine can go down.
    """

    def __init__(self, workers: list[wire_worker.WireWorker]) -> None:
        """Serve workers; the list may still grow."""
        self.begun: list[tuple[str, int]] = []
        self.killed_runs = 0
        self.most_down = 0
        self.busy = False
        self._workers = workers
        self._up_at: dict[str, float] = {}

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Answer one call."""
        if request.method == "GET":
            rows = [self._show(n) for n in range(len(self._workers))]
            return http_server.json_response({"Machines": rows})
        if self.busy:
            body = json.dumps({"Reason": "busy"}).encode()
            return http_server.HttpResponse(409, (), body)
        name = json.loads(request.body)["Machine"]
        fence = dict(request.headers)["x-kingcuplever-fence-token"]
        self.begun.append((name, int(fence)))
        self._up_at[name] = trio.current_time() + UPKEEP_S
        self.most_down = max(self.most_down, len(self._down()))
        worker = self._workers[int(name[2:])]
        self.killed_runs += len(worker.running)
        worker.crash()
        return http_server.json_response({})

    def _down(self) -> list[str]:
        now = trio.current_time()
        return [name for name, at in self._up_at.items() if at > now]

    def _show(self, number: int) -> dict[str, Any]:
        name = f"m-{number}"
        state = "upkeep" if name in self._down() else "up"
        life = self._workers[number].life
        return {"Machine": name, "State": state, "Id": life}
