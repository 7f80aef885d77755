"""Finds silent workers that the platform's list of hosts has no more.

An executor that is not on the list has ended, so a worker that is gone for
good need not be waited for until its last permission has run out.
"""

from collections.abc import Collection
from collections.abc import Iterable
from typing import Final

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import maintenance_rounds

# Two lists without a worker must be so far apart: one may be a moment old.
CONFIRM_S: Final = 1.0


class AbsentWorkers:
    """The silent workers that the newest lists lacked."""

    def __init__(self) -> None:
        """Start without lists."""
        self._missing_since: dict[str, float] = {}

    def find_gone(
        self,
        silent: Collection[str],
        hosts: Iterable[maintenance_rounds.Host],
        now: float,
    ) -> list[str]:
        """Return the silent workers that are surely gone.

        :param silent: their names.
        :param hosts: all hosts, from a list that was requested just now.
        """
        listed = {host.worker_id for host in hosts}
        if not listed or "" in listed:
            # A host that does not name its worker may have any of them.
            self._missing_since.clear()
            return []
        missing = {
            name for name in silent if fleet.worker_id_of(name) not in listed
        }
        self._missing_since = {
            name: self._missing_since.get(name, now) for name in missing
        }
        return [
            name
            for name, since in self._missing_since.items()
            if now - since >= CONFIRM_S
        ]
