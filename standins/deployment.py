"""Writes settings files of deployments of any size, for tests and benchmarks.

All listeners get free addresses of the loopback.
"""

import pathlib
from typing import Final
from typing import NamedTuple

from standins import fleet

OPERATOR_TOKEN: Final = "operator-token"
# Shorter than in production, so that failures are detected sooner.
_TIMING: Final = {
    "heartbeat_ms": 150,
    "silence_ms": 900,
    "task_lease_ms": 2000,
    "alone_ms": 2000,
    "log_outage_ms": 10_000,
    "status_ms": 600_000,
    "key_horizon_ms": 60_000,
    "drain_ms": 10_000,
}


class Shape(NamedTuple):
    """Size of a deployment.

    :ivar data_centres: count of sides in each data centre, by its name.
    :ivar entries: data centre of each entry.
    """

    data_centres: dict[str, int]
    entries: tuple[str, ...]


def write_settings(
    folder: str,
    shape: Shape,
    *,
    name: str = "fleet.toml",
    log: str = "",
    timing: dict[str, int] | None = None,
) -> str:
    """Write a settings file and return its path.

    :param log: address of the log; a free address if empty.
    :param timing: replaces single settings of the timing, in milliseconds.
    """
    lines = [
        'deployment = "test"',
        'region = "here"',
        "[log]",
        f'address = "{log or fleet.free_address()}"',
        "timeout_ms = 1000",
        "[timing]",
        *(f"{k} = {v}" for k, v in (_TIMING | (timing or {})).items()),
        "[operator_tokens]",
        f'rania = "{OPERATOR_TOKEN}"',
    ]
    for number, data_centre in enumerate(shape.entries, 1):
        lines += [
            f"[entry.e{number}]",
            f'data_centre = "{data_centre}"',
            f'callers = "{fleet.free_address()}"',
            f'operators = "{fleet.free_address()}"',
            f'peers = "{fleet.free_address()}"',
        ]
    for data_centre, count in shape.data_centres.items():
        for number in range(1, count + 1):
            lines += [
                f"[side.{data_centre}-w{number}]",
                f'data_centre = "{data_centre}"',
                f'announcements = "{fleet.free_address()}"',
                f'worker = "{fleet.free_address()}"',
            ]
    path = pathlib.Path(folder) / name
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return str(path)


def copy_with_address(path: str, old: str, new: str, name: str) -> str:
    """Copy a settings file with one address replaced; return the new path.

    :param name: file name of the copy, in the same folder.
    """
    source = pathlib.Path(path)
    text = source.read_text(encoding="utf-8").replace(old, new)
    target = source.with_name(name)
    target.write_text(text, encoding="utf-8")
    return str(target)
