"""Applies records to the replicated state: the only pass that changes it.

Records of a past owner are dropped; a repeated append changes nothing,
because each kind is idempotent by what it names.  Every replica that
applies the same records has the same state.
"""

from collections.abc import Callable
from typing import Any
from typing import Final

from kingcuplever.process import bindings
from kingcuplever.process import ledger as ledgers
from kingcuplever.process import planner
from kingcuplever.process import state
from kingcuplever import records
from kingcuplever import shapes

# Plans that nobody confirmed are kept for so many later ones.
_PLANS_KEPT: Final = 2000
_ENDED_KEPT: Final = 5000


def apply(
    schedule: state.Schedule, offset: int, record: records.Record, text: str
) -> bool:
    """Apply the record at an offset.

    :param text: the record as the log keeps it, for the digest.
    :return: whether the record counted.
    """
    if offset < schedule.offset:
        return False
    schedule.offset = offset + 1
    schedule.digest = records.digest(schedule.digest, text)
    if record.kind in records.OWNER_KINDS and not _is_owners(schedule, record):
        schedule.dropped += 1
        return False
    return _APPLIERS[record.kind](schedule, offset, record)


def skip(schedule: state.Schedule, offset: int, text: str) -> None:
    """Pass over a record that can't be read; the digest has it."""
    schedule.offset = offset + 1
    schedule.digest = records.digest(schedule.digest, text)


def _is_owners(schedule: state.Schedule, record: records.Record) -> bool:
    return record.epoch == schedule.epoch and record.writer == schedule.owner


def _apply_claim(
    schedule: state.Schedule, offset: int, record: records.Record
) -> bool:
    if record.epoch != schedule.epoch + 1:
        return False
    schedule.epoch = record.epoch
    schedule.owner = record.writer
    schedule.owner_since = offset
    return True


def _apply_nothing(
    schedule: state.Schedule, offset: int, record: records.Record
) -> bool:
    return True


def _apply_worker(
    schedule: state.Schedule, offset: int, record: records.Record
) -> bool:
    body: Any = record.body
    shape: shapes.WorkerShape = body.worker
    schedule.workers[shape.worker] = state.WorkerFacts(
        shape, body.status, body.reason
    )
    schedule.ledger.set_worker(shape, body.status == "up")
    bindings.rebind_after_change(
        schedule.ledger, schedule.accounts.values(), _own_cells(schedule)
    )
    schedule.version = schedule.offset
    return True


def _own_cells(schedule: state.Schedule) -> dict[shapes.Cell, str]:
    """Give the bound cells where their own account's work runs."""
    found = {}
    for job in schedule.jobs.values():
        if job.phase not in ("running", "stopping"):
            continue
        account = schedule.accounts.get(job.spec.account)
        if account is None:
            continue
        for bound in account.bound:
            for cell in bound.cells:
                if any(_overlaps(cell, slot) for slot in job.slots):
                    found[cell] = job.spec.job
    return found


def _overlaps(cell: shapes.Cell, slot: shapes.Slot) -> bool:
    return cell.worker == slot.worker and bool(cell.gpu_mask & slot.gpu_mask)


def _apply_plan(
    schedule: state.Schedule, offset: int, record: records.Record
) -> bool:
    body: Any = record.body
    if body.plan in schedule.plans:
        return False
    decision: state.Decision = "refused" if body.refusal else "open"
    schedule.plans[body.plan] = state.PlanState(body, decision, offset)
    if len(schedule.plans) > _PLANS_KEPT:
        del schedule.plans[next(iter(schedule.plans))]
    return True


def _apply_confirmation(
    schedule: state.Schedule, offset: int, record: records.Record
) -> bool:
    body: Any = record.body
    known = schedule.plans.get(body.plan)
    if known is None or known.decision != "open":
        return False
    intent = known.plan.intent
    now = planner.draft(schedule, intent)
    holds = not now.refusal and now.effects == known.plan.effects
    schedule.plans[body.plan] = state.PlanState(
        known.plan, "accepted" if holds else "stale", offset
    )
    if holds:
        _carry_out(schedule, offset, record.time_ms, intent)
        schedule.version = schedule.offset
    return holds


def _carry_out(
    schedule: state.Schedule,
    offset: int,
    time_ms: int,
    intent: records.Intent,
) -> None:
    if intent.account is not None:
        _set_account(schedule, intent.account)
    if intent.job is not None:
        job = state.Job(intent.job, offset, time_ms)
        schedule.jobs[intent.job.job] = job
        _forget_ended(schedule)
    if intent.stop:
        _stop_job(schedule.jobs[intent.stop], time_ms)


