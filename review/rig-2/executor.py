"""A stand-in for one executor, as a process of its own.

It follows PROTOCOL.md: it registers at its side's ``Control`` address, runs
tasks under leases on its own clock, and lists ends until they are
acknowledged.  A task's ``Spec`` says what it does:

* ``{"seconds": 5}`` ends as done after so long;
* ``{"seconds": 1, "most": 9}`` ends after 1 to 9 s, by the task's number;
* ``{"lasts": true}`` runs until it is stopped, and is at work after a second;
* ``"advised": true`` beside either needs a valid ticket.

Each event that the judge needs is one line of JSON in a file.
"""

import argparse
import http.client
import http.server
import json
import threading
import time
from typing import Any

# A task that lasts is at work, at 100 percent, after this startup.
STARTUP_S = 1.0
TICK_S = 0.02
# The fraction of the golden ratio spreads numbers evenly.
SPREAD_STEP = 0.618034
MAX_LISTED_ENDS = 500
CALL_TIMEOUT_S = 1.0


class Task:
    """One run."""

    def __init__(self, name: str, run: int, spec: dict[str, Any]) -> None:
        """Begin to work at once."""
        self.run = run
        self.lasts = bool(spec.get("lasts"))
        self.seconds = float(spec.get("seconds", STARTUP_S))
        spread_s = max(0.0, float(spec.get("most", 0)) - self.seconds)
        number = int(name.rpartition(".")[2])
        self.seconds += spread_s * (number * SPREAD_STEP % 1.0)
        self.began_at = time.monotonic()

    @property
    def percent(self) -> int:
        """Progress; a task that lasts stays at 100."""
        done_s = time.monotonic() - self.began_at
        return min(100, int(100 * done_s / self.seconds))


