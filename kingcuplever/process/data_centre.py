"""The task that owns one data centre's state at an entry.

It follows the stream, takes part in the ownership, drives the decisions and
carries their commands out.  Sides' reports and operators' questions come to
it as messages.
"""

from collections.abc import Callable
import time
from typing import Final
from typing import NamedTuple
from typing import Protocol

import trio

from kingcuplever.connection import log_service
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import options
from kingcuplever import plain
from kingcuplever.process import commands
from kingcuplever.process import follower
from kingcuplever.process import fragmentation
from kingcuplever.process import members
from kingcuplever.process import metrics
from kingcuplever.process import owner as owners
from kingcuplever.process import ownership
from kingcuplever.process import placing
from kingcuplever.process import replay
from kingcuplever.process import runs
from kingcuplever.process import snapshots
from kingcuplever.process import state
from kingcuplever import records
from kingcuplever.version import configuration

_TICK_S: Final = 0.1
# An entry that does not own only watches the owner's lease.
_IDLE_TICK_S: Final = 0.3
_INBOX: Final = 10_000
# Records after which the owner writes a snapshot.
_SNAPSHOT_RECORDS: Final = 500
_GAUGES_S: Final = 1.0


class Granted(NamedTuple):
    """What an entry grants the side of a worker.

    :ivar epoch: the owner's, or 0 from an entry that does not own.
    """

    epoch: int
    leases: tuple[messages.GangLease, ...]
    forget: tuple[messages.AttemptId, ...]


class _Batch(NamedTuple):
    parsed: list[follower.Parsed]
    at_end: bool


class _Restart(NamedTuple):
    pass


class _Restore(NamedTuple):
    schedule: state.Schedule


class _ReadFailed(NamedTuple):
    pass


class _Beat(NamedTuple):
    heartbeat: messages.Heartbeat
    reply: trio.MemorySendChannel[Granted]


class _Answered(NamedTuple):
    order: commands.Order
    reply: messages.TaskReport | None


class _Config(NamedTuple):
    config: configuration.SchedulingConfig


class _Ask(NamedTuple):
    question: Callable[[state.Schedule, owners.Owner], object]
    reply: trio.MemorySendChannel[object]


class _Tick(NamedTuple):
    pass


_Inbox = (
    _Batch
    | _Restart
    | _Restore
    | _ReadFailed
    | _Beat
    | _Answered
    | _Config
    | _Ask
    | _Tick
)


