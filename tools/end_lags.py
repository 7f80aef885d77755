"""Computes how long after the end of a run its owner knew of it.

``python -m tools.end_lags PLAY...`` reads plays of the users' bench, made with
``--log all``: the log lines of all processes, and the table of what happened.
It prints a row for each pair of a trouble and the sign by which the owner
learned of an end.  Ends that a worker listed itself are not counted.

The moment when a run was over is not in the logs.  It is taken as the start of
the latest trouble that can end runs, between the last sign of the run's worker
and the moment when the owner knew.  Without such a trouble it is the last
sign, so the lag is an upper bound then.
"""

import argparse
import collections
from collections.abc import Iterable
import pathlib
import re
import statistics
import sys
from typing import Final
from typing import NamedTuple

# Kinds of trouble that end runs, or part the owner from those that do.
ENDING_KINDS: Final = frozenset(
    (
        "after_ack_kill",
        "closing",
        "cloud_down",
        "core_cut",
        "herd_kill",
        "node_cut",
        "node_freeze",
        "node_kill",
        "platform_down",
        "poison",
        "replace_core",
        "roll_term",
        "scale_in",
        "srv_crash",
        "srv_cut",
        "srv_flap",
    )
)
# How much earlier than the table's rounded time a trouble may have begun.
_ROUNDING_S: Final = 0.1

_LINE: Final = re.compile(r"^ *(-?\d+\.\d+) +(\S+) +\S+Z \w+ +\S+ \w+: (.*)$")
_TROUBLE: Final = re.compile(
    r"^ +(\d+\.\d+) s to +\d+\.\d+ s +(\w+)(?: \([^)]*\))? (.*)$"
)
_HOST: Final = re.compile(r"^[a-z]+-[a-z-]+-\d+$")
_PLACED: Final = re.compile(
    r"^(\S+) and \d+ more, run (\d+), go to (.+) after \d+ ms\.$"
)
_ENDED: Final = re.compile(r"^Task (\S+) run (\d+) on (\S+): (\w+), end")
_REMOVED: Final = re.compile(
    r"^Worker (\S+) is removed with \d+ tasks: (.*)\.$"
)
_STARTED: Final = re.compile(r"^(\S+) run (\d+) started\.$")
_JOB_ENDED: Final = re.compile(r"^Job (\S+) is \w+: .*; (\d+) ms after")


class Lag(NamedTuple):
    """What a run's end cost, in seconds.

    :ivar trouble: kind of the trouble that ended the run, or ``none``.
    :ivar sign: how the owner learned of the end.
    :ivar known_s: from the end to the moment when the owner knew.
    :ivar restart_s: from that moment to the next start; absent if none came.
    """

    trouble: str
    sign: str
    known_s: float
    restart_s: float | None


class PlayLags(NamedTuple):
    """The lags of one play.

    :ivar jobs_s: sum of the times from acceptance to end of all jobs.
    """

    lags: tuple[Lag, ...]
    jobs_s: float


class _Trouble(NamedTuple):
    """One trouble of the play.

    :ivar hosts: what it struck; empty if the table does not name all.
    """

    at: float
    kind: str
    hosts: frozenset[str] = frozenset()


class _Loss(NamedTuple):
    """A run whose end the owner inferred.

    :ivar worker: the worker that was removed.
    """

    group: str
    run: int
    worker: str
    sign: str
    known_at: float


class _Play:
    """The state of a play while its lines are read."""

    def __init__(self) -> None:
        self.troubles: list[_Trouble] = []
        self.losses: list[_Loss] = []
        self.starts: dict[str, list[tuple[int, float]]] = (
            collections.defaultdict(list)
        )
        self.jobs_ms: dict[str, int] = {}
        # Times at which a worker, or the side beside it, showed life.
        self.signs: dict[str, list[float]] = collections.defaultdict(list)
        # Workers of the runs not known to have ended, by group and number.
        self._runs: dict[tuple[str, int], frozenset[str]] = {}

    def read_line(self, line: str) -> None:
        """Read one line of a play's output."""
        trouble = _TROUBLE.match(line)
        if trouble is not None:
            at, kind, struck = trouble.groups()
            hosts = struck.strip().split(", ")
            if not all(_HOST.match(host) for host in hosts):
                hosts = []
            self.troubles.append(_Trouble(float(at), kind, frozenset(hosts)))
            return
        entry = _LINE.match(line)
        if entry is not None:
            at, host, text = entry.groups()
            self._read_entry(float(at), host, text)

    def _read_entry(self, at: float, host: str, text: str) -> None:
        """Read a process's log line.

        :param at: its time, in seconds from the start of the traffic.
        """
        if placed := _PLACED.match(text):
            key = placed.group(1), int(placed.group(2))
            self._runs[key] = frozenset(placed.group(3).split(", "))
        elif ended := _ENDED.match(text):
            self.signs[ended.group(3)].append(at)
            self._end_run(ended.group(1), int(ended.group(2)))
        elif removed := _REMOVED.match(text):
            self._lose_runs(removed.group(1), removed.group(2), at)
        elif started := _STARTED.match(text):
            run = int(started.group(2))
            self.starts[started.group(1)].append((run, at))
            self.signs[host].append(at)
        elif job_ended := _JOB_ENDED.match(text):
            self.jobs_ms[job_ended.group(1)] = int(job_ended.group(2))

    def _end_run(self, task: str, run: int) -> None:
        """Drop the run of a task that a worker has listed as ended."""
        step = task.rpartition(".")[0]
        for group, number in [*self._runs]:
            is_member = group == task or (
                group.rpartition(".")[0] == step
                and len(self._runs[group, number]) > 1
            )
            if is_member and number == run:
                del self._runs[group, number]

    def _lose_runs(self, worker: str, reason: str, at: float) -> None:
        """Record the runs that are lost with a removed worker."""
        for (group, number), workers in [*self._runs.items()]:
            if worker in workers:
                del self._runs[group, number]
                sign = _classify_reason(reason)
                loss = _Loss(group, number, worker, sign, at)
                self.losses.append(loss)


