"""Takes part in the ownership of a pool's scheduling, as every entry does.

One entry at a time decides.  It claims a higher epoch on the topic of the
jobs, at the very end that it has read, so that it has seen all that the
owner before it wrote and that one can write no more.
"""

from collections.abc import Callable
import random
from typing import Final

import trio

from kingcuplever import clock
from kingcuplever.connection import keyed_log
from kingcuplever.connection import peer as peers
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import options
from kingcuplever.process import advisers
from kingcuplever.process import entry_links
from kingcuplever.process import job_metrics
from kingcuplever.process.owner import failure_detector
from kingcuplever.process.owner import maintenance_controller
from kingcuplever.process.owner import owner_prober
from kingcuplever.process.owner import owner_term as reigns
from kingcuplever.process.owner import side_links
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

# Pause between reads that gave records: the owner is who must hear of a new
# job at once; the others show states that may be this old, at the price of
# one call to the log a pause.
OWNER_READ_INTERVAL_S: Final = 0.06
FOLLOWER_READ_INTERVAL_S: Final = 0.25
_RETRY_S: Final = 0.1
# How long one look at what became of a claim may take.
_LOOK_S: Final = 1.0
# How long one look at the log may take while the owner's entry says nothing
# good; the running poll would tell of the same only at its end.
_CHECK_S: Final = 0.4
# Pause between such looks; an owner's entry may be out of reach for long.
_CHECK_PERIOD_S: Final = 0.2


