"""Which life of a worker is the present one, as its side can verify it."""

from kingcuplever.process.agent import executor as executors


class Registered:
    """The worker's present life, as far as it has been verified."""

    def __init__(self) -> None:
        """Know no life yet."""
        self.present: executors.Registration | None = None
        self.candidate: executors.Registration | None = None
        self._over: set[str] = set()

    def heard(self, registration: executors.Registration) -> bool:
        """Take in a registration; tell whether it changes anything.

        One of a life that is over, or older than the newest, changes
        nothing.
        """
        if registration.life in self._over:
            return False
        present = self.present
        if present is None or present.life != registration.life:
            self.candidate = registration
            return True
        if registration.sequence <= present.sequence:
            return False
        self.present = registration
        return registration.draining != present.draining

    def verified(self, life: str) -> bool:
        """A call meant for a life was answered by it; tell if it is new."""
        candidate = self.candidate
        if candidate is None or candidate.life != life:
            return False
        if self.present is not None:
            self._over.add(self.present.life)
        self.present = candidate
        self.candidate = None
        return True

    def ended(self, life: str) -> bool:
        """A life is over; tell whether it was the present one."""
        self._over.add(life)
        if self.candidate is not None and self.candidate.life == life:
            self.candidate = None
        if self.present is not None and self.present.life == life:
            self.present = None
            return True
        return False
