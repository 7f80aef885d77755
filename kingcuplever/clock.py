"""Clocks other than the monotonic one of the event loop."""

import time


def wall_ms() -> int:
    """Return the wall-clock time in ms since 1970; it may jump."""
    return time.time_ns() // 1_000_000


def boot_s() -> float:
    """Return the monotonic time in seconds that counts a suspension, too.

    The clock of the event loop stands while the host is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
