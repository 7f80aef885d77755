"""Scheduling over real processes that are killed, frozen and cut off.

Each test compares what the workers really ran with what was claimed.
"""

import time
from typing import Any

from standins import fleet as fleets
from tests import conftest


def owner_of(fleet: fleets.Fleet, entry: str = "") -> str:
    """Give the entry that owns the data centre's scheduling."""
    rows = fleet.rows("owners", entry)
    return str(rows[0]["owner"])


def other_entry(fleet: fleets.Fleet, entry: str) -> str:
    """Give an entry that is not this one."""
    return next(name for name in fleet.options.entry if name != entry)


def check_gangs_whole(fleet: fleets.Fleet, tasks_of: dict[str, int]) -> None:
    """No part of a gang ran without the rest for longer than a lease.

    A member that is started late or stopped late is alone for no longer
    than the task lease and the orders' way.
    """
    bound_s = fleet.options.timing.task_lease_ms / 1000 + 1.0
    attempts: dict[str, list[dict[str, Any]]] = {}
    for task in fleet.task_truth():
        attempt = task["id"].rpartition(".")[0]
        attempts.setdefault(attempt, []).append(task)
    for attempt, members in attempts.items():
        job = attempt.rpartition(".")[0]
        starts = [member["started_at"] for member in members]
        ends = [member["ended_at"] or time.time() for member in members]
        if len(members) < tasks_of[job]:
            assert max(ends) - min(starts) <= bound_s, members
            continue
        assert max(starts) - min(starts) <= bound_s, members
        stopped = [m["phase"] in ("stopped", "failed") for m in members]
        if any(stopped):
            assert max(ends) - min(ends) <= bound_s, members


def check_alone(fleet: fleets.Fleet) -> None:
    """No accelerator ran two tasks at once."""
    tasks = fleet.task_truth()
    for number, one in enumerate(tasks):
        for other in tasks[number + 1 :]:
            if one["worker"] != other["worker"]:
                continue
            if not one["gpu_mask"] & other["gpu_mask"]:
                continue
            one_end = one["ended_at"] or time.time()
            other_end = other["ended_at"] or time.time()
            apart = (
                one_end <= other["started_at"]
                or other_end <= one["started_at"]
            )
            assert apart, (one, other)


def test_owner_killed_with_a_gang_running(fleet: fleets.Fleet) -> None:
    conftest.set_account(fleet, "maps", (("worker", 2),))
    conftest.submit(fleet, "map", "maps", tasks=2, seconds=6.0)
    conftest.wait_job(fleet, "map", "running")
    owner = owner_of(fleet)
    left = other_entry(fleet, owner)
    fleet.kill(owner)
    row = conftest.wait_job(fleet, "map", "ended", left)
    assert row["outcome"] == "done"
    assert owner_of(fleet, left) == left
    check_gangs_whole(fleet, {"map": 2})
    check_alone(fleet)


def test_owner_paused_past_its_lease_and_resumed(fleet: fleets.Fleet) -> None:
    conftest.set_account(fleet, "maps", (("worker", 1),))
    owner = owner_of(fleet)
    left = other_entry(fleet, owner)
    fleet.pause(owner)
    fleets.wait_until(lambda: owner_of(fleet, left) == left, "takeover")
    intent = conftest.job_intent("map", "maps", tasks=2, seconds=2.0)
    assert fleet.intend(intent, left)[0] == 200
    conftest.wait_job(fleet, "map", "running", left)
    fleet.resume(owner)
    row = conftest.wait_job(fleet, "map", "ended", left)
    assert row["outcome"] == "done"
    assert len(fleet.task_truth()) == 2 * row["attempt"]
    fleets.wait_until(
        lambda: owner_of(fleet, owner) == left, "the old owner learns of it"
    )
    check_gangs_whole(fleet, {"map": 2})
    check_alone(fleet)


def test_log_down_during_commit(fleet: fleets.Fleet) -> None:
    conftest.set_account(fleet, "maps", (("worker", 1),))
    conftest.submit(fleet, "first", "maps", tasks=1, seconds=8.0)
    conftest.wait_job(fleet, "first", "running")
    fleet.control(fleet.options.log.address, mode="down")
    status, answer = fleet.operate(
        "POST", "/v1/intents", conftest.job_intent("late", "maps")
    )
    assert status == 503
    assert answer["code"] == "LOG_UNAVAILABLE"
    time.sleep(2 * fleet.options.timing.task_lease_ms / 1000)
    # What runs goes on, and requests need no log.
    assert len(conftest.running_tasks(fleet, "first")) == 1
    assert conftest.call_desk(fleet, "e1", "r1", key="k1").status == 200
    fleet.control(fleet.options.log.address, mode="up")
    assert conftest.wait_job(fleet, "first", "ended")["outcome"] == "done"
    check_alone(fleet)


def test_answers_to_appends_lost_after_effect(fleet: fleets.Fleet) -> None:
    conftest.set_account(fleet, "maps", (("worker", 1),))
    fleet.control(fleet.options.log.address, swallow_next=4)
    intent = conftest.job_intent("map", "maps", tasks=2, seconds=1.0)
    status, answer = fleet.intend(intent)
    assert status == 200, answer
    row = conftest.wait_job(fleet, "map", "ended")
    assert row["outcome"] == "done"
    assert len(fleet.task_truth()) == 2
    check_alone(fleet)


