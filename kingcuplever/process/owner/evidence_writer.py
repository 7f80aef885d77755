"""Writes the owner's evidence in batches, each chained to the one before."""

from collections.abc import Sequence
from typing import Final

import trio

from kingcuplever import clock
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import log_producer

_PRODUCER: Final = "owner"
# Rows gather for so long; each batch costs a call to the log.
_PERIOD_S: Final = 5.0
# Numbers that a new owner leaves out: more batches than its predecessor can
# have written since it named its newest one in a renewal.
_GAP: Final = 8
# Bounds what one record holds, far below what the log takes.
_BATCH_ROWS: Final = 100
# Rows that wait while the log is away; a day's of a busy fleet.
_MOST_WAITING: Final = 100_000


class EvidenceWriter:
    """The evidence of one epoch.

    :ivar head: the newest batch that the log has taken.
    """

    def __init__(
        self,
        log: keyed_log.KeyedLog,
        epoch: int,
        entry: str,
        previous_head: str,
    ) -> None:
        """Begin an epoch's chain; nothing is written yet.

        :param before: head of the epoch before, as its owner named it.
        """
        self.head = evidence_records.EMPTY_HEAD
        self._epoch = epoch
        self._next = evidence_records.parse_head(previous_head).number + _GAP
        self._producer = log_producer.Producer(
            log, evidence_records.TOPIC, _PRODUCER, epoch
        )
        claimed = evidence_records.OwnershipClaimed(
            epoch, entry, previous_head
        )
        row = evidence_records.Row(clock.wall_ms(), claimed)
        self._rows: list[evidence_records.Row] = [row]
        # A batch whose append was cut short is the next one again.
        self._pending: keyed_log.KeyedRecord | None = None

    def add_rows(self, rows: Sequence[evidence_records.Row]) -> None:
        """Have rows written with the next batches."""
        self._rows += rows
        extra = len(self._rows) - _MOST_WAITING
        if extra > 0:
            del self._rows[:extra]
            text = f"{extra} rows of evidence are lost; the log is away."
            logs.warn(logs.Component.LOG, text)

    async def run(self) -> None:
        """Write until cancelled, or until a newer epoch writes."""
        while True:
            await trio.sleep(_PERIOD_S)
            try:
                await self.flush()
            except errors.LogFenced as error:
                logs.warn(logs.Component.OWNER, f"No evidence: {error.detail}")
                return

    async def flush(self) -> None:
        """Write all that waits.

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
            self.head = evidence_records.Head(self._next, digest)
            self._next += 1

    def _make_batch(self) -> keyed_log.KeyedRecord:
        rows = tuple(self._rows[:_BATCH_ROWS])
        del self._rows[: len(rows)]
        batch = evidence_records.Batch(
            self._next, self._epoch, self.head.digest, rows
        )
        return evidence_records.encode_batch(batch)
