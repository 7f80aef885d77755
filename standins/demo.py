"""Demonstrates a deployment under failures, in about a minute.

Starts the stand-ins and the product's processes from the deployment's
settings, submits and confirms intents, sends requests while an entry and a
side are killed and a target drains, and prints what was asked and what
happened.
"""

import argparse
import contextlib
import statistics
import subprocess
import sys
import time
from typing import Any
from typing import Final
from typing import NamedTuple

import httpcore
import trio

from kingcuplever.command import tables
from kingcuplever import options
from standins import callers
from standins import fleet as fleets
from standins import wire_worker

_REQUEST_PAUSE_S: Final = 0.03
_WORK_MS: Final = 40


class Scenario(NamedTuple):
    """What the demonstration of a deployment submits.

    :ivar accounts: client account, data centre, cell level and count of cells
        of each guarantee.
    :ivar gang: name of the job whose tasks start together.
    :ivar urgent: account and display name of the urgent requests.
    :ivar at_most_once: account and display name of the requests that must not
        run twice.
    """

    service: str
    accounts: tuple[tuple[str, str, str, int], ...]
    gang: str
    gang_data_centre: str
    urgent: tuple[str, str]
    at_most_once: tuple[str, str]


SCENARIOS: Final = {
    "saddlebrook": Scenario(
        "stable-desk",
        (
            ("rosters", "jerash", "worker", 2),
            ("clinic", "ajloun", "quad", 2),
            ("arena", "irbid", "worker", 1),
            ("paddock", "mafraq", "pair", 2),
        ),
        "season-roster",
        "jerash",
        ("farrier", "farrier slots"),
        ("member", "bookings"),
    ),
    "phulrenu": Scenario(
        "forecast-desk",
        (
            ("maps", "salt-lake", "worker", 2),
            ("species", "howrah", "quad", 2),
            ("outlets", "siliguri", "worker", 1),
            ("archive", "siliguri", "pair", 2),
        ),
        "dawn-map",
        "salt-lake",
        ("outlet", "outlet alerts"),
        ("franchise", "map orders"),
    ),
}


class Line(NamedTuple):
    """One row of the table that is printed at the end."""

    asked: str
    happened: str


