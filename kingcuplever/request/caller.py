"""Handles callers' HTTP requests: target selection, dispatch and retries.

A request is retried only if running it again is safe, and it is reported as
not run only if that is certain.
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

# Added to the deadline of a dispatch while waiting for the side's reply, so
# that the side times out first and its reply can still arrive.
_REPLY_MARGIN_S: Final = 0.25
_MAX_ATTEMPTS: Final = 4
# Bounds the dispatches of a request that full targets refuse, which do not
# count as attempts; each one takes at least a round trip to a side.
_MAX_ROUNDS: Final = 100
_SERVER_ERROR: Final = 500
# Label of services without targets.
_UNKNOWN_SERVICE: Final = "unknown"


class CallerHandler:
    """Handles callers' HTTP requests at one entry.

    :ivar draining: whether readiness probes fail, because the entry stops.
    """

    def __init__(
        self,
        router: router_task.RouterTask,
        sides: members.Members,
        account_limits: limits.AccountRateLimits,
        entry_metrics: metrics.EntryMetrics,
    ) -> None:
        """Create a handler on top of the entry's components."""
        self._router = router
        self._sides = sides
        self._limits = account_limits
        self._metrics = entry_metrics
        self._budget = limits.RetryBudget()
        self._claims = key_claims.KeyClaimer(sides)
        self._in_progress = 0
        self.draining = False

    @property
    def in_progress(self) -> int:
        """Number of requests without a response yet."""
        return self._in_progress

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Handle an HTTP request of the callers' listener."""
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
            self._label_service(spec), spec.priority
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
        reply_headers = tuple((h.name, h.value) for h in reply.headers)
        return http_server.HttpResponse(
            reply.status, headers.strip_hop_by_hop(reply_headers), reply.body
        )

    def _enforce_limit(self, spec: headers.CallerRequest) -> None:
        wait_s = self._limits.take_token(spec.account, trio.current_time())
        if wait_s and spec.key and not spec.idempotent:
            # An earlier request with the key may have run, so a caller over
            # its limit can still fetch the reply.
            return
        if wait_s:
            raise Overloaded(
                f"Account {spec.account} is over its request limit.", wait_s
            )

    def _count_result(self, spec: headers.CallerRequest, result: str) -> None:
        self._metrics.requests.labels(self._label_service(spec), result).inc()

    def _label_service(self, spec: headers.CallerRequest) -> str:
        """Return the label of a service; callers may name any, and each stays.

        Those without targets share one.
        """
        is_known = self._router.has_service(spec.service)
        return spec.service if is_known else _UNKNOWN_SERVICE


