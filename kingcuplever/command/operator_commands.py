"""Runs operators' commands: sends requests to an entry, prints the reply."""

import argparse
import json
import os
import pathlib
import sys
import time
import tomllib
from typing import Any
from typing import Final

import httpcore

from kingcuplever.command import evidence
from kingcuplever.command import tables
from kingcuplever import errors

EXIT_DONE: Final = 0
EXIT_REFUSED: Final = 1
EXIT_WRONG_INPUT: Final = 2
EXIT_UNREACHABLE: Final = 3

_TIMEOUT_S: Final = 20.0
_WATCH_INTERVAL_S: Final = 1.0
_DEFAULT_ENTRY: Final = "127.0.0.1:17201"
_INTENT_KINDS: Final = ("account", "job", "stop", "config", "evacuation")
_STATUS_KINDS: Final = (
    "jobs",
    "accounts",
    "evacuations",
    "workers",
    "targets",
    "config",
    "owners",
)
# Columns of the ``status`` table of each kind.
_COLUMNS: Final = {
    "jobs": (
        "job account data_centre priority tasks gpus phase outcome attempt"
        " evictions workers waiting"
    ),
    "accounts": (
        "account data_centre guarantees missing_cells gpus_in_use max_gpus"
    ),
    "evacuations": "data_centre workers tasks missing_cells version",
    "workers": (
        "worker data_centre rack status gpus gpus_free cores_free"
        " memory_free_gb"
    ),
    "targets": (
        "side target service data_centre slots busy draining evacuated ejected"
        " observed_ms"
    ),
    "owners": "owner epoch offset evidence deciding_here",
}


class _Unreachable(Exception):
    """The entry or the store could not be reached."""


class _WrongInput(Exception):
    """The operator's input is invalid."""


def add_parsers(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Add the operators' subcommands."""
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument(
        "--entry",
        default=os.environ.get("KINGCUPLEVER_ENTRY", _DEFAULT_ENTRY),
        help="operators' address of an entry, IP:PORT",
    )
    common.add_argument(
        "--token",
        default=os.environ.get("KINGCUPLEVER_TOKEN", ""),
        help="operator's token from the settings",
    )
    common.add_argument("--json", action="store_true", help="print JSON")
    intent = commands.add_parser(
        "intent", parents=[common], help="submit an intent and print its plan"
    )
    intent.add_argument("kind", choices=_INTENT_KINDS)
    intent.add_argument("what", help="a TOML file; for stop, the job's name")
    intent.add_argument(
        "--confirm", action="store_true", help="also confirm the plan"
    )
    confirm = commands.add_parser(
        "confirm", parents=[common], help="confirm a plan"
    )
    confirm.add_argument("plan")
    status = commands.add_parser(
        "status", parents=[common], help="print the current state"
    )
    status.add_argument("kind", choices=_STATUS_KINDS)
    status.add_argument(
        "name",
        nargs="?",
        default="",
        help="name of a job; prints this job in full",
    )
    status.add_argument(
        "--where",
        action="append",
        default=[],
        metavar="COLUMN=VALUE",
        help="print only matching rows; may be repeated",
    )
    status.add_argument(
        "--watch", action="store_true", help="repeat until interrupted"
    )
    evidence.add_parser(commands, common)


def run(parsed: argparse.Namespace) -> int:
    """Run one operators' command.

    :return: the exit code.
    """
    try:
        if parsed.command == "intent":
            return _run_intent(parsed)
        if parsed.command == "confirm":
            return _run_confirm(parsed, parsed.plan)
        if parsed.command == "status":
            return _run_status(parsed)
        return _run_evidence(parsed)
    except _Unreachable as error:
        print(f"{error}; check --entry or --store.", file=sys.stderr)
        return EXIT_UNREACHABLE
    except _WrongInput as error:
        print(error, file=sys.stderr)
        return EXIT_WRONG_INPUT


def _send_request(
    parsed: argparse.Namespace, method: str, path: str, body: Any = None
) -> tuple[int, Any]:
    url = f"http://{parsed.entry}{path}"
    content = b"" if body is None else json.dumps(body).encode()
    headers = [
        ("Content-Length", str(len(content))),
        ("Host", parsed.entry),
    ]
    if parsed.token:
        headers.append(("Authorization", f"Bearer {parsed.token}"))
    timeout = {"connect": _TIMEOUT_S, "read": _TIMEOUT_S}
    try:
        response = httpcore.request(
            method,
            url,
            headers=headers,
            content=content,
            extensions={"timeout": timeout},
        )
        return response.status, json.loads(response.content)
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
        httpcore.UnsupportedProtocol,
        ValueError,
    ) as error:
        raise _Unreachable(f"{url}: request failed ({error!r})") from error


