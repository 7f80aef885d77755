"""Replays records and says for each promise: kept, broken or not provable.

Works on the records alone, with the same replay as the entries but without
their decisions, so that a decider's mistake shows as a broken promise.
"""

from collections.abc import Iterable
from typing import Literal
from typing import NamedTuple

from kingcuplever.process import replay
from kingcuplever.process import state
from kingcuplever import records
from kingcuplever import shapes

Verdict = Literal["kept", "broken", "not provable"]

# A record's time comes from its writer's clock; clocks differ by so much.
_CLOCK_SLACK_MS = 1000


class Finding(NamedTuple):
    """One thing that breaks a promise, with the record that shows it."""

    stream: str
    offset: int
    text: str


class Judgement(NamedTuple):
    """What the records say of one promise.

    :ivar checked: how many cases were looked at.
    :ivar missing: what would be needed to prove it, if it can't be.
    """

    promise: str
    verdict: Verdict
    checked: int
    findings: tuple[Finding, ...]
    missing: str


class Entry(NamedTuple):
    """A record with its place; ``record`` is absent if it can't be read."""

    offset: int
    text: str
    record: records.Record | None


class _Case:
    """Cases and findings of one promise."""

    def __init__(self, promise: str) -> None:
        self.promise = promise
        self.checked = 0
        self.findings: list[Finding] = []
        self.missing = ""

    def judge(self) -> Judgement:
        verdict: Verdict = "kept"
        if not self.checked and not self.missing:
            self.missing = "no case of it in the records"
        if self.missing:
            verdict = "not provable"
        if self.findings:
            verdict = "broken"
        return Judgement(
            self.promise,
            verdict,
            self.checked,
            tuple(self.findings),
            self.missing,
        )


GUARANTEE = "guaranteed shapes can be reclaimed"
GANG = "no part of a gang runs without the rest"
CONFIRMED = "nothing changes before a confirmation"
OWNED = "one owner decides per epoch"
WHOLE = "the records are all there and unchanged"
CONFIG = "an accepted configuration never reverts"


def judge_data_centre(
    stream: str,
    entries: Iterable[Entry],
    start: state.Schedule,
    reclaim_ms: int,
    until_ms: int,
) -> list[Judgement]:
    """Judge the records of one data centre's stream.

    :param start: the state before the first of them.
    :param reclaim_ms: bound on a reclaim, from the configuration.
    :param until_ms: wall clock of the judgement.
    """
    judge = _Judge(stream, start, reclaim_ms)
    for entry in entries:
        judge.take(entry)
    return judge.finish(until_ms)


def judge_config(stream: str, entries: Iterable[Entry]) -> Judgement:
    """Judge the configuration's stream."""
    case = _Case(CONFIG)
    plans: dict[str, records.Plan] = {}
    accepted: set[str] = set()
    version = 0
    for entry in entries:
        if entry.record is None:
            continue
        body = entry.record.body
        if isinstance(body, records.Plan):
            plans.setdefault(body.plan, body)
        if not isinstance(body, records.Confirmation):
            continue
        plan = plans.get(body.plan)
        if plan is None or plan.refusal or body.plan in accepted:
            continue
        if plan.base_version != version:
            continue
        case.checked += 1
        accepted.add(body.plan)
        if entry.offset + 1 <= version:
            text = f"version {entry.offset + 1} follows {version}"
            case.findings.append(Finding(stream, entry.offset, text))
        version = entry.offset + 1
    return case.judge()