class Demo:
    """One run of the demonstration."""

    def __init__(self, fleet: fleets.Fleet, scenario: Scenario) -> None:
        """Prepare a run on a started fleet."""
        self._fleet = fleet
        self._scenario = scenario
        self._lines: list[Line] = []
        self._results: list[callers.CallResult] = []
        self._entries = list(fleet.options.entry)
        self._live_entries = list(self._entries)

    def run(self) -> bool:
        """Run all steps.

        :return: whether the requests' audit is clean and the evidence could
            be audited.
        """
        self._wait_for_workers()
        self._publish_configuration()
        self._declare_guarantees()
        self._submit_gang()
        trio.run(self._send_requests)
        self._wait_for_jobs()
        audit = callers.audit(self._results, self._fleet.list_request_runs())
        self._report_requests(audit)
        self._report_fragmentation()
        print()
        print(tables.render([x._asdict() for x in self._lines], Line._fields))
        print()
        return self._print_evidence() and audit.is_clean

    def _wait_for_workers(self) -> None:
        count = len(self._fleet.options.side)
        self._fleet.wait_for_workers(count)
        self._add_line("start", f"{len(self._entries)} entries, {count} sides")

    def _publish_configuration(self) -> None:
        document = {
            "scheduling": {"reclaim_ms": 4000, "starvation_s": 30.0},
            "services": {self._scenario.service: {"connections": 60}},
        }
        started = time.monotonic()
        status, answer = self._fleet.apply_intent(
            {"kind": "config", "config": document}
        )
        if status != 200:
            raise RuntimeError(f"configuration: {answer}")

        def is_everywhere() -> bool:
            listed = self._fleet.call_operator_api("GET", "/v1/config")[1]
            versions = {side["version"] for side in listed["sides"]}
            return versions == {answer["version"]}

        fleets.wait_until(is_everywhere, "configuration at every side")
        seconds = time.monotonic() - started
        self._add_line(
            f"configuration {answer['version']}",
            f"in force at every side after {seconds:.2f} s",
        )

    def _declare_guarantees(self) -> None:
        for account, data_centre, level, cells in self._scenario.accounts:
            spec = {
                "account": account,
                "data_centre": data_centre,
                "guarantees": [{"level": level, "cells": cells}],
            }
            status, answer = self._fleet.apply_intent(
                {"kind": "account", "account": spec}
            )
            self._add_line(
                f"{account}: {cells} {level} cells in {data_centre},"
                " guaranteed",
                answer.get("decision", answer.get("refusal", "?")),
            )
        self._declare_excess_guarantee()

    def _declare_excess_guarantee(self) -> None:
        account, data_centre, _, _ = self._scenario.accounts[1]
        spec = {
            "account": account,
            "data_centre": data_centre,
            "guarantees": [{"level": "worker", "cells": 50}],
        }
        _, answer = self._fleet.apply_intent(
            {"kind": "account", "account": spec}
        )
        self._add_line(
            f"{account}: 50 workers in {data_centre}",
            answer.get("refusal", "?"),
        )

    def _submit_gang(self) -> None:
        """Fill the gang's guarantee with borrowing jobs, then submit it."""
        scenario = self._scenario
        account = scenario.accounts[0][0]
        borrower = scenario.accounts[1][0]
        data_centre = scenario.gang_data_centre
        # Only accounts of the same data centre can borrow the capacity.
        self._fleet.apply_intent(
            {
                "kind": "account",
                "account": {"account": borrower, "data_centre": data_centre},
            }
        )
        for number in range(6):
            self._submit_job(
                f"small-{number}", borrower, data_centre, 1, 4, 8.0
            )
        fleets.wait_until(
            lambda: {row["phase"] for row in self._list_jobs()} == {"running"},
            "every small job runs",
        )
        self._submit_job(scenario.gang, account, data_centre, 2, 8, 3.0)

    def _submit_job(
        self,
        job: str,
        account: str,
        data_centre: str,
        tasks: int,
        gpus: int,
        seconds: float,
    ) -> None:
        spec = {
            "job": job,
            "account": account,
            "data_centre": data_centre,
            "tasks": tasks,
            "shape": {"gpus": gpus, "cores": gpus * 2.0, "memory_gb": 16.0},
            "declared_s": seconds,
            "payload": wire_worker.make_payload(seconds, tasks, gpus),
        }
        status, answer = self._fleet.apply_intent({"kind": "job", "job": spec})
        if status != 200:
            raise RuntimeError(f"{job}: {answer}")

    async def _send_requests(self) -> None:
        async with httpcore.AsyncConnectionPool(max_connections=200) as pool:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._inject_failures)
                for number in range(300):
                    nursery.start_soon(self._send_request, pool, number)
                    await trio.sleep(_REQUEST_PAUSE_S)

    async def _send_request(
        self, pool: httpcore.AsyncConnectionPool, number: int
    ) -> None:
        urgent = number % 3 == 0
        account, _ = (
            self._scenario.urgent if urgent else self._scenario.at_most_once
        )
        run = callers.make_run_id()
        call = callers.Call(
            self._scenario.service,
            account,
            run,
            key=run,
            priority="urgent" if urgent else "normal",
            timeout_ms=5000,
            work_ms=_WORK_MS,
            body=f"{account} {number}".encode(),
        )
        # As a load balancer does: each attempt goes to the next live entry.
        first = number % len(self._live_entries)
        names = self._live_entries[first:] + self._live_entries[:first]
        addresses = [self._fleet.options.entry[n].callers for n in names]
        self._results += await callers.send_until_answered(
            pool, addresses, call
        )

    async def _inject_failures(self) -> None:
        fleet = self._fleet
        await trio.sleep(2)
        target = fleet.standins.targets[-1]
        await trio.to_thread.run_sync(
            lambda: fleet.control_standin(target.address, draining=True)
        )
        self._add_line(f"drain of {target.name}", "announced")
        await trio.sleep(2)
        victim = self._entries[-1]
        fleet.kill(victim)
        self._live_entries.remove(victim)
        self._add_line(
            f"kill of entry {victim}", "its requests were sent again"
        )
        await trio.sleep(2)
        side = list(fleet.options.side)[-2]
        fleet.kill(side)
        self._add_line(f"kill of side {side}", "its worker counts as lost")

    def _wait_for_jobs(self) -> None:
        def have_ended() -> bool:
            return all(row["phase"] == "ended" for row in self._list_jobs())

        fleets.wait_until(have_ended, "every job ended", 40.0)
        rows = self._list_jobs()
        gang = next(r for r in rows if r["job"] == self._scenario.gang)
        waited_s = (gang["started_ms"] - gang["submitted_ms"]) / 1000
        took_s = (gang["ended_ms"] - gang["submitted_ms"]) / 1000
        self._add_line(
            f"{gang['job']}: gang of {gang['tasks']} on {gang['gpus']}"
            " accelerators",
            f"{gang['outcome']}, started after {waited_s:.1f} s, completed"
            f" after {took_s:.1f} s",
        )
        small = [r for r in rows if r["job"].startswith("small")]
        times = [(r["ended_ms"] - r["submitted_ms"]) / 1000 for r in small]
        evicted = sum(r["evictions"] for r in small)
        self._add_line(
            f"{len(small)} small jobs",
            f"{sum(r['outcome'] == 'done' for r in small)} done, median"
            f" completion {statistics.median(times):.1f} s, {evicted}"
            " evictions for the guarantee",
        )

    def _list_jobs(self) -> list[dict[str, Any]]:
        return self._fleet.list_status("jobs", self._live_entries[0])

    def _report_requests(self, audit: callers.Audit) -> None:
        for priority, (_, name) in (
            ("urgent", self._scenario.urgent),
            ("normal", self._scenario.at_most_once),
        ):
            results = [r for r in self._results if r.call.priority == priority]
            answered = sorted(r.seconds for r in results if r.status == 200)
            runs = {r.call.run_id for r in results}
            p99 = answered[int(len(answered) * 0.99)]
            self._add_line(
                f"{len(runs)} {name}",
                f"{len(answered)} answered, median"
                f" {statistics.median(answered) * 1000:.0f} ms, 99 percent"
                f" below {p99 * 1000:.0f} ms",
            )
        self._add_line(
            "what callers were told, against what ran",
            f"{len(audit.duplicated)} doubled, {len(audit.false_not_run)}"
            f" false not-run, {len(audit.lost)} lost,"
            f" {len(audit.mismatched)} mixed up; {audit.unknown} unknown,"
            f" {audit.not_run} not run",
        )

    def _report_fragmentation(self) -> None:
        row = self._fleet.list_status("owners", self._live_entries[0])[0]
        if row["owner"] in self._live_entries:
            row = self._fleet.list_status("owners", row["owner"])[0]
        shares = ", ".join(
            f"{size}: {share:.2f}"
            for size, share in row["fragmentation"].items()
        )
        self._add_line(
            f"owned by {row['owner']}, epoch {row['epoch']}",
            f"fragmentation by data centre and size {shares}",
        )

    def _print_evidence(self) -> bool:
        """Print the audit of the evidence by the product's own command.

        :return: whether every promise was kept.
        """
        entry = self._fleet.options.entry[self._live_entries[0]]
        command = [sys.executable, fleets.BINARY, "evidence"]
        command += ["--entry", entry.operators, "--token", self._fleet.token]
        completed = subprocess.run(
            command, stdout=subprocess.PIPE, text=True, check=False
        )
        print(completed.stdout)
        return completed.returncode == 0

    def _add_line(self, asked: str, happened: str) -> None:
        self._lines.append(Line(asked, happened))
        print(f"{asked}: {happened}", flush=True)


def main() -> None:
    """Run the demonstration of a deployment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", choices=sorted(SCENARIOS), default="saddlebrook"
    )
    deployment = parser.parse_args().deployment
    scenario = SCENARIOS[deployment]
    settings = f"deployments/{deployment}.toml"
    with contextlib.ExitStack() as stack:
        folder = fleets.make_temporary_folder(stack)
        spec = fleets.make_standins_spec(
            options.load(settings), scenario.service
        )
        fleet = stack.enter_context(fleets.Fleet(settings, spec, folder))
        passed = Demo(fleet, scenario).run()
    print(_NEXT_STEPS.format(settings=settings))
    sys.exit(0 if passed else 1)


_NEXT_STEPS: Final = """\
try next:
  dist/kingcuplever check-settings {settings}
  dist/kingcuplever --help
  README.md, "A first intent by hand"
"""


if __name__ == "__main__":
    main()
