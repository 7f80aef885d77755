"""Intents with extreme values are refused, or can be recorded and carried out.

Each field of each kind of intent takes each value.  What a plan of the owner
accepts must fit the log, be read back, and be scheduled.
"""

import json
from typing import Any

from kingcuplever.connection import http_server
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import intents
from kingcuplever import plain
from kingcuplever.platform import store
from kingcuplever.process.owner import planner
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import intent_records
from kingcuplever.process.stored import job_records
import pytest

from tests import pool as pools
from tests import test_accounts as accounts
from tests import test_platform_input as inputs

LIMITS = keyed_log.USUAL_LIMITS
ACCOUNT: dict[str, Any] = {
    "account": "rosters",
    "data_centre": "hall",
    "guarantees": [{"level": "pair", "cells": 1}],
    "max_gpus": 16,
    "teams": {"night": 8},
}
JOB: dict[str, Any] = {
    "job": "roster",
    "account": "maps",
    "data_centre": "hall",
    "tasks": 2,
    "shape": {"gpus": 1, "cores": 2.0, "memory_gb": 4.0},
    "declared_s": 9.0,
    "priority": "urgent",
    "team": "night",
    "payload": "{}",
}
INTENTS: dict[str, dict[str, Any]] = {
    "account": {"kind": "account", "account": ACCOUNT},
    "job": {"kind": "job", "job": JOB},
    "stop": {"kind": "stop", "stop": "roster"},
    "evacuation": {
        "kind": "evacuation",
        "evacuation": {"data_centre": "hall", "evacuated": True},
    },
    "config": {
        "kind": "config",
        "config": {
            "scheduling": {"reclaim_ms": 5000, "probation_s": 60.0},
            "services": {"desk": {"connections": 60}},
            "limits": {"farrier": {"requests_per_s": 5.0, "burst": 20}},
        },
    },
}
EXTREMES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    2**31,
    2**63,
    10**30,
    10**400,
    -1.0,
    1e-320,
    1e308,
    float("inf"),
    float("nan"),
    "",
    "a/b",
    "x" * 300,
    "x" * 300_000,
    [],
    {},
    [[]] * 1000,
    {"x" * 300: 1},
    json.loads("[" * 300 + "]" * 300),
)


def make_records(
    intent: intents.Intent, inputs_of: Any
) -> list[keyed_log.KeyedRecord]:
    """Make the records of a plan and of what it changes."""
    draft = planner.draft(inputs_of, intent)
    plan = intents.Plan(
        "p",
        intent,
        1,
        draft.effects,
        draft.refusal,
        draft.forecast,
        "rania",
        "refused" if draft.refusal else "open",
    )
    records = [intent_records.encode_plan(plan)]
    if draft.refusal:
        return records
    if intent.account is not None:
        records.append(intent_records.encode_account(intent.account))
    elif intent.job is not None:
        spec = planner.make_job(intent.job, "p", 3, 0, True)
        records.append(job_records.encode_submission(intent.job.job, spec))
    elif intent.evacuation is not None:
        records.append(intent_records.encode_evacuation(intent.evacuation))
    elif intent.kind == "config":
        config = intent_records.Config(2, intent.config or {})
        records.append(intent_records.encode_config(config))
    return records


def carry_out(records: list[keyed_log.KeyedRecord]) -> None:
    """Have a pool of its own do what the records say."""
    pool = accounts.start_pool()
    pool.append(records)
    specs = tuple(pool.table.intents.accounts.values())
    pool.scheduler.set_policy(model.Policy(1, pools.QUEUES, {}, specs))
    pool.fail_over()
    pool.scheduler.set_policy(model.Policy(1, pools.QUEUES, {}, specs))
    pool.advance_time(1.0)


# Guards against an intent that is planned, and ends the term of the owner, or
# of each owner to come, once it is confirmed.
@pytest.mark.parametrize("kind", INTENTS)
def test_extreme_intent_is_refused_or_carried_out(kind: str) -> None:
    maps = accounts.make_account("maps", teams={"night": 8})
    planner_input = accounts.make_planner_input(
        accounts.start_pool(maps), maps
    )
    for path in inputs.list_paths(INTENTS[kind]):
        for value in EXTREMES:
            document = inputs.replace_value(INTENTS[kind], path, value)
            try:
                parsed = http_server.parse_json(json.dumps(document).encode())
                intent = plain.from_plain(intents.Intent, parsed, "intent")
            except (errors.InvalidRequest, plain.ValidationError):
                continue
            records = make_records(intent, planner_input)
            if LIMITS.explain_excess(records):
                # The operator is told so.
                continue
            for record in records:
                assert store._encode_record(record)
                stored = keyed_log.StoredRecord(0, record.key, record.value)
                job_records.decode_record(stored)
            if len(records) > 1:
                carry_out(records)
