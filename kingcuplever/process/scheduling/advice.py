"""Which workers may run which step, where a queue's policy decides that.

Only a service beside us knows, and answers slowly, one question at a time.
What it refused for a step stays refused; a ticket is good for a while.
"""

from typing import Final
from typing import NamedTuple

# Workers named in one question; the answer's time grows with each.
_MAX_WORKERS_PER_REQUEST: Final = 30
# A ticket must outlive the record and the order of a start.
_MIN_VALIDITY_S: Final = 0.5


class AdviceRequest(NamedTuple):
    """May these workers run a step.

    :ivar step: name of the step, ``JOB.OCCURRENCE.STEP``.
    """

    step: str
    workers: tuple[str, ...]


class AdviceReply(NamedTuple):
    """Which of them may, with a ticket each.

    :ivar tickets: by worker.
    :ivar valid_s: how long the tickets are good.
    """

    tickets: dict[str, str]
    valid_s: float


class _Ticket(NamedTuple):
    text: str
    until: float


class AdviceCache:
    """The answers so far, and the questions that are open."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._tickets: dict[str, dict[str, _Ticket]] = {}
        self._refused: dict[str, set[str]] = {}
        self._queued: dict[str, tuple[str, ...]] = {}
        self._step_in_flight = ""

    def find_ticket(self, step: str, worker: str, now: float) -> str:
        """Give the ticket of a worker for a step, or an empty text."""
        held = self._tickets.get(step, {}).get(worker)
        if held is None or held.until - now < _MIN_VALIDITY_S:
            return ""
        return held.text

    def queue_request(self, step: str, workers: list[str], now: float) -> None:
        """Have the workers asked for that are not known yet.

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

    def next_request(self) -> AdviceRequest | None:
        """Give the question to ask now, if none is under way."""
        if self._step_in_flight or not self._queued:
            return None
        step = next(iter(self._queued))
        self._step_in_flight = step
        return AdviceRequest(step, self._queued.pop(step))

    def apply_reply(
        self, question: AdviceRequest, answer: AdviceReply | None, now: float
    ) -> None:
        """Take in an answer; none if there was no whole one."""
        self._step_in_flight = ""
        if answer is None:
            return
        tickets = self._tickets.setdefault(question.step, {})
        refused = self._refused.setdefault(question.step, set())
        for worker in question.workers:
            text = answer.tickets.get(worker)
            if text is None:
                refused.add(worker)
            else:
                tickets[worker] = _Ticket(text, now + answer.valid_s)

    def drop_ticket(self, step: str, worker: str) -> None:
        """A worker has refused a ticket."""
        self._tickets.get(step, {}).pop(worker, None)

    def forget_job(self, job: str) -> None:
        """A job is over."""
        prefix = f"{job}."
        for table in (self._tickets, self._refused, self._queued):
            for step in [name for name in table if name.startswith(prefix)]:
                table.pop(step)
