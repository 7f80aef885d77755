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
_CALL_S: Final = 0.7


class Executor:
    """One executor, at one address, over its lives."""

    def __init__(self, client: http_client.HttpClient) -> None:
        """Use a client whose address is the executor's."""
        self._client = client

    async def start(
        self,
        life: str,
        order: fleet.StartOrder,
        until_ms: int,
        epoch: int,
    ) -> executors.StartAnswer:
        """Start a task."""
        body = {
            "Task": order.task,
            "Run": order.run,
            "Spec": order.payload,
            "UntilMs": until_ms,
            "Fence": epoch,
        }
        if order.saved:
            body["Saved"] = order.saved
        if order.ticket:
            body["Ticket"] = order.ticket
        answer = await self._post("/run-start", life, body, _CALL_S)
        if answer.status == 200:
            return executors.StartAnswer(True, "")
        if answer.status == 409:
            reason = str(_document(answer).get("Reason", "invalid"))
            return executors.StartAnswer(False, reason)
        if answer.status in (429, 503):
            return executors.StartAnswer(False, "unhealthy")
        return executors.StartAnswer(False, "invalid")

    async def stop(self, life: str, run: fleet.RunId, epoch: int) -> bool:
        """Stop a run, or keep it from starting; false if fenced."""
        body = {"Task": run.task, "Run": run.run, "Fence": epoch}
        answer = await self._post("/run-stop", life, body, _CALL_S)
        if answer.status == 409:
            return False
        _check(answer)
        return True

    async def pace(
        self, life: str, run: fleet.RunId, percent: int, epoch: int
    ) -> bool:
        """Let a task work at a share; false if fenced or not there."""
        body = {
            "Task": run.task,
            "Run": run.run,
            "Percent": percent,
            "Fence": epoch,
        }
        answer = await self._post("/pace", life, body, _CALL_S)
        if answer.status == 409:
            return False
        _check(answer)
        return True

    async def hold(
        self,
        life: str,
        epoch: int,
        acked: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> executors.View:
        """Prolong the lease of all that runs, and list it."""
        body: dict[str, Any] = {"Fence": epoch, "AckedUpto": acked}
        if until_ms is not None:
            body["UntilMs"] = until_ms
        if wait_ms:
            body["WaitMs"] = wait_ms
        answer = await self._post(
            "/hold", life, body, wait_ms / 1000 + _CALL_S
        )
        if answer.status == 409:
            raise errors.ExecutorFenced(f"{life} obeys a newer epoch.")
        _check(answer)
        return _view(_document(answer))

    async def _post(
        self, path: str, life: str, body: Any, timeout_s: float
    ) -> http_client.Answer:
        answer = await self._client.call(
            "POST",
            path,
            json.dumps(body, separators=(",", ":")).encode(),
            ((_EXPECT, life), ("Content-Type", "application/json")),
            timeout_s,
        )
        if answer.status == 421:
            raise errors.ExecutorChanged(f"{life} is over.")
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
    state = _field(document, "State", str)
    if state not in ("ready", "draining"):
        raise errors.InvalidRequest(f"State is {state!r}; send ready.")
    capacity = _field(document, "Capacity", dict)
    labels = _field(document, "Labels", list)
    if not all(isinstance(label, str) for label in labels):
        raise errors.InvalidRequest("Labels are texts.")
    need = model.Need(
        _field(capacity, "Cpu", int),
        _field(capacity, "MemMb", int),
        _field(capacity, "Gpu", int, 0),
    )
    return executors.Registration(
        life=life,
        sequence=_field(document, "Seq", int),
        pool=_field(document, "Service", str),
        data_centre=_field(document, "Zone", str),
        capacity=need,
        labels=tuple(labels),
        draining=state == "draining",
        remaining_ms=_field(document, "RemainingMs", int, 0),
        heard_at=now,
    )


def _field(
    document: dict[str, Any], name: str, kind: type, default: Any = None
) -> Any:
    value = document.get(name, default)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise errors.InvalidRequest(
            f"{name} is {value!r:.40}; send a {kind.__name__}."
        )
    return value


def _check(answer: http_client.Answer) -> None:
    if answer.status != 200:
        raise errors.PlatformFailed(
            f"The executor answered {answer.status}: {answer.body[:100]!r}."
        )


def _document(answer: http_client.Answer) -> dict[str, Any]:
    try:
        document = json.loads(answer.body)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        raise errors.PlatformFailed("The executor sent no JSON object.")
    return document


def _view(document: dict[str, Any]) -> executors.View:
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
        return executors.View(int(document["ClockMs"]), running, ended)
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise errors.PlatformFailed(
            f"The executor sent no list ({error!r})."
        ) from error
