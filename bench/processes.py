"""Reads CPU time and memory of processes, and metrics of entries."""

import os
from typing import Final
from typing import NamedTuple

from standins import fleet as fleets

_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
_KB_PER_MB: Final = 1024.0


class ProcessCost(NamedTuple):
    """CPU time and memory of a process.

    :ivar cpu_s: CPU seconds used since its start.
    :ivar resident_mb: resident memory now, in MiB.
    """

    cpu_s: float
    resident_mb: float


def read_cost(pid: int) -> ProcessCost:
    """Read the cost of a process from ``/proc``."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        resident_line = next(line for line in file if line.startswith("VmRSS"))
    return ProcessCost(cpu_s, int(resident_line.split()[1]) / _KB_PER_MB)


def read_metric(fleet: fleets.Fleet, entry: str, name: str) -> float:
    """Read one sample from an entry's metrics.

    :param name: name of the sample with its labels.
    :raises KeyError: the entry has no such sample.
    """
    address = fleet.options.entry[entry].operators
    text = fleets.call(address, "GET", "/metrics").content.decode()
    for line in text.splitlines():
        if line.startswith(name + " "):
            return float(line.rpartition(" ")[2])
    raise KeyError(name)
