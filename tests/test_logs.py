"""Log lines never block their process."""

import os
import time

from kingcuplever import logs


def test_reader_that_does_not_read_costs_lines_only() -> None:
    reader, writer = os.pipe()
    sink = logs.BoundedSink(writer)
    began_at = time.monotonic()
    for _ in range(1500):
        sink.write("x" * 200 + "\n")
    assert time.monotonic() - began_at < 5.0
    assert sink.dropped > 0
    os.read(reader, 1 << 20)
    sink.write("after\n")
    assert b"lines dropped" in os.read(reader, 1 << 20)
    os.close(reader)
    sink.write("nobody reads\n")
    assert sink.dropped == 1
    os.close(writer)


def test_flood_of_lines_is_bounded() -> None:
    with open(os.devnull, "wb") as out:
        sink = logs.BoundedSink(out.fileno())
        for _ in range(5000):
            sink.write("line\n")
        assert 2000 < sink.dropped < 3100
