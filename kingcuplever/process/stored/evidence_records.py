"""The records that show afterwards what was promised and what happened.

The owner writes them in batches to a topic of their own.  Each batch names
the digest of the one before it, so that a change or a gap shows.  A batch's
number chooses its key from a ring, so that the topic keeps the newest ones
and never grows beyond them.
"""

import hashlib
import json
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import keyed_log
from kingcuplever import intents
from kingcuplever import plain

TOPIC: Final = "evidence"
# Batches that are kept: some weeks of a busy fleet's, some tens of MB.
RING_SIZE: Final = 10_000
_DIGEST_DIGITS: Final = 32
ADOPTED_WAIT_MS: Final = -1


class OwnershipClaimed(NamedTuple):
    """An entry became owner of an epoch.

    :ivar before: the newest batch of the epoch before, as :class:`Head`
        gives it as text; empty for the first epoch.
    """

    epoch: int
    entry: str
    before: str


class WorkerSeen(NamedTuple):
    """A worker is here, with so many accelerators."""

    worker: str
    gpus: int


class CellsBound(NamedTuple):
    """The cells that are kept for an account from now on.

    :ivar workers: worker of each cell.
    :ivar gpus: accelerators of each cell.
    :ivar missing: cells that no usable worker has.
    """

    account: str
    data_centre: str
    workers: tuple[str, ...]
    gpus: tuple[int, ...]
    missing: int


class PlanAccepted(NamedTuple):
    """An operator's plan was accepted.

    :ivar subject: the job or the account, or empty.
    :ivar version: version of the operators' state that it made.
    """

    plan: str
    kind: str
    subject: str
    operator: str
    version: int


class JobAccepted(NamedTuple):
    """A job was taken up.

    :ivar plan: the operator's plan, or empty for a job of a queue.
    """

    job: str
    account: str
    queue: str
    plan: str


class GroupPlaced(NamedTuple):
    """All tasks of a group were given to workers.

    :ivar group: name of its first task.
    :ivar tasks: how many tasks work only together.
    :ivar gpus: accelerators of each task.
    :ivar waited_ms: since it could start; ``ADOPTED`` for a run that an
        owner has taken over from the one before.
    """

    job: str
    group: str
    run: int
    tasks: int
    gpus: int
    workers: tuple[str, ...]
    waited_ms: int


class CapacityReclaimed(NamedTuple):
    """Borrowers were stopped so that a group can have what is promised.

    :ivar entitled: whether a guarantee covers the group.
    :ivar victims: names of the groups that were stopped.
    """

    group: str
    account: str
    entitled: bool
    victims: tuple[str, ...]


class TaskEnded(NamedTuple):
    """A task of a group's run is on its worker no more.

    :ivar left: tasks of the run that are still on workers.
    :ivar outcome: ``done``, or why it came to nothing.
    """

    group: str
    run: int
    worker: str
    left: int
    outcome: str


class JobEnded(NamedTuple):
    """A job is over."""

    job: str
    state: str
    reason: str


Body = (
    OwnershipClaimed
    | WorkerSeen
    | CellsBound
    | PlanAccepted
    | JobAccepted
    | GroupPlaced
    | CapacityReclaimed
    | TaskEnded
    | JobEnded
)

_KINDS: Final[dict[str, type[Any]]] = {
    "claimed": OwnershipClaimed,
    "worker": WorkerSeen,
    "bound": CellsBound,
    "decided": PlanAccepted,
    "taken": JobAccepted,
    "placed": GroupPlaced,
    "reclaimed": CapacityReclaimed,
    "vacated": TaskEnded,
    "over": JobEnded,
}
_KIND_OF: Final = {body: kind for kind, body in _KINDS.items()}


class Row(NamedTuple):
    """One thing that happened.

    :ivar at_ms: the owner's time of day.
    """

    at_ms: int
    body: Body


class Head(NamedTuple):
    """Names a batch and all before it.

    :ivar digest: chained digest, as hexadecimal digits.
    """

    number: int
    digest: str

    def __str__(self) -> str:
        """Give the head as text."""
        return f"{self.number}:{self.digest}"


EMPTY_HEAD: Final = Head(0, "")


class Batch(NamedTuple):
    """Rows that were written together.

    :ivar after: digest of the batch before it in its epoch.
    """

    number: int
    epoch: int
    after: str
    rows: tuple[Row, ...]


def make_plan_accepted(plan: intents.Plan) -> PlanAccepted:
    """Give the evidence of an accepted plan."""
    intent = plan.intent
    subject = intent.stop
    if intent.account is not None:
        subject = f"{intent.account.data_centre}/{intent.account.account}"
    elif intent.job is not None:
        subject = intent.job.job
    return PlanAccepted(
        plan.plan, intent.kind, subject, plan.decided_by, plan.version
    )


def parse_head(text: str) -> Head:
    """Read a head from text; anything else is the start."""
    number, _, digest = text.partition(":")
    return Head(int(number), digest) if number.isdecimal() else EMPTY_HEAD


def encode_batch(batch: Batch) -> keyed_log.KeyedRecord:
    """Make the record of a batch."""
    value = {
        "number": batch.number,
        "epoch": batch.epoch,
        "after": batch.after,
        "rows": [
            [_KIND_OF[type(row.body)], row.at_ms, *row.body]
            for row in batch.rows
        ],
    }
    data = json.dumps(value, separators=(",", ":")).encode()
    return keyed_log.KeyedRecord(str(batch.number % RING_SIZE), data)


def compute_digest(value: bytes) -> str:
    """Give the digest of a batch as it lies on the log."""
    return hashlib.sha256(value).hexdigest()[:_DIGEST_DIGITS]


def decode_batch(value: bytes) -> Batch:
    """Read a batch.

    :raises plain.FaultyValue: if it is none.
    """
    try:
        document = json.loads(value)
        rows = tuple(_read_row(row) for row in document["rows"])
        return Batch(
            int(document["number"]),
            int(document["epoch"]),
            str(document["after"]),
            rows,
        )
    except plain.ValidationError:
        raise
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        fault = plain.Fault("batch", repr(value[:60]), "a batch of evidence")
        raise plain.ValidationError([fault]) from error


def _read_row(row: list[Any]) -> Row:
    kind, at_ms, *values = row
    body = _KINDS[kind]
    document = dict(zip(body._fields, values, strict=True))
    return Row(int(at_ms), plain.from_plain(body, document, kind))
