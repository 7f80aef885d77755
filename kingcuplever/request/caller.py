"""One request of a caller, from its first byte to its whole answer.

Finds a target, dispatches, retries what may be retried, and never says that
a request did not run unless that is known.
"""

import time
from typing import Final
import uuid

import trio

from kingcuplever import clock
from kingcuplever.connection import http_server
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process import metrics
from kingcuplever.process.routing import limits
from kingcuplever.process.routing import members
from kingcuplever.process.routing import router as routers
from kingcuplever.process.routing import router_task
from kingcuplever.request import headers
from kingcuplever.request import key_claims

# The side's own bound ends first, so that its answer can still come.
_REPLY_MARGIN_S: Final = 0.25
_MAX_ATTEMPTS: Final = 4
# Bounds the turns of a request that full targets refuse; each takes at least
# one exchange with a side.
_MAX_ROUNDS: Final = 100
_SERVER_ERROR: Final = 500


class CallerHandler:
    """Answers callers' requests at one entry."""

    def __init__(
        self,
        router: router_task.RouterTask,
        sides: members.Members,
        account_limits: limits.AccountRateLimits,
        measures: metrics.EntryMetrics,
    ) -> None:
        """Use the entry's parts."""
        self._router = router
        self._sides = sides
        self._limits = account_limits
        self._metrics = measures
        self._budget = limits.RetryBudget()
        self._claims = key_claims.KeyClaimer(sides)
        self._in_progress = 0
        self.draining = False

    @property
    def in_progress(self) -> int:
        """Requests without an answer yet."""
        return self._in_progress

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Answer one HTTP request of the callers' listener."""
        if request.path == "/health/live":
            return http_server.json_response({"live": True})
        if request.path == "/health/ready":
            ready = not self.draining and len(self._sides) > 0
            status = 200 if ready else 503
            return http_server.json_response({"ready": ready}, status)
        spec = headers.parse_request(request)
        self._in_progress += 1
        started = time.monotonic()
        try:
            response = await self._answer(spec)
        finally:
            self._in_progress -= 1
        seconds = time.monotonic() - started
        self._metrics.request_seconds.labels(
            spec.service, spec.priority
        ).observe(seconds)
        return response

    async def _answer(
        self, spec: headers.CallerRequest
    ) -> http_server.HttpResponse:
        try:
            self._enforce_limit(spec)
            self._budget.record_request()
            reply = await _RequestAttempts(
                spec, self._router, self._sides, self._budget, self._claims
            ).run()
        except Overloaded as error:
            self._count_result(spec, error.code.value)
            seconds = str(max(1, round(error.retry_after_s)))
            return http_server.problem_response(
                error, ("retry-after", seconds)
            )
        except errors.KingcupleverError as error:
            self._count_result(spec, error.code.value)
            return http_server.problem_response(error)
        self._count_result(spec, "answered")
        pairs = tuple((h.name, h.value) for h in reply.headers)
        return http_server.HttpResponse(
            reply.status, headers.strip_hop_by_hop(pairs), reply.body
        )

    def _enforce_limit(self, spec: headers.CallerRequest) -> None:
        wait_s = self._limits.take_token(spec.account, trio.current_time())
        if wait_s and spec.key and not spec.idempotent:
            # An earlier sending of the key may have run, so the limit does
            # not stand between a caller and its answer.
            return
        if wait_s:
            raise Overloaded(
                f"Account {spec.account} is over its limit.", wait_s
            )

    def _count_result(self, spec: headers.CallerRequest, result: str) -> None:
        self._metrics.requests.labels(spec.service, result).inc()


