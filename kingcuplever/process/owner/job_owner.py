"""Elects the entry that schedules a pool; every entry takes part.

One entry at a time is the owner.  An entry becomes owner by a conditional
append to the jobs topic: a record with the next epoch, at the end offset that
the entry has read.  So it has read every record of the previous owner, whose
further appends the log rejects (fencing).
"""

from collections.abc import Callable
import random
from typing import Final

import trio

from kingcuplever import clock
from kingcuplever.connection import admission
from kingcuplever.connection import connection_table
from kingcuplever.connection import frame_reader
from kingcuplever.connection import keyed_log
from kingcuplever.connection import listener
from kingcuplever.connection import peer as peers
from kingcuplever import containment
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process import advisers
from kingcuplever.process import entry_links
from kingcuplever.process import job_metrics
from kingcuplever.process.owner import failure_detector
from kingcuplever.process.owner import maintenance_controller
from kingcuplever.process.owner import owner_prober
from kingcuplever.process.owner import owner_term
from kingcuplever.process.owner import side_links
from kingcuplever.process.scheduling import evacuations
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import maintenance_rounds
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import scheduler as schedulers
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import intent_table
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
from kingcuplever.process.stored import log_producer
from kingcuplever.process.stored import topic_follower

# Pause after a read that returned records.  The owner must see new jobs at
# once.  The states that other entries show may be this old, which saves calls
# to the log.
OWNER_READ_INTERVAL_S: Final = 0.06
FOLLOWER_READ_INTERVAL_S: Final = 0.25
_RETRY_S: Final = 0.1
# Pause after a term that has ended by an error, so that others claim first.
_FAILED_TERM_PAUSE_S: Final = 2.0
# Timeout of the read that shows whether a claim took effect.
_CLAIM_CHECK_TIMEOUT_S: Final = 1.0
# Timeout of an extra read of the log while probes show a problem of the owner;
# the follower's long poll may return much later.
_LOG_CHECK_TIMEOUT_S: Final = 0.4
# Pause between such reads, as an entry may be unreachable for a long time.
_LOG_CHECK_PERIOD_S: Final = 0.2


