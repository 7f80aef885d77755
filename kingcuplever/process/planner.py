"""Turns an intent into a plan: what would change, or why it can't.

A pure function of the replicated state, so every entry makes the same plan
from the same version, and the replay can tell at the confirmation whether
the plan still holds.
"""

from typing import NamedTuple

from kingcuplever.process import bindings
from kingcuplever.process import blocks
from kingcuplever.process import state
from kingcuplever import records
from kingcuplever import shapes


class Draft(NamedTuple):
    """The binding part of a plan.

    :ivar refusal: why it can't be done, or empty.
    """

    effects: tuple[records.Effect, ...]
    refusal: str


def draft(schedule: state.Schedule, intent: records.Intent) -> Draft:
    """Work out what an intent would change now."""
    if intent.kind == "account" and intent.account is not None:
        return _draft_account(schedule, intent.account)
    if intent.kind == "job" and intent.job is not None:
        return _draft_job(schedule, intent.job)
    if intent.kind == "stop" and intent.stop:
        return _draft_stop(schedule, intent.stop)
    return _refuse(f"The intent names no {intent.kind}; add that part.")


def forecast(schedule: state.Schedule, intent: records.Intent) -> str:
    """Say what is expected to follow, without promising it."""
    if intent.kind == "account" and intent.account is not None:
        return _forecast_account(schedule, intent.account)
    if intent.kind != "job" or intent.job is None:
        return ""
    queued = sum(job.phase == "queued" for job in schedule.jobs.values())
    account = schedule.accounts[intent.job.account]
    cells = sum(len(bound.cells) for bound in account.bound)
    return (
        f"{queued} jobs are queued in {schedule.data_centre};"
        f" {account.spec.account} holds {cells} guaranteed cells"
    )


def can_ever_run(schedule: state.Schedule, spec: shapes.JobSpec) -> str:
    """Check a job against the empty fleet.

    :return: why it can never run, with the nearest shape that could, or
        empty.
    """
    shapes_of = [
        facts.shape
        for facts in schedule.workers.values()
        if facts.status != "lost"
    ]
    if not shapes_of:
        return f"{schedule.data_centre} has no worker yet; wait for one."
    shape = spec.shape
    counts = [_empty_count(worker, shape) for worker in shapes_of]
    if not any(counts):
        return _nearest_task(shapes_of, shape)
    if sum(counts) < spec.tasks:
        return (
            f"{spec.tasks} such tasks never fit {schedule.data_centre};"
            f" the nearest is {sum(counts)} tasks."
        )
    return ""


def _draft_account(
    schedule: state.Schedule, spec: shapes.AccountSpec
) -> Draft:
    faults = _check_account(spec)
    if faults:
        return _refuse(faults)
    before = schedule.accounts.get(spec.account)
    shortage = _try_binding(schedule, spec, before)
    if shortage:
        return _refuse(shortage)
    held = before.spec if before is not None else None
    effects = [
        records.Effect(
            f"account {spec.account} guarantees",
            shapes.describe_guarantees(held.guarantees) if held else "absent",
            shapes.describe_guarantees(spec.guarantees),
        ),
        records.Effect(
            f"account {spec.account} limits",
            _describe_limits(held) if held else "absent",
            _describe_limits(spec),
        ),
    ]
    return Draft(tuple(effects), "")


def _check_account(spec: shapes.AccountSpec) -> str:
    if not spec.account:
        return "account.account is empty; give the account's name."
    for guarantee in spec.guarantees:
        if guarantee.cells < 1:
            return (
                f"A guarantee of {guarantee.cells} cells; allowed: 1 or more."
            )
    if spec.max_gpus < 0 or any(most < 0 for most in spec.teams.values()):
        return "A limit below 0; allowed: 0 or more."
    return ""


def _try_binding(
    schedule: state.Schedule,
    spec: shapes.AccountSpec,
    before: state.Account | None,
) -> str:
    """Bind on trial, undo it, and say what is short."""
    ledger = schedule.ledger
    held = list(before.bound) if before is not None else []
    if before is not None:
        bindings.unbind_account(ledger, before)
    trial = state.Account(spec)
    shortfalls = bindings.bind_account(ledger, trial)
    bindings.unbind_account(ledger, trial)
    if before is not None:
        before.bound = held
        for bound in held:
            for cell in bound.cells:
                ledger.bind(cell, spec.account)
    if not shortfalls:
        return ""
    lines = [
        f"{item.guarantee.cells} adjacent {item.guarantee.level} cells asked,"
        f" {item.guarantee.cells - item.missing} can be kept"
        for item in shortfalls
    ]
    return (
        f"{schedule.data_centre} can't honour it beside what is promised:"
        f" {'; '.join(lines)}. Ask for less, or lower another account."
    )