class Overloaded(errors.KingcupleverError):
    """The request was not run, for want of room.

    :ivar retry_after_s: when it makes sense to come again.
    """

    code = errors.Code.OVERLOADED

    def __init__(self, detail: str, retry_after_s: float) -> None:
        """Store when to come again."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class _RequestAttempts:
    """The attempts of one request."""

    def __init__(
        self,
        spec: headers.CallerRequest,
        router: router_task.RouterTask,
        sides: members.Members,
        budget: limits.RetryBudget,
        witnesses: key_claims.KeyClaimer,
    ) -> None:
        self._spec = spec
        self._router = router
        self._sides = sides
        self._budget = budget
        self._claims = witnesses
        self._id = uuid.uuid4().hex
        self._received_ms = clock.wall_ms()
        self._deadline = trio.current_time() + spec.timeout_ms / 1000
        self._avoid: set[routers.TargetId] = set()
        self._ticket_number = 0
        self._fenced_side = ""
        self._fenced_turn = 0
        self._at_most_once = bool(spec.key) and not spec.idempotent

    async def run(self) -> messages.DispatchReply:
        """Make attempts until there is an answer, or none may follow."""
        error: errors.KingcupleverError | None = None
        refused = False
        sent = 0
        for attempt in range(_MAX_ROUNDS):
            if sent >= _MAX_ATTEMPTS:
                break
            if attempt and not self._can_retry(refused):
                break
            verdict = await self._acquire()
            if isinstance(verdict, routers.Refusal):
                error = error or self._make_overloaded(verdict)
                break
            reply = await self._attempt(verdict)
            if reply.verdict == messages.ANSWERED:
                return reply
            error = _make_error(reply)
            refused = reply.verdict == messages.NOT_RUN
            # A full target costs a request its turn, and nothing else.
            sent += 0 if refused else 1
            if not self._is_repeatable(reply):
                break
        assert error is not None
        raise await self._fence_before_failing(error)

    def _can_retry(self, refused: bool) -> bool:
        """Tell whether there is time and budget for another attempt.

        :param refused: the last one did not run, so that the next is no
            load beside it.
        """
        if self._deadline <= trio.current_time():
            return False
        return refused or self._budget.try_take_retry()

    def _is_repeatable(self, reply: messages.DispatchReply) -> bool:
        if self._spec.idempotent:
            return True
        if reply.verdict == messages.UNKNOWN:
            return False
        # A key that no side has fenced may still run where it is claimed.
        return not self._at_most_once or bool(self._fenced_side)

    async def _acquire(self) -> routers.RoutingDecision:
        """Wait for a target, or for a refusal."""
        verdict = await self._router.acquire(
            self._spec.service,
            self._spec.priority,
            self._deadline,
            frozenset(self._avoid),
            self._ticket_number,
        )
        self._ticket_number = verdict.ticket.number
        return verdict

    def _make_overloaded(self, refusal: routers.Refusal) -> Overloaded:
        logs.info(
            logs.Component.ROUTE, f"{self._id}: refused, {refusal.reason}."
        )
        return Overloaded(
            f"No target could take it: {refusal.reason}.",
            refusal.retry_after_s,
        )

    async def _fence_before_failing(
        self, error: errors.KingcupleverError
    ) -> errors.KingcupleverError:
        """Fence the key before saying that it did not run."""
        if (
            not self._at_most_once
            or error.info.run_status is errors.RunStatus.UNKNOWN
        ):
            return error
        fate = await self._claim_key("", 0)
        if fate.status in (
            key_claims.ClaimStatus.GRANTED,
            key_claims.ClaimStatus.FENCED,
        ):
            return error
        return errors.KingcupleverError(
            f"{error.detail} An earlier sending of the key may have run."
            f" {fate.detail}",
            errors.Code.OUTCOME_UNKNOWN,
        )

    async def _attempt(
        self, assignment: routers.Assignment
    ) -> messages.DispatchReply:
        target = assignment.target
        turn = 0
        if self._at_most_once:
            fate = await self._claim_key(target.side, assignment.incarnation)
            turn = fate.turn
            if fate.status is not key_claims.ClaimStatus.GRANTED:
                self._router.release_unused(assignment)
                return await self._join_runner(fate)
        self._log_assignment(assignment)
        started = trio.current_time()
        reply = await self._dispatch(
            target.side, target.target, assignment.incarnation, turn
        )
        self._release_slot(assignment, reply, trio.current_time() - started)
        return reply

    async def _claim_key(
        self, side: str, incarnation: int
    ) -> key_claims.ClaimOutcome:
        fate = await self._claims.claim(
            self._id,
            self._spec.key,
            side,
            incarnation,
            self._received_ms,
            self._fenced_side,
            self._fenced_turn,
        )
        self._fenced_side = ""
        return fate

    async def _join_runner(
        self, fate: key_claims.ClaimOutcome
    ) -> messages.DispatchReply:
        """Ask the side that the key was claimed for before."""
        if fate.status is key_claims.ClaimStatus.UNPROVABLE:
            return _make_unknown(self._id, fate.detail)
        if fate.status is key_claims.ClaimStatus.FENCED:
            return _make_not_run(self._id, fate.detail)
        logs.info(
            logs.Component.ROUTE,
            f"{self._id}: key known, to its runner {fate.runner}.",
        )
        disputed = fate.status is key_claims.ClaimStatus.DISPUTED
        reply = await self._dispatch(
            fate.runner, "", fate.incarnation, fate.turn, disputed
        )
        if reply.verdict == messages.NOT_RUN and not self._fenced_side:
            # It was not sent, but an earlier sending may have been.
            return _make_unknown(self._id, reply.detail)
        return reply

    async def _dispatch(
        self,
        side: str,
        target: str,
        incarnation: int,
        turn: int,
        join_only: bool = False,
    ) -> messages.DispatchReply:
        link = self._sides.find(side)
        left_s = self._deadline - trio.current_time()
        if link is None:
            return _make_not_run(self._id, f"{side} is not linked")
        if left_s <= 0:
            return _make_not_run(self._id, "its time is over")
        message = self._make_dispatch(target, incarnation, left_s)
        message = message._replace(join_only=join_only, turn=turn)
        try:
            reply = await link.peer.call(message, left_s + _REPLY_MARGIN_S)
        except errors.PeerLost as error:
            if not error.sent:
                return _make_not_run(self._id, f"{side}: {error.detail}")
            return _make_unknown(self._id, f"{side}: {error.detail}")
        except errors.KingcupleverError as error:
            return _make_unknown(self._id, f"{side}: {error.detail}")
        checked = self._validate_reply(reply, side)
        if checked.verdict == messages.NOT_RUN:
            # The side has seen the key and will not run it any more.
            self._fenced_side = side
            self._fenced_turn = turn
        return checked

    def _make_dispatch(
        self, target: str, incarnation: int, left_s: float
    ) -> messages.Dispatch:
        spec = self._spec
        key = spec.key if self._at_most_once else ""
        return messages.Dispatch(
            self._id,
            key,
            spec.idempotent,
            spec.account,
            spec.service,
            target,
            max(1, int(left_s * 1000)),
            tuple(messages.Header(*pair) for pair in spec.headers),
            spec.body,
            incarnation if key else 0,
            False,
            0,
        )

    def _validate_reply(
        self, reply: messages.Message, side: str
    ) -> messages.DispatchReply:
        """Check that the whole answer of this very request came."""
        if not isinstance(reply, messages.DispatchReply):
            return _make_unknown(self._id, f"{side} sent no reply of ours")
        if reply.request != self._id or reply.length != len(reply.body):
            return _make_unknown(self._id, f"{side} sent a broken answer")
        return reply

    def _release_slot(
        self,
        assignment: routers.Assignment,
        reply: messages.DispatchReply,
        seen_s: float,
    ) -> None:
        if reply.verdict == messages.ANSWERED:
            # A target that fails at once would look like the fastest.
            failed = reply.status >= _SERVER_ERROR
            self._router.release(assignment, None if failed else seen_s)
            return
        self._avoid.add(assignment.target)
        if reply.verdict == messages.NOT_RUN:
            self._router.release_as_full(assignment)
        else:
            self._router.release(assignment, None)

    def _log_assignment(self, assignment: routers.Assignment) -> None:
        target = assignment.target
        logs.info(
            logs.Component.ROUTE,
            f"{self._id}: {self._spec.service} of {self._spec.account} to"
            f" {target.side}/{target.target}, {assignment.reason}.",
        )


def _make_error(reply: messages.DispatchReply) -> errors.KingcupleverError:
    code = errors.Code.OUTCOME_UNKNOWN
    if reply.verdict == messages.NOT_RUN:
        code = errors.Code.NOT_RUN
    return errors.KingcupleverError(f"No answer: {reply.detail}.", code)


def _make_not_run(request: str, detail: str) -> messages.DispatchReply:
    return messages.DispatchReply(
        request, messages.NOT_RUN, 0, (), b"", 0, detail
    )


def _make_unknown(request: str, detail: str) -> messages.DispatchReply:
    return messages.DispatchReply(
        request, messages.UNKNOWN, 0, (), b"", 0, detail
    )
