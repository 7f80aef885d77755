"""A model of one idempotency key with dispatches in random order.

Requests with the key claim a side and dispatch to the claim's runner.  They
try another side after a refusal, or leave while their dispatch is in flight.
In whatever order the dispatches arrive, the key runs at most once.
"""

from collections.abc import Callable
import contextlib
import functools
import random

from kingcuplever.connection import peer as peers
from kingcuplever.process.routing import idempotency_keys
from kingcuplever.process.routing import members
from kingcuplever.request import key_claims
import pytest
import trio
import trio.testing

from kingcuplever import messages

SIDES = ("a", "b", "c")
HORIZON_S = 1e9
STEPS = 120
SEED_COUNT = 400


class Dispatch:
    """A dispatch in flight to a side."""

    def __init__(self, request: int, side: str, turn: int) -> None:
        """Record the request that sent it and the turn of its claim."""
        self.request = request
        self.side = side
        self.turn = turn


class Model:
    """One key, one replica of its claims, and three sides.

    :ivar fences: for each request, the side that has refused and fenced the
        key, and the turn; ``("", 0)`` if there is none.
    :ivar waiting: requests whose dispatch is in flight.
    """

    def __init__(self, seed: int) -> None:
        """Start without a claim of the key."""
        self.rng = random.Random(seed)
        self.replica = idempotency_keys.ClaimTable(HORIZON_S)
        self.tables = {
            side: idempotency_keys.KeyTable(HORIZON_S) for side in SIDES
        }
        self.running: list[str] = []
        self.dispatches: list[Dispatch] = []
        self.fences: dict[int, tuple[str, int]] = {}
        self.waiting: set[int] = set()
        self.request_count = 0
        self.run_count = 0
        self.refusal_count = 0
        self.now = 0.0

    def run_random_steps(self) -> None:
        """Take random steps, then deliver every dispatch."""
        for _ in range(STEPS):
            self.now += 1.0
            self.rng.choice(
                (
                    self.add_request,
                    self.claim,
                    self.claim,
                    self.deliver_dispatch,
                    self.end_run,
                )
            )()
        while self.dispatches:
            self.deliver_dispatch()
            self.end_run()

    def add_request(self) -> None:
        """Add a request with the key, up to eight."""
        if self.request_count < 8:
            self.request_count += 1
            self.fences[self.request_count] = ("", 0)

    def claim(self) -> None:
        """Have a request without a dispatch in flight claim a random side."""
        idle = [n for n in self.fences if n not in self.waiting]
        if not idle:
            return
        request = self.rng.choice(idle)
        proposal = idempotency_keys.KeyClaim(self.rng.choice(SIDES), 1)
        side, turn = self.fences[request]
        self.fences[request] = ("", 0)
        found = self.replica.claim("k", proposal, side, 0, self.now, turn)
        assert found is not None
        _, claim_in_force = found
        self.dispatches.append(
            Dispatch(request, claim_in_force.runner, claim_in_force.turn)
        )
        self.waiting.add(request)
        if self.rng.random() < 0.2:
            # The request leaves, but its dispatch still arrives.
            self.waiting.discard(request)
            del self.fences[request]

    def deliver_dispatch(self) -> None:
        """Deliver a random dispatch, regardless of the order of sending."""
        if not self.dispatches:
            return
        dispatch = self.dispatches.pop(
            self.rng.randrange(len(self.dispatches))
        )
        table = self.tables[dispatch.side]
        found = table.admit("k", dispatch.turn, self.now)
        if found is idempotency_keys.Admission.RUN:
            if self.rng.random() < 0.6:
                self.record_reply(dispatch.side, messages.NOT_RUN)
                self.refusal_count += 1
                self.apply_outcome(dispatch, refused=True)
                return
            self.run_count += 1
            self.running.append(dispatch.side)
        self.apply_outcome(
            dispatch, refused=found is idempotency_keys.Admission.FENCED
        )

    def apply_outcome(self, dispatch: Dispatch, refused: bool) -> None:
        """Apply the outcome of a dispatch to its request if it still waits."""
        if dispatch.request in self.waiting:
            self.waiting.discard(dispatch.request)
            if refused:
                self.fences[dispatch.request] = (dispatch.side, dispatch.turn)
            else:
                del self.fences[dispatch.request]

    def end_run(self) -> None:
        """End a run, whose request is then answered."""
        if self.running:
            self.record_reply(self.running.pop(), messages.ANSWERED)

    def record_reply(self, side: str, verdict: str) -> None:
        """Record at a side how the run ended."""
        reply = messages.DispatchReply("r", verdict, 200, (), b"", 0, "")
        self.tables[side].record_reply("k", reply, self.now)


