"""Replays evidence and says for each promise: kept, broken or not provable.

Works on the batches alone and knows nothing of how decisions are made, so
that a decider's mistake shows as a broken promise.
"""

from collections.abc import Iterable
from typing import Final
from typing import Literal
from typing import NamedTuple

from kingcuplever import plain
from kingcuplever.process.owner import planner
from kingcuplever.process.stored import evidence_records

Verdict = Literal["kept", "broken", "not provable"]

# The owner's time of day; the next owner's clock differs by so much.
_MAX_CLOCK_SKEW_MS: Final = 1000

GUARANTEE: Final = "guaranteed shapes can be reclaimed"
WHOLE_GANGS: Final = "no part of a gang runs without the rest"
RUN_ONCE: Final = "no work runs twice at once, or again after its end"
CONFIRMED_CHANGES: Final = "nothing changes before a confirmation"
SINGLE_OWNER: Final = "one owner decides per epoch"
INTACT_RECORDS: Final = "the records are all there and unchanged"
MONOTONIC_CONFIG: Final = "an accepted configuration never reverts"


class Finding(NamedTuple):
    """One thing that breaks a promise, with the batch that shows it."""

    number: int
    text: str


class AuditResult(NamedTuple):
    """What the records say of one promise.

    :ivar checked: how many cases were looked at.
    :ivar missing: what would be needed to prove it, if it can't be.
    """

    promise: str
    verdict: Verdict
    checked: int
    findings: tuple[Finding, ...]
    missing: str


class _PromiseCheck:
    """Cases and findings of one promise."""

    def __init__(self, promise: str) -> None:
        self.promise = promise
        self.checked = 0
        self.findings: list[Finding] = []

    def make_result(self) -> AuditResult:
        verdict: Verdict = "kept" if self.checked else "not provable"
        missing = "" if self.checked else "no case of it in the records"
        if self.findings:
            verdict = "broken"
        return AuditResult(
            self.promise, verdict, self.checked, tuple(self.findings), missing
        )


class _PendingReclaim(NamedTuple):
    """A reclaim whose group has no place yet."""

    number: int
    begun_ms: int


def audit(
    values: Iterable[bytes], reclaim_ms: int, until_ms: int
) -> list[AuditResult]:
    """Judge all batches that are kept.

    :param values: the batches as they lie on the log, in any order.
    :param reclaim_ms: bound on a reclaim, from the configuration.
    :param until_ms: time of day of the judgement.
    """
    judged = _Auditor(reclaim_ms)
    readable: list[tuple[evidence_records.Batch, str]] = []
    for value in values:
        try:
            batch = evidence_records.decode_batch(value)
        except plain.ValidationError as error:
            judged.add_unreadable(str(error))
            continue
        readable.append((batch, evidence_records.compute_digest(value)))
    readable.sort(key=lambda item: item[0].number)
    for batch, digest in readable:
        judged.replay_batch(batch, digest)
    return judged.finish(until_ms)


