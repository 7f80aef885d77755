"""The soak test: its checks detect violations, and a short run passes."""

from collections.abc import Callable
import json
import pathlib

import pytest
from soak import clients
from soak import faults
from soak import judge
from soak import run
from standins import wire_worker

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
Change = Callable[[judge.Observation], judge.Observation]


def make_caller(state: str = "completed") -> clients.TrackedJob:
    """Return a caller whose job was accepted at 10 and ended at 20."""
    body = {
        "Spec": json.dumps({"seconds": 1.0, "gpus": clients.GPUS_PER_TASK}),
        "Steps": [{"Count": 1}],
    }
    caller = clients.TrackedJob(JOB, body)
    caller.accepted_at = 10.0
    caller.only_refused = False
    caller.observed_states = [(12.0, "running"), (20.0, state)]
    return caller


def make_run(
    run_number: int = 1, worker: int = 0, at: float = 11.0
) -> judge.ObservedRun:
    """Return a run that takes one second."""
    return judge.ObservedRun(
        worker, TASK, run_number, clients.GPUS_PER_TASK, "done", at, at + 1.0
    )


def make_observation(*callers: clients.TrackedJob) -> judge.Observation:
    """Return an observation in which every promise holds."""
    acknowledged = wire_worker.AcknowledgedEnd(TASK, 1, "done", 12.1)
    return judge.Observation(
        callers or (make_caller(),), (make_run(),), (acknowledged,)
    )


def test_valid_observation_breaks_no_promise() -> None:
    assert judge.find_broken_promises(make_observation()) == []


def add_false_refusal(observation: judge.Observation) -> judge.Observation:
    caller = make_caller()
    caller.accepted_at = 0.0
    caller.only_refused = True
    return observation._replace(jobs=(caller,))


def add_late_stop(observation: judge.Observation) -> judge.Observation:
    caller = make_caller("cancelled")
    caller.cancel_sent_at = caller.cancel_acknowledged_at = 10.5
    late = make_run()._replace(ended_at=10.5 + judge.MAX_CANCEL_S + 1.0)
    return observation._replace(jobs=(caller,), runs=(late,))


def add_occurrence(observation: judge.Observation) -> judge.Observation:
    (caller,) = observation.jobs
    caller.body["Times"] = 2
    return observation


def add_lasting_job(observation: judge.Observation) -> judge.Observation:
    caller = make_caller("running")
    caller.body["Steps"] = [{"Count": 1, "LongRunning": True}]
    return observation._replace(jobs=(caller,))


def swap_steps(observation: judge.Observation) -> judge.Observation:
    (caller,) = observation.jobs
    caller.body["Steps"] = [{"Count": 1}, {"Count": 1, "After": [0]}]
    early = make_run(at=11.5)._replace(task=f"{JOB}.0.1.0", worker=1)
    return observation._replace(runs=(make_run(), early))


def start_before_acknowledgement(
    observation: judge.Observation,
) -> judge.Observation:
    late = observation.acknowledged_ends[0]._replace(at=15.0)
    return observation._replace(
        runs=(make_run(), make_run(2, 1, 13.0)), acknowledged_ends=(late,)
    )


@pytest.mark.parametrize(
    ("change", "rule"),
    [
        (add_occurrence, "MIXED"),
        (add_lasting_job, "LOST"),
        (swap_steps, "ORDER"),
        (start_before_acknowledgement, "TWICE"),
        (lambda s: s._replace(jobs=(make_caller("running"),)), "LOST"),
        (lambda s: s._replace(jobs=(make_caller("gone"),)), "LOST"),
        (add_false_refusal, "REFUSED"),
        (lambda s: s._replace(jobs=()), "UNASKED"),
        (lambda s: s._replace(runs=(make_run()._replace(gpus=1),)), "UNASKED"),
        (add_late_stop, "UNASKED"),
        (
            lambda s: s._replace(runs=(make_run(), make_run(2, 1, 11.5))),
            "TWICE",
        ),
        (
            lambda s: s._replace(runs=(make_run(), make_run(2, 1, 13.0))),
            "TWICE",
        ),
        (
            lambda s: s._replace(runs=(make_run()._replace(ended_at=25.0),)),
            "MIXED",
        ),
        (
            lambda s: s._replace(
                runs=tuple(
                    make_run()._replace(task=f"{JOB}.0.0.{n}")
                    for n in range(3)
                )
            ),
            "LIMIT",
        ),
    ],
)
def test_broken_promise_is_detected(change: Change, rule: str) -> None:
    broken = judge.find_broken_promises(change(make_observation()))
    assert any(line.startswith(rule) for line in broken), broken


def test_seed_always_gives_the_same_faults() -> None:
    assert faults.plan_faults(7, 20.0) == faults.plan_faults(7, 20.0)
    kinds = {
        f.kind for seed in range(60) for f in faults.plan_faults(seed, 20.0)
    }
    assert kinds == set(faults.KINDS)


@pytest.mark.parametrize("seed", [4])
def test_short_run_breaks_no_promise(
    seed: int, tmp_path: pathlib.Path
) -> None:
    shape = run.Shape(entries=2, sides=3, seconds=8.0)
    result = run.run_seed(seed, shape, str(tmp_path))
    assert result.broken_promises == ()
    assert result.completed