class Executor:
    """One incarnation."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Start with nothing running and an expired lease."""
        self.options = options
        self.changed = threading.Condition()
        self.running: dict[str, Task] = {}
        self._started_at = time.monotonic()
        self._fence = 0
        self._lease_end_ms = 0
        self._ends: list[list[Any]] = []
        self._end_number = 0
        self._closed: dict[str, int] = {}
        self._events = open(options.events, "a", encoding="utf-8")
        self.is_draining = False

    def record(self, event: str, **fields: Any) -> None:
        """Write one event."""
        row = {"at": time.time(), "executor": self.options.id}
        row |= {"event": event, **fields}
        self._events.write(json.dumps(row) + "\n")
        self._events.flush()

    def clock_ms(self) -> int:
        """Read the executor's own steady clock."""
        return int((time.monotonic() - self._started_at) * 1000)

    def handle(
        self, path: str, expected: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Answer one call of the side."""
        with self.changed:
            status, document = self._dispatch(path, expected, body)
            document["ClockMs"] = self.clock_ms()
            return status, document

    def _dispatch(
        self, path: str, expected: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if expected and expected != self.options.id:
            return 421, {}
        fence = body.get("Fence", 0)
        if fence < self._fence:
            return 409, {"Reason": "fence"}
        self._fence = fence
        self.end_due_tasks()
        if path == "/hold":
            return self._hold(body)
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            return self._stop(body)
        if path == "/pace":
            return 200, {}
        return 404, {}

    def _extend_lease(self, body: dict[str, Any]) -> None:
        most = self.clock_ms() + self.options.hold_max_ms
        end_ms = min(body.get("UntilMs", 0), most)
        self._lease_end_ms = max(self._lease_end_ms, end_ms)

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        name, run = body["Task"], body["Run"]
        known = self.running.get(name)
        if known is not None and known.run == run:
            self._extend_lease(body)
            return 200, {}
        if body.get("UntilMs", 0) <= self.clock_ms():
            return 409, {"Reason": "late"}
        if run <= self._closed.get(name, 0):
            self._extend_lease(body)
            return 409, {"Reason": "old"}
        spec = json.loads(body["Spec"])
        ticket = f"ticket {name.rpartition('.')[0]} {self.options.id}"
        if spec.get("advised") and body.get("Ticket", "") != ticket:
            return 409, {"Reason": "ticket"}
        self._extend_lease(body)
        self.running[name] = Task(name, run, spec)
        self.record("start", task=name, run=run, fence=body.get("Fence", 0))
        return 200, {}

    def _stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        name, run = body["Task"], body["Run"]
        known = self.running.get(name)
        if known is not None and known.run <= run:
            self._end(name, "stopped")
        self._closed[name] = max(run, self._closed.get(name, 0))
        return 200, {}

    def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self._extend_lease(body)
        acked = body.get("AckedUpto", 0)
        for row in self._ends:
            if row[0] <= acked:
                self.record("acked", task=row[1], run=row[2], how=row[3])
        self._ends = [row for row in self._ends if row[0] > acked]
        deadline = time.monotonic() + body.get("WaitMs", 0) / 1000
        while not self._ends and time.monotonic() < deadline:
            self.changed.wait(deadline - time.monotonic())
        running = [
            [name, task.run, "", task.percent, 0]
            for name, task in self.running.items()
        ]
        ended = self._ends[:MAX_LISTED_ENDS]
        return 200, {"Running": running, "Ended": ended}

    def _end(self, name: str, how: str) -> None:
        task = self.running.pop(name)
        self._closed[name] = max(task.run, self._closed.get(name, 0))
        self._end_number += 1
        self._ends.append([self._end_number, name, task.run, how, ""])
        self.record("end", task=name, run=task.run, how=how)
        self.changed.notify_all()

    def end_due_tasks(self) -> None:
        """End what is done, or whose lease has expired."""
        lapsed = self.clock_ms() > self._lease_end_ms
        for name, task in list(self.running.items()):
            if lapsed:
                self._end(name, "lapsed")
            elif not task.lasts and task.percent >= 100:
                self._end(name, "done")

    def describe(self, sequence: int) -> dict[str, Any]:
        """Return the body of a heartbeat."""
        return {
            "Service": self.options.service,
            "Address": self.options.listen,
            "Zone": self.options.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "draining" if self.is_draining else "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": 128_000, "MemMb": 262_144, "Gpu": 8},
            "Labels": ["a", self.options.rack],
            "ClockMs": self.clock_ms(),
            "Seq": sequence,
        }


def send_heartbeats(executor: Executor) -> None:
    """Register at the side, over and over."""
    options = executor.options
    host, _, port = options.control.partition(":")
    sequence = 0
    while True:
        sequence += 1
        body = json.dumps(executor.describe(sequence))
        connection = http.client.HTTPConnection(
            host, int(port), timeout=CALL_TIMEOUT_S
        )
        pause_s = options.heartbeat_ms / 1000
        try:
            connection.request("PUT", f"/instances/{options.id}", body)
            if connection.getresponse().status == 200:
                executor.record("heartbeat acked")
            else:
                pause_s = 0.3
        except (OSError, http.client.HTTPException):
            # The side is not up; a heartbeat that failed is sent again soon.
            pause_s = 0.3
        finally:
            connection.close()
        time.sleep(pause_s)


def make_handler(executor: Executor) -> type:
    """Make the class that answers the side's calls."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_POST(self) -> None:
            length = int(self.headers.get("Content-Length", "0"))
            body = json.loads(self.rfile.read(length) or b"{}")
            expected = self.headers.get("X-Kingcuplever-Expect-Instance", "")
            status, document = executor.handle(self.path, expected, body)
            data = json.dumps(document).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *_: Any) -> None:
            """Write no line for each call."""

    return Handler


class Server(http.server.ThreadingHTTPServer):
    """Listens at the executor's address, also right after a former one."""

    daemon_threads = True
    allow_reuse_address = True


def main() -> None:
    """Run until killed."""
    parser = argparse.ArgumentParser()
    for name in ("id", "listen", "control", "service", "zone", "rack"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--events", required=True)
    parser.add_argument("--hold-max-ms", type=int, required=True)
    parser.add_argument("--heartbeat-ms", type=int, required=True)
    options = parser.parse_args()
    executor = Executor(options)
    host, _, port = options.listen.partition(":")
    server = Server((host, int(port)), make_handler(executor))
    threading.Thread(target=server.serve_forever, daemon=True).start()
    threading.Thread(
        target=send_heartbeats, args=(executor,), daemon=True
    ).start()
    executor.record("up")
    while True:
        time.sleep(TICK_S)
        with executor.changed:
            executor.end_due_tasks()


if __name__ == "__main__":
    main()
