"""Serves the platform's HTTP interface for jobs through the job API."""

import re
from typing import Final

import trio

from kingcuplever import clock
from kingcuplever.connection import http_server
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever.platform import queues
from kingcuplever.process import job_api
from kingcuplever.process import job_metrics
from kingcuplever.version import job_queues

_API_KEY_HEADER: Final = "x-api-key"
_DEADLINE_HEADER: Final = "x-kingcuplever-deadline-ms"
_DEFAULT_DEADLINE_MS: Final = 3000
# Subtracted from the deadline, so that the response arrives before the caller
# gives up.
_RESPONSE_MARGIN_S: Final = 0.15
_MIN_TIMEOUT_S: Final = 0.05
# A request with a longer deadline waits no longer, and holds no more.
_MAX_DEADLINE_MS: Final = 60_000
# Whole seconds; about the duration of an owner takeover, or of the log's
# recovery from a burst.
_RETRY_AFTER: Final = ("retry-after", "1")
_METHODS: Final = ("GET", "POST", "DELETE")
_JOB_NAME: Final = re.compile(r"[0-9a-fA-F]{16}")


class JobHttpHandler:
    """Handles callers' HTTP requests on one entry.

    :ivar queues: configuration in force; absent until one has been read.
    """

    def __init__(
        self, api: job_api.JobApi, metrics: job_metrics.JobMetrics
    ) -> None:
        """Serve through a job API; refuse requests until ``queues`` is set."""
        self.queues: job_queues.JobQueues | None = None
        self._api = api
        self._metrics = metrics

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Handle one request and record its metrics."""
        began_at = trio.current_time()
        response = await self._respond(request)
        seconds = trio.current_time() - began_at
        metrics = self._metrics
        # Clients may send any word, and each label is kept.
        method = request.method if request.method in _METHODS else "other"
        metrics.answers.labels(method, str(response.status)).inc()
        metrics.answer_seconds.labels(method).observe(seconds)
        return response

    async def _respond(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Handle one request; an error becomes a problem response."""
        try:
            return await self._dispatch(request)
        except errors.KingcupleverError as error:
            text = (
                f"{request.method} {request.path} answered"
                f" {error.code.value}: {error.detail}"
            )
            logs.info(logs.Component.ROUTE, text)
            if error.info.status in (429, 503):
                return http_server.problem_response(error, _RETRY_AFTER)
            return http_server.problem_response(error)

    async def _dispatch(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        config = self.queues
        if config is None:
            raise errors.KingcupleverError(
                "No configuration has been read yet.", errors.Code.OVERLOADED
            )
        host = request.headers.get("host", "").partition(":")[0].lower()
        route = config.find_route(host, request.path)
        if route is None:
            raise errors.KingcupleverError(
                f"There is no queue at {host}{request.path}.",
                errors.Code.NOT_FOUND,
            )
        account = config.account_by_key.get(
            request.headers.get(_API_KEY_HEADER, ""), ""
        )
        if not account and not route.public:
            raise errors.KingcupleverError(
                "The API key is unknown.", errors.Code.UNAUTHORIZED
            )
        job = request.path[len(route.path_prefix) :]
        if not job:
            return self._handle_queue(request, route)
        if not _JOB_NAME.fullmatch(job):
            raise errors.KingcupleverError(
                f"{job!r:.40} is not a job name.", errors.Code.NOT_FOUND
            )
        return await self._handle_job(request, config, route, account, job)

    def _handle_queue(
        self, request: http_server.HttpRequest, route: job_queues.Route
    ) -> http_server.HttpResponse:
        if request.method != "GET":
            raise errors.InvalidRequest(
                f"A queue does not support {request.method}; send GET."
            )
        waiting = self._api.count_waiting(route.queue)
        return http_server.json_response({"Waiting": waiting})

    async def _handle_job(
        self,
        request: http_server.HttpRequest,
        config: job_queues.JobQueues,
        route: job_queues.Route,
        account: str,
        job: str,
    ) -> http_server.HttpResponse:
        timeout_s = _compute_timeout_s(request)
        if request.method == "POST":
            if len(request.body) > config.max_body_bytes:
                raise errors.InvalidRequest(
                    f"The body exceeds {config.max_body_bytes} bytes."
                )
            spec = queues.decode_job(
                http_server.parse_json(request.body, request.memory),
                config.policy.queues[route.queue],
                account,
                clock.wall_ms(),
            )
            await self._api.submit(job, spec, timeout_s)
            return http_server.json_response({})
        found = await self._api.read_job(job)
        found.check_access(account, route.queue, config.policy.queues)
        if request.method == "GET":
            self._record_view_age(job, found.state)
            return http_server.json_response({"State": found.state})
        if request.method == "DELETE":
            await self._api.cancel(job, timeout_s)
            return http_server.json_response({})
        raise errors.InvalidRequest(
            f"A job does not support {request.method}."
        )

    def _record_view_age(self, job: str, state: str) -> None:
        """Record the age of the view from which a state is returned."""
        age_s = self._api.view_age_s
        self._metrics.view_age_seconds.observe(age_s)
        if age_s > job_api.MAX_VIEW_AGE_S:
            text = f"Job {job} is shown as {state}, as of {age_s:.1f} s ago."
            logs.info(logs.Component.ROUTE, text)


def _compute_timeout_s(request: http_server.HttpRequest) -> float:
    """Return the time left for a response, in seconds."""
    header = request.headers.get(_DEADLINE_HEADER, "")
    deadline_ms = _DEFAULT_DEADLINE_MS
    if header.isdecimal():
        # The digits are bounded first: their conversion has a limit, too.
        digits = header.lstrip("0")[: len(str(_MAX_DEADLINE_MS)) + 1]
        deadline_ms = min(_MAX_DEADLINE_MS, int(digits or "0"))
    return max(_MIN_TIMEOUT_S, deadline_ms / 1000 - _RESPONSE_MARGIN_S)
