"""Wall-clock time, for timestamps that processes share."""

import time


def wall_ms() -> int:
    """Return the wall-clock time in ms since 1970; it may jump."""
    return time.time_ns() // 1_000_000
