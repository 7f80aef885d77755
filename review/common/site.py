"""A small deployment of the users' platform on loopback addresses.

The product's programs run as separate processes, with the commands of the
deploy file.  The store, the executors and the clients are stand-ins in this
process.  Every host has a loopback address of its own.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from typing import Any
from typing import Final

import httpcore
import trio

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever import errors
from standins import gang_runs
from standins import wire_store
from standins import wire_worker

ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
SERVICE: Final = "forecast-desk"
HOST: Final = "jobs.example"
PREFIX: Final = "/maps/"
API_KEY: Final = "key-of-the-outlet"
ROUTE: Final = "maps"
# Bounds of phulrenu-kl.
ACK_S: Final = 4.0
CANCEL_S: Final = 3.0
STOP_S: Final = 0.9
FINISH_S: Final = 14.0
CONTACT_S: Final = 3.0
_HOLD_MAX_MS: Final = 10_000
_HEARTBEAT_S: Final = 1.5
# The store's limits, and how long it takes for an answer.
_RECORD_BYTES: Final = 262_144
_CALL_BYTES: Final = 2_097_152
_STORE_ANSWER_S: Final = 0.004
# Ends that an executor returns at a time.
_MAX_LISTED_ENDS: Final = 500
_CLIENT_DEADLINE_S: Final = 3.0
_START_TIMEOUT_S: Final = 30.0
_STOP_TIMEOUT_S: Final = 8.0
_POLL_S: Final = 0.05


class CannotRun(Exception):
    """The case could not be set up; it says nothing about the rule."""


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        """Begin an empty record."""
        self._file = open(path, "w", encoding="utf-8")
        self._began_at = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        elapsed_s = time.monotonic() - self._began_at
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Store(wire_store.WireStore):
    """The platform's store; it also keeps to the limits of an append.

    :ivar is_silent: whether calls get no answer, and have no effect.
    """

    def __init__(self) -> None:
        """Start empty and up."""
        super().__init__()
        self.is_silent = False

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Answer one request; refuse an append that is too large."""
        await trio.sleep(_STORE_ANSWER_S)
        if self.is_silent:
            await trio.sleep_forever()
        if request.path == "/log-append":
            if not _is_within_limits(request.body):
                # Nothing is appended.
                return http_server.json_response({"Error": "too large"}, 413)
        return await super().handle(request)


def _is_within_limits(body: bytes) -> bool:
    """Return whether records fit RecordBytes, and the call CallBytes."""
    total = position = 0
    while position < len(body):
        length = int.from_bytes(body[position : position + 4], "big")
        if length > _RECORD_BYTES:
            return False
        total += length
        position += 4 + length
    return total <= _CALL_BYTES


