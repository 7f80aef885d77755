"""What one job, worker or record brings about leaves the others served."""

from collections.abc import Callable
from collections.abc import Iterator
import functools
from typing import Any

from kingcuplever.connection import keyed_log
from kingcuplever import containment
from kingcuplever.process.agent import owner_link
from kingcuplever.process import job_metrics
from kingcuplever.process.owner import job_owner
from kingcuplever.process.scheduling import accounts
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import job_tracker
from kingcuplever.process.scheduling import maintenance
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import preemptor
from kingcuplever.process.scheduling import run_observer
from kingcuplever.process.scheduling import worker_tracker
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
import pytest
import trio
import trio.testing

from tests import pool as pools

BAD = "0bad0bad0bad0bad"
GOOD = "900d900d900d900d"


class OddError(Exception):
    """An error that nobody has foreseen."""


@pytest.fixture
def pool() -> Iterator[pools.Pool]:
    """Return a pool in which an error has to be contained."""
    pool = pools.Pool()
    pool.allows_errors = True
    yield pool
    assert any(OddError.__name__ in item.error for item in pool.contained)


def concerns_bad_job(*arguments: Any) -> bool:
    """Return whether an argument belongs to the bad job."""
    for value in arguments:
        job = getattr(value, "job", value)
        if getattr(job, "name", job) == BAD:
            return True
        if str(getattr(value, "task", value)).startswith(BAD):
            return True
    return False


def break_for_bad_job(
    patch: pytest.MonkeyPatch, owner: Any, name: str
) -> None:
    """Have a function raise once an argument belongs to the bad job."""
    original = getattr(owner, name)

    @functools.wraps(original)
    def fail(*arguments: Any, **more: Any) -> Any:
        if concerns_bad_job(*arguments):
            raise OddError
        return original(*arguments, **more)

    patch.setattr(owner, name, fail)


def run_both(pool: pools.Pool) -> None:
    """Submit both jobs; check that the good one runs to its end."""
    for name in (BAD, GOOD):
        pool.submit(name, pools.spec(pools.step(tasks=2)))
    pool.settle()
    pool.fail_over()
    pool.advance_time(3.0)
    for fake in pool.workers:
        for run in [*fake.running]:
            fake.end_run(run, "done")
    pool.advance_time(1.0)
    assert pool.get_job_state(GOOD) == "completed"


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (placement, "choose_workers"),
        (job_state.Job, "__init__"),
        (job_state.Job, "restore"),
        (job_state.Job, "to_record"),
        (job_state.Group, "update_progress"),
        (job_tracker.JobTracker, "_open_occurrences"),
        (job_tracker.JobTracker, "_adopt_run"),
        (job_tracker.JobTracker, "finish_group"),
        (worker_tracker.WorkerTracker, "_apply_ended"),
    ],
)
def test_job_that_brings_about_an_error_stops_no_other(
    pool: pools.Pool, monkeypatch: pytest.MonkeyPatch, owner: Any, name: str
) -> None:
    break_for_bad_job(monkeypatch, owner, name)
    run_both(pool)


def fail_always(*_: Any, **__: Any) -> Any:
    """Raise what nobody has foreseen."""
    raise OddError


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (accounts.Accounts, "rebind"),
        (run_observer.RunObserver, "observe_list"),
        (worker_tracker.WorkerTracker, "check_crash_proofs"),
        (worker_tracker.WorkerTracker, "_stop_stalled"),
        (worker_tracker.WorkerTracker, "_update_paces"),
        (maintenance.Maintenance, "restore"),
    ],
)
def test_pass_that_always_fails_leaves_the_jobs_running(
    pool: pools.Pool, monkeypatch: pytest.MonkeyPatch, owner: Any, name: str
) -> None:
    monkeypatch.setattr(owner, name, fail_always)
    run_both(pool)


