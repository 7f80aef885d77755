"""Parses callers' requests: path, headers and their limits."""

import re
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import http_server
from kingcuplever import errors
from kingcuplever.process.routing import router as routers

DEFAULT_TIMEOUT_MS: Final = 10_000
MAX_TIMEOUT_MS: Final = 60_000
MAX_KEY_LENGTH: Final = 200

_PATH: Final = re.compile(r"/v1/services/([A-Za-z0-9._-]{1,64})/requests")
_ACCOUNT: Final = re.compile(r"[A-Za-z0-9._-]{1,64}")
# Headers that are not forwarded: those of a single connection, and those that
# the sender of each HTTP message sets itself.
_HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-authorization",
        "proxy-connection",
    }
)


class CallerRequest(NamedTuple):
    """A caller's request.

    :ivar key: ``ACCOUNT/`` and the idempotency key, or empty without a key.
    :ivar idempotent: whether it may run more than once.
    :ivar timeout_ms: time from its arrival to the deadline.
    :ivar headers: headers to forward to the target.
    """

    service: str
    account: str
    key: str
    idempotent: bool
    priority: routers.Priority
    timeout_ms: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def parse_request(request: http_server.HttpRequest) -> CallerRequest:
    """Parse and validate a caller's request.

    :raises errors.KingcupleverError: naming the invalid part.
    """
    match = _PATH.fullmatch(request.path)
    if match is None:
        raise errors.KingcupleverError(
            f"There is no {request.path:.80}; requests go to"
            " /v1/services/SERVICE/requests.",
            errors.Code.NOT_FOUND,
        )
    if request.method != "POST":
        raise errors.InvalidRequest("Requests are sent with POST.")
    headers = request.headers
    account = headers.get("kingcuplever-account", "")
    if not _ACCOUNT.fullmatch(account):
        raise errors.InvalidRequest(
            "Kingcuplever-Account must be 1 to 64 letters, digits, '.', '_'"
            " or '-'."
        )
    key = headers.get("idempotency-key", "")
    if len(key) > MAX_KEY_LENGTH:
        raise errors.InvalidRequest(
            f"Idempotency-Key is over {MAX_KEY_LENGTH} characters."
        )
    return CallerRequest(
        match.group(1),
        account,
        f"{account}/{key}" if key else "",
        _read_idempotent(headers),
        _read_priority(headers),
        _read_timeout_ms(headers),
        _select_forwarded(headers),
        request.body,
    )


def strip_hop_by_hop(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Remove the headers that must not be forwarded."""
    return tuple(
        pair for pair in headers if pair[0].lower() not in _HOP_BY_HOP
    )


def _select_forwarded(headers: dict[str, str]) -> tuple[tuple[str, str], ...]:
    return strip_hop_by_hop(tuple(headers.items()))


def _read_idempotent(headers: dict[str, str]) -> bool:
    value = headers.get("kingcuplever-idempotent", "false")
    if value not in ("true", "false"):
        raise errors.InvalidRequest(
            "Kingcuplever-Idempotent must be true or false."
        )
    return value == "true"


def _read_priority(headers: dict[str, str]) -> routers.Priority:
    value = headers.get("kingcuplever-priority", "normal")
    if value == "urgent":
        return "urgent"
    if value == "normal":
        return "normal"
    raise errors.InvalidRequest(
        "Kingcuplever-Priority must be urgent or normal."
    )


def _read_timeout_ms(headers: dict[str, str]) -> int:
    value = headers.get("kingcuplever-timeout-ms", str(DEFAULT_TIMEOUT_MS))
    if not value.isascii() or not value.isdigit() or len(value) > 6:
        value = "0"
    timeout_ms = int(value)
    if not 1 <= timeout_ms <= MAX_TIMEOUT_MS:
        raise errors.InvalidRequest(
            f"Kingcuplever-Timeout-Ms must be 1 to {MAX_TIMEOUT_MS}."
        )
    return timeout_ms
