"""Follows one keyed topic: reads a snapshot first, then the tail.

One task reads with long polls.  A caller that needs the newest state at once
requests a refresh, which reads besides the long poll.  A follower that has
fallen behind may return to a snapshot and skip the records that newer ones of
their keys have replaced.
"""

from collections.abc import Sequence
import random
from typing import Final
from typing import Protocol

import trio

from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever.process import job_metrics

# How long a long poll waits for a record; it also bounds the time until a dead
# connection is detected.
POLL_WAIT_MS: Final = 700
# Pause after a failed read, and its jitter, so that readers that failed at the
# same time do not retry at the same time.
_RETRY_S: Final = 0.15
_RETRY_JITTER_S: Final = 0.1
# How often a topic that can't be read is reported.
_REPORT_PERIOD_S: Final = 10.0
# A follower that has read nothing for longer has probably fallen behind.
_MAX_GAP_S: Final = 2.0


class Sink(Protocol):
    """Receives the records of a topic; delivery is at least once."""

    def apply_records(self, records: Sequence[keyed_log.StoredRecord]) -> None:
        """Apply records; one with an older offset of its key has no effect."""

    def begin_snapshot(self, end: int) -> None:
        """Prepare for the newest record of each key, which follows.

        :param end: offset after the snapshot; later records follow it.
        """


class Follower:
    """Keeps a sink up to date with one topic.

    :ivar offset: next offset to read; -1 before the first snapshot.
    :ivar last_read_at: monotonic time, in seconds, of the newest successful
        read.
    :ivar read_interval_s: pause, in seconds, after a read with records.
    """

    def __init__(
        self,
        log: keyed_log.KeyedLog,
        topic: str,
        sink: Sink,
        read_interval_s: float,
        metrics: job_metrics.JobMetrics,
        wait_ms: int = POLL_WAIT_MS,
        skips_replaced: bool = False,
    ) -> None:
        """Create a follower that has read nothing yet.

        :param read_interval_s: pause, in seconds, after a read with records.
        :param wait_ms: how long a long poll waits for a record.
        :param skips_replaced: whether to skip records that newer ones have
            replaced, as far as possible; for a topic of few long records.
        """
        self.offset = -1
        self.last_read_at = float("-inf")
        self.read_interval_s = read_interval_s
        self._log = log
        self._failures = metrics.log_failures.labels(topic)
        self._wait_ms = wait_ms
        self._skips_replaced = skips_replaced
        self._topic = topic
        self._sink = sink
        self._failing = False
        self._reported_at = float("-inf")
        self._pause_end = trio.Event()

    def age_s(self, now: float) -> float:
        """Return the age of the newest successful read, in seconds."""
        return now - self.last_read_at

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                if self.offset < 0:
                    await self._load_snapshot()
                    continue
                batch = await self._log.read(
                    self._topic, self.offset, self._wait_ms
                )
            except errors.LogGone:
                self.offset = -1
                text = (
                    f"Topic {self._topic} is read again from a snapshot; the"
                    " next offset has left the retention."
                )
                logs.warn(logs.Component.LOG, text)
                continue
            except errors.LogUnavailable as error:
                self._record_failure(error)
                if self.age_s(trio.current_time()) > _MAX_GAP_S:
                    self._skip_replaced()
                jitter_s = random.random() * _RETRY_JITTER_S
                await trio.sleep(_RETRY_S + jitter_s)
                continue
            self._apply(batch)
            if batch.end > self.offset:
                self._skip_replaced()
            if batch.records:
                await self._pause()

    async def refresh(self, timeout_s: float) -> None:
        """Read to the end of the topic at once, besides the long poll.

        :param timeout_s: timeout in seconds.
        :raises errors.LogUnavailable: nothing could be read in time.
        """
        with trio.move_on_after(timeout_s):
            while self.offset < 0:
                await trio.sleep(_RETRY_S)
            try:
                batch = await self._log.read(self._topic, self.offset, 0)
            except errors.LogGone as error:
                raise errors.LogUnavailable(error.detail) from error
            self._apply(batch)
            return
        raise errors.LogUnavailable("The log could not be read in time.")

    def skip_pause(self) -> None:
        """End the current pause, if there is one."""
        self._pause_end.set()

    async def _pause(self) -> None:
        self._pause_end = trio.Event()
        with trio.move_on_after(self.read_interval_s):
            await self._pause_end.wait()

    async def _load_snapshot(self) -> None:
        snapshot = await self._log.read_snapshot(self._topic)
        self._sink.begin_snapshot(snapshot.next_offset)
        self._sink.apply_records(snapshot.records)
        self.offset = snapshot.next_offset
        self._record_success()
        text = (
            f"Topic {self._topic} read from a snapshot up to offset"
            f" {self.offset}."
        )
        logs.info(logs.Component.LOG, text)

    def _skip_replaced(self) -> None:
        """Continue with a snapshot, if replaced records are to be skipped."""
        if self._skips_replaced:
            self.offset = -1

    def _apply(self, batch: keyed_log.ReadBatch) -> None:
        # A concurrent refresh or long poll may have read further.
        if batch.next_offset >= self.offset >= 0:
            self._sink.apply_records(batch.records)
            self.offset = batch.next_offset
        self._record_success()

    def _record_success(self) -> None:
        self.last_read_at = trio.current_time()
        if self._failing:
            self._failing = False
            text = f"Topic {self._topic} can be read again."
            logs.info(logs.Component.LOG, text)

    def _record_failure(self, error: errors.LogUnavailable) -> None:
        self._failures.inc()
        now = trio.current_time()
        if self._failing and now - self._reported_at < _REPORT_PERIOD_S:
            return
        self._failing = True
        self._reported_at = now
        text = (
            f"Topic {self._topic} can't be read from offset {self.offset}:"
            f" {error.detail}"
        )
        logs.warn(logs.Component.LOG, text)
