"""Runs seeds of the soak test: ``python -m soak --seeds 1-50``.

Prints one line for each seed and one for each broken promise; the last lines
are the commands that repeat the failed seeds.  The exit code is 1 if a
promise was broken.
"""

import argparse
import os
import sys
import time

from soak import run


def main() -> int:
    """Run the seeds given by the arguments; return the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument(
        "--seeds", default="", help="N or A-B; default: the current time"
    )
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--sides", type=int, default=4)
    parser.add_argument(
        "--seconds",
        type=float,
        default=20.0,
        help="duration of load and faults",
    )
    parser.add_argument(
        "--logs",
        default="target/soak",
        help="folder for the logs of each seed",
    )
    parsed = parser.parse_args()
    shape = run.Shape(parsed.entries, parsed.sides, parsed.seconds)
    failed_seeds = []
    for seed in _parse_seeds(parsed.seeds):
        folder = os.path.join(parsed.logs, str(seed))
        result = run.run_seed(seed, shape, folder)
        print(
            f"seed {seed}: {result.faults} faults, {result.jobs} jobs,"
            f" {result.accepted} accepted, {result.completed} completed,"
            f" {len(result.broken_promises)} broken",
            flush=True,
        )
        for line in result.broken_promises:
            print(f"  {line}", flush=True)
        if result.broken_promises:
            failed_seeds.append(seed)
    for seed in failed_seeds:
        print(f"run again: python -m soak --seeds {seed}; logs: {parsed.logs}")
    return 1 if failed_seeds else 0


def _parse_seeds(text: str) -> range:
    first, _, last = text.partition("-")
    if not first:
        number = int(time.time())
        return range(number, number + 1)
    return range(int(first), int(last or first) + 1)


if __name__ == "__main__":
    sys.exit(main())
