"""Shapes of work and of machines, as plain typed data.

Shared by intents, log records and decisions.  Memory is in gigabytes, times
are in seconds unless a name ends in ``_ms``, accelerators are counted.
"""

from typing import Final
from typing import Literal
from typing import NamedTuple

Level = Literal["accelerator", "pair", "quad", "worker"]
Priority = Literal["urgent", "batch"]

MAX_GANG_TASKS: Final = 128

# Accelerators of a cell of each level; a worker cell is a whole worker.
LEVEL_GPUS: Final[dict[str, int]] = {"accelerator": 1, "pair": 2, "quad": 4}


class TaskShape(NamedTuple):
    """What one task of a gang needs."""

    gpus: int
    cores: float
    memory_gb: float


class JobSpec(NamedTuple):
    """A job as its operator states it.

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
    """A guaranteed shape: ``cells`` adjacent cells of one level.

    Adjacent cells of up to a worker lie in one worker where they fit one;
    workers lie in one rack where they fit one, else in neighbouring racks.
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


class WorkerShape(NamedTuple):
    """A worker and its place."""

    worker: str
    rack: str
    cores: float
    memory_gb: float
    gpus: int


class Slot(NamedTuple):
    """Where one task runs.

    :ivar gpu_mask: one bit for each accelerator of the worker.
    """

    worker: str
    gpu_mask: int


class Cell(NamedTuple):
    """An aligned block of accelerators of one worker."""

    worker: str
    gpu_mask: int


def gpu_count(mask: int) -> int:
    """Count the accelerators of a mask."""
    return mask.bit_count()


def describe_guarantees(guarantees: tuple[Guarantee, ...]) -> str:
    """Give guaranteed shapes as text, for plans and log lines."""
    if not guarantees:
        return "none"
    return " + ".join(f"{item.cells} {item.level}" for item in guarantees)
