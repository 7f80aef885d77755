"""The ``evidence`` command: replays the records and prints verdicts."""

import argparse
import json
from typing import Any
from typing import Final

import trio

from kingcuplever import clock
from kingcuplever.command import tables
from kingcuplever.connection import http_client
from kingcuplever import plain
from kingcuplever.platform import clients
from kingcuplever.process import evidence_audit
from kingcuplever.process.stored import evidence_records
from kingcuplever.version import configuration

EXIT_KEPT: Final = 0
EXIT_BROKEN: Final = 1

_TIMEOUT_S: Final = 20.0
# Promises on requests leave no record for each request.
_UNRECORDED_PROMISES: Final = (
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
    parser = commands.add_parser(
        "evidence",
        parents=[common],
        help="replay the records; say for each promise kept or broken",
    )
    parser.add_argument(
        "--store",
        default="",
        metavar="IP:PORT",
        help="read the platform's store itself, without any entry",
    )
    parser.add_argument(
        "--reclaim-ms",
        type=int,
        default=configuration.SchedulingConfig().reclaim_ms,
        help="with --store: bound on a reclaim that was promised",
    )


def read_batches(address: str, reclaim_ms: int) -> dict[str, Any]:
    """Read the records where they lie.

    :raises errors.KingcupleverError: if the store gives no answer.
    """

    async def read() -> list[str]:
        async with http_client.HttpClient(address, _TIMEOUT_S) as client:
            log = clients.FACTORIES.make_log(client)
            found = await log.read_snapshot(evidence_records.TOPIC)
        return [
            stored.value.decode("utf-8", "replace")
            for stored in found.records
            if stored.value is not None
        ]

    return {"batches": trio.run(read), "reclaim_ms": reclaim_ms}


def print_verdicts(parsed: argparse.Namespace, answer: dict[str, Any]) -> int:
    """Print the verdicts on what was read.

    :return: the exit code.
    """
    judgements = replay_batches(answer)
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
                print(f"  batch {finding.number}: {finding.text}")
    broken = any(item.verdict == "broken" for item in judgements)
    return EXIT_BROKEN if broken else EXIT_KEPT


def replay_batches(answer: dict[str, Any]) -> list[evidence_audit.AuditResult]:
    """Judge all promises by what was read."""
    batches = [text.encode() for text in answer["batches"]]
    judgements = evidence_audit.audit(
        batches, int(answer["reclaim_ms"]), clock.wall_ms()
    )
    missing = "no record for each request yet"
    for promise in _UNRECORDED_PROMISES:
        judgements.append(
            evidence_audit.AuditResult(promise, "not provable", 0, (), missing)
        )
    return judgements
