"""Idempotent appends to a keyed topic, one in flight per producer.

An append whose outcome is unknown is retried with its sequence number until
the log gives the outcome; records that arrive meanwhile form the next batch.
"""

from collections.abc import Callable
from collections.abc import Sequence
import secrets
from typing import Final
from typing import NamedTuple

import trio

from kingcuplever import clock
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import logs

_MAX_FIRST_SEQUENCE: Final = 1 << 30
# Pause between tries of an append.
_RETRY_S: Final = 0.1


class Producer:
    """Appends with the sequence numbers of one producer in one epoch.

    :ivar failing_since: monotonic time, in seconds, when the append began that
        is being retried; absent if none is.
    :ivar failed_tries: failed tries of that append.
    :ivar confirmed_at: when the newest append that the log has confirmed was
        first sent.
    """

    def __init__(
        self, log: keyed_log.KeyedLog, topic: str, name: str, epoch: int
    ) -> None:
        """Create a producer that has appended nothing yet.

        :param name: name of the producer, unique within the epoch.
        """
        self.epoch = epoch
        self._log = log
        self._topic = topic
        self._name = name
        # The log treats an append with a known sequence number as a retry, so
        # two processes that claim the same epoch need different numbers.
        self._sequence = secrets.randbelow(_MAX_FIRST_SEQUENCE)
        self._in_doubt: _Append | None = None
        self._lock = trio.Lock()
        self.failing_since: float | None = None
        self.failed_tries = 0
        self.confirmed_at = clock.NEVER
        self._sent_at = clock.NEVER

    @property
    def limits(self) -> keyed_log.AppendLimits:
        """What the log takes."""
        return self._log.limits

    async def try_append(
        self,
        records: Sequence[keyed_log.KeyedRecord],
        expected_end: int | None = None,
    ) -> int:
        """Try an append once; the sequence number grows only on success.

        An earlier append whose outcome is unknown is retried first, since the
        log would treat this one as its retry.

        :param expected_end: append only if the topic ends at this offset.
        :return: the offset after the last record.
        :raises errors.KingcupleverError: see :class:`keyed_log.KeyedLog`.
        """
        append = _Append(tuple(records), expected_end)
        async with self._lock:
            if self._in_doubt is not None and self._in_doubt != append:
                await self._send(self._in_doubt)
            return await self._send(append)

    def mark_appended(self) -> None:
        """Record that the newest append was found on the log."""
        self._in_doubt = None
        self._sequence += 1
        self.confirmed_at = self._sent_at

    async def append(
        self,
        records: Sequence[keyed_log.KeyedRecord],
        retry_refused: bool = False,
    ) -> int:
        """Append, retrying while the outcome is unknown.

        :param retry_refused: also retry after the log has refused.
        :return: the offset after the last record.
        :raises errors.LogRefused: nothing was appended.
        :raises errors.LogFenced: a newer epoch has written.
        """
        began_at = trio.current_time()
        try:
            while True:
                try:
                    return await self.try_append(records)
                except errors.LogRefused as error:
                    if self._in_doubt is None and not retry_refused:
                        raise
                    reason = error.detail
                except errors.LogUnavailable as error:
                    reason = error.detail
                if not self.failed_tries:
                    text = f"Append to {self._topic} is retried: {reason}"
                    logs.warn(logs.Component.LOG, text)
                self.failing_since = began_at
                self.failed_tries += 1
                await trio.sleep(_RETRY_S)
        finally:
            self.failing_since = None
            self.failed_tries = 0

    async def _send(self, append: "_Append") -> int:
        """Send an append with the current sequence number."""
        is_retry = self._in_doubt is not None
        self._in_doubt = append
        stamp = keyed_log.ProducerStamp(self._name, self.epoch, self._sequence)
        if not is_retry:
            # A retry may get the answer that was meant for an earlier try.
            self._sent_at = clock.read_moment()
        try:
            end = await self._log.append(
                self._topic, append.records, stamp, append.expected_end
            )
        except errors.LogRefused:
            if not is_retry:
                self._in_doubt = None
            raise
        except (errors.LogConflict, errors.LogFenced):
            self._in_doubt = None
            raise
        self._in_doubt = None
        self._sequence += 1
        self.confirmed_at = self._sent_at
        return end


class _Append(NamedTuple):
    """Records to append, and the offset where the topic must end."""

    records: tuple[keyed_log.KeyedRecord, ...]
    expected_end: int | None