def test_side_killed_between_reserve_and_go(fleet: fleets.Fleet) -> None:
    """The log holds the commit back, so that the kill comes before the go."""
    conftest.set_account(fleet, "maps", (("worker", 1),))
    conftest.submit(fleet, "map", "maps", tasks=2, seconds=2.0)
    log = fleet.options.log.address
    fleets.wait_until(
        lambda: "Reserve of map#1: taken" in sides_log(fleet), "reserved"
    )
    fleet.control(log, mode="slow", delay_s=1.0)
    victim = next(
        name
        for name in fleet.options.side
        if "Reserve of map#" in fleet.log_of(name)
    )
    fleet.kill(victim)
    fleet.control(log, mode="up")
    time.sleep(1.0)
    fleet.start(victim)
    row = conftest.wait_job(fleet, "map", "ended")
    assert row["outcome"] == "done"
    check_gangs_whole(fleet, {"map": 2})
    check_alone(fleet)


def sides_log(fleet: fleets.Fleet) -> str:
    return "".join(fleet.log_of(name) for name in fleet.options.side)


def test_side_killed_for_good_stops_the_whole_gang(
    fleet: fleets.Fleet,
) -> None:
    conftest.set_account(fleet, "maps", (("worker", 2),))
    conftest.submit(fleet, "map", "maps", tasks=2, seconds=4.0)
    row = conftest.wait_job(fleet, "map", "running")
    fleet.kill(row["workers"].split(", ")[0])
    row = conftest.wait_job(fleet, "map", "ended")
    assert row["outcome"] == "done"
    assert row["attempt"] > 1
    check_gangs_whole(fleet, {"map": 2})
    check_alone(fleet)


def test_paused_side_stops_the_gang_and_never_revives_it(
    fleet: fleets.Fleet,
) -> None:
    conftest.set_account(fleet, "maps", (("worker", 2),))
    conftest.submit(fleet, "map", "maps", tasks=2, seconds=4.0)
    row = conftest.wait_job(fleet, "map", "running")
    victim = row["workers"].split(", ")[0]
    fleet.pause(victim)
    time.sleep(3 * fleet.options.timing.task_lease_ms / 1000)
    fleet.resume(victim)
    row = conftest.wait_job(fleet, "map", "ended")
    assert row["outcome"] == "done"
    check_gangs_whole(fleet, {"map": 2})
    check_alone(fleet)


def test_worker_that_fails_everything_is_quarantined(
    fleet: fleets.Fleet,
) -> None:
    conftest.set_account(fleet, "species")
    bad = fleet.plan.workers[0]
    fleet.control(bad.address, fails_all=True)
    for number in range(9):
        conftest.submit(fleet, f"s{number}", "species", seconds=0.5, gpus=8)
    for number in range(9):
        conftest.wait_job(fleet, f"s{number}", "ended")
    rows = {row["worker"]: row for row in fleet.rows("workers")}
    assert rows[bad.name]["status"] == "quarantined"
    outcomes = [row["outcome"] for row in fleet.rows("jobs")]
    assert outcomes.count("done") == 9


def test_job_that_always_fails_is_given_up(fleet: fleets.Fleet) -> None:
    conftest.set_account(fleet, "species")
    payload = '{"seconds": 5, "fails": true}'
    conftest.submit(fleet, "bad", "species", payload=payload)
    row = conftest.wait_job(fleet, "bad", "ended")
    assert row["outcome"] == "failed"
    assert row["failures"] == 3
    rows = fleet.rows("workers")
    assert all(row["status"] == "up" for row in rows)


def test_guarantee_is_reclaimed_from_borrowers(fleet: fleets.Fleet) -> None:
    conftest.set_account(fleet, "maps", (("worker", 2),))
    conftest.set_account(fleet, "species")
    for number in range(3):
        conftest.submit(fleet, f"s{number}", "species", seconds=30.0)
    for number in range(3):
        conftest.wait_job(fleet, f"s{number}", "running")
    asked = time.time()
    conftest.submit(fleet, "map", "maps", tasks=2, seconds=1.0)
    conftest.wait_job(fleet, "map", "running")
    took_s = min(
        task["started_at"]
        for task in fleet.task_truth()
        if task["id"].startswith("map.")
    )
    assert took_s - asked < 5.0
    assert conftest.wait_job(fleet, "map", "ended")["outcome"] == "done"
    evicted = [row for row in fleet.rows("jobs") if row["evictions"]]
    assert len(evicted) == 2
    check_alone(fleet)


def test_wave_of_cancellations(fleet: fleets.Fleet) -> None:
    conftest.set_account(fleet, "species")
    for number in range(20):
        conftest.submit(fleet, f"s{number}", "species", gpus=2, seconds=60.0)
    for number in range(20):
        status, answer = fleet.intend({"kind": "stop", "stop": f"s{number}"})
        assert status == 200, answer
    for number in range(20):
        row = conftest.wait_job(fleet, f"s{number}", "ended")
        assert row["outcome"] == "stopped"
    running = [t for t in fleet.task_truth() if t["phase"] == "running"]
    assert running == []


def test_retention_passed_while_an_entry_was_away(
    fleet: fleets.Fleet,
) -> None:
    conftest.set_account(fleet, "maps", (("worker", 1),))
    fleet.control(fleet.options.log.address, keep=300)
    owner = owner_of(fleet)
    away = other_entry(fleet, owner)
    fleet.kill(away)
    for number in range(120):
        name = f"s{number}"
        assert fleet.intend(conftest.job_intent(name, "maps"), owner)[0] == 200
        status, _ = fleet.intend({"kind": "stop", "stop": name}, owner)
        assert status in (200, 422)
    fleets.wait_until(
        lambda: fleet.rows("owners", owner)[0]["offset"] > 560, "many records"
    )
    fleet.start(away)
    fleet.wait_ready(away)
    want = fleet.rows("accounts", owner)
    fleets.wait_until(
        lambda: fleet.rows("accounts", away) == want,
        "the entry starts over from a snapshot",
    )
    assert "starts from a snapshot" in fleet.log_of(away)
