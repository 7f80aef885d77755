"""Follows one keyed topic: the newest records first, then the tail.

One task reads; whoever needs the newest state at once asks for a refresh.
Long polls have a bound of their own, since a connection may go silent for
good.
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

# How long one read waits for a record; bounds how long a connection that
# has gone silent goes unnoticed.
POLL_WAIT_MS: Final = 700
# Pause after a failed read, and its random part, so that readers that
# failed together do not come back together.
_RETRY_S: Final = 0.15
_RETRY_SPREAD_S: Final = 0.1


class Sink(Protocol):
    """Takes in what a topic holds; records may come more than once."""

    def apply_records(self, records: Sequence[keyed_log.StoredRecord]) -> None:
        """Apply records; an older offset of a key changes nothing."""

    def begin_snapshot(self) -> None:
        """Forget everything; the newest record of each key comes next."""


class Follower:
    """Keeps a sink up to date with one topic.

    :ivar offset: next offset to read; -1 before the first look.
    :ivar seen_at: steady time, in seconds, of the newest successful read.
    """

    def __init__(
        self,
        log: keyed_log.KeyedLog,
        topic: str,
        sink: Sink,
        read_interval_s: float,
        metrics: job_metrics.JobMetrics,
        wait_ms: int = POLL_WAIT_MS,
    ) -> None:
        """Follow a topic; nothing is read yet.

        :param pace_s: least time between two reads that gave records.
        :param wait_ms: how long one read waits for a record.
        """
        self.offset = -1
        self.last_read_at = float("-inf")
        self.read_interval_s = read_interval_s
        self._log = log
        self._failures = metrics.log_failures.labels(topic)
        self._wait_ms = wait_ms
        self._topic = topic
        self._sink = sink
        self._failing = False
        self._pause_over = trio.Event()

    def age_s(self, now: float) -> float:
        """Tell how old the newest successful read is, in seconds."""
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
                text = f"Topic {self._topic} starts over: its tail is gone."
                logs.warn(logs.Component.LOG, text)
                continue
            except errors.LogUnavailable as error:
                self._record_failure(error)
                spread = random.random() * _RETRY_SPREAD_S
                await trio.sleep(_RETRY_S + spread)
                continue
            self._apply(batch)
            if batch.records:
                await self._pause()

    async def refresh(self, timeout_s: float) -> None:
        """Read what the topic holds now, beside the running poll.

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
        raise errors.LogUnavailable("The log gave no newer state in time.")

    def skip_pause(self) -> None:
        """End the present pause, if there is one."""
        self._pause_over.set()

    async def _pause(self) -> None:
        self._pause_over = trio.Event()
        with trio.move_on_after(self.read_interval_s):
            await self._pause_over.wait()

    async def _load_snapshot(self) -> None:
        snapshot = await self._log.read_snapshot(self._topic)
        self._sink.begin_snapshot()
        self._sink.apply_records(snapshot.records)
        self.offset = snapshot.next_offset
        self._record_success()
        text = f"Topic {self._topic} read whole at {self.offset}."
        logs.info(logs.Component.LOG, text)

    def _apply(self, batch: keyed_log.ReadBatch) -> None:
        # A refresh may have read further than the poll beside it.
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
        if not self._failing:
            self._failing = True
            text = f"Topic {self._topic} can't be read: {error.detail}"
            logs.warn(logs.Component.LOG, text)
