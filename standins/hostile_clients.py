"""Clients that keep to no limit, in a process of their own.

    python -m standins.hostile_clients FORM,... HEADERS ADDRESS|PATH|COUNT ...

Each client connects, misbehaves until its connection is closed, and connects
again.  They end with a line of input, and print what they saw as JSON.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import itertools
import json
import re
import subprocess
import sys
from types import TracebackType
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import Self

import trio

BODY_BYTES: Final = 262_144
_SHORT_BY_BYTES: Final = 144
_PAUSE_S: Final = 0.5
_START_TIMEOUT_S: Final = 5.0
_CONNECTS_AT_ONCE: Final = 50
_STATUS: Final = re.compile(rb"HTTP/1\.1 (\d\d\d) ")


class Target(NamedTuple):
    """Where some clients of a crowd go.

    :ivar path: prefix of their paths, or a path.
    """

    address: str
    path: str
    clients: int


class Outcome(NamedTuple):
    """What a crowd saw.

    :ivar answers: number of answers by status.
    :ivar jobs: status of each job by its name; 0 without an answer.
    :ivar connects: number of connections that were opened.
    :ivar untrue: answers that refuse without saying that nothing ran.
    """

    answers: dict[str, int]
    jobs: dict[str, int]
    connects: int
    untrue: list[str]


class Crowd:
    """A crowd that runs while the ``with`` body does.

    :ivar outcome: what it saw, once it has ended.
    """

    def __init__(
        self,
        forms: Sequence[str],
        targets: Sequence[Target],
        headers: str = "",
    ) -> None:
        """Describe the crowd.

        :param targets: where the clients of each form go.
        :param headers: more header lines, each with its line end.
        """
        rows = [f"{address}|{path}|{n}" for address, path, n in targets]
        self._arguments = [",".join(forms), headers, *rows]
        self.outcome = Outcome({}, {}, 0, [])

    def __enter__(self) -> Self:
        """Start the clients' process; wait until half of them are there."""
        command = [sys.executable, "-m", "standins.hostile_clients"]
        self._process = subprocess.Popen(
            [*command, *self._arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self._process.stdout is not None
        self._process.stdout.readline()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the clients; read what they saw."""
        output, _ = self._process.communicate("stop\n", timeout=20)
        self.outcome = Outcome(**json.loads(output))


class _Clients:
    """The clients of one target."""

    def __init__(
        self, form: str, number: int, target: Target, headers: str
    ) -> None:
        self._form = form
        self._number = number
        self.answers: collections.Counter[str] = collections.Counter()
        self.jobs: dict[str, int] = {}
        self.connects = 0
        self.untrue: list[str] = []
        self._host, _, port = target.address.rpartition(":")
        self._port = int(port)
        self._path = target.path
        self.count = target.clients
        # A job's name follows a prefix; other paths are no queues.
        self.hands_in_jobs = target.path.endswith("/")
        self._headers = headers
        self._connecting = trio.CapacityLimiter(_CONNECTS_AT_ONCE)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(self.count):
                nursery.start_soon(self._run_client, FORMS[self._form], number)

    def make_post(self, job: str, framing: str, length: int = 0) -> bytes:
        if framing == "length":
            framing = f"Content-Length: {length}"
        return (
            f"POST {self._path}{job} HTTP/1.1\r\nHost: jobs.example\r\n"
            f"{self._headers}{framing}\r\n\r\n"
        ).encode()

    def make_get(self) -> bytes:
        return (
            f"GET {self._path} HTTP/1.1\r\nHost: jobs.example\r\n"
            f"{self._headers}\r\n"
        ).encode()

    async def read(self, stream: trio.SocketStream, job: str = "") -> None:
        """Read until the connection ends; record the answers."""
        data = b""
        try:
            while part := await stream.receive_some(4096):
                data += part
        except trio.BrokenResourceError:
            return
        finally:
            starts = [match.start() for match in _STATUS.finditer(data)]
            for start, end in zip(starts, [*starts[1:], len(data)]):
                self._record(data[start:end], job)

    def _record(self, answer: bytes, job: str) -> None:
        status = answer[9:12].decode()
        self.answers[status] += 1
        if job:
            self.jobs[job] = int(status)
        is_true = b'"run":"not-run"' in answer or b"length: 0" in answer
        if status[0] in "45" and not is_true:
            self.untrue.append(answer[:300].decode("latin-1"))

    async def _run_client(
        self,
        form: Callable[["_Clients", trio.SocketStream, str], Awaitable[None]],
        number: int,
    ) -> None:
        for attempt in range(10_000):
            job = f"{self._number:04x}{number:04x}{attempt:08x}"
            try:
                async with self._connecting:
                    stream = await trio.open_tcp_stream(self._host, self._port)
                    self.connects += 1
                async with stream:
                    await form(self, stream, job)
            except (OSError, trio.BrokenResourceError):
                self.answers["closed"] += 1
            await trio.sleep(_PAUSE_S)


async def _stop_short(
    clients: _Clients, stream: trio.SocketStream, job: str
) -> None:
    clients.jobs[job] = 0
    body = b" " * (BODY_BYTES - _SHORT_BY_BYTES)
    await stream.send_all(clients.make_post(job, "length", BODY_BYTES) + body)
    await clients.read(stream, job)


async def _send_pieces(
    clients: _Clients, stream: trio.SocketStream, job: str
) -> None:
    clients.jobs[job] = 0
    await stream.send_all(clients.make_post(job, "length", BODY_BYTES))
    for _ in range(BODY_BYTES // 1000):
        await stream.send_all(b" " * 1000)
        await trio.sleep(0)
    await clients.read(stream, job)


async def _send_chunks(
    clients: _Clients, stream: trio.SocketStream, job: str
) -> None:
    clients.jobs[job] = 0
    framing = "Transfer-Encoding: chunked"
    await stream.send_all(clients.make_post(job, framing))
    chunk = b"%x\r\n%b\r\n" % (4000, b" " * 4000)
    for _ in range(BODY_BYTES // 4000):
        await stream.send_all(chunk)
    await clients.read(stream, job)


async def _send_excess(
    clients: _Clients, stream: trio.SocketStream, job: str
) -> None:
    clients.jobs[job] = 0
    length = 256 * BODY_BYTES
    await stream.send_all(clients.make_post(job, "length", length))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(clients.read, stream, job)
        with contextlib.suppress(trio.BrokenResourceError):
            for _ in range(256):
                await stream.send_all(b" " * BODY_BYTES)
        nursery.cancel_scope.cancel()


async def _send_fields(
    clients: _Clients, stream: trio.SocketStream, job: str
) -> None:
    body = b"{" + b'"":"",' * 40_000 + b'"":""}'
    await stream.send_all(clients.make_post(job, "length", len(body)) + body)
    await clients.read(stream, job)


async def _send_headers(
    clients: _Clients, stream: trio.SocketStream, job: str
) -> None:
    await stream.send_all(clients.make_get()[:-2] + b"a:\r\n" * 3900 + b"\r\n")
    await clients.read(stream)


async def _send_ahead(
    clients: _Clients, stream: trio.SocketStream, job: str
) -> None:
    while True:
        await stream.send_all(clients.make_get() * 100)


async def _trickle(
    clients: _Clients, stream: trio.SocketStream, job: str
) -> None:
    for byte in clients.make_post(job, "length", BODY_BYTES) + b" " * 1000:
        await stream.send_all(bytes([byte]))
        await trio.sleep(0.2)


async def _read_slowly(
    clients: _Clients, stream: trio.SocketStream, job: str
) -> None:
    await stream.send_all(clients.make_get() * 1000)
    while await stream.receive_some(1):
        await trio.sleep(0.2)


async def _stop_half_way(
    clients: _Clients, stream: trio.SocketStream, job: str
) -> None:
    await stream.send_all(clients.make_get()[: int(job[4:8], 16) % 30])
    await clients.read(stream)


async def _hand_in(
    clients: _Clients, stream: trio.SocketStream, job: str
) -> None:
    """Hand in a job that is legal, padded to the largest size."""
    clients.jobs[job] = 0
    step = {"Count": 1, "Cpu": 1, "MemMb": 1, "EstRuntimeMs": 50}
    document = {"Spec": '{"seconds": 0.05}', "Steps": [step]}
    body = json.dumps(document).encode().ljust(BODY_BYTES)
    await stream.send_all(clients.make_post(job, "length", len(body)) + body)
    with trio.move_on_after(3):
        await clients.read(stream, job)
    await trio.sleep(2)


FORMS: Final[dict[str, Any]] = {
    "stop-short": _stop_short,
    "pieces": _send_pieces,
    "chunks": _send_chunks,
    "excess": _send_excess,
    "fields": _send_fields,
    "headers": _send_headers,
    "ahead": _send_ahead,
    "trickle": _trickle,
    "slow-read": _read_slowly,
    "half-way": _stop_half_way,
    "hand-in": _hand_in,
}


async def _run(groups: Sequence[_Clients]) -> None:
    async with trio.open_nursery() as nursery:
        for clients in groups:
            nursery.start_soon(clients.run)
        with trio.move_on_after(_START_TIMEOUT_S):
            while any(group.connects < group.count / 2 for group in groups):
                await trio.sleep(_PAUSE_S / 10)
        print("started", flush=True)
        await trio.to_thread.run_sync(
            sys.stdin.readline, abandon_on_cancel=True
        )
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run the crowd that the arguments name until a line is read."""
    forms, headers, *rows = sys.argv[1:]
    groups: list[_Clients] = []
    for form, row in itertools.product(forms.split(","), rows):
        address, path, count = row.split("|")
        target = Target(address, path, int(count))
        groups.append(_Clients(form, len(groups), target, headers))
    trio.run(_run, groups)
    outcome = Outcome({}, {}, 0, [])
    answers: collections.Counter[str] = collections.Counter()
    for clients in groups:
        answers += clients.answers
        if clients.hands_in_jobs:
            outcome.jobs.update(clients.jobs)
        outcome.untrue.extend(clients.untrue[:5])
    connects = sum(clients.connects for clients in groups)
    outcome = outcome._replace(answers=answers, connects=connects)
    print(json.dumps(outcome._asdict()))


if __name__ == "__main__":
    main()
