"""Keyed topics on the platform's log: the interface that the product needs.

A keyed topic keeps the newest record of each key for good.  Appends can be
conditional on where the topic ends, and fenced: a producer names an epoch
and numbers its appends, so that a repeated append takes effect once and an
older epoch is refused.
"""

from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol


class KeyedRecord(NamedTuple):
    """One record to append.

    :ivar value: absent to drop the key.
    """

    key: str
    value: bytes | None


class StoredRecord(NamedTuple):
    """One record as the topic keeps it."""

    offset: int
    key: str
    value: bytes | None


class ProducerStamp(NamedTuple):
    """Who appends, in which epoch, and which of its appends this is.

    :ivar sequence: counts the producer's appends within the epoch; a
        producer may begin at any number.
    """

    producer: str
    epoch: int
    sequence: int


class ReadBatch(NamedTuple):
    """What one read gave.

    :ivar next_offset: offset after the last record read, also of records
        that could not be understood and are left out.
    :ivar end: offset after the newest record of the topic.
    """

    next_offset: int
    end: int
    records: tuple[StoredRecord, ...]


class KeyedLog(Protocol):
    """An append-only log of topics that keep the newest record of a key."""

    async def append(
        self,
        topic: str,
        records: Sequence[KeyedRecord],
        stamp: ProducerStamp,
        expected_end: int | None = None,
    ) -> int:
        """Append all records or none; give the offset after the last.

        :param at: append only if the topic ends at this offset.
        :raises errors.LogRefused: nothing was done.
        :raises errors.LogUnavailable: it may or may not be done, now or
            later; the same stamp may be sent again.
        :raises errors.LogConflict: the topic ends elsewhere.
        :raises errors.LogFenced: a newer epoch has written.
        """

    async def read(self, topic: str, offset: int, wait_ms: int) -> ReadBatch:
        """Read from an offset, waiting up to ``wait_ms`` for a record.

        :raises errors.LogGone: the offset has left the retention.
        :raises errors.LogUnavailable: nothing could be read.
        """

    async def read_snapshot(self, topic: str) -> ReadBatch:
        """Give the newest record of each key.

        The pages of one look are taken one after another.  ``next_offset``
        is where the topic ended at the first, so that reading on from there
        misses nothing; records already seen may come again.

        :raises errors.LogUnavailable: nothing could be read.
        """
