"""Requests, gangs, plans and configurations pass through real processes."""

import json

from standins import fleet as fleets
from tests import conftest


def test_request_reaches_target_and_answer_returns(
    fleet: fleets.Fleet,
) -> None:
    response = conftest.send_request(fleet, "e1", "r1", body=b"x" * 5000)
    assert response.status == 200
    answer = json.loads(response.content)
    assert answer["run"] == "r1"
    assert answer["body"] == "x" * 5000
    assert [row["run"] for row in fleet.list_request_runs()] == ["r1"]


def test_resend_of_a_key_through_another_entry_runs_once(
    fleet: fleets.Fleet,
) -> None:
    first = conftest.send_request(fleet, "e1", "r1", key="k")
    again = conftest.send_request(fleet, "e2", "r1", key="k")
    assert first.status == again.status == 200
    assert first.content == again.content
    assert len(fleet.list_request_runs()) == 1


def test_gang_runs_whole_and_ends(fleet: fleets.Fleet) -> None:
    conftest.set_account(fleet, "rosters", (("worker", 2),))
    conftest.submit_job(fleet, "roster", "rosters", tasks=2, seconds=1.0)
    row = conftest.wait_for_phase(fleet, "roster", "ended")
    assert row["outcome"] == "done"
    tasks = fleet.list_task_runs()
    names = ["roster.0.0.0", "roster.0.0.1"]
    assert sorted(task["id"] for task in tasks) == names
    assert {task["phase"] for task in tasks} == {"done"}
    assert len({task["worker"] for task in tasks}) == 2


# Guards against stand-ins whose gangs end one by one: the end of one member
# stands for all of them, so the job has ended while the others run on.
def test_members_that_start_apart_end_together(fleet: fleets.Fleet) -> None:
    late_worker = fleet.standins.workers[0]
    fleet.control_standin(late_worker.address, start_delay_s=0.5)
    tasks = len(fleet.standins.workers)
    conftest.set_account(fleet, "rosters")
    conftest.submit_job(fleet, "roster", "rosters", tasks=tasks, seconds=1.0)
    conftest.wait_for_phase(fleet, "roster", "ended")
    runs = fleet.list_task_runs()
    assert len(runs) == tasks
    starts = [task["started_at"] for task in runs]
    assert max(starts) - min(starts) > 0.4
    assert {task["phase"] for task in runs} == {"done"}


def test_nothing_changes_before_confirmation(fleet: fleets.Fleet) -> None:
    conftest.set_account(fleet, "rosters")
    intent = conftest.make_job_intent("roster", "rosters")
    status, plan = fleet.call_operator_api("POST", "/v1/intents", intent)
    assert status == 200
    assert fleet.list_status("jobs") == []
    path = f"/v1/plans/{plan['id']}/confirm"
    first = fleet.call_operator_api("POST", path, entry="e2")
    second = fleet.call_operator_api("POST", path)
    assert first == second
    conftest.wait_for_phase(fleet, "roster", "ended")
    assert len(fleet.list_task_runs()) == 1


def test_second_of_two_conflicting_plans_is_stale(
    fleet: fleets.Fleet,
) -> None:
    plans = []
    for account in ("maps", "species"):
        spec = {
            "account": account,
            "data_centre": "jerash",
            "guarantees": [{"level": "worker", "cells": 2}],
        }
        intent = {"kind": "account", "account": spec}
        status, plan = fleet.call_operator_api("POST", "/v1/intents", intent)
        assert status == 200
        plans.append(plan["id"])
    first = fleet.call_operator_api("POST", f"/v1/plans/{plans[0]}/confirm")
    second = fleet.call_operator_api(
        "POST", f"/v1/plans/{plans[1]}/confirm", entry="e2"
    )
    assert first[0] == 200
    assert second[0] == 409
    assert second[1]["code"] == "PLAN_STALE"
    assert "2 adjacent worker cells" in second[1]["newer_plan"]["refusal"]


# Guards against an owner whose term ends by the name of one job, which is too
# long for the key of a record.
def test_long_name_is_refused_and_the_owner_goes_on(
    fleet: fleets.Fleet,
) -> None:
    conftest.set_account(fleet, "rosters")
    epoch = fleet.list_status("owners")[0]["epoch"]
    intent = conftest.make_job_intent("x" * 300, "rosters")
    status, plan = fleet.apply_intent(intent)
    assert status == 422
    assert "100 bytes" in plan["refusal"]
    conftest.submit_job(fleet, "roster", "rosters", seconds=0.5)
    conftest.wait_for_phase(fleet, "roster", "ended")
    assert fleet.list_status("owners")[0]["epoch"] == epoch


def test_configuration_reaches_every_side(fleet: fleets.Fleet) -> None:
    document = {"scheduling": {"reclaim_ms": 4000}}
    status, answer = fleet.apply_intent({"kind": "config", "config": document})
    assert status == 200

    def is_at_every_side() -> bool:
        shown = fleet.call_operator_api("GET", "/v1/config", entry="e2")[1]
        versions = {side["version"] for side in shown["sides"]}
        return versions == {answer["version"]}

    fleets.wait_until(is_at_every_side, "every side has the version")


def test_bad_configuration_is_refused_with_every_fault(
    fleet: fleets.Fleet,
) -> None:
    document = {"scheduling": {"reclaim_ms": "soon"}, "limitz": {}}
    intent = {"kind": "config", "config": document}
    status, plan = fleet.call_operator_api("POST", "/v1/intents", intent)
    assert status == 422
    assert "config.scheduling.reclaim_ms is 'soon'" in plan["refusal"]
    assert "config.limitz is unknown" in plan["refusal"]


def test_processes_drain_and_exit_with_0(fleet: fleets.Fleet) -> None:
    assert fleet.stop("jerash-w1") == 0
    assert fleet.stop("e2") == 0
    assert conftest.send_request(fleet, "e1", "r1").status == 200


def test_entry_started_while_the_log_is_down_has_the_newest_version(
    fleet: fleets.Fleet,
) -> None:
    document = {"scheduling": {"reclaim_ms": 4000}}
    status, answer = fleet.apply_intent({"kind": "config", "config": document})
    assert status == 200

    def is_at_every_side() -> bool:
        shown = fleet.call_operator_api("GET", "/v1/config")[1]
        versions = {side["version"] for side in shown["sides"]}
        return versions == {answer["version"]}

    fleets.wait_until(is_at_every_side, "every side has the version")
    fleet.control_standin(fleet.options.log.address, down=True)
    fleet.kill("e2")
    fleet.start("e2")
    fleet.wait_ready("e2")

    def is_learned() -> bool:
        shown = fleet.call_operator_api("GET", "/v1/config", entry="e2")[1]
        reclaim_ms = shown["config"]["scheduling"]["reclaim_ms"]
        return bool(
            shown["version"] == answer["version"] and reclaim_ms == 4000
        )

    fleets.wait_until(
        is_learned, "the entry learns the version from its sides"
    )
