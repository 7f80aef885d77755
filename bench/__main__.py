"""Runs every measurement: ``make bench``."""

from bench import loads
from bench import requests
from bench import scheduling


def main() -> None:
    """Run the measurements in turn."""
    requests.main()
    loads.main()
    scheduling.main()


if __name__ == "__main__":
    main()
