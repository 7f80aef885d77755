"""Callers that submit jobs, poll their state and cancel some of them.

A job counts as accepted after a response with status 200.  After any other
result the same request is sent again, to a random entry; 429 and 503 refuse
the job, and any other result leaves its acceptance unknown.
"""

import json
import random
import time
from typing import Any
from typing import Final

import httpcore
import trio

from standins import wire_site
from standins import wire_worker

# Two tasks fill a worker.
GPUS_PER_TASK: Final = 4
# Share of jobs with many small tasks and the longest payload that the pages
# allow; several of them exceed a list of ends, or a frame of orders.
_WIDE_SHARE: Final = 0.08
_WIDE_TASKS: Final = 200
_WIDE_PAYLOAD_BYTES: Final = 4000
# Share of urgent jobs that come without a key; most need no accelerators, the
# others whole workers.
_ALERT_SHARE: Final = 0.15
# Shares of timed jobs, whose first occurrence may run on one worker only, of
# jobs that last, and of graphs of steps.
_TIMED_SHARE: Final = 0.2
_LASTING_SHARE: Final = 0.12
_GRAPH_SHARE: Final = 0.12
_TIMES: Final = 3
_MAX_ATTEMPTS: Final = 6
_CALL_TIMEOUT_S: Final = 4.0
_RETRY_INTERVAL_S: Final = 0.4
_POLL_INTERVAL_S: Final = 0.5
_REFUSAL_STATUSES: Final = frozenset((429, 503))


class TrackedJob:
    """A caller's job and the responses that it received about it.

    Times are Unix times in seconds.

    :ivar body: JSON body of the submission.
    :ivar prefix: path of its queue.
    :ivar key: the caller's key, or empty.
    :ivar accepted_at: time of the first response with status 200, or 0.
    :ivar only_refused: whether every attempt to submit it was refused.
    :ivar wants_cancel: whether the caller cancels it once it is accepted.
    :ivar cancel_after_s: how long after its acceptance.
    :ivar cancel_acknowledged_at: time of the response that acknowledged the
        cancellation, or 0.
    :ivar cancel_sent_at: time of the first attempt to cancel it, or 0.
    :ivar observed_states: time and state of each successful poll; ``gone``
        stands for a response with status 410.
    """

    def __init__(self, name: str, body: dict[str, Any]) -> None:
        """Start without any response."""
        self.name = name
        self.body = body
        self.prefix = wire_site.PREFIX
        self.key = wire_site.API_KEY
        self.accepted_at = 0.0
        self.only_refused = True
        self.wants_cancel = False
        self.cancel_after_s = 0.5
        self.cancel_acknowledged_at = 0.0
        self.cancel_sent_at = 0.0
        self.observed_states: list[tuple[float, str]] = []

    @property
    def state(self) -> str:
        """The last observed state, or an empty string."""
        return self.observed_states[-1][1] if self.observed_states else ""

    @property
    def lasts(self) -> bool:
        """Whether its tasks run until it is cancelled."""
        return bool(self.body["Steps"][0].get("LongRunning"))

    @property
    def occurrences(self) -> int:
        """How often its steps run."""
        return max(1, int(self.body.get("Times", 0)))


