"""Tells the crash of a worker from other ways in which it can end.

A worker that crashes is in contact with its side until it goes, and its host
goes on without it.  A worker that was cut off, or whose host stood still, had
been silent before; one whose host was cut off takes the side's other contacts
along; one whose host lost power takes the side along.
"""

from typing import Final

from kingcuplever import clock

# Longest time from a worker's last answer to the first refused connection: a
# list that waits for an end and gets no answer, and the retry after it.
_MAX_SILENCE_S: Final = 3.0
# Longest time without contact to another host, before the first refused
# connection and after it: a report period and its reply.
_MAX_ISOLATION_S: Final = 1.5


class WorkerContact:
    """The contacts of a side to its worker, and to other hosts."""

    def __init__(self) -> None:
        """Start without contacts."""
        self._answered_at = clock.NEVER
        self._refused_at: clock.Moment | None = None
        self._silence_s = 0.0
        self._host_contact_at = clock.NEVER
        self._was_connected = False
        self._is_confirmed = False

    @property
    def is_refused(self) -> bool:
        """Whether nobody listens at the worker's address."""
        return self._refused_at is not None

    @property
    def silence_s(self) -> float:
        """Seconds from the last answer to the first refused connection."""
        return self._silence_s

    @property
    def saw_crash(self) -> bool:
        """Whether the worker, if it has ended, has crashed in contact."""
        return self._is_confirmed

    def record_answer(self) -> None:
        """Record that the worker has answered a call."""
        self._answered_at = clock.read_moment()
        self._refused_at = None
        self._is_confirmed = False

    def record_refusal(self) -> bool:
        """Record a refused connection; return whether it is the first."""
        if self._refused_at is not None:
            return False
        self._refused_at = clock.read_moment()
        self._silence_s = self._answered_at.elapsed_s()
        isolation_s = self._host_contact_at.elapsed_s()
        self._was_connected = (
            self._silence_s <= _MAX_SILENCE_S
            and isolation_s <= _MAX_ISOLATION_S
        )
        return True

    def record_host_contact(self) -> None:
        """Record that another host has answered."""
        self._host_contact_at = clock.read_moment()
        if self._refused_at is not None and self._was_connected:
            isolation_s = self._refused_at.elapsed_s()
            if isolation_s <= _MAX_ISOLATION_S:
                self._is_confirmed = True

    def reset(self) -> None:
        """Drop what is known of the worker, as another incarnation begins."""
        self._answered_at = clock.NEVER
        self._refused_at = None
        self._is_confirmed = False
