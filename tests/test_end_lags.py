"""The lags of ends are computed from the output of plays."""

import pathlib
import sys

import pytest

from tools import end_lags

TASK = "5c0e7a21d94b36f8.0.0.0"
WORKER = "i-1@side-a-1"
OTHER = "i-2@side-a-2"
PLACED = f"place: {TASK} and 0 more, run 1, go to {WORKER} after 3 ms."
STARTED = f"task: {TASK} run 1 started."
RESTARTED = f"task: {TASK} run 2 started."
REMOVED = f"member: Worker {WORKER} is removed with 1 tasks: "
POWER_CUT = "     6.0 s to     14.0 s  node_kill (power) side-a-1"


def make_line(at: float, host: str, text: str) -> str:
    """Make a line of a process's log as a play's output has it."""
    moment = f"2026-07-15T13:17:{at + 10:06.3f}Z"
    return f"{at:9.4f} {host} {moment} INFO    {host} {text}"


def make_lines(reason: str) -> list[str]:
    """Make a play in which a worker is removed at 15 s, for a reason."""
    return [
        make_line(1.0, "edge-a-1", PLACED),
        make_line(1.5, "side-a-1", STARTED),
        make_line(15.0, "edge-a-1", REMOVED + reason),
        make_line(15.25, "side-a-2", RESTARTED),
    ]


@pytest.mark.parametrize(
    ("reason", "sign"),
    [
        ("no report for 29.2 s.", "silence"),
        (f"{OTHER} replaces it.", "new worker on its host"),
        ("it has crashed.", "reported by its side"),
    ],
)
def test_lost_run_has_its_trouble_sign_and_lags(
    reason: str, sign: str
) -> None:
    lines = [*make_lines(reason), POWER_CUT]
    (lag,) = end_lags.compute_lags(lines).lags
    assert lag == end_lags.Lag("node_kill", sign, 9.0, 0.25)


# Guards against a trouble from before a worker's last sign that is taken for
# the cause of its end.
def test_trouble_before_the_last_sign_has_ended_nothing() -> None:
    alive = f"task: Task {TASK[:-1]}7 run 1 on {WORKER}: done, end 4."
    lines = make_lines("it has ended.")
    lines.insert(2, make_line(9.0, "edge-a-1", alive))
    (lag,) = end_lags.compute_lags([*lines, POWER_CUT]).lags
    assert (lag.trouble, lag.known_s) == ("none", 6.0)


# Guards against a varied day, whose table has thousandths of a second, that
# seems to have no troubles.
def test_troubles_of_a_varied_day_are_read() -> None:
    varied = "   6.125 s to   14.125 s  node_kill (power) side-a-1"
    lines = [*make_lines("it has ended."), varied]
    (lag,) = end_lags.compute_lags(lines).lags
    assert (lag.trouble, lag.known_s) == ("node_kill", 8.875)


# Guards against a trouble of other machines that is taken for the cause.
def test_trouble_of_other_hosts_has_ended_nothing() -> None:
    other = "    14.0 s to     18.0 s  node_cut (all) side-a-2, side-b-1"
    unnamed = "    13.0 s to     18.0 s  srv_flap 2 servers"
    lines = [*make_lines("it has ended."), POWER_CUT, other]
    (lag,) = end_lags.compute_lags(lines).lags
    assert lag.trouble == "node_kill"
    (lag,) = end_lags.compute_lags([*lines, unnamed]).lags
    assert lag.trouble == "srv_flap"


# Guards against a run that has ended on its worker and counts as lost with it.
def test_listed_end_has_no_lag() -> None:
    ended = f"task: Task {TASK} run 1 on {WORKER}: done, end 4."
    lines = make_lines("it has ended.")
    lines.insert(2, make_line(9.0, "edge-a-1", ended))
    assert not end_lags.compute_lags(lines).lags


def test_run_without_another_start_has_no_restart() -> None:
    lines = make_lines("it has ended.")[:3]
    (lag,) = end_lags.compute_lags([*lines, POWER_CUT]).lags
    assert lag.restart_s is None


# Guards against a gang that is lost once for each of its workers.
def test_gang_is_lost_with_its_first_worker() -> None:
    placed = PLACED.replace("0 more", "1 more").replace(
        WORKER, f"{WORKER}, {OTHER}"
    )
    removed = f"member: Worker {OTHER} is removed with 1 tasks: it has ended."
    lines = [
        make_line(1.0, "edge-a-1", placed),
        make_line(4.0, "edge-a-1", REMOVED + "it has ended."),
        make_line(5.0, "edge-a-1", removed),
    ]
    assert len(end_lags.compute_lags(lines).lags) == 1


def test_command_prints_the_share_of_the_time_that_jobs_took(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    ended = (
        "place: Job 5c0e7a21d94b36f8 is completed: all tasks done; 18000 ms"
        " after its acceptance, placed after 3 ms, 2 runs of a task at most."
    )
    path = tmp_path / "play.log"
    lines = [
        *make_lines("it has ended."),
        make_line(19.0, "edge-a-1", ended),
        POWER_CUT,
    ]
    path.write_text("\n".join(lines))
    monkeypatch.setattr(sys, "argv", ["end_lags", str(path)])
    assert end_lags.main() == 0
    output = capsys.readouterr().out
    assert "| node_kill | reported by its side | 1 | 9.00 (9.00)" in output
    assert "9 s from ends to knowledge, 50.0% of the 18 s" in output


def test_missing_play_is_a_clear_error(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(sys, "argv", ["end_lags", "no-such-play.log"])
    with pytest.raises(SystemExit):
        end_lags.main()
    assert "no-such-play.log: No such file" in capsys.readouterr().err
