"""The platform's store, as the product's keyed log."""

import base64
from collections.abc import Sequence
import json
import struct
from typing import Any
from typing import Final
from urllib import parse

from kingcuplever.connection import http_client
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import logs

# Topics with this prefix keep the newest record of each key.
_PREFIX: Final = "keyed."
# Longer than the answers of a store that is slow, short enough to retry
# several times within a caller's patience.
CALL_TIMEOUT_S: Final = 0.6
_READ_KB: Final = 1024
_LENGTH: Final = struct.Struct(">I")
_ENDS: Final = struct.Struct(">QQ")
# Statuses by which the store says that nothing was done.
_REFUSALS: Final = frozenset((429, 503, 507))


class Store:
    """The one client of the store in a process."""

    def __init__(self, client: http_client.HttpClient) -> None:
        """Use a client whose address is the store's."""
        self._client = client

    async def append(
        self,
        topic: str,
        records: Sequence[keyed_log.KeyedRecord],
        stamp: keyed_log.ProducerStamp,
        expected_end: int | None = None,
    ) -> int:
        """Append all records or none; give the offset after the last."""
        query = {
            "Topic": _PREFIX + topic,
            "part": "0",
            "Producer": stamp.producer,
            "epoch": str(stamp.epoch),
            "Seq": str(stamp.sequence),
        }
        if expected_end is not None:
            query["At"] = str(expected_end)
        body = b"".join(_pack(record) for record in records)
        path = f"/log-append?{parse.urlencode(query)}"
        try:
            answer = await self._client.call(
                "POST", path, body, timeout_s=CALL_TIMEOUT_S
            )
        except errors.PlatformFailed as error:
            raise _unavailable(error) from error
        document = _parse_json(answer)
        if answer.status == 200:
            return int(document["Offset"]) + len(records)
        if answer.status == 412:
            raise errors.LogConflict(
                f"{topic} ends at {document.get('End')},"
                f" not at {expected_end}.",
                int(document.get("End", -1)),
            )
        if answer.status == 409:
            raise errors.LogFenced(
                f"{topic}: {stamp} meets {answer.body[:100]!r}."
            )
        if answer.status in _REFUSALS:
            raise errors.LogRefused(f"The log answers {answer.status}.")
        raise errors.LogUnavailable(
            f"The log answers {answer.status}: {answer.body[:100]!r}."
        )

    async def read(
        self, topic: str, offset: int, wait_ms: int
    ) -> keyed_log.ReadBatch:
        """Read from an offset, waiting up to ``wait_ms`` for a record."""
        query = {
            "Topic": _PREFIX + topic,
            "part": "0",
            "From": str(offset),
            "MaxKb": str(_READ_KB),
        }
        if wait_ms:
            query["WaitMs"] = str(wait_ms)
        answer = await self._get(
            "/log-read", query, wait_ms / 1000 + CALL_TIMEOUT_S
        )
        if answer.status == 410:
            first = int(_parse_json(answer).get("First", 0))
            raise errors.LogGone(f"{topic} begins at {first}.", first)
        _raise_for_status(answer)
        if len(answer.body) < _ENDS.size:
            raise errors.LogUnavailable("The log gave a short answer.")
        end, _ = _ENDS.unpack_from(answer.body)
        records, after = _unpack(answer.body, offset)
        return keyed_log.ReadBatch(after, end, tuple(records))

    async def read_snapshot(self, topic: str) -> keyed_log.ReadBatch:
        """Give the newest record of each key, page by page."""
        records: list[keyed_log.StoredRecord] = []
        query = {"Topic": _PREFIX + topic, "part": "0"}
        end = -1
        while True:
            answer = await self._get("/log-newest", query, CALL_TIMEOUT_S)
            if answer.status == 404:
                return keyed_log.ReadBatch(0, 0, ())
            _raise_for_status(answer)
            page = _parse_json(answer)
            end = int(page["End"]) if end < 0 else end
            items = page.get("items") or []
            records += [_decode_stored(item) for item in items]
            if not page.get("HasMore") or not items:
                return keyed_log.ReadBatch(end, end, tuple(records))
            query["After"] = items[-1]["Key"]

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> http_client.ClientResponse:
        whole = f"{path}?{parse.urlencode(query)}"
        try:
            return await self._client.call("GET", whole, timeout_s=timeout_s)
        except errors.PlatformFailed as error:
            raise _unavailable(error) from error


def _unavailable(error: errors.PlatformFailed) -> errors.LogUnavailable:
    kind = errors.LogUnavailable if error.sent else errors.LogRefused
    return kind(error.detail)


def _raise_for_status(answer: http_client.ClientResponse) -> None:
    if answer.status != 200:
        raise errors.LogUnavailable(
            f"The log answers {answer.status}: {answer.body[:100]!r}."
        )


def _parse_json(answer: http_client.ClientResponse) -> dict[str, Any]:
    """Read a JSON answer; an unreadable one counts as empty.

    :raises errors.LogUnavailable: if a success can't be read.
    """
    try:
        document = json.loads(answer.body)
    except ValueError as error:
        if answer.status == 200:
            raise errors.LogUnavailable("The log sent no JSON.") from error
        return {}
    return document if isinstance(document, dict) else {}


def _pack(record: keyed_log.KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return _LENGTH.pack(len(content)) + content


def _unpack(
    body: bytes, offset: int
) -> tuple[list[keyed_log.StoredRecord], int]:
    """Split the records of a read; what can't be read is left out."""
    records = []
    place = _ENDS.size
    while place + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, place)
        content = body[place + _LENGTH.size : place + _LENGTH.size + length]
        if len(content) < length:
            break
        place += _LENGTH.size + length
        try:
            key_end = 1 + content[0]
            key = content[1:key_end].decode()
            value = content[key_end:] or None
            records.append(keyed_log.StoredRecord(offset, key, value))
        except (IndexError, UnicodeDecodeError) as error:
            text = f"Record {offset} can't be read: {error}"
            logs.warn(logs.Component.LOG, text)
        offset += 1
    return records, offset


def _decode_stored(item: dict[str, Any]) -> keyed_log.StoredRecord:
    value = base64.b64decode(item["Value"])
    return keyed_log.StoredRecord(int(item["Offset"]), item["Key"], value)
