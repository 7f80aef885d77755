"""The task that owns a pool's scheduling at an entry.

One entry at a time decides.  It claims a higher epoch on the topic of the
jobs, at the very end that it has read, so that it has seen all that the
owner before it wrote and that one can write no more.  Sides link to it; it
drives the scheduler and appends what must last before orders leave.
"""

import random
import time
from typing import Final

import trio

from kingcuplever.connection import keyed_log
from kingcuplever.connection import peer as peers
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import options
from kingcuplever.process import advisers
from kingcuplever.process import job_metrics
from kingcuplever.process import owner_link
from kingcuplever.process import owner_watch
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import scheduler as schedulers
from kingcuplever.process.stored import following
from kingcuplever.process.stored import job_board
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import producing

# Number of the renewal by which an owner says that it decides no more.
RESIGNED: Final = -1

_PRODUCER: Final = "owner"
_TICK_S: Final = 0.05
# Pause between reads that gave records: the owner is who must hear of a new
# job at once; the others show states that may be this old, at the price of
# one call to the log a pause.
OWNER_PACE_S: Final = 0.06
FOLLOWER_PACE_S: Final = 0.25
# The owner appends at least so often, so that others see it live.
_RENEW_S: Final = 0.7
_RETRY_S: Final = 0.1
# The owner sums its state up in one line so often.
_SUMMARY_S: Final = 10.0
# How long orders to a side may stay unanswered.
_ORDER_S: Final = 1.0


class _Reign:
    """All that lives as long as this entry owns one epoch."""

    def __init__(
        self,
        epoch: int,
        producer: producing.Producer,
        scheduler: schedulers.Scheduler,
    ) -> None:
        self.epoch = epoch
        self.producer = producer
        self.scheduler = scheduler
        self.renewal = 0
        self.summed_up_at = trio.current_time()
        self.appended_at = trio.current_time()
        self.order_number = 0
        self.sending: set[str] = set()
        self.lost = trio.Event()
        self.news = trio.Event()

    def wake(self) -> None:
        """Have the loop look at once."""
        self.news.set()


