"""At each step of random histories, a successor knows what its owner knows."""

import hypothesis
from hypothesis import strategies as st

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import pacing
from tests import pool as pools
from tests import takeover_parity
from tests import test_odd_histories as odd

HISTORIES = 60
STEPS = 60
# Fewer than would end a job.
MAX_CRASHES = 2
# Within this a task that was slowed is at full pace again.
FULL_PACE_S = 30
SLOW_MS = 400


class ParityHistory(odd.OddHistory):
    """A history that restores a successor beside the owner at each step."""

    def __init__(self, seed: int) -> None:
        """Create the same pool, with crashes, stalls and filling tasks."""
        super().__init__(seed)
        self.crashes = 0
        self.actions += [
            self.crash_worker,
            self.stall_run,
            self.submit_filling,
            self.submit_serving,
            self.serve_slowly,
            self.serve_fast,
        ]

    def crash_worker(self) -> None:
        """Crash a worker; its side has seen it."""
        fake = self.rng.choice(self.pool.workers)
        if self.crashes < MAX_CRASHES and not fake.is_disconnected:
            self.crashes += 1
            self.pool.end_worker(fake, crashed=True)

    def stall_run(self) -> None:
        """Let a run make no progress any more."""
        fake = self.rng.choice(self.pool.workers)
        fake.stalled_runs.update(sorted(fake.running)[:1])

    def submit_filling(self) -> None:
        """Submit tasks that use what the others leave."""
        step = pools.step(tasks=2, gpus=0, fills=True, estimate_ms=60_000)
        self._submit_job(pools.spec(step, queue="batch"))

    def submit_serving(self) -> None:
        """Submit tasks that serve users."""
        step = pools.step(2, 0, long_running=True, target_ms=SLOW_MS // 2)
        self._submit_job(pools.spec(step))

    def serve_slowly(self) -> None:
        """Let the tasks that serve be too slow."""
        self._set_tails(SLOW_MS)

    def serve_fast(self) -> None:
        """Let the tasks that serve be fast."""
        self._set_tails(0)

    def finish_all_jobs(self) -> None:
        """Check that slowed tasks get their pace back, and all jobs end."""
        self.serve_fast()
        for fake in self.pool.workers:
            fake.is_disconnected = False
            if fake.delays_orders:
                fake.apply_delayed_starts(False)
        self.check()
        for _ in range(FULL_PACE_S):
            if not self.find_slowed_runs():
                break
            self.pool.advance_time(1.0)
        assert not self.find_slowed_runs()
        super().finish_all_jobs()

    def find_slowed_runs(self) -> dict[fleet.RunId, int]:
        """Return the runs that are not at full pace, with their paces."""
        return {
            run: fake.paces[run]
            for fake in self.pool.workers
            for run in fake.running
            if fake.paces.get(run, pacing.FULL_PERCENT) < pacing.FULL_PERCENT
        }

    def check(self) -> None:
        """Check all invariants, and that the successor differs in nothing."""
        super().check()
        differences = takeover_parity.find_differences(self.pool)
        assert not differences, differences

    def _set_tails(self, tail_ms: int) -> None:
        for fake in self.pool.workers:
            for run, task in fake.running.items():
                spec = self.specs.get(run.task[:16])
                if spec is not None and spec.steps[0].target_ms:
                    fake.running[run] = task._replace(usage=tail_ms)


# Guards against work that is forgotten or done again, an attempt that is not
# counted, a worker that is not avoided: an owner knew, and no record had it.
@hypothesis.settings(max_examples=HISTORIES)
@hypothesis.given(st.integers(0, 2**32))
def test_successor_knows_what_its_owner_knows(seed: int) -> None:
    ParityHistory(seed).play(STEPS)