def _set_account(schedule: state.Schedule, spec: shapes.AccountSpec) -> None:
    before = schedule.accounts.get(spec.account)
    account = state.Account(spec)
    if before is not None:
        bindings.unbind_account(schedule.ledger, before)
        account.gpus_in_use = before.gpus_in_use
        account.team_gpus = before.team_gpus
    bindings.bind_account(schedule.ledger, account)
    schedule.accounts[spec.account] = account


def _stop_job(job: state.Job, time_ms: int) -> None:
    job.stop_wanted = True
    if job.phase == "queued":
        job.phase = "ended"
        job.outcome = "stopped"
        job.ended_ms = time_ms


def _forget_ended(schedule: state.Schedule) -> None:
    if len(schedule.jobs) <= _ENDED_KEPT:
        return
    for name, job in schedule.jobs.items():
        if job.phase == "ended":
            del schedule.jobs[name]
            return


def _apply_commit(
    schedule: state.Schedule, offset: int, record: records.Record
) -> bool:
    body: Any = record.body
    job = schedule.jobs.get(body.job)
    if job is None or job.phase != "queued" or job.stop_wanted:
        return False
    if body.attempt <= job.attempt:
        return False
    for rebind in body.rebinds:
        _apply_rebind(schedule, rebind)
    job.phase = "running"
    job.attempt = body.attempt
    job.slots = body.slots
    job.borrowed = body.borrowed
    job.committed_ms = record.time_ms
    job.started_ms = job.started_ms or record.time_ms
    job.vacate_reason = ""
    hold_job(schedule.ledger, job)
    count_gpus(schedule, job, job.gpus)
    return True


def hold_job(ledger: ledgers.Ledger, job: state.Job) -> None:
    """Take the room of a committed attempt."""
    for task, slot in enumerate(job.slots):
        ledger.hold(
            ledgers.Holding(
                job.spec.job, job.attempt, task, slot, job.spec.shape
            )
        )


def _apply_rebind(schedule: state.Schedule, rebind: records.Rebind) -> None:
    account = schedule.accounts.get(rebind.account)
    if account is None or rebind.number >= len(account.bound):
        return
    bound = account.bound[rebind.number]
    if len(rebind.cells) != len(bound.cells):
        return
    for cell in bound.cells:
        schedule.ledger.unbind(cell)
    cells = rebind.cells
    if not bindings.can_move(schedule.ledger, cells):
        cells = bound.cells
    for cell in cells:
        schedule.ledger.bind(cell, rebind.account)
    account.bound[rebind.number] = bound._replace(cells=cells)


def count_gpus(schedule: state.Schedule, job: state.Job, gpus: int) -> None:
    """Add to the accelerators that a job's account and team use."""
    account = schedule.accounts.get(job.spec.account)
    if account is None:
        return
    account.gpus_in_use += gpus
    team = job.spec.team
    if team:
        account.team_gpus[team] = account.team_gpus.get(team, 0) + gpus


def _apply_vacate(
    schedule: state.Schedule, offset: int, record: records.Record
) -> bool:
    body: Any = record.body
    job = schedule.jobs.get(body.job)
    if job is None or job.phase != "running" or body.attempt != job.attempt:
        return False
    job.phase = "stopping"
    job.vacate_reason = body.reason
    job.vacate_cause = body.cause
    if body.reason in ("failed", "usage"):
        job.failures += 1
    if body.worker and body.worker not in job.failed_on:
        job.failed_on += (body.worker,)
    job.evictions += body.reason in ("reclaim", "move")
    return True


def _apply_ended(
    schedule: state.Schedule, offset: int, record: records.Record
) -> bool:
    body: Any = record.body
    job = schedule.jobs.get(body.job)
    if job is None or job.phase not in ("running", "stopping"):
        return False
    if body.attempt != job.attempt:
        return False
    schedule.ledger.release(job.spec.job, job.attempt)
    count_gpus(schedule, job, -job.gpus)
    job.progress = max(job.progress, body.progress)
    if body.outcome == "done":
        _end(job, "done", record.time_ms)
    elif body.final or job.stop_wanted:
        outcome = "stopped" if job.stop_wanted else "failed"
        _end(job, outcome, record.time_ms)
    else:
        job.phase = "queued"
    return True


def _end(job: state.Job, outcome: str, time_ms: int) -> None:
    job.phase = "ended"
    job.outcome = outcome
    job.ended_ms = time_ms


_Applier = Callable[[state.Schedule, int, records.Record], bool]
_APPLIERS: Final[dict[str, _Applier]] = {
    "claim": _apply_claim,
    "renewal": _apply_nothing,
    "worker": _apply_worker,
    "plan": _apply_plan,
    "confirmation": _apply_confirmation,
    "commit": _apply_commit,
    "vacate": _apply_vacate,
    "ended": _apply_ended,
    "snapshot": _apply_nothing,
}