class JobOwner:
    """Takes part in the election, and runs the owner's term while it lasts."""

    def __init__(
        self,
        name: str,
        address: str,
        election_weight: float,
        log: keyed_log.KeyedLog,
        follower: topic_follower.Follower,
        table: job_table.JobTable,
        timing: schedulers.Timing,
        metrics: job_metrics.JobMetrics,
        adviser: advisers.Adviser | None = None,
        hosts: maintenance_controller.HostService | None = None,
        intents_callback: (
            Callable[[intent_table.IntentTable], None] | None
        ) = None,
        links: entry_links.EntryLinks | None = None,
        serve: peers.Handler = peers.reject_requests,
    ) -> None:
        """Create a member of the election that has claimed nothing yet.

        :param address: address for sides and entries, ``host:port``.
        :param election_weight: 0 to 1; a higher weight claims earlier.
        :param intents_callback: called when the operators' state has changed.
        :param links: connections between entries, if the caller shares them.
        :param serve: handles requests that other entries relay.
        """
        self._intents_callback = intents_callback
        self._name = name
        self._address = address
        self._election_weight = election_weight
        self._log = log
        self._follower = follower
        self._table = table
        self._timing = timing
        self._metrics = metrics
        self._adviser = adviser
        self._hosts = hosts
        self._round_orders: dict[int, maintenance_rounds.RoundOrder] = {}
        self._policy = model.Policy(0, {}, {})
        self._evacuations = evacuations.NONE_KNOWN
        self._links = side_links.SideLinks(
            self._make_reply, self._apply_report, self._on_side_lost
        )
        self._term: owner_term.OwnerTerm | None = None
        self._resigned = False
        self._claimed_epoch = -1
        self._entry_links = links or entry_links.EntryLinks()
        self._serve = serve
        self._prober = owner_prober.OwnerProber(
            name, table, self._entry_links, serve
        )
        table.listener = self

    @property
    def term(self) -> owner_term.OwnerTerm | None:
        """The current term, if this entry is the owner."""
        return self._term

    @property
    def links(self) -> side_links.SideLinks:
        """Connections from sides to this entry."""
        return self._links

    def set_policy(self, policy: model.Policy) -> None:
        """Apply a new version of the scheduling policy."""
        self._policy = policy
        if self._term is not None:
            self._term.scheduler.set_policy(policy)
            self._term.wake()

    def set_evacuations(self, view: evacuations.Evacuations) -> None:
        """Apply newer evacuations of data centres; ignore older ones."""
        if not view.is_newer_than(self._evacuations):
            return
        self._evacuations = view
        if self._term is not None:
            self._term.set_evacuations(view)

    def order_maintenance(self, order: maintenance_rounds.RoundOrder) -> None:
        """Apply an operator's order of a maintenance round."""
        self._round_orders[order.number] = order
        if self._term is not None:
            self._term.scheduler.maintenance.apply_order(order)

    def on_job_changed(self, name: str, job: job_table.StoredJob) -> None:
        """Apply a submission or cancellation read from the log."""
        if self._term is not None:
            self._term.on_job_changed(name, job)

    def on_intents_changed(self) -> None:
        """Pass on the operators' state after a change."""
        if self._intents_callback is not None:
            self._intents_callback(self._table.intents)

    async def listen(self, admitted_by: admission.Admission) -> None:
        """Serve sides and other entries until cancelled.

        :param admitted_by: limits of the listener.
        """

        async def handle_message(
            peer: peers.PeerConnection, message: messages.Message
        ) -> messages.Message:
            if isinstance(message, messages.WorkerReport):
                return await self._links.handle_report(peer, message)
            if isinstance(message, messages.OwnerProbe):
                return self.answer_probe(peer, message)
            return await self._serve(peer, message)

        async def serve_connection(
            stream: trio.SocketStream, place: connection_table.Connection
        ) -> None:
            link = frame_reader.Link(place, admitted_by)
            peer = peers.PeerConnection(stream, handle_message, link)
            try:
                await peer.run()
            except* errors.KingcupleverError as group:
                text = f"A peer connection failed: {group.exceptions[0]}"
                logs.warn(logs.Component.MEMBER, text)
            finally:
                self.on_connection_lost(peer)

        async with (
            trio.open_nursery() as nursery,
            listener.listen(
                self._address, admitted_by, serve_connection, nursery
            ),
        ):
            await trio.sleep_forever()

    def answer_probe(
        self, peer: peers.PeerConnection, probe: messages.OwnerProbe
    ) -> messages.OwnerStatus:
        """Reply to another entry's probe of the ownership."""
        term = self._term
        failing_s, tries = 0.0, 0
        if term is not None:
            failing_s, tries = term.get_append_failure(trio.current_time())
        # Other entries may read a claim before its append is acknowledged.
        owns = probe.epoch == self._claimed_epoch or (
            term is not None and term.epoch == probe.epoch
        )
        self._entry_links.record_prober(peer)
        return owner_prober.make_status(
            self._entry_links, owns, failing_s, tries
        )

    def on_connection_lost(self, peer: peers.PeerConnection) -> None:
        """Remove an ended connection to this entry."""
        self._links.remove_link(peer)
        self._entry_links.remove_link(peer)

    async def run(self) -> None:
        """Take part in the election until cancelled or resigned."""
        async with trio.open_nursery() as nursery:
            barrier = self._metrics.barrier
            nursery.start_soon(
                containment.keep_running, self._prober.run, "prober", barrier
            )
            while not self._resigned:
                with barrier.contain("term", self._name) as attempt:
                    await self._claim_and_run_term()
                if attempt.has_failed:
                    await trio.sleep(_FAILED_TERM_PAUSE_S)
            nursery.cancel_scope.cancel()

    async def _claim_and_run_term(self) -> None:
        """Wait until this entry may claim; run the term if it succeeds."""
        detector = await self._wait_until_claimable()
        term = await self._claim()
        if term is None:
            return
        self._record_takeover(term.epoch, detector)
        try:
            await self._run_term(term)
        except Exception:
            # Another entry may do better, and need not wait for the silence.
            await term.resign()
            raise

    async def resign(self) -> None:
        """Leave the election; a term ends with a record of resignation.

        Another entry can claim at once then.
        """
        self._resigned = True
        if self._term is not None:
            await self._term.resign()

    async def _wait_until_claimable(
        self,
    ) -> failure_detector.OwnerFailureDetector:
        """Return once the owner has failed and this entry may claim.

        :return: the detector, which knows the time of the owner's last
            record.
        """
        detector = failure_detector.OwnerFailureDetector(
            self._election_weight, random.random()
        )
        next_check_at = 0.0
        while True:
            await trio.sleep(_RETRY_S)
            owner = self._table.owner
            log_status = failure_detector.LogStatus(
                self._table.owner_record_count,
                self._follower.last_read_at,
                owner is None or owner.renewal == owner_term.RESIGNED_RENEWAL,
                owner is not None and owner.entry == self._name,
            )
            now = trio.current_time()
            probe = self._prober.get_result(now)
            may_claim = detector.may_claim(log_status, probe, now)
            if may_claim and self._policy.version and not self._resigned:
                return detector
            is_suspected = (
                probe.outcome is not failure_detector.ProbeOutcome.OWNS
            )
            if (
                is_suspected
                and not log_status.is_vacant
                and now >= next_check_at
            ):
                await self._check_log()
                next_check_at = trio.current_time() + _LOG_CHECK_PERIOD_S

    async def _check_log(self) -> None:
        """Read the log at once, besides the follower's long poll."""
        try:
            await self._follower.refresh(_LOG_CHECK_TIMEOUT_S)
        except errors.LogUnavailable as error:
            # The follower logs it; nothing is claimed without a recent read.
            logs.debug(
                logs.Component.OWNER, f"Log check failed: {error.detail}"
            )

    def _record_takeover(
        self, epoch: int, detector: failure_detector.OwnerFailureDetector
    ) -> None:
        """Record how long the pool had no owner."""
        if epoch == 1:
            return
        seconds = detector.silence_s(trio.current_time())
        self._metrics.ownerless_seconds.observe(seconds)
        text = (
            f"Epoch {epoch} follows {seconds:.2f} s after the last record of"
            " an owner."
        )
        logs.info(logs.Component.OWNER, text)

    async def _claim(self) -> owner_term.OwnerTerm | None:
        """Try to become the owner; return the new term if it succeeds."""
        current = self._table.owner
        epoch = 1 if current is None else current.epoch + 1
        producer = log_producer.Producer(
            self._log, job_records.TOPIC, owner_term.PRODUCER_NAME, epoch
        )
        evidence = "" if current is None else current.evidence
        record = job_records.Owner(
            epoch, self._name, self._address, 0, evidence
        )
        # The claim takes effect only if nothing was appended since this read.
        permitted_until = self._table.owner_recorded_at
        self._claimed_epoch = epoch
        try:
            if not await self._append_claim(producer, record):
                return None
        finally:
            self._claimed_epoch = -1
        return self._start_term(record, producer, permitted_until)

    async def _append_claim(
        self, producer: log_producer.Producer, record: job_records.Owner
    ) -> bool:
        """Append a claim at the end offset; return whether it took effect."""
        offset = self._follower.offset
        epoch = record.epoch
        text = f"Claiming epoch {epoch} at offset {offset}."
        logs.info(logs.Component.OWNER, text)
        while True:
            try:
                await producer.try_append(
                    [job_records.encode_owner(record)], offset
                )
                break
            except (errors.LogConflict, errors.LogFenced) as error:
                # An earlier try may have taken effect without an answer.
                if await self._is_claim_on_log(record):
                    producer.mark_appended()
                    break
                logs.info(logs.Component.OWNER, f"Not claimed: {error.detail}")
                return False
            except errors.LogRefused as error:
                logs.info(logs.Component.OWNER, f"Not claimed: {error.detail}")
                return False
            except errors.LogUnavailable as error:
                logs.warn(
                    logs.Component.OWNER, f"Claim in doubt: {error.detail}"
                )
                await trio.sleep(_RETRY_S)
        logs.info(logs.Component.OWNER, f"Owner of epoch {epoch} at {offset}.")
        return True

    def _start_term(
        self,
        owner: job_records.Owner,
        producer: log_producer.Producer,
        permitted_until: float,
    ) -> owner_term.OwnerTerm:
        """Create the term, with a scheduler restored from the jobs table.

        :param permitted_until: monotonic time after which no former owner
            has permitted a side to act.
        """
        scheduler = schedulers.Scheduler(self._timing)
        scheduler.set_policy(self._policy)
        scheduler.set_evacuations(self._evacuations)
        scheduler.restore(
            self._table,
            trio.current_time(),
            clock.wall_ms(),
            permitted_until,
        )
        for order in self._round_orders.values():
            scheduler.maintenance.apply_order(order)
        for plan in self._table.intents.plans.values():
            # The previous owner may have failed before it wrote the evidence
            # of its newest decisions.
            if plan.decision == "accepted":
                scheduler.record_evidence(
                    evidence_records.make_plan_accepted(plan)
                )
        return owner_term.OwnerTerm(
            owner,
            producer,
            scheduler,
            self._log,
            self._table,
            self._links,
            self._adviser,
            self._hosts,
            self._metrics,
        )

    async def _is_claim_on_log(self, record: job_records.Owner) -> bool:
        """Read the log; return whether a claim of this entry is the newest."""
        try:
            await self._follower.refresh(_CLAIM_CHECK_TIMEOUT_S)
        except errors.LogUnavailable:
            return False
        return self._table.owner == record

    async def _run_term(self, term: owner_term.OwnerTerm) -> None:
        """Run a term until it ends, and close the sides' connections."""
        self._term = term
        self._metrics.owning.set(1)
        self._metrics.epoch.set(term.epoch)
        self._follower.read_interval_s = OWNER_READ_INTERVAL_S
        self._follower.skip_pause()
        try:
            await term.run()
        finally:
            self._term = None
            self._metrics.owning.set(0)
            self._follower.read_interval_s = FOLLOWER_READ_INTERVAL_S
            logs.warn(logs.Component.OWNER, f"Epoch {term.epoch} is lost.")
            await self._links.close_all()

    def _get_term(self) -> owner_term.OwnerTerm:
        """Return the current term.

        :raises errors.KingcupleverError: ``FENCED`` if this entry does not
            own.
        """
        if self._term is None:
            raise errors.KingcupleverError(
                f"Entry {self._name} is not the owner.", errors.Code.FENCED
            )
        return self._term

    def _make_reply(
        self, report: messages.WorkerReport
    ) -> messages.WorkerReply:
        """Make the current term's reply to a report."""
        return self._get_term().make_reply(report.worker)

    def _apply_report(self, status: fleet.WorkerStatus) -> None:
        """Apply a worker's status in the current term."""
        self._get_term().apply_report(status)

    def _on_side_lost(self, side: str) -> None:
        if self._term is not None:
            self._term.scheduler.mark_side_disconnected(side)
