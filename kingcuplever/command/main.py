"""The command line: one binary with subcommands.

Exit codes: 0 done; 1 refused, stale or failed; 2 wrong settings, arguments
or input; 3 the entry can't be reached.
"""

import argparse
from collections.abc import Sequence
import sys
from typing import Final

import trio

import kingcuplever
from kingcuplever.command import operator_commands
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import options
from kingcuplever.platform import clients
from kingcuplever.process import entry
from kingcuplever.process import side

EXIT_DONE: Final = 0
EXIT_WRONG_INPUT: Final = 2

_EXAMPLES: Final = """\
examples:
  kingcuplever check-settings deployments/saddlebrook.toml
  kingcuplever entry --settings deployments/saddlebrook.toml --name jerash-1
  kingcuplever side --settings deployments/saddlebrook.toml --name w01
  kingcuplever intent job deployments/intents/roster.toml
  kingcuplever confirm job.0123456789ab
  kingcuplever status jobs --watch
  kingcuplever evidence

Operators' commands take the entry's address and the token from
--entry and --token, or from KINGCUPLEVER_ENTRY and KINGCUPLEVER_TOKEN.

exit codes: 0 done; 1 refused, stale or failed; 2 wrong settings,
arguments or input; 3 the entry can't be reached
"""


def run(arguments: Sequence[str] | None = None) -> int:
    """Run the command line.

    :return: the exit code.
    """
    parser = _make_parser()
    parsed = parser.parse_args(arguments)
    try:
        return _run_command(parsed)
    except errors.SettingsError as error:
        print(error.detail, file=sys.stderr)
        return EXIT_WRONG_INPUT
    except KeyboardInterrupt:
        return 1


def run_and_exit() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(run())


def _run_command(parsed: argparse.Namespace) -> int:
    if parsed.command == "check-settings":
        return _check_settings(parsed.file)
    if parsed.command in ("entry", "side"):
        return _run_process(parsed)
    return operator_commands.run(parsed)


def _check_settings(path: str) -> int:
    fleet = options.load(path)
    print(
        f"{path}: valid; {fleet.deployment} in {fleet.region},"
        f" {len(fleet.entry)} entries, {len(fleet.side)} sides"
    )
    return EXIT_DONE


def _run_process(parsed: argparse.Namespace) -> int:
    fleet = options.load(parsed.settings)
    sections = fleet.entry if parsed.command == "entry" else fleet.side
    name = parsed.name
    if not name and len(sections) == 1:
        name = next(iter(sections))
    if not name:
        known = ", ".join(sections) or "none"
        raise errors.SettingsError(f"--name is needed; there are: {known}.")
    if parsed.command == "entry":
        options.find_entry(fleet, name)
    else:
        options.find_side(fleet, name)
    logs.configure(name, parsed.log_level)
    start = entry.run if parsed.command == "entry" else side.run
    try:
        trio.run(start, fleet, name, clients.FACTORIES)
    except* OSError as group:
        detail = f"{name}: {_find_first_error(group)}; check the listeners."
        raise errors.SettingsError(detail) from group
    return EXIT_DONE


def _find_first_error(group: BaseExceptionGroup[Exception]) -> BaseException:
    """Return the first leaf exception of a nested group."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="kingcuplever",
        description="Scheduler for multi-accelerator jobs under guarantees.",
        epilog=_EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version", action="version", version=kingcuplever.VERSION
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for name, help_text in (
        ("entry", "run an entry, which serves callers, operators and sides"),
        ("side", "run the process beside a target or a worker"),
    ):
        process = commands.add_parser(name, help=help_text)
        process.add_argument("--settings", required=True, metavar="FILE")
        process.add_argument(
            "--name", default="", help="name of its section in the settings"
        )
        process.add_argument(
            "--log-level",
            default="INFO",
            choices=("DEBUG", "INFO", "WARNING", "ERROR"),
        )
    check = commands.add_parser("check-settings", help="check a settings file")
    check.add_argument("file")
    operator_commands.add_parsers(commands)
    return parser
