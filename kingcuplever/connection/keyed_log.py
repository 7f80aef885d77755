"""Interface of the platform's append-only log with keyed topics.

A keyed topic is compacted: it retains the newest record of each key without
a time limit.  An append can be conditional on the topic's end offset.  It
carries the producer's epoch and a sequence number, so that a retried append
takes effect once (idempotent producer) and the log rejects appends of an
older epoch (fencing).
"""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final
from typing import NamedTuple
from typing import Protocol

# Longest value of a caller's record, far below the usual limit of the log.
MAX_RECORD_BYTES: Final = 192 * 1024
# The log has one byte for the length of a key.
MAX_KEY_BYTES: Final = 255


class KeyedRecord(NamedTuple):
    """One record to append.

    :ivar value: ``None`` for a tombstone, which deletes the key.
    """

    key: str
    value: bytes | None


_LENGTH_BYTES: Final = 4


class AppendLimits(NamedTuple):
    """What the log takes.

    :ivar record_bytes: longest record, with its key.
    :ivar call_bytes: most bytes of all records of one append.
    """

    record_bytes: int
    call_bytes: int

    def explain_excess(self, records: Sequence[KeyedRecord]) -> str:
        """Return why records can never be appended together, or empty."""
        longest_key = max((len(r.key.encode()) for r in records), default=0)
        if longest_key > MAX_KEY_BYTES:
            return (
                f"A key of {longest_key} bytes can't be stored; the log takes"
                f" {MAX_KEY_BYTES}."
            )
        longest = max(map(measure_record, records), default=0)
        if longest > self.record_bytes:
            return (
                f"A record of {longest} bytes can't be stored; the log takes"
                f" {self.record_bytes}."
            )
        total = measure_append(records)
        if total > self.call_bytes:
            return (
                f"Records of {total} bytes can't be stored together; the log"
                f" takes {self.call_bytes}."
            )
        return ""


# The limits at the users' sites, for a log that states none.
USUAL_LIMITS: Final = AppendLimits(256 * 1024, 2 * 1024 * 1024)


def measure_record(record: KeyedRecord) -> int:
    """Return the bytes of a record on the log."""
    return 1 + len(record.key.encode()) + len(record.value or b"")


def measure_append(records: Iterable[KeyedRecord]) -> int:
    """Return the bytes of an append of some records."""
    return sum(_LENGTH_BYTES + measure_record(record) for record in records)


def split_records(
    groups: Iterable[Sequence[KeyedRecord]], most_bytes: int
) -> list[list[KeyedRecord]]:
    """Split records into appends; those of a group stay together."""
    appends: list[list[KeyedRecord]] = []
    left_bytes = 0
    for group in groups:
        group_bytes = measure_append(group)
        if not appends or group_bytes > left_bytes:
            appends.append([])
            left_bytes = most_bytes
        appends[-1] += group
        left_bytes -= group_bytes
    return appends


class StoredRecord(NamedTuple):
    """One record of a topic, at its offset; no value means a tombstone."""

    offset: int
    key: str
    value: bytes | None


class ProducerStamp(NamedTuple):
    """Identifies an append, so that the log can detect retries and fence.

    :ivar producer: name of the producer.
    :ivar sequence: grows by 1 with each append of the producer in the epoch;
        it may start at any number.
    """

    producer: str
    epoch: int
    sequence: int


class ReadBatch(NamedTuple):
    """Records of one read.

    :ivar next_offset: offset after the last record read; records that could
        not be decoded count as read, though they are left out.
    :ivar end: end offset of the topic, after its newest record.
    """

    next_offset: int
    end: int
    records: tuple[StoredRecord, ...]


class KeyedLog(Protocol):
    """An append-only log of keyed topics."""

    @property
    def limits(self) -> AppendLimits:
        """What it takes."""

    async def append(
        self,
        topic: str,
        records: Sequence[KeyedRecord],
        stamp: ProducerStamp,
        expected_end: int | None = None,
    ) -> int:
        """Append all records or none.

        :param expected_end: append only if the topic ends at this offset.
        :return: the offset after the last record.
        :raises errors.LogRefused: nothing was appended.
        :raises errors.LogUnavailable: the outcome is unknown, and the append
            may still take effect; a retry with the same stamp is safe.
        :raises errors.LogConflict: the topic ends at another offset.
        :raises errors.LogFenced: a newer epoch has written.
        """

    async def read(self, topic: str, offset: int, wait_ms: int) -> ReadBatch:
        """Read from an offset, waiting up to ``wait_ms`` for a record.

        :raises errors.LogGone: the offset is no longer retained.
        :raises errors.LogUnavailable: the read failed.
        """

    async def read_snapshot(self, topic: str) -> ReadBatch:
        """Return the newest record of each key.

        The pages of a snapshot are read one after another.  ``next_offset``
        is the end of the topic at the first page, so that a read from there
        misses no record, but may return records of the snapshot again.

        :raises errors.LogUnavailable: the snapshot could not be read.
        """
