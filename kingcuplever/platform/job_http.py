"""What callers of jobs speak, translated to the job desk and back."""

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

_KEY: Final = "x-api-key"
_DEADLINE: Final = "x-kingcuplever-deadline-ms"
_DEFAULT_DEADLINE_MS: Final = 3000
# Kept of the caller's time, so that the answer arrives before it leaves.
_ANSWER_MARGIN_S: Final = 0.15
_LEAST_S: Final = 0.05
# When a refused caller should come back: the time of a takeover, or of the
# log's own recovery from a burst, in whole seconds.
_RETRY_AFTER: Final = ("retry-after", "1")
_JOB: Final = re.compile(r"[0-9a-fA-F]{16}")


class JobHttpHandler:
    """Answers callers on one entry."""

    def __init__(
        self, desk: job_api.JobApi, metrics: job_metrics.JobMetrics
    ) -> None:
        """Answer through a desk, once there is a configuration."""
        self.queues: job_queues.JobQueues | None = None
        self._desk = desk
        self._metrics = metrics

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Answer one request."""
        began_at = trio.current_time()
        answer = await self._answer(request)
        seconds = trio.current_time() - began_at
        measures = self._metrics
        measures.answers.labels(request.method, str(answer.status)).inc()
        measures.answer_seconds.labels(request.method).observe(seconds)
        return answer

    async def _answer(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        try:
            return await self._handle(request)
        except errors.KingcupleverError as error:
            text = (
                f"{request.method} {request.path} answered"
                f" {error.code.value}: {error.detail}"
            )
            logs.info(logs.Component.ROUTE, text)
            if error.info.status in (429, 503):
                return http_server.problem_response(error, _RETRY_AFTER)
            return http_server.problem_response(error)

    async def _handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        known = self.queues
        if known is None:
            raise errors.KingcupleverError(
                "There is no configuration yet.", errors.Code.OVERLOADED
            )
        host = request.headers.get("host", "").partition(":")[0].lower()
        route = known.find_route(host, request.path)
        if route is None:
            raise errors.KingcupleverError(
                f"There is no queue at {host}{request.path}.",
                errors.Code.NOT_FOUND,
            )
        account = known.account_by_key.get(request.headers.get(_KEY, ""), "")
        if not account and not route.public:
            raise errors.KingcupleverError(
                "The key is not known.", errors.Code.UNAUTHORIZED
            )
        job = request.path[len(route.path_prefix) :]
        if not job:
            return self._handle_queue(request, route)
        if not _JOB.fullmatch(job):
            raise errors.KingcupleverError(
                f"{job!r:.40} names no job.", errors.Code.NOT_FOUND
            )
        return await self._handle_job(request, known, route, account, job)

    def _handle_queue(
        self, request: http_server.HttpRequest, route: job_queues.Route
    ) -> http_server.HttpResponse:
        if request.method != "GET":
            raise errors.InvalidRequest(
                f"A queue can be read, not {request.method}."
            )
        waiting = self._desk.count_waiting(route.queue)
        return http_server.json_response({"Waiting": waiting})

    async def _handle_job(
        self,
        request: http_server.HttpRequest,
        known: job_queues.JobQueues,
        route: job_queues.Route,
        account: str,
        job: str,
    ) -> http_server.HttpResponse:
        timeout_s = _time_left_s(request)
        if request.method == "POST":
            if len(request.body) > known.max_body_bytes:
                raise errors.InvalidRequest(
                    f"The body is over {known.max_body_bytes} bytes."
                )
            spec = queues.decode_job(
                http_server.parse_json(request.body),
                known.policy.queues[route.queue],
                account,
                clock.wall_ms(),
            )
            await self._desk.submit(job, spec, timeout_s)
            return http_server.json_response({})
        found = await self._desk.read_job(job)
        if account and found.account and found.account != account:
            raise errors.KingcupleverError(
                f"Job {job} is not of {account}.", errors.Code.FORBIDDEN
            )
        if request.method == "GET":
            self._record_view_age(job, found.state)
            return http_server.json_response({"State": found.state})
        if request.method == "DELETE":
            await self._desk.cancel(job, timeout_s)
            return http_server.json_response({})
        raise errors.InvalidRequest(f"A job takes no {request.method}.")

    def _record_view_age(self, job: str, state: str) -> None:
        """Say how old the view is that a state is shown from."""
        age_s = self._desk.view_age_s
        self._metrics.view_age_seconds.observe(age_s)
        if age_s > job_api.MAX_VIEW_AGE_S:
            text = f"Job {job} is shown as {state}, as of {age_s:.1f} s ago."
            logs.info(logs.Component.ROUTE, text)


def _time_left_s(request: http_server.HttpRequest) -> float:
    """Give how long a caller's answer may take."""
    text = request.headers.get(_DEADLINE, "")
    deadline_ms = int(text) if text.isdecimal() else _DEFAULT_DEADLINE_MS
    return max(_LEAST_S, deadline_ms / 1000 - _ANSWER_MARGIN_S)
