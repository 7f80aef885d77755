"""Encodes the audit evidence of what was promised and what happened.

The owner appends it in batches to a topic of its own.  Each batch contains
the digest of the previous one (a hash chain), so that a changed or missing
batch can be detected.  Keys are reused as in a ring buffer, so that the topic
keeps the newest batches only.
"""

import hashlib
import json
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import keyed_log
from kingcuplever import intents
from kingcuplever import lenient_json
from kingcuplever import plain

TOPIC: Final = "evidence"
# Batches on the topic: several weeks of a busy fleet, some tens of MB.
RING_SIZE: Final = 10_000
_DIGEST_DIGITS: Final = 32
# ``GroupPlaced.waited_ms`` of a run that an owner took over.
ADOPTED_WAIT_MS: Final = -1


class OwnershipClaimed(NamedTuple):
    """An entry became owner of an epoch.

    :ivar before: head of the previous epoch's chain, a :class:`Head` as
        text; empty for the first epoch.
    """

    epoch: int
    entry: str
    before: str


class WorkerSeen(NamedTuple):
    """A worker reported to the owner, with its number of accelerators."""

    worker: str
    gpus: int


class CellsBound(NamedTuple):
    """The cells of an account's guarantees were bound anew.

    :ivar workers: worker of each cell.
    :ivar gpus: accelerators of each cell.
    :ivar missing: guaranteed cells for which no usable worker has room.
    """

    account: str
    data_centre: str
    workers: tuple[str, ...]
    gpus: tuple[int, ...]
    missing: int


class PlanAccepted(NamedTuple):
    """An operator's plan was accepted.

    :ivar kind: kind of the intent.
    :ivar subject: the job, or ``DATA_CENTRE/ACCOUNT``, or empty.
    :ivar operator: operator who confirmed the plan.
    :ivar version: version of the operators' state that the acceptance made.
    """

    plan: str
    kind: str
    subject: str
    operator: str
    version: int


class JobAccepted(NamedTuple):
    """The scheduler accepted a job.

    :ivar plan: the operator's plan, or empty for a job of a queue.
    """

    job: str
    account: str
    queue: str
    plan: str


class GroupPlaced(NamedTuple):
    """All tasks of a group were assigned to workers.

    :ivar group: name of the group's first task.
    :ivar run: number of the group's run.
    :ivar tasks: number of tasks in the group.
    :ivar gpus: accelerators of each task.
    :ivar workers: worker of each task.
    :ivar waited_ms: time since the group was ready; ``ADOPTED_WAIT_MS`` for
        a run that was taken over from the previous owner.
    """

    job: str
    group: str
    run: int
    tasks: int
    gpus: int
    workers: tuple[str, ...]
    waited_ms: int


class CapacityReclaimed(NamedTuple):
    """Groups were stopped so that another group can be placed.

    :ivar group: name of the group to place.
    :ivar entitled: whether a guarantee covers that group.
    :ivar victims: names of the groups that were stopped.
    """

    group: str
    account: str
    entitled: bool
    victims: tuple[str, ...]


class TaskEnded(NamedTuple):
    """A task of a group's run has ended on its worker.

    :ivar left: tasks of the run that are still on workers.
    :ivar outcome: ``done``, or why the task did not complete.
    """

    group: str
    run: int
    worker: str
    left: int
    outcome: str


class JobEnded(NamedTuple):
    """A job has ended."""

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

_CLASS_BY_KIND: Final[dict[str, type[Any]]] = {
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
_KIND_BY_CLASS: Final = {body: kind for kind, body in _CLASS_BY_KIND.items()}


class Row(NamedTuple):
    """One event, with its time.

    :ivar at_ms: the owner's wall-clock time.
    :ivar body: the event.
    """

    at_ms: int
    body: Body


class Head(NamedTuple):
    """Head of a chain: its newest batch.

    :ivar digest: digest of that batch, as hexadecimal digits.
    """

    number: int
    digest: str

    def __str__(self) -> str:
        """Return ``NUMBER:DIGEST``."""
        return f"{self.number}:{self.digest}"


EMPTY_HEAD: Final = Head(0, "")


class Batch(NamedTuple):
    """Rows that were appended together.

    :ivar after: digest of the previous batch of the epoch, or empty.
    """

    number: int
    epoch: int
    after: str
    rows: tuple[Row, ...]


def make_plan_accepted(plan: intents.Plan) -> PlanAccepted:
    """Make the evidence of an accepted plan."""
    intent = plan.intent
    subject = intent.stop
    if intent.account is not None:
        subject = f"{intent.account.data_centre}/{intent.account.account}"
    elif intent.job is not None:
        subject = intent.job.job
    elif intent.evacuation is not None:
        subject = intent.evacuation.data_centre
    return PlanAccepted(
        plan.plan, intent.kind, subject, plan.decided_by, plan.version
    )


def parse_head(text: str) -> Head:
    """Parse a head; other text gives the empty chain's head."""
    number, _, digest = text.partition(":")
    return Head(int(number), digest) if number.isdecimal() else EMPTY_HEAD


def measure_row(row: Row) -> int:
    """Return the bytes of a row in its batch, with a separator."""
    return len(_dump(_encode_row(row))) + 1


def split_row(row: Row, most_bytes: int) -> list[Row]:
    """Split a row whose groups that were stopped exceed so many bytes.

    Each part is true without the others.
    """
    body = row.body
    if (
        measure_row(row) <= most_bytes
        or not isinstance(body, CapacityReclaimed)
        or len(body.victims) < 2
    ):
        return [row]
    middle = len(body.victims) // 2
    return [
        part
        for victims in (body.victims[:middle], body.victims[middle:])
        for part in split_row(
            Row(row.at_ms, body._replace(victims=victims)), most_bytes
        )
    ]


def encode_batch(batch: Batch) -> keyed_log.KeyedRecord:
    """Encode a batch."""
    value = {
        "number": batch.number,
        "epoch": batch.epoch,
        "after": batch.after,
        "rows": [_encode_row(row) for row in batch.rows],
    }
    return keyed_log.KeyedRecord(str(batch.number % RING_SIZE), _dump(value))


def compute_digest(value: bytes) -> str:
    """Compute the digest of an encoded batch."""
    return hashlib.sha256(value).hexdigest()[:_DIGEST_DIGITS]


def decode_batch(value: bytes) -> Batch:
    """Decode a batch.

    :raises plain.ValidationError: if the value is no batch.
    """
    try:
        document = lenient_json.parse(value)
        rows = tuple(_decode_row(row) for row in document["rows"])
        return Batch(
            int(document["number"]),
            int(document["epoch"]),
            str(document["after"]),
            rows,
        )
    except plain.ValidationError:
        raise
    except plain.CONVERSION_ERRORS as error:
        fault = plain.Fault("batch", repr(value[:60]), "a batch of evidence")
        raise plain.ValidationError([fault]) from error


def _encode_row(row: Row) -> list[Any]:
    return [_KIND_BY_CLASS[type(row.body)], row.at_ms, *row.body]


def _dump(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def _decode_row(row: list[Any]) -> Row:
    kind, at_ms, *values = row
    body = _CLASS_BY_KIND[kind]
    document = dict(zip(body._fields, values, strict=True))
    return Row(int(at_ms), plain.from_plain(body, document, kind))
