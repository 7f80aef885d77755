"""Answers callers about jobs: hand in, look, cancel, count.

An answer is given only for what the log has: a job is accepted once its
record is acknowledged, and refused only while nothing of it can be there.
"""

from collections.abc import Sequence
from typing import Final
from typing import NamedTuple
from typing import Protocol

import trio

from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
from kingcuplever.process.stored import log_producer
from kingcuplever.process.stored import topic_follower

# A view of the jobs older than this says nothing about jobs it lacks.
MAX_VIEW_AGE_S: Final = 2.5
# An entry whose view is older asks for no new callers: two polls and a slow
# answer; the balancer needs two seconds more to act on it.
_READY_VIEW_AGE_S: Final = 1.6
# After a failed append the log must have been read so much later before
# callers are asked for again; shorter than the balancer's two probes.
_READ_AFTER_FAILURE_S: Final = 0.5
# An append that takes longer is handed to another entry as well; over the
# time of a slow append, under that of a connection that fails.
_RELAY_AFTER_S: Final = 0.25
# Once neither the log nor another entry took a record, others are refused
# at once for so long; a fraction of when they are told to come back.
_CIRCUIT_OPEN_S: Final = 0.3
# How long one look at the log may take before the view counts as old.
_REFRESH_TIMEOUT_S: Final = 0.8
# The age of a view that was never read, as told to others.
_MAX_REPORTED_AGE_S: Final = 3600.0
# From a view older than this a job that goes on is shown only if no other
# entry knows better; one poll and a slow answer.
RELAY_VIEW_AGE_S: Final = 1.0


class JobStatus(NamedTuple):
    """A job as callers may see it.

    :ivar account: whose job it is, or empty.
    """

    state: str
    account: str


class JobRelay(Protocol):
    """Other entries, for an entry that the log turns away."""

    async def append(
        self, records: Sequence[keyed_log.KeyedRecord], timeout_s: float
    ) -> None:
        """Have records appended.

        :raises errors.LogRefused: surely nothing was done.
        :raises errors.LogUnavailable: it may or may not be done.
        """

    async def query_job(self, job: str) -> messages.JobAnswer | None:
        """Have told how a job is; none if nobody can."""


