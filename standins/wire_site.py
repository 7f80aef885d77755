"""A small deployment of the users' platform on the loopback.

Stand-ins for the store and the executors run in a thread of this process, so
that tests read and set them directly; entries and sides are real processes.
Signals only processes that this module started.
"""

from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
from types import TracebackType
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import Self

import httpcore
import trio

from kingcuplever.connection import http_server
from standins import fleet
from standins import gang_runs
from standins import proxy
from standins import wire_adviser
from standins import wire_hosts
from standins import wire_store
from standins import wire_worker

POOL: Final = "desk"
API_KEY: Final = "key-of-the-yard"
OTHER_API_KEY: Final = "key-of-the-farrier"
HOST: Final = "jobs.example"
PREFIX: Final = "/rosters/"
ALERTS_PREFIX: Final = "/alerts/"
ADVISED_PREFIX: Final = "/advised/"
# Limits of the smallest hosts.
MEMORY_MB: Final = 200
DESCRIPTORS: Final = 4100
_STOP_TIMEOUT_S: Final = 10.0
# What a process writes about an error that it had not foreseen.
_ERROR_MARKS: Final = ("Contained, ", "Traceback (most recent call last)")
_LEASE_MS: Final = 4000


class Addresses(NamedTuple):
    """Addresses that one process listens on."""

    callers: str
    health: str
    registry: str
    worker: str
    peers: str
    metrics: str


class Process:
    """One real process of the product."""

    def __init__(self, name: str, role: str, settings: str, log: str) -> None:
        """Start the process."""
        self.name = name
        self._role = role
        self._settings = settings
        self._log_path = log
        self._process = self._start()

    def kill(self) -> None:
        """Kill it, so that it cannot drain."""
        self._process.kill()
        self._process.wait()

    def restart(self) -> None:
        """Start it again after it has exited."""
        self._process = self._start()

    def pause(self) -> None:
        """Suspend it."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue it after :meth:`pause`."""
        self._process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask it to exit, without waiting for it."""
        if self._process.poll() is None:
            self._process.terminate()

    def send_sighup(self) -> None:
        """Send it SIGHUP."""
        self._process.send_signal(signal.SIGHUP)

    def stop(self) -> int | None:
        """Ask it to exit, kill it after a timeout; return its exit code."""
        if self._process.poll() is None:
            self._process.terminate()
            try:
                self._process.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.kill()
        return self._process.returncode

    @property
    def is_alive(self) -> bool:
        """Whether it is running."""
        return self._process.poll() is None

    @property
    def core_wait_s(self) -> float:
        """How long its threads were ready to run and had no core."""
        threads = pathlib.Path(f"/proc/{self._process.pid}/task")
        # The second figure is the time on a run queue, in nanoseconds.
        return sum(
            int(file.read_text(encoding="ascii").split()[1]) / 1e9
            for file in threads.glob("*/schedstat")
        )

    @property
    def peak_memory_mb(self) -> float:
        """Most memory that it has had resident, in MB."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status")
        text = status.read_text(encoding="ascii")
        (line,) = [row for row in text.splitlines() if "VmHWM" in row]
        return int(line.split()[1]) * 1024 / 1e6

    def read_log(self) -> str:
        """Return its output so far."""
        return pathlib.Path(self._log_path).read_text(encoding="utf-8")

    def list_errors(self) -> list[str]:
        """Return the lines about errors that it had not foreseen."""
        return [
            f"{self.name}: {line}"
            for line in self.read_log().splitlines()
            if any(mark in line for mark in _ERROR_MARKS)
        ]

    def _start(self) -> subprocess.Popen[bytes]:
        environment = dict(os.environ, KINGCUPLEVER_SETTINGS=self._settings)
        command = [sys.executable, "-m", "kingcuplever.platform", self._role]
        with open(self._log_path, "ab") as out:
            return subprocess.Popen(
                command, stdout=out, stderr=out, env=environment
            )


