"""Reads the settings, one TOML file for all processes of a deployment.

Every host has the same file; a process finds its own table by its name.  All
faults are reported at once, each with its key, the value found and what is
allowed.
"""

import ipaddress
import pathlib
import tomllib
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever import errors
from kingcuplever import plain

MAX_PORT: Final = 65535
MIN_TOKEN_LENGTH: Final = 8


class LogOptions(NamedTuple):
    """Address of the platform's log service.

    :ivar timeout_ms: timeout of one append or read.
    """

    address: str
    timeout_ms: int = 2000


class TimingOptions(NamedTuple):
    """Periods and timeouts, all in milliseconds.

    :ivar heartbeat_ms: period of the heartbeats from a side to each entry.
    :ivar silence_ms: time without a heartbeat until a link counts as lost.
    :ivar task_lease_ms: lease that a side requests for each task; the worker
        ends a task whose lease was not renewed for this long.
    :ivar alone_ms: how long a side renews leases without contact to an owner.
    :ivar late_call_ms: how late a worker may carry out a call that it did
        not answer, if it counts the call's lease from then.
    :ivar log_outage_ms: how long tasks go on under an owner that the log does
        not confirm; after a takeover, the work of a host that has not
        reported is started elsewhere so much later.
    :ivar status_ms: how long the status of an ended job is retained.
    :ivar key_horizon_ms: how long idempotency keys are retained.
    :ivar drain_ms: how long a stopping process waits for its requests.
    """

    heartbeat_ms: int = 1000
    silence_ms: int = 3500
    task_lease_ms: int = 6000
    alone_ms: int = 4000
    late_call_ms: int = 0
    log_outage_ms: int = 60_000
    status_ms: int = 3_600_000
    key_horizon_ms: int = 600_000
    drain_ms: int = 15_000


class ResourceOptions(NamedTuple):
    """What each process may use.

    :ivar memory_mb: memory of its host for it, in MiB.
    :ivar descriptors: descriptors that it may have open.
    """

    memory_mb: int = 512
    descriptors: int = 4096


class EntryOptions(NamedTuple):
    """Settings of an entry.

    :ivar callers: listen address for callers' HTTP requests.
    :ivar operators: listen address for operators' HTTP requests.
    :ivar peers: listen address for connections of sides.
    """

    data_centre: str
    callers: str
    operators: str
    peers: str


class SideOptions(NamedTuple):
    """Settings of a side.

    :ivar announcements: listen address for announcements of targets and the
        registration of the worker.
    :ivar worker: address of the worker on the side's host, or empty.
    """

    data_centre: str
    announcements: str
    worker: str = ""


class FleetOptions(NamedTuple):
    """The settings file.

    :ivar operator_tokens: token of each operator, by the operator's name.
    """

    deployment: str
    region: str
    log: LogOptions
    operator_tokens: dict[str, str]
    entry: dict[str, EntryOptions]
    side: dict[str, SideOptions]
    timing: TimingOptions = TimingOptions()
    resources: ResourceOptions = ResourceOptions()


