"""A worker as the platform gives it: its interface, and its HTTP adapter."""

from typing import NamedTuple
from typing import Protocol

from kingcuplever.connection import http_client
from kingcuplever import errors
from kingcuplever import messages
from kingcuplever import plain


class PlatformTask(NamedTuple):
    """One task as the worker reports it.

    :ivar id: our name of the task, see :func:`task_id`.
    :ivar progress: seconds of work that the newest checkpoint holds.
    :ivar lease_ms: what is left of the task's lease.
    """

    id: str
    phase: str
    detail: str
    progress: float
    cores_used: float
    memory_used_gb: float
    gpu_mask: int
    cores: float
    memory_gb: float
    lease_ms: int


class PlatformStatus(NamedTuple):
    """A worker's shape and all tasks that it knows."""

    worker: str
    cores: float
    memory_gb: float
    gpus: int
    tasks: tuple[PlatformTask, ...]


class Worker(Protocol):
    """Runs tasks under leases."""

    async def status(self) -> PlatformStatus:
        """Give the worker's shape and tasks.

        :raises errors.PlatformFailed: the worker did not answer.
        """

    async def start(
        self, name: str, order: messages.TaskOrder, lease_ms: int
    ) -> None:
        """Start a task; a second start of the same name does nothing.

        :raises errors.PlatformFailed: it may or may not have started.
        """

    async def renew(self, name: str, lease_ms: int) -> None:
        """Prolong a task's lease."""

    async def checkpoint(self, name: str, timeout_s: float) -> None:
        """Have a task write a checkpoint, and wait for it."""

    async def throttle(self, name: str) -> None:
        """Hold a task to its declared cores."""

    async def stop(self, name: str) -> None:
        """Stop a task; when this returns it does not run any more."""


def task_id(job: str, attempt: int, task: int) -> str:
    """Give the name under which a worker knows a task."""
    return f"{job}.{attempt}.{task}"


def split_task_id(name: str) -> tuple[str, int, int] | None:
    """Take a task's name apart; ``None`` if it is not one of ours."""
    parts = name.rsplit(".", 2)
    if len(parts) != 3 or not (parts[1] + parts[2]).isdigit():
        return None
    return parts[0], int(parts[1]), int(parts[2])


class HttpWorker:
    """A worker over HTTP."""

    def __init__(self, client: http_client.HttpClient) -> None:
        """Use a client whose address is the worker's."""
        self._client = client

    async def status(self) -> PlatformStatus:
        """Give the worker's shape and tasks."""
        answer = await self._client.call_json("GET", "/worker")
        try:
            return plain.from_plain(PlatformStatus, answer, "worker")
        except plain.FaultyValue as error:
            raise errors.PlatformFailed(
                f"The worker's status can't be used: {error}"
            ) from error

    async def start(
        self, name: str, order: messages.TaskOrder, lease_ms: int
    ) -> None:
        """Start a task."""
        body = {
            "id": name,
            "gpu_mask": order.gpu_mask,
            "cores": order.cores,
            "memory_gb": order.memory_gb,
            "payload": order.payload,
            "progress": order.progress,
            "lease_ms": lease_ms,
        }
        await self._client.call_json("POST", "/tasks", body)

    async def renew(self, name: str, lease_ms: int) -> None:
        """Prolong a task's lease."""
        body = {"lease_ms": lease_ms}
        await self._client.call_json("POST", f"/tasks/{name}/lease", body)

    async def checkpoint(self, name: str, timeout_s: float) -> None:
        """Have a task write a checkpoint, and wait for it."""
        await self._client.call_json(
            "POST", f"/tasks/{name}/checkpoint", {}, timeout_s
        )

    async def throttle(self, name: str) -> None:
        """Hold a task to its declared cores."""
        await self._client.call_json("POST", f"/tasks/{name}/throttle", {})

    async def stop(self, name: str) -> None:
        """Stop a task."""
        await self._client.call_json("POST", f"/tasks/{name}/stop", {})
