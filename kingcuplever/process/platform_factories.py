"""What the product needs of a platform, made by its adapter."""

from collections.abc import Callable
from typing import NamedTuple

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import keyed_log
from kingcuplever.process.agent import executor
from kingcuplever.process.agent import worker_agent


class PlatformFactories(NamedTuple):
    """How a process reaches the platform.

    :ivar make_log: gives the log behind a client.
    :ivar make_executor: gives the worker behind a client.
    :ivar make_registry: gives the handler of a worker's registrations.
    """

    make_log: Callable[[http_client.HttpClient], keyed_log.KeyedLog]
    make_executor: Callable[[http_client.HttpClient], executor.Executor]
    make_registration_handler: Callable[
        [worker_agent.WorkerAgent], http_server.Handler
    ]
