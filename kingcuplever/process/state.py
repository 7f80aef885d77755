"""The replicated state of one data centre's stream, as plain data.

Every entry that follows the stream has the same state after the same
offset.  :mod:`kingcuplever.process.replay` changes it, and nothing else.
"""

from typing import Literal
from typing import NamedTuple

from kingcuplever.process import ledger as ledgers
from kingcuplever import records
from kingcuplever import shapes

Phase = Literal["queued", "running", "stopping", "ended"]
Decision = Literal["open", "accepted", "stale", "refused"]


class BoundShape(NamedTuple):
    """One guaranteed shape and the cells that are kept for it.

    :ivar missing: cells that the fleet can't give at present.
    """

    guarantee: shapes.Guarantee
    cells: tuple[shapes.Cell, ...]
    missing: int


class Account:
    """A client account with its guaranteed shapes.

    :ivar gpus_in_use: accelerators of running attempts.
    :ivar team_gpus: the same for each team.
    """

    def __init__(self, spec: shapes.AccountSpec) -> None:
        """Start without cells and without use."""
        self.spec = spec
        self.bound: list[BoundShape] = []
        self.gpus_in_use = 0
        self.team_gpus: dict[str, int] = {}


class Job:
    """A job and its present attempt.

    :ivar order: offset of the record that accepted it.
    :ivar attempt: number of the present or last attempt; 0 before any.
    :ivar progress: seconds of work that a checkpoint holds.
    :ivar failures: attempts that failed.
    :ivar failed_on: workers on which an attempt failed.
    :ivar outcome: ``done``, ``failed`` or ``stopped`` once ended.
    :ivar started_ms: wall clock of the first commit, 0 before it.
    :ivar committed_ms: wall clock of the present attempt's commit.
    """

    def __init__(
        self, spec: shapes.JobSpec, order: int, submitted_ms: int
    ) -> None:
        """Start in the queue."""
        self.spec = spec
        self.order = order
        self.submitted_ms = submitted_ms
        self.phase: Phase = "queued"
        self.attempt = 0
        self.slots: tuple[shapes.Slot, ...] = ()
        self.borrowed = False
        self.progress = 0.0
        self.failures = 0
        self.failed_on: tuple[str, ...] = ()
        self.evictions = 0
        self.vacate_reason = ""
        self.vacate_cause = ""
        self.stop_wanted = False
        self.outcome = ""
        self.started_ms = 0
        self.committed_ms = 0
        self.ended_ms = 0

    @property
    def gpus(self) -> int:
        """Accelerators of the whole gang."""
        return self.spec.tasks * self.spec.shape.gpus


class PlanState(NamedTuple):
    """A plan and what became of it.

    :ivar decided_at: offset of the confirmation that decided it.
    """

    plan: records.Plan
    decision: Decision
    decided_at: int


class WorkerFacts(NamedTuple):
    """A worker as the log knows it."""

    shape: shapes.WorkerShape
    status: records.WorkerStatus
    reason: str


class Schedule:
    """All that one stream has decided.

    :ivar offset: the next offset to be applied.
    :ivar version: offset after the last record that can change a plan.
    :ivar owner_since: offset of the owner's claim.
    :ivar digest: hash chain over all records so far.
    :ivar dropped: records of a past owner that were left out.
    """

    def __init__(self, data_centre: str) -> None:
        """Start empty."""
        self.data_centre = data_centre
        self.offset = 0
        self.version = 0
        self.epoch = 0
        self.owner = ""
        self.owner_since = 0
        self.digest = ""
        self.dropped = 0
        self.workers: dict[str, WorkerFacts] = {}
        self.accounts: dict[str, Account] = {}
        self.jobs: dict[str, Job] = {}
        self.plans: dict[str, PlanState] = {}
        self.ledger = ledgers.Ledger()
