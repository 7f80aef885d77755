"""Tests of the order in which workers are chosen for a group."""

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import scheduler_state
import pytest
from tests import pool as pools


class FixedScorer:
    """Scores workers by their names; all others are neutral."""

    def __init__(self, scores: dict[str, float]) -> None:
        """Use the given scores."""
        self._scores = scores

    def score(
        self, group: job_state.Group, worker: fleet.Worker, now: float
    ) -> float:
        """Return the worker's score."""
        return self._scores.get(worker.name, 0.0)


def make_worker(number: int, gpus: int = 8) -> fleet.Worker:
    """Make a worker with so many free accelerators, three to a rack."""
    worker = fleet.Worker(f"i-{number}@s-{number}", 0.0)
    worker.labels = ("a", f"r1-{number // 3}")
    worker.capacity = pools.WORKER_CAPACITY
    worker.free = pools.WORKER_CAPACITY._replace(gpus=gpus)
    return worker


def make_group(step: model.StepSpec) -> job_state.Group:
    """Make a group of one step."""
    return job_state.Group(job_state.Job("a", pools.spec(step), 0), 0, 0, 0)


def choose(
    group: job_state.Group,
    workers: list[fleet.Worker],
    *scorers: FixedScorer,
    reserved_gpus: dict[str, int] | None = None,
) -> tuple[str, ...]:
    """Return the workers that are chosen under the given scorers."""
    state = scheduler_state.SchedulerState()
    state.scorers.extend(scorers)
    chosen = placement.choose_workers(
        group,
        workers,
        {worker.name: worker.free for worker in workers},
        lambda name: 0,
        True,
        placement.Preferences(
            reserved_gpus or {},
            lambda worker: state.score_worker(group, worker, 0.0),
        ),
    )
    assert chosen is not None
    return chosen.workers


def test_scores_come_before_best_fit() -> None:
    """Check that a worker where work takes longer is used later."""
    tight, roomy = make_worker(0, gpus=2), make_worker(1)
    group = make_group(pools.step(gpus=2))
    assert choose(group, [tight, roomy]) == (tight.name,)
    slow = FixedScorer({tight.name: 0.5})
    assert choose(group, [tight, roomy], slow) == (roomy.name,)


def test_scores_are_added_up() -> None:
    """Check that two scorers that disagree are weighed."""
    workers = [make_worker(0), make_worker(1)]
    group = make_group(pools.step(gpus=2))
    first = FixedScorer({workers[0].name: 0.3})
    second = FixedScorer({workers[1].name: 0.6})
    assert choose(group, workers, first) == (workers[1].name,)
    assert choose(group, workers, first, second) == (workers[0].name,)


def test_small_differences_leave_the_order_to_best_fit() -> None:
    """Check that a score within a step's half changes nothing."""
    tight, roomy = make_worker(0, gpus=2), make_worker(1)
    group = make_group(pools.step(gpus=2))
    slower = FixedScorer({tight.name: 0.04})
    assert choose(group, [tight, roomy], slower) == (tight.name,)


def test_scores_never_refuse_a_worker() -> None:
    """Check that the only worker with room is used at any score."""
    worker = make_worker(0)
    group = make_group(pools.step(gpus=8))
    slow = FixedScorer({worker.name: 100.0})
    assert choose(group, [worker], slow) == (worker.name,)


def test_avoided_and_reserved_workers_come_after_slow_ones() -> None:
    """Check that scores decide only among equally usable workers."""
    avoided, reserved, slow = (make_worker(number) for number in range(3))
    group = make_group(pools.step(gpus=8))
    group.avoid_worker(avoided.name)
    chosen = choose(
        group,
        [avoided, reserved, slow],
        FixedScorer({slow.name: 5.0}),
        reserved_gpus={reserved.name: 8},
    )
    assert chosen == (slow.name,)


@pytest.mark.parametrize("gpus", [1, 4, 8])
def test_neutral_scores_change_no_choice(gpus: int) -> None:
    """Check that a scorer without an opinion leaves the choice as it was."""
    workers = [make_worker(number, gpus=8 - number % 3) for number in range(6)]
    group = make_group(pools.step(gpus=gpus))
    assert choose(group, workers) == choose(group, workers, FixedScorer({}))
