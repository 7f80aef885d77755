"""Messages between entries and sides, as plain typed data.

Each class mirrors the struct of the same name in ``peer.thrift``; the codec
in :mod:`kingcuplever.connection.frames` turns one into the other by name.
Times are milliseconds, memory is megabytes, accelerators are counted.
"""

from typing import Final
from typing import NamedTuple

ANSWERED: Final = "answered"
NOT_RUN: Final = "not-run"
UNKNOWN: Final = "unknown"

KEPT: Final = "kept"
REFUSED: Final = "refused"


class Header(NamedTuple):
    """One HTTP header."""

    name: str
    value: str


class TargetState(NamedTuple):
    """A target as its side sees it.

    :ivar busy: slots in use by requests of this side.
    """

    target: str
    service_name: str
    slots: int
    busy: int
    draining: bool


class Heartbeat(NamedTuple):
    """What a side tells an entry about itself and its targets.

    :ivar incarnation: grows with every start of the side.
    :ivar config: the configuration document, if the entry's is older.
    """

    side: str
    incarnation: int
    sequence: int
    data_centre: str
    targets: tuple[TargetState, ...]
    config_version: int
    config: str | None = None


class HeartbeatReply(NamedTuple):
    """What an entry tells a side.

    :ivar config: the configuration document, if the side's is older.
    """

    entry: str
    config_version: int
    config: str | None


class Dispatch(NamedTuple):
    """A caller's request on its way to a target.

    :ivar key: the caller's idempotency key with its account, or empty.
    :ivar incarnation: incarnation of the side that a key is claimed for;
        another one has no memory of it and must not run it.  0 without key.
    :ivar join_only: answer if the key is known here, but do not run it.
    :ivar turn: which of the key's claims this follows.
    """

    request: str
    key: str
    idempotent: bool
    account: str
    service_name: str
    target: str
    timeout_ms: int
    headers: tuple[Header, ...]
    body: bytes
    incarnation: int
    join_only: bool
    turn: int


class DispatchReply(NamedTuple):
    """A target's answer, or why there is none.

    :ivar verdict: ``answered``, ``not-run`` or ``unknown``.
    :ivar length: length of the whole body in bytes.
    """

    request: str
    verdict: str
    status: int
    headers: tuple[Header, ...]
    body: bytes
    length: int
    detail: str


class Claim(NamedTuple):
    """Has a side witness which side runs a key.

    :ivar runner: side that is to run it; empty to fence a key that nobody
        has claimed, so that no sending from before may still run.
    :ivar incarnation: incarnation of that side.
    :ivar replaces: side that has fenced the key, so that another may run
        it, or empty.
    :ivar since_ms: wall clock of the entry when this sending came.
    :ivar replaces_turn: newest claim that the fencing side is known not to
        run; it may have been chosen once more since.
    """

    request: str
    key: str
    runner: str
    incarnation: int
    replaces: str
    since_ms: int
    replaces_turn: int


class ClaimReply(NamedTuple):
    """Who runs a key, as the witness knows it.

    :ivar granted: whether the claim holds.
    :ivar runner: who runs the key; empty if it is fenced.
    :ivar turn: counts the claims of the key in which the runner changed, or
        was chosen again after it had fenced the key.
    """

    granted: bool
    runner: str
    incarnation: int
    turn: int


class RunningRow(NamedTuple):
    """A task that a worker lists as running."""

    task: str
    run: int
    saved: str
    percent: int
    usage: int


class EndedRow(NamedTuple):
    """An end that a worker lists."""

    number: int
    task: str
    run: int
    outcome: str
    saved: str


class RefusedRow(NamedTuple):
    """A start that is surely not carried out, now or later."""

    task: str
    run: int
    reason: str


class WorkerReport(NamedTuple):
    """What a side tells the owner about its worker.

    :ivar worker: name of the worker's present life, with its side's.
    :ivar remaining_ms: least time until a draining worker leaves.
    :ivar gone: this life has ended; nothing runs there any more.
    :ivar clock_ms: the worker's own clock when it gave these lists.
    """

    worker: str
    side: str
    data_centre: str
    pool: str
    cpu_milli: int
    memory_mb: int
    gpus: int
    labels: tuple[str, ...]
    draining: bool
    remaining_ms: int
    gone: bool
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    refused: tuple[RefusedRow, ...]
    clock_ms: int


class WorkerReply(NamedTuple):
    """The owner has heard a side's report."""

    epoch: int


class StartRow(NamedTuple):
    """A task to start."""

    task: str
    run: int
    payload: str
    saved: str
    ticket: str


class StopRow(NamedTuple):
    """A run that must end."""

    task: str
    run: int


class PaceRow(NamedTuple):
    """At what share of a core a filling task may work."""

    task: str
    run: int
    percent: int


class WorkerOrders(NamedTuple):
    """All that the owner wants of a worker and has not seen done.

    :ivar number: grows within the epoch; an older one changes nothing.
    :ivar acked: ends up to this number are kept and may be forgotten.
    """

    epoch: int
    number: int
    worker: str
    starts: tuple[StartRow, ...]
    stops: tuple[StopRow, ...]
    acked: int
    paces: tuple[PaceRow, ...]


class OrdersTaken(NamedTuple):
    """A side has taken orders; its reports tell what came of them."""

    number: int


class KeyedRow(NamedTuple):
    """A record for a keyed topic."""

    key: str
    value: bytes


class KeepRecords(NamedTuple):
    """Asks an entry to append records that the asker can't append itself."""

    rows: tuple[KeyedRow, ...]
    timeout_ms: int


class RecordsKept(NamedTuple):
    """What became of them: ``kept``, ``refused`` or ``unknown``."""

    outcome: str
    detail: str


class JobQuestion(NamedTuple):
    """Asks an entry how a job is."""

    job: str


class JobAnswer(NamedTuple):
    """How a job is, as an entry reads it on the log.

    :ivar known: whether there is such a job.
    :ivar age_ms: how old the reading is.
    """

    known: bool
    state: str
    account: str
    age_ms: int


class OwnerProbe(NamedTuple):
    """Asks an entry whether it still owns an epoch."""

    epoch: int


class OwnerStatus(NamedTuple):
    """How an owner is.

    :ivar owns: whether it owns the epoch that was asked about.
    :ivar failing_ms: for how long its present append has been failing, or 0.
    :ivar failed_tries: tries of that append which have failed.
    :ivar next_ms: when to ask again; grows with the number of askers.
    """

    owns: bool
    failing_ms: int
    failed_tries: int
    next_ms: int


class PeerError(NamedTuple):
    """The peer could not serve the request."""

    code: str
    detail: str


Message = (
    Heartbeat
    | HeartbeatReply
    | Dispatch
    | DispatchReply
    | PeerError
    | Claim
    | ClaimReply
    | WorkerReport
    | WorkerReply
    | WorkerOrders
    | OrdersTaken
    | KeepRecords
    | RecordsKept
    | OwnerProbe
    | OwnerStatus
    | JobQuestion
    | JobAnswer
)
