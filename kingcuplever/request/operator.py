"""The operators' HTTP API: intents, plans, confirmations, status.

Every request needs a token from the settings, except for health and metrics.
An intent changes nothing before its plan is confirmed, and confirming is
idempotent.  Requests that only the owner can answer are forwarded to it.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import hmac
from typing import Final

import trio

from kingcuplever.connection import http_server
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import intents
from kingcuplever import plain
from kingcuplever.process import config_holder
from kingcuplever.process import metrics
from kingcuplever.process.owner import intent_decider
from kingcuplever.process.owner import job_owner
from kingcuplever.process.routing import members
from kingcuplever.process.routing import router_task
from kingcuplever.process import status_rows
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import job_table
from kingcuplever.process.stored import topic_follower
from kingcuplever.request import relay

# With status 503: about as long as a takeover by another owner, in seconds.
_RETRY_AFTER: Final = ("retry-after", "2")

_OWNER_PATHS: Final = (
    "/v1/intents",
    "/v1/accounts",
    "/v1/evacuations",
    "/v1/workers",
)

_RouteHandler = Callable[
    [http_server.HttpRequest], Awaitable[http_server.HttpResponse]
]


class OperatorHandler:
    """Handles operators' HTTP requests at one entry."""

    def __init__(
        self,
        tokens: dict[str, str],
        owner: job_owner.JobOwner,
        table: job_table.JobTable,
        follower: topic_follower.Follower,
        config: config_holder.ConfigHolder,
        router: router_task.RouterTask,
        sides: members.Members,
        entry_metrics: metrics.EntryMetrics,
        log: keyed_log.KeyedLog,
        operator_relay: relay.Relay,
    ) -> None:
        """Create a handler on top of the entry's components.

        :param tokens: token of each operator, by name.
        :param operator_relay: forwards requests to other entries.
        """
        self._tokens = tokens
        self._owner = owner
        self._table = table
        self._follower = follower
        self._config = config
        self._router = router
        self._sides = sides
        self._metrics = entry_metrics
        self._log = log
        self._relay = operator_relay
        self._decider = intent_decider.IntentDecider(owner, table, follower)
        self._routes: dict[str, _RouteHandler] = {
            "/v1/jobs": self._list_jobs,
            "/v1/owners": self._list_owners,
            "/v1/targets": self._list_targets,
            "/v1/config": self._show_config,
            "/v1/evidence": self._show_evidence,
        }

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Handle an HTTP request of the operators' listener."""
        if request.path == "/health/live":
            return http_server.json_response({"live": True})
        if request.path == "/health/ready":
            return self._show_readiness()
        if request.path == "/metrics":
            return self._show_metrics()
        operator = self._authenticate(request)
        try:
            return await self._answer(request, operator)
        except errors.KingcupleverError as error:
            if error.info.status == 503:
                return http_server.problem_response(error, _RETRY_AFTER)
            raise

    async def _answer(
        self, request: http_server.HttpRequest, operator: str
    ) -> http_server.HttpResponse:
        if _is_for_owner(request):
            return await self._answer_as_owner(request, operator)
        if request.path.startswith("/v1/plans/"):
            return self._show_plan(request)
        if request.path.startswith("/v1/jobs/"):
            return self._show_job(request)
        handler = self._routes.get(request.path)
        if handler is None:
            raise _make_not_found(f"There is no {request.path:.80}.")
        return await handler(request)

    def _show_readiness(self) -> http_server.HttpResponse:
        ready = self._follower.offset >= 0
        status = 200 if ready else 503
        return http_server.json_response({"ready": ready}, status)

    def _show_metrics(self) -> http_server.HttpResponse:
        self._metrics.sides.set(len(self._sides))
        self._metrics.waiting_requests.set(self._router.count_queued())
        peers = [link.peer for link in self._sides.list_links()]
        sent = sum(peer.bytes_sent for peer in peers)
        received = sum(peer.bytes_received for peer in peers)
        self._metrics.peer_bytes.labels("sent").set(sent)
        self._metrics.peer_bytes.labels("received").set(received)
        late = sum(peer.late_replies for peer in peers)
        self._metrics.late_replies.set(late)
        content_type = ("content-type", "text/plain; version=0.0.4")
        return http_server.HttpResponse(
            200, (content_type,), self._metrics.render()
        )

    def _authenticate(self, request: http_server.HttpRequest) -> str:
        """Return the name of the operator whose token the request has.

        :raises errors.KingcupleverError: if no operator has this token.
        """
        header = request.headers.get("authorization", "")
        token = header.removeprefix("Bearer ")
        for name, expected in self._tokens.items():
            if hmac.compare_digest(token.encode(), expected.encode()):
                return name
        raise errors.KingcupleverError(
            "The token is missing or unknown.", errors.Code.UNAUTHORIZED
        )

    async def _answer_as_owner(
        self, request: http_server.HttpRequest, operator: str
    ) -> http_server.HttpResponse:
        """Handle a request for the owner here, or forward it to the owner."""
        if self._owner.term is None:
            owner = self._table.owner
            name = "" if owner is None else owner.entry
            return await self._relay.forward(name, request)
        if request.path == "/v1/accounts":
            rows = status_rows.make_account_rows(self._decider.term)
            return _respond_with_matching(rows, request.query)
        if request.path == "/v1/evacuations":
            rows = status_rows.make_evacuation_rows(self._decider.term)
            return _respond_with_matching(rows, request.query)
        if request.path == "/v1/workers":
            now = trio.current_time()
            rows = status_rows.make_worker_rows(self._decider.term, now)
            return _respond_with_matching(rows, request.query)
        if request.path == "/v1/intents":
            return await self._state_intent(request, operator)
        return await self._confirm(request, operator)

    async def _state_intent(
        self, request: http_server.HttpRequest, operator: str
    ) -> http_server.HttpResponse:
        if request.method != "POST":
            raise errors.InvalidRequest("Intents must be sent with POST.")
        document = http_server.parse_json(request.body, request.memory)
        try:
            intent = plain.from_plain(intents.Intent, document, "intent")
        except plain.ValidationError as error:
            raise errors.InvalidRequest(str(error)) from error
        plan = await self._decider.propose(intent, operator)
        status = 422 if plan.refusal else 200
        return http_server.json_response(
            status_rows.make_plan_row(plan), status
        )

    async def _confirm(
        self, request: http_server.HttpRequest, operator: str
    ) -> http_server.HttpResponse:
        name = request.path.removeprefix("/v1/plans/").partition("/")[0]
        if request.method != "POST":
            raise errors.InvalidRequest("Plans must be confirmed with POST.")
        plan = await self._decider.confirm(name, operator)
        if plan.decision == "accepted":
            return http_server.json_response(
                {
                    "id": plan.plan,
                    "decision": plan.decision,
                    "version": plan.version,
                }
            )
        if plan.decision == "refused":
            raise errors.KingcupleverError(
                f"Plan {name} was refused: {plan.refusal}",
                errors.Code.INTENT_REFUSED,
            )
        newer_plan = await self._decider.propose(plan.intent, operator)
        error = errors.KingcupleverError(
            f"Plan {name} is stale: another change was accepted meanwhile.",
            errors.Code.PLAN_STALE,
        )
        extra = {"newer_plan": status_rows.make_plan_row(newer_plan)}
        return http_server.problem_response(error, extra=extra)

    def _show_plan(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        name = request.path.removeprefix("/v1/plans/")
        plan = self._table.intents.plans.get(name)
        if plan is None:
            raise _make_not_found(f"Plan {name!r:.80} is unknown here.")
        status = 422 if plan.refusal else 200
        return http_server.json_response(
            status_rows.make_plan_row(plan), status
        )

    def _show_job(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        name = request.path.removeprefix("/v1/jobs/")
        row = status_rows.make_job_row(
            self._table, self._owner.term, name, trio.current_time()
        )
        if row is None:
            raise _make_not_found(f"Job {name!r:.80} is unknown here.")
        return http_server.json_response(row)

    async def _list_jobs(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        rows = status_rows.make_job_rows(self._table, self._owner.term)
        return _respond_with_matching(rows, request.query)

    async def _list_owners(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        row = status_rows.make_owner_row(
            self._table, self._follower.offset, self._owner.term
        )
        return _respond_with_matching([row], request.query)

    async def _list_targets(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        rows = await self._router.describe()
        return _respond_with_matching(rows, request.query)

    async def _show_config(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        version = self._config.version
        return http_server.json_response(
            {
                "version": version.number,
                "config": plain.to_plain(version.config),
                "sides": [
                    {"side": link.side, "version": link.config_version}
                    for link in self._sides.list_links()
                ],
            }
        )

    async def _show_evidence(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Return the batches of evidence as stored on the log."""
        snapshot = await self._log.read_snapshot(evidence_records.TOPIC)
        batches = [
            stored.value.decode("utf-8", "replace")
            for stored in snapshot.records
            if stored.value is not None
        ]
        config = self._config.version.config
        return http_server.json_response(
            {
                "batches": batches,
                "reclaim_ms": config.scheduling.reclaim_ms,
            }
        )


def _is_for_owner(request: http_server.HttpRequest) -> bool:
    """Return whether only the owner can handle a request."""
    if request.path in _OWNER_PATHS:
        return True
    is_plan = request.path.startswith("/v1/plans/")
    return is_plan and request.path.endswith("/confirm")


def _respond_with_matching(
    rows: list[dict[str, object]], query: dict[str, str]
) -> http_server.HttpResponse:
    """Respond with the rows whose columns have the values of the query."""
    matching = [
        row
        for row in rows
        if all(str(row.get(key)) == value for key, value in query.items())
    ]
    return http_server.json_response(matching)


def _make_not_found(detail: str) -> errors.KingcupleverError:
    return errors.KingcupleverError(detail, errors.Code.NOT_FOUND)
