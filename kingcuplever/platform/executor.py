"""Client of the platform's executor, the worker beside a side."""

import json
from typing import Any
from typing import Final

from kingcuplever.connection import http_client
from kingcuplever import errors
from kingcuplever.process.agent import executor as executors
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model

_EXPECT_INSTANCE_HEADER: Final = "X-Kingcuplever-Expect-Instance"
# Both ends are on one host, so a response that takes longer is lost.
_CALL_TIMEOUT_S: Final = 0.7


class Executor:
    """Client of the executor at one address, across its incarnations."""

    def __init__(self, client: http_client.HttpClient) -> None:
        """Send requests through a client of the executor's address."""
        self._client = client

    async def start(
        self,
        incarnation: str,
        order: fleet.StartOrder,
        lease_end_ms: int,
        epoch: int,
    ) -> executors.StartAnswer:
        """Start a task."""
        body = {
            "Task": order.task,
            "Run": order.run,
            "Spec": order.payload,
            "UntilMs": lease_end_ms,
            "Fence": epoch,
        }
        if order.checkpoint:
            body["Saved"] = order.checkpoint
        if order.ticket:
            body["Ticket"] = order.ticket
        response = await self._post(
            "/run-start", incarnation, body, _CALL_TIMEOUT_S
        )
        if response.status == 200:
            return executors.StartAnswer(True, "")
        if response.status == 409:
            reason = str(_parse_object(response).get("Reason", "invalid"))
            return executors.StartAnswer(False, reason)
        if response.status in (429, 503):
            return executors.StartAnswer(False, "unhealthy")
        return executors.StartAnswer(False, "invalid")

    async def stop(
        self, incarnation: str, run: fleet.RunId, epoch: int
    ) -> bool:
        """Stop a run or prevent its start; return false if fenced."""
        body = {"Task": run.task, "Run": run.run, "Fence": epoch}
        response = await self._post(
            "/run-stop", incarnation, body, _CALL_TIMEOUT_S
        )
        if response.status == 409:
            return False
        _raise_for_status(response)
        return True

    async def pace(
        self, incarnation: str, run: fleet.RunId, percent: int, epoch: int
    ) -> bool:
        """Limit a task's share of its CPU.

        :return: false if the call was fenced or the run is not there.
        """
        body = {
            "Task": run.task,
            "Run": run.run,
            "Percent": percent,
            "Fence": epoch,
        }
        response = await self._post(
            "/pace", incarnation, body, _CALL_TIMEOUT_S
        )
        if response.status == 409:
            return False
        _raise_for_status(response)
        return True

    async def renew_and_list(
        self,
        incarnation: str,
        epoch: int,
        acked: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> executors.TaskList:
        """Renew the leases of all tasks and list the tasks.

        :raises errors.ExecutorFenced: the epoch is stale.
        """
        body: dict[str, Any] = {"Fence": epoch, "AckedUpto": acked}
        if lease_end_ms is not None:
            body["UntilMs"] = lease_end_ms
        if wait_ms:
            body["WaitMs"] = wait_ms
        response = await self._post(
            "/hold", incarnation, body, wait_ms / 1000 + _CALL_TIMEOUT_S
        )
        if response.status == 409:
            raise errors.ExecutorFenced(
                f"Worker incarnation {incarnation} has accepted a newer"
                " epoch."
            )
        _raise_for_status(response)
        return _decode_task_list(_parse_object(response))

    async def _post(
        self, path: str, incarnation: str, body: Any, timeout_s: float
    ) -> http_client.ClientResponse:
        response = await self._client.call(
            "POST",
            path,
            json.dumps(body, separators=(",", ":")).encode(),
            (
                (_EXPECT_INSTANCE_HEADER, incarnation),
                ("Content-Type", "application/json"),
            ),
            timeout_s,
        )
        if response.status == 421:
            raise errors.ExecutorReplaced(
                f"Worker incarnation {incarnation} has ended."
            )
        return response


def decode_registration(
    incarnation: str, document: Any, now: float
) -> executors.Registration:
    """Decode an executor's registration.

    :param now: monotonic time when it arrived, in seconds.
    :raises errors.InvalidRequest: if a field is missing or mistyped, or
        the state is unknown.
    """
    if not isinstance(document, dict):
        raise errors.InvalidRequest("A registration must be a JSON object.")
    state = _get_field(document, "State", str)
    if state not in ("ready", "draining"):
        raise errors.InvalidRequest(
            f"State is {state!r}; send ready or draining."
        )
    capacity = _get_field(document, "Capacity", dict)
    labels = _get_field(document, "Labels", list)
    if not all(isinstance(label, str) for label in labels):
        raise errors.InvalidRequest("Labels must be strings.")
    resources = model.Resources(
        _get_field(capacity, "Cpu", int),
        _get_field(capacity, "MemMb", int),
        _get_field(capacity, "Gpu", int, 0),
    )
    return executors.Registration(
        incarnation=incarnation,
        sequence=_get_field(document, "Seq", int),
        pool=_get_field(document, "Service", str),
        data_centre=_get_field(document, "Zone", str),
        capacity=resources,
        labels=tuple(labels),
        draining=state == "draining",
        remaining_ms=_get_field(document, "RemainingMs", int, 0),
        received_at=now,
    )


def _get_field(
    document: dict[str, Any],
    name: str,
    expected: type,
    default: Any = None,
) -> Any:
    value = document.get(name, default)
    if not isinstance(value, expected) or isinstance(value, bool):
        raise errors.InvalidRequest(
            f"{name} is {value!r:.40}; send a {expected.__name__}."
        )
    return value


def _raise_for_status(response: http_client.ClientResponse) -> None:
    if response.status != 200:
        raise errors.PlatformFailed(
            f"The executor returned status {response.status}:"
            f" {response.body[:100]!r}."
        )


def _parse_object(response: http_client.ClientResponse) -> dict[str, Any]:
    try:
        document = json.loads(response.body)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        raise errors.PlatformFailed(
            "The executor's response is not a JSON object."
        )
    return document


def _decode_task_list(document: dict[str, Any]) -> executors.TaskList:
    try:
        running = tuple(
            fleet.RunningTask(
                row[0],
                row[1],
                row[2],
                row[3],
                int(row[4]) if len(row) > 4 else 0,
            )
            for row in document.get("Running") or ()
        )
        ended = tuple(
            fleet.EndedTask(*row[:5]) for row in document.get("Ended") or ()
        )
        return executors.TaskList(int(document["ClockMs"]), running, ended)
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise errors.PlatformFailed(
            f"The executor's task list can't be decoded ({error!r})."
        ) from error
