"""The binary's command line: settings, help, output and exit codes."""

import pathlib
import socket
import subprocess
import sys
import time
from typing import Final

import pytest
from standins import fleet as fleets

# Period in which an owner appends its evidence, and the time of the append.
EVIDENCE_PERIOD_S: Final = 5.0


def run_binary(*arguments: str) -> "subprocess.CompletedProcess[str]":
    return subprocess.run(
        [sys.executable, fleets.BINARY, *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.mark.parametrize("name", ["saddlebrook", "phulrenu"])
def test_settings_of_deployments_are_valid(name: str) -> None:
    result = run_binary("check-settings", f"deployments/{name}.toml")
    assert result.returncode == 0
    assert "3 entries, 10 sides" in result.stdout


def test_settings_error_names_file_key_value_and_allowed_values(
    tmp_path: pathlib.Path,
) -> None:
    valid = pathlib.Path("deployments/saddlebrook.toml").read_text()
    path = tmp_path / "bad.toml"
    invalid = valid.replace("heartbeat_ms = 1000", 'heartbeat_ms = "fast"')
    invalid = invalid.replace(
        'callers = "127.0.0.1:17101"', 'callers = "here:1"'
    )
    path.write_text(invalid)
    result = run_binary("check-settings", str(path))
    assert result.returncode == 2
    assert "Traceback" not in result.stderr
    assert f"{path}: timing.heartbeat_ms is 'fast'" in result.stderr
    assert "allowed: a whole number" in result.stderr


def test_invalid_address_is_reported(tmp_path: pathlib.Path) -> None:
    valid = pathlib.Path("deployments/saddlebrook.toml").read_text()
    path = tmp_path / "bad.toml"
    path.write_text(valid.replace("127.0.0.1:17101", "here:1"))
    result = run_binary("check-settings", str(path))
    assert result.returncode == 2
    assert "entry.jerash-1.callers is 'here:1'" in result.stderr
    assert "an IP number and a port" in result.stderr


def test_unknown_entry_name_is_reported() -> None:
    settings = "deployments/saddlebrook.toml"
    result = run_binary("entry", "--settings", settings, "--name", "amman-1")
    assert result.returncode == 2
    assert "No [entry.amman-1]; there are: jerash-1" in result.stderr


def test_address_in_use_is_reported(tmp_path: pathlib.Path) -> None:
    listener = socket.socket()
    with listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        valid = pathlib.Path("deployments/saddlebrook.toml").read_text()
        path = tmp_path / "taken.toml"
        path.write_text(valid.replace("127.0.0.1:17401", address))
        arguments = ("side", "--settings", str(path), "--name", "jerash-w1")
        result = run_binary(*arguments)
    assert result.returncode == 2
    assert "address already in use" in result.stderr.lower()


def test_unreachable_entry_has_an_exit_code_of_its_own() -> None:
    address = fleets.free_address()
    result = run_binary("status", "jobs", "--entry", address)
    assert result.returncode == 3
    assert "check --entry" in result.stderr


def test_help_has_examples() -> None:
    result = run_binary("--help")
    assert result.returncode == 0
    assert "kingcuplever intent job" in result.stdout


def test_operator_commands_over_a_fleet(
    fleet: fleets.Fleet, tmp_path: pathlib.Path
) -> None:
    entry = fleet.options.entry["e1"].operators
    common = ["--entry", entry, "--token", fleet.token]
    account = tmp_path / "account.toml"
    account.write_text('account = "rosters"\ndata_centre = "jerash"\n')
    planned = run_binary("intent", "account", str(account), *common)
    assert planned.returncode == 0
    assert "nothing has changed yet" in planned.stdout
    plan = planned.stdout.split()[1]
    assert run_binary("confirm", plan, *common).returncode == 0
    status = run_binary("status", "accounts", *common)
    assert "rosters" in status.stdout
    unauthorized = run_binary("status", "accounts", "--entry", entry)
    assert unauthorized.returncode == 2
    assert "UNAUTHORIZED" in unauthorized.stderr
    # The owner appends its evidence once per period.
    deadline = time.monotonic() + 2 * EVIDENCE_PERIOD_S
    evidence = run_binary("evidence", *common)
    while "kept" not in evidence.stdout and time.monotonic() < deadline:
        evidence = run_binary("evidence", *common)
    assert evidence.returncode == 0
    assert "kept" in evidence.stdout
