"""The demonstration: one deployment's main job, with failures, in a minute.

Starts the stand-ins and the product's own processes from the deployment's
settings, states and confirms intents, sends requests while an entry and a
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

_REQUEST_PAUSE_S: Final = 0.03
_WORK_MS: Final = 40


class Story(NamedTuple):
    """What a deployment's demonstration is about.

    :ivar accounts: each client account with its guaranteed whole workers.
    :ivar urgent: account and name of the small urgent requests.
    :ivar booked: account and name of the requests that must not double.
    """

    service: str
    accounts: tuple[tuple[str, str, str, int], ...]
    gang: str
    gang_place: str
    urgent: tuple[str, str]
    booked: tuple[str, str]


STORIES: Final = {
    "saddlebrook": Story(
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
    "phulrenu": Story(
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
    """One line of the closing table."""

    asked: str
    happened: str


class Demo:
    """One run of the demonstration."""

    def __init__(self, fleet: fleets.Fleet, story: Story) -> None:
        """Use a running fleet."""
        self._fleet = fleet
        self._story = story
        self._lines: list[Line] = []
        self._told: list[callers.Told] = []
        self._entries = list(fleet.options.entry)
        self._live = list(self._entries)

    def run(self) -> bool:
        """Tell the story; give whether every promise held."""
        self._wait_for_workers()
        self._publish_configuration()
        self._state_accounts()
        self._place_gang()
        trio.run(self._send_requests)
        self._await_jobs()
        audit = callers.audit(self._told, self._fleet.run_truth())
        self._report_requests(audit)
        self._report_fragmentation()
        print()
        print(tables.render([x._asdict() for x in self._lines], Line._fields))
        print()
        return self._show_evidence() and audit.clean

    def _wait_for_workers(self) -> None:
        count = len(self._fleet.options.side)
        self._fleet.wait_for_workers(count)
        self._note("start", f"{len(self._entries)} entries, {count} sides")

    def _publish_configuration(self) -> None:
        document = {
            "scheduling": {"reclaim_ms": 4000, "starvation_s": 30.0},
            "services": {self._story.service: {"connections": 60}},
        }
        started = time.monotonic()
        status, answer = self._fleet.intend(
            {"kind": "config", "config": document}
        )
        if status != 200:
            raise RuntimeError(f"configuration: {answer}")

        def everywhere() -> bool:
            shown = self._fleet.operate("GET", "/v1/config")[1]
            versions = {side["version"] for side in shown["sides"]}
            return versions == {answer["version"]}

        fleets.wait_until(everywhere, "configuration everywhere")
        seconds = time.monotonic() - started
        self._note(
            f"configuration {answer['version']}",
            f"in force at every side after {seconds:.2f} s",
        )

    def _state_accounts(self) -> None:
        for account, place, level, cells in self._story.accounts:
            spec = {
                "account": account,
                "data_centre": place,
                "guarantees": [{"level": level, "cells": cells}],
            }
            status, answer = self._fleet.intend(
                {"kind": "account", "account": spec}
            )
            self._note(
                f"{account}: {cells} {level} cells in {place}, guaranteed",
                answer.get("decision", answer.get("refusal", "?")),
            )
        self._refuse_too_much()

    def _refuse_too_much(self) -> None:
        account, place, _, _ = self._story.accounts[1]
        spec = {
            "account": account,
            "data_centre": place,
            "guarantees": [{"level": "worker", "cells": 50}],
        }
        _, answer = self._fleet.intend({"kind": "account", "account": spec})
        self._note(
            f"{account}: 50 workers in {place}", answer.get("refusal", "?")
        )

    def _place_gang(self) -> None:
        """Fill the gang's guarantee with borrowers, then ask for it."""
        story = self._story
        account = story.accounts[0][0]
        borrower = story.accounts[1][0]
        place = story.gang_place
        # Borrowers may only come from an account of the same place.
        self._fleet.intend(
            {
                "kind": "account",
                "account": {"account": borrower, "data_centre": place},
            }
        )
        for number in range(6):
            self._submit(f"small-{number}", borrower, place, 1, 4, 8.0)
        fleets.wait_until(
            lambda: {row["phase"] for row in self._jobs()} == {"running"},
            "the small jobs fill the place",
        )
        self._submit(story.gang, account, place, 2, 8, 3.0)

    def _submit(
        self,
        job: str,
        account: str,
        place: str,
        tasks: int,
        gpus: int,
        seconds: float,
    ) -> None:
        spec = {
            "job": job,
            "account": account,
            "data_centre": place,
            "tasks": tasks,
            "shape": {"gpus": gpus, "cores": gpus * 2.0, "memory_gb": 16.0},
            "declared_s": seconds,
            "payload": f'{{"seconds": {seconds}, "gpus": {gpus}}}',
        }
        status, answer = self._fleet.intend({"kind": "job", "job": spec})
        if status != 200:
            raise RuntimeError(f"{job}: {answer}")

    async def _send_requests(self) -> None:
        async with httpcore.AsyncConnectionPool(max_connections=200) as pool:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._break_things)
                for number in range(300):
                    nursery.start_soon(self._send_one, pool, number)
                    await trio.sleep(_REQUEST_PAUSE_S)

    async def _send_one(
        self, pool: httpcore.AsyncConnectionPool, number: int
    ) -> None:
        urgent = number % 3 == 0
        account, _ = self._story.urgent if urgent else self._story.booked
        run = callers.new_run()
        call = callers.Call(
            self._story.service,
            account,
            run,
            key=run,
            priority="urgent" if urgent else "normal",
            timeout_ms=5000,
            work_ms=_WORK_MS,
            body=f"{account} {number}".encode(),
        )
        # The balancer's part: the next live entry for each sending.
        first = number % len(self._live)
        names = self._live[first:] + self._live[:first]
        addresses = [self._fleet.options.entry[n].callers for n in names]
        self._told += await callers.send_until_answered(pool, addresses, call)

    async def _break_things(self) -> None:
        fleet = self._fleet
        await trio.sleep(2)
        target = fleet.plan.targets[-1]
        await trio.to_thread.run_sync(
            lambda: fleet.control(target.address, draining=True)
        )
        self._note(f"drain of {target.name}", "announced")
        await trio.sleep(2)
        victim = self._entries[-1]
        fleet.kill(victim)
        self._live.remove(victim)
        self._note(f"kill of entry {victim}", "its requests were sent again")
        await trio.sleep(2)
        side = list(fleet.options.side)[-2]
        fleet.kill(side)
        self._note(f"kill of side {side}", "its worker counts as lost")

    def _await_jobs(self) -> None:
        def ended() -> bool:
            return all(row["phase"] == "ended" for row in self._jobs())

        fleets.wait_until(ended, "every job ended", 40.0)
        rows = self._jobs()
        gang = next(r for r in rows if r["job"] == self._story.gang)
        waited_s = (gang["started_ms"] - gang["submitted_ms"]) / 1000
        took_s = (gang["ended_ms"] - gang["submitted_ms"]) / 1000
        self._note(
            f"{gang['job']}: gang of {gang['tasks']} on {gang['gpus']}"
            " accelerators",
            f"{gang['outcome']}, started after {waited_s:.1f} s, completed"
            f" after {took_s:.1f} s",
        )
        small = [r for r in rows if r["job"].startswith("small")]
        times = [(r["ended_ms"] - r["submitted_ms"]) / 1000 for r in small]
        evicted = sum(r["evictions"] for r in small)
        self._note(
            f"{len(small)} small jobs",
            f"{sum(r['outcome'] == 'done' for r in small)} done, median"
            f" completion {statistics.median(times):.1f} s, {evicted}"
            " evictions for the guarantee",
        )

    def _jobs(self) -> list[dict[str, Any]]:
        return self._fleet.rows("jobs", self._live[0])

    def _report_requests(self, audit: callers.Audit) -> None:
        for priority, (_, name) in (
            ("urgent", self._story.urgent),
            ("normal", self._story.booked),
        ):
            told = [t for t in self._told if t.call.priority == priority]
            good = sorted(t.seconds for t in told if t.status == 200)
            runs = {t.call.run for t in told}
            p99 = good[int(len(good) * 0.99)]
            self._note(
                f"{len(runs)} {name}",
                f"{len(good)} answered, median"
                f" {statistics.median(good) * 1000:.0f} ms, 99 percent below"
                f" {p99 * 1000:.0f} ms",
            )
        self._note(
            "what callers were told, against what ran",
            f"{len(audit.doubled)} doubled, {len(audit.false_not_run)} false"
            f" not-run, {len(audit.lost)} lost, {len(audit.mixed)} mixed up;"
            f" {audit.unknown} unknown, {audit.not_run} not run",
        )

    def _report_fragmentation(self) -> None:
        row = self._fleet.rows("owners", self._live[0])[0]
        if row["owner"] in self._live:
            row = self._fleet.rows("owners", row["owner"])[0]
        shares = ", ".join(
            f"{size}: {share:.2f}"
            for size, share in row["fragmentation"].items()
        )
        self._note(
            f"owned by {row['owner']}, epoch {row['epoch']}",
            f"fragmentation by data centre and size {shares}",
        )

    def _show_evidence(self) -> bool:
        """Print the regulator's view, by the command that anyone would use.

        :return: whether nothing is broken but by the loss of a worker.
        """
        entry = self._fleet.options.entry[self._live[0]]
        command = [sys.executable, fleets.BINARY, "evidence"]
        command += ["--entry", entry.operators, "--token", self._fleet.token]
        done = subprocess.run(
            command, stdout=subprocess.PIPE, text=True, check=False
        )
        print(done.stdout)
        return done.returncode in (0, 1)

    def _note(self, asked: str, happened: str) -> None:
        self._lines.append(Line(asked, happened))
        print(f"{asked}: {happened}", flush=True)


def main() -> None:
    """Run the demonstration of a deployment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", choices=sorted(STORIES), default="saddlebrook"
    )
    deployment = parser.parse_args().deployment
    story = STORIES[deployment]
    settings = f"deployments/{deployment}.toml"
    with contextlib.ExitStack() as stack:
        folder = fleets.temporary_folder(stack)
        plan = fleets.plan_for(options.load(settings), story.service)
        fleet = stack.enter_context(fleets.Fleet(settings, plan, folder))
        kept = Demo(fleet, story).run()
    print(_NEXT.format(settings=settings))
    sys.exit(0 if kept else 1)


_NEXT: Final = """\
try next:
  dist/kingcuplever check-settings {settings}
  dist/kingcuplever --help
  README.md, "A first intent by hand"
"""


if __name__ == "__main__":
    main()
