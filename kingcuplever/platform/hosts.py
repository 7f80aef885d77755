"""Client of the platform's interface to machines and their maintenance.

In the platform's terms, the hosts of executors are machines, their maintenance
is upkeep, and a maintenance round is a wave.
"""

import json
import secrets
from typing import Any
from typing import Final
from urllib import parse

from kingcuplever.connection import http_client
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import lenient_json
from kingcuplever import plain
from kingcuplever.process.scheduling import maintenance_rounds
from kingcuplever.process.stored import log_producer

STATUS_TOPIC: Final = "status"
_WAVE_KEY_PREFIX: Final = "wave/"
_UP_STATE: Final = "up"
_CALL_TIMEOUT_S: Final = 2.0
_JSON_HEADER: Final = ("Content-Type", "application/json")


def is_wave_key(key: str) -> bool:
    """Return whether an operator's record orders a maintenance round."""
    return key.startswith(_WAVE_KEY_PREFIX)


def decode_wave(value: bytes) -> maintenance_rounds.RoundOrder:
    """Decode an operator's order of a maintenance round.

    :raises errors.InvalidRequest: if the order can't be decoded.
    """
    try:
        document = lenient_json.parse(value)
        return maintenance_rounds.RoundOrder(
            int(document["Wave"]),
            tuple(dict.fromkeys(map(str, document["Machines"]))),
            float(document["DurationS"]),
            max(1, int(document["MaxCount"])),
        )
    except plain.CONVERSION_ERRORS as error:
        raise errors.InvalidRequest(
            f"Maintenance order ignored, as it can't be decoded ({error!r})."
        ) from error


class HostsClient:
    """Client of the platform's machines; a process has one."""

    def __init__(
        self, client: http_client.HttpClient, log: keyed_log.KeyedLog
    ) -> None:
        """Create a client that has sent nothing yet.

        :param client: client of the address of the list of machines.
        :param log: log on which progress is reported.
        """
        self._client = client
        self._log = log

    async def list_hosts(self) -> list[maintenance_rounds.Host]:
        """List all machines, page by page.

        :raises errors.PlatformFailed: the list could not be read as a whole.
        """
        hosts: dict[str, maintenance_rounds.Host] = {}
        malformed_hosts: dict[str, maintenance_rounds.Host] = {}
        token = ""
        while True:
            path = "/machines"
            if token:
                path += f"?{parse.urlencode({'PageToken': token})}"
            page = await self._client.call_json(
                "GET", path, None, _CALL_TIMEOUT_S
            )
            try:
                for row in page["Machines"]:
                    _add_host(row, hosts, malformed_hosts)
                token = page.get("NextToken") or ""
            except plain.CONVERSION_ERRORS as error:
                raise errors.PlatformFailed(
                    f"The list of machines can't be decoded ({error!r})."
                ) from error
            if not token:
                return [*(malformed_hosts | hosts).values()]

    async def begin_maintenance(
        self, step: maintenance_rounds.TakeDown, holder: str, fence: int
    ) -> maintenance_rounds.TakeDownOutcome:
        """Request the start of a machine's maintenance.

        :param holder: name of the owner's entry.
        :param fence: fencing token, the owner's epoch.
        :raises errors.PlatformFailed: the outcome is unknown.
        """
        body = {"Machine": step.host, "Wave": step.number}
        response = await self._client.call(
            "POST",
            "/machine-upkeep",
            json.dumps(body).encode(),
            (
                _JSON_HEADER,
                ("X-Kingcuplever-Duty-Holder", holder),
                ("X-Kingcuplever-Fence-Token", str(fence)),
            ),
            _CALL_TIMEOUT_S,
        )
        if response.status == 200:
            return maintenance_rounds.TakeDownOutcome.STARTED
        if response.status == 409 and b'"wave"' in response.body:
            return maintenance_rounds.TakeDownOutcome.NOT_PART
        if response.status in (400, 409, 429):
            # 400: the machine has left; the next list omits it.
            return maintenance_rounds.TakeDownOutcome.BUSY
        return maintenance_rounds.TakeDownOutcome.UNKNOWN

    async def report_progress(
        self, number: int, completed: bool, fence: int
    ) -> None:
        """Append the state of a maintenance round to the status topic.

        :param fence: fencing token, the owner's epoch.
        """
        name = f"{STATUS_TOPIC}.{secrets.token_hex(6)}"
        producer = log_producer.Producer(self._log, STATUS_TOPIC, name, fence)
        state = "completed" if completed else "running"
        value = json.dumps({"Wave": number, "State": state}).encode()
        record = keyed_log.KeyedRecord(f"{_WAVE_KEY_PREFIX}{number}", value)
        await producer.append([record])


def _add_host(
    row: Any,
    hosts: dict[str, maintenance_rounds.Host],
    malformed_hosts: dict[str, maintenance_rounds.Host],
) -> None:
    """Decode a row of the list and add its host.

    :param malformed_hosts: takes a host whose other fields are malformed, as
        one that is not up; a row without the name of a host is left out.
    """
    name = row.get("Machine") if isinstance(row, dict) else None
    if not isinstance(name, str):
        return
    state, worker_id = row.get("State"), row.get("Id") or ""
    if isinstance(state, str) and isinstance(worker_id, str):
        is_up = state == _UP_STATE
        hosts[name] = maintenance_rounds.Host(name, is_up, worker_id)
    else:
        malformed_hosts[name] = maintenance_rounds.Host(name, False, "")
