"""Has the owner's entry append what this entry can't append itself.

The platform's store may turn one host away and serve the others.  A job's
record is the same whoever appends it, so that a record which may be there
already can be handed on as well.
"""

from collections.abc import Sequence
from typing import Final

import trio

from kingcuplever.connection import keyed_log
from kingcuplever.connection import peer as peers
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import options
from kingcuplever.process.stored import job_board
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import producing

# An owner that can't be reached by then is no help to a waiting caller.
_CONNECT_S: Final = 0.3


class AppendRelay:
    """Asks whoever owns, as far as the log said."""

    def __init__(self, name: str, board: job_board.JobBoard) -> None:
        """Ask nobody yet.

        :param name: of this entry, which is no help to itself.
        """
        self._name = name
        self._board = board

    async def append(
        self, records: Sequence[keyed_log.KeyedRecord], timeout_s: float
    ) -> None:
        """Have records appended.

        :raises errors.LogRefused: surely nothing was done.
        :raises errors.LogUnavailable: it may or may not be done.
        """
        owner = self._board.owner
        if owner is None or owner.entry == self._name:
            raise errors.LogRefused("No other entry is known to help.")
        host, port = options.split_address(owner.address)
        try:
            with trio.fail_after(_CONNECT_S):
                stream = await trio.open_tcp_stream(host, port)
        except (OSError, trio.TooSlowError) as error:
            raise errors.LogRefused(
                f"Entry {owner.entry} can't be reached to help."
            ) from error
        await self._ask(stream, owner.entry, records, timeout_s)

    async def _ask(
        self,
        stream: trio.SocketStream,
        entry: str,
        records: Sequence[keyed_log.KeyedRecord],
        timeout_s: float,
    ) -> None:
        wanted = messages.KeepRecords(
            tuple(
                messages.KeyedRow(record.key, record.value or b"")
                for record in records
            ),
            int(timeout_s * 1000),
        )
        reply: messages.Message | None = None
        try:
            async with peers.linked(stream) as peer:
                reply = await peer.call(wanted, timeout_s)
        except* errors.KingcupleverError as group:
            text = f"Entry {entry} gave no help: {group.exceptions[0]}"
            logs.warn(logs.Part.LOG, text)
        if not isinstance(reply, messages.RecordsKept):
            raise errors.LogUnavailable(f"Entry {entry} did not say.")
        text = f"Entry {entry} was asked to append: {reply.outcome}."
        logs.info(logs.Part.LOG, text)
        if reply.outcome == messages.REFUSED:
            raise errors.LogRefused(reply.detail)
        if reply.outcome != messages.KEPT:
            raise errors.LogUnavailable(reply.detail)


async def serve(
    appender: producing.GroupAppender, wanted: messages.KeepRecords
) -> messages.RecordsKept:
    """Append for another entry, and say what became of it.

    :raises errors.InvalidRequest: for records that only an owner writes.
    """
    for row in wanted.rows:
        if not job_records.is_callers(row.key):
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
