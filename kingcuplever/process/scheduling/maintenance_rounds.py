"""Data types of maintenance rounds: orders, progress, hosts, outcomes."""

import enum
from typing import NamedTuple


class RoundOrder(NamedTuple):
    """An operator's order to take hosts down for maintenance.

    :ivar number: identifies the round.
    :ivar time_limit_s: time for the whole round, in seconds.
    :ivar max_unavailable: most hosts that may be down at a time.
    """

    number: int
    hosts: tuple[str, ...]
    time_limit_s: float
    max_unavailable: int


class RoundProgress(NamedTuple):
    """The progress of a round, as stored on the log.

    :ivar began_ms: wall-clock time when the round began.
    :ivar done: hosts that were taken down, or are not part of the round.
    :ivar requested: hosts whose take-down was requested and is not done.
    """

    number: int
    began_ms: int
    done: tuple[str, ...]
    completed: bool
    requested: tuple[str, ...] = ()


class Host(NamedTuple):
    """A worker's host as the platform lists it.

    :ivar is_up: neither down nor about to go down.
    :ivar worker_id: id of the worker on it, or empty.
    """

    name: str
    is_up: bool
    worker_id: str


class TakeDown(NamedTuple):
    """A host to take down now.

    :ivar number: the round's number.
    """

    number: int
    host: str


class TakeDownOutcome(enum.Enum):
    """The outcome of a take-down; ``UNKNOWN`` if it may still happen."""

    STARTED = "begun"
    BUSY = "busy"
    NOT_PART = "not part of the round"
    UNKNOWN = "no word"
