"""One accepted version of the job queues: routes, API keys and policy."""

from typing import NamedTuple

from kingcuplever.process.scheduling import model


class Route(NamedTuple):
    """The address at which callers reach a queue.

    :ivar host: value of the request's Host header.
    :ivar public: whether callers need no API key.
    """

    queue: str
    host: str
    path_prefix: str
    public: bool
    timeout_ms: int


class JobQueues(NamedTuple):
    """One version of all job queues.

    :ivar account_by_key: client account by API key.
    :ivar max_body_bytes: size limit of a request body.
    """

    version: int
    routes: tuple[Route, ...]
    account_by_key: dict[str, str]
    max_body_bytes: int
    policy: model.Policy

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the matching route with the longest path prefix."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            longer = best is None or len(route.path_prefix) > len(
                best.path_prefix
            )
            if longer:
                best = route
        return best
