"""Runs the command line when the package is executed."""

import sys

from kingcuplever.command import main

if __name__ == "__main__":
    sys.exit(main.run())
