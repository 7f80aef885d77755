"""What a round of maintenance is: which hosts, how far, and each step."""

import enum
from typing import NamedTuple


class RoundOrder(NamedTuple):
    """What the operator ordered.

    :ivar within_s: time for the whole round.
    """

    number: int
    hosts: tuple[str, ...]
    time_limit_s: float
    max_unavailable: int


class RoundProgress(NamedTuple):
    """How far a round is; this must last.

    :ivar began_ms: time of day.
    :ivar done: hosts that have gone down for it, or left for good.
    """

    number: int
    began_ms: int
    done: tuple[str, ...]
    completed: bool


class Host(NamedTuple):
    """A worker's host as the platform lists it.

    :ivar is_up: neither down nor about to be.
    :ivar life: of the worker on it, or empty.
    """

    name: str
    is_up: bool
    incarnation: str


class TakeDown(NamedTuple):
    """A host that is to go down now."""

    number: int
    host: str


class TakeDownOutcome(enum.Enum):
    """What became of a step."""

    STARTED = "begun"
    BUSY = "busy"
    NOT_PART = "not part of the round"
    UNKNOWN = "no word"
