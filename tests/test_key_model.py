"""A model of keys: sendings, sides and a witness, in any order of delivery.

Sendings claim a side, dispatch to it, follow whoever is known, move on when
a side refuses, or leave while their dispatch is still on its way.  Whatever
the order, one key really runs once at most.
"""

import random

from kingcuplever.process.routing import idempotency_keys
import pytest

from kingcuplever import messages

SIDES = ("a", "b", "c")
HORIZON_S = 1e9
STEPS = 120
MODELS = 400


class Order:
    """A dispatch on its way to a side."""

    def __init__(self, sending: int, side: str, turn: int) -> None:
        """Remember who sent it, and by which claim."""
        self.sending = sending
        self.side = side
        self.turn = turn


class Model:
    """One key, the witness of its claims, and three sides."""

    def __init__(self, seed: int) -> None:
        """Start with nothing known of the key."""
        self.luck = random.Random(seed)
        self.witness = idempotency_keys.ClaimTable(HORIZON_S)
        self.tables = {
            side: idempotency_keys.KeyTable(HORIZON_S) for side in SIDES
        }
        self.running: list[str] = []
        self.orders: list[Order] = []
        self.fenced_at: dict[int, tuple[str, int]] = {}
        self.waiting: set[int] = set()
        self.sendings = 0
        self.ran = 0
        self.refused = 0
        self.now = 0.0

    def play(self) -> None:
        """Play random steps, then let every dispatch arrive."""
        for _ in range(STEPS):
            self.now += 1.0
            self.luck.choice(
                (self.begin, self.claim, self.claim, self.deliver, self.end)
            )()
        while self.orders:
            self.deliver()
            self.end()

    def begin(self) -> None:
        """A caller sends the key, perhaps again."""
        if self.sendings < 8:
            self.sendings += 1
            self.fenced_at[self.sendings] = ("", 0)

    def claim(self) -> None:
        """A sending that waits for nothing claims some side."""
        idle = [n for n in self.fenced_at if n not in self.waiting]
        if not idle:
            return
        sending = self.luck.choice(idle)
        wanted = idempotency_keys.KeyClaim(self.luck.choice(SIDES), 1)
        side, turn = self.fenced_at[sending]
        self.fenced_at[sending] = ("", 0)
        found = self.witness.claim("k", wanted, side, 0, self.now, turn)
        assert found is not None
        _, known = found
        self.orders.append(Order(sending, known.runner, known.turn))
        self.waiting.add(sending)
        if self.luck.random() < 0.2:
            # It leaves; its dispatch arrives all the same.
            self.waiting.discard(sending)
            del self.fenced_at[sending]

    def deliver(self) -> None:
        """Any dispatch arrives, whatever was sent before it."""
        if not self.orders:
            return
        order = self.orders.pop(self.luck.randrange(len(self.orders)))
        table = self.tables[order.side]
        found = table.admit("k", order.turn, self.now)
        if found is idempotency_keys.Admission.RUN:
            if self.luck.random() < 0.6:
                self.answer(order.side, messages.NOT_RUN)
                self.refused += 1
                self.told(order, refused=True)
                return
            self.ran += 1
            self.running.append(order.side)
        self.told(order, refused=found is idempotency_keys.Admission.FENCED)

    def told(self, order: Order, refused: bool) -> None:
        """A sending hears of its dispatch, if it still waits."""
        if order.sending in self.waiting:
            self.waiting.discard(order.sending)
            if refused:
                self.fenced_at[order.sending] = (order.side, order.turn)
            else:
                del self.fenced_at[order.sending]

    def end(self) -> None:
        """A run ends with an answer."""
        if self.running:
            self.answer(self.running.pop(), messages.ANSWERED)

    def answer(self, side: str, verdict: str) -> None:
        """Note how a run ended at a side."""
        reply = messages.DispatchReply("r", verdict, 200, (), b"", 0, "")
        self.tables[side].record_reply("k", reply, self.now)


@pytest.mark.parametrize("first", range(0, MODELS, 100))
def test_a_key_runs_once_at_most(first: int) -> None:
    ran = refused = 0
    for seed in range(first, first + 100):
        model = Model(seed)
        model.play()
        assert model.ran <= 1, seed
        ran += model.ran
        refused += model.refused
    # The model is no proof where nothing happens.
    assert ran > 90
    assert refused > 100


def test_a_key_that_all_sides_refused_can_still_run() -> None:
    witness = idempotency_keys.ClaimTable(HORIZON_S)
    tables = {side: idempotency_keys.KeyTable(HORIZON_S) for side in SIDES}
    refusal = messages.DispatchReply("r", messages.NOT_RUN, 0, (), b"", 0, "")
    fenced_at, turn = "", 0
    for side in (*SIDES, *SIDES):
        claimed = idempotency_keys.KeyClaim(side, 1)
        found = witness.claim("k", claimed, fenced_at, 0, 0.0, turn)
        assert found is not None and found[0]
        turn = found[1].turn
        assert (
            tables[side].admit("k", turn, 0.0)
            is idempotency_keys.Admission.RUN
        )
        tables[side].record_reply("k", refusal, 0.0)
        fenced_at = side
