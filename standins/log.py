"""A stand-in for the platform's log service, with outages on demand."""

from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import http_server
from kingcuplever import errors
import trio

_SWALLOW_S: Final = 30.0


class _Kept(NamedTuple):
    offset: int
    data: str


class _Stream:
    """One stream; ``first`` is the oldest offset still kept."""

    def __init__(self) -> None:
        self.records: list[_Kept] = []
        self.first = 0
        self.grown = trio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class LogStandin:
    """Streams in memory.

    :ivar mode: ``up``, ``down``, ``slow`` or ``swallow``: an append takes
        effect but its answer is lost.
    :ivar keep: records kept in each stream; 0 keeps all.
    :ivar appends: appends taken so far.
    """

    def __init__(self) -> None:
        """Start empty and up."""
        self.mode = "up"
        self.delay_s = 0.0
        self.keep = 0
        self.swallow_next = 0
        self.appends = 0
        self._streams: dict[str, _Stream] = {}

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Answer one HTTP request."""
        if request.path == "/control":
            return self._control(http_server.parse_json(request.body))
        if request.path == "/truth":
            return self._truth()
        parts = request.path.strip("/").split("/")
        if len(parts) != 3 or parts[0] != "streams":
            raise errors.KingcupleverError("?", errors.Code.NOT_FOUND)
        if self.mode == "down":
            raise errors.LogUnavailable("The log is down.")
        if self.mode == "slow":
            await trio.sleep(self.delay_s)
        stream = self._streams.setdefault(parts[1], _Stream())
        if request.method == "POST":
            return await self._append(stream, request)
        return await self._read(stream, request)

    def _control(self, wanted: dict[str, Any]) -> http_server.HttpResponse:
        self.mode = wanted.get("mode", self.mode)
        self.delay_s = wanted.get("delay_s", self.delay_s)
        self.keep = wanted.get("keep", self.keep)
        self.swallow_next = wanted.get("swallow_next", self.swallow_next)
        return http_server.json_response({"mode": self.mode})

    def _truth(self) -> http_server.HttpResponse:
        return http_server.json_response(
            {
                "appends": self.appends,
                "streams": {
                    name: {
                        "first": stream.first,
                        "records": [kept.data for kept in stream.records],
                    }
                    for name, stream in self._streams.items()
                },
            }
        )

    async def _append(
        self, stream: _Stream, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        wanted = http_server.parse_json(request.body)["records"]
        offset = stream.end
        for number, data in enumerate(wanted):
            stream.records.append(_Kept(offset + number, data))
        self.appends += 1
        if self.keep and len(stream.records) > self.keep:
            gone = len(stream.records) - self.keep
            del stream.records[:gone]
            stream.first += gone
        grown = stream.grown
        stream.grown = trio.Event()
        grown.set()
        if self.mode == "swallow" or self.swallow_next > 0:
            self.swallow_next = max(0, self.swallow_next - 1)
            await trio.sleep(_SWALLOW_S)
        return http_server.json_response({"offset": offset})

    async def _read(
        self, stream: _Stream, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        offset = int(request.query.get("from", "0"))
        most = int(request.query.get("most", "100"))
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if offset >= stream.end and wait_s:
            grown = stream.grown
            with trio.move_on_after(wait_s):
                await grown.wait()
        if self.mode == "down":
            raise errors.LogUnavailable("The log is down.")
        start = max(0, offset - stream.first)
        rows = stream.records[start : start + most]
        return http_server.json_response(
            {
                "first": stream.first,
                "end": stream.end,
                "records": [row._asdict() for row in rows],
            }
        )