def _read_document(path: str) -> dict[str, Any]:
    try:
        return tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise _WrongInput(
            f"{path}: {error.strerror}; check the path"
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise _WrongInput(f"{path}: is not TOML ({error})") from error


def _run_intent(parsed: argparse.Namespace) -> int:
    body: dict[str, Any] = {"kind": parsed.kind}
    if parsed.kind == "stop":
        body["stop"] = parsed.what
    else:
        body[parsed.kind] = _read_document(parsed.what)
    status, answer = _send_request(parsed, "POST", "/v1/intents", body)
    if status not in (200, 422) or "id" not in answer:
        return _print_problem(parsed, answer)
    _print_plan(parsed, answer)
    if answer["refusal"]:
        return EXIT_REFUSED
    if parsed.confirm:
        return _run_confirm(parsed, answer["id"])
    return EXIT_DONE


def _run_confirm(parsed: argparse.Namespace, plan: str) -> int:
    status, answer = _send_request(parsed, "POST", f"/v1/plans/{plan}/confirm")
    if status != 200:
        code = _print_problem(parsed, answer)
        if "newer_plan" in answer and not parsed.json:
            print("The newer plan:")
            _print_plan(parsed, answer["newer_plan"])
        return code
    if parsed.json:
        print(json.dumps(answer))
    else:
        print(f"{plan} accepted, version {answer['version']}")
    return EXIT_DONE


def _print_plan(parsed: argparse.Namespace, plan: dict[str, Any]) -> None:
    if parsed.json:
        print(json.dumps(plan))
        return
    print(f"plan {plan['id']} from version {plan['base_version']}")
    if plan["refusal"]:
        print(f"refused: {plan['refusal']}")
        return
    rows = tables.render(plan["effects"], ("subject", "before", "after"))
    print(rows)
    if plan["forecast"]:
        print(f"expected: {plan['forecast']}")
    if not has_confirm_flag(parsed):
        print(f"nothing has changed yet; kingcuplever confirm {plan['id']}")


def has_confirm_flag(parsed: argparse.Namespace) -> bool:
    """Return whether the same command also confirms the plan."""
    return bool(getattr(parsed, "confirm", False))


def _print_problem(parsed: argparse.Namespace, answer: Any) -> int:
    if parsed.json:
        print(json.dumps(answer))
    else:
        code = answer.get("code", "?")
        print(f"{code}: {answer.get('detail', answer)}", file=sys.stderr)
        print(answer.get("remedy", ""), file=sys.stderr)
    is_wrong_input = answer.get("code") in ("INVALID_REQUEST", "UNAUTHORIZED")
    return EXIT_WRONG_INPUT if is_wrong_input else EXIT_REFUSED


def _run_status(parsed: argparse.Namespace) -> int:
    while True:
        code = _print_status(parsed)
        if not parsed.watch or code != EXIT_DONE:
            return code
        time.sleep(_WATCH_INTERVAL_S)
        print()


def _print_status(parsed: argparse.Namespace) -> int:
    path = f"/v1/{parsed.kind}"
    if parsed.name:
        path += f"/{parsed.name}"
    conditions = []
    for condition in parsed.where:
        if "=" not in condition:
            raise _WrongInput(f"--where {condition}: write COLUMN=VALUE")
        conditions.append(condition)
    if conditions:
        path += "?" + "&".join(conditions)
    status, answer = _send_request(parsed, "GET", path)
    if status != 200:
        return _print_problem(parsed, answer)
    if parsed.json:
        print(json.dumps(answer))
    elif isinstance(answer, list):
        print(tables.render(answer, _COLUMNS[parsed.kind].split()))
    else:
        print(tables.render_one(answer))
    return EXIT_DONE


def _run_evidence(parsed: argparse.Namespace) -> int:
    if parsed.store:
        try:
            document = evidence.read_batches(parsed.store, parsed.reclaim_ms)
        except errors.KingcupleverError as error:
            raise _Unreachable(f"{parsed.store}: {error.detail}") from error
        return evidence.print_verdicts(parsed, document)
    status, answer = _send_request(parsed, "GET", "/v1/evidence")
    if status != 200:
        return _print_problem(parsed, answer)
    return evidence.print_verdicts(parsed, answer)
