"""Settings: one fleet file in TOML, read once into one options object.

The same file lies on every host; a process takes from it the part that
carries its name.  Every fault is collected and named with its key, the value
found and what is allowed.
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
    """Where the platform's log service is.

    :ivar timeout_ms: bound of one append or read.
    """

    address: str
    timeout_ms: int = 2000


class TimingOptions(NamedTuple):
    """Periods and bounds, all in milliseconds.

    :ivar heartbeat_ms: from a side to each of its entries.
    :ivar silence_ms: a side unheard for so long is taken as lost.
    :ivar task_lease_ms: lease that a worker is asked for; a task ends so
        long after its side prolonged it last.
    :ivar alone_ms: how long a side prolongs leases without an owner.
    :ivar status_ms: how long an ended job can be asked for.
    :ivar key_horizon_ms: how long request keys are remembered.
    :ivar drain_ms: how long a stopping process waits for its requests.
    """

    heartbeat_ms: int = 1000
    silence_ms: int = 3500
    task_lease_ms: int = 6000
    alone_ms: int = 4000
    status_ms: int = 3_600_000
    key_horizon_ms: int = 600_000
    drain_ms: int = 15_000


class EntryOptions(NamedTuple):
    """One entry.

    :ivar callers: listener for callers' HTTP.
    :ivar operators: listener for operators' HTTP.
    :ivar peers: listener for sides.
    """

    data_centre: str
    callers: str
    operators: str
    peers: str


class SideOptions(NamedTuple):
    """One side.

    :ivar announcements: listener for the targets and the worker beside it.
    :ivar worker: address of the worker beside it, if there is one.
    """

    data_centre: str
    announcements: str
    worker: str = ""


class FleetOptions(NamedTuple):
    """The whole settings file.

    :ivar operator_tokens: token of each operator, by the operator's name.
    """

    deployment: str
    region: str
    log: LogOptions
    operator_tokens: dict[str, str]
    entry: dict[str, EntryOptions]
    side: dict[str, SideOptions]
    timing: TimingOptions = TimingOptions()


def load(path: str) -> FleetOptions:
    """Read and check a settings file.

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
            f"{path}: is not TOML ({error}); mend the named line."
        ) from error
    try:
        return parse(document)
    except plain.ValidationError as error:
        lines = "\n".join(f"{path}: {fault}" for fault in error.faults)
        raise errors.SettingsError(lines) from error


def parse(document: dict[str, Any]) -> FleetOptions:
    """Check a settings document.

    :raises plain.FaultyValue: with every fault.
    """
    fleet = plain.from_plain(FleetOptions, document)
    faults = [
        *_check_addresses(fleet),
        *_check_timing(fleet.timing),
        *_check_tokens(fleet),
    ]
    if faults:
        raise plain.ValidationError(faults)
    return fleet


def find_entry(fleet: FleetOptions, name: str) -> EntryOptions:
    """Give one entry's options.

    :raises errors.SettingsError: if there is none of that name.
    """
    if name not in fleet.entry:
        known = ", ".join(fleet.entry) or "none"
        raise errors.SettingsError(f"No [entry.{name}]; there are: {known}.")
    return fleet.entry[name]


def find_side(fleet: FleetOptions, name: str) -> SideOptions:
    """Give one side's options.

    :raises errors.SettingsError: if there is none of that name.
    """
    if name not in fleet.side:
        known = ", ".join(fleet.side) or "none"
        raise errors.SettingsError(f"No [side.{name}]; there are: {known}.")
    return fleet.side[name]


def split_address(address: str) -> tuple[str, int]:
    """Take ``IP:port`` apart.

    :raises ValueError: if it is none.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host)
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError("port out of range")
    return host, number


def _check_addresses(fleet: FleetOptions) -> list[plain.Fault]:
    found = [("log.address", fleet.log.address)]
    for name, entry in fleet.entry.items():
        found.append((f"entry.{name}.callers", entry.callers))
        found.append((f"entry.{name}.operators", entry.operators))
        found.append((f"entry.{name}.peers", entry.peers))
    for name, side in fleet.side.items():
        found.append((f"side.{name}.announcements", side.announcements))
        if side.worker:
            found.append((f"side.{name}.worker", side.worker))
    faults = []
    seen: dict[str, str] = {}
    for path, address in found:
        try:
            split_address(address)
        except ValueError:
            allowed = "an IP number and a port, as in 127.0.0.1:8101"
            faults.append(plain.Fault(path, repr(address), allowed))
            continue
        if address in seen:
            allowed = f"an address of its own; {seen[address]} has this one"
            faults.append(plain.Fault(path, repr(address), allowed))
        seen[address] = path
    return faults


def _check_timing(timing: TimingOptions) -> list[plain.Fault]:
    faults = [
        plain.Fault(f"timing.{name}", repr(value), "more than 0")
        for name, value in timing._asdict().items()
        if value <= 0
    ]
    if timing.silence_ms < 2 * timing.heartbeat_ms:
        allowed = "at least twice timing.heartbeat_ms"
        value = repr(timing.silence_ms)
        faults.append(plain.Fault("timing.silence_ms", value, allowed))
    if timing.task_lease_ms < 2 * timing.heartbeat_ms:
        allowed = "at least twice timing.heartbeat_ms"
        value = repr(timing.task_lease_ms)
        faults.append(plain.Fault("timing.task_lease_ms", value, allowed))
    return faults


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
