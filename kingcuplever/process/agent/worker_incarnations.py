"""Tracks which incarnation of a worker is the current one.

A registration may arrive late or out of order, and the wall clock that tells
the incarnations of one id apart may be set back.  So a new incarnation is only
a candidate until it has answered a call; whichever answers is the newest.
"""

from kingcuplever.process.agent import executor as executors
from kingcuplever.process.scheduling import fleet


class IncarnationTracker:
    """Keeps a worker's current incarnation and the candidate to replace it.

    :ivar current: newest registration of the incarnation that has answered.
    :ivar candidate: registration of one that has not answered yet.
    """

    def __init__(self) -> None:
        """Start without an incarnation."""
        self.current: executors.Registration | None = None
        self.candidate: executors.Registration | None = None
        self._ended: set[str] = set()

    def apply_registration(self, registration: executors.Registration) -> bool:
        """Apply a registration.

        It is ignored if its incarnation has ended, if one as new of the
        current incarnation has been applied, or if it does not state the
        start of a worker that has stated it.

        :return: whether it names a candidate, or changes whether the current
            incarnation drains or its capacity.
        """
        if registration.incarnation in self._ended:
            return False
        current = self.current
        if current is not None and _lacks_birth(registration, current):
            return False
        if current is None or current.incarnation != registration.incarnation:
            self.candidate = registration
            return True
        if registration.sequence <= current.sequence:
            return False
        self.current = registration
        return (
            registration.draining != current.draining
            or registration.capacity != current.capacity
        )

    def confirm_candidate(self, incarnation: str) -> bool:
        """Make an incarnation that has answered a call the current one.

        :return: whether it was the candidate.
        """
        candidate = self.candidate
        if candidate is None or candidate.incarnation != incarnation:
            return False
        if self.current is not None:
            self._ended.add(self.current.incarnation)
        self.current = candidate
        self.candidate = None
        return True

    def has_ended(self, incarnation: str) -> bool:
        """Return whether an incarnation is known to have ended."""
        return incarnation in self._ended

    def deregister(self, worker_id: str) -> None:
        """Drop a candidate that has deregistered.

        A deregistration names no start.  It may be late, and of a former
        incarnation, so one with a start may register again.
        """
        self._ended.add(worker_id)
        candidate = self.candidate
        if (
            candidate is not None
            and fleet.worker_id_of(candidate.incarnation) == worker_id
        ):
            self.candidate = None

    def mark_ended(self, incarnation: str) -> bool:
        """Record an incarnation's end; return whether it was current."""
        self._ended.add(incarnation)
        if (
            self.candidate is not None
            and self.candidate.incarnation == incarnation
        ):
            self.candidate = None
        if (
            self.current is not None
            and self.current.incarnation == incarnation
        ):
            self.current = None
            return True
        return False


def _lacks_birth(
    registration: executors.Registration, current: executors.Registration
) -> bool:
    """Return whether a registration lacks the start that its worker states."""
    return current.incarnation != registration.incarnation and (
        fleet.worker_id_of(current.incarnation) == registration.incarnation
    )
