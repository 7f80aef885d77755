"""Computes the plan for an intent: its effects, or why it is refused.

A pure function of the owner's state.  At its confirmation, a plan is still
valid if the same intent would have the same effects.
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
# Longest name in an intent; the key of a record holds two of them at most.
_MAX_NAME_BYTES: Final = 100
# Largest amount and time in an intent; thousandths of it fit into a job.
_MAX_NUMBER: Final = 1e11
# Queue name of jobs submitted by operators; it is shown in lists of jobs.
OPERATOR_QUEUE: Final = "operators"


class PlannerInput(NamedTuple):
    """State that a plan is computed from.

    :ivar jobs: all jobs on the log by name, including ended ones.
    :ivar workers: workers that have reported to this owner.
    """

    intents: intent_table.IntentTable
    jobs: Mapping[str, job_table.StoredJob]
    accounts: accounts.Accounts
    workers: tuple[fleet.Worker, ...]

    def workers_in(self, data_centre: str) -> list[fleet.Worker]:
        """List the workers of a data centre."""
        return [w for w in self.workers if w.data_centre == data_centre]


class Draft(NamedTuple):
    """Result of planning an intent.

    :ivar effects: changes that a confirmation makes; binding.
    :ivar refusal: why the intent can't be carried out, or empty.
    :ivar forecast: expected consequences; not binding.
    """

    effects: tuple[intents.Effect, ...]
    refusal: str
    forecast: str = ""


def draft(inputs: PlannerInput, intent: intents.Intent) -> Draft:
    """Compute what an intent would change now."""
    if intent.kind == "account" and intent.account is not None:
        return _draft_account(inputs, intent.account)
    if intent.kind == "job" and intent.job is not None:
        return _draft_job(inputs, intent.job)
    if intent.kind == "stop" and intent.stop:
        return _draft_stop(inputs, intent.stop)
    if intent.kind == "evacuation" and intent.evacuation is not None:
        return _draft_evacuation(inputs, intent.evacuation)
    if intent.kind == "config":
        return _draft_config(inputs, intent.config)
    return _make_refusal(f"The intent names no {intent.kind}; add that part.")


def make_job(
    spec: intents.GangSpec,
    plan: str,
    attempts: int,
    now_ms: int,
    fits_rack: bool,
) -> model.JobSpec:
    """Make the job of a confirmed plan.

    :param attempts: failures of the gang after which the job fails.
    :param now_ms: wall-clock time of the acceptance.
    :param fits_rack: whether some rack can hold the whole gang; it must then
        run in one rack.
    """
    request = _make_request(spec.shape)
    step = model.StepSpec(
        tasks=spec.tasks,
        cpu_milli=request.cpu_milli,
        memory_mb=request.memory_mb,
        gpus=request.gpus,
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


def can_fit_one_rack(inputs: PlannerInput, spec: intents.GangSpec) -> bool:
    """Return whether some rack could hold the whole gang when empty."""
    counts: dict[str, int] = {}
    for worker in inputs.workers_in(spec.data_centre):
        count = _count_fitting_tasks(worker, spec.shape)
        counts[worker.rack] = counts.get(worker.rack, 0) + count
    return any(count >= spec.tasks for count in counts.values())


def explain_infeasibility(inputs: PlannerInput, spec: intents.GangSpec) -> str:
    """Explain why a job could not run even if all workers were empty.

    :return: the reason, with the nearest size that could run, or empty if
        the job is feasible.
    """
    workers = inputs.workers_in(spec.data_centre)
    if not workers:
        return f"{spec.data_centre} has no worker yet; wait for one."
    counts = [_count_fitting_tasks(worker, spec.shape) for worker in workers]
    if not any(counts):
        return _describe_nearest_shape(workers, spec.shape)
    if sum(counts) < spec.tasks:
        return (
            f"{spec.tasks} such tasks never fit {spec.data_centre};"
            f" the nearest is {sum(counts)} tasks."
        )
    return ""


def _draft_account(inputs: PlannerInput, spec: intents.AccountSpec) -> Draft:
    faults = _check_account(spec)
    if faults:
        return _make_refusal(faults)
    shortage = _find_binding_shortage(inputs, spec)
    if shortage:
        return _make_refusal(shortage)
    previous = inputs.intents.accounts.get(bindings.account_id(spec))
    effects = (
        intents.Effect(
            f"account {spec.account} guarantees",
            (
                intents.describe_guarantees(previous.guarantees)
                if previous
                else "absent"
            ),
            intents.describe_guarantees(spec.guarantees),
        ),
        intents.Effect(
            f"account {spec.account} limits",
            _describe_limits(previous) if previous else "absent",
            _describe_limits(spec),
        ),
    )
    wanted = sum(item.cells for item in spec.guarantees)
    forecast = (
        f"{wanted} cells will be reserved in {spec.data_centre};"
        " tasks that borrow them are evicted when the account needs them"
    )
    return Draft(effects, "", forecast)


def _check_name(path: str, name: str) -> str:
    """Return why a record can't have a name as its key; empty if it can."""
    if not name or "/" in name or len(name.encode()) > _MAX_NAME_BYTES:
        return (
            f"{path} must be a name without '/', of {_MAX_NAME_BYTES} bytes"
            " at most."
        )
    return ""


