"""Log lines never block their process."""

import os

import pytest

from kingcuplever import logs


class Clock:
    """Stands in for the time module; the test moves it."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now = 0.0

    def monotonic(self) -> float:
        """Give the time that the test has set."""
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Give the sinks a clock that stands still."""
    standing = Clock()
    monkeypatch.setattr(logs, "time", standing)
    return standing


def test_reader_that_does_not_read_costs_lines_only(clock: Clock) -> None:
    # A sink that blocked would never come to the end of this loop.
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


def test_flood_of_lines_is_bounded(clock: Clock) -> None:
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