def compute_lags(lines: Iterable[str]) -> PlayLags:
    """Compute the lags of one play.

    :param lines: its output.
    """
    play = _Play()
    for line in lines:
        play.read_line(line)
    lags = tuple(_compute_lag(play, loss) for loss in play.losses)
    return PlayLags(lags, sum(play.jobs_ms.values()) / 1000)


def _compute_lag(play: _Play, loss: _Loss) -> Lag:
    host = loss.worker.partition("@")[2]
    signs = [*play.signs[loss.worker], *play.signs[host]]
    last_sign = max((at for at in signs if at < loss.known_at), default=0.0)
    troubles = [
        trouble
        for trouble in play.troubles
        if trouble.kind in ENDING_KINDS
        and (not trouble.hosts or host in trouble.hosts)
        and last_sign - _ROUNDING_S <= trouble.at <= loss.known_at
    ]
    over = max(troubles, default=_Trouble(last_sign, "none"))
    restarts = [
        at
        for run, at in play.starts[loss.group]
        if run > loss.run and at >= loss.known_at
    ]
    return Lag(
        over.kind,
        loss.sign,
        loss.known_at - over.at,
        min(restarts) - loss.known_at if restarts else None,
    )


def _classify_reason(reason: str) -> str:
    """Name the sign by which an owner learned of a worker's end."""
    if reason.endswith("replaces it"):
        return "new worker on its host"
    if reason.startswith("no report"):
        return "silence"
    return "reported by its side"


def format_table(plays: Iterable[PlayLags]) -> str:
    """Format the lags of some plays, by trouble and sign."""
    plays = [*plays]
    groups: dict[tuple[str, str], list[Lag]] = collections.defaultdict(list)
    for play in plays:
        for lag in play.lags:
            groups[lag.trouble, lag.sign].append(lag)
    rows = [
        "| trouble | sign | runs | known after s, median (most)"
        " | started again after s, median (most) | never again |",
        "|---|---|---|---|---|---|",
    ]
    for (trouble, sign), lags in sorted(groups.items()):
        known = [lag.known_s for lag in lags]
        restarts = [lag.restart_s for lag in lags if lag.restart_s is not None]
        rows.append(
            f"| {trouble} | {sign} | {len(lags)} | {_summarize(known)}"
            f" | {_summarize(restarts)} | {len(lags) - len(restarts)} |"
        )
    waited_s = sum(lag.known_s for play in plays for lag in play.lags)
    jobs_s = sum(play.jobs_s for play in plays)
    share = waited_s / jobs_s if jobs_s else 0.0
    rows.append("")
    rows.append(
        f"{len(plays)} plays: {waited_s:.0f} s from ends to knowledge,"
        f" {share:.1%} of the {jobs_s:.0f} s that jobs took."
    )
    return "\n".join(rows)


def _summarize(values: list[float]) -> str:
    if not values:
        return "-"
    return f"{statistics.median(values):.2f} ({max(values):.2f})"


def main() -> int:
    """Print the table of the plays that the arguments name."""
    parser = argparse.ArgumentParser(prog="end_lags", description=__doc__)
    parser.add_argument("plays", nargs="+", type=pathlib.Path)
    plays = []
    for path in parser.parse_args().plays:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            parser.error(f"{path}: {error.strerror}")
        plays.append(compute_lags(text.splitlines()))
    print(format_table(plays))
    return 0


if __name__ == "__main__":
    sys.exit(main())
