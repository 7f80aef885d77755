"""The ``evidence`` command: audits the records and prints verdicts."""

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
# Not provable, since single requests leave no records.
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
        help="replay the records and print whether each promise was kept",
    )
    parser.add_argument(
        "--store",
        default="",
        metavar="IP:PORT",
        help="read the platform's store directly, without an entry",
    )
    parser.add_argument(
        "--reclaim-ms",
        type=int,
        default=configuration.SchedulingConfig().reclaim_ms,
        help="with --store: promised time limit of a reclaim",
    )


def read_batches(address: str, reclaim_ms: int) -> dict[str, Any]:
    """Read the evidence batches directly from the store.

    :param address: address of the store, ``host:port``.
    :param reclaim_ms: promised time limit of a reclaim, in milliseconds.
    :return: a document like an entry's response to an evidence request.
    :raises errors.KingcupleverError: if the store can't be read.
    """

    async def read() -> list[str]:
        async with http_client.HttpClient(address, _TIMEOUT_S) as client:
            log = clients.FACTORIES.make_log(client)
            snapshot = await log.read_snapshot(evidence_records.TOPIC)
        return [
            stored.value.decode("utf-8", "replace")
            for stored in snapshot.records
            if stored.value is not None
        ]

    return {"batches": trio.run(read), "reclaim_ms": reclaim_ms}


def print_verdicts(
    parsed: argparse.Namespace, document: dict[str, Any]
) -> int:
    """Print the verdict on each promise.

    :param document: the evidence batches and the time limit of a reclaim.
    :return: the exit code.
    """
    results = replay_batches(document)
    if parsed.json:
        print(json.dumps([plain.to_plain(result) for result in results]))
    else:
        rows = [
            {
                "promise": result.promise,
                "verdict": result.verdict,
                "checked": result.checked,
                "missing": result.missing,
            }
            for result in results
        ]
        columns = ("promise", "verdict", "checked", "missing")
        print(tables.render(rows, columns))
        for result in results:
            for finding in result.findings:
                print(f"  batch {finding.number}: {finding.text}")
    broken = any(result.verdict == "broken" for result in results)
    return EXIT_BROKEN if broken else EXIT_KEPT


def replay_batches(
    document: dict[str, Any],
) -> list[evidence_audit.AuditResult]:
    """Audit all promises against the evidence batches."""
    batches = [text.encode() for text in document["batches"]]
    results = evidence_audit.audit(
        batches, int(document["reclaim_ms"]), clock.wall_ms()
    )
    missing = "no record for each request yet"
    for promise in _UNRECORDED_PROMISES:
        results.append(
            evidence_audit.AuditResult(promise, "not provable", 0, (), missing)
        )
    return results
