"""What a side remembers of request keys: at most one run of each.

A key is remembered before its target sees the request, and until the
horizon has passed after its end.  The table is bounded; a full table refuses
new keys and forgets none early.  Pure: time is passed in.
"""

import collections
import enum
from typing import Final
from typing import NamedTuple

from kingcuplever import messages

MAX_KEYS: Final = 100_000
# Entries' wall clocks may differ by so much.
MAX_CLOCK_SKEW_MS: Final = 100
# Answers larger than this are not kept; a resend learns that it ran.
MAX_CACHED_REPLY_BYTES: Final = 64 * 1024
# All kept answers together.
MAX_CACHED_BYTES: Final = 16 * 1024 * 1024


class Admission(enum.Enum):
    """What to do with a dispatch that carries a key."""

    RUN = "run"
    JOIN = "join"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    FENCED = "fenced"
    FULL = "full"


class KeyClaim(NamedTuple):
    """Who runs a key.

    :ivar runner: the side; empty for a fence.
    :ivar incarnation: of the runner; of a fence, its wall clock.
    :ivar turn: counts the claims of the key that changed who runs it.
    """

    runner: str
    incarnation: int
    turn: int = 0


class _KeyState:
    """One key that runs or ran here, by its newest claim."""

    def __init__(self, turn: int) -> None:
        self.turn = turn
        self.ended_at = 0.0
        self.reply: messages.DispatchReply | None = None
        self.ended = False
        self.fenced = False


class KeyTable:
    """Keys that run or ran at this side."""

    def __init__(self, horizon_s: float) -> None:
        """Remember each key for ``horizon_s`` after its end."""
        self._horizon_s = horizon_s
        self._keys: dict[str, _KeyState] = {}
        self._expirations: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self._cached_bytes = 0

    def __len__(self) -> int:
        """Count the remembered keys."""
        return len(self._keys)

    def admit(self, key: str, turn: int, now: float) -> Admission:
        """Decide about a dispatch; a new key is remembered at once.

        A fenced key runs again only by a later claim that chose this side
        once more; what was sent by an earlier one can still be on its way.

        :param turn: the claim's.
        """
        self._expire(now)
        known = self._keys.get(key)
        if known is None:
            if len(self._keys) >= MAX_KEYS:
                return Admission.FULL
            self._keys[key] = _KeyState(turn)
            return Admission.RUN
        if known.fenced and turn <= known.turn:
            return Admission.FENCED
        known.turn = max(turn, known.turn)
        if known.fenced:
            known.fenced = known.ended = False
            return Admission.RUN
        if not known.ended:
            return Admission.JOIN
        if known.reply is not None:
            return Admission.ANSWERED
        return Admission.UNKNOWN

    def has_key(self, key: str) -> bool:
        """Tell whether a key is remembered."""
        return key in self._keys

    def get_reply(self, key: str) -> messages.DispatchReply | None:
        """Give the answer that a key had, if it is kept."""
        known = self._keys.get(key)
        return known.reply if known else None

    def record_reply(
        self, key: str, reply: messages.DispatchReply, now: float
    ) -> None:
        """Note how a key's run ended.

        A key that did not run is fenced: it does not run here, so that
        another side may safely run it, until a later claim chooses this one.
        """
        known = self._keys[key]
        known.ended = True
        known.ended_at = now
        known.fenced = reply.verdict == messages.NOT_RUN
        self._expirations.append((now, key))
        size = len(reply.body)
        fits = self._cached_bytes + size <= MAX_CACHED_BYTES
        answered = reply.verdict == messages.ANSWERED
        if answered and size <= MAX_CACHED_REPLY_BYTES and fits:
            known.reply = reply
            self._cached_bytes += size

    def _expire(self, now: float) -> None:
        while (
            self._expirations
            and now - self._expirations[0][0] > self._horizon_s
        ):
            ended_at, key = self._expirations.popleft()
            known = self._keys[key]
            if not known.ended or known.ended_at > ended_at:
                # It has run, or has been refused, once more since.
                continue
            del self._keys[key]
            if known.reply is not None:
                self._cached_bytes -= len(known.reply.body)


class ClaimTable:
    """Keys whose runner this side witnesses."""

    def __init__(self, horizon_s: float) -> None:
        """Remember each claim for ``horizon_s`` after it was last asked."""
        self._horizon_s = horizon_s
        self._claims: dict[str, tuple[float, KeyClaim]] = {}

    def __len__(self) -> int:
        """Count the remembered claims."""
        return len(self._claims)

    def claim(
        self,
        key: str,
        claimed: KeyClaim,
        replaces: str,
        since_ms: int,
        now: float,
        replaces_turn: int = 0,
    ) -> tuple[bool, KeyClaim] | None:
        """Claim a key for a runner, or fence it.

        A fence holds against every sending that came before it; a later
        sending may claim the key again.

        :param claimed: the runner; without one, the key is fenced.
        :param replaces: side that has fenced the key, or empty.
        :param since_ms: wall clock when this sending came.
        :param replaces_turn: claim up to which that side has fenced it; a
            side that was chosen once more since is not replaced.
        :return: whether the claim holds, and who runs the key; ``None`` if
            the table is full.
        """
        self._expire(now)
        wanted = claimed if claimed.runner else KeyClaim("", since_ms)
        entry = self._claims.pop(key, None)
        if entry is None:
            if len(self._claims) >= MAX_KEYS:
                return None
            wanted = wanted._replace(turn=1)
            self._claims[key] = (now, wanted)
            return True, wanted
        known = entry[1]
        if replaces and known.turn > replaces_turn:
            replaces = ""
        holds = _may_replace(known, wanted, replaces, since_ms)
        if holds and not wanted.runner and not known.runner:
            fenced_ms = max(known.incarnation, since_ms)
            wanted = KeyClaim("", fenced_ms)
        kept = known
        if holds:
            again = bool(replaces) and known.runner == replaces
            chosen = again or known[:2] != wanted[:2]
            is_new = bool(wanted.runner) and chosen
            kept = wanted._replace(turn=known.turn + is_new)
        self._claims[key] = (now, kept)
        return holds, kept

    def _expire(self, now: float) -> None:
        # The table is in the order of the last asking.
        while self._claims:
            key = next(iter(self._claims))
            if now - self._claims[key][0] <= self._horizon_s:
                return
            del self._claims[key]


def _may_replace(
    known: KeyClaim, wanted: KeyClaim, replaces: str, since_ms: int
) -> bool:
    if known[:2] == wanted[:2]:
        return True
    if known.runner:
        return bool(replaces) and known.runner == replaces
    # A fence keeps its time in the place of the incarnation.
    return (
        not wanted.runner or since_ms > known.incarnation + MAX_CLOCK_SKEW_MS
    )
