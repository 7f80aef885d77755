"""The operator's configuration and the bodies of jobs, decoded."""

import json
from typing import Any
from typing import Final

from kingcuplever import errors
from kingcuplever.process.scheduling import model
from kingcuplever.version import job_queues

TOPIC: Final = "op"
CONFIG_KEY: Final = "config"

_MAX_BODY_BYTES: Final = 262_144
# Bounds what one job can ask of the scheduler.
_MAX_TASKS: Final = 10_000


def decode_config(data: bytes) -> job_queues.JobQueues:
    """Read the operator's configuration.

    :raises errors.InvalidRequest: if it can't be understood.
    """
    try:
        return _decode_config(json.loads(data))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.InvalidRequest(
            f"The configuration can't be read ({error!r})."
        ) from error


def _decode_config(document: dict[str, Any]) -> job_queues.JobQueues:
    routes = []
    queues = {}
    for row in document.get("Routes") or ():
        # A route of the pages is a queue with the address of its callers.
        name = _get_text(row, "Name")
        routes.append(
            job_queues.Route(
                name,
                _get_text(row, "Host").lower(),
                _get_text(row, "PathPrefix"),
                bool(row.get("Public")),
                int(row.get("TimeoutMs", 0)),
            )
        )
        queues[name] = model.QueuePolicy(
            name,
            _get_text(row, "Service"),
            int(row.get("Priority", 0)),
            int(row.get("MaxAttempts", 1)),
            float(row.get("Stretch", 1.0)),
            int(row.get("TargetLatencyMs", 0)),
            bool(row.get("Advice")),
        )
    accounts = {}
    guaranteed = {}
    for tenant in document.get("Tenants") or ():
        account = _get_text(tenant, "Name")
        for key in tenant.get("ApiKeys") or ():
            accounts[str(key)] = account
        promised = tenant.get("Guaranteed") or {}
        guaranteed[account] = int(promised.get("Gpu", 0))
    limits = document.get("Limits") or {}
    version = int(document["Version"])
    return job_queues.JobQueues(
        version,
        tuple(routes),
        accounts,
        int(limits.get("MaxBodyBytes", _MAX_BODY_BYTES)),
        model.Policy(version, queues, guaranteed),
    )


def _get_text(row: dict[str, Any], name: str) -> str:
    """Give a field that must be a text."""
    value = row[name]
    if not isinstance(value, str):
        raise TypeError(f"{name} is {value!r:.40}")
    return value


def decode_job(
    document: Any,
    queue: model.QueuePolicy,
    account: str,
    accepted_ms: int,
) -> model.JobSpec:
    """Read a job as a caller hands it in.

    :raises errors.InvalidRequest: naming what is wrong.
    """
    if not isinstance(document, dict):
        raise errors.InvalidRequest("A job is an object.")
    rows = document.get("Steps")
    if not isinstance(rows, list) or not rows:
        raise errors.InvalidRequest("Steps is missing; send a list.")
    steps = tuple(_decode_step(row, number) for number, row in enumerate(rows))
    if sum(step.tasks for step in steps) > _MAX_TASKS:
        raise errors.InvalidRequest(f"Over {_MAX_TASKS} tasks; send fewer.")
    return model.JobSpec(
        queue=queue.name,
        pool=queue.pool,
        account=account,
        payload=_get_value(document, "Spec", ""),
        steps=steps,
        accepted_ms=accepted_ms,
        times=_get_value(document, "Times", 0),
        first_ms=_get_value(document, "FirstMs", 0),
        period_ms=_get_value(document, "PeriodMs", 0),
        priority=queue.priority,
        most_attempts=queue.most_attempts,
    )


def _decode_step(row: Any, number: int) -> model.StepSpec:
    if not isinstance(row, dict):
        raise errors.InvalidRequest(f"Step {number} is no object.")
    count = _get_value(row, "Count", 0)
    if count < 1:
        raise errors.InvalidRequest(f"Step {number} has no tasks.")
    after = row.get("After") or []
    earlier = isinstance(after, list) and all(
        type(other) is int and 0 <= other < number for other in after
    )
    if not earlier:
        raise errors.InvalidRequest(
            f"Step {number} must come after earlier steps, not {after!r:.40}."
        )
    return model.StepSpec(
        tasks=count,
        cpu_milli=_get_value(row, "Cpu", 0),
        memory_mb=_get_value(row, "MemMb", 0),
        gpus=_get_value(row, "Gpu", 0),
        estimate_ms=_get_value(row, "EstRuntimeMs", 0),
        after=tuple(after),
        checkpointing=_get_value(row, "Checkpointing", False),
        gang=_get_value(row, "Gang", False),
        same_rack=_get_value(row, "SameRack", False),
        label=_get_value(row, "Needs", ""),
        data_rack=_get_value(row, "Affinity", ""),
        most_per_worker=_get_value(row, "AntiAffinity", 0),
        speculative=_get_value(row, "Speculative", False),
        long_running=_get_value(row, "LongRunning", False),
        image=_get_value(row, "Image", ""),
        target_ms=_get_value(row, "TargetMs", 0),
        fills=_get_value(row, "Fills", False),
        may_miss=_get_value(row, "MayMiss", 0),
    )


def _get_value(row: dict[str, Any], name: str, default: Any) -> Any:
    """Give a field of the default's type; a whole number may be a float."""
    value = row.get(name, default)
    if value is None:
        return default
    if type(default) is int and type(value) is float:
        return int(value)
    if type(value) is not type(default):
        raise errors.InvalidRequest(
            f"{name} is {value!r:.40}; send a {type(default).__name__}."
        )
    return value
