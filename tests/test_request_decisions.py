"""Routing, keys and limits as pure decisions, case by case."""

import dataclasses

from kingcuplever import messages
from kingcuplever.process.routing import idempotency_keys
from kingcuplever.process.routing import limits
from kingcuplever.process.routing import router as routers
from kingcuplever.version import configuration


@dataclasses.dataclass
class Side:
    """A side with one target, as heartbeats show it."""

    name: str
    slots: int = 2
    busy: int = 0
    draining: bool = False
    incarnation: int = 1

    def heartbeat(self) -> messages.Heartbeat:
        state = messages.TargetState(
            "t", "desk", self.slots, self.busy, self.draining
        )
        return messages.Heartbeat(
            self.name, self.incarnation, 1, "here", (state,), 0
        )


def ticket(
    number: int, deadline: float = 10.0, priority: routers.Priority = "normal"
) -> routers.Ticket:
    return routers.Ticket(number, "desk", priority, deadline)


def make_router(*sides: Side) -> routers.Router:
    router = routers.Router("here")
    for side in sides:
        router.apply_heartbeat(side.heartbeat(), 0.0)
    return router


def assigned(verdict: routers.RoutingDecision | None) -> routers.Assignment:
    assert isinstance(verdict, routers.Assignment), verdict
    return verdict


def test_draining_target_gets_nothing() -> None:
    router = make_router(Side("a", draining=True), Side("b"))
    for number in range(2):
        verdict = assigned(router.acquire(ticket(number), 0.0))
        assert verdict.target.side == "b"


def test_waiting_request_goes_elsewhere_once_its_target_drains() -> None:
    router = make_router(Side("a", slots=1))
    first = assigned(router.acquire(ticket(1), 0.0))
    assert router.acquire(ticket(2), 0.0) is None
    router.apply_heartbeat(
        Side("a", slots=1, busy=1, draining=True).heartbeat(), 1.0
    )
    assert router.release(first, 0.1, 1.1) == []
    verdicts = router.apply_heartbeat(Side("b").heartbeat(), 1.2)
    assert [assigned(v).target.side for v in verdicts] == ["b"]


def test_urgent_goes_in_front_and_normal_is_shed_first() -> None:
    router = make_router(Side("a", slots=1))
    services = {"desk": configuration.ServiceConfig(queue=1)}
    router.set_config(configuration.Configuration(services=services))
    first = assigned(router.acquire(ticket(1), 0.0))
    assert router.acquire(ticket(2), 0.0) is None
    assert router.acquire(ticket(3, priority="urgent"), 0.0) is None
    verdicts = router.tick(0.1)
    assert [v.ticket.number for v in verdicts] == [2]
    assert isinstance(verdicts[0], routers.Refusal)
    served = router.release(first, 0.1, 0.2)
    assert [v.ticket.number for v in served] == [3]


def test_request_that_cannot_be_answered_in_time_is_refused_at_once() -> None:
    router = make_router(Side("a", slots=1))
    first = assigned(router.acquire(ticket(1), 0.0))
    router.release(first, 1.0, 1.0)
    assigned(router.acquire(ticket(2), 1.0))
    verdict = router.acquire(ticket(3, deadline=2.0), 1.0)
    assert isinstance(verdict, routers.Refusal)
    assert verdict.retry_after_s > 0


def test_failing_target_is_left_out_and_let_back_by_a_probe() -> None:
    router = make_router(Side("a"), Side("b"))
    now = 0.0
    for number in range(3):
        verdict = assigned(router.acquire(ticket(number), now))
        assert verdict.target.side == "a"
        router.release(verdict, None, now)
    verdict = assigned(router.acquire(ticket(3), now))
    assert verdict.target.side == "b"
    router.release(verdict, 0.5, now)
    probe = assigned(router.acquire(ticket(4, 99.0), 5.0))
    assert "probe" in probe.reason
    router.release(probe, 0.01, 5.0)
    assert assigned(router.acquire(ticket(5, 99.0), 5.0)).target.side == "a"