@pytest.mark.parametrize("first", range(0, SEED_COUNT, 100))
def test_a_key_runs_once_at_most(first: int) -> None:
    runs = refused = 0
    for seed in range(first, first + 100):
        model = Model(seed)
        model.run_random_steps()
        assert model.run_count <= 1, seed
        runs += model.run_count
        refused += model.refusal_count
    # The model proves nothing unless enough requests run and are refused.
    assert runs > 90
    assert refused > 100


def test_a_key_that_all_sides_refused_can_still_run() -> None:
    replica = idempotency_keys.ClaimTable(HORIZON_S)
    tables = {side: idempotency_keys.KeyTable(HORIZON_S) for side in SIDES}
    refusal = messages.DispatchReply("r", messages.NOT_RUN, 0, (), b"", 0, "")
    fenced_side, turn = "", 0
    for side in (*SIDES, *SIDES):
        proposal = idempotency_keys.KeyClaim(side, 1)
        found = replica.claim("k", proposal, fenced_side, 0, 0.0, turn)
        assert found is not None and found[0]
        turn = found[1].turn
        assert (
            tables[side].admit("k", turn, 0.0)
            is idempotency_keys.Admission.RUN
        )
        tables[side].record_reply("k", refusal, 0.0)
        fenced_side = side


class _HalfClosedStream(trio.abc.Stream):
    """A stream whose other end has left, which only a write shows."""

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Fail as on a connection that was reset."""
        await trio.lowlevel.checkpoint()
        raise trio.BrokenResourceError

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once."""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Wait for ever: the reset is not read yet."""
        await trio.sleep_forever()
        return b""

    async def aclose(self) -> None:
        """Close without effect."""
        await trio.lowlevel.checkpoint()


# Guards against a key told as unknown since a claim replica that drains
# closed its connection with the claim on its way: the others can tell, also
# if a heartbeat of theirs came meanwhile.
@pytest.mark.parametrize("beats", [False, True])
def test_claim_goes_to_other_replicas_once_one_has_left(beats: bool) -> None:
    heartbeats: list[Callable[[], object]] = []

    async def grant(
        peer: peers.PeerConnection, message: messages.Message
    ) -> messages.Message:
        assert isinstance(message, messages.Claim)
        for send_heartbeat in heartbeats if beats else ():
            send_heartbeat()
        return messages.ClaimReply(
            True, message.runner, message.incarnation, 1
        )

    async def main() -> None:
        sides = members.Members()
        async with contextlib.AsyncExitStack() as stack:
            for name in ("a", "b", "c"):
                near, far = trio.testing.memory_stream_pair()
                await stack.enter_async_context(peers.run_peer(far, grant))
                peer = await stack.enter_async_context(peers.run_peer(near))
                beat = messages.Heartbeat(name, 1, 1, "here", (), 0)
                heartbeats.append(
                    functools.partial(sides.record_heartbeat, peer, beat, 0.0)
                )
                heartbeats[-1]()
            leaving = peers.PeerConnection(
                _HalfClosedStream(), peers.reject_requests
            )
            sides.record_heartbeat(
                leaving, messages.Heartbeat("d", 1, 1, "here", (), 0), 0.0
            )
            claimer = key_claims.KeyClaimer(sides)
            for number in range(50):
                # Each key meets the connection as it is before its end.
                leaving._closed = False
                outcome = await claimer.claim("r", f"k{number}", "a", 1, 0)
                assert outcome.status is key_claims.ClaimStatus.GRANTED

    trio.run(main)