class JobOwner:
    """Takes part in the ownership, and decides while it owns."""

    def __init__(
        self,
        name: str,
        address: str,
        strength: float,
        log: keyed_log.KeyedLog,
        follower: following.Follower,
        board: job_board.JobBoard,
        timing: schedulers.Timing,
        metrics: job_metrics.JobMetrics,
        adviser: advisers.Adviser,
    ) -> None:
        """Follow; nothing is claimed yet.

        :param address: where sides reach this process, ``host:port``.
        :param strength: 0 to 1; a stronger host claims earlier.
        """
        self._name = name
        self._address = address
        self._strength = strength
        self._log = log
        self._follower = follower
        self._board = board
        self._timing = timing
        self._metrics = metrics
        self._adviser = adviser
        self._policy = model.Policy(0, {}, {})
        self._links: dict[str, peers.Peer] = {}
        self._reign: _Reign | None = None
        self._resigned = False
        board.listener = self

    @property
    def owning(self) -> bool:
        """Whether decisions are made here."""
        return self._reign is not None

    def set_policy(self, policy: model.Policy) -> None:
        """Use a new version of the configuration."""
        self._policy = policy
        if self._reign is not None:
            self._reign.scheduler.set_policy(policy)
            self._reign.wake()

    def job_changed(self, name: str, job: job_board.StoredJob) -> None:
        """Follow what callers did."""
        reign = self._reign
        if reign is not None:
            reign.scheduler.job_changed(
                name, job, trio.current_time(), _wall_ms()
            )
            reign.wake()

    async def run(self) -> None:
        """Watch, claim and decide until cancelled."""
        host, port = options.split_address(self._address)
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(port, host=host)
            nursery.start_soon(
                trio.serve_listeners, self._serve_side, listeners
            )
            while not self._resigned:
                await self._wait_for_silence()
                epoch = await self._claim()
                if epoch:
                    await self._decide(epoch)

    async def resign(self) -> None:
        """Own nothing any more; another entry need not wait to claim."""
        self._resigned = True
        reign = self._reign
        if reign is None:
            return
        reign.lost.set()
        owner = job_records.Owner(
            reign.epoch, self._name, self._address, RESIGNED
        )
        try:
            with trio.move_on_after(_ORDER_S):
                await reign.producer.append([job_records.owner(owner)])
        except errors.KingcupleverError as error:
            text = f"The resignation is not on the log: {error.detail}"
            logs.warn(logs.Part.OWNER, text)

    async def _wait_for_silence(self) -> None:
        """Return once no owner has been heard for long enough."""
        watch = owner_watch.OwnerWatch(self._strength, random.random())
        while True:
            await trio.sleep(_RETRY_S)
            owner = self._board.owner
            # An owner of this very entry is a process that has ended.
            vacant = owner is None or owner.renewal == RESIGNED
            vacant = vacant or owner is None or owner.entry == self._name
            may_claim = watch.may_claim(
                self._board.owner_heard,
                self._follower.seen_at,
                vacant,
                trio.current_time(),
            )
            if may_claim and self._policy.version and not self._resigned:
                return

    async def _claim(self) -> int:
        """Try to become owner; give the epoch, or 0."""
        present = self._board.owner
        epoch = 1 if present is None else present.epoch + 1
        producer = producing.Producer(
            self._log, job_records.TOPIC, _PRODUCER, epoch
        )
        record = job_records.Owner(epoch, self._name, self._address, 0)
        at = self._follower.offset
        text = f"Claiming epoch {epoch} at {at}."
        logs.info(logs.Part.OWNER, text)
        while True:
            try:
                await producer.try_append([job_records.owner(record)], at)
                break
            except (errors.LogConflict, errors.LogFenced) as error:
                # An answer may have been lost after the claim took effect.
                if await self._is_mine(record):
                    producer.found_done()
                    break
                logs.info(logs.Part.OWNER, f"Not claimed: {error.detail}")
                return 0
            except errors.LogRefused as error:
                logs.info(logs.Part.OWNER, f"Not claimed: {error.detail}")
                return 0
            except errors.LogUnavailable as error:
                logs.warn(logs.Part.OWNER, f"Claim in doubt: {error.detail}")
                await trio.sleep(_RETRY_S)
        scheduler = schedulers.Scheduler(self._timing)
        scheduler.set_policy(self._policy)
        scheduler.load(self._board, trio.current_time(), _wall_ms())
        self._reign = _Reign(epoch, producer, scheduler)
        logs.info(logs.Part.OWNER, f"Owner of epoch {epoch} at {at}.")
        return epoch

    async def _is_mine(self, record: job_records.Owner) -> bool:
        """Tell whether a claim of ours stands on the log after all."""
        try:
            await self._follower.refresh(_ORDER_S)
        except errors.LogUnavailable:
            return False
        return self._board.owner == record

    async def _decide(self, epoch: int) -> None:
        """Own until a newer epoch is seen."""
        reign = self._reign
        assert reign is not None
        self._metrics.owning.set(1)
        self._metrics.epoch.set(epoch)
        self._follower.pace_s = OWNER_PACE_S
        self._follower.hurry()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._announce, reign)
                nursery.start_soon(self._step_all, reign, nursery)
                nursery.start_soon(self._append_all, reign)
                nursery.start_soon(self._ask_all, reign)
                await reign.lost.wait()
                nursery.cancel_scope.cancel()
        finally:
            self._reign = None
            self._metrics.owning.set(0)
            self._follower.pace_s = FOLLOWER_PACE_S
            logs.warn(logs.Part.OWNER, f"Epoch {epoch} is lost.")
            for peer in [*self._links.values()]:
                await peer.close()

    async def _announce(self, reign: _Reign) -> None:
        """Tell sides who owns, on a topic of its own."""
        producer = producing.Producer(
            self._log, owner_link.TOPIC, _PRODUCER, reign.epoch
        )
        owner = job_records.Owner(reign.epoch, self._name, self._address, 0)
        while True:
            try:
                await producer.append([owner_link.announcement(owner)])
                return
            except errors.LogRefused:
                await trio.sleep(_RETRY_S)
            except errors.LogFenced:
                reign.lost.set()
                return

    async def _step_all(self, reign: _Reign, nursery: trio.Nursery) -> None:
        """Drive the scheduler by news and time."""
        while True:
            present = self._board.owner
            if present is not None and present.epoch > reign.epoch:
                reign.lost.set()
                return
            with self._metrics.decision_seconds.time():
                reign.scheduler.tick(trio.current_time(), _wall_ms())
            self._show(reign)
            for line in reign.scheduler.take_said():
                logs.info(line.part, line.text)
            self._send_orders(reign, nursery)
            with trio.move_on_after(_TICK_S):
                await reign.news.wait()
                reign.news = trio.Event()

    def _show(self, reign: _Reign) -> None:
        """Show the state in the metrics, and now and then in the log."""
        scheduler = reign.scheduler
        self._metrics.jobs.set(len(scheduler.jobs))
        self._metrics.workers.set(len(scheduler.workers))
        for cause, core_s in scheduler.lost_work.items():
            self._metrics.lost_work.labels(cause).set(core_s)
        now = trio.current_time()
        if now - reign.summed_up_at < _SUMMARY_S:
            return
        reign.summed_up_at = now
        lost = {
            cause: round(core_s)
            for cause, core_s in scheduler.lost_work.items()
        }
        text = (
            f"Epoch {reign.epoch}: {len(scheduler.jobs)} jobs,"
            f" {len(scheduler.workers)} workers; core-seconds lost: {lost}."
        )
        logs.info(logs.Part.OWNER, text)

    def _send_orders(self, reign: _Reign, nursery: trio.Nursery) -> None:
        for worker in reign.scheduler.workers.values():
            if not worker.orders_changed or worker.name in reign.sending:
                continue
            peer = self._links.get(worker.side)
            if peer is None or not worker.linked:
                continue
            worker.orders_changed = False
            reign.order_number += 1
            reign.sending.add(worker.name)
            orders = messages.WorkerOrders(
                reign.epoch,
                reign.order_number,
                worker.name,
                tuple(messages.StartRow(*o) for o in worker.starts.values()),
                tuple(messages.StopRow(*run) for run in sorted(worker.stops)),
                worker.acked,
                tuple(
                    messages.PaceRow(run.task, run.run, percent)
                    for run, percent in sorted(worker.paces.items())
                ),
            )
            nursery.start_soon(self._send, reign, worker, peer, orders)

    async def _send(
        self,
        reign: _Reign,
        worker: fleet.Worker,
        peer: peers.Peer,
        orders: messages.WorkerOrders,
    ) -> None:
        try:
            await peer.call(orders, _ORDER_S)
        except errors.KingcupleverError as error:
            # Sent again on the side's next report.
            worker.orders_changed = True
            text = f"Orders to {worker.name}: {error.detail}"
            logs.warn(logs.Part.TASK, text)
            if error.code is errors.Code.FENCED:
                reign.lost.set()
            await trio.sleep(_RETRY_S)
        finally:
            reign.sending.discard(worker.name)
        reign.wake()

    async def _ask_all(self, reign: _Reign) -> None:
        """Ask the queues' policy, one question at a time."""
        while True:
            question = reign.scheduler.next_question()
            if question is None:
                await trio.sleep(_TICK_S)
                continue
            answer = None
            try:
                answer = await self._adviser.ask(question)
            except errors.PlatformFailed as error:
                text = f"No advice on {question.step}: {error.detail}"
                logs.warn(logs.Part.PLACE, text)
                await trio.sleep(_RETRY_S)
            else:
                text = (
                    f"{len(answer.tickets)} of {len(question.workers)} workers"
                    f" may run {question.step} for {answer.valid_s:.1f} s."
                )
                logs.info(logs.Part.PLACE, text)
            reign.scheduler.advised(question, answer, trio.current_time())
            reign.wake()

    async def _append_all(self, reign: _Reign) -> None:
        """Append what must last, one batch at a time."""
        while True:
            changes = reign.scheduler.take_changes()
            if changes is not None:
                await self._append(reign, changes.records)
                reign.scheduler.committed(changes.number)
                reign.wake()
                continue
            if trio.current_time() - reign.appended_at > _RENEW_S:
                reign.renewal += 1
                owner = job_records.Owner(
                    reign.epoch, self._name, self._address, reign.renewal
                )
                await self._append(reign, (job_records.owner(owner),))
            await trio.sleep(_TICK_S / 2)

    async def _append(
        self, reign: _Reign, records: tuple[keyed_log.KeyedRecord, ...]
    ) -> None:
        """Append until the log has it, or the epoch is lost."""
        refused = False
        while True:
            try:
                began_at = trio.current_time()
                await reign.producer.append(records)
                reign.appended_at = trio.current_time()
                seconds = reign.appended_at - began_at
                self._metrics.append_seconds.observe(seconds)
                return
            except errors.LogRefused as error:
                if not refused:
                    text = f"Not appended: {error.detail}"
                    logs.warn(logs.Part.OWNER, text)
                refused = True
                await trio.sleep(_RETRY_S)
            except errors.LogFenced as error:
                logs.warn(logs.Part.OWNER, f"Fenced: {error.detail}")
                reign.lost.set()
                await trio.sleep_forever()

    async def _serve_side(self, stream: trio.SocketStream) -> None:
        """Serve one side's connection until it ends."""
        peer = peers.Peer(stream, self._serve)
        try:
            await peer.run()
        except* errors.KingcupleverError as group:
            text = f"A side's link broke: {group.exceptions[0]}"
            logs.warn(logs.Part.MEMBER, text)
        finally:
            for side in [s for s, p in self._links.items() if p is peer]:
                del self._links[side]
                logs.warn(logs.Part.MEMBER, f"Side {side} is not linked.")
                if self._reign is not None:
                    self._reign.scheduler.side_lost(side)

    async def _serve(
        self, peer: peers.Peer, message: messages.Message
    ) -> messages.Message:
        if not isinstance(message, messages.WorkerReport):
            raise errors.InvalidRequest("An owner takes reports only.")
        reign = self._reign
        if reign is None:
            raise errors.KingcupleverError(
                f"{self._name} does not own.", errors.Code.FENCED
            )
        if self._links.get(message.side) is not peer:
            older = self._links.get(message.side)
            self._links[message.side] = peer
            logs.info(logs.Part.MEMBER, f"Side {message.side} is linked.")
            if older is not None:
                await older.close()
        reign.scheduler.report(
            _listing(message), trio.current_time(), _wall_ms()
        )
        reign.wake()
        return messages.WorkerReply(reign.epoch)


def _listing(report: messages.WorkerReport) -> fleet.Listing:
    return fleet.Listing(
        report.worker,
        report.side,
        report.data_centre,
        report.pool,
        model.Need(report.cpu_milli, report.memory_mb, report.gpus),
        report.labels,
        report.draining,
        report.remaining_ms,
        report.gone,
        tuple(fleet.RunningTask(*row) for row in report.running),
        tuple(fleet.EndedTask(*row) for row in report.ended),
        tuple(fleet.RefusedTask(*row) for row in report.refused),
        report.clock_ms,
    )


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
