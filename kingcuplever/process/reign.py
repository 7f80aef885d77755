"""One entry's time as owner of one epoch: it decides, appends and orders.

What the scheduler wants kept is appended first, in batches; what it wants
done leaves after that.  The reign ends when a newer epoch is seen.
"""

import time
from typing import Final

import trio

from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process import advisers
from kingcuplever.process import job_metrics
from kingcuplever.process import owner_link
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import scheduler as schedulers
from kingcuplever.process import side_links
from kingcuplever.process.stored import job_board
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import producing

PRODUCER: Final = "owner"
# Number of the renewal by which an owner says that it decides no more.
RESIGNED: Final = -1

_TICK_S: Final = 0.05
# The owner appends at least so often, so that others see it live.
_RENEW_S: Final = 0.7
_RETRY_S: Final = 0.1
# The owner sums its state up in one line so often.
_SUMMARY_S: Final = 10.0
# How long a resignation may take; without it the others notice the silence.
_RESIGN_S: Final = 1.0


class Reign:
    """All that lives as long as this entry owns one epoch.

    :ivar scheduler: what it decides with.
    :ivar lost: set once the epoch is over.
    """

    def __init__(
        self,
        owner: job_records.Owner,
        producer: producing.Producer,
        scheduler: schedulers.Scheduler,
        log: keyed_log.KeyedLog,
        board: job_board.JobBoard,
        links: side_links.SideLinks,
        adviser: advisers.Adviser,
        metrics: job_metrics.JobMetrics,
    ) -> None:
        """Begin, with a claim that the log has taken.

        :param owner: the claim.
        :param producer: the one that made it.
        """
        self.epoch = owner.epoch
        self.scheduler = scheduler
        self.lost = trio.Event()
        self._owner = owner
        self._producer = producer
        self._log = log
        self._board = board
        self._links = links
        self._adviser = adviser
        self._metrics = metrics
        self._renewal = 0
        self._summed_up_at = trio.current_time()
        self._appended_at = trio.current_time()
        self._order_number = 0
        self._sending: set[str] = set()
        self._news = trio.Event()

    async def run(self) -> None:
        """Decide until the epoch is over."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._announce)
            nursery.start_soon(self._step_all, nursery)
            nursery.start_soon(self._append_all)
            nursery.start_soon(self._ask_all)
            await self.lost.wait()
            nursery.cancel_scope.cancel()

    async def resign(self) -> None:
        """Say on the log that nobody decides in this epoch any more."""
        self.lost.set()
        record = job_records.owner(self._owner._replace(renewal=RESIGNED))
        try:
            with trio.move_on_after(_RESIGN_S):
                await self._producer.append([record])
        except errors.KingcupleverError as error:
            text = f"The resignation is not on the log: {error.detail}"
            logs.warn(logs.Part.OWNER, text)

    def job_changed(self, name: str, job: job_board.StoredJob) -> None:
        """Follow what callers did."""
        now = trio.current_time()
        self.scheduler.job_changed(name, job, now, wall_ms())
        self.wake()

    def report(self, listing: fleet.Listing) -> int:
        """Take in a side's report; give the epoch."""
        self.scheduler.report(listing, trio.current_time(), wall_ms())
        self.wake()
        return self.epoch

    def wake(self) -> None:
        """Have the loop look at once."""
        self._news.set()

    async def _announce(self) -> None:
        """Tell sides who owns, on a topic of its own."""
        producer = producing.Producer(
            self._log, owner_link.TOPIC, PRODUCER, self.epoch
        )
        while True:
            try:
                await producer.append([owner_link.announcement(self._owner)])
                return
            except errors.LogRefused:
                await trio.sleep(_RETRY_S)
            except errors.LogFenced:
                self.lost.set()
                return

    async def _step_all(self, nursery: trio.Nursery) -> None:
        """Drive the scheduler by news and time."""
        while True:
            present = self._board.owner
            if present is not None and present.epoch > self.epoch:
                self.lost.set()
                return
            with self._metrics.decision_seconds.time():
                self.scheduler.tick(trio.current_time(), wall_ms())
            self._show()
            for line in self.scheduler.take_said():
                logs.info(line.part, line.text)
            self._send_orders(nursery)
            with trio.move_on_after(_TICK_S):
                await self._news.wait()
                self._news = trio.Event()

    def _show(self) -> None:
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
        lost = {
            cause: round(core_s)
            for cause, core_s in scheduler.lost_work.items()
        }
        text = (
            f"Epoch {self.epoch}: {len(scheduler.jobs)} jobs,"
            f" {len(scheduler.workers)} workers; core-seconds lost: {lost}."
        )
        logs.info(logs.Part.OWNER, text)

    def _send_orders(self, nursery: trio.Nursery) -> None:
        for worker in self.scheduler.workers.values():
            if not worker.orders_changed or worker.name in self._sending:
                continue
            if not (worker.linked and self._links.is_linked(worker.side)):
                continue
            worker.orders_changed = False
            self._order_number += 1
            self._sending.add(worker.name)
            orders = messages.WorkerOrders(
                self.epoch,
                self._order_number,
                worker.name,
                tuple(messages.StartRow(*o) for o in worker.starts.values()),
                tuple(messages.StopRow(*run) for run in sorted(worker.stops)),
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
            logs.warn(logs.Part.TASK, text)
            if error.code is errors.Code.FENCED:
                self.lost.set()
            await trio.sleep(_RETRY_S)
        finally:
            self._sending.discard(worker.name)
        self.wake()

    async def _ask_all(self) -> None:
        """Ask the queues' policy, one question at a time."""
        while True:
            question = self.scheduler.next_question()
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
            self.scheduler.advised(question, answer, trio.current_time())
            self.wake()

    async def _append_all(self) -> None:
        """Append what must last, one batch at a time."""
        while True:
            changes = self.scheduler.take_changes()
            if changes is not None:
                await self._append(changes.records)
                self.scheduler.committed(changes.number)
                self.wake()
                continue
            if trio.current_time() - self._appended_at > _RENEW_S:
                self._renewal += 1
                owner = self._owner._replace(renewal=self._renewal)
                await self._append((job_records.owner(owner),))
            await trio.sleep(_TICK_S / 2)

    async def _append(
        self, records: tuple[keyed_log.KeyedRecord, ...]
    ) -> None:
        """Append until the log has it, or the epoch is lost."""
        refused = False
        while True:
            try:
                began_at = trio.current_time()
                await self._producer.append(records)
                self._appended_at = trio.current_time()
                seconds = self._appended_at - began_at
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
                self.lost.set()
                await trio.sleep_forever()


def wall_ms() -> int:
    """Give the time of day."""
    return time.time_ns() // 1_000_000
