"""Appends to one keyed topic under one producer, one append in flight.

The append that is in doubt is repeated under its own number until the log
says what became of it; what gathers meanwhile goes with the next one.
"""

from collections.abc import Callable
from collections.abc import Sequence
import secrets
from typing import Final
from typing import NamedTuple

import trio

from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import logs

_FIRST_SEQUENCES: Final = 1 << 30
# Pause between two tries of an append whose fate is open.
_RETRY_S: Final = 0.1


class Producer:
    """Numbers the appends of one producer in one epoch.

    :ivar failing_since: steady time when the append began that is being
        repeated; absent while none is.
    :ivar failed_tries: tries of that append which have failed.
    """

    def __init__(
        self, log: keyed_log.KeyedLog, topic: str, name: str, epoch: int
    ) -> None:
        """Begin a row of appends.

        :param name: of the producer; nobody else uses it in this epoch.
        """
        self.epoch = epoch
        self._log = log
        self._topic = topic
        self._name = name
        # The log takes an append under a known number for a repetition, so
        # two processes that claim one epoch must not begin alike.
        self._sequence = secrets.randbelow(_FIRST_SEQUENCES)
        self._in_doubt: _Append | None = None
        self._lock = trio.Lock()
        self.failing_since: float | None = None
        self.failed_tries = 0

    async def try_append(
        self,
        records: Sequence[keyed_log.KeyedRecord],
        at: int | None = None,
    ) -> int:
        """Try once; the number moves on only when the append is known done.

        An append from before whose fate is open is settled first, since the
        log would take this one for its repetition.

        :return: the offset after the last record.
        :raises errors.LogUnavailable: see :class:`keyed_log.KeyedLog`.
        """
        wanted = _Append(tuple(records), at)
        async with self._lock:
            if self._in_doubt is not None and self._in_doubt != wanted:
                await self._send(self._in_doubt)
            return await self._send(wanted)

    def mark_appended(self) -> None:
        """The append that was tried last has been read back."""
        self._in_doubt = None
        self._sequence += 1

    async def append(
        self,
        records: Sequence[keyed_log.KeyedRecord],
        retry_refused: bool = False,
    ) -> int:
        """Append, repeating while the fate is open.

        :param insist: repeat also what the log surely did not do.
        :return: the offset after the last record.
        :raises errors.LogRefused: surely nothing was done.
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
                    text = f"Append to {self._topic} is repeated: {reason}"
                    logs.warn(logs.Component.LOG, text)
                self.failing_since = began_at
                self.failed_tries += 1
                await trio.sleep(_RETRY_S)
        finally:
            self.failing_since = None
            self.failed_tries = 0

    async def _send(self, wanted: "_Append") -> int:
        """Send one append under the present number."""
        in_doubt = self._in_doubt is not None
        self._in_doubt = wanted
        stamp = keyed_log.ProducerStamp(self._name, self.epoch, self._sequence)
        try:
            end = await self._log.append(
                self._topic, wanted.records, stamp, wanted.at
            )
        except errors.LogRefused:
            if not in_doubt:
                self._in_doubt = None
            raise
        except (errors.LogConflict, errors.LogFenced):
            self._in_doubt = None
            raise
        self._in_doubt = None
        self._sequence += 1
        return end


class _Append(NamedTuple):
    """Records that were sent, and where the topic had to end."""

    records: tuple[keyed_log.KeyedRecord, ...]
    at: int | None


class _PendingAppend:
    """Records of one caller that wait for their append."""

    def __init__(self, records: tuple[keyed_log.KeyedRecord, ...]) -> None:
        self.records = records
        self.done = trio.Event()
        self.error: errors.KingcupleverError | None = None


# An append whose fate is open is given up towards its callers, though not
# towards the log, once the log has refused repetitions for so long.
_REFUSED_IN_DOUBT_S: Final = 0.25
# Records that one append may carry; bounds what one lost answer holds up.
_BATCH_RECORDS: Final = 200


class BatchAppender:
    """Gathers the records of many callers into few appends.

    :ivar failed_at: steady time of the newest try that failed; absent once
        one has succeeded.
    """

    def __init__(self, make_producer: Callable[[], Producer]) -> None:
        """Append through producers that nobody else uses.

        :param make_producer: gives a fresh one whenever the log no longer
            takes the present one's numbers.
        """
        self.failed_at: float | None = None
        self._make_producer = make_producer
        self._producer = make_producer()
        self._waiting: list[_PendingAppend] = []
        self._woken = trio.Event()

    async def append(
        self, records: Sequence[keyed_log.KeyedRecord], timeout_s: float
    ) -> None:
        """Append and wait until the log has acknowledged.

        :raises errors.LogRefused: surely nothing was done, nor will be.
        :raises errors.LogUnavailable: no word in time; it may be done later.
        """
        entrusted = _PendingAppend(tuple(records))
        self._waiting.append(entrusted)
        self._woken.set()
        with trio.move_on_after(timeout_s):
            await entrusted.done.wait()
        if entrusted.done.is_set():
            if entrusted.error is not None:
                raise entrusted.error
            return
        if entrusted in self._waiting:
            self._waiting.remove(entrusted)
            raise errors.LogRefused("The log is behind; nothing was sent.")
        raise errors.LogUnavailable(
            "The log has not said whether it took the record; send the same"
            " again."
        )

    async def run(self) -> None:
        """Append until cancelled."""
        while True:
            await self._woken.wait()
            self._woken = trio.Event()
            while self._waiting:
                batch = self._waiting[:_BATCH_RECORDS]
                del self._waiting[:_BATCH_RECORDS]
                await self._append_batch(batch)

    async def _append_batch(self, batch: list[_PendingAppend]) -> None:
        """Append until it is known what became of the batch."""
        records = [item for one in batch for item in one.records]
        doubt_at: float | None = None
        while True:
            now = trio.current_time()
            try:
                await self._producer.try_append(records)
                self.failed_at = None
                _resolve(batch, None)
                return
            except errors.LogRefused as refusal:
                self.failed_at = trio.current_time()
                if doubt_at is None:
                    _resolve(batch, refusal)
                    return
                if now - doubt_at > _REFUSED_IN_DOUBT_S:
                    # The log turns us away; another entry may be served.
                    _resolve(batch, errors.LogUnavailable(refusal.detail))
            except (errors.LogFenced, errors.LogConflict) as surprise:
                text = f"An append failed: {surprise.detail}"
                logs.warn(logs.Component.LOG, text)
                _resolve(batch, errors.LogUnavailable(surprise.detail))
                self._producer = self._make_producer()
                return
            except errors.LogUnavailable as error:
                self.failed_at = trio.current_time()
                if doubt_at is None:
                    doubt_at = now
                    text = f"An append is in doubt: {error.detail}"
                    logs.warn(logs.Component.LOG, text)
            await trio.sleep(_RETRY_S)


def _resolve(
    batch: list[_PendingAppend], error: errors.KingcupleverError | None
) -> None:
    """Let those know who still wait for a batch."""
    for one in batch:
        if not one.done.is_set():
            one.error = error
            one.done.set()
