"""The task that follows the configuration's stream at an entry.

Operators' plans and confirmations are records there; the offset of the
confirmation is the version.  A process moves to higher versions only, and
takes the higher of what the log and what its peers know.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import json
import time
from typing import Any
from typing import Final
from typing import NamedTuple

import trio

from kingcuplever.connection import log_service
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import plain
from kingcuplever.process import follower
from kingcuplever.process import state
from kingcuplever import records
from kingcuplever.version import configuration

_RETRY_S: Final = 0.05
_PLANS_KEPT: Final = 1000


class Version(NamedTuple):
    """An accepted configuration.

    :ivar number: offset of the record that accepted it, plus one, so that
        0 means none.
    """

    number: int
    config: configuration.Configuration


class ConfigTask:
    """The configuration, as one entry knows it.

    :ivar plans: plans of the stream and what became of them.
    :ivar offset: the next offset to be read.
    """

    def __init__(
        self,
        entry: str,
        log: log_service.LogService,
        on_version: Callable[[Version], Awaitable[None]],
    ) -> None:
        """Start with the defaults.

        :param on_version: told of every new version.
        """
        self._entry = entry
        self._log = log
        self._on_version = on_version
        self._version = Version(0, configuration.Configuration())
        self._versions, self._news = trio.open_memory_channel[Version](1000)
        self._changed = trio.Event()
        self.plans: dict[str, state.PlanState] = {}
        self.offset = 0

    @property
    def version(self) -> Version:
        """The version in force here."""
        return self._version

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        stream = records.CONFIG_STREAM
        async with trio.open_nursery() as nursery:
            reader = follower.Follower(self._log, stream, self)
            nursery.start_soon(reader.run, 0)
            async for version in self._news:
                await self._on_version(version)

    def text_for(self, version: int) -> str | None:
        """Give the document for a process whose version is older."""
        if version >= self._version.number:
            return None
        return configuration.to_text(self._version.config)

    def offer(self, number: int, text: str) -> None:
        """Take a version that a peer knows, if it is higher."""
        if number <= self._version.number:
            return
        try:
            config = configuration.parse(json.loads(text))
        except (ValueError, plain.FaultyValue) as error:
            logs.warn(logs.Part.CONFIG, f"A peer's document fails: {error}")
            return
        self._move_up(Version(number, config))

    def draft(self, document: Any) -> tuple[tuple[records.Effect, ...], str]:
        """Work out what a document would change.

        :return: the effects, and why it is refused, or empty.
        """
        try:
            config = configuration.parse(document)
        except plain.FaultyValue as error:
            return (), str(error)
        before = plain.to_plain(self._version.config)
        after = plain.to_plain(config)
        effects = tuple(_differences("config", before, after))
        if not effects:
            return (), "It changes nothing."
        return effects, ""

    async def append(self, body: records.Body, timeout_s: float) -> None:
        """Append a record and wait until it is read back.

        :raises errors.LogUnavailable: it may or may not take effect later.
        """
        now_ms = time.time_ns() // 1_000_000
        record = records.make(body, 0, self._entry, now_ms)
        with trio.move_on_after(timeout_s):
            offset = await self._append_once(record)
            while self.offset <= offset:
                await self._changed.wait()
            return
        raise errors.LogUnavailable("The log did not take the record in time.")

    def restart(self, first: int) -> int:
        """Start over from the oldest record that is there."""
        self.offset = first
        return first

    def take(self, batch: log_service.LogBatch) -> int:
        """Take a batch of the stream in."""
        for item in follower.parse(batch):
            if item.record is not None:
                self._apply(item.offset, item.record)
            self.offset = item.offset + 1
        changed = self._changed
        self._changed = trio.Event()
        changed.set()
        return max(self.offset, batch.first)

    def read_failed(self) -> None:
        """Go on with the version in force."""

    async def _append_once(self, record: records.Record) -> int:
        text = records.to_text(record)
        while True:
            try:
                return await self._log.append(records.CONFIG_STREAM, [text])
            except errors.LogUnavailable:
                await trio.sleep(_RETRY_S)

    def _apply(self, offset: int, record: records.Record) -> None:
        body = record.body
        if isinstance(body, records.Plan):
            if body.plan not in self.plans:
                decision: state.Decision = "open"
                decision = "refused" if body.refusal else decision
                known = state.PlanState(body, decision, offset)
                self.plans[body.plan] = known
                self._forget_plans()
        elif isinstance(body, records.Confirmation):
            self._confirm(offset, body)
        elif isinstance(body, records.Snapshot):
            self.offer(body.offset, json.dumps(body.state))

    def _confirm(self, offset: int, body: records.Confirmation) -> None:
        known = self.plans.get(body.plan)
        if known is None or known.decision != "open":
            return
        # A plan holds if no version was accepted since it was made.
        holds = known.plan.base_version == self._version.number
        decision: state.Decision = "accepted" if holds else "stale"
        self.plans[body.plan] = state.PlanState(known.plan, decision, offset)
        if holds:
            config = configuration.parse(known.plan.intent.config)
            self._move_up(Version(offset + 1, config))

    def _move_up(self, version: Version) -> None:
        self._version = version
        logs.info(
            logs.Part.CONFIG, f"Configuration {version.number} is in force."
        )
        self._versions.send_nowait(version)

    def _forget_plans(self) -> None:
        if len(self.plans) > _PLANS_KEPT:
            del self.plans[next(iter(self.plans))]


def _differences(path: str, before: Any, after: Any) -> list[records.Effect]:
    """List the keys of two documents that differ."""
    if not isinstance(before, dict) or not isinstance(after, dict):
        if before == after:
            return []
        return [records.Effect(path, _shown(before), _shown(after))]
    effects = []
    for key in sorted(before.keys() | after.keys()):
        inner = f"{path}.{key}"
        effects += _differences(inner, before.get(key), after.get(key))
    return effects


def _shown(value: Any) -> str:
    return "absent" if value is None else json.dumps(value)
