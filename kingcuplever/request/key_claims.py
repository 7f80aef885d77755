"""Requests that may run at most once and carry a key.

Before such a request is dispatched, two sides witness which side runs the
key: the key's home on the ring and the side after it.  A resend through any
entry finds the witnesses and goes to the same runner, which joins or repeats
the answer.  What can't be proven ends as ``OUTCOME_UNKNOWN``.
"""

import enum
from typing import Final
from typing import NamedTuple

from kingcuplever import errors
from kingcuplever import messages
from kingcuplever.process.routing import members

# Sides that witness each key.
_CLAIM_REPLICAS: Final = 2
_CLAIM_TIMEOUT_S: Final = 1.0
# Times to look for the witnesses again after one of them went away.
_MAX_LOOKUPS: Final = 3


class ClaimStatus(enum.Enum):
    """What the witnesses say of a key.

    A claimed key may still be run by its runner; a disputed one, which the
    witnesses ascribe to different sides, may not be run by any.
    """

    GRANTED = "granted"
    FENCED = "fenced"
    CLAIMED = "claimed"
    DISPUTED = "disputed"
    UNPROVABLE = "unprovable"


class ClaimOutcome(NamedTuple):
    """What the witnesses say of a key.

    :ivar runner: who runs it, where it is claimed.
    :ivar turn: which of the key's claims that is.
    """

    status: ClaimStatus
    runner: str = ""
    incarnation: int = 0
    detail: str = ""
    turn: int = 0


class KeyClaimer:
    """Claims keys at their witnesses."""

    def __init__(self, sides: members.Members) -> None:
        """Use the linked sides as witnesses."""
        self._sides = sides

    async def claim(
        self,
        request: str,
        key: str,
        runner: str,
        incarnation: int,
        since_ms: int,
        replaces: str = "",
        replaces_turn: int = 0,
    ) -> ClaimOutcome:
        """Claim a key for a runner, at every witness in turn.

        The order is the same for all entries, so that two of them can't
        each win half.

        :param runner: the side that is to run it; empty to fence the key.
        :param since_ms: wall clock when this sending of the key came.
        :param replaces: side that has fenced the key, up to a turn.
        :return: ``GRANTED`` if the claim, or the fence, holds.
        """
        message = messages.Claim(
            request,
            key,
            runner,
            incarnation,
            replaces,
            since_ms,
            replaces_turn,
        )
        fate = ClaimOutcome(ClaimStatus.UNPROVABLE, detail="no side is linked")
        for _ in range(_MAX_LOOKUPS):
            holders = self._sides.find_claim_replicas(key, _CLAIM_REPLICAS)
            fate = await self._claim_at_replicas(holders, message)
            if fate.status is not ClaimStatus.UNPROVABLE:
                break
            now = self._sides.find_claim_replicas(key, _CLAIM_REPLICAS)
            if now == holders or not set(now) & set(holders):
                # A witness that is there does not answer, or none is left
                # of those who could remember the key.
                break
        return fate

    async def _claim_at_replicas(
        self, holders: list[members.Link], message: messages.Claim
    ) -> ClaimOutcome:
        """Claim a key at given witnesses, the home last."""
        if not holders:
            return ClaimOutcome(
                ClaimStatus.UNPROVABLE, detail="no side is linked"
            )
        granted: dict[str, int] = {}
        for link in reversed(holders):
            reply = await _claim_at_replica(link, message)
            if isinstance(reply, ClaimOutcome):
                return reply
            if reply.granted:
                granted[link.side] = reply.turn
                continue
            if not reply.runner:
                detail = "the key was fenced after this sending came"
                return ClaimOutcome(ClaimStatus.FENCED, detail=detail)
            known = message._replace(
                runner=reply.runner,
                incarnation=reply.incarnation,
                replaces=message.runner,
            )
            fate = await _converge_replicas(holders, granted, known)
            return fate._replace(turn=reply.turn)
        # A witness that came later has counted fewer claims.
        return ClaimOutcome(ClaimStatus.GRANTED, turn=max(granted.values()))


async def _claim_at_replica(
    link: members.Link, message: messages.Claim
) -> messages.ClaimReply | ClaimOutcome:
    """Claim a key at one witness; give a fate if that fails."""
    try:
        reply = await link.peer.call(message, _CLAIM_TIMEOUT_S)
    except errors.KingcupleverError as error:
        detail = f"witness {link.side}: {error.detail}"
        return ClaimOutcome(ClaimStatus.UNPROVABLE, detail=detail)
    if not isinstance(reply, messages.ClaimReply):
        detail = f"witness {link.side} sent no reply of ours"
        return ClaimOutcome(ClaimStatus.UNPROVABLE, detail=detail)
    return reply


async def _converge_replicas(
    holders: list[members.Link],
    granted: dict[str, int],
    known: messages.Claim,
) -> ClaimOutcome:
    """Have all witnesses agree on the runner that one of them knows.

    :param granted: sides that have witnessed this sending's own claim, with
        its turn there; it is taken back in favour of the known one.
    :param known: claim for the known runner, replacing this sending's.
    """
    agreed = True
    for link in holders:
        turn = granted.get(link.side, 0)
        claim = known._replace(
            replaces=known.replaces if turn else "", replaces_turn=turn
        )
        reply = await _claim_at_replica(link, claim)
        if isinstance(reply, ClaimOutcome) or not reply.granted:
            agreed = False
    standing = ClaimStatus.CLAIMED if agreed else ClaimStatus.DISPUTED
    return ClaimOutcome(standing, known.runner, known.incarnation)