def test_preemption_that_fails_leaves_the_others_running(
    pool: pools.Pool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(preemptor.Preemptor, "_find_protected", fail_always)
    batch = pools.step(tasks=3, gpus=7)
    pool.submit("batch", pools.spec(batch, queue="batch"))
    pool.settle()
    whole = pools.step(gpus=8)
    pool.submit("urgent", pools.spec(whole, queue="urgent"))
    pool.advance_time(3.0)
    pool.submit(GOOD, pools.spec(pools.step()))
    pool.settle()
    assert pool.running_tasks(GOOD)
    assert len(pool.running_tasks("batch")) == 3


# The run of a job whose record could not be made must not start: a successor
# could not know of it.
def test_run_without_a_record_does_not_start(
    pool: pools.Pool, monkeypatch: pytest.MonkeyPatch
) -> None:
    break_for_bad_job(monkeypatch, job_state.Job, "to_record")
    pool.submit(BAD, pools.spec(pools.step()))
    pool.advance_time(2.0)
    assert not pool.running_tasks(BAD)


def test_record_that_cannot_be_applied_hides_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    seen: list[containment.ContainedError] = []
    table = job_table.JobTable(
        lambda: 0.0, containment.ErrorBarrier(seen.append)
    )
    original = table._apply

    def fail(record: Any, offset: int) -> None:
        if record.job == BAD:
            raise OddError
        original(record, offset)

    monkeypatch.setattr(table, "_apply", fail)
    job = pools.spec(pools.step())
    table.apply_records(
        [
            keyed_log.StoredRecord(offset, record.key, record.value)
            for offset, record in enumerate(
                job_records.encode_submission(name, job)
                for name in (BAD, GOOD)
            )
        ]
    )
    assert [*table.jobs] == [GOOD]
    assert [item.stage for item in seen] == ["record of the log"]


def test_announcement_that_cannot_be_applied_hides_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sink = owner_link.OwnerSink()
    monkeypatch.setattr(sink, "_apply_evacuations", fail_always)
    owner = job_records.Owner(1, "entry-0", "127.0.0.1:1", 0)
    record = job_records.encode_owner(owner)

    async def main() -> None:
        sink.apply_records(
            [
                keyed_log.StoredRecord(0, "evacuations", b"{}"),
                keyed_log.StoredRecord(1, record.key, record.value),
            ]
        )

    trio.run(main)
    assert sink.owner == owner


def run_with_virtual_time(main: Callable[[], Any]) -> None:
    """Run without real waits."""
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_task_runs_again_after_an_error() -> None:
    runs: list[float] = []

    async def run() -> None:
        runs.append(trio.current_time())
        if len(runs) < 3:
            raise OddError

    seen: list[containment.ContainedError] = []
    barrier = containment.ErrorBarrier(seen.append)

    async def main() -> None:
        await containment.keep_running(run, "task", barrier)

    run_with_virtual_time(main)
    assert len(runs) == 3
    assert runs[0] < runs[1] < runs[2]
    assert [item.number for item in seen] == [1, 2]


def test_task_can_be_cancelled() -> None:
    async def main() -> None:
        with trio.move_on_after(1.0) as scope:
            await containment.keep_running(
                trio.sleep_forever, "task", containment.ErrorBarrier()
            )
        assert scope.cancelled_caught

    run_with_virtual_time(main)


class _SilentProber:
    """A prober that learns nothing."""

    async def run(self) -> None:
        """Wait until cancelled."""
        await trio.sleep_forever()


class _Election(job_owner.JobOwner):
    """An election whose terms fail at first."""

    def __init__(self) -> None:
        self.attempts = 0
        self._name = "entry-0"
        self._resigned = False
        self._metrics = job_metrics.JobMetrics()
        self._prober: Any = _SilentProber()

    async def _claim_and_run_term(self) -> None:
        self.attempts += 1
        if self.attempts < 3:
            raise ExceptionGroup("", [OddError()])
        self._resigned = True


def test_term_that_fails_leaves_the_entry_in_the_election() -> None:
    election = _Election()
    run_with_virtual_time(election.run)
    assert election.attempts == 3
    counter = election._metrics.contained_errors.labels("term")
    assert counter._value.get() == 2


def test_error_that_comes_again_is_logged_ever_less() -> None:
    seen: list[containment.ContainedError] = []
    barrier = containment.ErrorBarrier(seen.append)
    for _ in range(1000):
        with barrier.contain("stage", "item") as attempt:
            raise OddError
        assert attempt.has_failed
    assert len(seen) == 1000
    assert sum(item.is_worth_a_line for item in seen) == 10
    assert "line" in seen[0].error