class Site:
    """A store, workers with their sides, a host service, and entries."""

    def __init__(
        self,
        folder: str,
        entries: int = 2,
        sides: int = 2,
        proxied: bool = False,
        lease_ms: int = _LEASE_MS,
        states_birth: bool = False,
    ) -> None:
        """Allocate the addresses; :meth:`__enter__` starts the processes.

        :param proxied: whether each process reaches the store through a proxy
            of its own.
        :param lease_ms: longest task lease.
        :param states_birth: whether the workers name the time of their start.
        """
        self.states_birth = states_birth
        # Whether errors in the logs are for the caller to judge.
        self.allows_errors = False
        self._gangs = gang_runs.GangRuns()
        self._proxied = proxied
        self._lease_ms = lease_ms
        self._proxies: dict[str, proxy.Proxy] = {}
        self.store = wire_store.WireStore()
        self.workers: list[wire_worker.WireWorker] = []
        self.hosts = wire_hosts.WireHosts(self.workers)
        self.adviser = wire_adviser.WireAdviser()
        self.version = 0
        self.entries: dict[str, Process] = {}
        self.sides: dict[str, Process] = {}
        self._folder = folder
        self._store_address = fleet.free_address()
        self._hosts_address = fleet.free_address()
        self._adviser_address = fleet.free_address()
        self._processes = {
            f"{role}-{number}": (role, _allocate_addresses())
            for role, count in (("entry", entries), ("side", sides))
            for number in range(count)
        }
        self._stack = contextlib.ExitStack()
        self._cancel_scope: trio.CancelScope | None = None
        self._trio_token: trio.lowlevel.TrioToken | None = None

    def __enter__(self) -> Self:
        """Start the stand-ins and the processes; wait until they are ready."""
        started = threading.Event()
        thread = threading.Thread(
            target=trio.run, args=(self._run_standins, started), daemon=True
        )
        thread.start()
        self._stack.callback(thread.join, _STOP_TIMEOUT_S)
        self._stack.callback(self._stop_standins)
        assert started.wait(_STOP_TIMEOUT_S)
        self.add_route()
        for name, (role, addresses) in self._processes.items():
            settings = self._write_settings(name, addresses)
            log = os.path.join(self._folder, f"{name}.log")
            process = Process(name, role, settings, log)
            self._stack.callback(process.stop)
            group = self.entries if role == "entry" else self.sides
            group[name] = process
        for name in self.entries:
            fleet.wait_until(lambda n=name: self.is_ready(n), f"{name} ready")
        fleet.wait_until(self.find_owner, "an owner")
        owner = self.entries[self.find_owner()]
        for name in self.sides:
            fleet.wait_until(
                lambda n=name: f"{n} is here" in owner.read_log(), name
            )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the processes, then the stand-ins."""
        self._stack.close()
        if kind is None and not self.allows_errors:
            assert not self.list_errors(), self.list_errors()

    def list_errors(self) -> list[str]:
        """Return what the processes say of errors they had not foreseen.

        Whatever a test does to a process, it has no reason to write any.
        """
        return [
            line
            for process in (*self.entries.values(), *self.sides.values())
            for line in process.list_errors()
        ]

    def set_store_faults(self, name: str, **changes: Any) -> None:
        """Set the faults of the proxy between a process and the store."""
        trio.from_thread.run(
            self._proxies[name].set_faults,
            changes,
            trio_token=self._trio_token,
        )

    def call_soon(self, action: Callable[[], None]) -> None:
        """Schedule an action on the stand-ins' thread."""
        assert self._trio_token is not None
        self._trio_token.run_sync_soon(action)

    def get_addresses(self, name: str) -> Addresses:
        """Return the addresses that a process listens on."""
        return self._processes[name][1]

    def get_caller_address(self, entry: str) -> str:
        """Return the address where an entry serves callers."""
        return self._processes[entry][1].callers

    def add_route(self) -> None:
        """Write a newer configuration with one more route."""
        self.version += 1
        extra = [
            _make_route(f"/route-{n}/") for n in range(2, self.version + 1)
        ]
        self.write_configuration(
            make_configuration(self.version, Routes=[*_make_routes(), *extra])
        )

    def write_configuration(self, document: Any) -> None:
        """Write a configuration, as the operator does."""
        self.write_record("config", document)

    def write_record(self, key: str, document: Any) -> None:
        """Write a record to the operator's topic."""
        assert self._trio_token is not None
        self._trio_token.run_sync_soon(
            self.store.write_record, "op", key, document
        )

    def drop_record(self, key: str) -> None:
        """Drop a record of the operator's topic."""
        self.call_soon(lambda: self.store.drop_record("op", key))

    def call(
        self,
        entry: str,
        method: str,
        job: str,
        body: Any = None,
        key: str = API_KEY,
        prefix: str = PREFIX,
    ) -> httpcore.Response:
        """Send a caller's request to an entry."""
        data = b"" if body is None else json.dumps(body).encode()
        headers = {
            "Host": HOST,
            "X-Api-Key": key,
            "X-Kingcuplever-Deadline-Ms": "3000",
        }
        address = self._processes[entry][1].callers
        pairs = [("Content-Length", str(len(data))), *headers.items()]
        return httpcore.request(
            method,
            f"http://{address}{prefix}{job}",
            headers=pairs,
            content=data,
            extensions={"timeout": {"connect": 5.0, "read": 10.0}},
        )

    def get_state(self, entry: str, job: str) -> str:
        """Return a job's state, or the HTTP status of the refusal."""
        response = self.call(entry, "GET", job)
        if response.status != 200:
            return str(response.status)
        return str(json.loads(response.content)["State"])

    def wait_for_state(self, entry: str, job: str, state: str) -> None:
        """Wait until an entry shows a job in a state."""
        fleet.wait_until(
            lambda: self.get_state(entry, job) == state, f"{job} {state}"
        )

    def is_ready(self, entry: str) -> bool:
        """Whether an entry reports that it is ready."""
        try:
            address = self._processes[entry][1].health
            return fleet.call(address, "GET", "/ready").status == 200
        except httpcore.ConnectError:
            return False

    def find_owner(self) -> str:
        """Return the entry that the log names as owner, or an empty string."""
        records = [
            v for k, v in self.store.list_records("jobs") if k == "owner"
        ]
        return str(json.loads(records[-1])[1]) if records else ""

    def read_metrics(self, name: str) -> str:
        """Return the metrics that a process exposes."""
        address = self._processes[name][1].metrics
        return fleet.call(address, "GET", "/metrics").content.decode()

    def get_registry_address(self, side: str) -> str:
        """Return the address where a side's worker registers."""
        return self._processes[side][1].registry

    def list_starts(self, job: str) -> list[wire_worker.TaskStart]:
        """Return all starts of a job's tasks on any worker, oldest first."""
        return sorted(
            (
                start
                for worker in self.workers
                for start in worker.starts
                if start.task.startswith(f"{job}.")
            ),
            key=lambda begun: begun.at,
        )

    async def _run_standins(self, started: threading.Event) -> None:
        self._trio_token = trio.lowlevel.current_trio_token()
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            self._cancel_scope = nursery.cancel_scope
            for address, handler in (
                (self._store_address, self.store.handle),
                (self._hosts_address, self.hosts.handle),
                (self._adviser_address, self.adviser.handle),
            ):
                await nursery.start(http_server.serve, address, handler, stop)
            for name in self._processes if self._proxied else ():
                store_proxy = proxy.Proxy(
                    fleet.free_address(), self._store_address
                )
                self._proxies[name] = store_proxy
                await nursery.start(store_proxy.run)
            for number, (role, addresses) in enumerate(
                self._processes.values()
            ):
                if role != "side":
                    continue
                worker = wire_worker.WireWorker(
                    f"i-{number}",
                    POOL,
                    "r1-1",
                    addresses.registry,
                    states_birth=self.states_birth,
                    gangs=self._gangs,
                )
                self.workers.append(worker)
                nursery.start_soon(worker.run)
                await nursery.start(
                    http_server.serve, addresses.worker, worker.handle, stop
                )
            started.set()

    def _stop_standins(self) -> None:
        assert self._trio_token is not None
        assert self._cancel_scope is not None
        self._trio_token.run_sync_soon(self._cancel_scope.cancel)

    def _write_settings(self, name: str, addresses: Addresses) -> str:
        path = os.path.join(self._folder, f"{name}.toml")
        port = addresses.peers.partition(":")[2]
        store = self._store_address
        if self._proxied:
            store = self._proxies[name].address
        text = f"""
NodeName = "{name}"
Zone = "hall"
Ip = "127.0.0.1"
PortRange = [{port}, {port}]
MetricsPort = {addresses.metrics.partition(":")[2]}
app = "{addresses.worker}"
Advice = "{self._adviser_address}"
[Listen]
Front = "{addresses.callers}"
Ready = "{addresses.health}"
Control = "{addresses.registry}"
[Limits]
CpuShare = 1.0
Cores = 1
LinkMbps = 1000.0
MemoryMb = {MEMORY_MB}
MaxFds = {DESCRIPTORS}
[Bounds]
HoldMaxMs = {self._lease_ms}
status_s = 120
GraceS = 6
[platform]
Address = "{store}"
RecordBytes = {wire_store.RECORD_BYTES}
CallBytes = {wire_store.CALL_BYTES}
[Cloud]
Address = "{self._hosts_address}"
"""
        pathlib.Path(path).write_text(text, encoding="utf-8")
        return path


