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
from kingcuplever.process import members

# Sides that witness each key.
_HOLDERS: Final = 2
_CLAIM_TIMEOUT_S: Final = 1.0


class Standing(enum.Enum):
    """What the witnesses say of a key."""

    GRANTED = "granted"
    FENCED = "fenced"
    CLAIMED = "claimed"
    UNPROVABLE = "unprovable"


class Fate(NamedTuple):
    """What the witnesses say of a key.

    :ivar runner: who runs it, where it is claimed.
    """

    standing: Standing
    runner: str = ""
    incarnation: int = 0
    detail: str = ""


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
    ) -> Fate:
        """Claim a key for a runner, at every witness in turn.

        The order is the same for all entries, so that two of them can't
        each win half.

        :param runner: the side that is to run it; empty to fence the key.
        :param since_ms: wall clock when this sending of the key came.
        :param replaces: side that has fenced the key.
        :return: ``GRANTED`` if the claim, or the fence, holds.
        """
        holders = self._sides.holders(key, _HOLDERS)
        if not holders:
            return Fate(Standing.UNPROVABLE, detail="no side is linked")
        for link in reversed(holders):
            message = messages.Claim(
                request, key, runner, incarnation, replaces, since_ms
            )
            try:
                reply = await link.peer.call(message, _CLAIM_TIMEOUT_S)
            except errors.KingcupleverError as error:
                detail = f"witness {link.side}: {error.detail}"
                return Fate(Standing.UNPROVABLE, detail=detail)
            if not isinstance(reply, messages.ClaimReply):
                detail = f"witness {link.side} sent no reply of ours"
                return Fate(Standing.UNPROVABLE, detail=detail)
            if reply.granted:
                continue
            if not reply.runner:
                detail = "the key was fenced after this sending came"
                return Fate(Standing.FENCED, detail=detail)
            return Fate(Standing.CLAIMED, reply.runner, reply.incarnation)
        return Fate(Standing.GRANTED)
