"""Answers callers about jobs: hand in, look, cancel, count.

An answer is given only for what the log has: a job is accepted once its
record is acknowledged, and refused only while nothing of it can be there.
"""

from typing import Final

import trio

from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import following
from kingcuplever.process.stored import job_board
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import producing

# A view of the jobs older than this says nothing about jobs it lacks.
VIEW_S: Final = 2.5
# An entry whose view is older asks for no new callers: two polls and a slow
# answer; the balancer needs two seconds more to act on it.
_READY_S: Final = 1.6
# How long one look at the log may take before the view counts as old.
_REFRESH_S: Final = 0.8


class JobDesk:
    """Takes jobs in and tells how they are."""

    def __init__(
        self,
        board: job_board.JobBoard,
        follower: following.Follower,
        appender: producing.GroupAppender,
    ) -> None:
        """Answer from a board that a follower keeps up to date."""
        self._board = board
        self._follower = follower
        self._appender = appender

    @property
    def is_ready(self) -> bool:
        """Whether callers are better served here than by another entry."""
        return self._follower.age_s(trio.current_time()) < _READY_S

    @property
    def is_fresh(self) -> bool:
        """Whether the jobs have been read from the log recently."""
        return self._follower.age_s(trio.current_time()) < VIEW_S

    async def submit(
        self, job: str, spec: model.JobSpec, timeout_s: float
    ) -> None:
        """Take a job in; handing it in again changes nothing.

        :raises errors.KingcupleverError: ``OVERLOADED`` if it is surely not
            taken, ``OUTCOME_UNKNOWN`` if that can't be told.
        """
        known = self._board.jobs.get(job)
        if known is not None and known.spec is not None:
            logs.info(logs.Part.PLACE, f"Job {job} is known already.")
            return
        await self._append(job, job_records.submitted(job, spec), timeout_s)
        logs.info(
            logs.Part.PLACE,
            f"Job {job} of {spec.account} on {spec.queue} is accepted.",
        )

    async def look(self, job: str) -> job_board.StoredJob:
        """Give a job as the log has it.

        :raises errors.KingcupleverError: ``GONE`` if there is none,
            ``OVERLOADED`` if the view is too old to say so.
        """
        found = self._board.jobs.get(job)
        if found is None or found.spec is None:
            await self._refresh()
            found = self._board.jobs.get(job)
        if found is None or found.spec is None:
            raise errors.KingcupleverError(
                f"There is no job {job}.", errors.Code.GONE
            )
        return found

    async def cancel(self, job: str, timeout_s: float) -> None:
        """Cancel a job that :meth:`look` has found.

        :raises errors.KingcupleverError: see :meth:`submit`.
        """
        found = self._board.jobs.get(job)
        if found is not None and found.cancelled:
            return
        await self._append(job, job_records.cancelled(job), timeout_s)
        logs.info(logs.Part.PLACE, f"Job {job} is cancelled by its caller.")

    def waiting(self, queue: str) -> int:
        """Count the accepted jobs of a queue that have not begun.

        :raises errors.KingcupleverError: ``OVERLOADED`` with an old view.
        """
        if not self.is_fresh:
            raise errors.KingcupleverError(
                "The jobs can't be read at present.", errors.Code.OVERLOADED
            )
        return self._board.waiting(queue)

    async def _append(
        self, job: str, record: keyed_log.KeyedRecord, timeout_s: float
    ) -> None:
        try:
            await self._appender.append([record], timeout_s)
        except errors.LogRefused as error:
            logs.warn(logs.Part.PLACE, f"Job {job} refused: {error.detail}")
            raise errors.KingcupleverError(
                error.detail, errors.Code.OVERLOADED
            ) from error
        except errors.LogUnavailable as error:
            logs.warn(logs.Part.PLACE, f"Job {job} unknown: {error.detail}")
            raise errors.KingcupleverError(
                error.detail, errors.Code.OUTCOME_UNKNOWN
            ) from error

    async def _refresh(self) -> None:
        try:
            await self._follower.refresh(_REFRESH_S)
        except errors.LogUnavailable as error:
            raise errors.KingcupleverError(
                error.detail, errors.Code.OVERLOADED
            ) from error
