"""Audits the evidence log: is each promise kept, broken or not provable.

The audit replays the recorded batches alone, independently of the logic that
made the decisions, so that a bug in that logic shows as a broken promise.
"""

import collections
from collections.abc import Iterable
from typing import Final
from typing import Literal
from typing import NamedTuple

from kingcuplever import plain
from kingcuplever.process.owner import planner
from kingcuplever.process.stored import evidence_records

Verdict = Literal["kept", "broken", "not provable"]

# Batches carry the owner's wall-clock time; owners' clocks differ.
_MAX_CLOCK_SKEW_MS: Final = 1000

GUARANTEE: Final = "guaranteed shapes can be reclaimed"
WHOLE_GANGS: Final = "no part of a gang runs without the rest"
RUN_ONCE: Final = "no work runs twice at once, or again after its end"
CONFIRMED_CHANGES: Final = "nothing changes before a confirmation"
SINGLE_OWNER: Final = "one owner decides per epoch"
INTACT_RECORDS: Final = "the records are all there and unchanged"
MONOTONIC_CONFIG: Final = "an accepted configuration never reverts"


class Finding(NamedTuple):
    """One violation of a promise and the number of the batch that shows it."""

    number: int
    text: str


class AuditResult(NamedTuple):
    """The result of the audit for one promise.

    :ivar checked: number of cases that were checked.
    :ivar missing: why the promise is not provable, or empty.
    """

    promise: str
    verdict: Verdict
    checked: int
    findings: tuple[Finding, ...]
    missing: str


class _PromiseCheck:
    """Counts the cases and collects the findings of one promise."""

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
    """A reclaim of capacity whose group is not placed yet."""

    number: int
    begun_ms: int


class _Placement(NamedTuple):
    """A run of a group that is on its workers.

    :ivar gpus: accelerators of each task.
    :ivar tasks: number of its tasks on each worker.
    """

    run: int
    gpus: int
    tasks: collections.Counter[str]


def audit(
    values: Iterable[bytes], reclaim_ms: int, until_ms: int
) -> list[AuditResult]:
    """Audit all batches that the log retains.

    :param values: encoded batches in any order.
    :param reclaim_ms: longest time that a reclaim may take, in milliseconds.
    :param until_ms: wall-clock time of the audit; reclaims that are still
        pending are measured up to it.
    """
    auditor = _Auditor(reclaim_ms)
    readable: list[tuple[evidence_records.Batch, str]] = []
    for value in values:
        try:
            batch = evidence_records.decode_batch(value)
        except plain.ValidationError as error:
            auditor.add_unreadable(str(error))
            continue
        readable.append((batch, evidence_records.compute_digest(value)))
    readable.sort(key=lambda item: item[0].number)
    for batch, digest in readable:
        auditor.replay_batch(batch, digest)
    return auditor.finish(until_ms)


