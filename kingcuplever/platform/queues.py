"""Decodes the operator's configuration and the bodies of jobs."""

from typing import Any
from typing import Final

from kingcuplever import errors
from kingcuplever import lenient_json
from kingcuplever import plain
from kingcuplever.process.scheduling import model
from kingcuplever.version import job_queues

TOPIC: Final = "op"
CONFIG_KEY: Final = "config"

_DEFAULT_MAX_BODY_BYTES: Final = 262_144


def decode_config(data: bytes) -> job_queues.JobQueues:
    """Decode the operator's configuration.

    :raises errors.InvalidRequest: if it can't be decoded.
    """
    try:
        return _decode_config(lenient_json.parse(data))
    except plain.CONVERSION_ERRORS as error:
        raise errors.InvalidRequest(
            f"The configuration can't be decoded ({error!r})."
        ) from error


def _decode_config(document: dict[str, Any]) -> job_queues.JobQueues:
    routes = []
    queues = {}
    for row in document.get("Routes") or ():
        # The platform's route is a queue and the address for its callers.
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
    account_by_key = {}
    guaranteed_gpus = {}
    for tenant in document.get("Tenants") or ():
        account = _get_text(tenant, "Name")
        for key in tenant.get("ApiKeys") or ():
            account_by_key[str(key)] = account
        guarantee = tenant.get("Guaranteed") or {}
        guaranteed_gpus[account] = int(guarantee.get("Gpu", 0))
    limits = document.get("Limits") or {}
    version = int(document["Version"])
    return job_queues.JobQueues(
        version,
        tuple(routes),
        account_by_key,
        int(limits.get("MaxBodyBytes", _DEFAULT_MAX_BODY_BYTES)),
        model.Policy(
            version,
            queues,
            guaranteed_gpus,
            uses_host_speeds=True,
            separates_neighbours=True,
        ),
    )


def _get_text(row: dict[str, Any], name: str) -> str:
    """Return a field that must be a string."""
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
    """Decode a job that a caller submits.

    :param accepted_ms: wall-clock time of the submission.
    :raises errors.InvalidRequest: naming the wrong field.
    """
    if not isinstance(document, dict):
        raise errors.InvalidRequest("A job must be a JSON object.")
    rows = document.get("Steps")
    if not isinstance(rows, list) or not rows:
        raise errors.InvalidRequest("Steps is missing or empty; send a list.")
    steps = tuple(_decode_step(row, number) for number, row in enumerate(rows))
    spec = model.JobSpec(
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
    fault = model.explain_invalid(spec)
    if fault:
        raise errors.InvalidRequest(f"The job is invalid: {fault}.")
    return spec


def _decode_step(row: Any, number: int) -> model.StepSpec:
    if not isinstance(row, dict):
        raise errors.InvalidRequest(f"Step {number} must be a JSON object.")
    count = _get_value(row, "Count", 0)
    if count < 1:
        raise errors.InvalidRequest(f"Step {number} has no tasks.")
    after = row.get("After") or []
    is_valid = isinstance(after, list) and all(
        type(other) is int and 0 <= other < number for other in after
    )
    if not is_valid:
        raise errors.InvalidRequest(
            f"After of step {number} must list earlier steps,"
            f" not {after!r:.40}."
        )
    return model.StepSpec(
        tasks=count,
        cpu_milli=_get_value(row, "Cpu", 0),
        memory_mb=_get_value(row, "MemMb", 0),
        gpus=_get_value(row, "Gpu", 0),
        estimate_ms=_get_value(row, "EstRuntimeMs", 0),
        after=tuple(dict.fromkeys(after)),
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
    """Return a field, which must have the type of its default.

    If the default is an integer, a float is truncated to one.

    :raises errors.InvalidRequest: if the field has another type, or is a
        number out of range or a string that is not valid Unicode.
    """
    value = row.get(name, default)
    if value is None:
        return default
    try:
        if type(default) is int and type(value) is float:
            value = int(value)
        if type(value) is str:
            value.encode()
    except plain.CONVERSION_ERRORS as error:
        raise errors.InvalidRequest(
            f"{name} is {value!r:.40} ({error!r:.60}); correct it."
        ) from error
    if type(value) is not type(default):
        raise errors.InvalidRequest(
            f"{name} is {value!r:.40}; send a {type(default).__name__}."
        )
    if type(value) is int and not 0 <= value <= model.MAX_NUMBER:
        raise errors.InvalidRequest(
            f"{name} is {value!r:.40}; send 0 to {model.MAX_NUMBER}."
        )
    return value
