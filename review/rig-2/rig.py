"""A small deployment for the scripts of this review.

The entries and sides are the project's own programs, started with the
commands of the deploy file, each on a loopback address of its own.  Each
executor is a process; the platform's store, its list of machines and the
adviser answer in a thread of the script.
"""

from collections.abc import Callable
import http.client
import json
import os
import pathlib
import secrets
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from typing import Any

import trio

from kingcuplever.connection import http_server
from standins import wire_store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
EXECUTOR = pathlib.Path(__file__).resolve().parent / "executor.py"
SERVICE = "desk"
ZONE = "hall-1"
HOST = "jobs.example"
API_KEY = "key-of-the-yard"
HEARTBEAT_MS = 1500
READY_TIMEOUT_S = 30.0
DEADLINE_MS = 3000

# The bounds of the users' sheet for Phulrenu.
BOUNDS = {
    "ContactMs": 3000,
    "AckMs": 4000,
    "DrainMs": 2000,
    "GraceS": 6,
    "ConfigApplyMs": 2000,
    "RecoverS": 12,
    "HoldMaxMs": 10000,
    "StopMs": 900,
    "GangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "CheckpointS": 0.5,
    "NoticeMs": 4500,
    "MoveS": 1.5,
    "UpkeepS": 2,
    "Fencing": False,
    "LeaseMs": 3000,
}


class CaseFailedToRun(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: pathlib.Path) -> None:
        """Start an empty record."""
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began_at = time.time()

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line with the seconds since the start."""
        seconds = (at or time.time()) - self.began_at
        with self._lock:
            self._file.write(f"{seconds:8.3f} {text}\n")
            self._file.flush()


class Machine:
    """One ``side`` machine: its executor and the side process."""

    def __init__(self, name: str, ip: str, rack: str) -> None:
        """Describe a machine whose processes are not started yet."""
        self.name = name
        self.ip = ip
        self.rack = rack
        self.life = 0
        self.executor: subprocess.Popen[bytes] | None = None

    @property
    def executor_id(self) -> str:
        """Id of the executor's newest life."""
        return f"i-{self.name}-{self.life}"


