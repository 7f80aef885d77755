"""Answers intents with plans and carries confirmed ones out, as the owner.

One entry owns, so that conflicting intents meet here and the second of them
is found stale.  A plan, what became of it and what it changes are appended
together; an operator is told only what the log has.
"""

import uuid

import trio

from kingcuplever import clock
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import intents
from kingcuplever import logs
from kingcuplever.process.owner import job_owner
from kingcuplever.process.owner import planner
from kingcuplever.process.owner import reign as reigns
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import following
from kingcuplever.process.stored import intent_records
from kingcuplever.process.stored import job_board
from kingcuplever.process.stored import job_records
from kingcuplever.version import configuration

# Plans that can still be asked for; older ones are dropped.
_PLANS_KEPT = 1000
# How long the log may take to show what it has taken.
_READ_BACK_S = 1.0
# An append that the log has not taken by then is reported as open.
_KEEP_S = 5.0


class IntentDecider:
    """The owner's part of the operators' interface."""

    def __init__(
        self,
        owner: job_owner.JobOwner,
        board: job_board.JobBoard,
        follower: following.Follower,
    ) -> None:
        """Decide whenever this entry owns."""
        self._owner = owner
        self._board = board
        self._follower = follower
        # Intents are worked on one after another.
        self._lock = trio.Lock()

    @property
    def reign(self) -> reigns.Reign:
        """The present time as owner.

        :raises errors.KingcupleverError: ``OVERLOADED`` if there is none.
        """
        reign = self._owner.reign
        if reign is None:
            raise errors.KingcupleverError(
                "No owner is known at present.", errors.Code.OVERLOADED
            )
        return reign

    async def state(
        self, intent: intents.Intent, operator: str
    ) -> intents.Plan:
        """Answer an intent with a plan; nothing changes yet.

        :raises errors.LogUnavailable: the plan may or may not be kept.
        """
        async with self._lock:
            await self._settle()
            plan = self._draft(intent, operator)
            await self._keep([intent_records.plan(plan), *self._old_plans()])
        outcome = plan.refusal or f"{len(plan.effects)} effects"
        text = f"Plan {plan.plan} for {operator}: {outcome}."
        logs.info(logs.Part.PLAN, text)
        return plan

    async def confirm(self, name: str, operator: str) -> intents.Plan:
        """Carry out a plan that still holds; confirming twice does it once.

        :return: the plan, accepted or stale.
        :raises errors.LogUnavailable: it may or may not be carried out.
        """
        async with self._lock:
            await self._read_on()
            plan = self._board.intents.plans.get(name)
            if plan is None:
                raise errors.KingcupleverError(
                    f"Plan {name!r:.80} is unknown.", errors.Code.NOT_FOUND
                )
            if plan.decision == "open":
                await self._settle()
                plan = await self._decide(plan, operator)
        text = f"Plan {name} confirmed by {operator}: {plan.decision}."
        logs.info(logs.Part.PLAN, text)
        return plan

    async def _settle(self) -> None:
        """Let a new owner hear of the workers first.

        It would refuse for good, or find stale, what they can hold.
        """
        scheduler = self.reign.scheduler
        await trio.sleep(scheduler.unsettled_s(trio.current_time()))

    def _draft(self, intent: intents.Intent, operator: str) -> intents.Plan:
        found = planner.draft(self._known(), intent)
        return intents.Plan(
            f"{intent.kind}.{uuid.uuid4().hex[:12]}",
            intent,
            self._board.intents.version,
            found.effects,
            found.refusal,
            found.forecast,
            operator,
            "refused" if found.refusal else "open",
        )

    def _known(self) -> planner.Known:
        scheduler = self.reign.scheduler
        workers = tuple(w for w in scheduler.workers.values() if w.known)
        return planner.Known(
            self._board.intents,
            self._board.jobs,
            scheduler.accounts,
            workers,
        )

    async def _decide(self, plan: intents.Plan, operator: str) -> intents.Plan:
        """Accept an open plan if it still holds."""
        found = planner.draft(self._known(), plan.intent)
        if found.refusal or found.effects != plan.effects:
            stale = plan._replace(decision="stale", decided_by=operator)
            await self._keep([intent_records.plan(stale)])
            return stale
        accepted = plan._replace(
            decision="accepted",
            decided_by=operator,
            version=self._board.intents.version + 1,
        )
        reign = self.reign
        await self._keep(
            [intent_records.plan(accepted), *self._changes(accepted)]
        )
        reign.scheduler.note(evidence_records.decided(accepted))
        return accepted

    def _changes(self, plan: intents.Plan) -> list[keyed_log.KeyedRecord]:
        """Give the records that carry a plan out."""
        intent = plan.intent
        if intent.account is not None:
            return [intent_records.account(intent.account)]
        if intent.job is not None:
            spec = planner.make_job(
                intent.job,
                plan.plan,
                self._scheduling().job_failures,
                clock.wall_ms(),
                planner.fits_one_rack(self._known(), intent.job),
            )
            return [job_records.submitted(intent.job.job, spec)]
        if intent.stop:
            return [job_records.cancelled(intent.stop)]
        document = intent.config or {}
        return [
            intent_records.config(
                intent_records.Config(plan.version, document)
            )
        ]

    def _scheduling(self) -> configuration.SchedulingConfig:
        document = self._board.intents.config.document
        return configuration.parse(document).scheduling

    def _old_plans(self) -> list[keyed_log.KeyedRecord]:
        """Give the records that drop the oldest plans."""
        plans = [*self._board.intents.plans]
        extra = max(0, len(plans) + 1 - _PLANS_KEPT)
        return [intent_records.dropped_plan(name) for name in plans[:extra]]

    async def _keep(self, records: list[keyed_log.KeyedRecord]) -> None:
        """Append records, and wait until this entry has read them back."""
        with trio.move_on_after(_KEEP_S):
            end = await self.reign.keep(records)
            while self._follower.offset < end:
                await self._read_on()
            return
        raise errors.LogUnavailable(
            "The log did not take the record in time; look whether it is done."
        )

    async def _read_on(self) -> None:
        await self._follower.refresh(_READ_BACK_S)
