"""Log lines that never block their process."""

import os
import subprocess
import sys

import pytest

from kingcuplever import logs


class FakeClock:
    """Replaces the time module; the test sets the time."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now = 0.0

    def monotonic(self) -> float:
        """Return the time that the test has set."""
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> FakeClock:
    """Give the sinks a clock that does not advance by itself."""
    fake_clock = FakeClock()
    monkeypatch.setattr(logs, "time", fake_clock)
    return fake_clock


def test_full_or_closed_pipe_only_drops_lines(clock: FakeClock) -> None:
    # A sink that blocks would never finish this loop.
    reader, writer = os.pipe()
    sink = logs.BoundedSink(writer)
    for _ in range(1500):
        sink.write("x" * 200 + "\n")
    assert sink.dropped > 0
    os.read(reader, 1 << 20)
    sink.write("after\n")
    assert b"lines dropped" in os.read(reader, 1 << 20)
    os.close(reader)
    sink.write("nobody reads\n")
    assert sink.dropped == 1
    os.close(writer)


def test_rate_of_lines_is_limited(clock: FakeClock) -> None:
    with open(os.devnull, "wb") as out:
        sink = logs.BoundedSink(out.fileno())
        for _ in range(5000):
            sink.write("line\n")
        assert sink.dropped == 3000
        clock.now = 1.0
        sink.write("line\n")
        assert sink.dropped == 0
        for _ in range(1000):
            sink.write("line\n")
        assert sink.dropped == 1000 - 199


def test_each_event_is_one_line() -> None:
    # Guards against an empty line after each event, which doubled the lines
    # that a reader has to take.
    program = (
        "from kingcuplever import logs;"
        "logs.configure('entry-1');"
        "logs.info(logs.Component.OWNER, 'one');"
        "logs.warn(logs.Component.OWNER, 'two')"
    )
    output = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True
    ).stdout.decode()
    assert [line[-11:] for line in output.splitlines()] == [
        " owner: one",
        " owner: two",
    ]
