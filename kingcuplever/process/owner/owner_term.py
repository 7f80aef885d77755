"""One entry's time as owner of one epoch: it decides, appends and orders.

What the scheduler wants kept is appended first, in batches; what it wants
done leaves after that.  The reign ends when a newer epoch is seen.
"""

from collections.abc import Sequence
from typing import Final

import trio

from kingcuplever import clock
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process import advisers
from kingcuplever.process.agent import owner_link
from kingcuplever.process import job_metrics
from kingcuplever.process.owner import evidence_writer
from kingcuplever.process.owner import maintenance_controller
from kingcuplever.process.owner import side_links
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import fragmentation
from kingcuplever.process.scheduling import scheduler as schedulers
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
from kingcuplever.process.stored import log_producer

PRODUCER_NAME: Final = "owner"
# Number of the renewal by which an owner says that it decides no more.
RESIGNED_RENEWAL: Final = -1

_TICK_S: Final = 0.05
# The owner appends at least so often, so that others see it live.
_RENEW_S: Final = 0.4
_RETRY_S: Final = 0.1
# The owner sums its state up in one line so often.
_SUMMARY_S: Final = 10.0
# How long a resignation may take; without it the others notice the silence.
_RESIGN_S: Final = 1.0
# How long the hand-over may wait for the last evidence; what is not written
# by then, the next owner states anew.
_LAST_EVIDENCE_S: Final = 0.3


class _PendingAppend:
    """Records of an operator that wait for the next batch.

    :ivar end: offset after the batch, once the log has it.
    """

    def __init__(self, records: tuple[keyed_log.KeyedRecord, ...]) -> None:
        self.records = records
        self.end = -1
        self.done = trio.Event()


