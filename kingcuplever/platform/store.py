"""Implements the keyed log on the platform's store service."""

import base64
from collections.abc import Sequence
import struct
from typing import Any
from typing import Final
from urllib import parse

from kingcuplever.connection import http_client
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import lenient_json
from kingcuplever import logs
from kingcuplever import plain

# The store keeps the newest record of each key in topics with this prefix.
_KEYED_PREFIX: Final = "keyed."
# Longer than the responses of a slow store, short enough for several retries
# before a caller's deadline.
CALL_TIMEOUT_S: Final = 0.6
_READ_KB: Final = 1024
_LENGTH: Final = struct.Struct(">I")
# The topic's end offset and its oldest offset.
_READ_HEADER: Final = struct.Struct(">QQ")
# Statuses with which the store states that nothing was appended; by the first
# two, that it never will be.
_REFUSAL_STATUSES: Final = frozenset((400, 413, 429, 503, 507))


class Store:
    """Client of the store; a process has one."""

    def __init__(
        self,
        client: http_client.HttpClient,
        limits: keyed_log.AppendLimits = keyed_log.USUAL_LIMITS,
    ) -> None:
        """Send requests through a client of the store's address."""
        self._client = client
        self._limits = limits
        # A read must have room for the longest record.
        self._read_kb = max(_READ_KB, 2 * limits.record_bytes // 1024)

    @property
    def limits(self) -> keyed_log.AppendLimits:
        """What the store takes."""
        return self._limits

    async def append(
        self,
        topic: str,
        records: Sequence[keyed_log.KeyedRecord],
        stamp: keyed_log.ProducerStamp,
        expected_end: int | None = None,
    ) -> int:
        """Append all records or none; return the offset after the last."""
        query = {
            "Topic": _KEYED_PREFIX + topic,
            "part": "0",
            "Producer": stamp.producer,
            "epoch": str(stamp.epoch),
            "Seq": str(stamp.sequence),
        }
        if expected_end is not None:
            query["At"] = str(expected_end)
        body = b"".join(_encode_record(record) for record in records)
        path = f"/log-append?{parse.urlencode(query)}"
        try:
            response = await self._client.call(
                "POST", path, body, timeout_s=CALL_TIMEOUT_S
            )
        except errors.PlatformFailed as error:
            raise _convert_error(error) from error
        document = _parse_json(response)
        if response.status == 200:
            return _get_offset(document, "Offset") + len(records)
        if response.status == 412:
            end = _get_offset(document, "End")
            raise errors.LogConflict(
                f"Topic {topic} ends at offset {end}, not at {expected_end}.",
                end,
            )
        if response.status == 409:
            raise errors.LogFenced(
                f"Append to {topic} as {stamp} was rejected:"
                f" {response.body[:100]!r}."
            )
        if response.status in _REFUSAL_STATUSES:
            raise errors.LogRefused(f"The log answers {response.status}.")
        raise errors.LogUnavailable(
            f"The log answers {response.status}: {response.body[:100]!r}."
        )

    async def read(
        self, topic: str, offset: int, wait_ms: int
    ) -> keyed_log.ReadBatch:
        """Read from an offset, waiting up to ``wait_ms`` for a record."""
        query = {
            "Topic": _KEYED_PREFIX + topic,
            "part": "0",
            "From": str(offset),
            "MaxKb": str(self._read_kb),
        }
        if wait_ms:
            query["WaitMs"] = str(wait_ms)
        response = await self._get(
            "/log-read", query, wait_ms / 1000 + CALL_TIMEOUT_S
        )
        if response.status == 410:
            first = _get_offset(_parse_json(response), "First")
            raise errors.LogGone(
                f"Topic {topic} begins at offset {first}.", first
            )
        _raise_for_status(response)
        if len(response.body) < _READ_HEADER.size:
            raise errors.LogUnavailable("The log's response is too short.")
        end, _ = _READ_HEADER.unpack_from(response.body)
        records, next_offset = _decode_records(response.body, offset)
        return keyed_log.ReadBatch(next_offset, end, tuple(records))

    async def read_snapshot(self, topic: str) -> keyed_log.ReadBatch:
        """Return the newest record of each key, read page by page."""
        records: list[keyed_log.StoredRecord] = []
        query = {"Topic": _KEYED_PREFIX + topic, "part": "0"}
        end = -1
        while True:
            response = await self._get("/log-newest", query, CALL_TIMEOUT_S)
            if response.status == 404:
                return keyed_log.ReadBatch(0, 0, ())
            _raise_for_status(response)
            page = _parse_json(response)
            end = _get_offset(page, "End") if end < 0 else end
            stored = _decode_page(page)
            records += stored
            if not page.get("HasMore"):
                return keyed_log.ReadBatch(end, end, tuple(records))
            if not stored:
                raise errors.LogUnavailable("A snapshot's page has no rows.")
            query["After"] = stored[-1].key

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> http_client.ClientResponse:
        full_path = f"{path}?{parse.urlencode(query)}"
        try:
            return await self._client.call(
                "GET", full_path, timeout_s=timeout_s
            )
        except errors.PlatformFailed as error:
            raise _convert_error(error) from error


def _convert_error(error: errors.PlatformFailed) -> errors.LogUnavailable:
    """Convert a client error; a request that was not sent had no effect."""
    error_class = errors.LogUnavailable if error.sent else errors.LogRefused
    return error_class(error.detail)


def _raise_for_status(response: http_client.ClientResponse) -> None:
    if response.status != 200:
        raise errors.LogUnavailable(
            f"The log answers {response.status}: {response.body[:100]!r}."
        )


def _parse_json(response: http_client.ClientResponse) -> dict[str, Any]:
    """Parse a response body; one that is no JSON object counts as empty.

    :raises errors.LogUnavailable: if a successful response is not JSON.
    """
    try:
        document = lenient_json.parse(response.body)
    except ValueError as error:
        if response.status == 200:
            raise errors.LogUnavailable(
                "The log's response is not JSON."
            ) from error
        return {}
    return document if isinstance(document, dict) else {}


def _get_offset(document: dict[str, Any], name: str) -> int:
    """Return an offset.

    :raises errors.LogUnavailable: if it is missing or no offset.
    """
    value = document.get(name)
    if type(value) is not int or value < 0:
        raise errors.LogUnavailable(
            f"The log's response has {value!r:.40} as {name}."
        )
    return value


def _encode_record(record: keyed_log.KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return _LENGTH.pack(len(content)) + content


def _decode_records(
    body: bytes, offset: int
) -> tuple[list[keyed_log.StoredRecord], int]:
    """Decode the records of a read and skip those that can't be decoded.

    :return: the records, and the offset after the last complete one.
    """
    records = []
    skipped = 0
    start = _READ_HEADER.size
    while start + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, start)
        content = body[start + _LENGTH.size : start + _LENGTH.size + length]
        if len(content) < length:
            break
        start += _LENGTH.size + length
        try:
            key_end = 1 + content[0]
            key = content[1:key_end].decode()
            value = content[key_end:] or None
            records.append(keyed_log.StoredRecord(offset, key, value))
        except (IndexError, UnicodeDecodeError):
            skipped += 1
        offset += 1
    if skipped:
        # One line for all: a line costs more than what it is about.
        text = f"{skipped} records before offset {offset} are skipped."
        logs.warn(logs.Component.LOG, text)
    return records, offset


def _decode_page(page: dict[str, Any]) -> list[keyed_log.StoredRecord]:
    """Decode one page of a snapshot.

    A row without a key is skipped, as a read skips such a record.

    :raises errors.LogUnavailable: if another row can't be decoded; without
        it, the snapshot would lack a key.
    """
    try:
        return [
            keyed_log.StoredRecord(
                _get_offset(item, "Offset"),
                item["Key"],
                base64.b64decode(item["Value"]),
            )
            for item in page.get("items") or ()
            if isinstance(item, dict) and isinstance(item.get("Key"), str)
        ]
    except plain.CONVERSION_ERRORS as error:
        raise errors.LogUnavailable(
            f"A page of a snapshot can't be decoded ({error!r})."
        ) from error
