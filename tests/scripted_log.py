"""A log that does what a script says, append by append."""

from collections.abc import Sequence

from kingcuplever.connection import keyed_log
from kingcuplever import errors
import trio

REPLY_LOST = "lost"
REFUSED = "refused"
FENCED = "fenced"


class ScriptedLog:
    """Answers appends as told, then takes them; a lost one takes effect.

    :ivar unreadable: whether it can't be read.
    """

    def __init__(self, *script: str) -> None:
        """Follow a script, the last line for good if it ends in ``*``."""
        self.accepted: list[keyed_log.ProducerStamp] = []
        self.records: list[keyed_log.KeyedRecord] = []
        self.attempts = 0
        self.fails_reads = False
        self._script = [*script]

    async def append(
        self,
        topic: str,
        records: Sequence[keyed_log.KeyedRecord],
        stamp: keyed_log.ProducerStamp,
        expected_end: int | None = None,
    ) -> int:
        """Take an append, or do what the script says."""
        self.attempts += 1
        await trio.sleep(0.01)
        line = self._script[0] if self._script else ""
        if self._script and not line.endswith("*"):
            self._script.pop(0)
        if line.startswith(REFUSED):
            raise errors.LogRefused("turned away")
        if line.startswith(FENCED):
            raise errors.LogFenced("another number")
        if stamp not in self.accepted:
            self.accepted.append(stamp)
            self.records.extend(records)
        if line.startswith(REPLY_LOST):
            await trio.sleep(0.5)
            raise errors.LogUnavailable("no answer")
        return len(self.accepted)

    async def read(
        self, topic: str, offset: int, wait_ms: int
    ) -> keyed_log.ReadBatch:
        """Give nothing."""
        if self.fails_reads:
            raise errors.LogUnavailable("turned away")
        return keyed_log.ReadBatch(0, 0, ())

    async def read_snapshot(self, topic: str) -> keyed_log.ReadBatch:
        """Give nothing."""
        return keyed_log.ReadBatch(0, 0, ())
