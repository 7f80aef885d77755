"""Caches which workers may run a step of a queue that needs advice.

The adviser is an external service that answers slowly, one request at a time.
A worker that it refuses for a step stays refused; one that it allows gets a
ticket that is valid for a limited time.
"""

from typing import Final
from typing import NamedTuple

# The adviser's response time grows with each worker.
_MAX_WORKERS_PER_REQUEST: Final = 30
# A ticket must stay valid until the start's record is on the log and the
# order has reached the worker.
_MIN_VALIDITY_S: Final = 0.5


class AdviceRequest(NamedTuple):
    """Asks the adviser which of some workers may run a step.

    :ivar step: name of the step, ``JOB.OCCURRENCE.STEP``.
    """

    step: str
    workers: tuple[str, ...]


class AdviceReply(NamedTuple):
    """The adviser's reply to a request.

    :ivar tickets: ticket by worker; workers left out are refused.
    :ivar valid_s: how long the tickets are valid.
    """

    tickets: dict[str, str]
    valid_s: float


class _Ticket(NamedTuple):
    text: str
    expires_at: float


class AdviceCache:
    """Tickets and refusals by step, and the queue of requests.

    At most one request is in flight.
    """

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._tickets: dict[str, dict[str, _Ticket]] = {}
        self._refused: dict[str, set[str]] = {}
        self._queued: dict[str, tuple[str, ...]] = {}
        self._step_in_flight = ""

    def find_ticket(self, step: str, worker: str, now: float) -> str:
        """Return a worker's valid ticket for a step, or an empty string."""
        ticket = self._tickets.get(step, {}).get(worker)
        if ticket is None or ticket.expires_at - now < _MIN_VALIDITY_S:
            return ""
        return ticket.text

    def queue_request(self, step: str, workers: list[str], now: float) -> None:
        """Queue a request for the workers without a ticket or refusal.

        It replaces the step's queued request; nothing is queued while the
        step's request is in flight.

        :param workers: those that could run the step, the best first.
        """
        refused = self._refused.get(step, set())
        unknown = [
            worker
            for worker in workers
            if worker not in refused
            and not self.find_ticket(step, worker, now)
        ]
        if unknown and step != self._step_in_flight:
            self._queued[step] = tuple(unknown[:_MAX_WORKERS_PER_REQUEST])

    def extend_request(
        self, step: str, workers: list[str], now: float
    ) -> None:
        """Queue a request for workers beside those that are queued already."""
        queued = self._queued.get(step, ())
        self.queue_request(step, [*dict.fromkeys([*workers, *queued])], now)

    def is_refused(self, step: str, worker: str) -> bool:
        """Return whether a worker may not run a step."""
        return worker in self._refused.get(step, ())

    def next_request(self) -> AdviceRequest | None:
        """Return the next queued request, unless one is in flight."""
        if self._step_in_flight or not self._queued:
            return None
        step = next(iter(self._queued))
        self._step_in_flight = step
        return AdviceRequest(step, self._queued.pop(step))

    def apply_reply(
        self, request: AdviceRequest, reply: AdviceReply | None, now: float
    ) -> None:
        """Apply the reply to the request in flight; None if it failed."""
        self._step_in_flight = ""
        if reply is None:
            return
        tickets = self._tickets.setdefault(request.step, {})
        refused = self._refused.setdefault(request.step, set())
        for worker in request.workers:
            text = reply.tickets.get(worker)
            if text is None:
                refused.add(worker)
            else:
                tickets[worker] = _Ticket(text, now + reply.valid_s)

    def drop_ticket(self, step: str, worker: str) -> None:
        """Drop a ticket that its worker has refused."""
        self._tickets.get(step, {}).pop(worker, None)

    def forget_job(self, job: str) -> None:
        """Drop everything about the steps of a job."""
        prefix = f"{job}."
        for table in (self._tickets, self._refused, self._queued):
            for step in [name for name in table if name.startswith(prefix)]:
                table.pop(step)