def make_configuration(version: int, **overrides: Any) -> dict[str, Any]:
    """Make an operator's configuration: one queue and two accounts."""
    document = {
        "Version": version,
        "Routes": _make_routes(),
        "Services": [{"Name": POOL, "AdmissionCheck": False}],
        "Limits": {"MaxBodyBytes": 262_144},
        "Tenants": [
            {"Name": "yard", "ApiKeys": [API_KEY], "Guaranteed": {"Gpu": 8}},
            {"Name": "farrier", "ApiKeys": [OTHER_API_KEY]},
        ],
    }
    return document | overrides


def _make_routes() -> list[dict[str, Any]]:
    """Make the routes of a site's usual, urgent and advised queues.

    Anyone may use the urgent one.
    """
    urgent = _make_route(ALERTS_PREFIX) | {"Priority": 0, "Public": True}
    timing = {"DecideMs": 20, "IntervalMs": 2}
    advised = _make_route(ADVISED_PREFIX) | {
        "Advice": timing | {"ValidMs": wire_adviser.VALID_MS}
    }
    return [_make_route(PREFIX), urgent, advised]


def _make_route(prefix: str) -> dict[str, Any]:
    """Make the route of one queue."""
    return {
        "Name": f"r-{prefix.strip('/')}",
        "Host": HOST,
        "PathPrefix": prefix,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 1000,
        "Priority": 1,
        "Service": POOL,
        "MaxAttempts": 3,
        "Stretch": 3.0,
        "Public": False,
    }


def make_job(
    seconds: float, count: int = 1, **overrides: Any
) -> dict[str, Any]:
    """Make a job of one step.

    :param overrides: replace or add fields of the step.
    """
    step = {"Count": count, "Cpu": 5000, "MemMb": 1000, "Gpu": 1}
    step |= {"EstRuntimeMs": int(seconds * 1000)} | overrides
    payload = {"seconds": seconds}
    if overrides.get("Gang"):
        # The stand-in executors learn the number of members from it.
        payload["gang"] = count
    return {"Spec": json.dumps(payload), "Steps": [step]}


def sleep(seconds: float) -> None:
    """Sleep before a check that something has not happened."""
    time.sleep(seconds)


def _allocate_addresses() -> Addresses:
    return Addresses(*(fleet.free_address() for _ in Addresses._fields))
