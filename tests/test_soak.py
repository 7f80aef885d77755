"""The fault soak: its checks see what they are for, and a short run holds."""

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


def told(state: str = "completed") -> clients.TrackedJob:
    """Give a caller whose job was accepted at 10 and shown at 20."""
    body = {
        "Spec": json.dumps({"seconds": 1.0, "gpus": clients.GPUS_PER_TASK})
    }
    caller = clients.TrackedJob(JOB, body)
    caller.accepted_at = 10.0
    caller.only_refused = False
    caller.observed_states = [(12.0, "running"), (20.0, state)]
    return caller


def ran(
    run_number: int = 1, worker: int = 0, at: float = 11.0
) -> judge.ObservedRun:
    """Give a run of a second."""
    return judge.ObservedRun(
        worker, TASK, run_number, clients.GPUS_PER_TASK, "done", at, at + 1.0
    )


def seen(*callers: clients.TrackedJob) -> judge.Observation:
    """Give a sound observation."""
    noted = wire_worker.AcknowledgedEnd(TASK, 1, "done", 12.1)
    return judge.Observation(callers or (told(),), (ran(),), (noted,))


def test_sound_observation_breaks_nothing() -> None:
    assert judge.find_broken_promises(seen()) == []


def refused(before: judge.Observation) -> judge.Observation:
    caller = told()
    caller.accepted_at = 0.0
    caller.only_refused = True
    return before._replace(jobs=(caller,))


def cancelled(before: judge.Observation) -> judge.Observation:
    caller = told("cancelled")
    caller.cancel_sent_at = caller.cancel_acknowledged_at = 10.5
    late = ran()._replace(ended_at=10.5 + judge.MAX_CANCEL_S + 1.0)
    return before._replace(jobs=(caller,), runs=(late,))


@pytest.mark.parametrize(
    ("change", "rule"),
    [
        (lambda s: s._replace(jobs=(told("running"),)), "LOST"),
        (lambda s: s._replace(jobs=(told("gone"),)), "LOST"),
        (refused, "REFUSED"),
        (lambda s: s._replace(jobs=()), "UNASKED"),
        (lambda s: s._replace(runs=(ran()._replace(gpus=1),)), "UNASKED"),
        (cancelled, "UNASKED"),
        (lambda s: s._replace(runs=(ran(), ran(2, 1, 11.5))), "TWICE"),
        (lambda s: s._replace(runs=(ran(), ran(2, 1, 13.0))), "TWICE"),
        (lambda s: s._replace(runs=(ran()._replace(ended_at=25.0),)), "MIXED"),
        (
            lambda s: s._replace(
                runs=tuple(
                    ran()._replace(task=f"{JOB}.0.0.{n}") for n in range(3)
                )
            ),
            "LIMIT",
        ),
    ],
)
def test_broken_promise_is_seen(change: Change, rule: str) -> None:
    broken = judge.find_broken_promises(change(seen()))
    assert any(line.startswith(rule) for line in broken), broken


def test_plan_of_a_seed_is_the_same_each_time() -> None:
    assert faults.plan_faults(7, 20.0) == faults.plan_faults(7, 20.0)
    kinds = {
        f.kind for seed in range(60) for f in faults.plan_faults(seed, 20.0)
    }
    assert kinds == set(faults.KINDS)


@pytest.mark.parametrize("seed", [4])
def test_short_run_holds(seed: int, tmp_path: pathlib.Path) -> None:
    shape = run.Shape(entries=2, sides=3, seconds=8.0)
    result = run.run_seed(seed, shape, str(tmp_path))
    assert result.broken_promises == ()
    assert result.completed