class JobOwner:
    """Takes part in the ownership, and decides while it owns."""

    def __init__(
        self,
        name: str,
        address: str,
        election_weight: float,
        log: keyed_log.KeyedLog,
        follower: topic_follower.Follower,
        board: job_table.JobTable,
        timing: schedulers.Timing,
        metrics: job_metrics.JobMetrics,
        adviser: advisers.Adviser | None = None,
        hosts: maintenance_controller.HostService | None = None,
        use_intents: Callable[[intent_table.IntentTable], None] | None = None,
        links: entry_links.EntryLinks | None = None,
        serve: peers.Handler = peers.reject_requests,
    ) -> None:
        """Follow; nothing is claimed yet.

        :param address: where sides reach this process, ``host:port``.
        :param strength: 0 to 1; a stronger host claims earlier.
        :param use_intents: hears of what operators stated, where they do.
        :param links: between entries, where others use them as well.
        :param serve: serves what other entries ask for their callers.
        """
        self._use_intents = use_intents
        self._name = name
        self._address = address
        self._strength = election_weight
        self._log = log
        self._follower = follower
        self._board = board
        self._timing = timing
        self._metrics = metrics
        self._adviser = adviser
        self._hosts = hosts
        self._orders: dict[int, maintenance_rounds.RoundOrder] = {}
        self._policy = model.Policy(0, {}, {})
        self._links = side_links.SideLinks(
            self._apply_report, self._on_side_lost
        )
        self._term: reigns.OwnerTerm | None = None
        self._resigned = False
        self._claiming = -1
        self._entries = links or entry_links.EntryLinks()
        self._serve = serve
        self._prober = owner_prober.OwnerProber(
            name, board, self._entries, serve
        )
        board.listener = self

    @property
    def term(self) -> reigns.OwnerTerm | None:
        """This entry's time as owner, while it is one."""
        return self._term

    @property
    def links(self) -> side_links.SideLinks:
        """The links that sides keep to this entry as owner."""
        return self._links

    def set_policy(self, policy: model.Policy) -> None:
        """Use a new version of the configuration."""
        self._policy = policy
        if self._term is not None:
            self._term.scheduler.set_policy(policy)
            self._term.wake()

    def order_maintenance(self, order: maintenance_rounds.RoundOrder) -> None:
        """Follow an operator's round of maintenance."""
        self._orders[order.number] = order
        if self._term is not None:
            self._term.scheduler.maintenance.apply_order(order)

    def on_job_changed(self, name: str, job: job_table.StoredJob) -> None:
        """Follow what callers did."""
        if self._term is not None:
            self._term.on_job_changed(name, job)

    def on_intents_changed(self) -> None:
        """Follow what operators stated."""
        if self._use_intents is not None:
            self._use_intents(self._board.intents)

    async def listen(self) -> None:
        """Serve sides and other entries until cancelled."""
        host, port = options.split_address(self._address)

        async def answer(
            peer: peers.PeerConnection, message: messages.Message
        ) -> messages.Message:
            if isinstance(message, messages.WorkerReport):
                return await self._links.handle_report(peer, message)
            if isinstance(message, messages.OwnerProbe):
                return self.answer_probe(peer, message)
            return await self._serve(peer, message)

        async def serve(stream: trio.SocketStream) -> None:
            peer = peers.PeerConnection(stream, answer)
            try:
                await peer.run()
            except* errors.KingcupleverError as group:
                text = f"A link broke: {group.exceptions[0]}"
                logs.warn(logs.Component.MEMBER, text)
            finally:
                self.on_connection_lost(peer)

        await trio.serve_tcp(serve, port, host=host)

    def answer_probe(
        self, peer: peers.PeerConnection, probe: messages.OwnerProbe
    ) -> messages.OwnerStatus:
        """Tell another entry how this one's ownership is."""
        reign = self._term
        failing_s, tries = 0.0, 0
        if reign is not None:
            failing_s, tries = reign.get_append_failure(trio.current_time())
        # The log may show a claim before its answer has come here.
        owns = probe.epoch == self._claiming or (
            reign is not None and reign.epoch == probe.epoch
        )
        self._entries.record_prober(peer)
        return owner_prober.make_status(self._entries, owns, failing_s, tries)

    def on_connection_lost(self, peer: peers.PeerConnection) -> None:
        """A connection to this entry has ended."""
        self._links.remove_link(peer)
        self._entries.remove_link(peer)

    async def run(self) -> None:
        """Watch, claim and decide until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._prober.run)
            while not self._resigned:
                watch = await self._wait_until_claimable()
                reign = await self._claim()
                if reign is not None:
                    self._record_takeover(reign.epoch, watch)
                    await self._run_term(reign)
            nursery.cancel_scope.cancel()

    async def resign(self) -> None:
        """Own nothing any more; another entry need not wait to claim."""
        self._resigned = True
        if self._term is not None:
            await self._term.resign()

    async def _wait_until_claimable(
        self,
    ) -> failure_detector.OwnerFailureDetector:
        """Return once no owner has been heard for long enough.

        :return: what was heard of the owner before.
        """
        watch = failure_detector.OwnerFailureDetector(
            self._strength, random.random()
        )
        check_at = 0.0
        while True:
            await trio.sleep(_RETRY_S)
            owner = self._board.owner
            reading = failure_detector.LogStatus(
                self._board.owner_record_count,
                self._follower.last_read_at,
                owner is None or owner.renewal == reigns.RESIGNED_RENEWAL,
                owner is not None and owner.entry == self._name,
            )
            now = trio.current_time()
            told = self._prober.get_result(now)
            may_claim = watch.may_claim(reading, told, now)
            if may_claim and self._policy.version and not self._resigned:
                return watch
            is_doubted = told.outcome is not failure_detector.ProbeOutcome.OWNS
            if is_doubted and not reading.is_vacant and now >= check_at:
                await self._check_log()
                check_at = trio.current_time() + _CHECK_PERIOD_S

    async def _check_log(self) -> None:
        """Read the log now, beside the running poll."""
        try:
            await self._follower.refresh(_CHECK_S)
        except errors.LogUnavailable as error:
            # The poll logs it; without a newer read nothing is claimed.
            logs.debug(logs.Component.OWNER, f"No newer state: {error.detail}")

    def _record_takeover(
        self, epoch: int, watch: failure_detector.OwnerFailureDetector
    ) -> None:
        """Say for how long the pool had no owner."""
        if epoch == 1:
            return
        seconds = watch.silence_s(trio.current_time())
        self._metrics.ownerless_seconds.observe(seconds)
        text = (
            f"Epoch {epoch} follows {seconds:.2f} s after the last record of"
            " an owner."
        )
        logs.info(logs.Component.OWNER, text)

    async def _claim(self) -> reigns.OwnerTerm | None:
        """Try to become owner."""
        present = self._board.owner
        epoch = 1 if present is None else present.epoch + 1
        producer = log_producer.Producer(
            self._log, job_records.TOPIC, reigns.PRODUCER_NAME, epoch
        )
        evidence = "" if present is None else present.evidence
        record = job_records.Owner(
            epoch, self._name, self._address, 0, evidence
        )
        self._claiming = epoch
        try:
            if not await self._append_claim(producer, record):
                return None
        finally:
            self._claiming = -1
        return self._start_term(record, producer)

    async def _append_claim(
        self, producer: log_producer.Producer, record: job_records.Owner
    ) -> bool:
        """Append a claim at the end that was read; tell whether it holds."""
        at = self._follower.offset
        epoch = record.epoch
        text = f"Claiming epoch {epoch} at {at}."
        logs.info(logs.Component.OWNER, text)
        while True:
            try:
                await producer.try_append(
                    [job_records.encode_owner(record)], at
                )
                break
            except (errors.LogConflict, errors.LogFenced) as error:
                # An answer may have been lost after the claim took effect.
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
        logs.info(logs.Component.OWNER, f"Owner of epoch {epoch} at {at}.")
        return True

    def _start_term(
        self, owner: job_records.Owner, producer: log_producer.Producer
    ) -> reigns.OwnerTerm:
        """Begin to decide, from what the log says."""
        scheduler = schedulers.Scheduler(self._timing)
        scheduler.set_policy(self._policy)
        scheduler.restore(self._board, trio.current_time(), clock.wall_ms())
        for order in self._orders.values():
            scheduler.maintenance.apply_order(order)
        for plan in self._board.intents.plans.values():
            # Evidence of the past owner's last seconds may be lost.
            if plan.decision == "accepted":
                scheduler.record_evidence(
                    evidence_records.make_plan_accepted(plan)
                )
        return reigns.OwnerTerm(
            owner,
            producer,
            scheduler,
            self._log,
            self._board,
            self._links,
            self._adviser,
            self._hosts,
            self._metrics,
        )

    async def _is_claim_on_log(self, record: job_records.Owner) -> bool:
        """Tell whether a claim of ours stands on the log after all."""
        try:
            await self._follower.refresh(_LOOK_S)
        except errors.LogUnavailable:
            return False
        return self._board.owner == record

    async def _run_term(self, reign: reigns.OwnerTerm) -> None:
        """Own until a newer epoch is seen."""
        self._term = reign
        self._metrics.owning.set(1)
        self._metrics.epoch.set(reign.epoch)
        self._follower.read_interval_s = OWNER_READ_INTERVAL_S
        self._follower.skip_pause()
        try:
            await reign.run()
        finally:
            self._term = None
            self._metrics.owning.set(0)
            self._follower.read_interval_s = FOLLOWER_READ_INTERVAL_S
            logs.warn(logs.Component.OWNER, f"Epoch {reign.epoch} is lost.")
            await self._links.close_all()

    def _apply_report(self, listing: fleet.WorkerStatus) -> int:
        """Hand a side's report to the reign."""
        if self._term is None:
            raise errors.KingcupleverError(
                f"{self._name} does not own.", errors.Code.FENCED
            )
        return self._term.apply_report(listing)

    def _on_side_lost(self, side: str) -> None:
        if self._term is not None:
            self._term.scheduler.mark_side_disconnected(side)
