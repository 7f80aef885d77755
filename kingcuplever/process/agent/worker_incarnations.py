"""Which life of a worker is the present one, as its side can verify it."""

from kingcuplever.process.agent import executor as executors


class IncarnationTracker:
    """The worker's present life, as far as it has been verified."""

    def __init__(self) -> None:
        """Know no life yet."""
        self.current: executors.Registration | None = None
        self.candidate: executors.Registration | None = None
        self._over: set[str] = set()

    def apply_registration(self, registration: executors.Registration) -> bool:
        """Take in a registration; tell whether it changes anything.

        One of a life that is over, or older than the newest, changes
        nothing.
        """
        if registration.incarnation in self._over:
            return False
        present = self.current
        if present is None or present.incarnation != registration.incarnation:
            self.candidate = registration
            return True
        if registration.sequence <= present.sequence:
            return False
        self.current = registration
        return registration.draining != present.draining

    def confirm_candidate(self, life: str) -> bool:
        """A call meant for a life was answered by it; tell if it is new."""
        candidate = self.candidate
        if candidate is None or candidate.incarnation != life:
            return False
        if self.current is not None:
            self._over.add(self.current.incarnation)
        self.current = candidate
        self.candidate = None
        return True

    def mark_ended(self, life: str) -> bool:
        """A life is over; tell whether it was the present one."""
        self._over.add(life)
        if self.candidate is not None and self.candidate.incarnation == life:
            self.candidate = None
        if self.current is not None and self.current.incarnation == life:
            self.current = None
            return True
        return False
