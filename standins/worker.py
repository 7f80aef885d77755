"""A stand-in for a worker: it starts what it is given, fitting or not.

Tasks run under leases, can write checkpoints, be throttled and stopped, and
report their usage with a lag.  The truth lists what really ran and when.
"""

import json
import time
from typing import Any
from typing import Final

from kingcuplever.connection import http_server
from kingcuplever import errors
import trio

_STEP_S: Final = 0.05
_USAGE_LAG_S: Final = 1.0
_CHECKPOINT_S: Final = 0.1


class _Task:
    """One task; ``work_s`` is what it needs in all."""

    def __init__(self, wanted: dict[str, Any]) -> None:
        payload = json.loads(wanted["payload"] or "{}")
        self.id: str = wanted["id"]
        self.gpu_mask: int = wanted["gpu_mask"]
        self.cores: float = wanted["cores"]
        self.memory_gb: float = wanted["memory_gb"]
        self.work_s = float(payload.get("seconds", 1.0))
        self.fails = bool(payload.get("fails", False))
        self.cores_used = float(payload.get("cores_used", self.cores))
        self.memory_used_gb = float(
            payload.get("memory_used_gb", self.memory_gb)
        )
        self.done_s = float(wanted["progress"])
        self.progress = self.done_s
        self.phase = "running"
        self.detail = ""
        self.throttled = False
        self.started_at = time.time()
        self.ended_at = 0.0
        self.lease_until = trio.current_time() + wanted["lease_ms"] / 1000

    def end(self, phase: str, detail: str) -> None:
        if self.phase != "running":
            return
        self.phase = phase
        self.detail = detail
        self.ended_at = time.time()


class WorkerStandin:
    """One worker.

    :ivar fails_all: whether every task fails soon after its start.
    """

    def __init__(
        self, name: str, cores: float, memory_gb: float, gpus: int
    ) -> None:
        """Start without tasks."""
        self.name = name
        self.cores = cores
        self.memory_gb = memory_gb
        self.gpus = gpus
        self.fails_all = False
        self._tasks: dict[str, _Task] = {}
        self._refused: set[str] = set()

    async def run(self) -> None:
        """Let the tasks run until cancelled."""
        while True:
            await trio.sleep(_STEP_S)
            now = trio.current_time()
            for task in self._tasks.values():
                if task.phase == "running":
                    self._advance(task, now)

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Answer one HTTP request."""
        parts = request.path.strip("/").split("/")
        if parts == ["worker"]:
            return self._status()
        if parts == ["truth"]:
            return self._truth()
        if parts == ["control"]:
            wanted = http_server.parse_json(request.body)
            self.fails_all = wanted.get("fails_all", self.fails_all)
            return http_server.json_response({})
        if parts == ["tasks"]:
            return self._start(http_server.parse_json(request.body))
        if len(parts) == 3 and parts[0] == "tasks":
            body = http_server.parse_json(request.body)
            return await self._change(parts[1], parts[2], body)
        raise errors.KingcupleverError("?", errors.Code.NOT_FOUND)

    def _advance(self, task: _Task, now: float) -> None:
        if now > task.lease_until:
            task.end("stopped", "lease lapsed on the worker")
            return
        if self.fails_all or task.fails:
            task.end("failed", "exit status 1")
            return
        speed = 1.0
        if task.throttled and task.cores_used > task.cores:
            speed = task.cores / task.cores_used
        task.done_s += _STEP_S * speed
        if task.done_s >= task.work_s:
            task.progress = task.work_s
            task.end("done", "exit status 0")

    def _status(self) -> http_server.HttpResponse:
        now = trio.current_time()
        rows = [self._row(task, now) for task in self._tasks.values()]
        return http_server.json_response(
            {
                "worker": self.name,
                "cores": self.cores,
                "memory_gb": self.memory_gb,
                "gpus": self.gpus,
                "tasks": rows,
            }
        )

    def _row(self, task: _Task, now: float) -> dict[str, Any]:
        seen = time.time() - task.started_at > _USAGE_LAG_S
        cores_used = task.cores_used
        if task.throttled:
            cores_used = min(cores_used, task.cores)
        return {
            "id": task.id,
            "phase": task.phase,
            "detail": task.detail,
            "progress": task.progress,
            "cores_used": cores_used if seen else 0.0,
            "memory_used_gb": task.memory_used_gb if seen else 0.0,
            "gpu_mask": task.gpu_mask,
            "cores": task.cores,
            "memory_gb": task.memory_gb,
            "lease_ms": max(0, int((task.lease_until - now) * 1000)),
        }

    def _truth(self) -> http_server.HttpResponse:
        return http_server.json_response(
            [
                {
                    "id": task.id,
                    "gpu_mask": task.gpu_mask,
                    "cores": task.cores,
                    "phase": task.phase,
                    "detail": task.detail,
                    "started_at": task.started_at,
                    "ended_at": task.ended_at,
                }
                for task in self._tasks.values()
            ]
        )

    def _start(self, wanted: dict[str, Any]) -> http_server.HttpResponse:
        name = wanted["id"]
        if name in self._refused:
            raise errors.InvalidRequest("The task was stopped before.")
        if name not in self._tasks:
            self._tasks[name] = _Task(wanted)
        return http_server.json_response({})

    async def _change(
        self, name: str, what: str, body: dict[str, Any]
    ) -> http_server.HttpResponse:
        task = self._tasks.get(name)
        if task is None:
            if what != "stop":
                raise errors.KingcupleverError("?", errors.Code.NOT_FOUND)
            self._refused.add(name)
            return http_server.json_response({})
        if what == "lease":
            lease_s = body["lease_ms"] / 1000
            task.lease_until = trio.current_time() + lease_s
        elif what == "checkpoint":
            await trio.sleep(_CHECKPOINT_S)
            task.progress = task.done_s
        elif what == "throttle":
            task.throttled = True
        elif what == "stop":
            task.end("stopped", "stopped by order")
        return http_server.json_response({})
