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
_HOLDERS: Final = 2
_CLAIM_TIMEOUT_S: Final = 1.0
# Times to look for the witnesses again after one of them went away.
_ROUNDS: Final = 3


class Standing(enum.Enum):
    """What the witnesses say of a key.

    A claimed key may still be run by its runner; a disputed one, which the
    witnesses ascribe to different sides, may not be run by any.
    """

    GRANTED = "granted"
    FENCED = "fenced"
    CLAIMED = "claimed"
    DISPUTED = "disputed"
    UNPROVABLE = "unprovable"


class Fate(NamedTuple):
    """What the witnesses say of a key.

    :ivar runner: who runs it, where it is claimed.
    :ivar turn: which of the key's claims that is.
    """

    standing: Standing
    runner: str = ""
    incarnation: int = 0
    detail: str = ""
    turn: int = 0


class Witnesses:
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
    ) -> Fate:
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
        fate = Fate(Standing.UNPROVABLE, detail="no side is linked")
        for _ in range(_ROUNDS):
            holders = self._sides.holders(key, _HOLDERS)
            fate = await self._claim_at(holders, message)
            if fate.standing is not Standing.UNPROVABLE:
                break
            now = self._sides.holders(key, _HOLDERS)
            if now == holders or not set(now) & set(holders):
                # A witness that is there does not answer, or none is left
                # of those who could remember the key.
                break
        return fate

    async def _claim_at(
        self, holders: list[members.Link], message: messages.Claim
    ) -> Fate:
        """Claim a key at given witnesses, the home last."""
        if not holders:
            return Fate(Standing.UNPROVABLE, detail="no side is linked")
        granted: dict[str, int] = {}
        for link in reversed(holders):
            reply = await _ask(link, message)
            if isinstance(reply, Fate):
                return reply
            if reply.granted:
                granted[link.side] = reply.turn
                continue
            if not reply.runner:
                detail = "the key was fenced after this sending came"
                return Fate(Standing.FENCED, detail=detail)
            known = message._replace(
                runner=reply.runner,
                incarnation=reply.incarnation,
                replaces=message.runner,
            )
            fate = await _settle(holders, granted, known)
            return fate._replace(turn=reply.turn)
        # A witness that came later has counted fewer claims.
        return Fate(Standing.GRANTED, turn=max(granted.values()))


async def _ask(
    link: members.Link, message: messages.Claim
) -> messages.ClaimReply | Fate:
    """Claim a key at one witness; give a fate if that fails."""
    try:
        reply = await link.peer.call(message, _CLAIM_TIMEOUT_S)
    except errors.KingcupleverError as error:
        detail = f"witness {link.side}: {error.detail}"
        return Fate(Standing.UNPROVABLE, detail=detail)
    if not isinstance(reply, messages.ClaimReply):
        detail = f"witness {link.side} sent no reply of ours"
        return Fate(Standing.UNPROVABLE, detail=detail)
    return reply


async def _settle(
    holders: list[members.Link],
    granted: dict[str, int],
    known: messages.Claim,
) -> Fate:
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
        reply = await _ask(link, claim)
        if isinstance(reply, Fate) or not reply.granted:
            agreed = False
    standing = Standing.CLAIMED if agreed else Standing.DISPUTED
    return Fate(standing, known.runner, known.incarnation)