def _check_account(spec: intents.AccountSpec) -> str:
    fault = _check_name("account.account", spec.account)
    if not fault and len(spec.data_centre.encode()) > _MAX_NAME_BYTES:
        fault = f"account.data_centre exceeds {_MAX_NAME_BYTES} bytes."
    if fault:
        return fault
    for guarantee in spec.guarantees:
        if guarantee.cells < 1:
            return (
                f"A guarantee of {guarantee.cells} cells; allowed: 1 or more."
            )
    if spec.max_gpus < 0 or any(limit < 0 for limit in spec.teams.values()):
        return "A limit below 0; allowed: 0 or more."
    return ""


def _find_binding_shortage(
    inputs: PlannerInput, spec: intents.AccountSpec
) -> str:
    """Bind cells on a copy of all bindings; explain what is missing."""
    name = bindings.account_id(spec)
    others = [
        other
        for other in inputs.accounts.specs()
        if bindings.account_id(other) != name
    ]
    trial = inputs.accounts.bindings.copy()
    before = sum(trial.count_missing(bindings.account_id(o)) for o in others)
    trial.rebind([*others, spec], inputs.workers)
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
        f"{spec.data_centre} can't guarantee this besides what is promised:"
        f" {'; '.join(lines)}. Ask for less, or lower another account."
    )


def _draft_job(inputs: PlannerInput, spec: intents.GangSpec) -> Draft:
    if spec.job in inputs.jobs:
        return _make_refusal(f"Job {spec.job} exists; choose another name.")
    faults = _check_job(inputs, spec) or explain_infeasibility(inputs, spec)
    if faults:
        return _make_refusal(faults)
    shape = spec.shape
    after = (
        f"queued: {spec.tasks} tasks of {shape.gpus} accelerators,"
        f" {shape.cores:g} cores, {shape.memory_gb:g} GB, {spec.priority}"
    )
    effect = intents.Effect(f"job {spec.job}", "absent", after)
    return Draft((effect,), "", _forecast_job(inputs, spec))


def _forecast_job(inputs: PlannerInput, spec: intents.GangSpec) -> str:
    queued = sum(
        job.state == model.PENDING and job.spec is not None
        for job in inputs.jobs.values()
    )
    name = (spec.account, spec.data_centre)
    bound = inputs.accounts.bindings.shapes_of(name)
    cells = sum(len(shape.cells) for shape in bound)
    return (
        f"{queued} jobs are queued; {spec.account} holds {cells} guaranteed"
        f" cells in {spec.data_centre}"
    )


def _check_job(inputs: PlannerInput, spec: intents.GangSpec) -> str:
    shape = spec.shape
    fault = _check_name("job.job", spec.job)
    if fault:
        return fault
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
    largest = max(shape.gpus, shape.cores, shape.memory_gb, spec.declared_s)
    if largest > _MAX_NUMBER:
        return f"job has {largest:g}; allowed: up to {_MAX_NUMBER:g}."
    account = inputs.intents.accounts.get((spec.account, spec.data_centre))
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
        teams = ", ".join(account.teams) or "none"
        return f"Team {spec.team} is unknown; there are: {teams}."
    if gpus > account.teams[spec.team]:
        return (
            f"The job needs {gpus} accelerators; team {spec.team} may use"
            f" {account.teams[spec.team]} at once."
        )
    return ""


