"""Rows that operators see, drawn from the state without changing it."""

import time

from kingcuplever import plain
from kingcuplever.process import fragmentation
from kingcuplever.process import owner as owners
from kingcuplever.process import state
from kingcuplever import records
from kingcuplever import shapes

Row = dict[str, object]


def wall_ms() -> int:
    """Give the wall clock, as in records."""
    return time.time_ns() // 1_000_000


def plan_row(plan: records.Plan, decision: str) -> Row:
    """Give a plan as operators see it."""
    return {
        "id": plan.plan,
        "kind": plan.intent.kind,
        "base_version": plan.base_version,
        "decision": decision,
        "effects": plain.to_plain(plan.effects),
        "refusal": plan.refusal,
        "forecast": plan.forecast,
        "operator": plan.operator,
    }


def job_rows(schedule: state.Schedule, owner: owners.Owner) -> list[Row]:
    """Give every job, the newest last."""
    return [_job_row(schedule, owner, job) for job in schedule.jobs.values()]


def job_row(
    schedule: state.Schedule, owner: owners.Owner, name: str
) -> Row | None:
    """Give one job, with its places."""
    job = schedule.jobs.get(name)
    if job is None:
        return None
    row = _job_row(schedule, owner, job)
    row["slots"] = plain.to_plain(job.slots)
    row["vacated"] = job.vacate_cause
    row["progress_s"] = job.progress
    return row


def account_rows(schedule: state.Schedule, owner: owners.Owner) -> list[Row]:
    """Give every client account with its guarantees and use."""
    return [
        {
            "account": name,
            "data_centre": schedule.data_centre,
            "guarantees": shapes.describe_guarantees(account.spec.guarantees),
            "missing_cells": sum(b.missing for b in account.bound),
            "cells": ", ".join(
                f"{cell.worker}/{cell.gpu_mask:#x}"
                for bound in account.bound
                for cell in bound.cells
            ),
            "gpus_in_use": account.gpus_in_use,
            "max_gpus": account.spec.max_gpus,
        }
        for name, account in schedule.accounts.items()
    ]


def worker_rows(schedule: state.Schedule, owner: owners.Owner) -> list[Row]:
    """Give every worker with what is free on it."""
    rows: list[Row] = []
    for name, facts in sorted(schedule.workers.items()):
        room = schedule.ledger.workers[name]
        rows.append(
            {
                "worker": name,
                "data_centre": schedule.data_centre,
                "rack": facts.shape.rack,
                "status": facts.status,
                "reason": facts.reason,
                "gpus": facts.shape.gpus,
                "gpus_free": room.free_mask.bit_count(),
                "cores_free": round(room.cores_free, 1),
                "memory_free_gb": round(room.memory_free_gb, 1),
            }
        )
    return rows


def owner_rows(schedule: state.Schedule, owner: owners.Owner) -> list[Row]:
    """Give the ownership of the data centre."""
    shares = fragmentation.shares(schedule.ledger)
    return [
        {
            "data_centre": schedule.data_centre,
            "owner": schedule.owner,
            "epoch": schedule.epoch,
            "offset": schedule.offset,
            "dropped_records": schedule.dropped,
            "deciding_here": owner.owning,
            "fragmentation": {str(k): round(v, 3) for k, v in shares.items()},
        }
    ]


def _job_row(
    schedule: state.Schedule, owner: owners.Owner, job: state.Job
) -> Row:
    workers = dict.fromkeys(slot.worker for slot in job.slots)
    active = job.phase in ("running", "stopping")
    return {
        "job": job.spec.job,
        "account": job.spec.account,
        "team": job.spec.team,
        "data_centre": schedule.data_centre,
        "priority": job.spec.priority,
        "tasks": job.spec.tasks,
        "gpus": job.gpus,
        "phase": job.phase,
        "outcome": job.outcome,
        "attempt": job.attempt,
        "borrowed": job.borrowed,
        "evictions": job.evictions,
        "failures": job.failures,
        "workers": ", ".join(workers) if active else "",
        "waiting": owner.waiting.get(job.spec.job, ""),
        "submitted_ms": job.submitted_ms,
        "started_ms": job.started_ms,
        "ended_ms": job.ended_ms,
    }
