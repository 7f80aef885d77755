"""Rows that operators see, drawn from the state without changing it."""

from kingcuplever import intents
from kingcuplever import plain
from kingcuplever.process.owner import owner_term as reigns
from kingcuplever.process.scheduling import accounts
from kingcuplever.process.scheduling import bindings
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import fragmentation
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table

Row = dict[str, object]

_PHASES = {model.PENDING: "queued", model.RUNNING: "running"}
_OUTCOMES = {
    model.COMPLETED: "done",
    model.FAILED: "failed",
    model.CANCELLED: "stopped",
}


def make_plan_row(plan: intents.Plan) -> Row:
    """Give a plan as operators see it."""
    return {
        "id": plan.plan,
        "kind": plan.intent.kind,
        "base_version": plan.base_version,
        "decision": plan.decision,
        "effects": plain.to_plain(plan.effects),
        "refusal": plan.refusal,
        "forecast": plan.forecast,
        "operator": plan.operator,
    }


def make_job_rows(
    board: job_table.JobTable, reign: reigns.OwnerTerm | None
) -> list[Row]:
    """Give every job that the log still has, the newest last.

    :param reign: of this entry, if it owns; it knows why a job waits.
    """
    known = [item for item in board.jobs.items() if item[1].spec is not None]
    known.sort(key=lambda item: item[1].submit_offset)
    return [_job_row(name, job, reign) for name, job in known]


def make_job_row(
    board: job_table.JobTable, reign: reigns.OwnerTerm | None, name: str
) -> Row | None:
    """Give one job, with the workers of each of its tasks."""
    job = board.jobs.get(name)
    if job is None or job.spec is None:
        return None
    row = _job_row(name, job, reign)
    groups = () if job.progress is None else job.progress.groups
    row["places"] = [
        {
            "occurrence": group.occurrence,
            "step": group.step,
            "first": group.first,
            "run": group.run,
            "workers": [fleet.side_of(worker) for worker in group.workers],
        }
        for group in groups
    ]
    row["plan"] = job.spec.plan
    return row


def make_account_rows(reign: reigns.OwnerTerm) -> list[Row]:
    """Give every client account with its guarantees and use."""
    scheduler = reign.scheduler
    used = accounts.count_usage(scheduler.jobs.values()).accounts
    rows: list[Row] = []
    for spec in scheduler.accounts.specs():
        name = bindings.account_id(spec)
        kept = scheduler.accounts.bindings
        cells = [
            f"{fleet.side_of(cell.worker)}/{cell.gpus}"
            for shape in kept.shapes_of(name)
            for cell in shape.cells
        ]
        rows.append(
            {
                "account": spec.account,
                "data_centre": spec.data_centre,
                "guarantees": intents.describe_guarantees(spec.guarantees),
                "missing_cells": kept.count_missing(name),
                "cells": ", ".join(cells),
                "gpus_in_use": used.get(name, 0),
                "max_gpus": spec.max_gpus,
            }
        )
    return rows


def make_worker_rows(reign: reigns.OwnerTerm, now: float) -> list[Row]:
    """Give every worker with what is free on it."""
    rows: list[Row] = []
    for worker in reign.scheduler.workers.values():
        if not worker.has_reported:
            continue
        rows.append(
            {
                "worker": worker.side,
                "life": fleet.incarnation_of(worker.name),
                "data_centre": worker.data_centre,
                "rack": worker.rack,
                "status": _status(worker, now),
                "gpus": worker.capacity.gpus,
                "gpus_free": worker.free.gpus,
                "cores_free": round(worker.free.cpu_milli / 1000, 1),
                "memory_free_gb": round(worker.free.memory_mb / 1024, 1),
            }
        )
    rows.sort(key=lambda row: str(row["worker"]))
    return rows


def make_owner_row(
    board: job_table.JobTable, offset: int, reign: reigns.OwnerTerm | None
) -> Row:
    """Give who owns, as this entry has read it."""
    owner = board.owner
    shares: dict[str, float] = {}
    if reign is not None:
        found = fragmentation.compute_shares(reign.scheduler.workers.values())
        shares = {
            f"{place}/{gpus}": round(share, 3)
            for (place, gpus), share in found.items()
        }
    resigned = owner is not None and owner.renewal == reigns.RESIGNED_RENEWAL
    return {
        "owner": "" if owner is None or resigned else owner.entry,
        "epoch": 0 if owner is None else owner.epoch,
        "offset": offset,
        "evidence": "" if owner is None else owner.evidence,
        "deciding_here": reign is not None,
        "fragmentation": shares,
    }


def _status(worker: fleet.Worker, now: float) -> str:
    if now < worker.quarantined_until:
        return "quarantined"
    if worker.draining:
        return "draining"
    return "up" if worker.is_connected else "silent"


def _job_row(
    name: str, job: job_table.StoredJob, reign: reigns.OwnerTerm | None
) -> Row:
    spec = job.spec
    assert spec is not None
    progress = job.progress or job_records.Progress(
        name, model.PENDING, (), ()
    )
    state = progress.state
    groups = progress.groups
    active = state not in model.ENDED_STATES
    workers = dict.fromkeys(
        fleet.side_of(worker)
        for group in groups
        if group.phase == job_state.ASSIGNED
        for worker in group.workers
        if worker
    )
    return {
        "job": name,
        "account": spec.account,
        "team": spec.team,
        "queue": spec.queue,
        "data_centre": spec.data_centre,
        "priority": "urgent" if spec.priority == 0 else "batch",
        "tasks": sum(step.tasks for step in spec.steps),
        "gpus": sum(step.tasks * step.gpus for step in spec.steps),
        "phase": _PHASES.get(state, "ended"),
        "outcome": _OUTCOMES.get(state, ""),
        "attempt": max((group.run for group in groups), default=0),
        "failures": max((group.failures for group in groups), default=0),
        "evictions": progress.evictions,
        "workers": ", ".join(workers) if active else "",
        "waiting": _waiting(name, reign),
        "submitted_ms": spec.accepted_ms,
        "started_ms": progress.begun_ms,
        "ended_ms": progress.ended_ms,
    }


def _waiting(name: str, reign: reigns.OwnerTerm | None) -> str:
    """Say why a job waits; only the owner knows."""
    job = None if reign is None else reign.scheduler.jobs.get(name)
    if reign is None or job is None:
        return ""
    reasons = reign.scheduler.wait_reasons
    waiting = [
        reasons[group.tasks[0]]
        for group in job.groups()
        if group.tasks[0] in reasons
    ]
    return waiting[0] if waiting else ""