def test_restarted_side_starts_with_all_slots_free() -> None:
    router = make_router(Side("a", slots=1))
    assigned(router.acquire(ticket(1), 0.0))
    router.apply_heartbeat(Side("a", slots=1, incarnation=2).heartbeat(), 1.0)
    assigned(router.acquire(ticket(2), 1.0))


def reply(verdict: str, body: bytes = b"") -> messages.DispatchReply:
    return messages.DispatchReply("r", verdict, 200, (), body, len(body), "")


def test_key_runs_once_and_is_answered_again() -> None:
    table = idempotency_keys.KeyTable(10.0)
    assert table.admit("k", 1, 0.0) is idempotency_keys.Admission.RUN
    assert table.admit("k", 1, 0.0) is idempotency_keys.Admission.JOIN
    table.record_reply("k", reply(messages.ANSWERED, b"ok"), 1.0)
    assert table.admit("k", 1, 2.0) is idempotency_keys.Admission.ANSWERED
    assert table.admit("k", 1, 12.0) is idempotency_keys.Admission.RUN


def test_key_with_unknown_outcome_never_runs_again() -> None:
    table = idempotency_keys.KeyTable(10.0)
    table.admit("k", 1, 0.0)
    table.record_reply("k", reply(messages.UNKNOWN), 1.0)
    assert table.admit("k", 1, 2.0) is idempotency_keys.Admission.UNKNOWN


def test_refused_key_is_fenced_at_its_side() -> None:
    table = idempotency_keys.KeyTable(10.0)
    table.admit("k", 1, 0.0)
    table.record_reply("k", reply(messages.NOT_RUN), 1.0)
    assert table.admit("k", 1, 2.0) is idempotency_keys.Admission.FENCED


def test_large_answers_are_not_kept_for_ever() -> None:
    table = idempotency_keys.KeyTable(10.0)
    body = b"x" * idempotency_keys.MAX_CACHED_REPLY_BYTES
    for number in range(1000):
        table.admit(str(number), 1, 0.0)
        table.record_reply(str(number), reply(messages.ANSWERED, body), 0.0)
    kept = sum(table.get_reply(str(n)) is not None for n in range(1000))
    assert kept * len(body) <= idempotency_keys.MAX_CACHED_BYTES
    assert table.admit("999", 1, 0.0) is idempotency_keys.Admission.UNKNOWN


def test_key_that_a_side_refused_runs_there_by_a_later_claim_only() -> None:
    # A key that every side had refused once, being full, never ran again: a
    # load of 200 while a side drained lost one to that for 24 s.
    table = idempotency_keys.KeyTable(10.0)
    table.admit("k", 1, 0.0)
    table.record_reply("k", reply(messages.NOT_RUN), 1.0)
    # What an earlier claim sent is still on its way.
    assert table.admit("k", 1, 2.0) is idempotency_keys.Admission.FENCED
    assert table.admit("k", 3, 2.0) is idempotency_keys.Admission.RUN
    assert table.admit("k", 1, 2.0) is idempotency_keys.Admission.JOIN
    # The first end's horizon has passed; the key still runs.
    assert table.admit("k", 1, 11.5) is idempotency_keys.Admission.JOIN
    table.record_reply("k", reply(messages.ANSWERED, b"ok"), 12.0)
    assert table.admit("k", 1, 13.0) is idempotency_keys.Admission.ANSWERED
    assert table.admit("k", 4, 13.0) is idempotency_keys.Admission.ANSWERED
    assert table.admit("k", 1, 23.0) is idempotency_keys.Admission.RUN


A = idempotency_keys.KeyClaim("a", 1)
B = idempotency_keys.KeyClaim("b", 1)
FENCE = idempotency_keys.KeyClaim("", 0)


def by(
    claimed: idempotency_keys.KeyClaim, turn: int
) -> idempotency_keys.KeyClaim:
    """Give a claim as a witness knows it."""
    return claimed._replace(turn=turn)


