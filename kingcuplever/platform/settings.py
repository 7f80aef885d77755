"""Reads the settings file that the platform gives to each process."""

import os
import tomllib
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import keyed_log
from kingcuplever import errors

_PATH_VARIABLE: Final = "KINGCUPLEVER_SETTINGS"
# The port that deploy/system.toml gives for metrics.
_DEFAULT_METRICS_PORT: Final = 9464
# Without a setting, hosts are assumed to return from maintenance at once.
_DEFAULT_HOST_DOWNTIME_S: Final = 0.0
_DEFAULT_MEMORY_MB: Final = 512.0
_DEFAULT_DESCRIPTORS: Final = 4096.0


class HostSettings(NamedTuple):
    """The settings that a process uses; the rest of the file is ignored.

    :ivar name: name of the host.
    :ivar callers: listener for callers; empty on a side.
    :ivar health: listener for the load balancer's probes; empty on a side.
    :ivar registry: listener for the worker's registrations; empty on an entry.
    :ivar worker: address of the worker beside a side, or empty.
    :ivar peers: listener for connections from sides and other entries.
    :ivar adviser: address of the adviser service, or empty.
    :ivar hosts: address of the list of hosts, or empty.
    :ivar metrics: listener for metrics.
    :ivar log: address of the log service.
    :ivar log_limits: what it takes.
    :ivar election_weight: 0 to 1; a higher weight claims ownership earlier.
    :ivar memory_mb: memory that the process may take, in MB.
    :ivar descriptors: descriptors that it may have open.
    :ivar lease_ms: longest lease that a worker grants, in ms.
    :ivar ended_job_retention_s: how long an ended job's state can be read.
    :ivar grace_s: time from SIGTERM to SIGKILL.
    :ivar host_downtime_s: how long a host is down during maintenance.
    """

    name: str
    data_centre: str
    callers: str
    health: str
    registry: str
    worker: str
    peers: str
    metrics: str
    adviser: str
    hosts: str
    log: str
    log_limits: keyed_log.AppendLimits
    election_weight: float
    memory_mb: float
    descriptors: int
    lease_ms: int
    ended_job_retention_s: float
    grace_s: float
    host_downtime_s: float


def load() -> HostSettings:
    """Read the settings file that the environment names.

    :raises errors.SettingsError: naming the key that is missing or wrong.
    """
    path = os.environ.get(_PATH_VARIABLE, "")
    if not path:
        raise errors.SettingsError(
            f"Set {_PATH_VARIABLE} to the path of the settings file."
        )
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise errors.SettingsError(f"{path}: {error}.") from error
    return parse(document, path)


def parse(document: dict[str, Any], path: str) -> HostSettings:
    """Check and convert the settings document.

    :raises errors.SettingsError: naming the key that is missing or wrong.
    """
    reader = _Reader(document, path)
    host = reader.get_string("Ip")
    first_port = reader.get_first_port("PortRange")
    cores = reader.get_number("Limits.CpuShare") * reader.get_number(
        "Limits.Cores"
    )
    mbps = reader.get_number("Limits.LinkMbps")
    return HostSettings(
        name=reader.get_string("NodeName"),
        data_centre=reader.get_string("Zone"),
        callers=reader.get_string("Listen.Front", ""),
        health=reader.get_string("Listen.Ready", ""),
        registry=reader.get_string("Listen.Control", ""),
        worker=reader.get_string("app", ""),
        peers=f"{host}:{first_port}",
        metrics=f"{host}:"
        f"{reader.get('MetricsPort', int, _DEFAULT_METRICS_PORT)}",
        adviser=reader.get_string("Advice", ""),
        hosts=reader.get_string("Cloud.Address", ""),
        log=reader.get_string("platform.Address"),
        log_limits=_read_log_limits(reader),
        election_weight=_compute_election_weight(cores, mbps),
        memory_mb=reader.get_number("Limits.MemoryMb", _DEFAULT_MEMORY_MB),
        descriptors=int(
            reader.get_number("Limits.MaxFds", _DEFAULT_DESCRIPTORS)
        ),
        lease_ms=int(reader.get_number("Bounds.HoldMaxMs")),
        ended_job_retention_s=reader.get_number("Bounds.status_s"),
        grace_s=reader.get_number("Bounds.GraceS"),
        host_downtime_s=reader.get_number(
            "Bounds.UpkeepS", _DEFAULT_HOST_DOWNTIME_S
        ),
    )


def _read_log_limits(reader: "_Reader") -> keyed_log.AppendLimits:
    usual = keyed_log.USUAL_LIMITS
    return keyed_log.AppendLimits(
        int(reader.get_number("platform.RecordBytes", usual.record_bytes)),
        int(reader.get_number("platform.CallBytes", usual.call_bytes)),
    )


# At these limits and above, a host has the full election weight of 1.
_FULL_WEIGHT_CORES: Final = 2.0
_FULL_WEIGHT_MBPS: Final = 100.0


def _compute_election_weight(cores: float, mbps: float) -> float:
    """Return the weight, 0 to 1, of a host by its scarcer resource.

    :param cores: CPU cores that the process may use.
    :param mbps: bandwidth of the host's link, in Mbit/s.
    """
    return min(1.0, cores / _FULL_WEIGHT_CORES, mbps / _FULL_WEIGHT_MBPS)


class _Reader:
    """Reads values by dotted path; errors name the key."""

    def __init__(self, document: dict[str, Any], path: str) -> None:
        self._document = document
        self._path = path

    def get(self, key: str, expected: Any, default: Any = None) -> Any:
        """Return the value at a dotted path.

        :param expected: type or tuple of types; a bool is never accepted.
        :raises errors.SettingsError: if it is missing or of another type.
        """
        value: Any = self._document
        for part in key.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            value = default
        if not isinstance(value, expected) or isinstance(value, bool):
            found = "missing" if value is None else repr(value)
            raise errors.SettingsError(
                f"{self._path}: {key} is {found}; see the platform's"
                " documentation."
            )
        return value

    def get_first_port(self, key: str) -> int:
        """Return the first port of a range."""
        ports = self.get(key, list)
        if not ports or type(ports[0]) is not int:
            raise errors.SettingsError(
                f"{self._path}: {key} is {ports!r:.40}; set two port numbers."
            )
        return int(ports[0])

    def get_string(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        return str(self.get(key, str, default))

    def get_number(self, key: str, default: float | None = None) -> float:
        """Return a number."""
        return float(self.get(key, (int, float), default))
