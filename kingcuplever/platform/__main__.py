"""Starts an entry or a side: ``python3 -m kingcuplever.platform``."""

import argparse
import signal
import sys

import trio

from kingcuplever import errors
from kingcuplever import logs
from kingcuplever.platform import roles
from kingcuplever.platform import settings


def main() -> int:
    """Run the role that is given on the command line.

    :return: the exit code.
    """
    # SIGHUP would end the process before its reload handler is installed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    parser = argparse.ArgumentParser(prog="kingcuplever.platform")
    parser.add_argument("role", choices=("entry", "side"))
    role = parser.parse_args().role
    try:
        host = settings.load()
    except errors.SettingsError as error:
        print(error.detail, file=sys.stderr)
        return 2
    logs.configure(host.name)
    run = roles.run_entry if role == "entry" else roles.run_side
    trio.run(run, host)
    return 0


if __name__ == "__main__":
    sys.exit(main())
