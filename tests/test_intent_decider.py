"""Tests of intents that arrive just after a failover."""

from collections.abc import Sequence
from typing import cast

from kingcuplever.connection import keyed_log
from kingcuplever import intents
from kingcuplever.process.owner import intent_decider
from kingcuplever.process.owner import job_owner
from kingcuplever.process.scheduling import scheduler as schedulers
from kingcuplever.process.stored import topic_follower
from tests import pool as pools
import trio
import trio.testing

SHAPE = intents.Guarantee("worker", 2)
INTENT = intents.Intent(
    "account", account=intents.AccountSpec("maps", "hall", (SHAPE,))
)


class FakeTerm:
    """The owner's term of a pool; its appends succeed at once."""

    def __init__(self, pool: pools.Pool) -> None:
        """Create the term of a pool's owner."""
        self.pool = pool

    @property
    def scheduler(self) -> schedulers.Scheduler:
        """The scheduler of the pool's current owner."""
        return self.pool.scheduler

    async def append_records(
        self, records: Sequence[keyed_log.KeyedRecord]
    ) -> int:
        """Append records to the log."""
        self.pool.append([*records])
        return self.pool.offset


class FakeOwner:
    """The entry that is owner of a pool."""

    def __init__(self, pool: pools.Pool) -> None:
        """Create the owner of a pool."""
        self.term = FakeTerm(pool)


class FakeFollower:
    """A follower that has always read the whole log."""

    def __init__(self, pool: pools.Pool) -> None:
        """Follow the log of a pool."""
        self._pool = pool

    @property
    def offset(self) -> int:
        """The end of the log."""
        return self._pool.offset

    async def refresh(self, timeout_s: float) -> None:
        """Do nothing; everything is read."""


def test_new_owner_awaits_worker_reports_before_it_refuses_an_intent() -> None:
    # Guards against the refusal of an intent that arrives before any worker
    # has reported to the new owner.  Found in a run under load.
    pool = pools.Pool()
    pool.now = 0.0
    pool.fail_over()
    decider = intent_decider.IntentDecider(
        cast(job_owner.JobOwner, FakeOwner(pool)),
        pool.table,
        cast(topic_follower.Follower, FakeFollower(pool)),
    )
    plans: list[intents.Plan] = []

    async def propose() -> None:
        plans.append(await decider.propose(INTENT, "margit"))

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(propose)
            await trio.sleep(1.0)
            pool.now = trio.current_time()
            pool.settle()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    (plan,) = plans
    assert not plan.refusal
    assert plan.decision == "open"
