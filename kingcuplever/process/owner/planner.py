"""Turns an intent into a plan: what would change, or why it can't.

A pure function of what the owner knows.  A plan still holds at its
confirmation if the same intent would be answered by the same effects.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import json
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever import intents
from kingcuplever import plain
from kingcuplever.process.scheduling import accounts
from kingcuplever.process.scheduling import bindings
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import intent_table
from kingcuplever.process.stored import job_table
from kingcuplever.version import configuration

_MB_PER_GB: Final = 1024
_MILLI: Final = 1000
# Queue that jobs of operators are shown under.
OPERATOR_QUEUE: Final = "operators"


class PlannerInput(NamedTuple):
    """What a plan is drawn from.

    :ivar jobs: those that the log has, also ended ones.
    """

    intents: intent_table.IntentTable
    jobs: Mapping[str, job_table.StoredJob]
    accounts: accounts.Accounts
    workers: tuple[fleet.Worker, ...]

    def workers_in(self, data_centre: str) -> list[fleet.Worker]:
        """Give the workers of a data centre."""
        return [w for w in self.workers if w.data_centre == data_centre]


class Draft(NamedTuple):
    """The binding part of a plan, and what is expected to follow.

    :ivar refusal: why it can't be done, or empty.
    """

    effects: tuple[intents.Effect, ...]
    refusal: str
    forecast: str = ""


def draft(known: PlannerInput, intent: intents.Intent) -> Draft:
    """Work out what an intent would change now."""
    if intent.kind == "account" and intent.account is not None:
        return _draft_account(known, intent.account)
    if intent.kind == "job" and intent.job is not None:
        return _draft_job(known, intent.job)
    if intent.kind == "stop" and intent.stop:
        return _draft_stop(known, intent.stop)
    if intent.kind == "config":
        return _draft_config(known, intent.config)
    return _refuse(f"The intent names no {intent.kind}; add that part.")


def make_job(
    spec: intents.GangSpec,
    plan: str,
    attempts: int,
    now_ms: int,
    fits_rack: bool,
) -> model.JobSpec:
    """Give the job that a confirmed plan makes.

    :param attempts: a gang that failed so often is given up.
    :param near: some rack can hold all of it.
    """
    shape = spec.shape
    step = model.StepSpec(
        tasks=spec.tasks,
        cpu_milli=round(shape.cores * _MILLI),
        memory_mb=round(shape.memory_gb * _MB_PER_GB),
        gpus=shape.gpus,
        estimate_ms=round(spec.declared_s * _MILLI),
        gang=spec.tasks > 1,
        same_rack=spec.tasks > 1 and fits_rack,
    )
    return model.JobSpec(
        queue=OPERATOR_QUEUE,
        pool="",
        account=spec.account,
        payload=spec.payload,
        steps=(step,),
        accepted_ms=now_ms,
        priority=0 if spec.priority == "urgent" else 2,
        most_attempts=attempts,
        data_centre=spec.data_centre,
        team=spec.team,
        plan=plan,
    )


def can_fit_one_rack(known: PlannerInput, spec: intents.GangSpec) -> bool:
    """Tell whether some rack, when empty, holds a whole gang."""
    counts: dict[str, int] = {}
    for worker in known.workers_in(spec.data_centre):
        count = _empty_count(worker, spec.shape)
        counts[worker.rack] = counts.get(worker.rack, 0) + count
    return any(count >= spec.tasks for count in counts.values())


def explain_infeasibility(known: PlannerInput, spec: intents.GangSpec) -> str:
    """Check a job against the empty fleet.

    :return: why it can never run, with the nearest shape that could, or
        empty.
    """
    workers = known.workers_in(spec.data_centre)
    if not workers:
        return f"{spec.data_centre} has no worker yet; wait for one."
    counts = [_empty_count(worker, spec.shape) for worker in workers]
    if not any(counts):
        return _nearest_task(workers, spec.shape)
    if sum(counts) < spec.tasks:
        return (
            f"{spec.tasks} such tasks never fit {spec.data_centre};"
            f" the nearest is {sum(counts)} tasks."
        )
    return ""


def _draft_account(known: PlannerInput, spec: intents.AccountSpec) -> Draft:
    faults = _check_account(spec)
    if faults:
        return _refuse(faults)
    shortage = _find_binding_shortage(known, spec)
    if shortage:
        return _refuse(shortage)
    held = known.intents.accounts.get(bindings.account_id(spec))
    effects = (
        intents.Effect(
            f"account {spec.account} guarantees",
            intents.describe_guarantees(held.guarantees) if held else "absent",
            intents.describe_guarantees(spec.guarantees),
        ),
        intents.Effect(
            f"account {spec.account} limits",
            _describe_limits(held) if held else "absent",
            _describe_limits(spec),
        ),
    )
    wanted = sum(item.cells for item in spec.guarantees)
    forecast = (
        f"{wanted} cells will be kept in {spec.data_centre};"
        " borrowers there are evicted when they are asked for"
    )
    return Draft(effects, "", forecast)


def _check_account(spec: intents.AccountSpec) -> str:
    if not spec.account or "/" in spec.account:
        return "account.account must be a name without '/'."
    for guarantee in spec.guarantees:
        if guarantee.cells < 1:
            return (
                f"A guarantee of {guarantee.cells} cells; allowed: 1 or more."
            )
    if spec.max_gpus < 0 or any(most < 0 for most in spec.teams.values()):
        return "A limit below 0; allowed: 0 or more."
    return ""


def _find_binding_shortage(
    known: PlannerInput, spec: intents.AccountSpec
) -> str:
    """Bind on trial beside all that is promised; say what is short."""
    name = bindings.account_id(spec)
    others = [
        other
        for other in known.accounts.specs()
        if bindings.account_id(other) != name
    ]
    trial = known.accounts.bindings.copy()
    before = sum(trial.count_missing(bindings.account_id(o)) for o in others)
    trial.rebind([*others, spec], known.workers)
    after = sum(trial.count_missing(bindings.account_id(o)) for o in others)
    short = [shape for shape in trial.shapes_of(name) if shape.missing]
    if not short and after <= before:
        return ""
    lines = [
        f"{item.guarantee.cells} adjacent {item.guarantee.level} cells asked,"
        f" {item.guarantee.cells - item.missing} can be kept"
        for item in short
    ]
    if not short:
        lines = [f"{after - before} cells of other accounts would be lost"]
    return (
        f"{spec.data_centre} can't honour it beside what is promised:"
        f" {'; '.join(lines)}. Ask for less, or lower another account."
    )


def _draft_job(known: PlannerInput, spec: intents.GangSpec) -> Draft:
    if spec.job in known.jobs:
        return _refuse(f"Job {spec.job} exists; choose another name.")
    faults = _check_job(known, spec) or explain_infeasibility(known, spec)
    if faults:
        return _refuse(faults)
    shape = spec.shape
    after = (
        f"queued: {spec.tasks} tasks of {shape.gpus} accelerators,"
        f" {shape.cores:g} cores, {shape.memory_gb:g} GB, {spec.priority}"
    )
    effect = intents.Effect(f"job {spec.job}", "absent", after)
    return Draft((effect,), "", _forecast_job(known, spec))


def _forecast_job(known: PlannerInput, spec: intents.GangSpec) -> str:
    queued = sum(
        job.state == model.PENDING and job.spec is not None
        for job in known.jobs.values()
    )
    name = (spec.account, spec.data_centre)
    bound = known.accounts.bindings.shapes_of(name)
    cells = sum(len(shape.cells) for shape in bound)
    return (
        f"{queued} jobs are queued; {spec.account} holds {cells} guaranteed"
        f" cells in {spec.data_centre}"
    )


def _check_job(known: PlannerInput, spec: intents.GangSpec) -> str:
    shape = spec.shape
    if not spec.job or "/" in spec.job:
        return "job.job must be a name without '/'."
    if not 1 <= spec.tasks <= intents.MAX_GANG_TASKS:
        return (
            f"job.tasks is {spec.tasks}; allowed: 1 to"
            f" {intents.MAX_GANG_TASKS}."
        )
    if not 0 <= shape.gpus or not 0 <= shape.cores < float("inf"):
        return "job.shape has a negative part; allowed: 0 or more."
    if not 0 <= shape.memory_gb < float("inf"):
        return "job.shape.memory_gb must be 0 or more."
    if not shape.gpus and not shape.cores and not shape.memory_gb:
        return "job.shape needs nothing; give accelerators, cores or memory."
    if not 0 < spec.declared_s < float("inf"):
        return "job.declared_s must be more than 0."
    account = known.intents.accounts.get((spec.account, spec.data_centre))
    if account is None:
        return (
            f"Account {spec.account} is unknown in {spec.data_centre};"
            " state an account intent first."
        )
    return _check_limits(account, spec)


def _check_limits(account: intents.AccountSpec, spec: intents.GangSpec) -> str:
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


def _draft_stop(known: PlannerInput, name: str) -> Draft:
    job = known.jobs.get(name)
    if job is None or job.spec is None:
        return _refuse(f"Job {name} is unknown; `status jobs` lists them.")
    state = model.PENDING if job.progress is None else job.progress.state
    if state in model.ENDED_STATES:
        return _refuse(f"Job {name} has ended ({state}).")
    if job.cancelled:
        return _refuse(f"Job {name} is being stopped already.")
    effect = intents.Effect(f"job {name}", "to be run", "stopped")
    return Draft((effect,), "")


def _draft_config(known: PlannerInput, document: Any) -> Draft:
    try:
        wanted = configuration.parse_document(document)
    except plain.ValidationError as error:
        return _refuse(str(error))
    before = plain.to_plain(
        configuration.parse_document(known.intents.config.document)
    )
    after = plain.to_plain(wanted)
    effects = tuple(_differences("config", before, after))
    if not effects:
        return _refuse("It changes nothing.")
    forecast = "in force everywhere within seconds of the confirmation"
    return Draft(effects, "", forecast)


def _differences(
    path: str, before: Any, after: Any
) -> Iterator[intents.Effect]:
    """Give the keys of two documents that differ."""
    if not isinstance(before, dict) or not isinstance(after, dict):
        if before != after:
            yield intents.Effect(path, _shown(before), _shown(after))
        return
    for key in sorted(before.keys() | after.keys()):
        yield from _differences(
            f"{path}.{key}", before.get(key), after.get(key)
        )


def _shown(value: Any) -> str:
    return "absent" if value is None else json.dumps(value)


def _empty_count(worker: fleet.Worker, shape: intents.TaskShape) -> int:
    """Count the tasks that an empty worker holds."""
    counts = [intents.MAX_GANG_TASKS]
    whole = worker.capacity
    if shape.gpus:
        counts.append(whole.gpus // shape.gpus)
    if shape.cores > 0:
        counts.append(int(whole.cpu_milli // (shape.cores * _MILLI)))
    if shape.memory_gb > 0:
        counts.append(int(whole.memory_mb // (shape.memory_gb * _MB_PER_GB)))
    return min(counts)


def _nearest_task(
    workers: list[fleet.Worker], shape: intents.TaskShape
) -> str:
    whole = max(worker.capacity for worker in workers)
    gpus = min(shape.gpus, whole.gpus)
    cores = min(shape.cores, whole.cpu_milli / _MILLI)
    memory_gb = min(shape.memory_gb, whole.memory_mb / _MB_PER_GB)
    return (
        "No worker ever holds one such task; the nearest shape is"
        f" {gpus} accelerators, {cores:g} cores, {memory_gb:g} GB a task."
    )


def _describe_limits(spec: intents.AccountSpec) -> str:
    most = str(spec.max_gpus) if spec.max_gpus else "no limit"
    teams = ", ".join(f"{k}: {v}" for k, v in sorted(spec.teams.items()))
    return f"accelerators {most}; teams {teams or 'none'}"


def _refuse(reason: str) -> Draft:
    return Draft((), reason)
