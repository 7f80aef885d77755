"""The settings file that the platform gives to each process."""

import os
import tomllib
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever import errors

_PATH_VARIABLE: Final = "KINGCUPLEVER_SETTINGS"
# Where deploy/system.toml says that the metrics are.
_METRICS_PORT: Final = 9464
# Where the platform does not say, hosts are taken to come back at once.
_DOWN_S: Final = 0.0


class HostSettings(NamedTuple):
    """What a process needs of its settings; the rest is ignored.

    :ivar name: of the host.
    :ivar callers: address of the callers' listener; empty on a side.
    :ivar health: address of the balancer's probes; empty on a side.
    :ivar registry: address where the worker registers; empty on an entry.
    :ivar worker: address of the worker beside a side, or empty.
    :ivar peers: address of our own processes' links.
    :ivar adviser: address of the service that advises on queues, or empty.
    :ivar hosts: address of the list of workers' hosts, or empty.
    :ivar metrics: address of the process's own metrics.
    :ivar log: address of the platform's log.
    :ivar strength: 0 to 1, how much of a host it is beside others.
    :ivar lease_ms: longest lease that a worker grants.
    :ivar status_s: how long an ended job can be asked for.
    :ivar grace_s: from SIGTERM to SIGKILL.
    :ivar down_s: how long a worker's host is down for its maintenance.
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
    election_weight: float
    lease_ms: int
    status_s: float
    grace_s: float
    down_s: float


def load() -> HostSettings:
    """Read the settings file that the environment names.

    :raises errors.SettingsError: naming the key that is missing or wrong.
    """
    path = os.environ.get(_PATH_VARIABLE, "")
    if not path:
        raise errors.SettingsError(f"Set {_PATH_VARIABLE} to the file's path.")
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise errors.SettingsError(f"{path}: {error}.") from error
    return parse(document, path)


def parse(document: dict[str, Any], path: str) -> HostSettings:
    """Check and translate the settings.

    :raises errors.SettingsError: naming the key that is missing or wrong.
    """
    read = _Reader(document, path)
    host = read.text("Ip")
    first_port = read.first_port("PortRange")
    cores = read.number("Limits.CpuShare") * read.number("Limits.Cores")
    mbps = read.number("Limits.LinkMbps")
    return HostSettings(
        name=read.text("NodeName"),
        data_centre=read.text("Zone"),
        callers=read.text("Listen.Front", ""),
        health=read.text("Listen.Ready", ""),
        registry=read.text("Listen.Control", ""),
        worker=read.text("app", ""),
        peers=f"{host}:{first_port}",
        metrics=f"{host}:{read.get('MetricsPort', int, _METRICS_PORT)}",
        adviser=read.text("Advice", ""),
        hosts=read.text("Cloud.Address", ""),
        log=read.text("platform.Address"),
        election_weight=_compute_election_weight(cores, mbps),
        lease_ms=int(read.number("Bounds.HoldMaxMs")),
        status_s=read.number("Bounds.status_s"),
        grace_s=read.number("Bounds.GraceS"),
        down_s=read.number("Bounds.UpkeepS", _DOWN_S),
    )


# A host of so many cores and so wide a link is as strong as need be.
_FULL_CORES: Final = 2.0
_FULL_MBPS: Final = 100.0


def _compute_election_weight(cores: float, mbps: float) -> float:
    """Weigh a host by its scarcer resource, 0 to 1."""
    return min(1.0, cores / _FULL_CORES, mbps / _FULL_MBPS)


class _Reader:
    """Reads values by dotted path, with errors that name the key."""

    def __init__(self, document: dict[str, Any], path: str) -> None:
        self._document = document
        self._path = path

    def get(self, key: str, kind: Any, default: Any = None) -> Any:
        """Give the value at a dotted path."""
        value: Any = self._document
        for part in key.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            value = default
        if not isinstance(value, kind) or isinstance(value, bool):
            found = "missing" if value is None else repr(value)
            raise errors.SettingsError(
                f"{self._path}: {key} is {found}; set it as the platform's"
                " pages say."
            )
        return value

    def first_port(self, key: str) -> int:
        """Give the first port of a range."""
        ports = self.get(key, list)
        if not ports or type(ports[0]) is not int:
            raise errors.SettingsError(
                f"{self._path}: {key} is {ports!r:.40}; set two port numbers."
            )
        return int(ports[0])

    def text(self, key: str, default: str | None = None) -> str:
        """Give a text."""
        return str(self.get(key, str, default))

    def number(self, key: str, default: float | None = None) -> float:
        """Give a number."""
        return float(self.get(key, (int, float), default))
