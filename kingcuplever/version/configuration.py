"""The configuration document: its schema, validation and defaults.

Each accepted document becomes a version; version numbers only increase.  A
document is accepted or refused as a whole.
"""

import json
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever import plain

MAX_SERVICES: Final = 1000


class SchedulingConfig(NamedTuple):
    """Settings of the scheduler.

    :ivar reclaim_ms: longest time from the decision to reclaim capacity to
        the placement for which it is reclaimed.
    :ivar starvation_s: wait time after which capacity is reserved for a job.
    :ivar job_failures: failures of a gang after which its job fails.
    :ivar worker_failures: consecutive failed tasks after which a worker is
        quarantined.
    :ivar probation_s: duration of a quarantine.
    :ivar drains_per_hour: how often each worker is expected to leave at
        short notice.
    """

    reclaim_ms: int = 5000
    starvation_s: float = 60.0
    job_failures: int = 3
    worker_failures: int = 3
    probation_s: float = 60.0
    drains_per_hour: float = 0.0


class ServiceConfig(NamedTuple):
    """Request limits of one service.

    :ivar connections: maximum requests in flight at one target.
    :ivar queue: maximum requests waiting at one entry.
    """

    connections: int = 60
    queue: int = 500


class AccountLimit(NamedTuple):
    """Rate limit of one client account.

    :ivar requests_per_s: rate over all entries together.
    :ivar burst: number of requests that may arrive at once.
    """

    requests_per_s: float
    burst: int = 20


class Configuration(NamedTuple):
    """The configuration document."""

    scheduling: SchedulingConfig = SchedulingConfig()
    services: dict[str, ServiceConfig] = {}
    limits: dict[str, AccountLimit] = {}


def parse_document(document: Any) -> Configuration:
    """Parse and validate a document.

    :raises plain.ValidationError: lists every invalid value.
    """
    config = plain.from_plain(Configuration, document, "config")
    faults = _check_positive("config.scheduling", config.scheduling)
    if not config.scheduling.job_failures:
        path = "config.scheduling.job_failures"
        faults.append(plain.Fault(path, "0", "1 or more"))
    for name, service in config.services.items():
        faults += _check_positive(f"config.services.{name}", service)
    for name, limit in config.limits.items():
        faults += _check_positive(f"config.limits.{name}", limit)
    if len(config.services) > MAX_SERVICES:
        allowed = f"at most {MAX_SERVICES}"
        count = str(len(config.services))
        faults.append(plain.Fault("config.services", count, allowed))
    if faults:
        raise plain.ValidationError(faults)
    return config


def to_text(config: Configuration) -> str:
    """Return the document as JSON text."""
    return json.dumps(plain.to_plain(config), sort_keys=True)


def _check_positive(path: str, value: Any) -> list[plain.Fault]:
    return [
        plain.Fault(f"{path}.{name}", repr(number), "0 or more, and finite")
        for name, number in value._asdict().items()
        if not 0 <= number < float("inf")
    ]