class _Auditor:
    """Replays the batches in the order of their numbers."""

    def __init__(self, reclaim_ms: int) -> None:
        self._reclaim_ms = reclaim_ms
        self._checks = {
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
        self._worker_gpus: dict[str, int] = {}
        self._placements: dict[str, _Placement] = {}
        # Accelerators of all placements, and of all bound cells, by worker.
        self._used_gpus: collections.Counter[str] = collections.Counter()
        self._promised_gpus: collections.Counter[str] = collections.Counter()
        self._last_runs: dict[str, int] = {}
        self._completed: set[str] = set()
        # By job and group.
        self._pending_reclaims: dict[str, dict[str, _PendingReclaim]] = {}
        self._bound_cells: dict[
            tuple[str, str], evidence_records.CellsBound
        ] = {}
        self._accepted_jobs: dict[
            str, tuple[int, evidence_records.JobAccepted]
        ] = {}
        self._accepted_plans: dict[str, evidence_records.PlanAccepted] = {}
        self._config_version = 0
        self._claimed_epochs: set[int] = set()

    def add_unreadable(self, text: str) -> None:
        """Record that a batch can't be decoded."""
        self._checks[INTACT_RECORDS].findings.append(Finding(0, text))

    def replay_batch(self, batch: evidence_records.Batch, digest: str) -> None:
        """Check and apply the rows of one batch."""
        self._check_chain(batch)
        self._number = batch.number
        self._epoch = batch.epoch
        self._digests[batch.number] = digest
        for row in batch.rows:
            self._replay_row(row)

    def finish(self, until_ms: int) -> list[AuditResult]:
        """Check what is still pending and return all results."""
        for groups in [*self._pending_reclaims.values()]:
            for group in [*groups]:
                self._finish_reclaim(group, until_ms)
        self._check_operator_jobs()
        return [case.make_result() for case in self._checks.values()]

    def _add_finding(self, promise: str, text: str, number: int = 0) -> None:
        finding = Finding(number or self._number, text)
        self._checks[promise].findings.append(finding)

    def _check_chain(self, batch: evidence_records.Batch) -> None:
        """Check that a batch continues the hash chain of its epoch."""
        self._checks[INTACT_RECORDS].checked += 1
        number = batch.number
        if batch.epoch < self._epoch:
            text = f"batch {number} is of the older epoch {batch.epoch}"
            self._add_finding(INTACT_RECORDS, text, number)
        if batch.epoch != self._epoch:
            if batch.after and len(self._digests):
                text = f"the batches before {number} of its epoch are gone"
                self._add_finding(INTACT_RECORDS, text, number)
            return
        if number != self._number + 1:
            text = f"batches {self._number + 1} to {number - 1} are gone"
            self._add_finding(INTACT_RECORDS, text, number)
        elif batch.after != self._digests[self._number]:
            text = f"batch {self._number} or {number} was changed"
            self._add_finding(INTACT_RECORDS, text, number)

    def _replay_row(self, row: evidence_records.Row) -> None:
        body = row.body
        if isinstance(body, evidence_records.OwnershipClaimed):
            self._replay_claim(body)
        elif isinstance(body, evidence_records.WorkerSeen):
            self._worker_gpus[body.worker] = body.gpus
        elif isinstance(body, evidence_records.CellsBound):
            self._replay_bound_cells(body)
        elif isinstance(body, evidence_records.PlanAccepted):
            self._replay_plan(body)
        elif isinstance(body, evidence_records.JobAccepted):
            self._accepted_jobs.setdefault(body.job, (self._number, body))
        elif isinstance(body, evidence_records.GroupPlaced):
            self._replay_placement(body, row.at_ms)
        elif isinstance(body, evidence_records.CapacityReclaimed):
            if body.entitled:
                groups = self._pending_reclaims.setdefault(
                    _job_of(body.group), {}
                )
                groups[body.group] = _PendingReclaim(self._number, row.at_ms)
        elif isinstance(body, evidence_records.TaskEnded):
            self._replay_task_end(body)
        else:
            # Reclaims of a job that has ended are not pending any more.
            self._pending_reclaims.pop(body.job, None)

    def _replay_claim(self, body: evidence_records.OwnershipClaimed) -> None:
        """Check the claim of a new owner and drop the previous state.

        A new owner records again the groups and cells that it adopts.
        """
        self._checks[SINGLE_OWNER].checked += 1
        if body.epoch != self._epoch or body.epoch in self._claimed_epochs:
            text = f"{body.entry} claims epoch {body.epoch} a second time"
            self._add_finding(SINGLE_OWNER, text)
        self._claimed_epochs.add(body.epoch)
        previous = evidence_records.parse_head(body.before)
        known = self._digests.get(previous.number)
        # Batches are replayed in the order of their numbers.
        oldest = next(iter(self._digests))
        if known is not None and known != previous.digest:
            text = (
                f"batch {previous.number} is not the one that {body.entry} saw"
            )
            self._add_finding(INTACT_RECORDS, text)
        if known is None and previous.number >= oldest:
            self._add_finding(
                INTACT_RECORDS, f"batch {previous.number} is gone"
            )
        self._placements.clear()
        self._used_gpus.clear()
        self._pending_reclaims.clear()
        self._bound_cells.clear()
        self._promised_gpus.clear()

    def _replay_bound_cells(self, body: evidence_records.CellsBound) -> None:
        """Check that the cells bound for all accounts fit the workers."""
        self._checks[GUARANTEE].checked += 1
        key = (body.account, body.data_centre)
        before = self._bound_cells.get(key)
        if before is not None:
            self._promised_gpus.subtract(_count_cells(before))
        self._bound_cells[key] = body
        self._promised_gpus.update(_count_cells(body))
        if body.missing:
            text = (
                f"{body.account} is short of {body.missing} guaranteed cells"
                f" in {body.data_centre}"
            )
            self._add_finding(GUARANTEE, text)
        for worker in dict.fromkeys(body.workers):
            promised = self._promised_gpus[worker]
            if promised > self._worker_gpus.get(worker, 0):
                text = f"{promised} accelerators of {worker} are bound"
                self._add_finding(GUARANTEE, text)

    def _replay_plan(self, body: evidence_records.PlanAccepted) -> None:
        if body.plan in self._accepted_plans:
            return
        self._accepted_plans[body.plan] = body
        self._checks[CONFIRMED_CHANGES].checked += 1
        if body.kind != "config":
            return
        self._checks[MONOTONIC_CONFIG].checked += 1
        if body.version <= self._config_version:
            text = f"version {body.version} follows {self._config_version}"
            self._add_finding(MONOTONIC_CONFIG, text)
        self._config_version = body.version

    def _replay_placement(
        self, body: evidence_records.GroupPlaced, at_ms: int
    ) -> None:
        group = body.group
        if body.waited_ms != evidence_records.ADOPTED_WAIT_MS:
            self._check_gang(body)
            self._check_runs_once(body)
        self._last_runs[group] = max(body.run, self._last_runs.get(group, 0))
        self._drop_placement(group)
        tasks = collections.Counter(body.workers)
        self._placements[group] = _Placement(body.run, body.gpus, tasks)
        for worker, count in tasks.items():
            self._used_gpus[worker] += count * body.gpus
        for worker in dict.fromkeys(body.workers):
            if worker in self._worker_gpus and body.gpus:
                self._check_worker_capacity(worker, body)
        self._finish_reclaim(group, at_ms)

    def _check_gang(self, body: evidence_records.GroupPlaced) -> None:
        self._checks[WHOLE_GANGS].checked += 1
        if len(body.workers) != body.tasks or not all(body.workers):
            assigned = sum(bool(worker) for worker in body.workers)
            text = (
                f"{body.group}, run {body.run}, has {assigned} of"
                f" {body.tasks} members"
            )
            self._add_finding(WHOLE_GANGS, text)

    def _check_runs_once(self, body: evidence_records.GroupPlaced) -> None:
        self._checks[RUN_ONCE].checked += 1
        previous = self._placements.get(body.group)
        if previous is not None:
            text = f"{body.group}, run {body.run}, overlaps run {previous.run}"
            self._add_finding(RUN_ONCE, text)
        if body.run <= self._last_runs.get(body.group, 0):
            self._add_finding(
                RUN_ONCE, f"{body.group} has run {body.run} twice"
            )
        if body.group in self._completed:
            self._add_finding(
                RUN_ONCE, f"{body.group} runs again after its end"
            )

    def _check_worker_capacity(
        self, worker: str, body: evidence_records.GroupPlaced
    ) -> None:
        """Check that a worker's accelerators are not allocated twice."""
        if self._used_gpus[worker] > self._worker_gpus[worker]:
            text = (
                f"{body.group} was placed on accelerators in use on {worker}"
            )
            self._add_finding(WHOLE_GANGS, text)

    def _replay_task_end(self, body: evidence_records.TaskEnded) -> None:
        placed = self._placements.get(body.group)
        if placed is not None and placed.run == body.run:
            if placed.tasks[body.worker]:
                placed.tasks[body.worker] -= 1
                self._used_gpus[body.worker] -= placed.gpus
            if not body.left:
                self._drop_placement(body.group)
        if body.outcome == "done":
            self._completed.add(body.group)

    def _drop_placement(self, group: str) -> None:
        """Drop the placement of a group, if it has one."""
        placed = self._placements.pop(group, None)
        if placed is not None:
            for worker, count in placed.tasks.items():
                self._used_gpus[worker] -= count * placed.gpus

    def _finish_reclaim(self, group: str, at_ms: int) -> None:
        """Check how long a group's reclaim took, if it has one pending."""
        groups = self._pending_reclaims.get(_job_of(group), {})
        reclaim = groups.pop(group, None)
        if reclaim is None:
            return
        self._checks[GUARANTEE].checked += 1
        took_ms = at_ms - reclaim.begun_ms
        if took_ms > self._reclaim_ms + _MAX_CLOCK_SKEW_MS:
            text = (
                f"the reclaim for {group} took {took_ms} ms of"
                f" {self._reclaim_ms}"
            )
            self._add_finding(GUARANTEE, text, reclaim.number)

    def _check_operator_jobs(self) -> None:
        """Check that each operators' job follows from a confirmed plan."""
        for number, body in self._accepted_jobs.values():
            if body.queue != planner.OPERATOR_QUEUE:
                continue
            self._checks[CONFIRMED_CHANGES].checked += 1
            plan = self._accepted_plans.get(body.plan)
            if plan is None or plan.subject != body.job:
                text = f"{body.job} was accepted without a confirmed plan"
                self._add_finding(CONFIRMED_CHANGES, text, number)


def _job_of(group: str) -> str:
    """Return the job of a group, which is named by its first task."""
    return group.rsplit(".", 3)[0]


def _count_cells(
    bound: evidence_records.CellsBound,
) -> collections.Counter[str]:
    """Return the accelerators of an account's cells by worker."""
    counted: collections.Counter[str] = collections.Counter()
    for worker, gpus in zip(bound.workers, bound.gpus, strict=False):
        counted[worker] += gpus
    return counted
