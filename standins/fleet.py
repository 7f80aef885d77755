"""Starts and stops real processes: the product's binary and stand-ins.

Serves the demo, the integration tests and the measurements.  Only processes
that this module started are ever signalled.
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
# Starting a process costs about a second of one core.
_READY_S: Final = 30.0
_READY_S_PER_PROCESS: Final = 1.0
_POLL_S: Final = 0.05
_STOP_S: Final = 20.0
# Below the ports that the kernel gives to outgoing connections.  Each process
# takes blocks for itself, by holding a block's first port.
_FIRST_PORT: Final = 19_000
_BLOCK_PORTS: Final = 100
_BLOCKS: Final = 130
_WORKERS_A_RACK: Final = 3


class _Ports:
    """Ports that no other process of these stand-ins is given."""

    def __init__(self) -> None:
        self._guards: list[socket.socket] = []
        self._ports: Iterator[int] = iter(())

    def next(self) -> int:
        """Give the next port of a block of our own."""
        while True:
            for port in self._ports:
                return port
            first = self._claim_block()
            self._ports = iter(range(first + 1, first + _BLOCK_PORTS))

    def _claim_block(self) -> int:
        for number in range(_BLOCKS):
            block = (os.getpid() + number) % _BLOCKS
            first = _FIRST_PORT + block * _BLOCK_PORTS
            guard = socket.socket()
            try:
                guard.bind(("127.0.0.1", first))
            except OSError:
                guard.close()
                continue
            self._guards.append(guard)
            return first
        raise RuntimeError("All ports for stand-ins are taken.")


_PORTS: Final = _Ports()


def free_port() -> int:
    """Give a TCP port of the loopback that nobody uses."""
    while True:
        port = _PORTS.next()
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def free_address() -> str:
    """Give an address of the loopback that nobody uses."""
    return f"127.0.0.1:{free_port()}"


def wait_until(question: Any, what: str, timeout_s: float = _READY_S) -> Any:
    """Ask again and again until the answer is true; give the answer.

    :raises TimeoutError: naming what did not come about.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        answer = question()
        if answer:
            return answer
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {timeout_s:.0f} s: {what}")
        time.sleep(_POLL_S)


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 20.0,
) -> httpcore.Response:
    """Make one HTTP call on a connection of its own."""
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
    value: Any = None,
    token: str = "",
) -> tuple[int, Any]:
    """Make one HTTP call with JSON both ways."""
    body = b"" if value is None else json.dumps(value).encode()
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    response = call(address, method, path, body, headers)
    return response.status, json.loads(response.content or b"null")