class _Judge:
    """One pass over the records of a data centre."""

    def __init__(
        self, stream: str, start: state.Schedule, reclaim_ms: int
    ) -> None:
        self._stream = stream
        self._schedule = start
        self._reclaim_ms = reclaim_ms
        self._guarantee = _Case(GUARANTEE)
        self._gang = _Case(GANG)
        self._confirmed = _Case(CONFIRMED)
        self._owned = _Case(OWNED)
        self._whole = _Case(WHOLE)
        self._digests = {start.offset: start.digest}
        self._reclaims: dict[tuple[str, int], tuple[int, int]] = {}
        self._stopping: dict[tuple[str, int], int] = {}
        self._short: dict[str, int] = {}

    def take(self, entry: Entry) -> None:
        self._check_offset(entry.offset)
        if entry.record is None:
            replay.skip(self._schedule, entry.offset, entry.text)
            self._note_digest()
            return
        record = entry.record
        self._check_before(entry.offset, record)
        counted = replay.apply(
            self._schedule, entry.offset, record, entry.text
        )
        self._note_digest()
        if isinstance(record.body, records.Snapshot):
            self._check_digest(entry.offset, record.body)
        if counted:
            self._check_after(entry.offset, record)

    def finish(self, until_ms: int) -> list[Judgement]:
        for key, (offset, begun_ms) in self._reclaims.items():
            self._check_reclaim(key, offset, until_ms - begun_ms)
        return [
            case.judge()
            for case in (
                self._guarantee,
                self._gang,
                self._confirmed,
                self._owned,
                self._whole,
            )
        ]

    def _note_digest(self) -> None:
        self._digests[self._schedule.offset] = self._schedule.digest

    def _check_offset(self, offset: int) -> None:
        """Check that no record is missing before this one."""
        if offset > self._schedule.offset:
            text = f"records {self._schedule.offset} to {offset - 1} are gone"
            self._whole.findings.append(Finding(self._stream, offset, text))

    def _check_digest(self, offset: int, body: records.Snapshot) -> None:
        """Compare the chain so far with what a snapshot carries forward."""
        own = self._digests.get(body.offset)
        if own is None:
            return
        self._whole.checked += 1
        if body.state.get("digest") != own:
            text = f"a record before {body.offset} was changed"
            self._whole.findings.append(Finding(self._stream, offset, text))

    def _check_before(self, offset: int, record: records.Record) -> None:
        body = record.body
        if isinstance(body, records.Commit):
            self._check_commit(offset, record, body)

    def _check_commit(
        self, offset: int, record: records.Record, body: records.Commit
    ) -> None:
        """Check a commit that counts: whole, confirmed, on free room."""
        schedule = self._schedule
        if record.epoch != schedule.epoch or record.writer != schedule.owner:
            # Left out by every reader; shown so that a regulator sees it.
            self._owned.checked += 1
            return
        job = schedule.jobs.get(body.job)
        self._confirmed.checked += 1
        if job is None:
            text = f"{body.job} was placed without a confirmed intent"
            self._confirmed.findings.append(
                Finding(self._stream, offset, text)
            )
            return
        self._gang.checked += 1
        if len(body.slots) != job.spec.tasks:
            text = (
                f"{body.job}#{body.attempt} has {len(body.slots)} of"
                f" {job.spec.tasks} members"
            )
            self._gang.findings.append(Finding(self._stream, offset, text))
        if job.phase == "queued":
            self._check_room(offset, body)

    def _check_room(self, offset: int, body: records.Commit) -> None:
        for slot in body.slots:
            room = self._schedule.ledger.workers.get(slot.worker)
            if room is None:
                text = f"{body.job} was placed on unknown {slot.worker}"
                self._gang.findings.append(Finding(self._stream, offset, text))
            elif room.used_mask & slot.gpu_mask:
                text = (
                    f"{body.job} was placed on accelerators in use on"
                    f" {slot.worker}"
                )
                self._gang.findings.append(Finding(self._stream, offset, text))

    def _check_after(self, offset: int, record: records.Record) -> None:
        body = record.body
        if isinstance(body, records.Claim):
            self._owned.checked += 1
        elif isinstance(body, records.Vacate):
            self._note_vacate(offset, record, body)
        elif isinstance(body, records.Ended):
            self._note_end(record, body)
        elif isinstance(body, records.Confirmation | records.WorkerChange):
            self._check_guarantees(offset)
        elif isinstance(body, records.Commit) and body.rebinds:
            self._check_guarantees(offset)

    def _note_vacate(
        self, offset: int, record: records.Record, body: records.Vacate
    ) -> None:
        key = (body.job, body.attempt)
        self._stopping[key] = offset
        if body.reason == "reclaim":
            self._guarantee.checked += 1
            self._reclaims[key] = (offset, record.time_ms)

    def _note_end(self, record: records.Record, body: records.Ended) -> None:
        key = (body.job, body.attempt)
        self._stopping.pop(key, None)
        begun = self._reclaims.pop(key, None)
        if begun is not None:
            offset, begun_ms = begun
            self._check_reclaim(key, offset, record.time_ms - begun_ms)

    def _check_reclaim(
        self, key: tuple[str, int], offset: int, took_ms: int
    ) -> None:
        if took_ms <= self._reclaim_ms + _CLOCK_SLACK_MS:
            return
        text = (
            f"the reclaim from {key[0]}#{key[1]} took {took_ms} ms of"
            f" {self._reclaim_ms}"
        )
        self._guarantee.findings.append(Finding(self._stream, offset, text))

    def _check_guarantees(self, offset: int) -> None:
        """Check that bound cells are sound, disjoint and complete."""
        taken: dict[str, int] = {}
        for name, account in self._schedule.accounts.items():
            self._guarantee.checked += 1
            missing = 0
            for bound in account.bound:
                missing += bound.missing
                for cell in bound.cells:
                    self._check_cell(offset, name, cell, taken)
            self._note_shortfall(offset, name, missing)

    def _check_cell(
        self,
        offset: int,
        account: str,
        cell: shapes.Cell,
        taken: dict[str, int],
    ) -> None:
        room = self._schedule.ledger.workers.get(cell.worker)
        text = ""
        if room is None or not room.usable:
            text = f"{account} is promised a cell of {cell.worker}, unusable"
        elif cell.gpu_mask & taken.get(cell.worker, 0):
            text = f"{account} shares a cell of {cell.worker}"
        if text:
            finding = Finding(self._stream, offset, text)
            self._guarantee.findings.append(finding)
        taken[cell.worker] = taken.get(cell.worker, 0) | cell.gpu_mask

    def _note_shortfall(self, offset: int, account: str, missing: int) -> None:
        before = self._short.get(account, 0)
        self._short[account] = missing
        if missing > before:
            text = f"{account} is short of {missing} guaranteed cells"
            finding = Finding(self._stream, offset, text)
            self._guarantee.findings.append(finding)
