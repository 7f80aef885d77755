"""Messages between entries and sides, and among entries.

Each class mirrors the struct of the same name in ``peer.thrift``;
:mod:`kingcuplever.connection.frames` converts one to the other by name.
Times are in milliseconds, memory is in megabytes, and ``gpus`` are numbers of
accelerators.
"""

from typing import Final
from typing import NamedTuple

# Verdicts of a dispatch.
ANSWERED: Final = "answered"
NOT_RUN: Final = "not-run"
UNKNOWN: Final = "unknown"

# Outcomes of a relayed append; the third is UNKNOWN.
KEPT: Final = "kept"
REFUSED: Final = "refused"


class Header(NamedTuple):
    """One HTTP header."""

    name: str
    value: str


class TargetState(NamedTuple):
    """State of a target at its side.

    :ivar slots: number of requests that the target serves at once.
    :ivar busy: number of slots in use by requests of this side.
    :ivar cold_left_ms: how much longer it is slow after its start; absent
        from older releases.
    """

    target: str
    service_name: str
    slots: int
    busy: int
    draining: bool
    cold_left_ms: int | None = None


class Heartbeat(NamedTuple):
    """Heartbeat of a side to an entry, with the state of its targets.

    :ivar incarnation: grows with every start of the side.
    :ivar config: the configuration document, if the entry has an older one.
    """

    side: str
    incarnation: int
    sequence: int
    data_centre: str
    targets: tuple[TargetState, ...]
    config_version: int
    config: str | None = None


class HeartbeatReply(NamedTuple):
    """An entry's reply to a heartbeat.

    :ivar config: the configuration document, if the side has an older one.
    """

    entry: str
    config_version: int
    config: str | None


class Dispatch(NamedTuple):
    """Asks a side to run a caller's request at a target.

    :ivar key: the caller's idempotency key with its account, or empty.
    :ivar incarnation: incarnation of the side for which the key is claimed;
        another incarnation has no record of the key and must not run it.
        0 without a key.
    :ivar join_only: join or repeat a run of the key, but start none.
    :ivar turn: number of the key's claim that allows this run.
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
    """A target's response, or why there is none.

    :ivar verdict: ``answered``, ``not-run`` or ``unknown``.
    :ivar length: length of the complete body in bytes.
    :ivar detail: reason, if there is no response.
    """

    request: str
    verdict: str
    status: int
    headers: tuple[Header, ...]
    body: bytes
    length: int
    detail: str


class Claim(NamedTuple):
    """Claims an idempotency key at a claim replica.

    The replica, a side, stores which side runs the key.

    :ivar runner: side to run the key; empty to fence a key without a claim,
        so that no copy of the request that was received earlier can run.
    :ivar incarnation: incarnation of the runner.
    :ivar replaces: side that has fenced the key, so that another side may run
        it, or empty.
    :ivar since_ms: wall-clock time at which the entry received the request.
    :ivar replaces_turn: number of the newest claim that the side in
        ``replaces`` has fenced; a later claim may have chosen that side again.
    """

    request: str
    key: str
    runner: str
    incarnation: int
    replaces: str
    since_ms: int
    replaces_turn: int


class ClaimReply(NamedTuple):
    """A claim replica's reply to a claim.

    :ivar granted: whether the claim is granted.
    :ivar runner: side that runs the key; empty if the key is fenced.
    :ivar incarnation: incarnation of the runner.
    :ivar turn: number of the key's claim; grows when the runner changes, or
        is chosen again after it has fenced the key.
    """

    granted: bool
    runner: str
    incarnation: int
    turn: int


class RunningRow(NamedTuple):
    """A task that a worker lists as running.

    :ivar saved: its newest checkpoint, or empty.
    :ivar percent: share of its work that is done.
    :ivar usage: tail latency in ms of a serving task, else thousandths of a
        core in use.
    """

    task: str
    run: int
    saved: str
    percent: int
    usage: int


class EndedRow(NamedTuple):
    """An ended run that a worker lists.

    :ivar number: sequence number of the end within the incarnation.
    :ivar saved: newest checkpoint of the task, or empty.
    """

    number: int
    task: str
    run: int
    outcome: str
    saved: str


class RefusedRow(NamedTuple):
    """An ordered start that the side has refused and will never execute."""

    task: str
    run: int
    reason: str


class WorkerReport(NamedTuple):
    """A side's report to the owner about the worker beside it.

    :ivar worker: names of the worker's incarnation and of the side.
    :ivar remaining_ms: minimum time until a draining worker leaves.
    :ivar gone: whether the incarnation has ended, and all its tasks with it.
    :ivar running: tasks on the worker; those that had started there if it is
        gone.
    :ivar clock_ms: the worker's own clock when it made these lists.
    :ivar orders: number of the owner's orders that the side follows, 0 for
        none; absent from older releases.
    :ivar unreachable: whether nobody listens at the worker's address; absent
        from older releases.
    :ivar crashed: whether the incarnation has ended by a crash, while its
        side was in contact with it and with other hosts; absent from older
        releases.
    :ivar more: whether further parts of this report follow; absent from older
        releases.
    :ivar cut: whether the worker has more ends than it lists; absent from
        older releases.
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
    orders: int | None = None
    unreachable: bool | None = None
    crashed: bool | None = None
    more: bool | None = None
    cut: bool | None = None


