"""A stand-in for the platform's store: keyed topics over its wire format.

It keeps all records of a topic, fences and deduplicates the appends of
producers, and can be down, be slow, or drop the answer of an append.
"""

import base64
from collections.abc import Callable
import json
import struct
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import http_server
from standins import controls
import trio

# Longest record, and most bytes of the records of one append.
RECORD_BYTES: Final = 262_144
CALL_BYTES: Final = 2_097_152
_DROPPED_ANSWER_S: Final = 60.0
# Longest page of a snapshot, and of a read that asks for no other.
_PAGE_ITEMS: Final = 500
_PAGE_BYTES: Final = 1_000_000
_READ_KB: Final = 1024
_LENGTH_PREFIX: Final = struct.Struct(">I")
_OFFSETS: Final = struct.Struct(">QQ")

AppendPredicate = Callable[[str, list[tuple[str, bytes]]], bool]


class _LastAppend(NamedTuple):
    """The newest append of a producer, to recognise its retry."""

    epoch: int
    sequence: int
    offset: int
    end: int


class _Topic:
    """One topic with its one partition."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.appended = trio.Event()
        self.producers: dict[str, _LastAppend] = {}

    def add(self, records: list[tuple[str, bytes]]) -> int:
        offset = len(self.records)
        self.records.extend(records)
        appended, self.appended = self.appended, trio.Event()
        appended.set()
        return offset


class WireStore:
    """Topics in memory.

    :ivar down: whether every call fails with status 503.
    :ivar rejected_prefix: appends of producers whose names start with it fail
        with status 503; empty for none.
    :ivar drops_answer: selects appends by producer and records.  The next one
        that it selects takes effect, and its answer is dropped; a control
        request can set it for more than one.
    :ivar dropped_answers: count of the answers dropped so far.
    :ivar delay_s: delay of each call, in seconds.
    :ivar retained_records: count of the newest records of a topic that can
        still be read by offset; 0 for all.  Snapshots stay complete.
    """

    def __init__(self) -> None:
        """Start empty and up."""
        self.down = False
        self.rejected_prefix = ""
        self.drops_answer: AppendPredicate | None = None
        self.dropped_answers = 0
        self._drops_left = 1
        self.delay_s = 0.0
        self.retained_records = 0
        self._topics: dict[str, _Topic] = {}

    def write_record(self, topic: str, key: str, value: object) -> None:
        """Write a record without a producer, as the operator does."""
        data = json.dumps(value).encode()
        self._get_topic(f"keyed.{topic}").add([(key, data)])

    def drop_record(self, topic: str, key: str) -> None:
        """Drop the record of a key, as the operator does."""
        self._get_topic(f"keyed.{topic}").add([(key, b"")])

    def list_records(self, topic: str) -> list[tuple[str, bytes]]:
        """Return all records of a topic so far."""
        return [*self._get_topic(f"keyed.{topic}").records]

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Answer one HTTP request."""
        if request.path == "/control":
            return self._apply_control(http_server.parse_json(request.body))
        if request.path == "/truth":
            return self._show_records()
        if self.delay_s:
            await trio.sleep(self.delay_s)
        if self.down:
            return http_server.json_response({"Error": "try later"}, 503)
        topic = self._get_topic(request.query["Topic"])
        if request.path == "/log-append":
            return await self._append(topic, request)
        if request.path == "/log-read":
            return await self._read(topic, request)
        return self._read_snapshot(topic, request.query.get("After", ""))

    def _apply_control(
        self, changes: dict[str, Any]
    ) -> http_server.HttpResponse:
        """Set faults, for a test in another process."""
        controls.check_names(
            changes, "down", "delay_s", "keep", "swallow_next"
        )
        self.down = changes.get("down", self.down)
        self.delay_s = changes.get("delay_s", self.delay_s)
        self.retained_records = changes.get("keep", self.retained_records)
        count = changes.get("swallow_next", 0)
        if count:
            self._drop_next_answers(count)
        return http_server.json_response({"down": self.down})

    def _drop_next_answers(self, count: int) -> None:
        """Drop the answers of the next appends that hold jobs or plans."""
        self._drops_left = count
        self.drops_answer = lambda name, records: any(
            key[:2] in ("p:", "s:", "j:") for key, _ in records
        )

    def _show_records(self) -> http_server.HttpResponse:
        return http_server.json_response(
            {
                name: [[key, len(value)] for key, value in topic.records]
                for name, topic in self._topics.items()
            }
        )

    def _get_topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    async def _append(
        self, topic: _Topic, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        query = request.query
        name = query["Producer"]
        if self.rejected_prefix and name.startswith(self.rejected_prefix):
            return http_server.json_response({"Error": "try later"}, 503)
        epoch, sequence = int(query["epoch"]), int(query["Seq"])
        last = topic.producers.get(name)
        if last is not None and epoch < last.epoch:
            document = {"Reason": "fenced", "epoch": last.epoch}
            return http_server.json_response(document, 409)
        if last is not None and (epoch, sequence) == last[:2]:
            return _make_append_response(last.offset, last.end)
        if last is not None and epoch == last.epoch:
            if sequence != last.sequence + 1:
                document = {"Reason": "seq", "Seq": last.sequence + 1}
                return http_server.json_response(document, 409)
        end = len(topic.records)
        if "At" in query and int(query["At"]) != end:
            return http_server.json_response({"End": end}, 412)
        records = _decode_records(request.body)
        if not _is_within_bounds(records):
            return http_server.json_response({"Error": "too large"}, 413)
        offset = topic.add(records)
        end = len(topic.records)
        topic.producers[name] = _LastAppend(epoch, sequence, offset, end)
        if self.drops_answer is not None and self.drops_answer(name, records):
            self.dropped_answers += 1
            self._drops_left -= 1
            if self._drops_left <= 0:
                self.drops_answer = None
            await trio.sleep(_DROPPED_ANSWER_S)
        return _make_append_response(offset, end)

    async def _read(
        self, topic: _Topic, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        start = int(request.query["From"])
        first = (
            max(0, len(topic.records) - self.retained_records)
            if self.retained_records
            else 0
        )
        if start < first:
            return http_server.json_response({"First": first}, 410)
        wait_s = int(request.query.get("WaitMs", "0")) / 1000
        if start >= len(topic.records) and wait_s:
            appended = topic.appended
            with trio.move_on_after(wait_s):
                await appended.wait()
        most_bytes = int(request.query.get("MaxKb", _READ_KB)) * 1024
        body = _OFFSETS.pack(len(topic.records), first)
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            if len(body) + len(content) > most_bytes:
                break
            body += _LENGTH_PREFIX.pack(len(content)) + content
        return http_server.HttpResponse(200, (), body)

    def _read_snapshot(
        self, topic: _Topic, after: str
    ) -> http_server.HttpResponse:
        """Answer a page of the newest records, in the order of their keys."""
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(topic.records):
            newest[key] = (offset, value)
        items = [
            {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        page = _take_page(items)
        has_more = len(page) < len(items)
        end = len(topic.records)
        document = {"items": page, "HasMore": has_more, "End": end}
        return http_server.json_response(document)


def _take_page(items: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the first items that fit into a page, one at least."""
    page: list[dict[str, Any]] = []
    left_bytes = _PAGE_BYTES
    for item in items[:_PAGE_ITEMS]:
        left_bytes -= len(item["Key"]) + len(item["Value"])
        if page and left_bytes < 0:
            break
        page.append(item)
    return page


def _is_within_bounds(records: list[tuple[str, bytes]]) -> bool:
    """Return whether the store takes records in one append."""
    sizes = [1 + len(key.encode()) + len(value) for key, value in records]
    longest = max(sizes, default=0)
    return longest <= RECORD_BYTES and sum(sizes) <= CALL_BYTES


def _make_append_response(offset: int, end: int) -> http_server.HttpResponse:
    return http_server.json_response({"Offset": offset, "End": end})


def _decode_records(body: bytes) -> list[tuple[str, bytes]]:
    records = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH_PREFIX.unpack_from(body, position)
        position += _LENGTH_PREFIX.size
        content = body[position : position + length]
        position += length
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
    return records