class JobApi:
    """Takes jobs in and tells how they are."""

    def __init__(
        self,
        board: job_table.JobTable,
        follower: topic_follower.Follower,
        appender: log_producer.BatchAppender,
        relay: JobRelay,
    ) -> None:
        """Answer from a board that a follower keeps up to date.

        :param relay: serves where the log turns this entry away.
        """
        self._relay = relay
        self._circuit_open_until = float("-inf")
        self._board = board
        self._follower = follower
        self._appender = appender

    @property
    def is_ready(self) -> bool:
        """Whether callers are better served here than by another entry."""
        failed_at = self._appender.failed_at
        if failed_at is not None:
            if self._follower.last_read_at < failed_at + _READ_AFTER_FAILURE_S:
                return False
        return self._follower.age_s(trio.current_time()) < _READY_VIEW_AGE_S

    @property
    def view_age_s(self) -> float:
        """Time since the jobs were last read from the log, in seconds."""
        return self._follower.age_s(trio.current_time())

    @property
    def is_fresh(self) -> bool:
        """Whether the jobs have been read from the log recently."""
        return self.view_age_s < MAX_VIEW_AGE_S

    async def submit(
        self, job: str, spec: model.JobSpec, timeout_s: float
    ) -> None:
        """Take a job in; handing it in again changes nothing.

        :raises errors.KingcupleverError: ``OVERLOADED`` if it is surely not
            taken, ``OUTCOME_UNKNOWN`` if that can't be told.
        """
        known = self._board.jobs.get(job)
        if known is not None and known.spec is not None:
            logs.info(logs.Component.PLACE, f"Job {job} is known already.")
            return
        await self._append(
            job, job_records.encode_submission(job, spec), timeout_s
        )
        logs.info(
            logs.Component.PLACE,
            f"Job {job} of {spec.account} on {spec.queue} is accepted.",
        )

    async def read_job(self, job: str) -> JobStatus:
        """Give a job as the log has it.

        Where this entry can't read the log another one is asked: callers of
        a place know no other entry, and would wait for a job that is over.

        :raises errors.KingcupleverError: ``GONE`` if there is none,
            ``OVERLOADED`` if nobody's view is new enough to say so.
        """
        found = self._find_in_view(job)
        if found is not None and found.state in model.ENDED_STATES:
            return found
        if self.view_age_s <= RELAY_VIEW_AGE_S:
            if found is not None:
                return found
            if await self._refresh():
                return self._get_or_raise_gone(job)
        told = await self._relay.query_job(job)
        if told is not None and told.age_ms < self.view_age_s * 1000:
            return self._make_relayed_status(job, told)
        if found is None and not await self._refresh():
            raise errors.KingcupleverError(
                "The jobs can't be read at present.", errors.Code.OVERLOADED
            )
        return found or self._get_or_raise_gone(job)

    async def answer_query(self, job: str) -> messages.JobAnswer:
        """Tell another entry how a job is."""
        found = self._find_in_view(job)
        if found is None and await self._refresh():
            found = self._find_in_view(job)
        age_ms = int(min(self.view_age_s, _MAX_REPORTED_AGE_S) * 1000)
        if found is None:
            return messages.JobAnswer(False, "", "", age_ms)
        return messages.JobAnswer(True, *found, age_ms)

    def _find_in_view(self, job: str) -> JobStatus | None:
        found = self._board.jobs.get(job)
        if found is None or found.spec is None:
            return None
        return JobStatus(found.state, found.spec.account)

    def _get_or_raise_gone(self, job: str) -> JobStatus:
        found = self._find_in_view(job)
        if found is None:
            raise errors.KingcupleverError(
                f"There is no job {job}.", errors.Code.GONE
            )
        return found

    def _make_relayed_status(
        self, job: str, told: messages.JobAnswer
    ) -> JobStatus:
        """Use another entry's word.

        :raises errors.KingcupleverError: there is no such job, or nobody has
            a view that is new enough to say so.
        """
        text = (
            f"Job {job} is told by another entry, as of {told.age_ms} ms ago:"
            f" {told.state or 'not known'}."
        )
        logs.info(logs.Component.ROUTE, text)
        if told.known:
            return JobStatus(told.state, told.account)
        if told.age_ms > MAX_VIEW_AGE_S * 1000:
            raise errors.KingcupleverError(
                "The jobs can't be read at present.", errors.Code.OVERLOADED
            )
        raise errors.KingcupleverError(
            f"There is no job {job}.", errors.Code.GONE
        )

    async def cancel(self, job: str, timeout_s: float) -> None:
        """Cancel a job that :meth:`look` has found.

        :raises errors.KingcupleverError: see :meth:`submit`.
        """
        found = self._board.jobs.get(job)
        if found is not None and found.cancelled:
            return
        await self._append(
            job, job_records.encode_cancellation(job), timeout_s
        )
        logs.info(
            logs.Component.PLACE, f"Job {job} is cancelled by its caller."
        )

    def count_waiting(self, queue: str) -> int:
        """Count the accepted jobs of a queue that have not begun.

        :raises errors.KingcupleverError: ``OVERLOADED`` with an old view.
        """
        if not self.is_fresh:
            raise errors.KingcupleverError(
                "The jobs can't be read at present.", errors.Code.OVERLOADED
            )
        return self._board.count_waiting(queue)

    async def _append(
        self, job: str, record: keyed_log.KeyedRecord, timeout_s: float
    ) -> None:
        try:
            await self._append_or_relay(record, timeout_s)
        except errors.LogRefused as error:
            logs.warn(
                logs.Component.PLACE, f"Job {job} refused: {error.detail}"
            )
            raise errors.KingcupleverError(
                error.detail, errors.Code.OVERLOADED
            ) from error
        except errors.LogUnavailable as error:
            logs.warn(
                logs.Component.PLACE, f"Job {job} unknown: {error.detail}"
            )
            raise errors.KingcupleverError(
                error.detail, errors.Code.OUTCOME_UNKNOWN
            ) from error

    async def _append_or_relay(
        self, record: keyed_log.KeyedRecord, timeout_s: float
    ) -> None:
        """Append here, or have another entry do it.

        :raises errors.LogRefused: surely nobody did it, or will.
        :raises errors.LogUnavailable: somebody may have done it.
        """
        if trio.current_time() < self._circuit_open_until:
            raise errors.LogRefused("Neither the log nor an entry answers.")
        until = trio.current_time() + timeout_s
        own = _LocalAppend()
        failure: errors.LogUnavailable | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(own.run, self._appender, record, timeout_s)
            with trio.move_on_after(_RELAY_AFTER_S):
                await own.done.wait()
            if not own.is_acknowledged:
                with trio.CancelScope() as helping:
                    nursery.start_soon(own.cancel_when_acknowledged, helping)
                    failure = await self._relay_append(record, own, until)
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _relay_append(
        self, record: keyed_log.KeyedRecord, own: "_LocalAppend", until: float
    ) -> errors.LogUnavailable | None:
        """Have another entry append; else wait for what became of our own.

        :return: why the record is not known to be there, if it is not.
        """
        is_refused = False
        left_s = max(0.0, until - trio.current_time())
        try:
            await self._relay.append([record], left_s)
            return None
        except errors.LogRefused:
            is_refused = True
        except errors.LogUnavailable as error:
            logs.warn(logs.Component.LOG, error.detail)
        await own.done.wait()
        if not isinstance(own.error, errors.LogRefused):
            return own.error
        if not is_refused:
            return errors.LogUnavailable(
                "Another entry may have appended the record."
            )
        self._circuit_open_until = trio.current_time() + _CIRCUIT_OPEN_S
        return own.error

    async def _refresh(self) -> bool:
        """Read the log now; tell whether that went."""
        try:
            await self._follower.refresh(_REFRESH_TIMEOUT_S)
        except errors.LogUnavailable as error:
            text = f"The jobs can't be read now: {error.detail}"
            logs.info(logs.Component.LOG, text)
            return False
        return True


class _LocalAppend:
    """This entry's own append of one record.

    :ivar error: why it is not known to be there.
    """

    def __init__(self) -> None:
        self.done = trio.Event()
        self.error: errors.LogUnavailable | None = None

    @property
    def is_acknowledged(self) -> bool:
        """Whether the log has acknowledged it."""
        return self.done.is_set() and self.error is None

    async def run(
        self,
        appender: log_producer.BatchAppender,
        record: keyed_log.KeyedRecord,
        timeout_s: float,
    ) -> None:
        """Append, and remember what became of it."""
        try:
            await appender.append([record], timeout_s)
        except errors.LogUnavailable as error:
            self.error = error
        self.done.set()

    async def cancel_when_acknowledged(
        self, helping: trio.CancelScope
    ) -> None:
        """End another entry's help once there is no need of it."""
        await self.done.wait()
        if self.is_acknowledged:
            helping.cancel()
