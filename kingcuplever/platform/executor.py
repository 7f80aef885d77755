"""The platform's executor, as the worker beside a side."""

import json
from typing import Any
from typing import Final

from kingcuplever.connection import http_client
from kingcuplever import errors
from kingcuplever.process.agent import executor as executors
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model

_EXPECT: Final = "X-Kingcuplever-Expect-Instance"
# Both ends are on one host; an answer that is not there by then is lost.
_CALL_TIMEOUT_S: Final = 0.7


class Executor:
    """One executor, at one address, over its lives."""

    def __init__(self, client: http_client.HttpClient) -> None:
        """Use a client whose address is the executor's."""
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
        answer = await self._post(
            "/run-start", incarnation, body, _CALL_TIMEOUT_S
        )
        if answer.status == 200:
            return executors.StartAnswer(True, "")
        if answer.status == 409:
            reason = str(_parse_object(answer).get("Reason", "invalid"))
            return executors.StartAnswer(False, reason)
        if answer.status in (429, 503):
            return executors.StartAnswer(False, "unhealthy")
        return executors.StartAnswer(False, "invalid")

    async def stop(
        self, incarnation: str, run: fleet.RunId, epoch: int
    ) -> bool:
        """Stop a run, or keep it from starting; false if fenced."""
        body = {"Task": run.task, "Run": run.run, "Fence": epoch}
        answer = await self._post(
            "/run-stop", incarnation, body, _CALL_TIMEOUT_S
        )
        if answer.status == 409:
            return False
        _raise_for_status(answer)
        return True

    async def pace(
        self, incarnation: str, run: fleet.RunId, percent: int, epoch: int
    ) -> bool:
        """Let a task work at a share; false if fenced or not there."""
        body = {
            "Task": run.task,
            "Run": run.run,
            "Percent": percent,
            "Fence": epoch,
        }
        answer = await self._post("/pace", incarnation, body, _CALL_TIMEOUT_S)
        if answer.status == 409:
            return False
        _raise_for_status(answer)
        return True

    async def renew_and_list(
        self,
        incarnation: str,
        epoch: int,
        acked: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> executors.TaskList:
        """Prolong the lease of all that runs, and list it."""
        body: dict[str, Any] = {"Fence": epoch, "AckedUpto": acked}
        if lease_end_ms is not None:
            body["UntilMs"] = lease_end_ms
        if wait_ms:
            body["WaitMs"] = wait_ms
        answer = await self._post(
            "/hold", incarnation, body, wait_ms / 1000 + _CALL_TIMEOUT_S
        )
        if answer.status == 409:
            raise errors.ExecutorFenced(f"{incarnation} obeys a newer epoch.")
        _raise_for_status(answer)
        return _decode_task_list(_parse_object(answer))

    async def _post(
        self, path: str, incarnation: str, body: Any, timeout_s: float
    ) -> http_client.ClientResponse:
        answer = await self._client.call(
            "POST",
            path,
            json.dumps(body, separators=(",", ":")).encode(),
            ((_EXPECT, incarnation), ("Content-Type", "application/json")),
            timeout_s,
        )
        if answer.status == 421:
            raise errors.ExecutorReplaced(f"{incarnation} is over.")
        return answer


def decode_registration(
    life: str, document: Any, now: float
) -> executors.Registration:
    """Read what an executor says about itself.

    :param now: steady time when it came.
    :raises errors.InvalidRequest: if a field is missing or mistyped, or
        its state is unknown.
    """
    if not isinstance(document, dict):
        raise errors.InvalidRequest("A registration is an object.")
    state = _get_field(document, "State", str)
    if state not in ("ready", "draining"):
        raise errors.InvalidRequest(f"State is {state!r}; send ready.")
    capacity = _get_field(document, "Capacity", dict)
    labels = _get_field(document, "Labels", list)
    if not all(isinstance(label, str) for label in labels):
        raise errors.InvalidRequest("Labels are texts.")
    need = model.Resources(
        _get_field(capacity, "Cpu", int),
        _get_field(capacity, "MemMb", int),
        _get_field(capacity, "Gpu", int, 0),
    )
    return executors.Registration(
        incarnation=life,
        sequence=_get_field(document, "Seq", int),
        pool=_get_field(document, "Service", str),
        data_centre=_get_field(document, "Zone", str),
        capacity=need,
        labels=tuple(labels),
        draining=state == "draining",
        remaining_ms=_get_field(document, "RemainingMs", int, 0),
        received_at=now,
    )


def _get_field(
    document: dict[str, Any], name: str, kind: type, default: Any = None
) -> Any:
    value = document.get(name, default)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise errors.InvalidRequest(
            f"{name} is {value!r:.40}; send a {kind.__name__}."
        )
    return value


def _raise_for_status(answer: http_client.ClientResponse) -> None:
    if answer.status != 200:
        raise errors.PlatformFailed(
            f"The executor answered {answer.status}: {answer.body[:100]!r}."
        )


def _parse_object(answer: http_client.ClientResponse) -> dict[str, Any]:
    try:
        document = json.loads(answer.body)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        raise errors.PlatformFailed("The executor sent no JSON object.")
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
            f"The executor sent no list ({error!r})."
        ) from error
