"""Writes log lines to standard output without blocking.

A line is a short sentence about one event, with the ids, versions and ages
that explain it, after the name of the component.  Lines are dropped if the
reader does not keep up or if they exceed a rate limit; the next line that is
written gives the number of dropped lines.
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
    " {extra[part]}: {message}"
)
# Sustained rate and burst of a process's lines.  The rate costs some
# milliseconds of CPU time; the burst exceeds what a burst of scheduling
# decisions writes.
_LINES_PER_S: Final = 200.0
_BURST_LINES: Final = 2000.0
# Longer lines are truncated: a pipe that polls as writable accepts this much
# in one write without blocking.
_MAX_LINE_BYTES: Final = 4000


class Component(enum.Enum):
    """The components that write log lines; the value names one in a line."""

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
    """Writes lines to a file descriptor, and drops lines instead of blocking.

    :ivar dropped: number of lines dropped since the last one written.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to an open descriptor, which the caller closes."""
        self.dropped = 0
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._tokens = _BURST_LINES
        self._refilled_at = time.monotonic()

    def write(self, message: str) -> None:
        """Write one line, or drop and count it."""
        if not self._try_take_token():
            self.dropped += 1
            return
        data = message.encode(errors="backslashreplace")
        if len(data) > _MAX_LINE_BYTES:
            data = data[: _MAX_LINE_BYTES - 1] + b"\n"
        if self.dropped:
            data = f"({self.dropped} lines dropped)\n".encode() + data
            self.dropped = 0
        try:
            os.write(self._descriptor, data)
        except OSError:
            # The reader has closed the pipe: the failure can't be logged.
            self.dropped += 1

    def _try_take_token(self) -> bool:
        now = time.monotonic()
        refilled = self._tokens + (now - self._refilled_at) * _LINES_PER_S
        self._refilled_at = now
        self._tokens = min(_BURST_LINES, refilled)
        if self._tokens < 1 or not self._poll.poll(0):
            return False
        self._tokens -= 1
        return True


def configure(process: str, level: str = "INFO") -> None:
    """Write log lines to standard output, with the name of the process."""
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


def debug(component: Component, text: str) -> None:
    """Log a line that is only useful for debugging."""
    loguru.logger.bind(part=component.value).debug("{}", text)


def info(component: Component, text: str) -> None:
    """Log a regular event."""
    loguru.logger.bind(part=component.value).info("{}", text)


def warn(component: Component, text: str) -> None:
    """Log an event that an operator should look into."""
    loguru.logger.bind(part=component.value).warning("{}", text)