class DataCentre:
    """One data centre's scheduling, as one entry sees it.

    :ivar stream: name of its stream on the log.
    :ivar name: the data centre.
    """

    def __init__(
        self,
        entry: str,
        name: str,
        rank: int,
        fleet: options.FleetOptions,
        log: log_service.LogService,
        sides: members.Members,
        measures: metrics.EntryMetrics,
    ) -> None:
        """Follow a data centre.

        :param entry: this entry's name, the writer of its records.
        :param rank: how many entries should own it before this one.
        :param sides: the linked sides, for orders.
        """
        self.name = name
        self.stream = records.data_centre_stream(name)
        self._entry = entry
        self._log = log
        self._sides = sides
        self._metrics = measures
        self._order_s = fleet.timing.reserve_ms / 1000
        self._timing = fleet.timing
        lease_s = fleet.timing.owner_lease_ms / 1000
        self._ownership = ownership.Ownership(entry, lease_s, rank)
        self._schedule = state.Schedule(name)
        self._owner = owners.Owner(self._schedule, fleet.timing)
        self._config = configuration.SchedulingConfig()
        self._send, self._receive = trio.open_memory_channel[_Inbox](_INBOX)
        appends = trio.open_memory_channel[records.Record](_INBOX)
        self._append_send, self._append_receive = appends
        self._changed = trio.Event()
        self._restarting = False
        self._last_snapshot = 0
        self._snapshot_sent = 0
        self._reclaims_seen = 0
        self._gauges_at = 0.0

    @property
    def ready(self) -> bool:
        """Whether the state is whole."""
        return not self._restarting

    async def run(self) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            reader = follower.Follower(
                self._log, self.stream, StreamSink(self)
            )
            nursery.start_soon(reader.run, 0)
            nursery.start_soon(self._append_all)
            nursery.start_soon(self._tick)
            async for message in self._receive:
                self._take(message)
                self._carry_out(nursery)

    async def heartbeat(self, heartbeat: messages.Heartbeat) -> Granted:
        """Take in a side's heartbeat; give its leases."""
        send, receive = trio.open_memory_channel[Granted](1)
        await self._send.send(_Beat(heartbeat, send))
        return await receive.receive()

    async def set_config(self, config: configuration.SchedulingConfig) -> None:
        """Use a new version of the configuration."""
        await self._send.send(_Config(config))

    async def ask(
        self, question: Callable[[state.Schedule, owners.Owner], object]
    ) -> object:
        """Answer a question about the state, without changing it."""
        send, receive = trio.open_memory_channel[object](1)
        await self._send.send(_Ask(question, send))
        return await receive.receive()

    async def append(self, record: records.Record, timeout_s: float) -> None:
        """Append an operator's record and wait until it is applied.

        :raises errors.LogUnavailable: it may or may not take effect later.
        """
        with trio.move_on_after(timeout_s):
            offset = await self._append_once(record)
            while self._schedule.offset <= offset:
                await self._changed.wait()
            return
        raise errors.LogUnavailable(
            "The log did not take the record in time; look at the plan's"
            " state before confirming again."
        )

    def post(self, message: _Inbox) -> None:
        """Hand a message over from the follower."""
        self._send.send_nowait(message)

    async def _append_once(self, record: records.Record) -> int:
        """Append until the log answers; readers drop repetitions."""
        text = records.to_text(record)
        while True:
            try:
                return await self._log.append(self.stream, [text])
            except errors.LogUnavailable:
                await trio.sleep(_TICK_S)

    async def _tick(self) -> None:
        while True:
            mine = self._ownership.is_mine
            await trio.sleep(_TICK_S if mine else _IDLE_TICK_S)
            await self._send.send(_Tick())

    def _moment(self) -> placing.Moment:
        return placing.Moment(trio.current_time(), _wall_ms())

    def _take(self, message: _Inbox) -> None:
        moment = self._moment()
        if isinstance(message, _Batch):
            self._take_batch(message, moment)
        elif isinstance(message, _Restart):
            self._restart()
        elif isinstance(message, _Restore):
            self._restore(message.schedule)
        elif isinstance(message, _ReadFailed):
            self._ownership.read_failed()
        elif isinstance(message, _Beat):
            self._take_heartbeat(message, moment)
        elif isinstance(message, _Answered):
            self._owner.order_answered(message.order, message.reply, moment)
        elif isinstance(message, _Config):
            self._config = message.config
            self._owner.set_config(message.config)
        elif isinstance(message, _Ask):
            answer = message.question(self._schedule, self._owner)
            message.reply.send_nowait(answer)
        else:
            self._step(moment)

    def _take_batch(self, batch: _Batch, moment: placing.Moment) -> None:
        for item in batch.parsed:
            self._apply(item, moment)
        if batch.at_end and not self._restarting:
            self._ownership.read_end(moment.now)
        changed = self._changed
        self._changed = trio.Event()
        changed.set()

    def _apply(self, item: follower.Parsed, moment: placing.Moment) -> None:
        record = item.record
        if record is None:
            replay.skip(self._schedule, item.offset, item.text)
            return
        counted = replay.apply(self._schedule, item.offset, record, item.text)
        self._note_ownership(record, counted, moment)
        self._owner.applied(record, counted, moment)
        self._observe(record, counted)

    def _note_ownership(
        self, record: records.Record, counted: bool, moment: placing.Moment
    ) -> None:
        if not counted:
            return
        if record.kind == "claim":
            self._owner.lose()
            self._say_owner(record)
        if record.kind == "claim" or record.kind in records.OWNER_KINDS:
            self._ownership.heard_owner(record.writer, moment.now)
            self._ownership.read_back(record.id)
        if isinstance(record.body, records.Snapshot):
            self._last_snapshot = self._schedule.offset

    def _say_owner(self, record: records.Record) -> None:
        text = f"{record.writer} owns {self.name}, epoch {record.epoch}."
        logs.info(logs.Part.OWNER, text)

    def _restart(self) -> None:
        self._owner.lose()
        self._restarting = True

    def _restore(self, schedule: state.Schedule) -> None:
        """Go on from the state of a snapshot."""
        self._schedule = schedule
        self._owner = owners.Owner(schedule, self._timing)
        self._owner.set_config(self._config)
        self._restarting = False
        text = f"{self.name} starts from a snapshot at {schedule.offset}."
        logs.info(logs.Part.LOG, text)

    def _take_heartbeat(self, message: _Beat, moment: placing.Moment) -> None:
        heartbeat = message.heartbeat
        assert heartbeat.worker is not None
        worker = heartbeat.worker.worker
        report = runs.Report(
            heartbeat.side,
            worker,
            heartbeat.incarnation,
            heartbeat.sequence,
            heartbeat.tasks,
            heartbeat.epoch,
        )
        self._owner.report(report, heartbeat.worker, moment)
        granted = Granted(0, (), ())
        # Leases go on while the log is away: nobody else can have claimed
        # the epoch without this entry's sides refusing its orders.
        if self._ownership.is_mine and not self._restarting:
            granted = Granted(
                self._schedule.epoch,
                self._owner.leases(worker, moment.now),
                self._owner.forgettable(worker),
            )
        message.reply.send_nowait(granted)

    def _step(self, moment: placing.Moment) -> None:
        step = self._ownership.step(moment.now)
        if step is not ownership.Step.NOTHING and not self._restarting:
            self._claim_or_renew(step, moment)
        owns = self._ownership.owns(moment.now)
        if owns and not self._owner.owning:
            self._owner.gain(moment)
        if owns:
            self._owner.tick(moment)
            self._maybe_snapshot()
        self._update_gauges(moment.now)

    def _claim_or_renew(
        self, step: ownership.Step, moment: placing.Moment
    ) -> None:
        ttl_ms = self._timing.owner_lease_ms
        body: records.Body = records.Renewal(ttl_ms)
        epoch = self._schedule.epoch
        if step is ownership.Step.CLAIM:
            body = records.Claim(ttl_ms)
            epoch += 1
        record = records.make(body, epoch, self._entry, moment.wall_ms)
        self._ownership.sent(record.id, moment.now)
        self._append_send.send_nowait(record)

    def _maybe_snapshot(self) -> None:
        newest = max(self._last_snapshot, self._snapshot_sent)
        if self._schedule.offset - newest < _SNAPSHOT_RECORDS:
            return
        self._snapshot_sent = self._schedule.offset
        self._append(snapshots.write(self._schedule))

    def _append(self, body: records.Body) -> None:
        record = records.make(
            body, self._schedule.epoch, self._entry, _wall_ms()
        )
        self._append_send.send_nowait(record)

    def _carry_out(self, nursery: trio.Nursery) -> None:
        for command in self._owner.take():
            if isinstance(command, commands.Append):
                self._append(command.body)
            elif isinstance(command, commands.Order):
                nursery.start_soon(self._send_order, command)
            else:
                logs.info(command.part, f"{self.name}: {command.text}")

    async def _append_all(self) -> None:
        """Append in order, in batches, until each batch is taken."""
        async for record in self._append_receive:
            batch = [record]
            while len(batch) < log_service.READ_MOST:
                try:
                    batch.append(self._append_receive.receive_nowait())
                except trio.WouldBlock:
                    break
            await self._append_batch(batch)

    async def _append_batch(self, batch: list[records.Record]) -> None:
        epoch = batch[-1].epoch

        def still_wanted() -> bool:
            return epoch >= self._schedule.epoch

        await follower.append_until_taken(
            self._log, self.stream, batch, still_wanted
        )

    async def _send_order(self, order: commands.Order) -> None:
        reply = None
        link = self._sides.find_worker(order.worker)
        if link is not None:
            try:
                reply = await link.peer.call(order.message, self._order_s)
            except errors.KingcupleverError as error:
                text = f"{self.name}: {order.worker}: {error.detail}"
                logs.warn(logs.Part.GANG, text)
        if not isinstance(reply, messages.TaskReport):
            reply = None
        await self._send.send(_Answered(order, reply))

    def _observe(self, record: records.Record, counted: bool) -> None:
        body = record.body
        if not counted or not isinstance(body, records.Ended):
            return
        job = self._schedule.jobs.get(body.job)
        if job is None or job.phase != "ended" or job.outcome != "done":
            return
        seconds = (job.ended_ms - job.submitted_ms) / 1000
        self._metrics.completion_seconds.labels(
            self.name, job.spec.priority
        ).observe(seconds)

    def _update_gauges(self, now: float) -> None:
        if now - self._gauges_at < _GAUGES_S:
            return
        self._gauges_at = now
        schedule = self._schedule
        measures = self._metrics
        measures.epoch.labels(self.name).set(schedule.epoch)
        measures.owning.labels(self.name).set(self._owner.owning)
        measures.dropped.labels(self.name).set(schedule.dropped)
        phases = dict.fromkeys(("queued", "running", "stopping", "ended"), 0)
        for job in schedule.jobs.values():
            phases[job.phase] += 1
        for phase, count in phases.items():
            measures.jobs.labels(self.name, phase).set(count)
        for gpus, share in fragmentation.shares(schedule.ledger).items():
            measures.fragmentation.labels(self.name, gpus).set(share)
        new = self._owner.reclaim_times_s[self._reclaims_seen :]
        self._reclaims_seen += len(new)
        for seconds in new:
            measures.reclaim_seconds.labels(self.name).observe(seconds)


