"""What the decisions do with a queue, case by case, under the emulator."""

import functools
from typing import Any

from bench import emulator
from kingcuplever import messages
from kingcuplever.process import ledger as ledgers
from kingcuplever.process import usage
from kingcuplever import records
from kingcuplever import shapes
import pytest
from tests import test_scheduling_invariants as cases


def wait_of(world: emulator.Emulation, name: str) -> float:
    """Give the seconds from a job's acceptance to its first start."""
    job = world.schedule.jobs[name]
    assert job.started_ms, f"{name} has not started"
    return (job.started_ms - job.submitted_ms) / 1000


def _intend(world: emulator.Emulation, intent: records.Intent) -> None:
    assert not world.intend(intent)


def fill(world: emulator.Emulation, gpus: int, seconds: float) -> None:
    """Take every accelerator with batch work of one size."""
    for number in range(6 * 8 // gpus):
        name = f"fill-{number}"
        assert not world.intend(cases.job(name, "b", 1, gpus, seconds))
    world.run_until(world.now + 3.0)


def test_urgent_work_moves_the_least_batch_work() -> None:
    world = cases.started()
    fill(world, 4, 300.0)
    urgent = cases.job("alert", "b", 1, 1, 2.0, priority="urgent")
    assert not world.intend(urgent)
    world.run_until(world.now + 20.0)
    assert wait_of(world, "alert") < 7.9
    moved = [j for j in world.schedule.jobs.values() if j.evictions]
    assert len(moved) == 1


def test_urgent_work_does_not_move_urgent_work() -> None:
    world = cases.started()
    for number in range(6):
        name = f"u{number}"
        busy = cases.job(name, "b", 1, 8, 60.0, priority="urgent")
        assert not world.intend(busy)
    world.run_until(world.now + 3.0)
    assert not world.intend(
        cases.job("alert", "b", 1, 1, 2.0, priority="urgent")
    )
    world.run_until(world.now + 20.0)
    assert world.schedule.jobs["alert"].phase == "queued"
    evictions = [j.evictions for j in world.schedule.jobs.values()]
    assert sum(evictions) == 0


def test_large_job_is_not_starved_by_small_ones() -> None:
    world = cases.started()
    fill(world, 1, 20.0)
    assert not world.intend(cases.job("large", "b", 3, 8, 10.0))
    # Small jobs keep coming, more than there is room for.
    for number in range(600):
        at = world.now + number * 0.25
        name = f"small-{number}"
        intent = cases.job(name, "b", 1, 1, 20.0)
        world.at(at, functools.partial(_intend, world, intent))
    world.run_until(world.now + 150.0)
    assert world.schedule.jobs["large"].started_ms


def test_account_and_team_stay_within_their_limits() -> None:
    world = cases.started()
    spec = shapes.AccountSpec(
        "c", "here", max_gpus=8, teams={"night": 4, "day": 8}
    )
    assert not world.intend(records.Intent("account", spec))
    world.run_until(world.now + 0.1)
    for number in range(8):
        intent = cases.job(f"n{number}", "c", 1, 2, 30.0)
        assert intent.job is not None
        team = "night" if number < 4 else "day"
        job = intent.job._replace(team=team)
        assert not world.intend(records.Intent("job", job=job))
    most = 0
    most_night = 0
    for _ in range(40):
        world.run_until(world.now + 1.0)
        account = world.schedule.accounts["c"]
        most = max(most, account.gpus_in_use)
        most_night = max(most_night, account.team_gpus.get("night", 0))
    assert most == 8
    assert most_night == 4


@pytest.mark.parametrize(
    ("intent", "reason"),
    [
        (cases.job("x", "b", 1, 16), "nearest shape is 8 accelerators"),
        (cases.job("x", "b", 7, 8), "the nearest is 6 tasks"),
        (cases.job("x", "b", 200, 1), "allowed: 1 to 128"),
        (cases.job("x", "nobody", 1, 1), "Account nobody is unknown"),
    ],
)
def test_job_that_can_never_run_is_refused(
    intent: records.Intent, reason: str
) -> None:
    world = cases.started()
    assert reason in world.intend(intent)
    assert world.schedule.jobs == {}


def test_guarantee_beyond_the_fleet_is_refused_with_numbers() -> None:
    world = cases.started()
    refusal = world.intend(cases.account("c", ("worker", 5)))
    assert "5 adjacent worker cells asked, 3 can be kept" in refusal
    assert "c" not in world.schedule.accounts


def test_shortfall_is_stated_when_workers_are_lost() -> None:
    world = cases.started()
    for name in ("w3", "w4", "w5"):
        world.crash_side(name, 1000.0)
    world.run_until(world.now + 20.0)
    assert world.schedule.accounts["a"].bound[0].missing == 0
    for name in ("w0", "w1"):
        world.crash_side(name, 1000.0)
    world.run_until(world.now + 20.0)
    missing = [b.missing for b in world.schedule.accounts["a"].bound]
    assert sum(missing) > 0


def state_of(**used: Any) -> messages.TaskState:
    task = messages.TaskState("j", 1, 0, messages.RUNNING, "", 0.0, 0.0, 0.0)
    return task._replace(**used)


@pytest.mark.parametrize(
    ("used", "stops"),
    [
        ({"cores_used": 4.5}, []),
        ({"cores_used": 9.0}, [False]),
        ({"memory_used_gb": 100.0}, []),
        ({"memory_used_gb": 260.0}, [True]),
    ],
)
def test_usage_beats_the_declaration(
    used: dict[str, float], stops: list[bool]
) -> None:
    ledger = ledgers.Ledger()
    ledger.set_worker(cases.workers(1)[0], True)
    shape = shapes.TaskShape(1, 4.0, 8.0)
    slot = shapes.Slot("w0", 1)
    ledger.hold(ledgers.Holding("j", 1, 0, slot, shape))
    watch = usage.UsageWatch()
    room = ledger.workers["w0"]
    found = list(watch.check(room, (state_of(**used),), 1.2))
    assert [finding.stop for finding in found] == stops
    if stops == [False]:
        assert not list(watch.check(room, (state_of(**used),), 1.2))
