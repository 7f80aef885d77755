"""Tells when the owner has been silent for so long that another may claim.

Silence is measured by reads of the log that succeeded and brought nothing
of the owner; time in which the log could not be read counts for nothing.
"""

from typing import Final

# Without any record of the owner for so long, another entry takes over;
# over two renewals, so that one slow append is no silence.
SILENCE_S: Final = 1.6
# Entries that notice at the same time wait a part of this, stronger ones
# less, so that the first claim is mostly the only one.
SPREAD_S: Final = 0.4
# Reads further apart than this have a failure between them.
_GAP_S: Final = 1.2


class OwnerWatch:
    """Watches the records of owners, as one entry reads them."""

    def __init__(self, strength: float, luck: float) -> None:
        """Begin to watch.

        :param strength: 0 to 1, how much of a host this is.
        :param luck: a random number, 0 to 1, to tell equal hosts apart.
        """
        self._wait_s = SPREAD_S * (1.0 - strength * 0.75 + luck / 4)
        self._count = -1
        self._heard_at = 0.0
        self._seen_at = 0.0
        self._first_at: float | None = None

    def silent_s(self, now: float) -> float:
        """Tell how long no owner's record has been read, in seconds."""
        return now - self._heard_at

    def may_claim(
        self, count: int, seen_at: float, vacant: bool, now: float
    ) -> bool:
        """Tell whether to claim now.

        :param count: records of owners that have been read so far.
        :param seen_at: steady time of the newest successful read.
        :param vacant: nobody owns, or the owner has resigned.
        """
        if seen_at == float("-inf"):
            return False
        if seen_at - self._seen_at > _GAP_S:
            self._heard_at += seen_at - self._seen_at
        self._seen_at = seen_at
        if count != self._count:
            self._count = count
            self._heard_at = max(seen_at, self._heard_at)
            self._first_at = None
        silent = vacant or seen_at - self._heard_at >= SILENCE_S
        if not silent:
            self._first_at = None
            return False
        if self._first_at is None:
            self._first_at = now
        # A read that is older than the decision could have missed a claim.
        fresh = now - seen_at < SILENCE_S
        return fresh and now - self._first_at >= self._wait_s
