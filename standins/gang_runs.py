"""Gang runs of stand-in executors, whose members work only together.

As on the users' platform, the work of a run begins when all its members are
present, and they end together: ``done``, or ``broken`` as one of them ended
in another way.  A member that waits too long for the others ends ``alone``.
"""

from collections.abc import Callable
from typing import Final
from typing import NamedTuple

# Longest wait for the other members, as in the examples of the protocol.
ALONE_S: Final = 3.0


class Member(NamedTuple):
    """One task of a gang run on its worker.

    :ivar begin: called when all members are present.
    :ivar end: called with the outcome once another member has ended.
    """

    begin: Callable[[], None]
    end: Callable[[str], None]


class GangRuns:
    """The gang runs of all workers of a deployment."""

    def __init__(self) -> None:
        """Start without runs."""
        self._members: dict[tuple[str, int], dict[str, Member]] = {}

    def join(self, task: str, run: int, size: int, member: Member) -> None:
        """Add a member; begin the run's work if it is the last.

        :param size: number of the run's members.
        """
        members = self._members.setdefault(_make_key(task, run), {})
        members[task] = member
        if len(members) == size:
            for each in members.values():
                each.begin()

    def leave(self, task: str, run: int, outcome: str) -> None:
        """Remove a member that has ended, and end the others."""
        others = self._members.pop(_make_key(task, run), {})
        others.pop(task, None)
        for other in others.values():
            other.end("done" if outcome == "done" else "broken")


def _make_key(task: str, run: int) -> tuple[str, int]:
    """Return the key of a run: its step and its number."""
    return task.rpartition(".")[0], run
