"""What operators state, and the plans that answer them, as plain typed data.

Shared by the operators' interface, the log's records and the decisions.
Memory is in gigabytes, times are in seconds unless a name ends in ``_ms``,
accelerators are counted.
"""

from typing import Any
from typing import Final
from typing import Literal
from typing import NamedTuple

Level = Literal["accelerator", "pair", "quad", "worker"]
Priority = Literal["urgent", "batch"]
Kind = Literal["account", "job", "stop", "config"]
Decision = Literal["open", "accepted", "refused", "stale"]

MAX_GANG_TASKS: Final = 128

# Accelerators of a cell of each level; a worker cell is a whole worker.
LEVEL_GPUS: Final[dict[str, int]] = {"accelerator": 1, "pair": 2, "quad": 4}


class TaskShape(NamedTuple):
    """What one task of a gang needs."""

    gpus: int
    cores: float
    memory_gb: float


class GangSpec(NamedTuple):
    """A job as its operator states it: a gang of equal tasks.

    :ivar tasks: members of the gang; they run together or not at all.
    :ivar team: team of the account, or empty.
    :ivar declared_s: run time that the operator expects.
    :ivar payload: what the worker is to run; opaque here.
    """

    job: str
    account: str
    data_centre: str
    tasks: int
    shape: TaskShape
    declared_s: float
    priority: Priority = "batch"
    team: str = ""
    payload: str = ""


class Guarantee(NamedTuple):
    """A guaranteed shape: ``cells`` cells of one level, near one another.

    Cells of up to a worker lie in one worker where they fit one; else they
    lie in one rack, else in the fewest racks.
    """

    level: Level
    cells: int


class AccountSpec(NamedTuple):
    """A client account in one data centre.

    :ivar max_gpus: most accelerators in use at once; 0 for no limit.
    :ivar teams: most accelerators in use at once for each team.
    """

    account: str
    data_centre: str
    guarantees: tuple[Guarantee, ...] = ()
    max_gpus: int = 0
    teams: dict[str, int] = {}


class Intent(NamedTuple):
    """What an operator wants; the member of its kind is set.

    :ivar config: a whole configuration document.
    """

    kind: Kind
    account: AccountSpec | None = None
    job: GangSpec | None = None
    stop: str = ""
    config: dict[str, Any] | None = None


class Effect(NamedTuple):
    """One thing that a plan would change."""

    subject: str
    before: str
    after: str


class Plan(NamedTuple):
    """What an intent would change, and what became of the plan.

    :ivar base_version: version of the operators' state behind the plan.
    :ivar refusal: why it can't be done, or empty.
    :ivar forecast: what is expected to follow; not binding.
    :ivar decided_by: operator who confirmed it, or empty.
    :ivar version: version that accepting it made, or 0.
    """

    plan: str
    intent: Intent
    base_version: int
    effects: tuple[Effect, ...]
    refusal: str
    forecast: str
    operator: str
    decision: Decision
    decided_by: str = ""
    version: int = 0


def describe_guarantees(guarantees: tuple[Guarantee, ...]) -> str:
    """Give guaranteed shapes as text, for plans and log lines."""
    if not guarantees:
        return "none"
    return " + ".join(f"{item.cells} {item.level}" for item in guarantees)
