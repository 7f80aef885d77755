"""Factories through which a platform adapter provides its clients."""

from collections.abc import Callable
from typing import NamedTuple

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import keyed_log
from kingcuplever.process.agent import executor
from kingcuplever.process.agent import worker_agent


class PlatformFactories(NamedTuple):
    """Creates the clients and handlers of one platform.

    :ivar make_log: wraps an HTTP client of the log service.
    :ivar make_executor: wraps an HTTP client of a worker.
    :ivar make_registration_handler: makes the HTTP handler for the
        registrations of an agent's worker.
    """

    make_log: Callable[[http_client.HttpClient], keyed_log.KeyedLog]
    make_executor: Callable[[http_client.HttpClient], executor.Executor]
    make_registration_handler: Callable[
        [worker_agent.WorkerAgent], http_server.Handler
    ]
