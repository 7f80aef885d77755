"""A stand-in for an executor of the platform, over its wire form.

It registers with the side beside it, starts what it is told, keeps leases,
and lists what ended until that is acknowledged.  A task's payload says how
long it takes.
"""

import json
import time
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever import errors
import trio

_BEAT_S: Final = 0.4
_STEP_S: Final = 0.02
GPUS: Final = 8


class Begun(NamedTuple):
    """One start that was carried out."""

    task: str
    run: int
    at: float


class Truth(NamedTuple):
    """One run that was carried out; ``ended_at`` is 0 while it goes on."""

    id: str
    run: int
    gpus: int
    phase: str
    started_at: float
    ended_at: float


class Noted(NamedTuple):
    """An end that was acknowledged while its lease had not lapsed."""

    task: str
    run: int
    outcome: str
    at: float


class _Run:
    """One running task."""

    def __init__(self, run: int, payload: dict[str, Any]) -> None:
        self.run = run
        self.begun_at = trio.current_time()
        self.started_at = time.time()
        self.seconds = float(payload["seconds"])
        self.fails = bool(payload.get("fails"))
        self.gpus = int(payload.get("gpus", 0))

    @property
    def percent(self) -> int:
        done_s = trio.current_time() - self.begun_at
        return min(100, int(100 * done_s / max(self.seconds, 0.001)))


class WireWorker:
    """One life of an executor.

    :ivar begun: the starts that were carried out, for the test to judge.
    :ivar noted: the ends that were acknowledged.
    :ivar draining: whether it announces that it leaves.
    :ivar fails_all: whether every task fails soon after its start.
    """

    def __init__(
        self,
        life: str,
        pool: str,
        rack: str,
        side: str,
        data_centre: str = "hall",
    ) -> None:
        """Start with nothing running.

        :param side: address where it registers.
        """
        self.life = life
        self.begun: list[Begun] = []
        self.noted: list[Noted] = []
        self.draining = False
        self.fails_all = False
        self._data_centre = data_centre
        self._past: list[Truth] = []
        self._pool = pool
        self._rack = rack
        self._side = side
        self._sequence = 0
        self._fence = 0
        self._until_ms = 0
        self._running: dict[str, _Run] = {}
        self._ended: list[list[Any]] = []
        self._closed: dict[str, int] = {}
        self._number = 0
        self._lapsed_upto = 0
        self._lives = 0
        self._changed = trio.Event()

    @property
    def running(self) -> set[str]:
        """Names of the tasks that run now."""
        return set(self._running)

    async def run(self) -> None:
        """Register, and let tasks end, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._beat)
            while True:
                await trio.sleep(_STEP_S)
                self._advance()

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Answer one HTTP request of the side, or of a test."""
        if request.path == "/truth":
            return http_server.json_response(
                [row._asdict() for row in self.truth()]
            )
        if request.path == "/control":
            wanted = http_server.parse_json(request.body)
            self.fails_all = wanted.get("fails_all", self.fails_all)
            return http_server.json_response({})
        expected = request.headers.get("x-kingcuplever-expect-instance")
        if expected != self.life:
            return self._answer({}, 421)
        body = http_server.parse_json(request.body)
        if body.get("Fence", 0) < self._fence:
            return self._answer({"Reason": "fence"}, 409)
        self._fence = body.get("Fence", 0)
        self._until_ms = max(self._until_ms, body.get("UntilMs", 0))
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            return self._stop(body)
        return await self._hold(body)

    def _start(self, body: dict[str, Any]) -> http_server.HttpResponse:
        task, run = body["Task"], body["Run"]
        if run <= self._closed.get(task, 0):
            return self._answer({"Reason": "old"}, 409)
        if task not in self._running:
            self._running[task] = _Run(run, json.loads(body["Spec"]))
            self.begun.append(Begun(task, run, time.time()))
        return self._answer({})

    def _stop(self, body: dict[str, Any]) -> http_server.HttpResponse:
        task, run = body["Task"], body["Run"]
        if task in self._running and self._running[task].run <= run:
            self._end(task, "stopped")
        self._closed[task] = max(run, self._closed.get(task, 0))
        return self._answer({})

    async def _hold(self, body: dict[str, Any]) -> http_server.HttpResponse:
        acked = body.get("AckedUpto", 0)
        for number, task, run, outcome, _ in self._ended:
            if self._lapsed_upto < number <= acked:
                self.noted.append(Noted(task, run, outcome, time.time()))
        self._ended = [row for row in self._ended if row[0] > acked]
        if not self._ended and body.get("WaitMs"):
            changed = self._changed
            with trio.move_on_after(body["WaitMs"] / 1000):
                await changed.wait()
        running = [
            [task, run.run, "", run.percent, 0]
            for task, run in self._running.items()
        ]
        return self._answer({"Running": running, "Ended": self._ended})

    def _answer(
        self, facts: dict[str, Any], status: int = 200
    ) -> http_server.HttpResponse:
        facts["ClockMs"] = _clock_ms()
        return http_server.json_response(facts, status)

    def crash(self) -> None:
        """Begin another life at the same address; all that ran is gone."""
        for task, run in self._running.items():
            self._past.append(_truth_of(task, run, "crashed", time.time()))
        self._lives += 1
        self.life = f"{self.life.partition('.')[0]}.{self._lives}"
        self._fence = self._until_ms = self._number = self._lapsed_upto = 0
        self._running.clear()
        self._ended.clear()
        self._closed.clear()

    def _advance(self) -> None:
        lapsed = _clock_ms() > self._until_ms
        if lapsed:
            # Nobody takes note of an end whose lease is over.
            self._lapsed_upto = self._number
        for task, run in [*self._running.items()]:
            if lapsed:
                self._end(task, "lapsed")
            elif self.fails_all or run.fails:
                self._end(task, "failed")
            elif run.percent >= 100:
                self._end(task, "done")

    def _end(self, task: str, outcome: str) -> None:
        ended = self._running.pop(task)
        run = ended.run
        self._past.append(_truth_of(task, ended, outcome, time.time()))
        self._closed[task] = run
        self._number += 1
        self._ended.append([self._number, task, run, outcome, ""])
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def truth(self) -> list[Truth]:
        """Give every run that was carried out, the ended ones first."""
        running = [
            _truth_of(task, run, "running", 0.0)
            for task, run in self._running.items()
        ]
        return [*self._past, *running]

    async def _beat(self) -> None:
        async with http_client.HttpClient(self._side, 1.0) as client:
            while True:
                self._sequence += 1
                try:
                    await client.call(
                        "PUT",
                        f"/instances/{self.life}",
                        json.dumps(self._registration()).encode(),
                    )
                except errors.PlatformFailed:
                    # The side is not there; the next beat tries again.
                    await trio.sleep(_STEP_S)
                await trio.sleep(_BEAT_S)

    def _registration(self) -> dict[str, Any]:
        return {
            "Service": self._pool,
            "Address": "127.0.0.1:0",
            "Zone": self._data_centre,
            "Version": "v1",
            "Slots": 8,
            "State": "draining" if self.draining else "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": 128_000, "MemMb": 262_144, "Gpu": GPUS},
            "Labels": ["a", self._rack],
            "ClockMs": _clock_ms(),
            "Seq": self._sequence,
        }


def _truth_of(task: str, run: _Run, phase: str, ended_at: float) -> Truth:
    return Truth(task, run.run, run.gpus, phase, run.started_at, ended_at)


def _clock_ms() -> int:
    return int(trio.current_time() * 1000)
