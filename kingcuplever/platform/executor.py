"""Client of the platform's executor, the worker beside a side."""

import json
from typing import Any
from typing import Final

from kingcuplever.connection import http_client
from kingcuplever import errors
from kingcuplever import lenient_json
from kingcuplever import options
from kingcuplever import plain
from kingcuplever.process.agent import executor as executors
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model

# The states of a registration, and whether the worker drains in each.
_DRAINING_BY_STATE: Final = {"ready": False, "draining": True}
_REFUSAL_REASONS: Final = ("fence", "old", "late", "room", "ticket")
_EXPECT_INSTANCE_HEADER: Final = "X-Kingcuplever-Expect-Instance"
# Both ends are on one host, so a response that takes longer is lost.
_CALL_TIMEOUT_S: Final = 0.7
# A list of as many ends may be cut there.
_MAX_LISTED_ENDS: Final = 500
# Largest values that the messages between processes carry.
_MAX_COUNT: Final = 2**31 - 1
_MAX_CLOCK_MS: Final = 2**62
# Longest text of a worker, most labels, and longest checkpoint that records
# and messages have room for.
_MAX_TEXT_BYTES: Final = 4096
_MAX_LABELS: Final = 64
_MAX_ID_BYTES: Final = 100
_MAX_CHECKPOINT_BYTES: Final = 1024


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
            reason = _parse_object(response).get("Reason")
            known = reason if reason in _REFUSAL_REASONS else "invalid"
            return executors.StartAnswer(False, known)
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
        return _decode_task_list(_parse_object(response), incarnation)

    async def _post(
        self, path: str, incarnation: str, body: Any, timeout_s: float
    ) -> http_client.ClientResponse:
        response = await self._client.call(
            "POST",
            path,
            json.dumps(body, separators=(",", ":")).encode(),
            (
                (_EXPECT_INSTANCE_HEADER, fleet.worker_id_of(incarnation)),
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
    worker_id: str, document: Any, now: float
) -> executors.Registration:
    """Decode an executor's registration.

    :param worker_id: id under which it registers.
    :param now: monotonic time when it arrived, in seconds.
    :raises errors.InvalidRequest: if a field is missing or mistyped, or
        the state is unknown.
    """
    try:
        _check_id(worker_id)
        state = _check_text(document["State"])
        if state not in _DRAINING_BY_STATE:
            raise ValueError(f"State is {state!r:.40}")
        _check_unused_fields(document)
        capacity = document["Capacity"]
        labels = document["Labels"]
        if not isinstance(labels, list) or len(labels) > _MAX_LABELS:
            raise TypeError(f"Labels are {labels!r:.40}")
        return executors.Registration(
            incarnation=fleet.incarnation_name(
                worker_id, _decode_birth(document)
            ),
            sequence=_check_count(document["Seq"], _MAX_CLOCK_MS),
            pool=_check_text(document["Service"]),
            data_centre=_check_text(document["Zone"]),
            capacity=model.Resources(
                _check_count(capacity["Cpu"]),
                _check_count(capacity["MemMb"]),
                _check_count(capacity.get("Gpu", 0)),
            ),
            labels=tuple(_check_text(label) for label in labels),
            draining=_DRAINING_BY_STATE[state],
            remaining_ms=_check_count(document.get("RemainingMs", 0)),
            received_at=now,
        )
    except plain.CONVERSION_ERRORS as error:
        raise errors.InvalidRequest(
            f"The registration can't be decoded ({error!r}); correct it."
        ) from error


def _decode_birth(document: dict[str, Any]) -> int | None:
    """Return when an executor started, in Unix ms; None if not stated."""
    if "born" not in document:
        return None
    return _check_count(document["born"], _MAX_CLOCK_MS)


def _check_unused_fields(document: dict[str, Any]) -> None:
    """Check the fields that nothing is read from, as far as they are there.

    A registration with a wrong one was not written by the worker.
    """
    if "Address" in document:
        options.split_address(_check_text(document["Address"]))
    _check_text(document.get("Version", ""))
    _check_count(document.get("Slots", 0))
    _check_time(document.get("ColdLeftMs", 0))
    _check_time(document.get("ClockMs", 0))


def _check_time(value: Any) -> int:
    """Return a time in whole milliseconds if it is a number of them."""
    if type(value) not in (int, float):
        raise TypeError(f"{value!r:.40} is no time")
    return _check_count(int(value), _MAX_CLOCK_MS)


def _check_count(value: Any, maximum: int = _MAX_COUNT) -> int:
    """Return a value if it is a whole number from 0 to ``maximum``."""
    if type(value) is not int or not 0 <= value <= maximum:
        raise ValueError(f"{value!r:.40} is no number up to {maximum}")
    return value


def _check_id(worker_id: str) -> None:
    """Check that an id can be sent in a header, and be part of a key."""
    _check_text(worker_id)
    is_plain = worker_id.isascii() and worker_id.isprintable()
    if not is_plain or worker_id != worker_id.strip():
        raise ValueError(f"the id {worker_id!r:.40} fits no header")
    if len(worker_id) > _MAX_ID_BYTES:
        raise ValueError(f"the id {worker_id!r:.40} fits no key of a record")


def _check_text(value: Any) -> str:
    """Return a value if it is a string that can be sent as UTF-8."""
    if type(value) is not str:
        raise TypeError(f"{value!r:.40} is no string")
    if len(value.encode()) > _MAX_TEXT_BYTES:
        raise ValueError(f"{value!r:.40} is too long")
    return value


def _decode_checkpoint(value: Any) -> str:
    """Return a checkpoint, or none if it is too long to be kept."""
    if type(value) is not str:
        raise TypeError(f"{value!r:.40} is no string")
    return value if len(value.encode()) <= _MAX_CHECKPOINT_BYTES else ""


def _raise_for_status(response: http_client.ClientResponse) -> None:
    if response.status != 200:
        raise errors.PlatformFailed(
            f"The executor returned status {response.status}:"
            f" {response.body[:100]!r}."
        )


def _parse_object(response: http_client.ClientResponse) -> dict[str, Any]:
    try:
        document = lenient_json.parse(response.body)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        raise errors.PlatformFailed(
            "The executor's response is not a JSON object."
        )
    return document


def _decode_task_list(
    document: dict[str, Any], incarnation: str
) -> executors.TaskList:
    """Decode a list of tasks.

    :param incarnation: the incarnation that was addressed.
    """
    try:
        born_ms = _decode_birth(document)
        answered = ""
        if born_ms is not None:
            worker_id = fleet.worker_id_of(incarnation)
            answered = fleet.incarnation_name(worker_id, born_ms)
        elif fleet.has_birth(incarnation):
            raise ValueError("it does not state when the executor started")

        running = tuple(
            fleet.RunningTask(
                _check_text(row[0]),
                _check_count(row[1]),
                _decode_checkpoint(row[2]),
                _check_count(row[3]),
                _check_count(int(row[4])) if len(row) > 4 else 0,
            )
            for row in document.get("Running") or ()
        )
        ended = tuple(
            fleet.EndedTask(
                _check_count(row[0]),
                _check_text(row[1]),
                _check_count(row[2]),
                _check_text(row[3]),
                _decode_checkpoint(row[4]),
            )
            for row in document.get("Ended") or ()
        )
        clock_ms = _check_time(document["ClockMs"])
        is_cut = len(ended) >= _MAX_LISTED_ENDS
        return executors.TaskList(clock_ms, running, ended, answered, is_cut)
    except plain.CONVERSION_ERRORS as error:
        raise errors.PlatformFailed(
            f"The executor's task list can't be decoded ({error!r})."
        ) from error
