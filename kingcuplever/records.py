"""Records on the platform's log, as plain typed data, and their JSON form.

Every record has an envelope; the body's class says its kind.  Owner's kinds
count only if their epoch and writer are the stream's present owner's.
"""

import hashlib
import json
from typing import Any
from typing import Final
from typing import Literal
from typing import NamedTuple
import uuid

from kingcuplever import errors
from kingcuplever import plain
from kingcuplever import shapes

CONFIG_STREAM: Final = "config"

WorkerStatus = Literal["up", "lost", "quarantined"]
IntentKind = Literal["account", "job", "stop", "config"]
Outcome = Literal["done", "vacated"]


class Effect(NamedTuple):
    """One thing that a plan would change."""

    subject: str
    before: str
    after: str


class Intent(NamedTuple):
    """What an operator wants; the member of its kind is set.

    :ivar config: a whole configuration document.
    """

    kind: IntentKind
    account: shapes.AccountSpec | None = None
    job: shapes.JobSpec | None = None
    stop: str = ""
    config: dict[str, Any] | None = None


class Plan(NamedTuple):
    """What an intent would change, made from one version of the state.

    :ivar base_version: offset of the last record behind the plan.
    :ivar refusal: why it can't be done, or empty.
    :ivar forecast: what is expected to follow; not binding.
    """

    plan: str
    intent: Intent
    base_version: int
    effects: tuple[Effect, ...]
    refusal: str
    forecast: str
    operator: str


class Confirmation(NamedTuple):
    """An operator confirms a plan."""

    plan: str
    operator: str


class Claim(NamedTuple):
    """An entry claims the next epoch of a stream."""

    ttl_ms: int


class Renewal(NamedTuple):
    """The owner is alive."""

    ttl_ms: int


class WorkerChange(NamedTuple):
    """A worker came, changed or went."""

    worker: shapes.WorkerShape
    status: WorkerStatus
    reason: str


class Rebind(NamedTuple):
    """An account's guaranteed shape moves to other cells.

    :ivar number: which of the account's shapes, counted from 0.
    """

    account: str
    number: int
    cells: tuple[shapes.Cell, ...]


class Commit(NamedTuple):
    """Every side has reserved; the attempt may start.

    :ivar borrowed: whether the attempt may be evicted for a guarantee.
    """

    job: str
    attempt: int
    slots: tuple[shapes.Slot, ...]
    borrowed: bool
    rebinds: tuple[Rebind, ...]
    reason: str


class Vacate(NamedTuple):
    """A running attempt must stop.

    :ivar reason: ``reclaim``, ``move``, ``operator``, ``broken``,
        ``failed`` or ``usage``.
    :ivar cause: what it is done for, in words.
    :ivar worker: where it failed, or empty.
    """

    job: str
    attempt: int
    reason: str
    cause: str
    worker: str = ""


class Ended(NamedTuple):
    """No task of the attempt runs any more.

    :ivar progress: seconds of work that a checkpoint holds.
    :ivar proof: how that is known: ``reported`` or ``lease ended``.
    :ivar final: whether the job is over; else it goes back to the queue.
    """

    job: str
    attempt: int
    outcome: Outcome
    progress: float
    proof: str
    final: bool


class Snapshot(NamedTuple):
    """State of the stream just before an offset."""

    offset: int
    state: dict[str, Any]


Body = (
    Plan
    | Confirmation
    | Claim
    | Renewal
    | WorkerChange
    | Commit
    | Vacate
    | Ended
    | Snapshot
)

KINDS: Final[dict[str, type[Any]]] = {
    "plan": Plan,
    "confirmation": Confirmation,
    "claim": Claim,
    "renewal": Renewal,
    "worker": WorkerChange,
    "commit": Commit,
    "vacate": Vacate,
    "ended": Ended,
    "snapshot": Snapshot,
}
_KIND_OF: Final = {body: kind for kind, body in KINDS.items()}

OWNER_KINDS: Final = frozenset(
    {"renewal", "worker", "commit", "vacate", "ended"}
)


class Record(NamedTuple):
    """A record with its envelope.

    :ivar id: names the record; a second one of that id is the same append
        repeated.
    :ivar epoch: the writer's epoch, 0 for kinds that need none.
    :ivar time_ms: the writer's wall clock.
    """

    id: str
    kind: str
    epoch: int
    writer: str
    time_ms: int
    body: Body


def data_centre_stream(data_centre: str) -> str:
    """Give the name of a data centre's stream."""
    return f"dc-{data_centre}"


def make(body: Body, epoch: int, writer: str, time_ms: int) -> Record:
    """Put a body into an envelope with a fresh id."""
    name = uuid.uuid4().hex
    return Record(name, _KIND_OF[type(body)], epoch, writer, time_ms, body)


def to_text(record: Record) -> str:
    """Give a record as JSON text."""
    return json.dumps(plain.to_plain(record), separators=(",", ":"))


def from_text(text: str) -> Record:
    """Read a record from JSON text.

    :raises errors.InvalidRequest: if it is none.
    """
    try:
        document = json.loads(text)
        kind = KINDS[document["kind"]]
        body = plain.from_plain(kind, document["body"], "body")
        envelope = {**document, "body": None}
        parsed = plain.from_plain(_Envelope, envelope, "record")
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise errors.InvalidRequest(
            f"The log holds a record that can't be read ({error!r:.200})."
        ) from error
    return Record(*parsed[:5], body)


def digest(before: str, text: str) -> str:
    """Chain a record's text to the digest of all before it."""
    return hashlib.sha256(f"{before}\n{text}".encode()).hexdigest()


class _Envelope(NamedTuple):
    id: str
    kind: str
    epoch: int
    writer: str
    time_ms: int
    body: None
