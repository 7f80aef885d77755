"""Starts and stops real processes: the product's binary and stand-ins.

Used by the demo, the integration tests and the benchmarks.  Signals only
processes that this module started.
"""

from collections.abc import Iterator
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import Final

import httpcore

from kingcuplever import options
from kingcuplever import plain
from standins import platform

BINARY: Final = "dist/kingcuplever"
# Starting a process takes about a second of one core.
_READY_TIMEOUT_S: Final = 30.0
_READY_TIMEOUT_S_PER_PROCESS: Final = 1.0
_POLL_INTERVAL_S: Final = 0.05
_STOP_TIMEOUT_S: Final = 20.0
# Below the ephemeral ports, which the kernel gives to outgoing connections.
# A process reserves a block of ports by binding the first one.
_FIRST_PORT: Final = 19_000
_PORTS_PER_BLOCK: Final = 100
_BLOCKS: Final = 130
_WORKERS_PER_RACK: Final = 3


class _PortAllocator:
    """Allocates ports that no other process with this module allocates."""

    def __init__(self) -> None:
        self._reservations: list[socket.socket] = []
        self._ports: Iterator[int] = iter(())

    def allocate(self) -> int:
        """Return the next port of the blocks that this process reserves."""
        while True:
            for port in self._ports:
                return port
            first = self._reserve_block()
            self._ports = iter(range(first + 1, first + _PORTS_PER_BLOCK))

    def _reserve_block(self) -> int:
        for number in range(_BLOCKS):
            block = (os.getpid() + number) % _BLOCKS
            first = _FIRST_PORT + block * _PORTS_PER_BLOCK
            reservation = socket.socket()
            try:
                reservation.bind(("127.0.0.1", first))
            except OSError:
                reservation.close()
                continue
            self._reservations.append(reservation)
            return first
        raise RuntimeError("All port blocks for stand-ins are reserved.")


_PORTS: Final = _PortAllocator()


def free_port() -> int:
    """Return an unused TCP port of the loopback."""
    while True:
        port = _PORTS.allocate()
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def free_address() -> str:
    """Return an unused address of the loopback, as ``IP:port``."""
    return f"127.0.0.1:{free_port()}"