class WorkerReply(NamedTuple):
    """The owner's acknowledgement of a report.

    :ivar proof_age_ms: time since the log last confirmed the ownership;
        absent from older releases.
    :ivar recorded: whether the log has what the report leads to; absent from
        older releases, for which it must be assumed.
    """

    epoch: int
    proof_age_ms: int | None = None
    recorded: bool | None = None


class StartRow(NamedTuple):
    """Order to start a task.

    :ivar saved: checkpoint to resume from, or empty.
    :ivar ticket: ticket of the queue's adviser, or empty.
    """

    task: str
    run: int
    payload: str
    saved: str
    ticket: str


class StopRow(NamedTuple):
    """Order to stop a run."""

    task: str
    run: int


class PaceRow(NamedTuple):
    """Order to set the share of its CPU that a filling task may use."""

    task: str
    run: int
    percent: int


class WorkerOrders(NamedTuple):
    """All orders of the owner for a worker that no report has confirmed yet.

    :ivar number: grows within the epoch; older orders are ignored.
    :ivar acked: ends up to this number are stored on the log, so that the
        worker need not list them any more.
    :ivar evacuations_version: version of the evacuations that the owner
        knows; absent from older releases.
    :ivar evacuated: the evacuated data centres; absent from older releases.
    """

    epoch: int
    number: int
    worker: str
    starts: tuple[StartRow, ...]
    stops: tuple[StopRow, ...]
    acked: int
    paces: tuple[PaceRow, ...]
    evacuations_version: int | None = None
    evacuated: tuple[str, ...] | None = None


class OrdersTaken(NamedTuple):
    """A side's acknowledgement of orders; its reports show the effect."""

    number: int


class KeyedRow(NamedTuple):
    """A record of a keyed topic."""

    key: str
    value: bytes


class KeepRecords(NamedTuple):
    """Asks an entry to append records that the sender can't append."""

    rows: tuple[KeyedRow, ...]
    timeout_ms: int


class RecordsKept(NamedTuple):
    """Outcome of a relayed append: ``kept``, ``refused`` or ``unknown``."""

    outcome: str
    detail: str


class JobQuestion(NamedTuple):
    """Asks an entry for the status of a job."""

    job: str


class JobAnswer(NamedTuple):
    """Status of a job, as an entry has read it from the log.

    :ivar known: whether the job exists.
    :ivar age_ms: age of the status.
    :ivar queue: absent in answers of entries that do not tell it.
    """

    known: bool
    state: str
    account: str
    age_ms: int
    queue: str | None = None


class OwnerProbe(NamedTuple):
    """Asks an entry whether it still owns an epoch."""

    epoch: int


class OwnerStatus(NamedTuple):
    """An entry's reply to a probe of the owner.

    :ivar owns: whether the entry owns the epoch of the probe.
    :ivar failing_ms: for how long its current append has been failing, or 0.
    :ivar failed_tries: number of failed tries of that append.
    :ivar next_ms: time until the next probe; grows with the number of
        entries that probe.
    """

    owns: bool
    failing_ms: int
    failed_tries: int
    next_ms: int


class PeerError(NamedTuple):
    """The peer failed to handle the request."""

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
