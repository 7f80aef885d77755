"""Runs every measurement: ``make bench``."""

from bench import scheduling


def main() -> None:
    """Run the measurements in turn."""
    scheduling.main()


if __name__ == "__main__":
    main()
