"""Serves callers' job operations: submit, read, cancel and count.

Every reply reflects the log: a job is accepted only after the log has
acknowledged its record, and refused only if no append of it can have taken
effect.
"""

from collections.abc import Container
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

# An older view doesn't prove that a job it lacks does not exist.
MAX_VIEW_AGE_S: Final = 2.5
# An entry with an older view reports itself not ready.  Allows for two long
# polls and a slow response; the load balancer reacts two seconds later.
_READY_VIEW_AGE_S: Final = 1.6
# After a failed append an entry is ready again once it has read the log at
# least this much later.  Shorter than the load balancer's two probes.
_READ_AFTER_FAILURE_S: Final = 0.5
# An append that takes longer is also relayed to another entry.  Longer than
# a slow append, shorter than the timeout of a failing connection.
_RELAY_AFTER_S: Final = 0.25
# After the log and the other entries all refused a record, appends are
# refused immediately for this long: a fraction of the Retry-After sent.
_CIRCUIT_OPEN_S: Final = 0.3
# Timeout of one read of the log that refreshes the view.
_REFRESH_TIMEOUT_S: Final = 0.8
# Age reported to other entries for a view that was never read.
_MAX_REPORTED_AGE_S: Final = 3600.0
# With an older view, other entries are asked before an unended job's state
# is shown.  Allows for one long poll and a slow response.
RELAY_VIEW_AGE_S: Final = 1.0


class JobStatus(NamedTuple):
    """The state of a job that is shown to callers.

    :ivar account: client account of the job, or empty.
    :ivar queue: absent if another entry answered without it.
    """

    state: str
    account: str
    queue: str | None = None

    def check_access(
        self, account: str, queue: str, configured: Container[str]
    ) -> None:
        """Check that a caller may read or cancel the job.

        :param account: the caller's account; empty if it has shown none.
        :param queue: the queue that it asks.
        :param configured: the configured queues.  A job whose own queue has
            been removed is reached through any other.
        :raises errors.KingcupleverError: ``FORBIDDEN`` if it may not.
        """
        is_other_queue = (
            self.queue is not None
            and self.queue != queue
            and self.queue in configured
        )
        if self.account != account or is_other_queue:
            raise errors.KingcupleverError(
                f"The job does not belong to {account or 'this caller'} on"
                f" {queue}.",
                errors.Code.FORBIDDEN,
            )


class JobRelay(Protocol):
    """Performs operations through other entries, which may reach the log."""

    async def append(
        self, records: Sequence[keyed_log.KeyedRecord], timeout_s: float
    ) -> None:
        """Have another entry append records.

        :raises errors.LogRefused: nothing was appended.
        :raises errors.LogUnavailable: the records may have been appended.
        """

    async def query_job(self, job: str) -> messages.JobAnswer | None:
        """Return a job's state as another entry sees it, if one answers."""


