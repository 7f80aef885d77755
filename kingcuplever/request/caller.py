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
from kingcuplever.request import keyed

# The side's own bound ends first, so that its answer can still come.
_SIDE_MARGIN_S: Final = 0.25
_ATTEMPTS_MOST: Final = 4
# Bounds the turns of a request that full targets refuse; each takes at least
# one exchange with a side.
_ROUNDS_MOST: Final = 100
_SERVER_ERROR: Final = 500


class CallerDesk:
    """Answers callers' requests at one entry."""

    def __init__(
        self,
        router: router_task.RouterTask,
        sides: members.Members,
        account_limits: limits.AccountLimits,
        measures: metrics.EntryMetrics,
    ) -> None:
        """Use the entry's parts."""
        self._router = router
        self._sides = sides
        self._limits = account_limits
        self._metrics = measures
        self._budget = limits.RetryBudget()
        self._witnesses = keyed.Witnesses(sides)
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
        spec = headers.read(request)
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
            self._check_limit(spec)
            self._budget.request()
            reply = await _Request(
                spec, self._router, self._sides, self._budget, self._witnesses
            ).run()
        except Overloaded as error:
            self._count(spec, error.code.value)
            seconds = str(max(1, round(error.retry_after_s)))
            return http_server.problem(error, ("retry-after", seconds))
        except errors.KingcupleverError as error:
            self._count(spec, error.code.value)
            return http_server.problem(error)
        self._count(spec, "answered")
        pairs = tuple((h.name, h.value) for h in reply.headers)
        return http_server.HttpResponse(
            reply.status, headers.forwardable(pairs), reply.body
        )

    def _check_limit(self, spec: headers.CallerRequest) -> None:
        wait_s = self._limits.wait_s(spec.account, trio.current_time())
        if wait_s and spec.key and not spec.idempotent:
            # An earlier sending of the key may have run, so the limit does
            # not stand between a caller and its answer.
            return
        if wait_s:
            raise Overloaded(
                f"Account {spec.account} is over its limit.", wait_s
            )

    def _count(self, spec: headers.CallerRequest, result: str) -> None:
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


