"""Runs a deployment with its stand-ins until interrupted, to try it out."""

import argparse
import contextlib
import time
from typing import Final

from kingcuplever import options
from standins import demo
from standins import fleet as fleets

_SLEEP_S: Final = 1.0


def main() -> None:
    """Run the deployment that the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", choices=sorted(demo.SCENARIOS), default="saddlebrook"
    )
    deployment = parser.parse_args().deployment
    settings = f"deployments/{deployment}.toml"
    service = demo.SCENARIOS[deployment].service
    with contextlib.ExitStack() as stack:
        folder = fleets.make_temporary_folder(stack)
        spec = fleets.make_standins_spec(options.load(settings), service)
        fleet = stack.enter_context(fleets.Fleet(settings, spec, folder))
        for name, entry in fleet.options.entry.items():
            print(f"{name}: callers {entry.callers}, operators", end=" ")
            print(entry.operators)
        print(f"token {fleet.token}; logs in {folder}; Ctrl-C stops")
        with contextlib.suppress(KeyboardInterrupt):
            while True:
                time.sleep(_SLEEP_S)


if __name__ == "__main__":
    main()