class Site:
    """A running deployment; a context manager that ends all of it."""

    def __init__(
        self,
        folder: pathlib.Path,
        racks: tuple[str, ...],
        routes: list[dict[str, Any]],
        edges: int = 2,
    ) -> None:
        """Allocate addresses.

        :param folder: folder of the case, where the record goes.
        :param racks: rack of each side machine.
        :param routes: the configuration's queues.
        """
        self.record = Record(folder / "record.txt")
        self.routes = routes
        self.store = wire_store.WireStore()
        # Which executors may run a step; None allows all.
        self.good_for_step: Callable[[str, str], bool] | None = None
        self._temp = tempfile.TemporaryDirectory(prefix="review-2-")
        self.temp = pathlib.Path(self._temp.name)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        block = 1 + secrets.randbelow(250)
        self._net = f"127.{block}"
        self._store_address = self._free_address(f"{self._net}.9.1")
        self._cloud_address = self._free_address(f"{self._net}.9.2")
        self._advice_address = self._free_address(f"{self._net}.9.3")
        self.edges = {
            f"edge-{ZONE}-{n}": f"{self._net}.1.{n}"
            for n in range(1, edges + 1)
        }
        self.machines = {
            f"m{n}": Machine(f"m{n}", f"{self._net}.2.{n}", rack)
            for n, rack in enumerate(racks, 1)
        }
        self._ports = self._find_ports()
        self._settings: dict[str, str] = {}
        self._ended_at: dict[str, float] = {}
        self._token: trio.lowlevel.TrioToken | None = None
        self._scope: trio.CancelScope | None = None
        self._started = threading.Event()
        self._thread = threading.Thread(
            target=trio.run, args=(self._run_platform,), daemon=True
        )

    # Addresses and settings

    def _free_address(self, ip: str) -> str:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            return f"{ip}:{probe.getsockname()[1]}"

    def _find_ports(self) -> int:
        """Return the first of a few ports that are free on all machines."""
        ips = [*self.edges.values()]
        ips += [machine.ip for machine in self.machines.values()]
        for _ in range(200):
            first = 20_000 + 10 * secrets.randbelow(1000)
            probes = []
            try:
                for ip in ips:
                    for port in range(first, first + 5):
                        probe = socket.socket()
                        probes.append(probe)
                        probe.bind((ip, port))
                return first
            except OSError:
                continue
            finally:
                for probe in probes:
                    probe.close()
        raise CaseFailedToRun("no free ports")

    def _write_settings(self, name: str, ip: str, is_edge: bool) -> str:
        port = self._ports
        listen = (
            f'Front = "{ip}:{port}"\nReady = "{ip}:{port + 1}"'
            if is_edge
            else f'Control = "{ip}:{port + 2}"'
        )
        app = "" if is_edge else f'app = "{ip}:{port + 3}"'
        cores, share, memory = (2, 0.537, 300) if is_edge else (1, 0.645, 168)
        bounds = "\n".join(
            f"{key} = {json.dumps(value)}" for key, value in BOUNDS.items()
        )
        text = f"""
NodeName = "{name}"
Role = "{'entry' if is_edge else 'side'}"
MachineClass = "{'edge' if is_edge else 'side'}"
Serves = ["{'edge' if is_edge else 'side'}"]
Ip = "{ip}"
Zone = "{ZONE}"
Region = "north"
PortRange = [{port + 4}, {port + 4}]
Seeds = []
Bootstrap = true
Discovery = "local"
Entry = "vip"
HeartbeatMs = {HEARTBEAT_MS}
Orders = "request"
Advice = "{self._advice_address}"
Service = "{SERVICE}"
{app}
[Zones]
{ZONE} = "north"
[Listen]
{listen}
[Limits]
CpuShare = {share}
Cores = {cores}
MemoryMb = {memory}
MaxFds = 4096
LinkMbps = 1000.0
DiskMb = 0
[Tolerate]
Machines = 1
[Bounds]
{bounds}
[platform]
Address = "{self._store_address}"
form = "log"
WritesPerS = 800
ReadsPerS = 2000
RecordBytes = {wire_store.RECORD_BYTES}
CallBytes = {wire_store.CALL_BYTES}
keep_s = 300
[Cloud]
Address = "{self._cloud_address}"
RatePerS = 60.0
Duties = []
DutyPerS = 60.0
"""
        path = self.temp / f"{name}.toml"
        path.write_text(text, encoding="utf-8")
        return str(path)

    # Processes

    def __enter__(self) -> "Site":
        """Start everything and wait until it serves."""
        self._thread.start()
        if not self._started.wait(READY_TIMEOUT_S):
            raise CaseFailedToRun("the platform's stand-ins did not start")
        self.write_config(1)
        try:
            for machine in self.machines.values():
                self.start_executor(machine)
                self._start_program(
                    f"side-{machine.name}", "side", machine.ip, False
                )
            for name, ip in self.edges.items():
                self._start_program(name, "entry", ip, True)
            for name in self.edges:
                self.wait_for(lambda n=name: self.is_ready(n), f"{name} ready")
            self.wait_for(self._is_whole, "all workers at the owner")
        except BaseException:
            self.close()
            raise
        self.record.write(f"all is up; {self.find_owner()} owns")
        return self

    def __exit__(self, *_: object) -> None:
        """End all processes."""
        self.close()

    def close(self) -> None:
        """End all processes that this site started."""
        started = [*self.processes.values()]
        started += [m.executor for m in self.machines.values() if m.executor]
        for process in started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in started:
            process.wait()
        if self._token is not None and self._scope is not None:
            self._token.run_sync_soon(self._scope.cancel)
            self._thread.join(5)
        self._collect_events()
        self._collect_tracebacks()
        self._temp.cleanup()

    def _start_program(
        self, name: str, role: str, ip: str, is_edge: bool
    ) -> None:
        path = self._write_settings(name, ip, is_edge)
        self._settings[name] = path
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            command = tomllib.load(file)["roles"][role]["run"]
        environment = {
            "PATH": os.environ["PATH"],
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "KINGCUPLEVER_SETTINGS": path,
        }
        with open(self.temp / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                shlex.split(command),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def restart_program(self, name: str) -> None:
        """Start one of the project's processes again after its end."""
        is_edge = name in self.edges
        role = "entry" if is_edge else "side"
        ip = (
            self.edges[name]
            if is_edge
            else self.machines[name.removeprefix("side-")].ip
        )
        self._start_program(name, role, ip, is_edge)
        self.record.write(f"{name} is started again")

    def restart_ended(self, pause_s: float) -> list[str]:
        """Start the processes again that have ended by themselves.

        :param pause_s: how long after its end the platform does that.
        :return: those that have ended since the last call.
        """
        now = time.time()
        ended = []
        for name, process in self.processes.items():
            if process.poll() is None:
                continue
            if name not in self._ended_at:
                self._ended_at[name] = now
                ended.append(name)
                self.record.write(
                    f"{name} has ended by itself, code {process.returncode}"
                )
        for name, at in [*self._ended_at.items()]:
            if now - at >= pause_s:
                del self._ended_at[name]
                self.restart_program(name)
        return ended

    def start_executor(self, machine: Machine) -> None:
        """Start the next life of a machine's executor."""
        machine.life += 1
        port = self._ports
        values = {
            "id": machine.executor_id,
            "listen": f"{machine.ip}:{port + 3}",
            "control": f"{machine.ip}:{port + 2}",
            "service": SERVICE,
            "zone": ZONE,
            "rack": machine.rack,
            "events": self.temp / f"events-{machine.name}",
            "hold-max-ms": BOUNDS["HoldMaxMs"],
            "heartbeat-ms": HEARTBEAT_MS,
        }
        command = [sys.executable, str(EXECUTOR)]
        for key, value in values.items():
            command += [f"--{key}", str(value)]
        with open(self.temp / f"executor-{machine.name}.log", "ab") as log:
            machine.executor = subprocess.Popen(
                command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def kill_executor(self, machine: Machine) -> None:
        """Crash a machine's executor; it sends nothing."""
        assert machine.executor is not None
        machine.executor.kill()
        machine.executor.wait()
        self.record.write(f"{machine.executor_id} on {machine.name} crashes")

    def control_of(self, machine: Machine) -> tuple[str, int]:
        """Return the address where a machine's executor registers."""
        return machine.ip, self._ports + 2

    def is_running(self, name: str) -> bool:
        """Return whether one of the project's processes runs."""
        return self.processes[name].poll() is None

    def signal_program(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the project's processes."""
        self.processes[name].send_signal(number)
        self.record.write(f"{number.name} to {name}")

    # The platform

    async def _run_platform(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            self._scope = nursery.cancel_scope
            for address, handler in (
                (self._store_address, self.store.handle),
                (self._cloud_address, self._handle_cloud),
                (self._advice_address, self._handle_advice),
            ):
                await nursery.start(http_server.serve, address, handler, stop)
            self._started.set()

    async def _handle_cloud(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        if request.path == "/machines":
            rows = [
                {
                    "Machine": machine.name,
                    "Pool": SERVICE,
                    "State": "up",
                    "Zone": ZONE,
                    "Labels": ["a", machine.rack],
                    "Capacity": {"Cpu": 128_000, "MemMb": 262_144, "Gpu": 8},
                    "Id": machine.executor_id,
                }
                for machine in self.machines.values()
            ]
            return http_server.json_response(
                {"Machines": rows, "NextToken": ""}
            )
        # The page: busy, where the executor is one on a ``side`` machine.
        return http_server.json_response({"Reason": "busy"}, 409)

    async def _handle_advice(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        body = json.loads(request.body)
        await trio.sleep(0.02 + 0.002 * len(body["Workers"]))
        good = [
            [worker, f"ticket {body['Step']} {worker}"]
            for worker in body["Workers"]
            if self.good_for_step is None
            or self.good_for_step(body["Step"], worker)
        ]
        names = ", ".join(worker for worker, _ in good) or "none"
        self.record.write(f"POST /advise {body['Step']}: 200, {names}")
        return http_server.json_response({"Good": good, "ValidMs": 5000})

    def on_platform(self, action: Callable[[], Any]) -> Any:
        """Run an action on the platform's thread; return its result."""
        assert self._token is not None

        async def run() -> Any:
            return action()

        return trio.from_thread.run(run, trio_token=self._token)

    def write_op(self, key: str, document: Any) -> None:
        """Write a record as the operator."""
        self.on_platform(lambda: self.store.write_record("op", key, document))
        self.record.write(f"operator writes op/{key}")

    def write_config(self, version: int) -> None:
        """Write the configuration."""
        self.write_op(
            "config",
            {
                "Version": version,
                "Routes": self.routes,
                "Services": [{"Name": SERVICE, "AdmissionCheck": False}],
                "Limits": {"MaxBodyBytes": 262_144},
                "Tenants": [
                    {
                        "Name": "yard",
                        "ApiKeys": [API_KEY],
                        "Guaranteed": {"Gpu": 4},
                    }
                ],
            },
        )

    def read_records(self, topic: str) -> list[tuple[str, bytes]]:
        """Return all records of one of the system's topics."""
        return self.on_platform(lambda: self.store.list_records(topic))

    def find_owner(self) -> str:
        """Return the entry that the newest record names as the owner."""
        rows = [v for k, v in self.read_records("jobs") if k == "owner"]
        return str(json.loads(rows[-1])[1]) if rows else ""

    # Clients

    def call(
        self,
        edge: str,
        method: str,
        path: str,
        body: Any = None,
        quiet: bool = False,
        key: str = API_KEY,
    ) -> tuple[int, Any]:
        """Send one request of a client; 0 stands for no answer."""
        data = b"" if body is None else json.dumps(body).encode()
        headers = {
            "Host": HOST,
            "X-Kingcuplever-Deadline-Ms": str(DEADLINE_MS),
            "Content-Type": "application/json",
        }
        if key:
            headers["X-Api-Key"] = key
        connection = http.client.HTTPConnection(
            self.edges[edge], self._ports, timeout=DEADLINE_MS / 1000
        )
        status, document = 0, None
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            status, text = response.status, response.read()
            document = json.loads(text) if text else None
        except (OSError, http.client.HTTPException, ValueError):
            pass
        finally:
            connection.close()
        if not quiet:
            answer = status or "no answer"
            self.record.write(
                f"{method} {path} to {edge}: {answer} {json.dumps(document)}"
            )
        return status, document

    def submit(
        self,
        edge: str,
        prefix: str,
        job: dict[str, Any],
        key: str = API_KEY,
    ) -> str:
        """Hand a job in; return its id once it is accepted."""
        name = secrets.token_hex(8)
        deadline = time.time() + READY_TIMEOUT_S
        while time.time() < deadline:
            status, _ = self.call(edge, "POST", prefix + name, job, key=key)
            if 200 <= status < 300:
                return name
            time.sleep(0.5)
        raise CaseFailedToRun("a job was not accepted")

    def read_state(self, edge: str, prefix: str, name: str) -> str:
        """Return a job's state, or the status of another answer."""
        status, document = self.call(edge, "GET", prefix + name, quiet=True)
        return document["State"] if status == 200 else str(status)

    def is_ready(self, edge: str) -> bool:
        """Return whether an entry reports that it is ready."""
        connection = http.client.HTTPConnection(
            self.edges[edge], self._ports + 1, timeout=1
        )
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def _is_whole(self) -> bool:
        """Return whether the owner has heard of all executors."""
        owner = self.find_owner()
        if not owner:
            return False
        text = (self.temp / f"{owner}.log").read_text(encoding="utf-8")
        return all(
            f"{machine.executor_id}@side-{machine.name} is here" in text
            for machine in self.machines.values()
        )

    # What was seen

    def read_events(self) -> list[dict[str, Any]]:
        """Return what all executors have recorded, oldest first."""
        rows = []
        for machine in self.machines.values():
            path = self.temp / f"events-{machine.name}"
            if path.exists():
                for line in path.read_text(encoding="utf-8").splitlines():
                    rows.append(json.loads(line) | {"machine": machine.name})
        return sorted(rows, key=lambda row: row["at"])

    def list_runs(self, job: str) -> list[dict[str, Any]]:
        """Return the starts of a job's tasks."""
        return [
            row
            for row in self.read_events()
            if row["event"] == "start" and row["task"].startswith(job)
        ]

    def find_machine_of(self, task: str) -> Machine | None:
        """Return the machine whose executor runs a task now."""
        found = None
        for row in self.read_events():
            machine = self.machines[row["machine"]]
            if row["executor"] != machine.executor_id:
                continue
            if row.get("task") == task:
                is_start = row["event"] == "start"
                found = machine if is_start else None
        return found

    def _collect_events(self) -> None:
        """Add what the executors ran to the record."""
        for row in self.read_events():
            if row["event"] == "heartbeat acked":
                continue
            details = " ".join(
                f"{key} {value}"
                for key, value in row.items()
                if key not in ("at", "event", "executor", "machine")
            )
            self.record.write(
                f"executor {row['executor']}: {row['event']} {details}",
                row["at"],
            )

    def _collect_tracebacks(self) -> None:
        """Add the last line of each entry's traceback to the record."""
        for name in self.edges:
            lines = self.read_log(name).splitlines()
            errors = [line for line in lines if "Error: " in line]
            for line in sorted(set(errors))[-1:]:
                self.record.write(f"{name} has written: {line.strip(' |')}")

    def read_log(self, name: str) -> str:
        """Return what a process of the project has written."""
        path = self.temp / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def wait_for(
        self,
        condition: Callable[[], Any],
        what: str,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> Any:
        """Poll until a condition holds; return its value.

        :raises CaseFailedToRun: it did not in time.
        """
        deadline = time.time() + timeout_s
        while time.time() < deadline:
            value = condition()
            if value:
                return value
            time.sleep(0.05)
        raise CaseFailedToRun(f"not within {timeout_s:.0f} s: {what}")


def make_route(name: str, **overrides: Any) -> dict[str, Any]:
    """Make one queue of the configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 1000,
        "Priority": 1,
        "Service": SERVICE,
        "MaxAttempts": 4,
        "Stretch": 3.0,
        "Public": False,
    } | overrides


def make_step(**overrides: Any) -> dict[str, Any]:
    """Make one step of a job."""
    step = {"Count": 1, "Cpu": 4000, "MemMb": 1000, "Gpu": 1}
    return step | {"EstRuntimeMs": 5000} | overrides


def run_case(play: Callable[[], bool]) -> None:
    """Run a case and exit: 1 if the rule broke, 0 if it held, 2 if neither.

    :param play: returns whether the rule held.
    """
    try:
        held = play()
    except (CaseFailedToRun, OSError) as error:
        print(f"The case could not run: {error}")
        sys.exit(2)
    print("The rule held." if held else "The rule is broken.")
    sys.exit(0 if held else 1)