def load(path: str) -> FleetOptions:
    """Read and validate a settings file.

    :raises errors.SettingsError: naming the file and each fault.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        document = tomllib.loads(text)
    except OSError as error:
        raise errors.SettingsError(
            f"{path}: can't be read ({error.strerror}); check the path."
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"{path}: is not TOML ({error}); correct the named line."
        ) from error
    try:
        return parse(document)
    except plain.ValidationError as error:
        lines = "\n".join(f"{path}: {fault}" for fault in error.faults)
        raise errors.SettingsError(lines) from error


def parse(document: dict[str, Any]) -> FleetOptions:
    """Validate a settings document.

    :raises plain.ValidationError: with all faults.
    """
    fleet = plain.from_plain(FleetOptions, document)
    faults = [
        *_check_addresses(fleet),
        *_check_timing(fleet.timing),
        *_check_resources(fleet.resources),
        *_check_tokens(fleet),
    ]
    if faults:
        raise plain.ValidationError(faults)
    return fleet


def find_entry(fleet: FleetOptions, name: str) -> EntryOptions:
    """Return the settings of an entry.

    :raises errors.SettingsError: if there is no entry of that name.
    """
    if name not in fleet.entry:
        known = ", ".join(fleet.entry) or "none"
        raise errors.SettingsError(f"No [entry.{name}]; there are: {known}.")
    return fleet.entry[name]


def find_side(fleet: FleetOptions, name: str) -> SideOptions:
    """Return the settings of a side.

    :raises errors.SettingsError: if there is no side of that name.
    """
    if name not in fleet.side:
        known = ", ".join(fleet.side) or "none"
        raise errors.SettingsError(f"No [side.{name}]; there are: {known}.")
    return fleet.side[name]


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` into the IP address and the port.

    :raises ValueError: if the text has another form.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host)
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError("port out of range")
    return host, number


def _check_addresses(fleet: FleetOptions) -> list[plain.Fault]:
    addresses = [("log.address", fleet.log.address)]
    for name, entry in fleet.entry.items():
        addresses.append((f"entry.{name}.callers", entry.callers))
        addresses.append((f"entry.{name}.operators", entry.operators))
        addresses.append((f"entry.{name}.peers", entry.peers))
    for name, side in fleet.side.items():
        addresses.append((f"side.{name}.announcements", side.announcements))
        if side.worker:
            addresses.append((f"side.{name}.worker", side.worker))
    faults = []
    seen: dict[str, str] = {}
    for path, address in addresses:
        try:
            split_address(address)
        except ValueError:
            allowed = "an IP number and a port, as in 127.0.0.1:8101"
            faults.append(plain.Fault(path, repr(address), allowed))
            continue
        if address in seen:
            allowed = f"a unique address; {seen[address]} has this one"
            faults.append(plain.Fault(path, repr(address), allowed))
        seen[address] = path
    return faults


_MAY_BE_ZERO: Final = ("late_call_ms", "log_outage_ms")
_MIN_ALONE_MS: Final = 2000


def _check_timing(timing: TimingOptions) -> list[plain.Fault]:
    faults = [
        plain.Fault(f"timing.{name}", repr(value), "more than 0")
        for name, value in timing._asdict().items()
        if value <= 0 and name not in _MAY_BE_ZERO
    ]
    faults += [
        plain.Fault(f"timing.{name}", repr(getattr(timing, name)), "0 or more")
        for name in _MAY_BE_ZERO
        if getattr(timing, name) < 0
    ]
    if timing.alone_ms < _MIN_ALONE_MS:
        allowed = f"at least {_MIN_ALONE_MS}, two periods of a side's reports"
        value = repr(timing.alone_ms)
        faults.append(plain.Fault("timing.alone_ms", value, allowed))
    if timing.silence_ms < 2 * timing.heartbeat_ms:
        allowed = "at least twice timing.heartbeat_ms"
        value = repr(timing.silence_ms)
        faults.append(plain.Fault("timing.silence_ms", value, allowed))
    if timing.task_lease_ms < 2 * timing.heartbeat_ms:
        allowed = "at least twice timing.heartbeat_ms"
        value = repr(timing.task_lease_ms)
        faults.append(plain.Fault("timing.task_lease_ms", value, allowed))
    return faults


def _check_resources(resources: ResourceOptions) -> list[plain.Fault]:
    return [
        plain.Fault(f"resources.{name}", repr(value), "more than 0")
        for name, value in resources._asdict().items()
        if value <= 0
    ]


def _check_tokens(fleet: FleetOptions) -> list[plain.Fault]:
    return [
        plain.Fault(
            f"operator_tokens.{name}",
            "too short",
            f"at least {MIN_TOKEN_LENGTH} characters",
        )
        for name, token in fleet.operator_tokens.items()
        if len(token) < MIN_TOKEN_LENGTH
    ]