class JobApi:
    """Accepts, cancels and reports jobs on behalf of callers."""

    def __init__(
        self,
        table: job_table.JobTable,
        follower: topic_follower.Follower,
        appender: log_producer.BatchAppender,
        relay: JobRelay,
    ) -> None:
        """Serve from a table that a follower keeps up to date.

        :param relay: used when this entry can't use the log.
        """
        self._relay = relay
        self._circuit_open_until = float("-inf")
        self._table = table
        self._follower = follower
        self._appender = appender

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this entry."""
        failed_at = self._appender.failed_at
        if failed_at is not None:
            if self._follower.last_read_at < failed_at + _READ_AFTER_FAILURE_S:
                return False
        return self._follower.age_s(trio.current_time()) < _READY_VIEW_AGE_S

    @property
    def view_age_s(self) -> float:
        """Seconds since the jobs were last read from the log."""
        return self._follower.age_s(trio.current_time())

    @property
    def is_fresh(self) -> bool:
        """Whether the jobs have been read from the log recently."""
        return self.view_age_s < MAX_VIEW_AGE_S

    async def submit(
        self, job: str, spec: model.JobSpec, timeout_s: float
    ) -> None:
        """Accept a job; a repeated submission has no further effect.

        :raises errors.KingcupleverError: ``OVERLOADED`` if the job was not
            accepted, ``OUTCOME_UNKNOWN`` if it may have been,
            ``INVALID_REQUEST`` if it is too large for the log,
            ``FORBIDDEN`` if another account or queue has a job of that name.
        """
        known = self._table.jobs.get(job)
        if known is not None and known.spec is not None:
            if (known.spec.account, known.spec.queue) != (
                spec.account,
                spec.queue,
            ):
                raise errors.KingcupleverError(
                    f"The name {job} is in use elsewhere; choose another one.",
                    errors.Code.FORBIDDEN,
                )
            logs.info(logs.Component.PLACE, f"Job {job} was accepted before.")
            return
        record = job_records.encode_submission(job, spec)
        self._check_size(record, spec)
        await self._append(job, record, timeout_s)
        logs.info(
            logs.Component.PLACE,
            f"Job {job} of {spec.account} on {spec.queue} is accepted.",
        )

    def _check_size(
        self, record: keyed_log.KeyedRecord, spec: model.JobSpec
    ) -> None:
        """Check that the log takes a job's submission and its progress.

        :raises errors.InvalidRequest: it would never take one of them.
        """
        log_bytes = self._appender.limits.record_bytes
        most_bytes = min(keyed_log.MAX_RECORD_BYTES, log_bytes)
        size_bytes = keyed_log.measure_record(record)
        if size_bytes > most_bytes:
            raise errors.InvalidRequest(
                f"The job takes {size_bytes} bytes on the log; send a job of"
                f" {most_bytes} at most."
            )
        if job_records.bound_progress_bytes(spec) > log_bytes:
            raise errors.InvalidRequest(
                "The progress of so many tasks can't be stored; send fewer."
            )

    async def read_job(self, job: str) -> JobStatus:
        """Return the state of a job according to the log.

        If this entry can't read the log, other entries are queried: callers
        know only one entry, and would otherwise wait for a job that has
        already ended.

        :raises errors.KingcupleverError: ``GONE`` if the job does not exist,
            ``OVERLOADED`` if no entry's view is new enough to tell.
        """
        found = self._find_in_view(job)
        if found is not None and found.state in model.ENDED_STATES:
            return found
        if self.view_age_s <= RELAY_VIEW_AGE_S:
            if found is not None:
                return found
            if await self._refresh():
                return self._get_or_raise_gone(job)
        answer = await self._relay.query_job(job)
        if answer is not None and answer.age_ms < self.view_age_s * 1000:
            return self._make_relayed_status(job, answer)
        if found is None and not await self._refresh():
            raise errors.KingcupleverError(
                "The jobs can't be read at present.", errors.Code.OVERLOADED
            )
        return found or self._get_or_raise_gone(job)

    async def answer_query(self, job: str) -> messages.JobAnswer:
        """Answer another entry's query for a job."""
        found = self._find_in_view(job)
        if found is None and await self._refresh():
            found = self._find_in_view(job)
        age_ms = int(min(self.view_age_s, _MAX_REPORTED_AGE_S) * 1000)
        if found is None:
            return messages.JobAnswer(False, "", "", age_ms)
        return messages.JobAnswer(
            True, found.state, found.account, age_ms, found.queue
        )

    def _find_in_view(self, job: str) -> JobStatus | None:
        found = self._table.jobs.get(job)
        if found is None or found.spec is None:
            return None
        spec = found.spec
        return JobStatus(found.state, spec.account, spec.queue)

    def _get_or_raise_gone(self, job: str) -> JobStatus:
        found = self._find_in_view(job)
        if found is None:
            raise errors.KingcupleverError(
                f"There is no job {job}.", errors.Code.GONE
            )
        return found

    def _make_relayed_status(
        self, job: str, answer: messages.JobAnswer
    ) -> JobStatus:
        """Convert another entry's answer to a job status.

        :raises errors.KingcupleverError: ``GONE`` if the job does not exist,
            ``OVERLOADED`` if the answer is too old to tell.
        """
        text = (
            f"Job {job} is told by another entry, as of {answer.age_ms} ms"
            f" ago: {answer.state or 'not known'}."
        )
        logs.info(logs.Component.ROUTE, text)
        if answer.known:
            return JobStatus(answer.state, answer.account, answer.queue)
        if answer.age_ms > MAX_VIEW_AGE_S * 1000:
            raise errors.KingcupleverError(
                "The jobs can't be read at present.", errors.Code.OVERLOADED
            )
        raise errors.KingcupleverError(
            f"There is no job {job}.", errors.Code.GONE
        )

    async def cancel(self, job: str, timeout_s: float) -> None:
        """Cancel a job that :meth:`read_job` has found.

        :raises errors.KingcupleverError: see :meth:`submit`.
        """
        found = self._table.jobs.get(job)
        if found is not None and found.cancelled:
            return
        await self._append(
            job, job_records.encode_cancellation(job), timeout_s
        )
        logs.info(
            logs.Component.PLACE, f"Job {job} was cancelled by its caller."
        )

    def count_waiting(self, queue: str) -> int:
        """Count the accepted jobs of a queue that have not started.

        :raises errors.KingcupleverError: ``OVERLOADED`` if the view is old.
        """
        if not self.is_fresh:
            raise errors.KingcupleverError(
                "The jobs can't be read at present.", errors.Code.OVERLOADED
            )
        return self._table.count_waiting(queue)

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
                logs.Component.PLACE,
                f"Job {job} outcome unknown: {error.detail}",
            )
            raise errors.KingcupleverError(
                error.detail, errors.Code.OUTCOME_UNKNOWN
            ) from error

    async def _append_or_relay(
        self, record: keyed_log.KeyedRecord, timeout_s: float
    ) -> None:
        """Append a record, through another entry if that takes too long.

        :raises errors.LogRefused: no entry appended it, or will.
        :raises errors.LogUnavailable: some entry may have appended it.
        """
        if trio.current_time() < self._circuit_open_until:
            raise errors.LogRefused(
                "Neither the log nor another entry accepts records."
            )
        deadline = trio.current_time() + timeout_s
        local = _LocalAppend()
        failure: errors.LogUnavailable | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(local.run, self._appender, record, timeout_s)
            with trio.move_on_after(_RELAY_AFTER_S):
                await local.done.wait()
            if not local.is_acknowledged:
                with trio.CancelScope() as relay_scope:
                    nursery.start_soon(
                        local.cancel_when_acknowledged, relay_scope
                    )
                    failure = await self._relay_append(record, local, deadline)
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _relay_append(
        self,
        record: keyed_log.KeyedRecord,
        local: "_LocalAppend",
        deadline: float,
    ) -> errors.LogUnavailable | None:
        """Relay an append; if that fails, await the local one's result.

        :return: why the record is not known to be stored, or none if it is.
        """
        is_refused = False
        left_s = max(0.0, deadline - trio.current_time())
        try:
            await self._relay.append([record], left_s)
            return None
        except errors.LogRefused:
            is_refused = True
        except errors.LogUnavailable as error:
            logs.warn(logs.Component.LOG, error.detail)
        await local.done.wait()
        if not isinstance(local.error, errors.LogRefused):
            return local.error
        if not is_refused:
            return errors.LogUnavailable(
                "Another entry may have appended the record."
            )
        self._circuit_open_until = trio.current_time() + _CIRCUIT_OPEN_S
        return local.error

    async def _refresh(self) -> bool:
        """Read the log now; return whether that succeeded."""
        try:
            await self._follower.refresh(_REFRESH_TIMEOUT_S)
        except errors.LogUnavailable as error:
            text = f"The jobs can't be refreshed: {error.detail}"
            logs.info(logs.Component.LOG, text)
            return False
        return True


class _LocalAppend:
    """An append of one record by this entry itself.

    :ivar error: why the record is not known to be stored.
    """

    def __init__(self) -> None:
        self.done = trio.Event()
        self.error: errors.LogUnavailable | None = None

    @property
    def is_acknowledged(self) -> bool:
        """Whether the log has acknowledged the record."""
        return self.done.is_set() and self.error is None

    async def run(
        self,
        appender: log_producer.BatchAppender,
        record: keyed_log.KeyedRecord,
        timeout_s: float,
    ) -> None:
        """Append the record and store the outcome."""
        try:
            await appender.append([record], timeout_s)
        except errors.LogUnavailable as error:
            self.error = error
        self.done.set()

    async def cancel_when_acknowledged(
        self, relay_scope: trio.CancelScope
    ) -> None:
        """Cancel the relayed append once the local one has succeeded."""
        await self.done.wait()
        if self.is_acknowledged:
            relay_scope.cancel()
