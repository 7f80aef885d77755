"""Deduplicates requests by idempotency key at one side.

``KeyTable`` runs each key at most once: it stores a key before the target
sees the request and drops it only when the retention time (the horizon) has
passed since the run ended.  ``ClaimTable`` is a side's replica of the claims
that say which side runs a key.  Both tables are bounded: a full table refuses
new keys and evicts none early.  No I/O: time is passed in.
"""

import collections
import enum
from typing import Final
from typing import NamedTuple

from kingcuplever import messages

MAX_KEYS: Final = 100_000
# Largest difference between the wall clocks of two entries.
MAX_CLOCK_SKEW_MS: Final = 100
# A larger reply is not cached; a repeated request is then answered that the
# key ran, but without the reply.
MAX_CACHED_REPLY_BYTES: Final = 64 * 1024
# Total size of all cached replies.
MAX_CACHED_BYTES: Final = 16 * 1024 * 1024


class Admission(enum.Enum):
    """Decision on a dispatch that carries an idempotency key."""

    RUN = "run"
    JOIN = "join"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    FENCED = "fenced"
    FULL = "full"


class KeyClaim(NamedTuple):
    """The claim of a key by the side that runs it, or a fence.

    :ivar runner: name of the side; empty for a fence.
    :ivar incarnation: incarnation of the runner; for a fence, its
        wall-clock time in milliseconds.
    :ivar turn: number of claims so far that chose a runner, whether another
        one or the same one again after it had fenced the key.
    """

    runner: str
    incarnation: int
    turn: int = 0


class _KeyState:
    """State of one key that is running or has run at this side.

    :ivar turn: turn of the newest claim that a dispatch carried.
    :ivar ended: whether the run is over, also if it was refused.
    :ivar fenced: whether the run was refused before it reached the target.
    """

    def __init__(self, turn: int) -> None:
        self.turn = turn
        self.ended_at = 0.0
        self.reply: messages.DispatchReply | None = None
        self.ended = False
        self.fenced = False


class KeyTable:
    """Keys that are running or have run at this side, with their replies."""

    def __init__(self, horizon_s: float) -> None:
        """Create an empty table.

        :param horizon_s: how long a key is retained after its run ended.
        """
        self._horizon_s = horizon_s
        self._keys: dict[str, _KeyState] = {}
        self._expirations: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self._cached_bytes = 0

    def __len__(self) -> int:
        """Count the retained keys."""
        return len(self._keys)

    def admit(self, key: str, turn: int, now: float) -> Admission:
        """Decide on a dispatch, and store the key if it is to run.

        A fenced key runs again only with a higher turn, that is, for a later
        claim that chose this side again: a dispatch that follows an earlier
        claim may have been delayed in the network.

        :param turn: turn of the claim that the dispatch follows.
        """
        self._expire(now)
        state = self._keys.get(key)
        if state is None:
            if len(self._keys) >= MAX_KEYS:
                return Admission.FULL
            self._keys[key] = _KeyState(turn)
            return Admission.RUN
        if state.fenced and turn <= state.turn:
            return Admission.FENCED
        state.turn = max(turn, state.turn)
        if state.fenced:
            state.fenced = state.ended = False
            return Admission.RUN
        if not state.ended:
            return Admission.JOIN
        if state.reply is not None:
            return Admission.ANSWERED
        return Admission.UNKNOWN

    def has_key(self, key: str) -> bool:
        """Return whether a key is retained."""
        return key in self._keys

    def get_reply(self, key: str) -> messages.DispatchReply | None:
        """Return the cached reply of a key, or ``None``."""
        state = self._keys.get(key)
        return state.reply if state else None

    def record_reply(
        self, key: str, reply: messages.DispatchReply, now: float
    ) -> None:
        """End a key's run, and cache its reply if the limits allow.

        A key that did not run is fenced here until a later claim chooses
        this side again, so that another side can safely run it.
        """
        state = self._keys[key]
        state.ended = True
        state.ended_at = now
        state.fenced = reply.verdict == messages.NOT_RUN
        self._expirations.append((now, key))
        size = len(reply.body)
        fits = self._cached_bytes + size <= MAX_CACHED_BYTES
        answered = reply.verdict == messages.ANSWERED
        if answered and size <= MAX_CACHED_REPLY_BYTES and fits:
            state.reply = reply
            self._cached_bytes += size

    def _expire(self, now: float) -> None:
        while (
            self._expirations
            and now - self._expirations[0][0] > self._horizon_s
        ):
            ended_at, key = self._expirations.popleft()
            state = self._keys[key]
            if not state.ended or state.ended_at > ended_at:
                # The key was admitted again later, with a later expiry.
                continue
            del self._keys[key]
            if state.reply is not None:
                self._cached_bytes -= len(state.reply.body)


class ClaimTable:
    """This side's replica of key claims: which side runs which key."""

    def __init__(self, horizon_s: float) -> None:
        """Create an empty table.

        :param horizon_s: how long a claim is retained after its last request.
        """
        self._horizon_s = horizon_s
        self._claims: dict[str, tuple[float, KeyClaim]] = {}

    def __len__(self) -> int:
        """Count the retained claims."""
        return len(self._claims)

    def claim(
        self,
        key: str,
        proposal: KeyClaim,
        replaces: str,
        since_ms: int,
        now: float,
        replaces_turn: int = 0,
    ) -> tuple[bool, KeyClaim] | None:
        """Claim a key for a runner, or fence it.

        A fence rejects every request with the key that arrived before it; a
        request that arrives later may claim the key again.

        :param proposal: the wanted claim; without a runner, a fence.
        :param replaces: side that has fenced the key and can be replaced as
            its runner, or empty.
        :param since_ms: wall-clock time when the entry received the request.
        :param replaces_turn: highest turn that is fenced at that side; a side
            that was chosen again since then is not replaced.
        :return: whether the proposal was granted, and the claim that is in
            force; ``None`` if the table is full.
        """
        self._expire(now)
        candidate = proposal if proposal.runner else KeyClaim("", since_ms)
        item = self._claims.pop(key, None)
        if item is None:
            if len(self._claims) >= MAX_KEYS:
                return None
            candidate = candidate._replace(turn=1)
            self._claims[key] = (now, candidate)
            return True, candidate
        current = item[1]
        if replaces and current.turn > replaces_turn:
            replaces = ""
        granted = _can_replace(current, candidate, replaces, since_ms)
        if granted and not candidate.runner and not current.runner:
            fenced_ms = max(current.incarnation, since_ms)
            candidate = KeyClaim("", fenced_ms)
        stored = current
        if granted:
            is_replacement = bool(replaces) and current.runner == replaces
            is_changed = is_replacement or current[:2] != candidate[:2]
            starts_turn = bool(candidate.runner) and is_changed
            stored = candidate._replace(turn=current.turn + starts_turn)
        self._claims[key] = (now, stored)
        return granted, stored

    def _expire(self, now: float) -> None:
        # Each request moves its claim to the end, so the oldest comes first.
        while self._claims:
            key = next(iter(self._claims))
            if now - self._claims[key][0] <= self._horizon_s:
                return
            del self._claims[key]


def _can_replace(
    current: KeyClaim, candidate: KeyClaim, replaces: str, since_ms: int
) -> bool:
    if current[:2] == candidate[:2]:
        return True
    if current.runner:
        return bool(replaces) and current.runner == replaces
    # The incarnation of a fence is its wall-clock time.
    return (
        not candidate.runner
        or since_ms > current.incarnation + MAX_CLOCK_SKEW_MS
    )
