"""The platform's log service: its interface, and its HTTP adapter.

Appends may be lost after they took effect, so a caller repeats an append
with the same record ids and readers drop what they have seen.
"""

from collections.abc import Sequence
from typing import Final
from typing import NamedTuple
from typing import Protocol

from kingcuplever.connection import http_client
from kingcuplever import errors

READ_MARGIN_S: Final = 2.0
READ_MOST: Final = 500


class LogRecord(NamedTuple):
    """One record as the log keeps it.

    :ivar data: JSON text of a :class:`kingcuplever.records.Record`.
    """

    offset: int
    data: str


class LogBatch(NamedTuple):
    """What one read gave.

    :ivar first: oldest offset that is still there.
    :ivar end: offset after the newest record of the stream.
    """

    first: int
    end: int
    records: tuple[LogRecord, ...]


class LogService(Protocol):
    """An append-only log of streams with offsets."""

    async def append(self, stream: str, data: Sequence[str]) -> int:
        """Append records; give the offset of the first.

        :raises errors.LogUnavailable: they may or may not be there.
        """

    async def read(self, stream: str, offset: int, wait_ms: int) -> LogBatch:
        """Read from an offset, waiting up to ``wait_ms`` for a record.

        :raises errors.LogGone: the offset has left the retention.
        :raises errors.LogUnavailable: nothing could be read.
        """


class HttpLogService:
    """The log service over HTTP."""

    def __init__(self, client: http_client.HttpClient) -> None:
        """Use a client whose address is the log service's."""
        self._client = client

    async def append(self, stream: str, data: Sequence[str]) -> int:
        """Append records; give the offset of the first."""
        try:
            answer = await self._client.call_json(
                "POST", f"/streams/{stream}/records", {"records": list(data)}
            )
            return int(answer["offset"])
        except (errors.PlatformFailed, KeyError, TypeError) as error:
            raise errors.LogUnavailable(
                f"The log service took no append: {error}"
            ) from error

    async def read(self, stream: str, offset: int, wait_ms: int) -> LogBatch:
        """Read from an offset, waiting up to ``wait_ms`` for a record."""
        path = (
            f"/streams/{stream}/records?from={offset}&most={READ_MOST}"
            f"&wait_ms={wait_ms}"
        )
        try:
            answer = await self._client.call_json(
                "GET", path, timeout_s=wait_ms / 1000 + READ_MARGIN_S
            )
            batch = LogBatch(
                int(answer["first"]),
                int(answer["end"]),
                tuple(
                    LogRecord(int(row["offset"]), str(row["data"]))
                    for row in answer["records"]
                ),
            )
        except (errors.PlatformFailed, KeyError, TypeError) as error:
            raise errors.LogUnavailable(
                f"The log service can't be read: {error}"
            ) from error
        if offset < batch.first:
            raise errors.LogGone(
                f"Offset {offset} of {stream} is gone.", batch.first
            )
        return batch
