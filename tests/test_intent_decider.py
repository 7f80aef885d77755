"""Intents that meet an owner which has only just taken over."""

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
    """A time as owner over a pool, whose log takes all at once."""

    def __init__(self, pool: pools.Pool) -> None:
        """Decide over a pool."""
        self.pool = pool

    @property
    def scheduler(self) -> schedulers.Scheduler:
        """The pool's present owner."""
        return self.pool.scheduler

    async def append_records(
        self, records: Sequence[keyed_log.KeyedRecord]
    ) -> int:
        """Put records on the log."""
        self.pool.append([*records])
        return self.pool.offset


class FakeOwner:
    """An entry that owns."""

    def __init__(self, pool: pools.Pool) -> None:
        """Own a pool."""
        self.term = FakeTerm(pool)


class FakeFollower:
    """Has always read all."""

    def __init__(self, pool: pools.Pool) -> None:
        """Follow a pool's log."""
        self._pool = pool

    @property
    def offset(self) -> int:
        """The end of the log."""
        return self._pool.offset

    async def refresh(self, timeout_s: float) -> None:
        """Read nothing more."""


def test_new_owner_hears_of_the_workers_before_it_judges() -> None:
    # One run under load: an intent came in the first moments of a new owner
    # and was refused for good, since no worker had reported yet.
    pool = pools.Pool()
    pool.now = 0.0
    pool.fail_over()
    decider = intent_decider.IntentDecider(
        cast(job_owner.JobOwner, FakeOwner(pool)),
        pool.table,
        cast(topic_follower.Follower, FakeFollower(pool)),
    )
    plans: list[intents.Plan] = []

    async def state() -> None:
        plans.append(await decider.propose(INTENT, "margit"))

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(state)
            await trio.sleep(1.0)
            pool.now = trio.current_time()
            pool.settle()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    (plan,) = plans
    assert not plan.refusal
    assert plan.decision == "open"
