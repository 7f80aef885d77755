"""One term of an owner: schedules, appends to the log and sends orders.

The scheduler's records are appended in batches.  Orders that depend on a
record are sent after its append (write-ahead).  The term ends when a newer
epoch is seen.
"""

from collections.abc import Sequence
import itertools
from typing import Final

import trio

from kingcuplever import clock
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process import advisers
from kingcuplever.process import job_metrics
from kingcuplever.process.owner import absent_workers
from kingcuplever.process.owner import evidence_writer
from kingcuplever.process.owner import maintenance_controller
from kingcuplever.process.owner import side_links
from kingcuplever.process.owner import worker_orders
from kingcuplever.process.scheduling import advice
from kingcuplever.process.scheduling import evacuations
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import fragmentation
from kingcuplever.process.scheduling import scheduler as schedulers
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
from kingcuplever.process.stored import log_producer
from kingcuplever.process.stored import owner_announcements

PRODUCER_NAME: Final = "owner"
# Renewal number of the record by which an owner resigns.
RESIGNED_RENEWAL: Final = -1

_TICK_PERIOD_S: Final = 0.05
# Least time before orders are sent again to a side that does not follow them:
# one that may not act voids them each time.
_RESEND_PERIOD_S: Final = 0.9
# Orders with more starts are long, and each change of one repeats them all; so
# they are sent no more often than this.
_MANY_STARTS: Final = 64
_LONG_ORDERS_PERIOD_S: Final = 0.25
# Bounds the age of a permission, which may be infinite, in messages.
_MAX_AGE_MS: Final = 2**31 - 1
# Longest time without an append by the owner; failure detection depends on it.
_RENEWAL_PERIOD_S: Final = 0.4
_RETRY_S: Final = 0.1
# Time between requests for the list of hosts while a worker is silent.
_SILENCE_CHECK_PERIOD_S: Final = 1.0
# Time between summaries of the state in the log.
_SUMMARY_PERIOD_S: Final = 10.0
# Timeout of the resignation; without it, other entries detect the end of the
# term by the missing renewals.
_RESIGN_TIMEOUT_S: Final = 1.0
# Timeout for the last evidence before a resignation; the next owner writes the
# acceptances of plans again.
_LAST_EVIDENCE_TIMEOUT_S: Final = 0.3


class _PendingAppend:
    """Records that wait for the owner's next batch.

    :ivar end: offset after the batch; -1 until it is appended.
    """

    def __init__(self, records: tuple[keyed_log.KeyedRecord, ...]) -> None:
        self.records = records
        self.end = -1
        self.done = trio.Event()


