"""Relays callers' operations between entries: appends and job queries.

The platform's store may reject one host while it serves the others, and that
host's callers know no other entry.  Relaying an append whose outcome is
unknown is safe, since a job's record is the same whichever entry appends it.
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

# Number of other entries that one operation is tried through.
_MAX_RELAYS: Final = 2
# Timeout per entry; allows it several attempts of the append.
_APPEND_TIMEOUT_S: Final = 1.0
# Timeout per entry; allows it one read of the log.
_QUERY_TIMEOUT_S: Final = 0.4


class EntryRelay:
    """Performs operations through other entries if the log is unreachable."""

    def __init__(self, links: entry_links.EntryLinks) -> None:
        """Send requests over the connections that are open."""
        self._links = links

    async def append(
        self, records: Sequence[keyed_log.KeyedRecord], timeout_s: float
    ) -> None:
        """Have another entry append records.

        :raises errors.LogRefused: nothing was appended.
        :raises errors.LogUnavailable: the records may have been appended.
        """
        deadline = trio.current_time() + timeout_s
        reason = "No other entry is connected."
        unknown: errors.LogUnavailable | None = None
        for peer in self._links.list_by_preference()[:_MAX_RELAYS]:
            left_s = min(_APPEND_TIMEOUT_S, deadline - trio.current_time())
            if left_s <= 0:
                break
            try:
                await _request_append(peer, records, left_s)
                return
            except errors.LogRefused as error:
                reason = error.detail
            except errors.LogUnavailable as error:
                unknown = error
        if unknown is not None:
            raise unknown
        raise errors.LogRefused(reason)

    async def query_job(self, job: str) -> messages.JobAnswer | None:
        """Return the newest view of a job among the entries that answer."""
        best: messages.JobAnswer | None = None
        for peer in self._links.list_by_preference()[:_MAX_RELAYS]:
            try:
                reply = await peer.call(
                    messages.JobQuestion(job), _QUERY_TIMEOUT_S
                )
            except errors.KingcupleverError as error:
                text = f"Job {job} not read through an entry: {error.detail}"
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
    """Have one entry append records.

    :raises errors.LogRefused: nothing was appended.
    :raises errors.LogUnavailable: the records may have been appended.
    """
    rows = tuple(
        messages.KeyedRow(record.key, record.value or b"")
        for record in records
    )
    request = messages.KeepRecords(rows, int(timeout_s * 1000))
    try:
        reply = await peer.call(request, timeout_s)
    except errors.KingcupleverError as error:
        raise errors.LogUnavailable(error.detail) from error
    if not isinstance(reply, messages.RecordsKept):
        raise errors.LogUnavailable(
            "Another entry sent no reply to the append."
        )
    text = f"Append through another entry: {reply.outcome}."
    logs.info(logs.Component.LOG, text)
    if reply.outcome == messages.REFUSED:
        raise errors.LogRefused(reply.detail)
    if reply.outcome != messages.KEPT:
        raise errors.LogUnavailable(reply.detail)


class RelayHandler:
    """Serves the operations that other entries relay to this one."""

    def __init__(
        self, appender: log_producer.BatchAppender, api: job_api.JobApi
    ) -> None:
        """Serve with the components that serve this entry's own callers."""
        self._appender = appender
        self._api = api

    async def handle(
        self, peer: peers.PeerConnection, message: messages.Message
    ) -> messages.Message:
        """Handle one request.

        :raises errors.InvalidRequest: entries don't relay such a request.
        """
        if isinstance(message, messages.KeepRecords):
            return await append_relayed(self._appender, message)
        if isinstance(message, messages.JobQuestion):
            return await self._api.answer_query(message.job)
        raise errors.InvalidRequest(
            "An entry accepts only relayed appends and queries."
        )


async def append_relayed(
    appender: log_producer.BatchAppender, request: messages.KeepRecords
) -> messages.RecordsKept:
    """Append records for another entry and report the outcome.

    :raises errors.InvalidRequest: a record is one that only an owner writes.
    """
    for row in request.rows:
        if not job_records.is_caller_key(row.key):
            raise errors.InvalidRequest(
                f"{row.key!r:.40} is not a key of callers' records."
            )
    records = [
        keyed_log.KeyedRecord(row.key, row.value or None)
        for row in request.rows
    ]
    try:
        await appender.append(records, request.timeout_ms / 1000)
    except errors.LogRefused as error:
        return messages.RecordsKept(messages.REFUSED, error.detail)
    except errors.LogUnavailable as error:
        return messages.RecordsKept(messages.UNKNOWN, error.detail)
    return messages.RecordsKept(messages.KEPT, "")
