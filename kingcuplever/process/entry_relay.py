"""What entries do for one another: append a record, tell how a job is.

The platform's store may turn one host away and serve the others; its callers
know no other entry.  A job's record is the same whoever appends it, so that a
record which may be there already can be handed on as well.
"""

from collections.abc import Sequence
from typing import Final

import trio

from kingcuplever.connection import keyed_log
from kingcuplever.connection import peer as peers
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process import entry_links
from kingcuplever.process import job_api
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import log_producer

# Other entries that one caller's request is handed to, at most.
_MAX_RELAYS: Final = 2
# How long one of them may take over an append; several tries of its own.
_APPEND_TIMEOUT_S: Final = 1.0
# How long one of them may take to tell how a job is; one read of the log.
_QUERY_TIMEOUT_S: Final = 0.4


class EntryRelay:
    """Asks other entries for what this one can't do at present."""

    def __init__(self, links: entry_links.EntryLinks) -> None:
        """Ask over the links that are open."""
        self._links = links

    async def append(
        self, records: Sequence[keyed_log.KeyedRecord], timeout_s: float
    ) -> None:
        """Have records appended.

        :raises errors.LogRefused: surely nothing was done.
        :raises errors.LogUnavailable: it may or may not be done.
        """
        until = trio.current_time() + timeout_s
        reason = "No other entry is known to help."
        doubt: errors.LogUnavailable | None = None
        for peer in self._links.list_by_preference()[:_MAX_RELAYS]:
            left_s = min(_APPEND_TIMEOUT_S, until - trio.current_time())
            if left_s <= 0:
                break
            try:
                await _request_append(peer, records, left_s)
                return
            except errors.LogRefused as error:
                reason = error.detail
            except errors.LogUnavailable as error:
                doubt = error
        if doubt is not None:
            raise doubt
        raise errors.LogRefused(reason)

    async def query_job(self, job: str) -> messages.JobAnswer | None:
        """Have another entry tell how a job is; none if none can."""
        best: messages.JobAnswer | None = None
        for peer in self._links.list_by_preference()[:_MAX_RELAYS]:
            try:
                reply = await peer.call(
                    messages.JobQuestion(job), _QUERY_TIMEOUT_S
                )
            except errors.KingcupleverError as error:
                text = f"Job {job} was not told by another: {error.detail}"
                logs.info(logs.Component.ROUTE, text)
                continue
            if not isinstance(reply, messages.JobAnswer):
                continue
            if best is None or reply.age_ms < best.age_ms:
                best = reply
            if best.age_ms < job_api.RELAY_VIEW_AGE_S * 1000:
                break
        return best


async def _request_append(
    peer: peers.PeerConnection,
    records: Sequence[keyed_log.KeyedRecord],
    timeout_s: float,
) -> None:
    """Ask one entry.

    :raises errors.LogRefused: surely nothing was done.
    :raises errors.LogUnavailable: it may or may not be done.
    """
    rows = tuple(
        messages.KeyedRow(record.key, record.value or b"")
        for record in records
    )
    wanted = messages.KeepRecords(rows, int(timeout_s * 1000))
    try:
        reply = await peer.call(wanted, timeout_s)
    except errors.KingcupleverError as error:
        raise errors.LogUnavailable(error.detail) from error
    if not isinstance(reply, messages.RecordsKept):
        raise errors.LogUnavailable("Another entry did not say.")
    text = f"Another entry was asked to append: {reply.outcome}."
    logs.info(logs.Component.LOG, text)
    if reply.outcome == messages.REFUSED:
        raise errors.LogRefused(reply.detail)
    if reply.outcome != messages.KEPT:
        raise errors.LogUnavailable(reply.detail)


class RelayHandler:
    """Serves other entries."""

    def __init__(
        self, appender: log_producer.BatchAppender, desk: job_api.JobApi
    ) -> None:
        """Serve with what this entry's own callers are served with."""
        self._appender = appender
        self._desk = desk

    async def handle(
        self, peer: peers.PeerConnection, message: messages.Message
    ) -> messages.Message:
        """Answer one request.

        :raises errors.InvalidRequest: it is none of another entry's.
        """
        if isinstance(message, messages.KeepRecords):
            return await append_relayed(self._appender, message)
        if isinstance(message, messages.JobQuestion):
            return await self._desk.answer_query(message.job)
        raise errors.InvalidRequest("An entry asks for records and jobs.")


async def append_relayed(
    appender: log_producer.BatchAppender, wanted: messages.KeepRecords
) -> messages.RecordsKept:
    """Append for another entry, and say what became of it.

    :raises errors.InvalidRequest: for records that only an owner writes.
    """
    for row in wanted.rows:
        if not job_records.is_caller_key(row.key):
            raise errors.InvalidRequest(f"{row.key!r:.40} is no caller's.")
    records = [
        keyed_log.KeyedRecord(row.key, row.value or None)
        for row in wanted.rows
    ]
    try:
        await appender.append(records, wanted.timeout_ms / 1000)
    except errors.LogRefused as error:
        return messages.RecordsKept(messages.REFUSED, error.detail)
    except errors.LogUnavailable as error:
        return messages.RecordsKept(messages.UNKNOWN, error.detail)
    return messages.RecordsKept(messages.KEPT, "")
