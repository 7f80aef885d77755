"""Detects that the owner has failed, so that another entry may claim.

It combines two sources: the owner's records on the log, as far as this entry
could read them, and the owner's answers to probes over a direct connection.
A failure that only the log shows takes the longest timeout; a failed probe
shortens it.
"""

import enum
from typing import Final
from typing import NamedTuple

# Time without a record of the owner after which another entry claims, even if
# the owner answers probes.  Longer than three renewal periods, so that one
# slow append does not count as a failure.
SILENCE_TIMEOUT_S: Final = 1.6
# The same while probes go unanswered: two renewal periods and a slow append.
UNANSWERED_TIMEOUT_S: Final = 0.9
# An owner whose current append has failed for this long, or this many times,
# counts as disconnected from the log.  The count covers connections that fail
# at once, and so often within a short time.
APPEND_FAILURE_S: Final = 1.0
MAX_FAILED_TRIES: Final = 3
# How long this entry must have been able to read the log before an owner that
# can't append counts as lost; the log may have been unavailable to everyone.
_MIN_READABLE_S: Final = 0.4
# Entries that detect the failure at the same time delay their claims by a part
# of this, those with a higher election weight by less, so that there is mostly
# one claim only.  The log rejects all but the first.
CLAIM_JITTER_S: Final = 0.2
# Successful reads further apart than this had failed reads between them.
_MAX_READ_GAP_S: Final = 1.2


class ProbeOutcome(enum.Enum):
    """What a probe of the owner's entry has shown."""

    OWNS = "owns"
    APPEND_FAILING = "owns, and can't append"
    NO_ANSWER = "no answer"
    NOT_OWNER = "owns no more"


class ProbeResult(NamedTuple):
    """Result of the newest probe of the owner's entry.

    :ivar failing_since: monotonic time, in seconds, since when the owner's
        append has been failing; set with ``APPEND_FAILING`` only.
    """

    outcome: ProbeOutcome
    failing_since: float = 0.0


class LogStatus(NamedTuple):
    """State of the log as this entry has read it.

    :ivar owner_records: count of the records by owners read so far.
    :ivar read_at: monotonic time, in seconds, of the newest successful read.
    :ivar is_vacant: whether there is no owner, or it has resigned.
    :ivar is_own_entry: whether the owner was an earlier process of this entry.
    """

    owner_records: int
    read_at: float
    is_vacant: bool
    is_own_entry: bool = False


class OwnerFailureDetector:
    """Decides when one entry may claim the ownership."""

    def __init__(self, election_weight: float, jitter: float) -> None:
        """Start without any reading of the log.

        :param election_weight: 0 to 1; a higher weight claims earlier.
        :param jitter: random number, 0 to 1, so that hosts of equal weight
            claim at different times.
        """
        self._claim_delay_s = CLAIM_JITTER_S * (
            1.0 - election_weight * 0.75 + jitter / 4
        )
        self._owner_records = -1
        self._last_record_at = 0.0
        self._last_read_at = 0.0
        self._readable_since = 0.0
        self._lost_since: float | None = None

    def silence_s(self, now: float) -> float:
        """Return the time since the newest record of an owner, in seconds."""
        return now - self._last_record_at

    def may_claim(
        self, log_status: LogStatus, probe: ProbeResult, now: float
    ) -> bool:
        """Return whether to claim now, and record the reading.

        A period without successful reads does not count as silence of the
        owner.
        """
        read_at = log_status.read_at
        if read_at == float("-inf"):
            return False
        if read_at - self._last_read_at > _MAX_READ_GAP_S:
            self._last_record_at += read_at - self._last_read_at
            self._readable_since = read_at
        self._last_read_at = read_at
        if log_status.owner_records != self._owner_records:
            self._owner_records = log_status.owner_records
            self._last_record_at = max(read_at, self._last_record_at)
            self._lost_since = None
        if not self._is_lost(log_status, probe):
            self._lost_since = None
            return False
        if self._lost_since is None:
            self._lost_since = now
        # With an old reading, a claim by another entry may be missing.
        is_fresh = now - read_at < SILENCE_TIMEOUT_S
        delay_s = 0.0 if log_status.is_own_entry else self._claim_delay_s
        return is_fresh and now - self._lost_since >= delay_s

    def _is_lost(self, log_status: LogStatus, probe: ProbeResult) -> bool:
        """Return whether there is no owner, or it has failed."""
        if (
            log_status.is_vacant
            or log_status.is_own_entry
            or probe.outcome is ProbeOutcome.NOT_OWNER
        ):
            return True
        if probe.outcome is ProbeOutcome.APPEND_FAILING:
            since = max(self._readable_since, probe.failing_since)
            return log_status.read_at - since >= _MIN_READABLE_S
        timeout_s = (
            UNANSWERED_TIMEOUT_S
            if probe.outcome is ProbeOutcome.NO_ANSWER
            else SILENCE_TIMEOUT_S
        )
        return log_status.read_at - self._last_record_at >= timeout_s
