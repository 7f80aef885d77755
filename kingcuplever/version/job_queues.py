"""One accepted version of the job queues: routes, keys and policy."""

from typing import NamedTuple

from kingcuplever.process.scheduling import model


class Route(NamedTuple):
    """Where callers reach a queue.

    :ivar host: name in the request's Host header.
    :ivar public: callers need no key.
    """

    queue: str
    host: str
    path_prefix: str
    public: bool
    timeout_ms: int


class JobQueues(NamedTuple):
    """One version, whole.

    :ivar accounts: client account by key.
    :ivar max_body_bytes: longest body that is taken.
    """

    version: int
    routes: tuple[Route, ...]
    account_by_key: dict[str, str]
    max_body_bytes: int
    policy: model.Policy

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of a path."""
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
