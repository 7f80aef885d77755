"""Log lines: short sentences on standard error, a fixed prefix per part."""

import enum
import sys
from typing import Final

import loguru

_FORMAT: Final = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS}Z {level: <7} {extra[process]}"
    " {extra[part]}: {message}"
)


class Part(enum.Enum):
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


def set_up(process: str, level: str = "INFO") -> None:
    """Send log lines to standard error, marked with the process's name."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"process": process, "part": "-"})
    loguru.logger.add(
        sys.stderr,
        format=_FORMAT,
        level=level,
        backtrace=False,
        diagnose=False,
    )


def info(part: Part, text: str) -> None:
    """Write one line of a part."""
    loguru.logger.bind(part=part.value).info("{}", text)


def warn(part: Part, text: str) -> None:
    """Write one line about something that an operator should see."""
    loguru.logger.bind(part=part.value).warning("{}", text)
