"""Appends the owner's evidence in batches that form a hash chain."""

from collections.abc import Sequence
from typing import Final

import trio

from kingcuplever import clock
from kingcuplever.connection import keyed_log
from kingcuplever import containment
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import log_producer

_PRODUCER: Final = "owner"
# Time between flushes; each batch costs a call to the log.
_FLUSH_PERIOD_S: Final = 5.0
# Batch numbers that a new owner skips: more than the previous owner can have
# written since the last renewal that names its newest batch.
_NUMBER_GAP: Final = 8
# Bounds how many rows one lost append delays.
_MAX_BATCH_ROWS: Final = 100
# Most bytes of a batch besides its rows.
_HEADER_BYTES: Final = 256
# Rows buffered while the log is unavailable; one day's rows of a busy fleet.
_MAX_BUFFERED_ROWS: Final = 100_000


class EvidenceWriter:
    """Buffers and appends the evidence of one epoch.

    :ivar head: head of the chain, the newest batch on the log.
    """

    def __init__(
        self,
        log: keyed_log.KeyedLog,
        epoch: int,
        entry: str,
        previous_head: str,
        barrier: containment.ErrorBarrier | None = None,
    ) -> None:
        """Start the chain of an epoch; nothing is appended yet.

        :param entry: name of the owner's entry.
        :param previous_head: head of the previous epoch's chain, from its
            owner's last renewal; empty if there is none.
        :param barrier: contains the errors of single rows.
        """
        self._barrier = barrier or containment.ErrorBarrier()
        self.head = evidence_records.EMPTY_HEAD
        self._epoch = epoch
        self._most_bytes = log.limits.record_bytes - _HEADER_BYTES
        self._next_number = (
            evidence_records.parse_head(previous_head).number + _NUMBER_GAP
        )
        self._producer = log_producer.Producer(
            log, evidence_records.TOPIC, _PRODUCER, epoch
        )
        claimed = evidence_records.OwnershipClaimed(
            epoch, entry, previous_head
        )
        row = evidence_records.Row(clock.wall_ms(), claimed)
        self._rows: list[evidence_records.Row] = [row]
        # A batch whose append was cancelled; it must be sent again unchanged.
        self._pending: keyed_log.KeyedRecord | None = None

    def add_rows(self, rows: Sequence[evidence_records.Row]) -> None:
        """Buffer rows for the next batches; the oldest are dropped if full.

        A row that exceeds a record is split; one that can't be is dropped.
        """
        for row in rows:
            with self._barrier.contain("evidence", type(row.body).__name__):
                self._add_row(row)
        excess = len(self._rows) - _MAX_BUFFERED_ROWS
        if excess > 0:
            del self._rows[:excess]
            text = f"{excess} evidence rows dropped; the log is unavailable."
            logs.warn(logs.Component.LOG, text)

    def _add_row(self, row: evidence_records.Row) -> None:
        for part in evidence_records.split_row(row, self._most_bytes):
            if evidence_records.measure_row(part) <= self._most_bytes:
                self._rows.append(part)
                continue
            text = f"Evidence is dropped, as it is too long: {part!r:.80}"
            logs.warn(logs.Component.LOG, text)

    async def run(self) -> None:
        """Flush periodically until cancelled or fenced by a newer epoch."""
        while True:
            await trio.sleep(_FLUSH_PERIOD_S)
            try:
                await self.flush()
            except errors.LogFenced as error:
                logs.warn(
                    logs.Component.OWNER,
                    f"Evidence writer is fenced: {error.detail}",
                )
                return

    async def flush(self) -> None:
        """Append all buffered rows.

        :raises errors.LogFenced: a newer epoch has written.
        """
        while self._rows or self._pending is not None:
            if self._pending is None:
                self._pending = self._make_batch()
            value = self._pending.value
            assert value is not None
            await self._producer.append([self._pending], retry_refused=True)
            self._pending = None
            digest = evidence_records.compute_digest(value)
            self.head = evidence_records.Head(self._next_number, digest)
            self._next_number += 1

    def _make_batch(self) -> keyed_log.KeyedRecord:
        rows = self._take_rows()
        batch = evidence_records.Batch(
            self._next_number, self._epoch, self.head.digest, rows
        )
        return evidence_records.encode_batch(batch)

    def _take_rows(self) -> tuple[evidence_records.Row, ...]:
        """Take the oldest rows that fit into a record."""
        left_bytes = self._most_bytes
        rows = []
        for row in self._rows[:_MAX_BATCH_ROWS]:
            left_bytes -= evidence_records.measure_row(row)
            if left_bytes < 0:
                break
            rows.append(row)
        del self._rows[: len(rows)]
        return tuple(rows)
