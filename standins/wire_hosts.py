"""A stand-in for the platform's host service: lists and maintains hosts."""

import json
from typing import Any
from typing import Final

from kingcuplever.connection import http_server
from standins import wire_worker
import trio

# How long a host is down for maintenance.
MAINTENANCE_S: Final = 0.5


class WireHosts:
    """One host for each worker.

    :ivar maintenance_calls: host and fencing token of each call that began a
        maintenance.
    :ivar killed_runs: count of task runs that were ended by a maintenance.
    :ivar max_down: largest count of hosts that were down at the same time.
    :ivar removed: numbers of the hosts that are gone for good.
    :ivar is_busy: whether to answer that no host can go down now.
    """

    def __init__(self, workers: list[wire_worker.WireWorker]) -> None:
        """Serve the hosts of ``workers``; the list may still grow."""
        self.maintenance_calls: list[tuple[str, int]] = []
        self.killed_runs = 0
        self.max_down = 0
        self.removed: set[int] = set()
        self.is_busy = False
        self._workers = workers
        self._up_at: dict[str, float] = {}

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Answer one HTTP request."""
        if request.method == "GET":
            numbers = {*range(len(self._workers))} - self.removed
            rows = [self._make_row(n) for n in sorted(numbers)]
            return http_server.json_response({"Machines": rows})
        if self.is_busy:
            body = json.dumps({"Reason": "busy"}).encode()
            return http_server.HttpResponse(409, (), body)
        name = json.loads(request.body)["Machine"]
        fence = dict(request.headers)["x-kingcuplever-fence-token"]
        self.maintenance_calls.append((name, int(fence)))
        self._up_at[name] = trio.current_time() + MAINTENANCE_S
        self.max_down = max(self.max_down, len(self._list_down()))
        worker = self._workers[int(name[2:])]
        self.killed_runs += len(worker.running)
        worker.crash()
        return http_server.json_response({})

    def _list_down(self) -> list[str]:
        now = trio.current_time()
        return [name for name, at in self._up_at.items() if at > now]

    def _make_row(self, number: int) -> dict[str, Any]:
        name = f"m-{number}"
        state = "upkeep" if name in self._list_down() else "up"
        incarnation = self._workers[number].incarnation
        return {"Machine": name, "State": state, "Id": incarnation}
