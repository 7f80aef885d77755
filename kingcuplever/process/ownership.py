"""Who owns a data centre's scheduling: claims and renewals on its stream.

An entry claims the next epoch when it has read the stream's end without a
break for longer than the owner's lease and seen no renewal.  The first
claim of an epoch wins at every reader.  An owner trusts its lease only from
the moment when it sent a renewal that it has read back.
"""

import enum
from typing import Final

# Renewals per lease.
_RENEWALS: Final = 3
# Less preferred entries wait longer by this share of the lease each.
_RANK_SHARE: Final = 0.5


class Step(enum.Enum):
    """What an entry should append now."""

    NOTHING = "nothing"
    CLAIM = "claim"
    RENEW = "renew"


class Ownership:
    """One entry's view of who owns one stream.  Times are monotonic."""

    def __init__(self, name: str, lease_s: float, rank: int) -> None:
        """Start without having read anything.

        :param rank: 0 for the entry that should own the stream, 1 for the
            next, and so on.
        """
        self._name = name
        self._lease_s = lease_s
        self._patience_s = lease_s * (1 + _RANK_SHARE * rank)
        self._owner = ""
        self._heard_at: float | None = None
        self._reading_since: float | None = None
        self._sent_at: float | None = None
        self._pending_sent_at: dict[str, float] = {}
        self._trusted_until = 0.0

    @property
    def is_mine(self) -> bool:
        """Whether the newest claim read is this entry's."""
        return self._owner == self._name

    def owns(self, now: float) -> bool:
        """Tell whether this entry may decide."""
        return self.is_mine and now < self._trusted_until

    def read_end(self, now: float) -> None:
        """Note that the stream was read to its end."""
        if self._reading_since is None:
            self._reading_since = now

    def read_failed(self) -> None:
        """Note that the stream could not be read."""
        self._reading_since = None

    def heard_owner(self, owner: str, now: float) -> None:
        """Note a record that counted as the present owner's."""
        if owner != self._owner:
            self._trusted_until = 0.0
        self._owner = owner
        self._heard_at = now

    def sent(self, record_id: str, now: float) -> None:
        """Note when a claim or renewal was sent."""
        self._sent_at = now
        self._pending_sent_at[record_id] = now

    def read_back(self, record_id: str) -> None:
        """Note that an own claim or renewal counted."""
        sent_at = self._pending_sent_at.pop(record_id, None)
        if sent_at is not None:
            until = sent_at + self._lease_s
            self._trusted_until = max(self._trusted_until, until)

    def forget_sent(self, now: float) -> None:
        """Drop what was sent so long ago that it can prove nothing."""
        for record_id, sent_at in list(self._pending_sent_at.items()):
            if now - sent_at > self._lease_s:
                del self._pending_sent_at[record_id]

    def step(self, now: float) -> Step:
        """Say what to append now."""
        self.forget_sent(now)
        if self._reading_since is None:
            return Step.NOTHING
        if self.is_mine:
            return self._step_as_owner(now)
        quiet_since = self._reading_since
        patience_s = self._patience_s
        if self._heard_at is None:
            # Nobody has ever owned the stream, so no lease can be open.
            patience_s -= self._lease_s
        else:
            quiet_since = max(quiet_since, self._heard_at)
        if now - quiet_since < patience_s:
            return Step.NOTHING
        if self._sent_at is not None and now - self._sent_at < self._lease_s:
            return Step.NOTHING
        return Step.CLAIM

    def _step_as_owner(self, now: float) -> Step:
        period_s = self._lease_s / _RENEWALS
        if self._sent_at is not None and now - self._sent_at < period_s:
            return Step.NOTHING
        return Step.RENEW
