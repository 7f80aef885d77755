"""Tells when the owner is lost, so that another entry may claim.

Two witnesses count: the log, as far as it could be read, and the owner's own
entry, which is asked over a direct link.  The log alone is enough to call an
owner lost after a longer silence; with the other's word less is needed.
"""

import enum
from typing import Final
from typing import NamedTuple

# Without any record of the owner for so long, another entry takes over even
# if the owner's entry answers; over three renewals, so that one slow append
# is no silence.
SILENCE_TIMEOUT_S: Final = 1.6
# The same where the owner's entry does not answer either; two renewals and a
# slow append.
UNANSWERED_TIMEOUT_S: Final = 0.9
# An owner whose append has failed for so long, or so often, is cut from the
# log; a connection that fails at once fails often.
APPEND_FAILURE_S: Final = 1.0
MAX_FAILED_TRIES: Final = 3
# The log must have been readable here for so long before an owner that can't
# append counts as cut off alone; it may have been away for all.
_READABLE_S: Final = 0.4
# Entries that notice at the same time wait a part of this, stronger ones
# less, so that the first claim is mostly the only one; the log refuses all
# others.
CLAIM_JITTER_S: Final = 0.2
# Reads further apart than this have a failure between them.
_GAP_S: Final = 1.2


class ProbeOutcome(enum.Enum):
    """What the owner's entry says about its ownership."""

    OWNS = "owns"
    APPEND_FAILING = "owns, and can't append"
    NO_ANSWER = "no answer"
    NOT_OWNER = "owns no more"


class ProbeResult(NamedTuple):
    """The word of the owner's entry.

    :ivar failing_since: steady time since when its append has been failing.
    """

    outcome: ProbeOutcome
    failing_since: float = 0.0


class LogStatus(NamedTuple):
    """What has been read of the log.

    :ivar owner_records: records of owners that have been read so far.
    :ivar seen_at: steady time of the newest successful read.
    :ivar vacant: nobody owns, or the owner has resigned.
    :ivar is_ours: the owner was an earlier process of this very entry.
    """

    owner_records: int
    read_at: float
    is_vacant: bool
    is_own_entry: bool = False


class OwnerFailureDetector:
    """Watches the records of owners, as one entry reads them."""

    def __init__(self, strength: float, jitter: float) -> None:
        """Begin to watch.

        :param strength: 0 to 1, how much of a host this is.
        :param luck: a random number, 0 to 1, to tell equal hosts apart.
        """
        self._wait_s = CLAIM_JITTER_S * (1.0 - strength * 0.75 + jitter / 4)
        self._count = -1
        self._heard_at = 0.0
        self._seen_at = 0.0
        self._readable_since = 0.0
        self._first_at: float | None = None

    def silence_s(self, now: float) -> float:
        """Tell how long no owner's record has been read, in seconds."""
        return now - self._heard_at

    def may_claim(
        self, log_status: LogStatus, probe: ProbeResult, now: float
    ) -> bool:
        """Tell whether to claim now."""
        seen_at = log_status.read_at
        if seen_at == float("-inf"):
            return False
        if seen_at - self._seen_at > _GAP_S:
            self._heard_at += seen_at - self._seen_at
            self._readable_since = seen_at
        self._seen_at = seen_at
        if log_status.owner_records != self._count:
            self._count = log_status.owner_records
            self._heard_at = max(seen_at, self._heard_at)
            self._first_at = None
        if not self._is_lost(log_status, probe):
            self._first_at = None
            return False
        if self._first_at is None:
            self._first_at = now
        # A read that is older than the decision could have missed a claim.
        fresh = now - seen_at < SILENCE_TIMEOUT_S
        wait_s = 0.0 if log_status.is_own_entry else self._wait_s
        return fresh and now - self._first_at >= wait_s

    def _is_lost(self, reading: LogStatus, told: ProbeResult) -> bool:
        """Tell whether nobody decides any more."""
        if (
            reading.is_vacant
            or reading.is_own_entry
            or told.outcome is ProbeOutcome.NOT_OWNER
        ):
            return True
        if told.outcome is ProbeOutcome.APPEND_FAILING:
            since = max(self._readable_since, told.failing_since)
            return reading.read_at - since >= _READABLE_S
        enough_s = (
            UNANSWERED_TIMEOUT_S
            if told.outcome is ProbeOutcome.NO_ANSWER
            else SILENCE_TIMEOUT_S
        )
        return reading.read_at - self._heard_at >= enough_s
