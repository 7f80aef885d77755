"""Answers operators' intents with plans, and applies confirmed plans.

Only the owner decides, one intent at a time; of two plans that conflict, the
one confirmed second is stale.  A plan's decision and the records that apply
it are appended together.  An operator gets a reply only after this entry has
read the records back from the log.
"""

import uuid

import trio

from kingcuplever import clock
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import intents
from kingcuplever import logs
from kingcuplever.process.owner import job_owner
from kingcuplever.process.owner import owner_term
from kingcuplever.process.owner import planner
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import intent_records
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
from kingcuplever.process.stored import topic_follower
from kingcuplever.version import configuration

# Plans on the log; older ones are dropped.
_MAX_PLANS = 1000
_READ_TIMEOUT_S = 1.0
# Timeout for an append and its read-back; the outcome is unknown after that.
_APPEND_TIMEOUT_S = 5.0


class IntentDecider:
    """Makes, confirms and applies plans while this entry is the owner."""

    def __init__(
        self,
        owner: job_owner.JobOwner,
        table: job_table.JobTable,
        follower: topic_follower.Follower,
    ) -> None:
        """Use the entry's ownership and its table of the jobs topic."""
        self._owner = owner
        self._table = table
        self._follower = follower
        # Intents and confirmations are handled one at a time.
        self._lock = trio.Lock()

    @property
    def term(self) -> owner_term.OwnerTerm:
        """The current term of this entry.

        :raises errors.KingcupleverError: ``OVERLOADED`` if it does not own.
        """
        term = self._owner.term
        if term is None:
            raise errors.KingcupleverError(
                "This entry is not the owner at present.",
                errors.Code.OVERLOADED,
            )
        return term

    async def propose(
        self, intent: intents.Intent, operator: str
    ) -> intents.Plan:
        """Answer an intent with a plan, which changes nothing yet.

        :raises errors.LogUnavailable: the plan may or may not be on the log.
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
        """Apply a plan if it is still valid; idempotent.

        :return: the plan with its decision.
        :raises errors.KingcupleverError: ``NOT_FOUND`` if it is unknown.
        :raises errors.LogUnavailable: it may or may not have been applied.
        """
        async with self._lock:
            await self._refresh()
            plan = self._table.intents.plans.get(plan_name)
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
        """Wait until the workers have reported to a new owner.

        Before that, the owner would refuse jobs and guarantees for lack of
        workers, or find plans stale.
        """
        scheduler = self.term.scheduler
        await trio.sleep(scheduler.warmup_left_s(trio.current_time()))

    def _draft_plan(
        self, intent: intents.Intent, operator: str
    ) -> intents.Plan:
        draft = planner.draft(self._planner_input(), intent)
        return intents.Plan(
            f"{intent.kind}.{uuid.uuid4().hex[:12]}",
            intent,
            self._table.intents.version,
            draft.effects,
            draft.refusal,
            draft.forecast,
            operator,
            "refused" if draft.refusal else "open",
        )

    def _planner_input(self) -> planner.PlannerInput:
        scheduler = self.term.scheduler
        workers = tuple(
            w for w in scheduler.workers.values() if w.has_reported
        )
        return planner.PlannerInput(
            self._table.intents,
            self._table.jobs,
            scheduler.accounts,
            workers,
        )

    async def _decide(self, plan: intents.Plan, operator: str) -> intents.Plan:
        """Accept and apply an open plan, or mark it stale."""
        draft = planner.draft(self._planner_input(), plan.intent)
        if draft.refusal or draft.effects != plan.effects:
            stale = plan._replace(decision="stale", decided_by=operator)
            await self._append_and_read_back(
                [intent_records.encode_plan(stale)]
            )
            return stale
        accepted = plan._replace(
            decision="accepted",
            decided_by=operator,
            version=self._table.intents.version + 1,
        )
        term = self.term
        await self._append_and_read_back(
            [
                intent_records.encode_plan(accepted),
                *self._make_change_records(accepted),
            ]
        )
        term.scheduler.record_evidence(
            evidence_records.make_plan_accepted(accepted)
        )
        return accepted

    def _make_change_records(
        self, plan: intents.Plan
    ) -> list[keyed_log.KeyedRecord]:
        """Make the records that apply a plan."""
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
        if intent.evacuation is not None:
            return [intent_records.encode_evacuation(intent.evacuation)]
        if intent.stop:
            return [job_records.encode_cancellation(intent.stop)]
        document = intent.config or {}
        return [
            intent_records.encode_config(
                intent_records.Config(plan.version, document)
            )
        ]

    def _get_scheduling_config(self) -> configuration.SchedulingConfig:
        document = self._table.intents.config.document
        return configuration.parse_document(document).scheduling

    def _make_plan_tombstones(self) -> list[keyed_log.KeyedRecord]:
        """Make the records that drop the oldest plans beyond the limit."""
        plans = [*self._table.intents.plans]
        excess = max(0, len(plans) + 1 - _MAX_PLANS)
        return [
            intent_records.make_plan_tombstone(name) for name in plans[:excess]
        ]

    async def _append_and_read_back(
        self, records: list[keyed_log.KeyedRecord]
    ) -> None:
        """Append records, and wait until this entry has read them back.

        :raises errors.LogUnavailable: they may or may not be on the log.
        """
        with trio.move_on_after(_APPEND_TIMEOUT_S):
            end = await self.term.append_records(records)
            while self._follower.offset < end:
                await self._refresh()
            return
        raise errors.LogUnavailable(
            "The append did not finish in time; check whether the change was"
            " made."
        )

    async def _refresh(self) -> None:
        await self._follower.refresh(_READ_TIMEOUT_S)
