"""Interface of the platform's append-only log with keyed topics.

A keyed topic is compacted: it retains the newest record of each key without
a time limit.  An append can be conditional on the topic's end offset.  It
carries the producer's epoch and a sequence number, so that a retried append
takes effect once (idempotent producer) and the log rejects appends of an
older epoch (fencing).
"""

from collections.abc import Sequence
from typing import Final
from typing import NamedTuple
from typing import Protocol

# Longest value of a record.  The log takes 256 KiB at the users' sites.
MAX_RECORD_BYTES: Final = 192 * 1024


class KeyedRecord(NamedTuple):
    """One record to append.

    :ivar value: ``None`` for a tombstone, which deletes the key.
    """

    key: str
    value: bytes | None


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
