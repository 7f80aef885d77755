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
from kingcuplever.process.owner import owner_term as reigns
from kingcuplever.process.owner import planner
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import intent_records
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
from kingcuplever.process.stored import topic_follower
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
        board: job_table.JobTable,
        follower: topic_follower.Follower,
    ) -> None:
        """Decide whenever this entry owns."""
        self._owner = owner
        self._board = board
        self._follower = follower
        # Intents are worked on one after another.
        self._lock = trio.Lock()

    @property
    def term(self) -> reigns.OwnerTerm:
        """The present time as owner.

        :raises errors.KingcupleverError: ``OVERLOADED`` if there is none.
        """
        reign = self._owner.term
        if reign is None:
            raise errors.KingcupleverError(
                "No owner is known at present.", errors.Code.OVERLOADED
            )
        return reign

    async def propose(
        self, intent: intents.Intent, operator: str
    ) -> intents.Plan:
        """Answer an intent with a plan; nothing changes yet.

        :raises errors.LogUnavailable: the plan may or may not be kept.
        """
        async with self._lock:
            await self._await_worker_reports()
            plan = self._draft_plan(intent, operator)
            await self._append_and_read_back(
                [
                    intent_records.encode_plan(plan),
                    *self._make_plan_tombstones(),
                ]
            )
        outcome = plan.refusal or f"{len(plan.effects)} effects"
        text = f"Plan {plan.plan} for {operator}: {outcome}."
        logs.info(logs.Component.PLAN, text)
        return plan

    async def confirm(self, plan_name: str, operator: str) -> intents.Plan:
        """Carry out a plan that still holds; confirming twice does it once.

        :return: the plan, accepted or stale.
        :raises errors.LogUnavailable: it may or may not be carried out.
        """
        async with self._lock:
            await self._refresh()
            plan = self._board.intents.plans.get(plan_name)
            if plan is None:
                raise errors.KingcupleverError(
                    f"Plan {plan_name!r:.80} is unknown.",
                    errors.Code.NOT_FOUND,
                )
            if plan.decision == "open":
                await self._await_worker_reports()
                plan = await self._decide(plan, operator)
        text = f"Plan {plan_name} confirmed by {operator}: {plan.decision}."
        logs.info(logs.Component.PLAN, text)
        return plan

    async def _await_worker_reports(self) -> None:
        """Let a new owner hear of the workers first.

        It would refuse for good, or find stale, what they can hold.
        """
        scheduler = self.term.scheduler
        await trio.sleep(scheduler.warmup_left_s(trio.current_time()))

    def _draft_plan(
        self, intent: intents.Intent, operator: str
    ) -> intents.Plan:
        found = planner.draft(self._planner_input(), intent)
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

    def _planner_input(self) -> planner.PlannerInput:
        scheduler = self.term.scheduler
        workers = tuple(
            w for w in scheduler.workers.values() if w.has_reported
        )
        return planner.PlannerInput(
            self._board.intents,
            self._board.jobs,
            scheduler.accounts,
            workers,
        )

    async def _decide(self, plan: intents.Plan, operator: str) -> intents.Plan:
        """Accept an open plan if it still holds."""
        found = planner.draft(self._planner_input(), plan.intent)
        if found.refusal or found.effects != plan.effects:
            stale = plan._replace(decision="stale", decided_by=operator)
            await self._append_and_read_back(
                [intent_records.encode_plan(stale)]
            )
            return stale
        accepted = plan._replace(
            decision="accepted",
            decided_by=operator,
            version=self._board.intents.version + 1,
        )
        reign = self.term
        await self._append_and_read_back(
            [
                intent_records.encode_plan(accepted),
                *self._make_change_records(accepted),
            ]
        )
        reign.scheduler.record_evidence(
            evidence_records.make_plan_accepted(accepted)
        )
        return accepted

    def _make_change_records(
        self, plan: intents.Plan
    ) -> list[keyed_log.KeyedRecord]:
        """Give the records that carry a plan out."""
        intent = plan.intent
        if intent.account is not None:
            return [intent_records.encode_account(intent.account)]
        if intent.job is not None:
            spec = planner.make_job(
                intent.job,
                plan.plan,
                self._get_scheduling_config().job_failures,
                clock.wall_ms(),
                planner.can_fit_one_rack(self._planner_input(), intent.job),
            )
            return [job_records.encode_submission(intent.job.job, spec)]
        if intent.stop:
            return [job_records.encode_cancellation(intent.stop)]
        document = intent.config or {}
        return [
            intent_records.encode_config(
                intent_records.Config(plan.version, document)
            )
        ]

    def _get_scheduling_config(self) -> configuration.SchedulingConfig:
        document = self._board.intents.config.document
        return configuration.parse_document(document).scheduling

    def _make_plan_tombstones(self) -> list[keyed_log.KeyedRecord]:
        """Give the records that drop the oldest plans."""
        plans = [*self._board.intents.plans]
        extra = max(0, len(plans) + 1 - _PLANS_KEPT)
        return [
            intent_records.make_plan_tombstone(name) for name in plans[:extra]
        ]

    async def _append_and_read_back(
        self, records: list[keyed_log.KeyedRecord]
    ) -> None:
        """Append records, and wait until this entry has read them back."""
        with trio.move_on_after(_KEEP_S):
            end = await self.term.append_records(records)
            while self._follower.offset < end:
                await self._refresh()
            return
        raise errors.LogUnavailable(
            "The log did not take the record in time; look whether it is done."
        )

    async def _refresh(self) -> None:
        await self._follower.refresh(_READ_BACK_S)