def wait_until(
    condition: Any, description: str, timeout_s: float = _READY_TIMEOUT_S
) -> Any:
    """Poll a condition until it is true; return its value.

    :raises TimeoutError: if the condition, named by ``description``, is still
        false after ``timeout_s``.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        answer = condition()
        if answer:
            return answer
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {timeout_s:.0f} s: {description}")
        time.sleep(_POLL_INTERVAL_S)


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 20.0,
) -> httpcore.Response:
    """Send one HTTP request on a connection of its own."""
    pairs = [("Host", address), ("Content-Length", str(len(body)))]
    pairs += (headers or {}).items()
    limits = {"connect": timeout_s, "read": timeout_s}
    return httpcore.request(
        method,
        f"http://{address}{path}",
        headers=pairs,
        content=body,
        extensions={"timeout": limits},
    )


def call_json(
    address: str,
    method: str,
    path: str,
    document: Any = None,
    token: str = "",
) -> tuple[int, Any]:
    """Send one HTTP request; return the status and the parsed JSON body."""
    body = b"" if document is None else json.dumps(document).encode()
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    response = call(address, method, path, body, headers)
    return response.status, json.loads(response.content or b"null")


class Fleet:
    """Processes of one deployment and the stand-ins of its platform.

    :ivar options: settings of the deployment.
    :ivar standins: what the process of the stand-ins runs.
    """

    def __init__(
        self,
        settings: str,
        spec: platform.StandinsSpec,
        folder: str,
        settings_by_name: dict[str, str] | None = None,
    ) -> None:
        """Prepare the deployment without starting a process.

        :param settings: path of the settings file.
        :param folder: folder of the log files.
        :param settings_by_name: other settings files, by the name of the
            process that uses them.
        """
        self.options = options.load(settings)
        self.standins = spec
        self._settings = settings
        self._settings_by_name = settings_by_name or {}
        self._folder = pathlib.Path(folder)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> "Fleet":
        """Start all processes and wait until they serve."""
        try:
            self._start_standins()
            for name in self.options.entry:
                self.start(name)
            for name in self.options.side:
                self.start(name)
            for name in self.options.entry:
                self.wait_ready(name)
                self._wait_linked(name)
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *details: object) -> None:
        """Kill all processes."""
        self.close()

    @property
    def token(self) -> str:
        """Token of the first operator."""
        return next(iter(self.options.operator_tokens.values()))

    def start(self, name: str) -> None:
        """Start an entry or a side."""
        kind = "entry" if name in self.options.entry else "side"
        settings = self._settings_by_name.get(name, self._settings)
        self._spawn(
            name,
            [
                sys.executable,
                BINARY,
                kind,
                "--settings",
                settings,
                "--name",
                name,
            ],
        )

    def kill(self, name: str) -> None:
        """Kill a process, so that it cannot drain."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str) -> int:
        """Ask a process to drain and exit; return its exit code."""
        process = self._processes.pop(name)
        process.terminate()
        return process.wait(_STOP_TIMEOUT_S)

    def pause(self, name: str) -> None:
        """Suspend a process."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a suspended process."""
        self._processes[name].send_signal(signal.SIGCONT)

    def get_pid(self, name: str) -> int:
        """Return the process id."""
        return self._processes[name].pid

    def read_log(self, name: str) -> str:
        """Return the output of a process so far."""
        path = self._folder / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def wait_ready(self, entry: str) -> None:
        """Wait until an entry reports that it is ready."""
        address = self.options.entry[entry].callers

        def is_ready() -> bool:
            try:
                return call(address, "GET", "/health/ready").status == 200
            except (httpcore.NetworkError, httpcore.TimeoutException):
                return False

        count = len(self._processes)
        timeout_s = _READY_TIMEOUT_S + count * _READY_TIMEOUT_S_PER_PROCESS
        wait_until(is_ready, f"{entry} ready", timeout_s)

    def _wait_linked(self, entry: str) -> None:
        """Wait until an entry knows every side and every target.

        An entry selects the claim replicas of a key among the sides that it
        knows, so keyed requests run at most once only from then on.
        """

        def is_linked() -> bool:
            _, shown = self.call_operator_api("GET", "/v1/config", entry=entry)
            _, targets = self.call_operator_api(
                "GET", "/v1/targets", entry=entry
            )
            return len(shown["sides"]) == len(self.options.side) and len(
                targets
            ) == len(self.standins.targets)

        count = len(self._processes)
        timeout_s = _READY_TIMEOUT_S + count * _READY_TIMEOUT_S_PER_PROCESS
        wait_until(is_linked, f"{entry} linked", timeout_s)

    def call_operator_api(
        self, method: str, path: str, document: Any = None, entry: str = ""
    ) -> tuple[int, Any]:
        """Send a request to an entry's operator API.

        :param entry: name of the entry; the first one by default.
        """
        name = entry or next(iter(self.options.entry))
        address = self.options.entry[name].operators
        return call_json(address, method, path, document, self.token)

    def list_status(self, kind: str, entry: str = "") -> list[dict[str, Any]]:
        """Return the rows of one kind of status, such as ``jobs``."""
        status, rows = self.call_operator_api(
            "GET", f"/v1/{kind}", entry=entry
        )
        if status != 200:
            raise RuntimeError(f"{kind}: {rows}")
        return list(rows)

    def wait_for_workers(
        self, count: int, entry: str = "", timeout_s: float = _READY_TIMEOUT_S
    ) -> None:
        """Wait until an entry shows exactly ``count`` workers as up."""

        def all_up() -> bool:
            path = "/v1/workers?status=up"
            status, rows = self.call_operator_api("GET", path, entry=entry)
            return status == 200 and len(rows) == count

        wait_until(all_up, f"{count} workers up", timeout_s)

    def apply_intent(
        self, intent: dict[str, Any], entry: str = ""
    ) -> tuple[int, Any]:
        """Submit an intent and confirm its plan; return the last response."""
        status, plan = self.call_operator_api(
            "POST", "/v1/intents", intent, entry
        )
        if status != 200:
            return status, plan
        return self.call_operator_api(
            "POST", f"/v1/plans/{plan['id']}/confirm", entry=entry
        )

    def read_records(self, address: str) -> Any:
        """Return what a stand-in has recorded."""
        return call_json(address, "GET", "/truth")[1]

    def control_standin(self, address: str, **changes: Any) -> None:
        """Change the faults or the state of a stand-in."""
        status, _ = call_json(address, "POST", "/control", changes)
        if status != 200:
            raise RuntimeError(f"control of {address} failed: status {status}")

    def list_task_runs(self) -> list[dict[str, Any]]:
        """Return a row for each run of a task on any worker."""
        rows = []
        for worker in self.standins.workers:
            for task in self.read_records(worker.address):
                rows.append({"worker": worker.name, **task})
        return rows

    def list_request_runs(self) -> list[dict[str, Any]]:
        """Return a row for each request that any target ran."""
        rows = []
        for target in self.standins.targets:
            for run in self.read_records(target.address)["runs"]:
                rows.append({"target": target.name, **run})
        return rows

    def close(self) -> None:
        """Kill every process that this object started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()
        self._stack.close()

    def _start_standins(self) -> None:
        path = self._folder / "standins.json"
        path.write_text(json.dumps(plain.to_plain(self.standins)))
        command = [sys.executable, "-m", "standins.platform", str(path)]
        self._spawn("standins", command)
        wait_until(
            lambda: "ready" in self.read_log("standins"), "stand-ins ready"
        )

    def _spawn(self, name: str, command: list[str]) -> None:
        path = self._folder / f"{name}.log"
        output = self._stack.enter_context(path.open("ab"))
        self._processes[name] = subprocess.Popen(
            command,
            stdout=output,
            stderr=subprocess.STDOUT,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )


def make_standins_spec(
    fleet: options.FleetOptions, service: str, slots: int = 8
) -> platform.StandinsSpec:
    """Specify a log and, beside each side, a target and a worker.

    A side without a worker's address gets no worker.
    """
    workers: list[platform.WorkerSpec] = []
    for name, side in fleet.side.items():
        in_data_centre = [
            w for w in workers if w.data_centre == side.data_centre
        ]
        rack = (
            f"{side.data_centre}"
            f"-r{len(in_data_centre) // _WORKERS_PER_RACK + 1}"
        )
        if side.worker:
            worker = platform.WorkerSpec(
                name, side.worker, side.announcements, side.data_centre, rack
            )
            workers.append(worker)
    targets = tuple(
        platform.TargetSpec(
            f"{name}-desk",
            service,
            free_address(),
            side.announcements,
            slots,
        )
        for name, side in fleet.side.items()
    )
    return platform.StandinsSpec(fleet.log.address, tuple(workers), targets)


def make_temporary_folder(stack: contextlib.ExitStack) -> str:
    """Create a folder that is removed when the stack closes."""
    return stack.enter_context(tempfile.TemporaryDirectory())
