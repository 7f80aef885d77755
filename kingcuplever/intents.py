"""Operators' intents and the plans made for them, as plain typed data.

The operators' HTTP interface, the records on the log and the planner share
these classes.  Memory is in gigabytes, times are in seconds unless a name
ends in ``_ms``, and ``gpus`` are numbers of accelerators.
"""

from typing import Any
from typing import Final
from typing import Literal
from typing import NamedTuple

Level = Literal["accelerator", "pair", "quad", "worker"]
Priority = Literal["urgent", "batch"]
Kind = Literal["account", "job", "stop", "config", "evacuation"]
Decision = Literal["open", "accepted", "refused", "stale"]

MAX_GANG_TASKS: Final = 128

# Accelerators per cell of each level.  A cell of level "worker" has as many
# as its worker, so it has no entry.
LEVEL_GPUS: Final[dict[str, int]] = {"accelerator": 1, "pair": 2, "quad": 4}


class TaskShape(NamedTuple):
    """Resources of one task of a gang."""

    gpus: int
    cores: float
    memory_gb: float


class GangSpec(NamedTuple):
    """A job that an operator submits: one gang of equal tasks.

    :ivar tasks: size of the gang; its tasks run together or not at all.
    :ivar declared_s: run time that the operator expects.
    :ivar team: team of the account, or empty.
    :ivar payload: what the worker runs; passed on unread.
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
    """A number of cells of one level that an account is guaranteed.

    Cells that fit into one worker together are bound in one worker; others in
    one rack, or in the fewest racks.
    """

    level: Level
    cells: int


class AccountSpec(NamedTuple):
    """A client account in one data centre.

    :ivar max_gpus: limit of accelerators in use at once; 0 for no limit.
    :ivar teams: the same limit for each team, by name.
    """

    account: str
    data_centre: str
    guarantees: tuple[Guarantee, ...] = ()
    max_gpus: int = 0
    teams: dict[str, int] = {}


class EvacuationSpec(NamedTuple):
    """Whether a data centre is evacuated, so that nothing new starts there.

    :ivar evacuated: false to take an evacuation back.
    """

    data_centre: str
    evacuated: bool = True


class Intent(NamedTuple):
    """A change that an operator requests; the field named as its kind is set.

    :ivar stop: name of a job to stop.
    :ivar config: a complete configuration document.
    """

    kind: Kind
    account: AccountSpec | None = None
    job: GangSpec | None = None
    stop: str = ""
    config: dict[str, Any] | None = None
    evacuation: EvacuationSpec | None = None


class Effect(NamedTuple):
    """One change that a plan makes."""

    subject: str
    before: str
    after: str


class Plan(NamedTuple):
    """The effects of an intent, and the decision on them.

    :ivar plan: name of the plan.
    :ivar base_version: version of the operators' state that the plan changes.
    :ivar refusal: why the intent can't be carried out, or empty.
    :ivar forecast: expected outcome; not binding.
    :ivar operator: operator who stated the intent.
    :ivar decided_by: operator who confirmed the plan, or empty.
    :ivar version: version of the operators' state after the plan was
        accepted, or 0.
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
    """Return guarantees as text, for plans and log lines."""
    if not guarantees:
        return "none"
    return " + ".join(f"{item.cells} {item.level}" for item in guarantees)
