"""Builds the rows of the operators' status tables from the current state."""

import math

from kingcuplever import intents
from kingcuplever import plain
from kingcuplever.process.owner import owner_term
from kingcuplever.process.scheduling import accounts
from kingcuplever.process.scheduling import bindings
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import fragmentation
from kingcuplever.process.scheduling import host_speed
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
    """Return the row of a plan."""
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
    table: job_table.JobTable, term: owner_term.OwnerTerm | None
) -> list[Row]:
    """Return a row for each job that the log still has, newest last.

    :param term: this entry's term if it is the owner, which knows why jobs
        wait.
    """
    known = [item for item in table.jobs.items() if item[1].spec is not None]
    known.sort(key=lambda item: item[1].submit_offset)
    return [_make_basic_job_row(name, job, term) for name, job in known]


def make_job_row(
    table: job_table.JobTable,
    term: owner_term.OwnerTerm | None,
    name: str,
    now: float,
) -> Row | None:
    """Return the row of one job, with the workers of each group."""
    job = table.jobs.get(name)
    if job is None or job.spec is None:
        return None
    row = _make_basic_job_row(name, job, term)
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
    row["remaining_s"] = _estimate_remaining_s(name, term, now)
    return row


def make_account_rows(term: owner_term.OwnerTerm) -> list[Row]:
    """Return a row for each client account, with guarantees and usage."""
    scheduler = term.scheduler
    used = accounts.count_usage(scheduler.jobs.values()).accounts
    rows: list[Row] = []
    for spec in scheduler.accounts.specs():
        name = bindings.account_id(spec)
        bound_cells = scheduler.accounts.bindings
        cells = [
            f"{fleet.side_of(cell.worker)}/{cell.gpus}"
            for shape in bound_cells.shapes_of(name)
            for cell in shape.cells
        ]
        rows.append(
            {
                "account": spec.account,
                "data_centre": spec.data_centre,
                "guarantees": intents.describe_guarantees(spec.guarantees),
                "missing_cells": bound_cells.count_missing(name),
                "cells": ", ".join(cells),
                "gpus_in_use": used.get(name, 0),
                "max_gpus": spec.max_gpus,
            }
        )
    return rows


def make_worker_rows(term: owner_term.OwnerTerm, now: float) -> list[Row]:
    """Return a row for each worker, with its free resources."""
    rows: list[Row] = []
    for worker in term.scheduler.workers.values():
        if not worker.has_reported:
            continue
        speed = term.scheduler.host_speeds.find_estimate(worker.side)
        rows.append(
            {
                "worker": worker.side,
                "life": fleet.incarnation_of(worker.name),
                "data_centre": worker.data_centre,
                "rack": worker.rack,
                "status": _describe_status(worker, now),
                "gpus": worker.capacity.gpus,
                "gpus_free": worker.free.gpus,
                "cores_free": round(worker.free.cpu_milli / 1000, 1),
                "memory_free_gb": round(worker.free.memory_mb / 1024, 1),
                "run_time": _describe_speed(speed),
            }
        )
    rows.sort(key=lambda row: str(row["worker"]))
    return rows


def make_evacuation_rows(term: owner_term.OwnerTerm) -> list[Row]:
    """Return a row for each evacuated data centre, with what still runs."""
    scheduler = term.scheduler
    view = scheduler.evacuation_view
    rows: list[Row] = []
    for data_centre in view.data_centres:
        workers = [
            worker
            for worker in scheduler.workers.values()
            if worker.data_centre == data_centre
        ]
        missing = sum(
            scheduler.accounts.bindings.count_missing(bindings.account_id(s))
            for s in scheduler.accounts.specs()
            if s.data_centre == data_centre
        )
        rows.append(
            {
                "data_centre": data_centre,
                "workers": len(workers),
                "tasks": sum(len(worker.allocations) for worker in workers),
                "missing_cells": missing,
                "version": view.version,
            }
        )
    return rows


def make_owner_row(
    table: job_table.JobTable, offset: int, term: owner_term.OwnerTerm | None
) -> Row:
    """Return the row of the owner, as far as this entry has read the log."""
    owner = table.owner
    shares: dict[str, float] = {}
    if term is not None:
        found = fragmentation.compute_shares(term.scheduler.workers.values())
        shares = {
            f"{data_centre}/{gpus}": round(share, 3)
            for (data_centre, gpus), share in found.items()
        }
    resigned = (
        owner is not None and owner.renewal == owner_term.RESIGNED_RENEWAL
    )
    return {
        "owner": "" if owner is None or resigned else owner.entry,
        "epoch": 0 if owner is None else owner.epoch,
        "offset": offset,
        "evidence": "" if owner is None else owner.evidence,
        "deciding_here": term is not None,
        "fragmentation": shares,
    }


def _describe_speed(speed: host_speed.Estimate | None) -> str:
    """Describe a host's run times as a multiple of an average host's."""
    if speed is None:
        return "unknown"
    factor = math.exp(speed.log_slowness)
    doubt = math.sqrt(speed.variance)
    return f"x{factor:.2f} +-{doubt:.0%}, {speed.steps} steps"


def _describe_status(worker: fleet.Worker, now: float) -> str:
    if now < worker.quarantined_until:
        return "quarantined"
    if worker.draining:
        return "draining"
    if worker.is_evacuated:
        return "evacuated"
    return "up" if worker.is_connected else "silent"


def _make_basic_job_row(
    name: str, job: job_table.StoredJob, term: owner_term.OwnerTerm | None
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
        "waiting": _find_wait_reason(name, term),
        "submitted_ms": spec.accepted_ms,
        "started_ms": progress.begun_ms,
        "ended_ms": progress.ended_ms,
    }


def _estimate_remaining_s(
    name: str, term: owner_term.OwnerTerm | None, now: float
) -> float | None:
    """Return how long the runs of a job still take; None outside the owner."""
    job = None if term is None else term.scheduler.jobs.get(name)
    if job is None:
        return None
    remaining_s = [
        group.estimate_remaining_s(now)
        for group in job.groups()
        if group.phase == job_state.ASSIGNED
    ]
    return round(max(remaining_s), 1) if remaining_s else None


def _find_wait_reason(name: str, term: owner_term.OwnerTerm | None) -> str:
    """Return why a job waits, or an empty string outside of the owner."""
    job = None if term is None else term.scheduler.jobs.get(name)
    if term is None or job is None:
        return ""
    reasons = (
        term.scheduler.explain_wait(group.tasks[0]) for group in job.groups()
    )
    return next((reason for reason in reasons if reason), "")
