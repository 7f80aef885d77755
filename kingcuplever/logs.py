"""Log lines on standard output: one line an event, a fixed prefix per part.

A line is a short sentence that names the ids, versions and ages it was
decided on.  Writing never blocks: a reader that does not keep up, or a flood
of lines, costs lines, and the next line that gets through says how many.
"""

import enum
import os
import select
import sys
import time
from typing import Final

import loguru

_FORMAT: Final = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS}Z {level: <7} {extra[process]}"
    " {extra[part]}: {message}\n"
)
# Lines a second that a process writes in the long run, and at once: some
# milliseconds of processor time, and more than a burst of decisions.
_LINES_PER_S: Final = 200.0
_BURST_LINES: Final = 2000.0
# A pipe that is ready takes this much in one piece.
_MAX_LINE_BYTES: Final = 4000


class Component(enum.Enum):
    """The parts that write log lines; the value is the line's prefix."""

    PROCESS = "process"
    ROUTE = "route"
    PLACE = "place"
    GANG = "gang"
    OWNER = "owner"
    CONFIG = "config"
    MEMBER = "member"
    TASK = "task"
    PLAN = "plan"
    LOG = "log"


class BoundedSink:
    """Writes lines to a file descriptor, and drops what it can't take.

    :ivar dropped: lines that were dropped since the last one written.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to an open descriptor, which stays the caller's."""
        self.dropped = 0
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._tokens = _BURST_LINES
        self._refilled_at = time.monotonic()

    def write(self, message: str) -> None:
        """Write one line, or count it as dropped."""
        if not self._may_write():
            self.dropped += 1
            return
        data = message.encode()
        if len(data) > _MAX_LINE_BYTES:
            data = data[: _MAX_LINE_BYTES - 1] + b"\n"
        if self.dropped:
            data = f"({self.dropped} lines dropped)\n".encode() + data
            self.dropped = 0
        try:
            os.write(self._descriptor, data)
        except OSError:
            # Nobody reads any more; there is nowhere left to say so.
            self.dropped += 1

    def _may_write(self) -> bool:
        now = time.monotonic()
        filled = self._tokens + (now - self._refilled_at) * _LINES_PER_S
        self._refilled_at = now
        self._tokens = min(_BURST_LINES, filled)
        if self._tokens < 1 or not self._poll.poll(0):
            return False
        self._tokens -= 1
        return True


def configure(process: str, level: str = "INFO") -> None:
    """Send log lines to standard output, marked with the process's name."""
    sink = BoundedSink(sys.stdout.fileno())
    loguru.logger.remove()
    loguru.logger.configure(extra={"process": process, "part": "-"})
    loguru.logger.add(
        sink.write,
        format=_FORMAT,
        level=level,
        backtrace=False,
        diagnose=False,
    )


def debug(part: Component, text: str) -> None:
    """Write a line that only a search for a fault needs."""
    loguru.logger.bind(part=part.value).debug("{}", text)


def info(part: Component, text: str) -> None:
    """Write one line of a part."""
    loguru.logger.bind(part=part.value).info("{}", text)


def warn(part: Component, text: str) -> None:
    """Write one line about something that an operator should see."""
    loguru.logger.bind(part=part.value).warning("{}", text)