def test_turn_grows_when_the_runner_changes_or_is_chosen_again() -> None:
    table = idempotency_keys.ClaimTable(10.0)
    assert table.claim("k", A, "", 0, 0.0) == (True, by(A, 1))
    assert table.claim("k", A, "", 0, 0.0) == (True, by(A, 1))
    assert table.claim("k", B, "a", 0, 0.0, 1) == (True, by(B, 2))
    assert table.claim("k", A, "b", 0, 0.0, 2) == (True, by(A, 3))
    assert table.claim("k", B, "a", 0, 0.0, 1) == (False, by(A, 3))
    assert table.claim("k", A, "a", 0, 0.0, 3) == (True, by(A, 4))
    assert table.claim("k", B, "b", 0, 0.0, 9) == (False, by(A, 4))


def test_second_claim_learns_of_the_first() -> None:
    table = idempotency_keys.ClaimTable(10.0)
    assert table.claim("k", A, "", 0, 0.0) == (True, by(A, 1))
    assert table.claim("k", B, "", 0, 1.0) == (False, by(A, 1))
    assert table.claim("k", A, "", 0, 1.0) == (True, by(A, 1))


def test_fence_stops_earlier_sendings_and_lets_later_ones() -> None:
    table = idempotency_keys.ClaimTable(10.0)
    found = table.claim("k", FENCE, "", 1000, 0.0)
    assert found is not None and found[0]
    assert table.claim("k", A, "", 900, 0.0) == (
        False,
        idempotency_keys.KeyClaim("", 1000, 1),
    )
    later_ms = 1000 + idempotency_keys.MAX_CLOCK_SKEW_MS + 1
    assert table.claim("k", A, "", later_ms, 0.0) == (True, by(A, 2))


def test_claim_moves_only_from_the_side_that_fenced() -> None:
    table = idempotency_keys.ClaimTable(10.0)
    table.claim("k", A, "", 0, 0.0)
    assert table.claim("k", B, "c", 0, 0.0, 1) == (False, by(A, 1))
    assert table.claim("k", B, "a", 0, 0.0, 1) == (True, by(B, 2))


def test_account_limit_is_shared_by_the_entries() -> None:
    shared = limits.AccountRateLimits(2)
    limit = configuration.AccountLimit(10.0, burst=4)
    shared.set_config(configuration.Configuration(limits={"a": limit}))
    passed = sum(shared.take_token("a", n / 100) == 0 for n in range(1000))
    assert 50 <= passed <= 53
    assert shared.take_token("other", 0.0) == 0


def test_request_that_full_targets_refused_is_not_left_out() -> None:
    # Every target had refused it once, so none was left for it: a key of a
    # load of 200 was refused for 20 s while others were served.
    router = make_router(Side("a", slots=1), Side("b", slots=1))
    refused = frozenset(
        (routers.TargetId("a", "t"), routers.TargetId("b", "t"))
    )
    verdict = router.acquire(ticket(1)._replace(avoid=refused), 0.0)
    assert assigned(verdict).target in refused


def test_refused_request_keeps_its_place_in_the_queue() -> None:
    router = make_router(Side("a", slots=1))
    first = assigned(router.acquire(ticket(1), 0.0))
    assert router.acquire(ticket(2), 0.0) is None
    assert router.acquire(ticket(3), 0.0) is None
    # The side was full after all; the request waits again, in front.
    router.release_as_full(first, 0.1)
    assert router.acquire(ticket(1), 0.1) is None
    verdicts = router.apply_heartbeat(Side("a", slots=1).heartbeat(), 0.2)
    assert [assigned(v).ticket.number for v in verdicts] == [1]


def test_newcomer_does_not_overtake_who_waits() -> None:
    router = make_router(Side("a", slots=1))
    first = assigned(router.acquire(ticket(1), 0.0))
    assert router.acquire(ticket(2), 0.0) is None
    router.release_as_full(first, 0.1)
    router.apply_heartbeat(Side("a", slots=1, busy=1).heartbeat(), 0.2)
    assert router.acquire(ticket(3), 0.3) is None
    verdicts = router.apply_heartbeat(Side("a", slots=1).heartbeat(), 0.4)
    assert [assigned(v).ticket.number for v in verdicts] == [2]