class _Auditor:
    """One pass over the batches, by number."""

    def __init__(self, reclaim_ms: int) -> None:
        self._reclaim_ms = reclaim_ms
        self._cases = {
            promise: _PromiseCheck(promise)
            for promise in (
                GUARANTEE,
                WHOLE_GANGS,
                RUN_ONCE,
                CONFIRMED_CHANGES,
                SINGLE_OWNER,
                INTACT_RECORDS,
                MONOTONIC_CONFIG,
            )
        }
        self._number = 0
        self._epoch = 0
        self._digests: dict[int, str] = {}
        self._gpus: dict[str, int] = {}
        self._placed: dict[str, evidence_records.GroupPlaced] = {}
        self._runs: dict[str, int] = {}
        self._done: set[str] = set()
        self._waits: dict[str, _PendingReclaim] = {}
        self._bound: dict[tuple[str, str], evidence_records.CellsBound] = {}
        self._taken: dict[str, tuple[int, evidence_records.JobAccepted]] = {}
        self._decided: dict[str, evidence_records.PlanAccepted] = {}
        self._config_version = 0
        self._owners: set[int] = set()

    def add_unreadable(self, text: str) -> None:
        """A batch can't be read."""
        self._cases[INTACT_RECORDS].findings.append(Finding(0, text))

    def replay_batch(self, batch: evidence_records.Batch, digest: str) -> None:
        """Replay one batch."""
        self._check_chain(batch)
        self._number = batch.number
        self._epoch = batch.epoch
        self._digests[batch.number] = digest
        for row in batch.rows:
            self._take_row(row)

    def finish(self, until_ms: int) -> list[AuditResult]:
        """Judge what is still open; give all judgements."""
        for group in [*self._waits]:
            self._end_wait(group, until_ms)
        self._check_taken()
        return [case.make_result() for case in self._cases.values()]

    def _find(self, promise: str, text: str, number: int = 0) -> None:
        finding = Finding(number or self._number, text)
        self._cases[promise].findings.append(finding)

    def _check_chain(self, batch: evidence_records.Batch) -> None:
        """Check that a batch follows what its epoch wrote before."""
        self._cases[INTACT_RECORDS].checked += 1
        number = batch.number
        if batch.epoch < self._epoch:
            text = f"batch {number} is of the older epoch {batch.epoch}"
            self._find(INTACT_RECORDS, text, number)
        if batch.epoch != self._epoch:
            if batch.after and len(self._digests):
                text = f"the batches before {number} of its epoch are gone"
                self._find(INTACT_RECORDS, text, number)
            return
        if number != self._number + 1:
            text = f"batches {self._number + 1} to {number - 1} are gone"
            self._find(INTACT_RECORDS, text, number)
        elif batch.after != self._digests[self._number]:
            text = f"batch {self._number} or {number} was changed"
            self._find(INTACT_RECORDS, text, number)

    def _take_row(self, row: evidence_records.Row) -> None:
        body = row.body
        if isinstance(body, evidence_records.OwnershipClaimed):
            self._take_claim(body)
        elif isinstance(body, evidence_records.WorkerSeen):
            self._gpus[body.worker] = body.gpus
        elif isinstance(body, evidence_records.CellsBound):
            self._take_bound(body)
        elif isinstance(body, evidence_records.PlanAccepted):
            self._take_decided(body)
        elif isinstance(body, evidence_records.JobAccepted):
            self._taken.setdefault(body.job, (self._number, body))
        elif isinstance(body, evidence_records.GroupPlaced):
            self._take_placed(body, row.at_ms)
        elif isinstance(body, evidence_records.CapacityReclaimed):
            if body.entitled:
                self._waits[body.group] = _PendingReclaim(
                    self._number, row.at_ms
                )
        elif isinstance(body, evidence_records.TaskEnded):
            self._take_vacated(body)
        else:
            self._take_over(body)

    def _take_claim(self, body: evidence_records.OwnershipClaimed) -> None:
        """A new owner: what it takes over it states itself."""
        self._cases[SINGLE_OWNER].checked += 1
        if body.epoch != self._epoch or body.epoch in self._owners:
            text = f"{body.entry} claims epoch {body.epoch} a second time"
            self._find(SINGLE_OWNER, text)
        self._owners.add(body.epoch)
        before = evidence_records.parse_head(body.before)
        known = self._digests.get(before.number)
        oldest = min(self._digests)
        if known is not None and known != before.digest:
            text = (
                f"batch {before.number} is not the one that {body.entry} saw"
            )
            self._find(INTACT_RECORDS, text)
        if known is None and before.number >= oldest:
            self._find(INTACT_RECORDS, f"batch {before.number} is gone")
        self._placed.clear()
        self._waits.clear()
        self._bound.clear()

    def _take_bound(self, body: evidence_records.CellsBound) -> None:
        """Check that the cells kept for all accounts fit their workers."""
        self._cases[GUARANTEE].checked += 1
        self._bound[body.account, body.data_centre] = body
        if body.missing:
            text = (
                f"{body.account} is short of {body.missing} guaranteed cells"
                f" in {body.data_centre}"
            )
            self._find(GUARANTEE, text)
        promised: dict[str, int] = {}
        for bound in self._bound.values():
            for worker, gpus in zip(bound.workers, bound.gpus, strict=False):
                promised[worker] = promised.get(worker, 0) + gpus
        for worker in dict.fromkeys(body.workers):
            if promised[worker] > self._gpus.get(worker, 0):
                text = (
                    f"{promised[worker]} accelerators of {worker} are promised"
                )
                self._find(GUARANTEE, text)

    def _take_decided(self, body: evidence_records.PlanAccepted) -> None:
        if body.plan in self._decided:
            return
        self._decided[body.plan] = body
        self._cases[CONFIRMED_CHANGES].checked += 1
        if body.kind != "config":
            return
        self._cases[MONOTONIC_CONFIG].checked += 1
        if body.version <= self._config_version:
            text = f"version {body.version} follows {self._config_version}"
            self._find(MONOTONIC_CONFIG, text)
        self._config_version = body.version

    def _take_placed(
        self, body: evidence_records.GroupPlaced, at_ms: int
    ) -> None:
        group = body.group
        if body.waited_ms != evidence_records.ADOPTED_WAIT_MS:
            self._check_gang(body)
            self._check_once(body)
        self._runs[group] = max(body.run, self._runs.get(group, 0))
        self._placed[group] = body
        for worker in dict.fromkeys(body.workers):
            if worker in self._gpus and body.gpus:
                self._check_room(worker, body)
        self._end_wait(group, at_ms)

    def _check_gang(self, body: evidence_records.GroupPlaced) -> None:
        self._cases[WHOLE_GANGS].checked += 1
        if len(body.workers) != body.tasks or not all(body.workers):
            there = sum(bool(worker) for worker in body.workers)
            text = (
                f"{body.group}, run {body.run}, has {there} of"
                f" {body.tasks} members"
            )
            self._find(WHOLE_GANGS, text)

    def _check_once(self, body: evidence_records.GroupPlaced) -> None:
        self._cases[RUN_ONCE].checked += 1
        before = self._placed.get(body.group)
        if before is not None:
            text = f"{body.group}, run {body.run}, begins beside {before.run}"
            self._find(RUN_ONCE, text)
        if body.run <= self._runs.get(body.group, 0):
            self._find(RUN_ONCE, f"{body.group} has run {body.run} twice")
        if body.group in self._done:
            self._find(RUN_ONCE, f"{body.group} runs again after its end")

    def _check_room(
        self, worker: str, body: evidence_records.GroupPlaced
    ) -> None:
        """Check that a worker's accelerators are not given out twice."""
        used = sum(
            placed.gpus * placed.workers.count(worker)
            for placed in self._placed.values()
        )
        if used > self._gpus[worker]:
            text = (
                f"{body.group} was placed on accelerators in use on {worker}"
            )
            self._find(WHOLE_GANGS, text)

    def _take_vacated(self, body: evidence_records.TaskEnded) -> None:
        placed = self._placed.get(body.group)
        if placed is not None and placed.run == body.run:
            workers = [*placed.workers]
            if body.worker in workers:
                workers[workers.index(body.worker)] = ""
            self._placed[body.group] = placed._replace(workers=tuple(workers))
            if not body.left:
                del self._placed[body.group]
        if body.outcome == "done":
            self._done.add(body.group)

    def _take_over(self, body: evidence_records.JobEnded) -> None:
        """A job is over; what it waited for is not owed any more."""
        for group in [*self._waits]:
            if group.rsplit(".", 3)[0] == body.job:
                del self._waits[group]

    def _end_wait(self, group: str, at_ms: int) -> None:
        """Check how long a reclaim took, now that it is over."""
        wait = self._waits.pop(group, None)
        if wait is None:
            return
        self._cases[GUARANTEE].checked += 1
        took_ms = at_ms - wait.begun_ms
        if took_ms > self._reclaim_ms + _MAX_CLOCK_SKEW_MS:
            text = (
                f"the reclaim for {group} took {took_ms} ms of"
                f" {self._reclaim_ms}"
            )
            self._find(GUARANTEE, text, wait.number)

    def _check_taken(self) -> None:
        """Check that operators' jobs were confirmed."""
        for number, body in self._taken.values():
            if body.queue != planner.OPERATOR_QUEUE:
                continue
            self._cases[CONFIRMED_CHANGES].checked += 1
            decided = self._decided.get(body.plan)
            if decided is None or decided.subject != body.job:
                text = f"{body.job} was taken up without a confirmed plan"
                self._find(CONFIRMED_CHANGES, text, number)