def _draft_stop(inputs: PlannerInput, name: str) -> Draft:
    job = inputs.jobs.get(name)
    if job is None or job.spec is None:
        return _make_refusal(
            f"Job {name} is unknown; `status jobs` lists them."
        )
    state = model.PENDING if job.progress is None else job.progress.state
    if state in model.ENDED_STATES:
        return _make_refusal(f"Job {name} has ended ({state}).")
    if job.cancelled:
        return _make_refusal(f"Job {name} is being stopped already.")
    effect = intents.Effect(f"job {name}", "to be run", "stopped")
    return Draft((effect,), "")


def _draft_evacuation(
    inputs: PlannerInput, spec: intents.EvacuationSpec
) -> Draft:
    name = spec.data_centre
    fault = _check_name("evacuation.data_centre", name)
    if fault:
        return _make_refusal(fault)
    evacuated = inputs.intents.evacuations.view.data_centres
    if (name in evacuated) == spec.evacuated:
        state = "evacuated already" if spec.evacuated else "not evacuated"
        return _make_refusal(
            f"{name} is {state}; `status evacuations` lists those that are."
        )
    states = ("evacuated", "in use")
    before, after = reversed(states) if spec.evacuated else states
    effect = intents.Effect(f"data centre {name}", before, after)
    return Draft((effect,), "", _forecast_evacuation(inputs, spec))


def _forecast_evacuation(
    inputs: PlannerInput, spec: intents.EvacuationSpec
) -> str:
    workers = inputs.workers_in(spec.data_centre)
    gpus = sum(worker.capacity.gpus for worker in workers)
    place = f"{len(workers)} workers with {gpus} accelerators"
    if not spec.evacuated:
        return f"{place} take new work again at once"
    tasks = sum(len(worker.allocations) for worker in workers)
    return (
        f"{place} take no new work; {tasks} tasks there may end; its"
        " accounts' cells are missing, and its jobs wait, until it is"
        " taken back"
    )


def _draft_config(inputs: PlannerInput, document: Any) -> Draft:
    try:
        wanted = configuration.parse_document(document)
    except plain.ValidationError as error:
        return _make_refusal(str(error))
    before = plain.to_plain(
        configuration.parse_document(inputs.intents.config.document)
    )
    after = plain.to_plain(wanted)
    effects = tuple(_find_differences("config", before, after))
    if not effects:
        return _make_refusal("It changes nothing.")
    forecast = "in force everywhere within seconds of the confirmation"
    return Draft(effects, "", forecast)


def _find_differences(
    path: str, before: Any, after: Any
) -> Iterator[intents.Effect]:
    """Yield an effect for each value that differs, in order of the keys."""
    if not isinstance(before, dict) or not isinstance(after, dict):
        if before != after:
            yield intents.Effect(
                path, _format_value(before), _format_value(after)
            )
        return
    for key in sorted(before.keys() | after.keys()):
        yield from _find_differences(
            f"{path}.{key}", before.get(key), after.get(key)
        )


def _format_value(value: Any) -> str:
    return "absent" if value is None else json.dumps(value)


def _count_fitting_tasks(
    worker: fleet.Worker, shape: intents.TaskShape
) -> int:
    """Count the tasks of a shape that the worker could hold when empty."""
    return _make_request(shape).count_fits(
        worker.capacity, intents.MAX_GANG_TASKS
    )


def _make_request(shape: intents.TaskShape) -> model.Resources:
    """Return what a task of a shape takes out of a worker's capacity."""
    return model.Resources(
        round(shape.cores * _MILLI),
        round(shape.memory_gb * _MB_PER_GB),
        shape.gpus,
    )


def _describe_nearest_shape(
    workers: list[fleet.Worker], shape: intents.TaskShape
) -> str:
    capacity = max(worker.capacity for worker in workers)
    gpus = min(shape.gpus, capacity.gpus)
    cores = min(shape.cores, capacity.cpu_milli / _MILLI)
    memory_gb = min(shape.memory_gb, capacity.memory_mb / _MB_PER_GB)
    return (
        "No worker ever holds one such task; the nearest shape is"
        f" {gpus} accelerators, {cores:g} cores, {memory_gb:g} GB a task."
    )


def _describe_limits(spec: intents.AccountSpec) -> str:
    limit = str(spec.max_gpus) if spec.max_gpus else "no limit"
    teams = ", ".join(f"{k}: {v}" for k, v in sorted(spec.teams.items()))
    return f"accelerators {limit}; teams {teams or 'none'}"


def _make_refusal(reason: str) -> Draft:
    return Draft((), reason)