def _draft_job(schedule: state.Schedule, spec: shapes.JobSpec) -> Draft:
    if spec.job in schedule.jobs:
        return _refuse(f"Job {spec.job} exists; choose another name.")
    faults = _check_job(schedule, spec)
    if faults:
        return _refuse(faults)
    never = can_ever_run(schedule, spec)
    if never:
        return _refuse(never)
    shape = spec.shape
    after = (
        f"queued: {spec.tasks} tasks of {shape.gpus} accelerators,"
        f" {shape.cores:g} cores, {shape.memory_gb:g} GB, {spec.priority}"
    )
    effect = records.Effect(f"job {spec.job}", "absent", after)
    return Draft((effect,), "")


def _check_job(schedule: state.Schedule, spec: shapes.JobSpec) -> str:
    shape = spec.shape
    if not spec.job or "/" in spec.job:
        return "job.job must be a name without '/'."
    if not 1 <= spec.tasks <= shapes.MAX_GANG_TASKS:
        return (
            f"job.tasks is {spec.tasks}; allowed: 1 to"
            f" {shapes.MAX_GANG_TASKS}."
        )
    if not 0 <= shape.gpus or not 0 <= shape.cores < float("inf"):
        return "job.shape has a negative part; allowed: 0 or more."
    if not 0 <= shape.memory_gb < float("inf"):
        return "job.shape.memory_gb must be 0 or more."
    if not shape.gpus and not shape.cores and not shape.memory_gb:
        return "job.shape needs nothing; give accelerators, cores or memory."
    if not 0 < spec.declared_s < float("inf"):
        return "job.declared_s must be more than 0."
    account = schedule.accounts.get(spec.account)
    if account is None:
        return (
            f"Account {spec.account} is unknown in {schedule.data_centre};"
            " state an account intent first."
        )
    return _check_limits(account.spec, spec)


def _check_limits(account: shapes.AccountSpec, spec: shapes.JobSpec) -> str:
    gpus = spec.tasks * spec.shape.gpus
    if account.max_gpus and gpus > account.max_gpus:
        return (
            f"The job needs {gpus} accelerators; {account.account} may use"
            f" {account.max_gpus} at once."
        )
    if not spec.team:
        return ""
    if spec.team not in account.teams:
        known = ", ".join(account.teams) or "none"
        return f"Team {spec.team} is unknown; there are: {known}."
    if gpus > account.teams[spec.team]:
        return (
            f"The job needs {gpus} accelerators; team {spec.team} may use"
            f" {account.teams[spec.team]} at once."
        )
    return ""


def _draft_stop(schedule: state.Schedule, name: str) -> Draft:
    job = schedule.jobs.get(name)
    if job is None:
        return _refuse(f"Job {name} is unknown; `status jobs` lists them.")
    if job.phase == "ended":
        return _refuse(f"Job {name} has ended ({job.outcome}).")
    if job.stop_wanted:
        return _refuse(f"Job {name} is being stopped already.")
    effect = records.Effect(f"job {name}", "to be run", "stopped")
    return Draft((effect,), "")


def _forecast_account(
    schedule: state.Schedule, spec: shapes.AccountSpec
) -> str:
    wanted = sum(item.cells for item in spec.guarantees)
    return (
        f"{wanted} cells will be kept in {schedule.data_centre};"
        " borrowers there are evicted when they are asked for"
    )


def _empty_count(worker: shapes.WorkerShape, shape: shapes.TaskShape) -> int:
    counts = [shapes.MAX_GANG_TASKS]
    if shape.gpus:
        full = blocks.full_mask(worker.gpus)
        counts.append(blocks.capacity(full, worker.gpus, shape.gpus))
    if shape.cores > 0:
        counts.append(int(worker.cores // shape.cores))
    if shape.memory_gb > 0:
        counts.append(int(worker.memory_gb // shape.memory_gb))
    return min(counts)


def _nearest_task(
    workers: list[shapes.WorkerShape], shape: shapes.TaskShape
) -> str:
    largest = max(workers, key=lambda item: (item.gpus, item.cores))
    gpus = min(shape.gpus, largest.gpus)
    cores = min(shape.cores, largest.cores)
    memory_gb = min(shape.memory_gb, largest.memory_gb)
    return (
        "No worker ever holds one such task; the nearest shape is"
        f" {gpus} accelerators, {cores:g} cores, {memory_gb:g} GB a task."
    )


def _describe_limits(spec: shapes.AccountSpec) -> str:
    most = str(spec.max_gpus) if spec.max_gpus else "no limit"
    teams = ", ".join(f"{k}: {v}" for k, v in sorted(spec.teams.items()))
    return f"accelerators {most}; teams {teams or 'none'}"


def _refuse(reason: str) -> Draft:
    return Draft((), reason)