class _Request:
    """The attempts of one request."""

    def __init__(
        self,
        spec: headers.CallerRequest,
        router: router_task.RouterTask,
        sides: members.Members,
        budget: limits.RetryBudget,
        witnesses: keyed.Witnesses,
    ) -> None:
        self._spec = spec
        self._router = router
        self._sides = sides
        self._budget = budget
        self._witnesses = witnesses
        self._id = uuid.uuid4().hex
        self._since_ms = clock.wall_ms()
        self._deadline = trio.current_time() + spec.timeout_ms / 1000
        self._avoid: set[routers.TargetId] = set()
        self._number = 0
        self._fenced_at = ""
        self._fenced_turn = 0
        self._at_most_once = bool(spec.key) and not spec.idempotent

    async def run(self) -> messages.DispatchReply:
        """Make attempts until there is an answer, or none may follow."""
        error: errors.KingcupleverError | None = None
        refused = False
        sent = 0
        for attempt in range(_ROUNDS_MOST):
            if sent >= _ATTEMPTS_MOST:
                break
            if attempt and not self._may_retry(refused):
                break
            verdict = await self._acquire()
            if isinstance(verdict, routers.Refusal):
                error = error or self._refused(verdict)
                break
            reply = await self._attempt(verdict)
            if reply.verdict == messages.ANSWERED:
                return reply
            error = _error_of(reply)
            refused = reply.verdict == messages.NOT_RUN
            # A full target costs a request its turn, and nothing else.
            sent += 0 if refused else 1
            if not self._repeatable(reply):
                break
        assert error is not None
        raise await self._last_check(error)

    def _may_retry(self, refused: bool) -> bool:
        """Tell whether there is time and budget for another attempt.

        :param refused: the last one did not run, so that the next is no
            load beside it.
        """
        if self._deadline <= trio.current_time():
            return False
        return refused or self._budget.take()

    def _repeatable(self, reply: messages.DispatchReply) -> bool:
        if self._spec.idempotent:
            return True
        if reply.verdict == messages.UNKNOWN:
            return False
        # A key that no side has fenced may still run where it is claimed.
        return not self._at_most_once or bool(self._fenced_at)

    async def _acquire(self) -> routers.Verdict:
        """Wait for a target, or for a refusal."""
        verdict = await self._router.acquire(
            self._spec.service,
            self._spec.priority,
            self._deadline,
            frozenset(self._avoid),
            self._number,
        )
        self._number = verdict.ticket.number
        return verdict

    def _refused(self, refusal: routers.Refusal) -> Overloaded:
        logs.info(logs.Part.ROUTE, f"{self._id}: refused, {refusal.reason}.")
        return Overloaded(
            f"No target could take it: {refusal.reason}.",
            refusal.retry_after_s,
        )

    async def _last_check(
        self, error: errors.KingcupleverError
    ) -> errors.KingcupleverError:
        """Fence the key before saying that it did not run."""
        if not self._at_most_once or error.facts.run is errors.Run.UNKNOWN:
            return error
        fate = await self._claim_for("", 0)
        if fate.standing in (keyed.Standing.GRANTED, keyed.Standing.FENCED):
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
            fate = await self._claim_for(target.side, assignment.incarnation)
            turn = fate.turn
            if fate.standing is not keyed.Standing.GRANTED:
                self._router.release_unused(assignment)
                return await self._follow(fate)
        self._say(assignment)
        started = trio.current_time()
        reply = await self._dispatch(
            target.side, target.target, assignment.incarnation, turn
        )
        self._give_back(assignment, reply, trio.current_time() - started)
        return reply

    async def _claim_for(self, side: str, incarnation: int) -> keyed.Fate:
        fate = await self._witnesses.claim(
            self._id,
            self._spec.key,
            side,
            incarnation,
            self._since_ms,
            self._fenced_at,
            self._fenced_turn,
        )
        self._fenced_at = ""
        return fate

    async def _follow(self, fate: keyed.Fate) -> messages.DispatchReply:
        """Ask the side that the key was claimed for before."""
        if fate.standing is keyed.Standing.UNPROVABLE:
            return _unknown(self._id, fate.detail)
        if fate.standing is keyed.Standing.FENCED:
            return _not_run(self._id, fate.detail)
        logs.info(
            logs.Part.ROUTE,
            f"{self._id}: key known, to its runner {fate.runner}.",
        )
        disputed = fate.standing is keyed.Standing.DISPUTED
        reply = await self._dispatch(
            fate.runner, "", fate.incarnation, fate.turn, disputed
        )
        if reply.verdict == messages.NOT_RUN and not self._fenced_at:
            # It was not sent, but an earlier sending may have been.
            return _unknown(self._id, reply.detail)
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
            return _not_run(self._id, f"{side} is not linked")
        if left_s <= 0:
            return _not_run(self._id, "its time is over")
        message = self._message(target, incarnation, left_s)
        message = message._replace(join_only=join_only, turn=turn)
        try:
            reply = await link.peer.call(message, left_s + _SIDE_MARGIN_S)
        except errors.PeerLost as error:
            if not error.sent:
                return _not_run(self._id, f"{side}: {error.detail}")
            return _unknown(self._id, f"{side}: {error.detail}")
        except errors.KingcupleverError as error:
            return _unknown(self._id, f"{side}: {error.detail}")
        checked = self._check(reply, side)
        if checked.verdict == messages.NOT_RUN:
            # The side has seen the key and will not run it any more.
            self._fenced_at = side
            self._fenced_turn = turn
        return checked

    def _message(
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

    def _check(
        self, reply: messages.Message, side: str
    ) -> messages.DispatchReply:
        """Check that the whole answer of this very request came."""
        if not isinstance(reply, messages.DispatchReply):
            return _unknown(self._id, f"{side} sent no reply of ours")
        if reply.request != self._id or reply.length != len(reply.body):
            return _unknown(self._id, f"{side} sent a broken answer")
        return reply

    def _give_back(
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
            self._router.full(assignment)
        else:
            self._router.release(assignment, None)

    def _say(self, assignment: routers.Assignment) -> None:
        target = assignment.target
        logs.info(
            logs.Part.ROUTE,
            f"{self._id}: {self._spec.service} of {self._spec.account} to"
            f" {target.side}/{target.target}, {assignment.reason}.",
        )


def _error_of(reply: messages.DispatchReply) -> errors.KingcupleverError:
    code = errors.Code.OUTCOME_UNKNOWN
    if reply.verdict == messages.NOT_RUN:
        code = errors.Code.NOT_RUN
    return errors.KingcupleverError(f"No answer: {reply.detail}.", code)


def _not_run(request: str, detail: str) -> messages.DispatchReply:
    return messages.DispatchReply(
        request, messages.NOT_RUN, 0, (), b"", 0, detail
    )


def _unknown(request: str, detail: str) -> messages.DispatchReply:
    return messages.DispatchReply(
        request, messages.UNKNOWN, 0, (), b"", 0, detail
    )