class Callers:
    """All callers of one soak run.

    :ivar jobs: the jobs of all callers, in the order of their creation.
    """

    def __init__(self, site: wire_site.Site, seed: int) -> None:
        """Prepare callers of all entries of a site."""
        self.jobs: list[TrackedJob] = []
        self._addresses = [
            site.get_caller_address(name) for name in site.entries
        ]
        self._rng = random.Random(seed + 1)
        # A stream of its own, so that the other jobs of a seed stay the same.
        self._wide_rng = random.Random(seed + 2)
        self._alert_rng = random.Random(seed + 3)
        self._kinds_rng = random.Random(seed + 4)
        # Number of the worker where occurrence 0 of a timed job may run.
        self._first_workers: dict[str, int] = {}
        site.adviser.is_allowed = self._is_allowed
        self._workers = len(site.workers)
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)

    async def run(self, seconds: float) -> None:
        """Start callers at random intervals and wait until all are done.

        :param seconds: time in which callers start.
        """
        async with self._pool, trio.open_nursery() as nursery:
            deadline = trio.current_time() + seconds
            while trio.current_time() < deadline:
                jobs = [self._make_job()]
                if self._wide_rng.random() < _WIDE_SHARE:
                    jobs.append(self._make_wide_job())
                if self._alert_rng.random() < _ALERT_SHARE:
                    jobs.append(self._make_alert())
                jobs += self._make_other_kinds()
                for job in jobs:
                    self.jobs.append(job)
                    nursery.start_soon(self._run_caller, job)
                await trio.sleep(self._rng.expovariate(2.0))

    async def wait_for_jobs(self, seconds: float) -> None:
        """Poll all accepted jobs until they have ended or time is up.

        Those that last end only if they are cancelled.
        """
        async with self._pool:
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as nursery:
                    for job in self.jobs:
                        ends = job.cancel_sent_at or not job.lasts
                        if job.accepted_at and ends:
                            nursery.start_soon(self._poll_state, job)

    def _make_job(self) -> TrackedJob:
        rng = self._rng
        name = f"{rng.getrandbits(64):016x}"
        count = rng.choice((1, 1, 2, 4))
        gang = count > 1 and rng.random() < 0.4
        body = wire_site.make_job(
            rng.uniform(0.2, 2.5), count, Gang=gang, Gpu=GPUS_PER_TASK
        )
        body["Spec"] = json.dumps(
            json.loads(body["Spec"]) | {"gpus": GPUS_PER_TASK}
        )
        job = TrackedJob(name, body)
        job.wants_cancel = rng.random() < 0.15
        return job

    def _make_wide_job(self) -> TrackedJob:
        rng = self._wide_rng
        body = wire_site.make_job(
            rng.uniform(0.2, 2.5), _WIDE_TASKS, Cpu=100, MemMb=64, Gpu=0
        )
        payload = json.loads(body["Spec"]) | {"text": ""}
        length = len(json.dumps(payload))
        payload["text"] = "x" * (_WIDE_PAYLOAD_BYTES - length)
        body["Spec"] = json.dumps(payload)
        return TrackedJob(f"{rng.getrandbits(64):016x}", body)

    def _make_alert(self) -> TrackedJob:
        rng = self._alert_rng
        gpus = rng.choice((0, 0, 0, wire_worker.GPUS))
        body = wire_site.make_job(
            rng.uniform(0.2, 2.5), Cpu=500, MemMb=256, Gpu=gpus
        )
        payload = json.loads(body["Spec"]) | {"gpus": gpus}
        body["Spec"] = json.dumps(payload)
        job = TrackedJob(f"{rng.getrandbits(64):016x}", body)
        job.prefix, job.key = wire_site.ALERTS_PREFIX, ""
        return job

    def _make_other_kinds(self) -> list[TrackedJob]:
        """Make jobs that are timed, last, or have steps in order."""
        rng = self._kinds_rng
        jobs = []
        if rng.random() < _TIMED_SHARE:
            jobs.append(self._make_timed_job())
        if rng.random() < _LASTING_SHARE:
            job = self._make_small_job(rng.randint(1, 3), lasts=True)
            job.body["Steps"][0] |= {"LongRunning": True}
            job.wants_cancel = rng.random() < 0.5
            job.cancel_after_s = rng.uniform(1.0, 6.0)
            jobs.append(job)
        if rng.random() < _GRAPH_SHARE:
            job = self._make_small_job(rng.randint(1, 3))
            (step,) = job.body["Steps"]
            after = rng.choice(([[], [0], [0, 1]], [[], [0], [0], [1, 2]]))
            job.body["Steps"] = [step | {"After": row} for row in after]
            jobs.append(job)
        return jobs

    def _make_timed_job(self) -> TrackedJob:
        rng = self._kinds_rng
        gpus = rng.choice((GPUS_PER_TASK, wire_worker.GPUS))
        body = wire_site.make_job(rng.uniform(0.5, 2.5), Gpu=gpus)
        payload = json.loads(body["Spec"]) | {"gpus": gpus, "advised": True}
        body |= {
            "Spec": json.dumps(payload),
            "Times": _TIMES,
            "FirstMs": int(time.time() * 1000) + 500,
            "PeriodMs": rng.randint(300, 1500),
        }
        job = TrackedJob(f"{rng.getrandbits(64):016x}", body)
        job.prefix = wire_site.ADVISED_PREFIX
        self._first_workers[job.name] = rng.randrange(self._workers)
        return job

    def _make_small_job(self, count: int, **payload: Any) -> TrackedJob:
        """Make a job of one step of small tasks.

        :param payload: added to what the tasks are told.
        """
        rng = self._kinds_rng
        body = wire_site.make_job(
            rng.uniform(0.2, 1.0), count, Cpu=500, MemMb=64, Gpu=0
        )
        payload = json.loads(body["Spec"]) | {"gpus": 0} | payload
        body["Spec"] = json.dumps(payload)
        return TrackedJob(f"{rng.getrandbits(64):016x}", body)

    def _is_allowed(self, step: str, worker: str) -> bool:
        """Return the adviser's answer; ids of workers are ``i-N`` and so on.

        Later occurrences may run on all workers, so they run first where the
        one of occurrence 0 is busy.
        """
        job, occurrence, _ = step.split(".")
        number = int(worker.partition("-")[2].partition(".")[0])
        first = self._first_workers.get(job, 0)
        return occurrence != "0" or number % self._workers == first

    async def _run_caller(self, job: TrackedJob) -> None:
        for _ in range(_MAX_ATTEMPTS):
            if await self._submit(job):
                break
            await trio.sleep(_RETRY_INTERVAL_S)
        if job.accepted_at and job.wants_cancel:
            await trio.sleep(job.cancel_after_s)
            await self._cancel(job)

    async def _submit(self, job: TrackedJob) -> bool:
        status, _ = await self._call("POST", job, job.body)
        if status == 200:
            job.accepted_at = job.accepted_at or time.time()
        if status not in _REFUSAL_STATUSES:
            job.only_refused = False
        return status == 200

    async def _cancel(self, job: TrackedJob) -> None:
        for _ in range(_MAX_ATTEMPTS):
            job.cancel_sent_at = job.cancel_sent_at or time.time()
            status, _ = await self._call("DELETE", job)
            if status in (200, 410):
                job.cancel_acknowledged_at = time.time()
                return
            await trio.sleep(_RETRY_INTERVAL_S)

    async def _poll_state(self, job: TrackedJob) -> None:
        while job.state not in ("completed", "failed", "cancelled"):
            status, response = await self._call("GET", job)
            if status == 200:
                job.observed_states.append((time.time(), response["State"]))
            elif status == 410:
                job.observed_states.append((time.time(), "gone"))
            await trio.sleep(_POLL_INTERVAL_S)

    async def _call(
        self, method: str, job: TrackedJob, body: Any = None
    ) -> tuple[int, Any]:
        """Send a request to a random entry.

        :returns: status and JSON body of the response; status 0 if there was
            no valid response.
        """
        address = self._rng.choice(self._addresses)
        data = b"" if body is None else json.dumps(body).encode()
        headers = [
            ("Host", wire_site.HOST),
            ("Content-Length", str(len(data))),
            ("X-Api-Key", job.key),
            ("X-Kingcuplever-Deadline-Ms", "3000"),
        ]
        try:
            with trio.fail_after(_CALL_TIMEOUT_S):
                response = await self._pool.request(
                    method,
                    f"http://{address}{job.prefix}{job.name}",
                    headers=headers,
                    content=data,
                )
                return response.status, json.loads(response.content or b"null")
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
            ValueError,
        ):
            return 0, None
