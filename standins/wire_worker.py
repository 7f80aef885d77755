"""A stand-in for an executor of the platform, over its wire format.

It registers with the side beside it, starts and stops tasks on request, ends
them when their lease lapses, and lists ended runs until these are
acknowledged.  A task's payload gives its duration; ``lasts`` there means that
it runs until it is stopped, and ``advised`` that it needs a ticket.
"""

import functools
import json
import time
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever import errors
from standins import controls
from standins import gang_runs
from standins import wire_adviser
import trio

_REGISTRATION_PERIOD_S: Final = 0.4
_TICK_S: Final = 0.02
GPUS: Final = 8
# Ends that a list returns at a time.
_MAX_LISTED_ENDS: Final = 500


def make_payload(seconds: float, tasks: int = 1, gpus: int = 0) -> str:
    """Make the payload of the tasks of a step.

    :param seconds: duration of each task.
    :param tasks: number of tasks; several are a gang, and learn their number
        from the payload.
    :param gpus: accelerators of each task, for the records of its runs.
    """
    payload: dict[str, float] = {"seconds": seconds, "gpus": gpus}
    if tasks > 1:
        payload["gang"] = tasks
    return json.dumps(payload)


class TaskStart(NamedTuple):
    """One start of a task that was carried out."""

    task: str
    run: int
    at: float


class TaskRun(NamedTuple):
    """One run of a task; ``ended_at`` is 0 while it is running."""

    id: str
    run: int
    gpus: int
    phase: str
    started_at: float
    ended_at: float


class AcknowledgedEnd(NamedTuple):
    """End of a run that was acknowledged before its lease lapsed."""

    task: str
    run: int
    outcome: str
    at: float


class Renewal(NamedTuple):
    """One call that extended the lease, on the worker's clock.

    :ivar previous_end_ms: where the lease ended until then.
    """

    at_ms: int
    previous_end_ms: int

    @property
    def late_ms(self) -> int:
        """How long the lease had lapsed; 0 if the call came in time."""
        return max(0, self.at_ms - self.previous_end_ms)


class _RunningTask:
    """One running task.

    :ivar gang_size: number of its gang's members; 0 without a gang.
    :ivar began_at: monotonic time when its work began; absent while it waits
        for the other members.
    """

    def __init__(self, run: int, payload: dict[str, Any]) -> None:
        self.run = run
        self.started_monotonic = trio.current_time()
        self.started_at = time.time()
        self.gang_size = int(payload.get("gang", 0))
        self.began_at: float | None = None
        if not self.gang_size:
            self.begin()
        self.seconds = float(payload["seconds"])
        self.fails = bool(payload.get("fails"))
        self.lasts = bool(payload.get("lasts"))
        self.gpus = int(payload.get("gpus", 0))

    @property
    def is_alone(self) -> bool:
        """Whether it has waited too long for the other members."""
        waited_s = trio.current_time() - self.started_monotonic
        return self.began_at is None and waited_s > gang_runs.ALONE_S

    def begin(self) -> None:
        """Begin the work."""
        self.began_at = trio.current_time()

    @property
    def percent(self) -> int:
        if self.began_at is None:
            return 0
        done_s = trio.current_time() - self.began_at
        return min(100, int(100 * done_s / max(self.seconds, 0.001)))


