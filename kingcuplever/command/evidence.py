"""The ``evidence`` command: replays an entry's records and prints verdicts."""

import argparse
import json
import time
from typing import Any
from typing import Final

from kingcuplever.command import tables
from kingcuplever import errors
from kingcuplever import plain
from kingcuplever.process import evidence
from kingcuplever.process import snapshots
from kingcuplever.process import state
from kingcuplever import records
from kingcuplever.version import configuration

EXIT_KEPT: Final = 0
EXIT_BROKEN: Final = 1

# Promises on requests leave no record for each request.
_UNRECORDED: Final = (
    "each caller gets the whole answer to its own request",
    "a request said to be not run did not run",
    "a request that is not idempotent runs at most once",
    "a draining target gets no new work, and nothing is cut",
)


def add_parser(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    common: argparse.ArgumentParser,
) -> None:
    """Add the subcommand."""
    commands.add_parser(
        "evidence",
        parents=[common],
        help="replay the records; say for each promise kept or broken",
    )


def show(parsed: argparse.Namespace, answer: dict[str, Any]) -> int:
    """Print the verdicts on what an entry gave.

    :return: the exit code.
    """
    judgements = judge(answer)
    if parsed.json:
        print(json.dumps([plain.to_plain(item) for item in judgements]))
    else:
        rows = [
            {
                "promise": item.promise,
                "verdict": item.verdict,
                "checked": item.checked,
                "missing": item.missing,
            }
            for item in judgements
        ]
        columns = ("promise", "verdict", "checked", "missing")
        print(tables.render(rows, columns))
        for item in judgements:
            for finding in item.findings:
                place = f"{finding.stream}@{finding.offset}"
                print(f"  {place}: {finding.text}")
    broken = any(item.verdict == "broken" for item in judgements)
    return EXIT_BROKEN if broken else EXIT_KEPT


def judge(answer: dict[str, Any]) -> list[evidence.Judgement]:
    """Judge all streams together, one judgement for each promise."""
    streams = {
        name: (int(stream["first"]), _parse(stream["records"]))
        for name, stream in answer["streams"].items()
    }
    _, config_entries = streams.pop(records.CONFIG_STREAM, (0, []))
    merged: dict[str, evidence.Judgement] = {}
    scheduling = _newest_config(config_entries).scheduling
    now_ms = time.time_ns() // 1_000_000
    for name, (first, entries) in streams.items():
        start, rest = _start(name, first, entries)
        for item in evidence.judge_data_centre(
            name, rest, start, scheduling.reclaim_ms, now_ms
        ):
            _merge(merged, item)
    _merge(
        merged, evidence.judge_config(records.CONFIG_STREAM, config_entries)
    )
    for promise in _UNRECORDED:
        missing = "no record for each request yet"
        judgement = evidence.Judgement(promise, "not provable", 0, (), missing)
        _merge(merged, judgement)
    return list(merged.values())


def _parse(rows: list[dict[str, Any]]) -> list[evidence.Entry]:
    entries = []
    for row in rows:
        record = None
        try:
            record = records.from_text(row["data"])
        except errors.InvalidRequest:
            # It stays in the digest, and is no evidence of anything else.
            record = None
        entries.append(evidence.Entry(row["offset"], row["data"], record))
    return entries


def _start(
    name: str, first: int, entries: list[evidence.Entry]
) -> tuple[state.Schedule, list[evidence.Entry]]:
    """Give the state to begin with, and the records that follow it."""
    empty = state.Schedule(name.removeprefix("dc-"))
    if first == 0:
        return empty, entries
    for entry in entries:
        if entry.record is None:
            continue
        body = entry.record.body
        if isinstance(body, records.Snapshot) and body.offset >= first:
            start = snapshots.read(body)
            rest = [item for item in entries if item.offset >= body.offset]
            return start, rest
    return empty, []


def _newest_config(
    entries: list[evidence.Entry],
) -> configuration.Configuration:
    plans: dict[str, records.Plan] = {}
    newest = configuration.Configuration()
    for entry in entries:
        if entry.record is None:
            continue
        body = entry.record.body
        if isinstance(body, records.Plan):
            plans[body.plan] = body
        elif isinstance(body, records.Confirmation) and body.plan in plans:
            document = plans[body.plan].intent.config
            if document is not None and not plans[body.plan].refusal:
                newest = configuration.parse(document)
    return newest


def _merge(
    merged: dict[str, evidence.Judgement], item: evidence.Judgement
) -> None:
    known = merged.get(item.promise)
    if known is None:
        merged[item.promise] = item
        return
    verdicts = (known.verdict, item.verdict)
    verdict: evidence.Verdict = "not provable"
    if "kept" in verdicts:
        verdict = "kept"
    if "broken" in verdicts:
        verdict = "broken"
    missing = known.missing or item.missing
    merged[item.promise] = evidence.Judgement(
        item.promise,
        verdict,
        known.checked + item.checked,
        known.findings + item.findings,
        missing if verdict == "not provable" else "",
    )
