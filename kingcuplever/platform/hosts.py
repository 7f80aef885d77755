"""The platform's machines of executors, and the operator's upkeep waves."""

import json
import secrets
from typing import Any
from typing import Final

from kingcuplever.connection import http_client
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever.process.scheduling import maintenance_rounds
from kingcuplever.process.stored import log_producer

STATUS_TOPIC: Final = "status"
_WAVE: Final = "wave/"
_UP: Final = "up"
_CALL_TIMEOUT_S: Final = 2.0
_JSON: Final = ("Content-Type", "application/json")


def is_wave_key(key: str) -> bool:
    """Tell whether a record of the operator orders a wave."""
    return key.startswith(_WAVE)


def decode_wave(value: bytes) -> maintenance_rounds.RoundOrder:
    """Read the operator's order.

    :raises errors.InvalidRequest: if it can't be understood.
    """
    try:
        document = json.loads(value)
        return maintenance_rounds.RoundOrder(
            int(document["Wave"]),
            tuple(str(name) for name in document["Machines"]),
            float(document["DurationS"]),
            max(1, int(document["MaxCount"])),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise errors.InvalidRequest(
            f"A wave can't be read ({error!r}); it is left alone."
        ) from error


class HostsClient:
    """The one client of the platform's machines in a process."""

    def __init__(
        self, client: http_client.HttpClient, log: keyed_log.KeyedLog
    ) -> None:
        """Use a client whose address is that of the list."""
        self._client = client
        self._log = log

    async def list_hosts(self) -> list[maintenance_rounds.Host]:
        """Give all machines, page by page."""
        hosts: list[maintenance_rounds.Host] = []
        token = ""
        while True:
            path = f"/machines?PageToken={token}" if token else "/machines"
            page = await self._client.call_json(
                "GET", path, None, _CALL_TIMEOUT_S
            )
            try:
                hosts += [_decode(row) for row in page["Machines"]]
                token = page.get("NextToken") or ""
            except (KeyError, TypeError, AttributeError) as error:
                raise errors.PlatformFailed(
                    f"The list of machines can't be read ({error!r})."
                ) from error
            if not token:
                return hosts

    async def begin_maintenance(
        self, step: maintenance_rounds.TakeDown, holder: str, fence: int
    ) -> maintenance_rounds.TakeDownOutcome:
        """Have a machine's upkeep begin."""
        body = {"Machine": step.host, "Wave": step.number}
        answer = await self._client.call(
            "POST",
            "/machine-upkeep",
            json.dumps(body).encode(),
            (
                _JSON,
                ("X-Kingcuplever-Duty-Holder", holder),
                ("X-Kingcuplever-Fence-Token", str(fence)),
            ),
            _CALL_TIMEOUT_S,
        )
        if answer.status == 200:
            return maintenance_rounds.TakeDownOutcome.STARTED
        if answer.status == 409 and b'"wave"' in answer.body:
            return maintenance_rounds.TakeDownOutcome.NOT_PART
        if answer.status in (400, 409, 429):
            # 400: it has left meanwhile; the next list says so.
            return maintenance_rounds.TakeDownOutcome.BUSY
        return maintenance_rounds.TakeDownOutcome.UNKNOWN

    async def report_progress(
        self, number: int, completed: bool, fence: int
    ) -> None:
        """Write how far a wave is."""
        name = f"{STATUS_TOPIC}.{secrets.token_hex(6)}"
        producer = log_producer.Producer(self._log, STATUS_TOPIC, name, fence)
        state = "completed" if completed else "running"
        value = json.dumps({"Wave": number, "State": state}).encode()
        record = keyed_log.KeyedRecord(f"{_WAVE}{number}", value)
        await producer.append([record])


def _decode(row: dict[str, Any]) -> maintenance_rounds.Host:
    life = row.get("Id") or ""
    return maintenance_rounds.Host(
        str(row["Machine"]), row["State"] == _UP, life
    )