class Executor(wire_worker.WireWorker):
    """An executor with a kind and a rack, which may crash or leave."""

    def __init__(
        self,
        name: str,
        kind: str,
        rack: str,
        side_address: str,
        address: str,
        gangs: gang_runs.GangRuns,
        record: Record,
    ) -> None:
        """Start with nothing running."""
        super().__init__(name, SERVICE, rack, side_address, gangs=gangs)
        self.name = name
        self.kind = kind
        self.rack = rack
        self.has_left = False
        self.drain_acked_at = 0.0
        self._address = address
        self._record = record
        self._side = side_address
        self._is_up = trio.Event()
        self._listener: trio.CancelScope | None = None
        self._seen = 0

    async def serve(self, nursery: trio.Nursery) -> None:
        """Begin to listen and to register."""
        scope = trio.CancelScope()
        self._listener = scope

        async def listen(
            task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
        ) -> None:
            with scope:
                await http_server.serve(
                    self._address,
                    self.handle,
                    trio.Event(),
                    task_status=task_status,
                )

        await nursery.start(listen)
        self._is_up.set()

    def go_down(self) -> None:
        """Crash: all that runs is gone, and nobody listens."""
        self._record.add(f"{self.name} {self.incarnation} crashes")
        assert self._listener is not None
        self._listener.cancel()
        self._is_up = trio.Event()
        self.crash()

    async def leave(self, drain_s: float) -> None:
        """Drain, then deregister and end."""
        self.draining = True
        self._record.add(f"{self.name} registers as draining")
        while not self.drain_acked_at:
            await trio.sleep(_POLL_S)
        await trio.sleep(drain_s)
        self.has_left = True
        with contextlib.suppress(errors.PlatformFailed):
            async with http_client.HttpClient(self._side, 1.0) as client:
                await client.call("DELETE", f"/instances/{self.incarnation}")
        assert self._listener is not None
        self._listener.cancel()
        self._is_up = trio.Event()
        self._record.add(f"{self.name} has deregistered and ended")

    async def write_runs(self) -> None:
        """Write starts and ends of runs to the record."""
        starts = ends = 0
        while True:
            for start in self.starts[starts:]:
                self._record.add(
                    f"{self.name} starts {start.task} run {start.run}"
                )
            starts = len(self.starts)
            for run in self._ended_runs[ends:]:
                self._record.add(
                    f"{self.name} ends {run.id} run {run.run}: {run.phase}"
                )
            ends = len(self._ended_runs)
            await trio.sleep(_POLL_S / 5)

    async def _renew_and_list(
        self, body: dict[str, Any]
    ) -> http_server.HttpResponse:
        """List the tasks, and the oldest ends, 500 at a time."""
        response = await super()._renew_and_list(body)
        if response.status != 200:
            return response
        document = json.loads(response.body)
        document["Ended"] = document["Ended"][:_MAX_LISTED_ENDS]
        return http_server.json_response(document)

    async def _send_registrations(self) -> None:
        async with http_client.HttpClient(self._side, 1.0) as client:
            while True:
                await self._is_up.wait()
                if self.has_left:
                    return
                self._sequence += 1
                draining = self.draining
                with contextlib.suppress(errors.PlatformFailed):
                    response = await client.call(
                        "PUT",
                        f"/instances/{self.incarnation}",
                        json.dumps(self._make_registration()).encode(),
                    )
                    if draining and response.status == 200:
                        self.drain_acked_at = time.monotonic()
                for _ in range(int(_HEARTBEAT_S / _POLL_S)):
                    if self.draining != draining:
                        break
                    await trio.sleep(_POLL_S)

    def _make_registration(self) -> dict[str, Any]:
        document = super()._make_registration()
        document["Labels"] = [self.kind, self.rack]
        if self.draining:
            document["RemainingMs"] = 2000
        return document


class Process:
    """One process of the product."""

    def __init__(
        self, name: str, command: list[str], settings: str, log: str
    ) -> None:
        """Start it."""
        self.name = name
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["KINGCUPLEVER_SETTINGS"] = settings
        self._environment = environment
        self._command = command
        self._log = log
        self.start()

    def start(self) -> None:
        """Start it, at first or again after :meth:`kill`."""
        with open(self._log, "ab") as out:
            self._process = subprocess.Popen(
                self._command,
                stdout=out,
                stderr=out,
                env=self._environment,
                cwd=ROOT,
            )

    def kill(self) -> None:
        """Kill it."""
        self._process.kill()
        self._process.wait()

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self._process.send_signal(number)

    def stop(self) -> None:
        """End it, and wait until it has ended."""
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.terminate()
            try:
                self._process.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self._process.kill()
                self._process.wait()