class WireWorker:
    """One executor, in its current incarnation.

    :ivar starts: the starts that were carried out.
    :ivar renewals: the calls that extended the lease, oldest first.
    :ivar acknowledged_ends: the ends that were acknowledged in time.
    :ivar crashes: how many incarnations it has ended.
    :ivar lists: how many lists its current incarnation has answered.
    :ivar draining: whether it registers as draining.
    :ivar fails_all: whether every task fails soon after its start.
    :ivar clock_offset_ms: how far its time of day is ahead.
    :ivar start_delay_s: how long it takes to carry out a start.
    """

    def __init__(
        self,
        incarnation: str,
        pool: str,
        rack: str,
        side_address: str,
        data_centre: str = "hall",
        states_birth: bool = False,
        gangs: gang_runs.GangRuns | None = None,
    ) -> None:
        """Start with nothing running.

        :param side_address: address of the side where it registers.
        :param states_birth: whether its registrations and lists name the
            time of its start.
        :param gangs: the gang runs of all workers; absent if there are no
            others.
        """
        self.incarnation = incarnation
        self._gangs = gangs or gang_runs.GangRuns()
        self.clock_offset_ms = 0
        self.start_delay_s = 0.0
        self._states_birth = states_birth
        self.starts: list[TaskStart] = []
        self.renewals: list[Renewal] = []
        self.acknowledged_ends: list[AcknowledgedEnd] = []
        self.lists = 0
        self.draining = False
        self.fails_all = False
        self._data_centre = data_centre
        self._ended_runs: list[TaskRun] = []
        self._pool = pool
        self._rack = rack
        self._side_address = side_address
        self._sequence = 0
        self._fence = 0
        self._lease_end_ms = 0
        self._running: dict[str, _RunningTask] = {}
        self._unacknowledged_ends: list[list[Any]] = []
        self._closed_runs: dict[str, int] = {}
        self._end_number = 0
        self._lapsed_upto = 0
        self.crashes = 0
        self._changed = trio.Event()
        self._started_at = 0.0
        self._born_ms = self._read_time_of_day_ms()

    @property
    def running(self) -> set[str]:
        """Names of the running tasks."""
        return set(self._running)

    async def run(self) -> None:
        """Send registrations and end due tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_registrations)
            while True:
                await trio.sleep(_TICK_S)
                self._end_due_tasks()

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Answer one HTTP request of the side or of a test."""
        if request.path == "/truth":
            return http_server.json_response(
                [row._asdict() for row in self.list_runs()]
            )
        if request.path == "/control":
            changes = http_server.parse_json(request.body)
            controls.check_names(changes, "fails_all", "start_delay_s")
            self.fails_all = changes.get("fails_all", self.fails_all)
            self.start_delay_s = changes.get(
                "start_delay_s", self.start_delay_s
            )
            return http_server.json_response({})
        if request.path == "/run-start":
            await trio.sleep(self.start_delay_s)
        expected = request.headers.get("x-kingcuplever-expect-instance")
        if expected != self.incarnation:
            return self._make_response({}, 421)
        body = http_server.parse_json(request.body)
        if body.get("Fence", 0) < self._fence:
            return self._make_response({"Reason": "fence"}, 409)
        self._fence = body.get("Fence", 0)
        # What the lease had lapsed for is over before it is extended.
        self._end_due_tasks()
        self._extend_lease(body.get("UntilMs", 0))
        if request.path == "/run-start":
            return self._start_task(body)
        if request.path == "/run-stop":
            return self._stop_task(body)
        return await self._renew_and_list(body)

    def _extend_lease(self, end_ms: int) -> None:
        if end_ms > self._lease_end_ms:
            renewal = Renewal(self._read_clock_ms(), self._lease_end_ms)
            self.renewals.append(renewal)
            self._lease_end_ms = end_ms

    def _start_task(self, body: dict[str, Any]) -> http_server.HttpResponse:
        task, run = body["Task"], body["Run"]
        if run <= self._closed_runs.get(task, 0):
            return self._make_response({"Reason": "old"}, 409)
        payload = json.loads(body["Spec"])
        if payload.get("advised") and not wire_adviser.is_valid_ticket(
            body.get("Ticket", ""), task.rpartition(".")[0], self.incarnation
        ):
            return self._make_response({"Reason": "ticket"}, 409)
        if task not in self._running:
            started = _RunningTask(run, payload)
            self._running[task] = started
            self.starts.append(TaskStart(task, run, time.time()))
            if started.gang_size:
                member = gang_runs.Member(
                    started.begin,
                    functools.partial(self._end_member, task, started),
                )
                self._gangs.join(task, run, started.gang_size, member)
        return self._make_response({})

    def _end_member(
        self, task: str, member: _RunningTask, outcome: str
    ) -> None:
        """End a task as another member of its gang has ended."""
        if self._running.get(task) is member:
            self._end_task(task, outcome)

    def _stop_task(self, body: dict[str, Any]) -> http_server.HttpResponse:
        task, run = body["Task"], body["Run"]
        if task in self._running and self._running[task].run <= run:
            self._end_task(task, "stopped")
        self._closed_runs[task] = max(run, self._closed_runs.get(task, 0))
        return self._make_response({})

    async def _renew_and_list(
        self, body: dict[str, Any]
    ) -> http_server.HttpResponse:
        acked = body.get("AckedUpto", 0)
        for number, task, run, outcome, _ in self._unacknowledged_ends:
            if self._lapsed_upto < number <= acked:
                self.acknowledged_ends.append(
                    AcknowledgedEnd(task, run, outcome, time.time())
                )
        self._unacknowledged_ends = [
            row for row in self._unacknowledged_ends if row[0] > acked
        ]
        if not self._unacknowledged_ends and body.get("WaitMs"):
            changed, crashes = self._changed, self.crashes
            with trio.move_on_after(body["WaitMs"] / 1000):
                await changed.wait()
            if crashes != self.crashes:
                return self._make_response({}, 503)
        self.lists += 1
        running = [
            [task, run.run, "", run.percent, 0]
            for task, run in self._running.items()
        ]
        return self._make_response(
            {
                "Running": running,
                "Ended": self._unacknowledged_ends[:_MAX_LISTED_ENDS],
                **self._make_birth(),
            }
        )

    def _make_birth(self) -> dict[str, Any]:
        return {"born": self._born_ms} if self._states_birth else {}

    def _read_clock_ms(self) -> int:
        """Read its steady clock, which starts anew with each incarnation."""
        return int((trio.current_time() - self._started_at) * 1000)

    def _read_time_of_day_ms(self) -> int:
        return int(time.time() * 1000) + self.clock_offset_ms

    def _make_response(
        self, document: dict[str, Any], status: int = 200
    ) -> http_server.HttpResponse:
        document["ClockMs"] = self._read_clock_ms()
        return http_server.json_response(document, status)

    def crash(self, keeps_id: bool = False) -> None:
        """Begin a new incarnation at the same address; drop running tasks.

        :param keeps_id: whether it goes on under the same id.
        """
        crashed, self._running = self._running, {}
        for task, run in crashed.items():
            self._ended_runs.append(
                _make_task_run(task, run, "crashed", time.time())
            )
            self._gangs.leave(task, run.run, "crashed")
        if not keeps_id:
            worker_id = self.incarnation.partition(".")[0]
            self.incarnation = f"{worker_id}.{self.crashes + 1}"
        self._started_at = trio.current_time()
        self._born_ms = self._read_time_of_day_ms()
        self._sequence = self.lists = 0
        self._fence = self._lease_end_ms = self._end_number = (
            self._lapsed_upto
        ) = 0
        self._unacknowledged_ends.clear()
        self._closed_runs.clear()
        self.crashes += 1
        self._signal_change()

    def _end_due_tasks(self) -> None:
        lapsed = self._read_clock_ms() > self._lease_end_ms
        if lapsed:
            # Ends up to here are acknowledged too late: their lease lapsed.
            self._lapsed_upto = self._end_number
        for task, run in [*self._running.items()]:
            if task not in self._running:
                # It has ended with another member of its gang.
                continue
            if lapsed:
                self._end_task(task, "lapsed")
            elif run.is_alone:
                self._end_task(task, "alone")
            elif self.fails_all or run.fails:
                self._end_task(task, "failed")
            elif run.percent >= 100 and not run.lasts:
                self._end_task(task, "done")

    def _end_task(self, task: str, outcome: str) -> None:
        ended = self._running.pop(task)
        run = ended.run
        self._ended_runs.append(
            _make_task_run(task, ended, outcome, time.time())
        )
        self._closed_runs[task] = run
        self._end_number += 1
        self._unacknowledged_ends.append(
            [self._end_number, task, run, outcome, ""]
        )
        self._signal_change()
        if ended.gang_size:
            self._gangs.leave(task, run, outcome)

    def _signal_change(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def list_runs(self) -> list[TaskRun]:
        """Return all task runs, the ended ones first."""
        running = [
            _make_task_run(task, run, "running", 0.0)
            for task, run in self._running.items()
        ]
        return [*self._ended_runs, *running]

    async def _send_registrations(self) -> None:
        async with http_client.HttpClient(self._side_address, 1.0) as client:
            while True:
                self._sequence += 1
                try:
                    await client.call(
                        "PUT",
                        f"/instances/{self.incarnation}",
                        json.dumps(self._make_registration()).encode(),
                    )
                except errors.PlatformFailed:
                    # The side is not running; the next round tries again.
                    await trio.sleep(_TICK_S)
                await trio.sleep(_REGISTRATION_PERIOD_S)

    def _make_registration(self) -> dict[str, Any]:
        return {
            "Service": self._pool,
            "Address": "127.0.0.1:8080",
            "Zone": self._data_centre,
            "Version": "v1",
            "Slots": 8,
            "State": "draining" if self.draining else "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": 128_000, "MemMb": 262_144, "Gpu": GPUS},
            "Labels": ["a", self._rack],
            "ClockMs": self._read_clock_ms(),
            "Seq": self._sequence,
            **self._make_birth(),
        }


def _make_task_run(
    task: str, run: _RunningTask, phase: str, ended_at: float
) -> TaskRun:
    return TaskRun(task, run.run, run.gpus, phase, run.started_at, ended_at)