class _PendingAppend:
    """Records of one caller that wait for their append."""

    def __init__(self, records: tuple[keyed_log.KeyedRecord, ...]) -> None:
        self.records = records
        self.size_bytes = keyed_log.measure_append(records)
        self.done = trio.Event()
        self.error: errors.KingcupleverError | None = None


# After the log has refused retries of an append for this long, its callers get
# an error; the retries go on, as the outcome is still unknown.
_REFUSED_RETRY_S: Final = 0.25
# Callers' appends in one batch; bounds how many one lost reply delays.
_MAX_BATCH_APPENDS: Final = 200


class BatchAppender:
    """Batches the records of concurrent callers into few appends.

    :ivar failed_at: monotonic time, in seconds, of the newest failed try;
        absent after a successful one.
    """

    def __init__(self, make_producer: Callable[[], Producer]) -> None:
        """Create an appender with a producer of its own.

        :param make_producer: makes a new producer, also after the log has
            rejected the current one's epoch or sequence number.
        """
        self.failed_at: float | None = None
        self._make_producer = make_producer
        self._producer = make_producer()
        self._queue: list[_PendingAppend] = []
        self._wakeup = trio.Event()

    @property
    def limits(self) -> keyed_log.AppendLimits:
        """What the log takes."""
        return self._producer.limits

    async def append(
        self, records: Sequence[keyed_log.KeyedRecord], timeout_s: float
    ) -> None:
        """Append with the next batch, and wait for the acknowledgement.

        :param timeout_s: timeout in seconds.
        :raises errors.LogRefused: nothing was appended, nor will be.
        :raises errors.LogUnavailable: the outcome is unknown; the records
            may still be appended later.
        """
        excess = self.limits.explain_excess(records)
        if excess:
            raise errors.LogRefused(excess)
        pending = _PendingAppend(tuple(records))
        self._queue.append(pending)
        self._wakeup.set()
        with trio.move_on_after(timeout_s):
            await pending.done.wait()
        if pending.done.is_set():
            if pending.error is not None:
                raise pending.error
            return
        if pending in self._queue:
            self._queue.remove(pending)
            raise errors.LogRefused(
                "Earlier appends did not finish in time; nothing was sent."
            )
        raise errors.LogUnavailable(
            "It is unknown whether the log took the record; send the same"
            " request again."
        )

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup = trio.Event()
            while self._queue:
                await self._append_batch(self._take_batch())

    def _take_batch(self) -> list[_PendingAppend]:
        """Take the oldest appends that the log takes in one call."""
        left_bytes = self.limits.call_bytes
        batch = []
        for pending in self._queue[:_MAX_BATCH_APPENDS]:
            left_bytes -= pending.size_bytes
            if left_bytes < 0:
                break
            batch.append(pending)
        del self._queue[: len(batch)]
        return batch

    async def _append_batch(self, batch: list[_PendingAppend]) -> None:
        """Append a batch, retrying until its outcome is known."""
        records = [item for pending in batch for item in pending.records]
        in_doubt_since: float | None = None
        while True:
            now = trio.current_time()
            try:
                await self._producer.try_append(records)
                self.failed_at = None
                _resolve(batch, None)
                return
            except errors.LogRefused as refusal:
                self.failed_at = trio.current_time()
                if in_doubt_since is None:
                    _resolve(batch, refusal)
                    return
                if now - in_doubt_since > _REFUSED_RETRY_S:
                    # The log rejects this entry; another entry may reach it.
                    _resolve(batch, errors.LogUnavailable(refusal.detail))
            except (errors.LogFenced, errors.LogConflict) as rejection:
                text = f"An append failed: {rejection.detail}"
                logs.warn(logs.Component.LOG, text)
                _resolve(batch, errors.LogUnavailable(rejection.detail))
                self._producer = self._make_producer()
                return
            except errors.LogUnavailable as error:
                self.failed_at = trio.current_time()
                if in_doubt_since is None:
                    in_doubt_since = now
                    text = (
                        f"The outcome of an append is unknown: {error.detail}"
                    )
                    logs.warn(logs.Component.LOG, text)
            await trio.sleep(_RETRY_S)


def _resolve(
    batch: list[_PendingAppend], error: errors.KingcupleverError | None
) -> None:
    """Complete the pending appends of a batch that still wait."""
    for pending in batch:
        if not pending.done.is_set():
            pending.error = error
            pending.done.set()