class OwnerTerm:
    """All that lives as long as this entry owns one epoch.

    :ivar scheduler: what it decides with.
    :ivar lost: set once the epoch is over.
    """

    def __init__(
        self,
        owner: job_records.Owner,
        producer: log_producer.Producer,
        scheduler: schedulers.Scheduler,
        log: keyed_log.KeyedLog,
        board: job_table.JobTable,
        links: side_links.SideLinks,
        adviser: advisers.Adviser | None,
        hosts: maintenance_controller.HostService | None,
        metrics: job_metrics.JobMetrics,
    ) -> None:
        """Begin, with a claim that the log has taken.

        :param owner: the claim.
        :param producer: the one that made it.
        """
        self.epoch = owner.epoch
        self.scheduler = scheduler
        self.ended = trio.Event()
        self._owner = owner
        self._producer = producer
        self._log = log
        self._board = board
        self._links = links
        self._adviser = adviser
        self._hosts = hosts
        self._metrics = metrics
        self._renewal = 0
        self._summed_up_at = trio.current_time()
        self._appended_at = trio.current_time()
        self._order_number = 0
        self._sending: set[str] = set()
        self._pending: list[_PendingAppend] = []
        self._renewed_head = evidence_records.EMPTY_HEAD
        self._evidence = evidence_writer.EvidenceWriter(
            log, owner.epoch, owner.entry, owner.evidence
        )
        self._wakeup = trio.Event()

    async def run(self) -> None:
        """Decide until the epoch is over."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._announce)
            nursery.start_soon(self._run_scheduler, nursery)
            nursery.start_soon(self._run_appends)
            nursery.start_soon(self._query_adviser)
            nursery.start_soon(self._evidence.run)
            if self._hosts is not None:
                upkeep = maintenance_controller.MaintenanceController(
                    self.scheduler.maintenance,
                    self._hosts,
                    self.append_records,
                    self._owner.entry,
                    self.epoch,
                )
                nursery.start_soon(upkeep.run)
            await self.ended.wait()
            nursery.cancel_scope.cancel()

    async def resign(self) -> None:
        """Say on the log that nobody decides in this epoch any more."""
        self.ended.set()
        try:
            with trio.move_on_after(_LAST_EVIDENCE_S):
                await self._evidence.flush()
            with trio.move_on_after(_RESIGN_S):
                owner = self._make_renewal(RESIGNED_RENEWAL)
                await self._producer.append([job_records.encode_owner(owner)])
        except errors.KingcupleverError as error:
            text = f"The resignation is not on the log: {error.detail}"
            logs.warn(logs.Component.OWNER, text)

    def get_append_failure(self, now: float) -> tuple[float, int]:
        """Tell for how long, in seconds, and how often an append failed."""
        since = self._producer.failing_since
        failing_s = 0.0 if since is None else now - since
        return failing_s, self._producer.failed_tries

    async def append_records(
        self, records: Sequence[keyed_log.KeyedRecord]
    ) -> int:
        """Append what an operator decided, with the owner's own records.

        :return: the offset after them.
        :raises errors.LogUnavailable: the epoch is over; they may be there.
        """
        entrusted = _PendingAppend(tuple(records))
        self._pending.append(entrusted)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when, self.ended, nursery)
            await entrusted.done.wait()
            nursery.cancel_scope.cancel()
        if entrusted.end < 0:
            raise errors.LogUnavailable(
                "Another entry owns now; look whether it is done."
            )
        return entrusted.end

    def on_job_changed(self, name: str, job: job_table.StoredJob) -> None:
        """Follow what callers did."""
        now = trio.current_time()
        self.scheduler.on_job_changed(name, job, now, clock.wall_ms())
        self.wake()

    def apply_report(self, listing: fleet.WorkerStatus) -> int:
        """Take in a side's report; give the epoch."""
        now = trio.current_time()
        self.scheduler.apply_report(listing, now, clock.wall_ms())
        self.wake()
        return self.epoch

    def wake(self) -> None:
        """Have the loop look at once."""
        self._wakeup.set()

    async def _announce(self) -> None:
        """Tell sides who owns, on a topic of its own."""
        producer = log_producer.Producer(
            self._log, owner_link.TOPIC, PRODUCER_NAME, self.epoch
        )
        record = owner_link.make_announcement(self._owner)
        try:
            await producer.append([record], retry_refused=True)
        except errors.LogFenced as error:
            logs.warn(logs.Component.OWNER, f"Not announced: {error.detail}")
            self.ended.set()

    async def _run_scheduler(self, nursery: trio.Nursery) -> None:
        """Drive the scheduler by news and time."""
        while True:
            present = self._board.owner
            if present is not None and present.epoch > self.epoch:
                self.ended.set()
                return
            with self._metrics.decision_seconds.time():
                self.scheduler.tick(trio.current_time(), clock.wall_ms())
            self._update_metrics()
            for line in self.scheduler.take_log_lines():
                logs.info(line.part, line.text)
            self._send_orders(nursery)
            with trio.move_on_after(_TICK_S):
                await self._wakeup.wait()
                self._wakeup = trio.Event()

    def _update_metrics(self) -> None:
        """Show the state in the metrics, and now and then in the log."""
        scheduler = self.scheduler
        self._metrics.jobs.set(len(scheduler.jobs))
        self._metrics.workers.set(len(scheduler.workers))
        for cause, core_s in scheduler.lost_work.items():
            self._metrics.lost_work.labels(cause).set(core_s)
        now = trio.current_time()
        if now - self._summed_up_at < _SUMMARY_S:
            return
        self._summed_up_at = now
        shares = fragmentation.compute_shares(scheduler.workers.values())
        for (place, gpus), share in shares.items():
            self._metrics.fragmentation.labels(place, str(gpus)).set(share)
        lost = {
            cause: round(core_s)
            for cause, core_s in scheduler.lost_work.items()
        }
        text = (
            f"Epoch {self.epoch}: {len(scheduler.jobs)} jobs,"
            f" {len(scheduler.workers)} workers; core-seconds lost: {lost}."
        )
        logs.info(logs.Component.OWNER, text)

    def _send_orders(self, nursery: trio.Nursery) -> None:
        for worker in self.scheduler.workers.values():
            if not worker.orders_changed or worker.name in self._sending:
                continue
            if not (
                worker.is_connected and self._links.is_linked(worker.side)
            ):
                continue
            worker.orders_changed = False
            self._order_number += 1
            self._sending.add(worker.name)
            orders = messages.WorkerOrders(
                self.epoch,
                self._order_number,
                worker.name,
                tuple(
                    messages.StartRow(*o)
                    for o in worker.pending_starts.values()
                ),
                tuple(
                    messages.StopRow(*run)
                    for run in sorted(worker.pending_stops)
                ),
                worker.acked,
                tuple(
                    messages.PaceRow(run.task, run.run, percent)
                    for run, percent in sorted(worker.paces.items())
                ),
            )
            nursery.start_soon(self._send, worker, orders)

    async def _send(
        self,
        worker: fleet.Worker,
        orders: messages.WorkerOrders,
    ) -> None:
        try:
            await self._links.send(worker.side, orders)
        except errors.KingcupleverError as error:
            # Sent again on the side's next report.
            worker.orders_changed = True
            text = f"Orders to {worker.name}: {error.detail}"
            logs.warn(logs.Component.TASK, text)
            if error.code is errors.Code.FENCED:
                self.ended.set()
            await trio.sleep(_RETRY_S)
        finally:
            self._sending.discard(worker.name)
        self.wake()

    async def _query_adviser(self) -> None:
        """Ask the queues' policy, one question at a time."""
        if self._adviser is None:
            return
        while True:
            question = self.scheduler.next_advice_request()
            if question is None:
                await trio.sleep(_TICK_S)
                continue
            answer = None
            try:
                answer = await self._adviser.ask(question)
            except errors.PlatformFailed as error:
                text = f"No advice on {question.step}: {error.detail}"
                logs.warn(logs.Component.PLACE, text)
                await trio.sleep(_RETRY_S)
            else:
                text = (
                    f"{len(answer.tickets)} of {len(question.workers)} workers"
                    f" may run {question.step} for {answer.valid_s:.1f} s."
                )
                logs.info(logs.Component.PLACE, text)
            self.scheduler.apply_advice(question, answer, trio.current_time())
            self.wake()

    async def _run_appends(self) -> None:
        """Append what must last, one batch at a time."""
        while True:
            changes = self.scheduler.take_record_batch()
            entrusted, self._pending = self._pending, []
            self._collect_evidence()
            records = [] if changes is None else [*changes.records]
            for one in entrusted:
                records += one.records
            silent_s = trio.current_time() - self._appended_at
            if records and self._evidence.head != self._renewed_head:
                records.append(job_records.encode_owner(self._make_renewal()))
            elif not records and silent_s > _RENEW_S:
                records = [job_records.encode_owner(self._make_renewal())]
            if not records:
                await trio.sleep(_TICK_S / 2)
                continue
            end = await self._append(records)
            if changes is not None:
                self.scheduler.confirm_commit(changes.number)
            for one in entrusted:
                one.end = end
                one.done.set()
            self.wake()

    def _collect_evidence(self) -> None:
        """Hand on what can be shown as evidence by now."""
        rows = self.scheduler.take_evidence()
        for row in rows:
            self._metrics.count_decision(row)
        self._evidence.add_rows(rows)

    def _make_renewal(self, renewal: int = 0) -> job_records.Owner:
        """Make the next renewal; it names the newest evidence.

        :param renewal: its number; 0 for the next one.
        """
        self._renewal += 1
        self._renewed_head = self._evidence.head
        named = self._owner.evidence
        if self._renewed_head != evidence_records.EMPTY_HEAD:
            named = str(self._renewed_head)
        return self._owner._replace(
            renewal=renewal or self._renewal, evidence=named
        )

    async def _append(self, records: Sequence[keyed_log.KeyedRecord]) -> int:
        """Append until the log has it, or the epoch is lost.

        :return: the offset after the records.
        """
        began_at = trio.current_time()
        try:
            end = await self._producer.append(records, retry_refused=True)
        except errors.LogFenced as error:
            logs.warn(logs.Component.OWNER, f"Fenced: {error.detail}")
            self.ended.set()
            await trio.sleep_forever()
        self._appended_at = trio.current_time()
        seconds = self._appended_at - began_at
        self._metrics.append_seconds.observe(seconds)
        return end


async def _cancel_when(event: trio.Event, nursery: trio.Nursery) -> None:
    await event.wait()
    nursery.cancel_scope.cancel()
