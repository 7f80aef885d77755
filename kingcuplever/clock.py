"""Wall-clock time, and durations that count a suspension of the host."""

import time
from typing import Final
from typing import NamedTuple

import trio


class Moment(NamedTuple):
    """A point in time on the monotonic clocks of this host, in seconds.

    :ivar loop_s: clock of the event loop; stands while the host is suspended.
    :ivar boot_s: clock that counts a suspension.
    """

    loop_s: float
    boot_s: float

    def subtract(self, seconds: float) -> "Moment":
        """Return the moment that was ``seconds`` earlier."""
        return Moment(self.loop_s - seconds, self.boot_s - seconds)

    def elapsed_s(self) -> float:
        """Return the seconds since then, also those of a suspension."""
        now = read_moment()
        return max(now.loop_s - self.loop_s, now.boot_s - self.boot_s)


NEVER: Final = Moment(float("-inf"), float("-inf"))


def read_moment() -> Moment:
    """Return the current moment."""
    return Moment(trio.current_time(), boot_s())


def wall_ms() -> int:
    """Return the wall-clock time in ms since 1970; it may jump."""
    return time.time_ns() // 1_000_000


def boot_s() -> float:
    """Return the monotonic time in seconds that counts a suspension, too.

    The clock of the event loop stands while the host is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
