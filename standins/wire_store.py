"""A stand-in for the platform's store: keyed topics over its wire form.

It keeps the newest record of each key and the whole log, numbers the appends
of producers, and can be down, slow, or lose the answer of an append.
"""

import base64
from collections.abc import Callable
import json
import struct
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import http_server
import trio

_SWALLOW_S: Final = 60.0
_LENGTH: Final = struct.Struct(">I")
_ENDS: Final = struct.Struct(">QQ")

Predicate = Callable[[str, list[tuple[str, bytes]]], bool]


class _Append(NamedTuple):
    """The newest append of a producer."""

    epoch: int
    sequence: int
    offset: int
    end: int


class _Topic:
    """One topic with its one partition."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.grown = trio.Event()
        self.producers: dict[str, _Append] = {}

    def add(self, records: list[tuple[str, bytes]]) -> int:
        offset = len(self.records)
        self.records.extend(records)
        grown, self.grown = self.grown, trio.Event()
        grown.set()
        return offset


class WireStore:
    """Topics in memory.

    :ivar down: whether every call is refused.
    :ivar swallow: appends for which it is true take effect, and their
        answers are lost; each match counts once.
    :ivar swallowed: how many answers were lost so far.
    """

    def __init__(self) -> None:
        """Start empty and up."""
        self.down = False
        self.swallow: Predicate | None = None
        self.swallowed = 0
        self._topics: dict[str, _Topic] = {}

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record as the operator does."""
        data = json.dumps(value).encode()
        self._topic(f"keyed.{topic}").add([(key, data)])

    def keys(self, topic: str) -> list[tuple[str, bytes]]:
        """Give all records of a topic so far."""
        return [*self._topic(f"keyed.{topic}").records]

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Answer one HTTP request."""
        if self.down:
            return http_server.json_response({"Error": "try later"}, 503)
        topic = self._topic(request.query["Topic"])
        if request.path == "/log-append":
            return await self._append(topic, request)
        if request.path == "/log-read":
            return await self._read(topic, request)
        return self._newest(topic)

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    async def _append(
        self, topic: _Topic, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        query = request.query
        name = query["Producer"]
        epoch, sequence = int(query["epoch"]), int(query["Seq"])
        last = topic.producers.get(name)
        if last is not None and epoch < last.epoch:
            facts = {"Reason": "fenced", "epoch": last.epoch}
            return http_server.json_response(facts, 409)
        if last is not None and (epoch, sequence) == last[:2]:
            return _appended(last.offset, last.end)
        if last is not None and epoch == last.epoch:
            if sequence != last.sequence + 1:
                facts = {"Reason": "seq", "Seq": last.sequence + 1}
                return http_server.json_response(facts, 409)
        end = len(topic.records)
        if "At" in query and int(query["At"]) != end:
            return http_server.json_response({"End": end}, 412)
        records = _unpack(request.body)
        offset = topic.add(records)
        end = len(topic.records)
        topic.producers[name] = _Append(epoch, sequence, offset, end)
        if self.swallow is not None and self.swallow(name, records):
            self.swallow = None
            self.swallowed += 1
            await trio.sleep(_SWALLOW_S)
        return _appended(offset, end)

    async def _read(
        self, topic: _Topic, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        start = int(request.query["From"])
        wait_s = int(request.query.get("WaitMs", "0")) / 1000
        if start >= len(topic.records) and wait_s:
            grown = topic.grown
            with trio.move_on_after(wait_s):
                await grown.wait()
        body = _ENDS.pack(len(topic.records), 0)
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += _LENGTH.pack(len(content)) + content
        return http_server.HttpResponse(200, (), body)

    def _newest(self, topic: _Topic) -> http_server.HttpResponse:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(topic.records):
            newest[key] = (offset, value)
        items = [
            {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, (offset, value) in newest.items()
            if value
        ]
        end = len(topic.records)
        facts = {"items": items, "HasMore": False, "End": end}
        return http_server.json_response(facts)


def _appended(offset: int, end: int) -> http_server.HttpResponse:
    return http_server.json_response({"Offset": offset, "End": end})


def _unpack(body: bytes) -> list[tuple[str, bytes]]:
    records = []
    place = 0
    while place < len(body):
        (length,) = _LENGTH.unpack_from(body, place)
        place += _LENGTH.size
        content = body[place : place + length]
        place += length
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
    return records
