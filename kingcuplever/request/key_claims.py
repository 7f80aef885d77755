"""Claims idempotency keys, so that a request with a key runs at most once.

Before such a request is dispatched, a claim that names the side that runs it
is stored at two claim replicas: the key's primary side on the hash ring and
the next one.  A retry through any entry finds the same replicas and goes to
the same runner, which joins the run in progress or repeats its reply.  If the
replicas can't tell who runs a key, the request ends as ``OUTCOME_UNKNOWN``.
"""

import enum
from typing import Final
from typing import NamedTuple

from kingcuplever import errors
from kingcuplever import messages
from kingcuplever.process.routing import members

# Replicas of each claim.
_CLAIM_REPLICAS: Final = 2
_CLAIM_TIMEOUT_S: Final = 1.0
# Attempts to claim a key while its replicas change.
_MAX_LOOKUPS: Final = 3


class ClaimStatus(enum.Enum):
    """Status of a key at its claim replicas.

    A claimed key may still be run by its runner.  A disputed one, for which
    the replicas name different runners, may not be run by any side.
    """

    GRANTED = "granted"
    FENCED = "fenced"
    CLAIMED = "claimed"
    DISPUTED = "disputed"
    UNPROVABLE = "unprovable"


class ClaimOutcome(NamedTuple):
    """Outcome of claiming a key.

    :ivar runner: the side that runs the key, if another claim is in force.
    :ivar incarnation: incarnation of the runner.
    :ivar detail: why the key was not claimed.
    :ivar turn: turn of the claim that is in force.
    """

    status: ClaimStatus
    runner: str = ""
    incarnation: int = 0
    detail: str = ""
    turn: int = 0


class KeyClaimer:
    """Client of the claim replicas."""

    def __init__(self, sides: members.Members) -> None:
        """Use the members as claim replicas."""
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
        """Claim a key for a runner, at one replica after the other.

        All entries use the same order, so that two of them can't each win at
        one of the replicas.

        :param runner: side that is to run the key; empty to fence the key.
        :param since_ms: wall-clock time when the entry received the request.
        :param replaces: side that has fenced the key and can be replaced as
            its runner, or empty.
        :param replaces_turn: highest turn that is fenced at that side.
        :return: ``GRANTED`` if the claim, or the fence, is in force.
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
        outcome = ClaimOutcome(
            ClaimStatus.UNPROVABLE, detail="no side is connected"
        )
        for _ in range(_MAX_LOOKUPS):
            replicas = self._sides.find_claim_replicas(key, _CLAIM_REPLICAS)
            outcome = await self._claim_at_replicas(replicas, message)
            if outcome.status is not ClaimStatus.UNPROVABLE:
                break
            asked = _identify(replicas)
            current = _identify(
                self._sides.find_claim_replicas(key, _CLAIM_REPLICAS)
            )
            if current == asked or not current & asked:
                # Another lookup does not help: a connected replica does not
                # answer, or none is left that may store an earlier claim.
                break
        return outcome

    async def _claim_at_replicas(
        self, replicas: list[members.Link], message: messages.Claim
    ) -> ClaimOutcome:
        """Claim a key at the given replicas, the primary last."""
        if not replicas:
            return ClaimOutcome(
                ClaimStatus.UNPROVABLE, detail="no side is connected"
            )
        granted_turns: dict[str, int] = {}
        for link in reversed(replicas):
            reply = await _claim_at_replica(link, message)
            if isinstance(reply, ClaimOutcome):
                return reply
            if reply.granted:
                granted_turns[link.side] = reply.turn
                continue
            if not reply.runner:
                detail = "the key was fenced after this request was received"
                return ClaimOutcome(ClaimStatus.FENCED, detail=detail)
            existing = message._replace(
                runner=reply.runner,
                incarnation=reply.incarnation,
                replaces=message.runner,
            )
            outcome = await _converge_replicas(
                replicas, granted_turns, existing
            )
            return outcome._replace(turn=reply.turn)
        # A replica that joined later has counted fewer turns.
        return ClaimOutcome(
            ClaimStatus.GRANTED, turn=max(granted_turns.values())
        )


def _identify(replicas: list[members.Link]) -> set[tuple[str, int]]:
    """Return the sides with their incarnations.

    A link is replaced with each heartbeat; the claims are still there.
    """
    return {(link.side, link.incarnation) for link in replicas}


async def _claim_at_replica(
    link: members.Link, message: messages.Claim
) -> messages.ClaimReply | ClaimOutcome:
    """Claim a key at one replica.

    :return: the replica's reply, or the outcome if there was none.
    """
    try:
        reply = await link.peer.call(message, _CLAIM_TIMEOUT_S)
    except errors.KingcupleverError as error:
        detail = f"claim replica {link.side}: {error.detail}"
        return ClaimOutcome(ClaimStatus.UNPROVABLE, detail=detail)
    if not isinstance(reply, messages.ClaimReply):
        detail = f"claim replica {link.side} sent an unexpected reply"
        return ClaimOutcome(ClaimStatus.UNPROVABLE, detail=detail)
    return reply


async def _converge_replicas(
    replicas: list[members.Link],
    granted_turns: dict[str, int],
    existing: messages.Claim,
) -> ClaimOutcome:
    """Claim a key at all replicas for the runner that one of them has named.

    :param granted_turns: sides that have granted this request's own claim,
        with its turn there; it is replaced by the existing one.
    :param existing: claim for the existing runner, which replaces that of
        this request.
    """
    agreed = True
    for link in replicas:
        turn = granted_turns.get(link.side, 0)
        claim = existing._replace(
            replaces=existing.replaces if turn else "", replaces_turn=turn
        )
        reply = await _claim_at_replica(link, claim)
        if isinstance(reply, ClaimOutcome) or not reply.granted:
            agreed = False
    status = ClaimStatus.CLAIMED if agreed else ClaimStatus.DISPUTED
    return ClaimOutcome(status, existing.runner, existing.incarnation)