class Overloaded(errors.KingcupleverError):
    """The request was not run because of a limit or missing capacity.

    :ivar retry_after_s: seconds after which a retry is reasonable.
    """

    code = errors.Code.OVERLOADED

    def __init__(self, detail: str, retry_after_s: float) -> None:
        """Store the detail and the time to a retry."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class _RequestAttempts:
    """Dispatches one request, and retries it where that is safe.

    :ivar _ticket_number: number of the request's ticket, kept over retries.
    :ivar _fenced_side: side that has fenced the key since the last claim, so
        that another side may run it, or empty.
    :ivar _fenced_turn: turn of the dispatch that it fenced.
    :ivar _at_most_once: whether the request must run at most once.
    """

    def __init__(
        self,
        spec: headers.CallerRequest,
        router: router_task.RouterTask,
        sides: members.Members,
        budget: limits.RetryBudget,
        claims: key_claims.KeyClaimer,
    ) -> None:
        self._spec = spec
        self._router = router
        self._sides = sides
        self._budget = budget
        self._claims = claims
        self._id = uuid.uuid4().hex
        self._received_ms = clock.wall_ms()
        self._deadline = trio.current_time() + spec.timeout_ms / 1000
        self._avoid: set[routers.TargetId] = set()
        self._ticket_number = 0
        self._fenced_side = ""
        self._fenced_turn = 0
        self._at_most_once = bool(spec.key) and not spec.idempotent

    async def run(self) -> messages.DispatchReply:
        """Dispatch the request until there is a reply or no retry is allowed.

        :raises errors.KingcupleverError: if there is no reply; its code says
            whether the request may have run.
        """
        error: errors.KingcupleverError | None = None
        was_refused = False
        attempts = 0
        for round_number in range(_MAX_ROUNDS):
            if attempts >= _MAX_ATTEMPTS:
                break
            if round_number and not self._can_retry(was_refused):
                break
            decision = await self._acquire()
            if isinstance(decision, routers.Refusal):
                error = error or self._make_overloaded(decision)
                break
            reply = await self._attempt(decision)
            if reply.verdict == messages.ANSWERED:
                return reply
            error = _make_error(reply)
            was_refused = reply.verdict == messages.NOT_RUN
            # A dispatch that did not run does not count as an attempt.
            attempts += 0 if was_refused else 1
            if not self._is_repeatable(reply):
                break
        assert error is not None
        raise await self._fence_before_failing(error)

    def _can_retry(self, was_refused: bool) -> bool:
        """Return whether there is time and budget for another attempt.

        :param was_refused: whether the last dispatch did not run; the next
            one then adds no load and needs no retry budget.
        """
        if self._deadline <= trio.current_time():
            return False
        return was_refused or self._budget.try_take_retry()

    def _is_repeatable(self, reply: messages.DispatchReply) -> bool:
        if self._spec.idempotent:
            return True
        if reply.verdict == messages.UNKNOWN:
            return False
        # Until its runner has fenced the key, the request may still run there.
        return not self._at_most_once or bool(self._fenced_side)

    async def _acquire(self) -> routers.RoutingDecision:
        """Wait until the request gets a slot at a target, or is refused."""
        decision = await self._router.acquire(
            self._spec.service,
            self._spec.priority,
            self._deadline,
            frozenset(self._avoid),
            self._ticket_number,
        )
        self._ticket_number = decision.ticket.number
        return decision

    def _make_overloaded(self, refusal: routers.Refusal) -> Overloaded:
        logs.info(
            logs.Component.ROUTE, f"{self._id}: refused, {refusal.reason}."
        )
        return Overloaded(
            f"No target could accept the request: {refusal.reason}.",
            refusal.retry_after_s,
        )

    async def _fence_before_failing(
        self, error: errors.KingcupleverError
    ) -> errors.KingcupleverError:
        """Fence the key before reporting that the request did not run.

        :return: the error to report: ``OUTCOME_UNKNOWN`` if the key could not
            be fenced, else the given one.
        """
        if (
            not self._at_most_once
            or error.info.run_status is errors.RunStatus.UNKNOWN
        ):
            return error
        outcome = await self._claim_key("", 0)
        if outcome.status in (
            key_claims.ClaimStatus.GRANTED,
            key_claims.ClaimStatus.FENCED,
        ):
            return error
        return errors.KingcupleverError(
            f"{error.detail} An earlier request with the key may have run."
            f" {outcome.detail}",
            errors.Code.OUTCOME_UNKNOWN,
        )

    async def _attempt(
        self, assignment: routers.Assignment
    ) -> messages.DispatchReply:
        target = assignment.target
        turn = 0
        if self._at_most_once:
            outcome = await self._claim_key(
                target.side, assignment.incarnation
            )
            turn = outcome.turn
            if outcome.status is not key_claims.ClaimStatus.GRANTED:
                self._router.release_unused(assignment)
                return await self._join_runner(outcome)
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
        outcome = await self._claims.claim(
            self._id,
            self._spec.key,
            side,
            incarnation,
            self._received_ms,
            self._fenced_side,
            self._fenced_turn,
        )
        self._fenced_side = ""
        return outcome

    async def _join_runner(
        self, outcome: key_claims.ClaimOutcome
    ) -> messages.DispatchReply:
        """Dispatch to the side that runs the key by an existing claim."""
        if outcome.status is key_claims.ClaimStatus.UNPROVABLE:
            return _make_unknown(self._id, outcome.detail)
        if outcome.status is key_claims.ClaimStatus.FENCED:
            return _make_not_run(self._id, outcome.detail)
        logs.info(
            logs.Component.ROUTE,
            f"{self._id}: key is claimed, to its runner {outcome.runner}.",
        )
        join_only = outcome.status is key_claims.ClaimStatus.DISPUTED
        reply = await self._dispatch(
            outcome.runner, "", outcome.incarnation, outcome.turn, join_only
        )
        if reply.verdict == messages.NOT_RUN and not self._fenced_side:
            # This dispatch was not sent, but an earlier one may have been.
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
        remaining_s = self._deadline - trio.current_time()
        if link is None:
            return _make_not_run(self._id, f"side {side} is not connected")
        if remaining_s <= 0:
            return _make_not_run(self._id, "the deadline has passed")
        message = self._make_dispatch(target, incarnation, remaining_s)
        message = message._replace(join_only=join_only, turn=turn)
        try:
            reply = await link.peer.call(
                message, remaining_s + _REPLY_MARGIN_S
            )
        except errors.PeerLost as error:
            if not error.sent:
                return _make_not_run(self._id, f"{side}: {error.detail}")
            return _make_unknown(self._id, f"{side}: {error.detail}")
        except errors.KingcupleverError as error:
            return _make_unknown(self._id, f"{side}: {error.detail}")
        validated = self._validate_reply(reply, side)
        if validated.verdict == messages.NOT_RUN:
            # The side has fenced the key: it runs there only if it is claimed
            # again for that side.
            self._fenced_side = side
            self._fenced_turn = turn
        return validated

    def _make_dispatch(
        self, target: str, incarnation: int, remaining_s: float
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
            max(1, int(remaining_s * 1000)),
            tuple(messages.Header(*pair) for pair in spec.headers),
            spec.body,
            incarnation if key else 0,
            False,
            0,
        )

    def _validate_reply(
        self, reply: messages.Message, side: str
    ) -> messages.DispatchReply:
        """Check that a reply is complete and belongs to this request."""
        if not isinstance(reply, messages.DispatchReply):
            return _make_unknown(self._id, f"{side} sent an unexpected reply")
        if reply.request != self._id or reply.length != len(reply.body):
            return _make_unknown(self._id, f"{side} sent a corrupt reply")
        return reply

    def _release_slot(
        self,
        assignment: routers.Assignment,
        reply: messages.DispatchReply,
        latency_s: float,
    ) -> None:
        if reply.verdict == messages.ANSWERED:
            # Errors are returned quickly, so their latency would make a
            # failing target look like the fastest one.
            failed = reply.status >= _SERVER_ERROR
            self._router.release(assignment, None if failed else latency_s)
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
