"""The configuration document: its shape, its checks, its defaults.

One accepted document lives as one version; versions only grow.  A document
is taken whole or refused whole.
"""

import json
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever import plain

MAX_SERVICES: Final = 1000


class SchedulingConfig(NamedTuple):
    """How work is placed.

    :ivar reclaim_ms: bound from a reclaim's decision to the placement.
    :ivar starvation_s: a job that waited so long gets room kept for it.
    :ivar job_failures: a gang that failed so often is given up.
    :ivar worker_failures: a worker that failed so many tasks in a row is
        quarantined.
    :ivar probation_s: length of a quarantine.
    """

    reclaim_ms: int = 5000
    starvation_s: float = 60.0
    job_failures: int = 3
    worker_failures: int = 3
    probation_s: float = 60.0


class ServiceConfig(NamedTuple):
    """How one service's requests are treated.

    :ivar connections: most requests in flight at one target.
    :ivar queue: most requests waiting at one entry.
    """

    connections: int = 60
    queue: int = 500


class AccountLimit(NamedTuple):
    """Limit of one account's requests.

    :ivar requests_per_s: over all entries together.
    :ivar burst: requests that may come at once.
    """

    requests_per_s: float
    burst: int = 20


class Configuration(NamedTuple):
    """The whole document."""

    scheduling: SchedulingConfig = SchedulingConfig()
    services: dict[str, ServiceConfig] = {}
    limits: dict[str, AccountLimit] = {}


def parse_document(document: Any) -> Configuration:
    """Check a document.

    :raises plain.FaultyValue: naming every fault.
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
    """Give the document as JSON text."""
    return json.dumps(plain.to_plain(config), sort_keys=True)


def _check_positive(path: str, value: Any) -> list[plain.Fault]:
    return [
        plain.Fault(f"{path}.{name}", repr(number), "0 or more, and finite")
        for name, number in value._asdict().items()
        if not 0 <= number < float("inf")
    ]
