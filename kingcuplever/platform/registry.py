"""Serves the registrations of the executor beside a side."""

from typing import Final

import trio

from kingcuplever.connection import http_server
from kingcuplever import errors
from kingcuplever.platform import executor
from kingcuplever.process.agent import worker_agent

PATH: Final = "/instances/"


def make_handler(agent: worker_agent.WorkerAgent) -> http_server.Handler:
    """Make the HTTP handler for the worker's registrations."""

    async def handle(
        request: http_server.HttpRequest,
    ) -> http_server.HttpResponse:
        worker_id = request.path.removeprefix(PATH)
        if not worker_id or worker_id == request.path:
            raise errors.KingcupleverError(
                f"There is no {request.path} here.", errors.Code.NOT_FOUND
            )
        if request.method == "PUT":
            # Only the executor on the same host calls, a heartbeat at a time.
            document = http_server.parse_json(request.body)
            now = trio.current_time()
            agent.register(
                executor.decode_registration(worker_id, document, now)
            )
        elif request.method == "DELETE":
            agent.deregister(worker_id)
        else:
            raise errors.InvalidRequest(
                f"A registration does not support {request.method}."
            )
        return http_server.json_response({})

    return handle
