"""Starts an entry or a side: ``python3 -m kingcuplever.platform``."""

import argparse
import importlib
import signal
import sys

import trio

from kingcuplever import errors
from kingcuplever import logs
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
    # Each role's module is loaded only where it runs, to save memory.
    module = importlib.import_module(f"kingcuplever.platform.{role}_role")
    trio.run(module.run, host)
    return 0


if __name__ == "__main__":
    sys.exit(main())