class OwnerTerm:
    """The tasks and state of this entry while it owns one epoch.

    :ivar scheduler: makes the term's decisions.
    :ivar ended: set once the term is over.
    """

    def __init__(
        self,
        owner: job_records.Owner,
        producer: log_producer.Producer,
        scheduler: schedulers.Scheduler,
        log: keyed_log.KeyedLog,
        table: job_table.JobTable,
        links: side_links.SideLinks,
        adviser: advisers.Adviser | None,
        hosts: maintenance_controller.HostService | None,
        metrics: job_metrics.JobMetrics,
    ) -> None:
        """Create a term from a claim that is on the log.

        :param owner: record of the claim.
        :param producer: producer that appended it.
        """
        self.epoch = owner.epoch
        self.scheduler = scheduler
        self.ended = trio.Event()
        self._owner = owner
        self._producer = producer
        self._log = log
        self._table = table
        self._links = links
        self._adviser = adviser
        self._hosts = hosts
        self._metrics = metrics
        self._renewal = 0
        self._summary_at = trio.current_time()
        self._appended_at = trio.current_time()
        self._order_number = 0
        self._sending: set[str] = set()
        self._pending: list[_PendingAppend] = []
        self._renewed_head = evidence_records.EMPTY_HEAD
        self._evidence = evidence_writer.EvidenceWriter(
            log, owner.epoch, owner.entry, owner.evidence, metrics.barrier
        )
        self._wakeup = trio.Event()
        self._new_evacuations = trio.Event()

    async def run(self) -> None:
        """Run the term's tasks until it is over."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._announce)
            nursery.start_soon(self._run_scheduler, nursery)
            nursery.start_soon(self._run_appends)
            nursery.start_soon(self._query_adviser)
            nursery.start_soon(self._evidence.run)
            if self._hosts is not None:
                controller = maintenance_controller.MaintenanceController(
                    self.scheduler.maintenance,
                    self._hosts,
                    self.append_records,
                    self._owner.entry,
                    self.epoch,
                    self._metrics.barrier,
                )
                nursery.start_soon(controller.run)
                nursery.start_soon(self._remove_gone_workers, self._hosts)
            await self.ended.wait()
            nursery.cancel_scope.cancel()

    async def resign(self) -> None:
        """End the term, and append the record of the resignation."""
        self.ended.set()
        try:
            with trio.move_on_after(_LAST_EVIDENCE_TIMEOUT_S):
                await self._evidence.flush()
            with trio.move_on_after(_RESIGN_TIMEOUT_S):
                owner = self._make_renewal(RESIGNED_RENEWAL)
                await self._producer.append([job_records.encode_owner(owner)])
        except errors.KingcupleverError as error:
            text = f"The resignation could not be appended: {error.detail}"
            logs.warn(logs.Component.OWNER, text)

    def get_append_failure(self, now: float) -> tuple[float, int]:
        """Return how long, in seconds, and how often an append has failed."""
        since = self._producer.failing_since
        failing_s = 0.0 if since is None else now - since
        return failing_s, self._producer.failed_tries

    async def append_records(
        self, records: Sequence[keyed_log.KeyedRecord]
    ) -> int:
        """Append records with the scheduler's next batch.

        :return: the offset after the batch.
        :raises errors.LogUnavailable: the term is over; the records may or
            may not be on the log.
        :raises errors.InvalidRequest: the log never takes them.
        """
        excess = self._producer.limits.explain_excess(records)
        if excess:
            raise errors.InvalidRequest(excess)
        pending = _PendingAppend(tuple(records))
        self._pending.append(pending)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when, self.ended, nursery)
            await pending.done.wait()
            nursery.cancel_scope.cancel()
        if pending.end < 0:
            raise errors.LogUnavailable(
                "Another entry is the owner now; check whether the change was"
                " made."
            )
        return pending.end

    def on_job_changed(self, name: str, job: job_table.StoredJob) -> None:
        """Apply a submission or cancellation read from the log."""
        now = trio.current_time()
        self.scheduler.on_job_changed(name, job, now, clock.wall_ms())
        self.wake()

    def set_evacuations(self, view: evacuations.Evacuations) -> None:
        """Apply newer evacuations, and announce them to the sides."""
        self.scheduler.set_evacuations(view)
        self._new_evacuations.set()
        self._new_evacuations = trio.Event()
        self.wake()

    def apply_report(self, status: fleet.WorkerStatus) -> None:
        """Apply a worker's status."""
        now = trio.current_time()
        self.scheduler.apply_report(status, now, clock.wall_ms())
        worker = self.scheduler.workers.get(status.worker)
        if (
            worker is not None
            and status.orders is not None
            and status.orders != worker.orders_number
            and worker.name not in self._sending
            and now - worker.orders_sent_at > _RESEND_PERIOD_S
        ):
            # Its side has restarted, or its orders have become void.
            worker.orders_changed = True
        self.wake()

    def make_reply(self, worker: str) -> messages.WorkerReply:
        """Make the reply to a report, which permits starts and renewals.

        Without the log, the age of the permission grows as soon as an outage
        may be longer than a successor expects.  While the log may hold a
        silence of the worker, from which a successor counts, there is none.
        """
        age_s = self._producer.confirmed_at.elapsed_s()
        excess_s = max(0.0, age_s - self.scheduler.timing.log_outage_s)
        age_ms = int(min(excess_s * 1000, _MAX_AGE_MS))
        if self.scheduler.is_silence_recorded(worker):
            age_ms = _MAX_AGE_MS
        is_recorded = self.scheduler.is_end_recorded(worker)
        return messages.WorkerReply(self.epoch, age_ms, is_recorded)

    def wake(self) -> None:
        """Run the scheduler without waiting for the next tick."""
        self._wakeup.set()

    async def _announce(self) -> None:
        """Announce the owner and evacuations to sides, on a quiet topic."""
        producer = log_producer.Producer(
            self._log, owner_announcements.TOPIC, PRODUCER_NAME, self.epoch
        )
        records = [owner_announcements.make_announcement(self._owner)]
        try:
            while True:
                changed = self._new_evacuations
                view = self.scheduler.evacuation_view
                records.append(owner_announcements.encode_evacuations(view))
                await producer.append(records, retry_refused=True)
                records = []
                await changed.wait()
        except errors.LogFenced as error:
            logs.warn(
                logs.Component.OWNER, f"Announcement failed: {error.detail}"
            )
            self.ended.set()

    async def _run_scheduler(self, nursery: trio.Nursery) -> None:
        """Run the scheduler on every wake-up and tick, and send its orders."""
        while True:
            newest = self._table.owner
            if newest is not None and newest.epoch > self.epoch:
                self.ended.set()
                return
            with self._metrics.decision_seconds.time():
                self.scheduler.tick(trio.current_time(), clock.wall_ms())
            with self._metrics.barrier.contain("metrics", "the owner"):
                self._update_metrics()
            for contained in self.scheduler.take_contained_errors():
                self._metrics.record_contained(contained)
            for line in self.scheduler.take_log_lines():
                logs.info(line.component, line.text)
            self._send_orders(nursery)
            with trio.move_on_after(_TICK_PERIOD_S):
                await self._wakeup.wait()
                self._wakeup = trio.Event()

    def _update_metrics(self) -> None:
        """Set the metrics, and log a summary once per period."""
        scheduler = self.scheduler
        self._metrics.jobs.set(len(scheduler.jobs))
        self._metrics.workers.set(len(scheduler.workers))
        for cause, core_s in scheduler.lost_work.items():
            self._metrics.lost_work.labels(cause).set(core_s)
        for verdict, count in scheduler.crash_counts.items():
            self._metrics.worker_crashes.labels(verdict).set(count)
        speeds = scheduler.host_speeds
        self._metrics.host_comparisons.set(speeds.comparisons)
        self._metrics.differing_hosts.set(speeds.differing_count)
        pairs = scheduler.interference.known_count
        self._metrics.disturbing_pairs.set(pairs)
        now = trio.current_time()
        if now - self._summary_at < _SUMMARY_PERIOD_S:
            return
        self._summary_at = now
        shares = fragmentation.compute_shares(scheduler.workers.values())
        for (data_centre, gpus), share in shares.items():
            self._metrics.fragmentation.labels(data_centre, str(gpus)).set(
                share
            )
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
            sent_s = trio.current_time() - worker.orders_sent_at
            if (
                len(worker.pending_starts) > _MANY_STARTS
                and sent_s < _LONG_ORDERS_PERIOD_S
            ):
                continue
            if not (
                worker.is_connected and self._links.is_linked(worker.side)
            ):
                continue
            worker.orders_changed = False
            self._order_number += 1
            worker.orders_number = self._order_number
            worker.orders_sent_at = trio.current_time()
            with self._metrics.barrier.contain("orders", worker.name):
                orders = worker_orders.make_orders(
                    worker,
                    self.epoch,
                    self._order_number,
                    self.scheduler.evacuation_view,
                )
                self._sending.add(worker.name)
                nursery.start_soon(self._send, worker, orders)

    async def _send(
        self,
        worker: fleet.Worker,
        orders: messages.WorkerOrders,
    ) -> None:
        try:
            with self._metrics.barrier.contain("orders", worker.name):
                await self._send_once(worker, orders)
        finally:
            self._sending.discard(worker.name)
        self.wake()

    async def _send_once(
        self,
        worker: fleet.Worker,
        orders: messages.WorkerOrders,
    ) -> None:
        try:
            await self._links.send(worker.side, orders)
        except errors.KingcupleverError as error:
            # Sent again with the next tick, or once the side reports again.
            worker.orders_changed = True
            text = f"Orders to {worker.name} failed: {error.detail}"
            logs.warn(logs.Component.TASK, text)
            if error.code is errors.Code.FENCED:
                self.ended.set()
            await trio.sleep(_RETRY_S)

    async def _remove_gone_workers(
        self, hosts: maintenance_controller.HostService
    ) -> None:
        """Look for silent workers on the platform's list of hosts."""
        absent = absent_workers.AbsentWorkers()
        while True:
            await trio.sleep(_SILENCE_CHECK_PERIOD_S)
            silent = self.scheduler.list_silent_workers(trio.current_time())
            if not silent:
                continue
            with self._metrics.barrier.contain("silent workers", "all"):
                try:
                    listed = await hosts.list_hosts()
                except errors.PlatformFailed as error:
                    text = f"No list of hosts: {error.detail}"
                    logs.warn(logs.Component.MEMBER, text)
                    continue
                now = trio.current_time()
                for name in absent.find_gone(silent, listed, now):
                    self.scheduler.remove_gone_worker(name, now)
                    self.wake()

    async def _query_adviser(self) -> None:
        """Ask the platform which workers may run a step, one by one."""
        if self._adviser is None:
            return
        while True:
            request = self.scheduler.next_advice_request()
            if request is None:
                await trio.sleep(_TICK_PERIOD_S)
                continue
            reply = None
            with self._metrics.barrier.contain("advice", request.step):
                reply = await self._ask_adviser(self._adviser, request)
            if reply is None:
                await trio.sleep(_RETRY_S)
            self.scheduler.apply_advice(request, reply, trio.current_time())
            self.wake()

    async def _ask_adviser(
        self, adviser: advisers.Adviser, request: advice.AdviceRequest
    ) -> advice.AdviceReply | None:
        """Send one request to the adviser; return None if it failed."""
        try:
            reply = await adviser.ask(request)
        except errors.PlatformFailed as error:
            text = f"No advice on {request.step}: {error.detail}"
            logs.warn(logs.Component.PLACE, text)
            return None
        text = (
            f"{len(reply.tickets)} of {len(request.workers)} workers"
            f" may run {request.step} for {reply.valid_s:.1f} s."
        )
        logs.info(logs.Component.PLACE, text)
        return reply

    async def _run_appends(self) -> None:
        """Append records and renewals, one batch at a time."""
        while True:
            limits = self._producer.limits
            batch = self.scheduler.take_record_batch(limits.record_bytes)
            pending, self._pending = self._pending, []
            self._collect_evidence()
            groups = [] if batch is None else _group_by_job(batch.records)
            groups += [item.records for item in pending]
            idle_s = trio.current_time() - self._appended_at
            if groups and self._evidence.head != self._renewed_head:
                groups.append(self._make_renewal_records())
            elif not groups and idle_s > _RENEWAL_PERIOD_S:
                groups = [self._make_renewal_records()]
            if not groups:
                await trio.sleep(_TICK_PERIOD_S / 2)
                continue
            for records in keyed_log.split_records(groups, limits.call_bytes):
                end = await self._append(records)
            if batch is not None:
                self.scheduler.confirm_commit(batch.number)
            for item in pending:
                item.end = end
                item.done.set()
            self.wake()

    def _collect_evidence(self) -> None:
        """Pass the scheduler's new evidence to the metrics and the writer."""
        rows = self.scheduler.take_evidence()
        for row in rows:
            self._metrics.count_decision(row)
        self._evidence.add_rows(rows)

    def _make_renewal(self, renewal: int = 0) -> job_records.Owner:
        """Make the next renewal, with the newest head of the evidence.

        :param renewal: number of the renewal; 0 for the next one.
        """
        self._renewal += 1
        self._renewed_head = self._evidence.head
        evidence = self._owner.evidence
        if self._renewed_head != evidence_records.EMPTY_HEAD:
            evidence = str(self._renewed_head)
        return self._owner._replace(
            renewal=renewal or self._renewal, evidence=evidence
        )

    def _make_renewal_records(self) -> tuple[keyed_log.KeyedRecord, ...]:
        return (job_records.encode_owner(self._make_renewal()),)

    async def _append(self, records: Sequence[keyed_log.KeyedRecord]) -> int:
        """Append, retrying until it succeeds or the term is fenced.

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


def _group_by_job(
    records: Sequence[keyed_log.KeyedRecord],
) -> list[tuple[keyed_log.KeyedRecord, ...]]:
    """Group the records of each job, which belong into one append.

    Other records stand alone.
    """
    return [
        tuple(group)
        for _, group in itertools.groupby(
            records,
            lambda record: job_records.parse_job_name(record.key)
            or record.key,
        )
    ]


async def _cancel_when(event: trio.Event, nursery: trio.Nursery) -> None:
    await event.wait()
    nursery.cancel_scope.cancel()