class _Poster(Protocol):
    def post(self, message: _Inbox) -> None: ...


class StreamSink:
    """Hands what the follower reads to the data centre's task."""

    def __init__(self, owner: _Poster) -> None:
        """Hand over to the task that owns the state."""
        self._owner = owner
        self._restarting = False

    def restart(self, first: int) -> int:
        """Start over from the oldest record that is there."""
        self._restarting = True
        self._owner.post(_Restart())
        return first

    def take(self, batch: log_service.LogBatch) -> int:
        """Hand a batch over; while starting over, look for a snapshot."""
        parsed = follower.parse(batch)
        after = batch.end
        if batch.records:
            after = batch.records[-1].offset + 1
        if self._restarting:
            return self._take_restarting(parsed, batch, after)
        self._owner.post(_Batch(parsed, after >= batch.end))
        return after

    def read_failed(self) -> None:
        """Say that the log can't be read at present."""
        self._owner.post(_ReadFailed())

    def _take_restarting(
        self,
        parsed: list[follower.Parsed],
        batch: log_service.LogBatch,
        after: int,
    ) -> int:
        """Go back to the offset of the first snapshot that can be used.

        One that can't be read, or whose tail is not whole, is passed over.
        """
        for item in parsed:
            if item.record is None:
                continue
            body = item.record.body
            if not isinstance(body, records.Snapshot):
                continue
            if body.offset < batch.first:
                continue
            try:
                schedule = snapshots.read(body)
            except plain.FaultyValue as error:
                text = f"A snapshot can't be used: {error}"
                logs.warn(logs.Part.LOG, text)
                continue
            self._restarting = False
            self._owner.post(_Restore(schedule))
            return body.offset
        return after


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