class Site:
    """Entries, sides, executors and the store.

    :ivar executors: by the name of their side.
    :ivar processes: by name, ``entry-N`` and ``side-N``.
    """

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        """Create a deployment without hosts."""
        self.record = record
        self.store = Store()
        self.executors: dict[str, Executor] = {}
        self.processes: dict[str, Process] = {}
        self.entries: dict[str, str] = {}
        self._folder = folder
        self._gangs = gang_runs.GangRuns()
        self._net = f"127.{random.randint(20, 250)}.{random.randint(0, 250)}"
        self._commands = {
            role: row["run"].split()
            for role, row in tomllib.loads(
                (ROOT / "deploy" / "system.toml").read_text()
            )["roles"].items()
        }
        self._store_address = f"{self._net}.1:{_find_port(self._net, 1)}"
        self._next_host = 2

    async def start(
        self, nursery: trio.Nursery, entries: int, kinds: list[tuple[str, str]]
    ) -> None:
        """Start everything, and wait until it is ready.

        :param kinds: kind and rack of each executor.
        :raises CannotRun: if it does not get ready.
        """
        stop = trio.Event()
        await nursery.start(
            http_server.serve, self._store_address, self.store.handle, stop
        )
        self.store.write_record("op", "config", make_configuration())
        health: list[str] = []
        for number in range(entries):
            name = f"entry-{number}"
            ports = self._start_process(name, "entry")
            self.entries[name] = ports["front"]
            health.append(ports["ready"])
        for number, (kind, rack) in enumerate(kinds):
            name = f"side-{number}"
            ports = self._start_process(name, "side")
            executor = Executor(
                f"i-{number}",
                kind,
                rack,
                ports["control"],
                ports["app"],
                self._gangs,
                self.record,
            )
            self.executors[name] = executor
            await executor.serve(nursery)
            nursery.start_soon(executor.run)
            nursery.start_soon(executor.write_runs)
        for address in health:
            await self._wait_until(
                lambda a=address: _is_ready(a), f"{address} ready"
            )
        await self._wait_until(self._has_all_sides, "all sides here")
        self.record.add(f"{entries} entries and {len(kinds)} sides are ready")

    def stop(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            process.stop()

    async def call(
        self, entry: str, method: str, job: str, body: Any = None
    ) -> tuple[int, Any]:
        """Send a client's request; status 0 stands for no answer."""
        data = b"" if body is None else json.dumps(body).encode()
        headers = [
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
            ("X-Api-Key", API_KEY),
            (
                "X-Kingcuplever-Deadline-Ms",
                str(int(_CLIENT_DEADLINE_S * 1000)),
            ),
        ]
        status, document = 0, None
        with trio.move_on_after(_CLIENT_DEADLINE_S):
            try:
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(
                        method,
                        f"http://{self.entries[entry]}{PREFIX}{job}",
                        headers=headers,
                        content=data,
                    )
                status = response.status
                document = json.loads(response.content or b"null")
            except (httpcore.NetworkError, httpcore.ProtocolError, ValueError):
                status = 0
        shown = document if method == "GET" else ""
        self.record.add(
            f"client {method} {job} at {entry}, {len(data)} bytes:"
            f" {status or 'no answer'} {shown}"
        )
        return status, document

    async def submit(self, job: str, body: Any, tries: int = 5) -> bool:
        """Hand a job in, at one entry after the other; tell if accepted."""
        names = [*self.entries]
        first = random.randrange(len(names))
        for number in range(tries):
            entry = names[(first + number) % len(names)]
            status, _ = await self.call(entry, "POST", job, body)
            if status == 200:
                return True
            await trio.sleep(0.3)
        return False

    async def get_state(self, job: str) -> str:
        """Return the state of a job, or the status of the refusal."""
        entry = random.choice([*self.entries])
        status, document = await self.call(entry, "GET", job)
        return str(document["State"]) if status == 200 else str(status)

    def find_owner(self) -> str:
        """Return the entry that gives the orders."""
        records = self.store.list_records("owner")
        return str(json.loads(records[-1][1])[1])

    def list_starts(self, job: str) -> list[tuple[str, str, float]]:
        """Return side, task and time of all starts of a job."""
        return [
            (side, start.task, start.at)
            for side, executor in self.executors.items()
            for start in executor.starts
            if start.task.startswith(f"{job}.")
        ]

    def _start_process(self, name: str, role: str) -> dict[str, str]:
        number = self._next_host
        self._next_host += 1
        host = f"{self._net}.{number}"
        ports = {
            use: f"{host}:{_find_port(self._net, number)}"
            for use in ("front", "ready", "control", "app")
        }
        path = self._folder / f"{name}.toml"
        text = _make_settings(name, role, host, ports, self._store_address)
        path.write_text(text, encoding="utf-8")
        self.processes[name] = Process(
            name,
            self._commands[role],
            str(path),
            str(self._folder / f"{name}.log"),
        )
        return ports

    def read_log(self, name: str) -> str:
        """Return the output of a process."""
        return (self._folder / f"{name}.log").read_text(encoding="utf-8")

    async def _has_all_sides(self) -> bool:
        logs = "".join(self.read_log(name) for name in self.entries)
        return all(f"{name} is here" in logs for name in self.executors)

    async def _wait_until(
        self, condition: Callable[[], Any], what: str
    ) -> None:
        with trio.move_on_after(_START_TIMEOUT_S):
            while not await condition():
                await trio.sleep(_POLL_S)
            return
        raise CannotRun(f"No {what} within {_START_TIMEOUT_S:.0f} s.")


async def _is_ready(address: str) -> bool:
    try:
        async with http_client.HttpClient(address, 1.0) as client:
            response = await client.call("GET", "/ready")
            return response.status == 200
    except errors.PlatformFailed:
        return False


def _find_port(net: str, host: int) -> int:
    with socket.socket() as probe:
        probe.bind((f"{net}.{host}", 0))
        return int(probe.getsockname()[1])


def make_step(count: int, seconds: float, **fields: Any) -> dict[str, Any]:
    """Make a step; ``fields`` replace or add some of its fields."""
    step = {"Count": count, "Cpu": 8000, "MemMb": 4096, "Gpu": 1}
    return step | {"EstRuntimeMs": int(seconds * 1000)} | fields


def make_job(seconds: float, *steps: dict[str, Any]) -> dict[str, Any]:
    """Make a job whose tasks each take that many seconds."""
    return {"Spec": json.dumps({"seconds": seconds}), "Steps": list(steps)}


def make_name() -> str:
    """Return a new name of a job: 16 hexadecimal digits."""
    return f"{random.getrandbits(64):016x}"


def make_configuration() -> dict[str, Any]:
    """Make the operator's configuration: one queue, one tenant."""
    return {
        "Version": 3,
        "Routes": [
            {
                "Name": ROUTE,
                "Host": HOST,
                "PathPrefix": PREFIX,
                "TimeoutMs": 3000,
                "TargetLatencyMs": 1000,
                "Priority": 1,
                "Service": SERVICE,
                "MaxAttempts": 4,
                "Stretch": 3.0,
                "Public": False,
            }
        ],
        "Services": [{"Name": SERVICE, "AdmissionCheck": False}],
        "Limits": {"MaxBodyBytes": 262_144},
        "Tenants": [
            {"Name": "outlet", "ApiKeys": [API_KEY], "Guaranteed": {"Gpu": 8}}
        ],
    }


def _make_settings(
    name: str, role: str, host: str, ports: dict[str, str], store: str
) -> str:
    """Make a settings file like that of the platform's page."""
    machine_class = "edge" if role == "entry" else "side"
    listen = {"Control": ports["control"]}
    app = f'app = "{ports["app"]}"'
    if role == "entry":
        listen = {"Front": ports["front"], "Ready": ports["ready"]}
        app = ""
    listeners = "\n".join(f'{k} = "{v}"' for k, v in listen.items())
    first_port = int(ports["front"].partition(":")[2]) + 1
    return f"""NodeName = "{name}"
Role = "{role}"
MachineClass = "{machine_class}"
Serves = ["{machine_class}"]
Ip = "{host}"
Zone = "hall"
Region = "bengal"
PortRange = [{first_port}, {first_port + 15}]
Seeds = []
Bootstrap = true
Discovery = "local"
Entry = "vip"
HeartbeatMs = 1500
Orders = "request"
{app}
[Zones]
hall = "bengal"
[Listen]
{listeners}
[Limits]
CpuShare = 0.645
Cores = 1
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
RecoverS = 12
HoldMaxMs = {_HOLD_MAX_MS}
StopMs = 900
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
FarX = 3
UpkeepS = 2
LeaseMs = 3000
[platform]
Address = "{store}"
form = "log"
RecordBytes = {_RECORD_BYTES}
CallBytes = {_CALL_BYTES}
keep_s = 300
"""


@contextlib.asynccontextmanager
async def run_site(
    record: Record, entries: int, kinds: list[tuple[str, str]]
) -> AsyncIterator[tuple[Site, trio.Nursery]]:
    """Run a deployment while the ``with`` body runs."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            site = Site(record, pathlib.Path(folder))
            try:
                await site.start(nursery, entries, kinds)
                yield site, nursery
            finally:
                await trio.to_thread.run_sync(
                    site.stop, abandon_on_cancel=False
                )
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for name in site.processes:
                        path = pathlib.Path(keep) / f"{name}.log"
                        path.write_text(site.read_log(name))
            nursery.cancel_scope.cancel()


def has_trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: pathlib.Path, case: Callable[[Record], Any]) -> int:
    """Run a case; return its exit code.

    :param case: returns why the rule was broken, or an empty string.
    """
    record = Record(folder / "record.txt")
    record.add(f"trouble: {'yes' if has_trouble() else 'no'}")
    try:
        broken = trio.run(case, record)
    except BaseException as error:
        record.add(f"the case could not run: {error!r}")
        traceback.print_exc()
        return 2
    record.add(f"broken: {broken}" if broken else "the rule held")
    record.close()
    print(broken or "the rule held")
    return 1 if broken else 0
