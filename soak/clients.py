"""Callers that hand jobs in, ask for them and cancel some.

They believe only what they are told: a job is accepted by a 2xx, refused by
429 or 503, and open after anything else, when the same is sent again, to any
entry.
"""

import json
import random
import time
from typing import Any
from typing import Final

import httpcore
import trio

from standins import wire_site

# Accelerators of each task; two tasks fill a worker.
GPUS: Final = 4
_TRIES: Final = 6
_TIMEOUT_S: Final = 4.0
_RETRY_S: Final = 0.4
_POLL_S: Final = 0.5
_REFUSED: Final = frozenset((429, 503))


class Told:
    """What one caller was told of its job.

    :ivar accepted_at: time of the first 2xx, or 0.
    :ivar only_refused: whether every try was answered by a refusal.
    :ivar cancelled_at: time when its cancelling was acknowledged, or 0.
    :ivar states: states that were shown, with the time.
    """

    def __init__(self, job: str, body: dict[str, Any]) -> None:
        """Know a job that was not sent yet."""
        self.job = job
        self.body = body
        self.accepted_at = 0.0
        self.only_refused = True
        self.wants_cancel = False
        self.cancelled_at = 0.0
        self.cancel_sent_at = 0.0
        self.states: list[tuple[float, str]] = []

    @property
    def state(self) -> str:
        """The newest state that was shown."""
        return self.states[-1][1] if self.states else ""


class Callers:
    """All callers of one run."""

    def __init__(self, site: wire_site.Site, seed: int) -> None:
        """Prepare; nothing is sent yet."""
        self.told: list[Told] = []
        self._addresses = [
            site.get_caller_address(name) for name in site.entries
        ]
        self._rng = random.Random(seed + 1)
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)

    async def run(self, seconds: float) -> None:
        """Hand jobs in for some time; each caller follows its own job."""
        async with self._pool, trio.open_nursery() as nursery:
            until = trio.current_time() + seconds
            while trio.current_time() < until:
                told = self._make()
                self.told.append(told)
                nursery.start_soon(self._live, told)
                await trio.sleep(self._rng.expovariate(2.0))

    async def settle(self, seconds: float) -> None:
        """Ask for all accepted jobs until they are over, or time is up."""
        async with self._pool:
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as nursery:
                    for told in self.told:
                        if told.accepted_at:
                            nursery.start_soon(self._follow, told)

    def _make(self) -> Told:
        rng = self._rng
        job = f"{rng.getrandbits(64):016x}"
        count = rng.choice((1, 1, 2, 4))
        gang = count > 1 and rng.random() < 0.4
        body = wire_site.make_job(
            rng.uniform(0.2, 2.5), count, Gang=gang, Gpu=GPUS
        )
        body["Spec"] = json.dumps(json.loads(body["Spec"]) | {"gpus": GPUS})
        told = Told(job, body)
        told.wants_cancel = rng.random() < 0.15
        return told

    async def _live(self, told: Told) -> None:
        for _ in range(_TRIES):
            if await self._submit(told):
                break
            await trio.sleep(_RETRY_S)
        if told.accepted_at and told.wants_cancel:
            await trio.sleep(0.5)
            await self._cancel(told)

    async def _submit(self, told: Told) -> bool:
        status, _ = await self._call("POST", told.job, told.body)
        if status == 200:
            told.accepted_at = told.accepted_at or time.time()
        if status not in _REFUSED:
            told.only_refused = False
        return status == 200

    async def _cancel(self, told: Told) -> None:
        for _ in range(_TRIES):
            told.cancel_sent_at = told.cancel_sent_at or time.time()
            status, _ = await self._call("DELETE", told.job)
            if status in (200, 410):
                told.cancelled_at = time.time()
                return
            await trio.sleep(_RETRY_S)

    async def _follow(self, told: Told) -> None:
        while told.state not in ("completed", "failed", "cancelled"):
            status, answer = await self._call("GET", told.job)
            if status == 200:
                told.states.append((time.time(), answer["State"]))
            elif status == 410:
                told.states.append((time.time(), "gone"))
            await trio.sleep(_POLL_S)

    async def _call(
        self, method: str, job: str, body: Any = None
    ) -> tuple[int, Any]:
        """Make one call at some entry; status 0 if there was no answer."""
        address = self._rng.choice(self._addresses)
        data = b"" if body is None else json.dumps(body).encode()
        headers = [
            ("Host", wire_site.HOST),
            ("Content-Length", str(len(data))),
            ("X-Api-Key", wire_site.API_KEY),
            ("X-Kingcuplever-Deadline-Ms", "3000"),
        ]
        try:
            with trio.fail_after(_TIMEOUT_S):
                answer = await self._pool.request(
                    method,
                    f"http://{address}{wire_site.PREFIX}{job}",
                    headers=headers,
                    content=data,
                )
                return answer.status, json.loads(answer.content or b"null")
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
            ValueError,
        ):
            return 0, None