class Fleet:
    """Processes of one deployment and the stand-ins around it.

    :ivar options: the settings that all processes use.
    :ivar plan: what the stand-ins' process runs.
    """

    def __init__(
        self,
        settings: str,
        plan: platform.Plan,
        folder: str,
        settings_of: dict[str, str] | None = None,
    ) -> None:
        """Prepare; nothing runs yet.

        :param settings: path of the settings file.
        :param folder: where logs go.
        :param settings_of: other settings files for single processes.
        """
        self.options = options.load(settings)
        self.plan = plan
        self._settings = settings
        self._settings_of = settings_of or {}
        self._folder = pathlib.Path(folder)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> "Fleet":
        """Start everything and wait until it serves."""
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
        """End everything."""
        self.close()

    @property
    def token(self) -> str:
        """Token of the first operator."""
        return next(iter(self.options.operator_tokens.values()))

    def start(self, name: str) -> None:
        """Start an entry or a side."""
        kind = "entry" if name in self.options.entry else "side"
        settings = self._settings_of.get(name, self._settings)
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
        """End a process at once, without a chance to drain."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str) -> int:
        """Ask a process to drain and end; give its exit code."""
        process = self._processes.pop(name)
        process.terminate()
        return process.wait(_STOP_S)

    def pause(self, name: str) -> None:
        """Freeze a process."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a frozen process go on."""
        self._processes[name].send_signal(signal.SIGCONT)

    def pid(self, name: str) -> int:
        """Give the process id."""
        return self._processes[name].pid

    def log_of(self, name: str) -> str:
        """Give the log lines of a process."""
        path = self._folder / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def wait_ready(self, entry: str) -> None:
        """Wait until an entry serves callers."""
        address = self.options.entry[entry].callers

        def is_ready() -> bool:
            try:
                return call(address, "GET", "/health/ready").status == 200
            except (httpcore.NetworkError, httpcore.TimeoutException):
                return False

        count = len(self._processes)
        timeout_s = _READY_S + count * _READY_S_PER_PROCESS
        wait_until(is_ready, f"{entry} ready", timeout_s)

    def _wait_linked(self, entry: str) -> None:
        """Wait until an entry knows every side and every target.

        Who witnesses a key depends on the sides that an entry knows; what
        is proved of keys holds from then on.
        """

        def is_linked() -> bool:
            _, shown = self.operate("GET", "/v1/config", entry=entry)
            _, targets = self.operate("GET", "/v1/targets", entry=entry)
            return len(shown["sides"]) == len(self.options.side) and len(
                targets
            ) == len(self.plan.targets)

        count = len(self._processes)
        timeout_s = _READY_S + count * _READY_S_PER_PROCESS
        wait_until(is_linked, f"{entry} linked", timeout_s)

    def operate(
        self, method: str, path: str, value: Any = None, entry: str = ""
    ) -> tuple[int, Any]:
        """Call an entry's operators' listener."""
        name = entry or next(iter(self.options.entry))
        address = self.options.entry[name].operators
        return call_json(address, method, path, value, self.token)

    def rows(self, kind: str, entry: str = "") -> list[dict[str, Any]]:
        """Give the rows of one kind of status."""
        status, rows = self.operate("GET", f"/v1/{kind}", entry=entry)
        if status != 200:
            raise RuntimeError(f"{kind}: {rows}")
        return list(rows)

    def wait_for_workers(
        self, count: int, entry: str = "", timeout_s: float = _READY_S
    ) -> None:
        """Wait until the owner has so many workers that are up."""

        def all_up() -> bool:
            path = "/v1/workers?status=up"
            status, rows = self.operate("GET", path, entry=entry)
            return status == 200 and len(rows) == count

        wait_until(all_up, f"{count} workers up", timeout_s)

    def intend(
        self, intent: dict[str, Any], entry: str = ""
    ) -> tuple[int, Any]:
        """State an intent and confirm its plan; give the last answer."""
        status, plan = self.operate("POST", "/v1/intents", intent, entry)
        if status != 200:
            return status, plan
        return self.operate(
            "POST", f"/v1/plans/{plan['id']}/confirm", entry=entry
        )

    def truth(self, address: str) -> Any:
        """Give what a stand-in knows to have happened."""
        return call_json(address, "GET", "/truth")[1]

    def control(self, address: str, **wanted: Any) -> None:
        """Set a stand-in's faults."""
        status, _ = call_json(address, "POST", "/control", wanted)
        if status != 200:
            raise RuntimeError(f"control of {address}: {status}")

    def task_truth(self) -> list[dict[str, Any]]:
        """Give every task that any worker ever ran."""
        found = []
        for worker in self.plan.workers:
            for task in self.truth(worker.address):
                found.append({"worker": worker.name, **task})
        return found

    def run_truth(self) -> list[dict[str, Any]]:
        """Give every request that any target ever ran."""
        found = []
        for target in self.plan.targets:
            for run in self.truth(target.address)["runs"]:
                found.append({"target": target.name, **run})
        return found

    def close(self) -> None:
        """End every process that this object started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()
        self._stack.close()

    def _start_standins(self) -> None:
        path = self._folder / "standins.json"
        path.write_text(json.dumps(plain.to_plain(self.plan)))
        command = [sys.executable, "-m", "standins.platform", str(path)]
        self._spawn("standins", command)
        wait_until(
            lambda: "ready" in self.log_of("standins"), "stand-ins ready"
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


def plan_for(
    fleet: options.FleetOptions, service: str, slots: int = 8
) -> platform.Plan:
    """Give a log, and beside each side a worker and a target."""
    workers: list[platform.WorkerPlan] = []
    for name, side in fleet.side.items():
        here = [w for w in workers if w.data_centre == side.data_centre]
        rack = f"{side.data_centre}-r{len(here) // _WORKERS_A_RACK + 1}"
        if side.worker:
            plan = platform.WorkerPlan(
                name, side.worker, side.announcements, side.data_centre, rack
            )
            workers.append(plan)
    targets = tuple(
        platform.TargetPlan(
            f"{name}-desk",
            service,
            free_address(),
            side.announcements,
            slots,
        )
        for name, side in fleet.side.items()
    )
    return platform.Plan(fleet.log.address, tuple(workers), targets)


def temporary_folder(stack: contextlib.ExitStack) -> str:
    """Make a folder for logs that goes with the stack."""
    return stack.enter_context(tempfile.TemporaryDirectory())
