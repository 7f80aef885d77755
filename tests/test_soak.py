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
Change = Callable[[judge.Seen], judge.Seen]


def told(state: str = "completed") -> clients.Told:
    """Give a caller whose job was accepted at 10 and shown at 20."""
    body = {"Spec": json.dumps({"seconds": 1.0, "gpus": clients.GPUS})}
    caller = clients.Told(JOB, body)
    caller.accepted_at = 10.0
    caller.only_refused = False
    caller.states = [(12.0, "running"), (20.0, state)]
    return caller


def ran(run_number: int = 1, worker: int = 0, at: float = 11.0) -> judge.Ran:
    """Give a run of a second."""
    return judge.Ran(
        worker, TASK, run_number, clients.GPUS, "done", at, at + 1.0
    )


def seen(*callers: clients.Told) -> judge.Seen:
    """Give a sound observation."""
    noted = wire_worker.AcknowledgedEnd(TASK, 1, "done", 12.1)
    return judge.Seen(callers or (told(),), (ran(),), (noted,))


def test_sound_observation_breaks_nothing() -> None:
    assert judge.judge(seen()) == []


def refused(before: judge.Seen) -> judge.Seen:
    caller = told()
    caller.accepted_at = 0.0
    caller.only_refused = True
    return before._replace(told=(caller,))


def cancelled(before: judge.Seen) -> judge.Seen:
    caller = told("cancelled")
    caller.cancel_sent_at = caller.cancelled_at = 10.5
    late = ran()._replace(ended_at=10.5 + judge.CANCEL_S + 1.0)
    return before._replace(told=(caller,), ran=(late,))


@pytest.mark.parametrize(
    ("change", "rule"),
    [
        (lambda s: s._replace(told=(told("running"),)), "LOST"),
        (lambda s: s._replace(told=(told("gone"),)), "LOST"),
        (refused, "REFUSED"),
        (lambda s: s._replace(told=()), "UNASKED"),
        (lambda s: s._replace(ran=(ran()._replace(gpus=1),)), "UNASKED"),
        (cancelled, "UNASKED"),
        (lambda s: s._replace(ran=(ran(), ran(2, 1, 11.5))), "TWICE"),
        (lambda s: s._replace(ran=(ran(), ran(2, 1, 13.0))), "TWICE"),
        (lambda s: s._replace(ran=(ran()._replace(ended_at=25.0),)), "MIXED"),
        (
            lambda s: s._replace(
                ran=tuple(
                    ran()._replace(task=f"{JOB}.0.0.{n}") for n in range(3)
                )
            ),
            "LIMIT",
        ),
    ],
)
def test_broken_promise_is_seen(change: Change, rule: str) -> None:
    broken = judge.judge(change(seen()))
    assert any(line.startswith(rule) for line in broken), broken


def test_plan_of_a_seed_is_the_same_each_time() -> None:
    assert faults.plan(7, 20.0) == faults.plan(7, 20.0)
    kinds = {f.kind for seed in range(60) for f in faults.plan(seed, 20.0)}
    assert kinds == set(faults.KINDS)


@pytest.mark.parametrize("seed", [4])
def test_short_run_holds(seed: int, tmp_path: pathlib.Path) -> None:
    shape = run.Shape(entries=2, sides=3, seconds=8.0)
    result = run.run_seed(seed, shape, str(tmp_path))
    assert result.broken == ()
    assert result.completed
