"""Callers for the demo, the tests and the benchmarks.

Each request carries its run id in the ``x-run`` header, so that the results
that callers got can be compared with the requests that the targets ran.
"""

from collections.abc import Sequence
import json
import time
from typing import Any
from typing import NamedTuple
import uuid

import httpcore
import trio

# Status of a request that got no HTTP response.
NO_ANSWER = 0


class Call(NamedTuple):
    """One request, as a caller sends it.

    :ivar run_id: identifies the request in the targets' records.
    :ivar key: idempotency key, or empty.
    """

    service: str
    account: str
    run_id: str
    key: str = ""
    idempotent: bool = False
    priority: str = "normal"
    timeout_ms: int = 10_000
    work_ms: int = 0
    body: bytes = b""


class CallResult(NamedTuple):
    """Result of one attempt to send a request.

    :ivar status: HTTP status; ``NO_ANSWER`` without a response.
    :ivar code: the product's error code, or empty.
    :ivar run_status: ``not-run`` or ``unknown`` with an error code, or empty.
    :ivar is_intact: whether the response is complete and this request's own.
    :ivar seconds: time until the response or the failure.
    """

    call: Call
    status: int
    code: str
    run_status: str
    is_intact: bool
    seconds: float
    detail: str = ""


class Audit(NamedTuple):
    """Comparison of the callers' results with the requests that ran.

    :ivar duplicated: requests, not idempotent, that ran more than once.
    :ivar false_not_run: requests reported as not run that did run.
    :ivar lost: requests answered with success that never ran.
    :ivar mismatched: successful responses that were incomplete or belonged to
        another request.
    """

    answered: int
    not_run: int
    unknown: int
    no_answer: int
    duplicated: tuple[str, ...]
    false_not_run: tuple[str, ...]
    lost: tuple[str, ...]
    mismatched: tuple[str, ...]

    @property
    def is_clean(self) -> bool:
        """Whether every request ran and was answered as promised."""
        wrong = (
            self.duplicated,
            self.false_not_run,
            self.lost,
            self.mismatched,
        )
        return not any(wrong)


def make_run_id() -> str:
    """Return a unique id for a request."""
    return uuid.uuid4().hex


async def send(
    pool: httpcore.AsyncConnectionPool, address: str, call: Call
) -> CallResult:
    """Send a request once and return its result."""
    headers = [
        ("Host", address),
        ("Content-Length", str(len(call.body))),
        ("Kingcuplever-Account", call.account),
        ("Kingcuplever-Idempotent", "true" if call.idempotent else "false"),
        ("Kingcuplever-Priority", call.priority),
        ("Kingcuplever-Timeout-Ms", str(call.timeout_ms)),
        ("x-run", call.run_id),
    ]
    if call.key:
        headers.append(("Idempotency-Key", call.key))
    if call.work_ms:
        headers.append(("x-work-ms", str(call.work_ms)))
    url = f"http://{address}/v1/services/{call.service}/requests"
    started = time.monotonic()
    status = NO_ANSWER
    content = b""
    with trio.move_on_after(call.timeout_ms / 1000 + 2):
        try:
            response = await pool.request(
                "POST", url, headers=headers, content=call.body
            )
            status, content = response.status, response.content
        except (httpcore.NetworkError, httpcore.ProtocolError):
            status = NO_ANSWER
    seconds = time.monotonic() - started
    return _make_result(call, status, content, seconds)


async def send_until_answered(
    pool: httpcore.AsyncConnectionPool,
    addresses: Sequence[str],
    call: Call,
    attempts: int = 3,
) -> list[CallResult]:
    """Send a request until it succeeds, each time to the next entry.

    The request needs an idempotency key, or it may run more than once.

    :return: the result of each attempt.
    """
    results: list[CallResult] = []
    for number in range(attempts):
        address = addresses[number % len(addresses)]
        results.append(await send(pool, address, call))
        if results[-1].status == 200:
            break
        await trio.sleep(0.2)
    return results


def audit(
    results: Sequence[CallResult], executions: Sequence[dict[str, Any]]
) -> Audit:
    """Compare the callers' results with the requests that ran.

    :param executions: the targets' records, a row for each request run.
    """
    run_counts: dict[str, int] = {}
    for row in executions:
        run_counts[row["run"]] = run_counts.get(row["run"], 0) + 1
    results_by_run: dict[str, list[CallResult]] = {}
    for result in results:
        results_by_run.setdefault(result.call.run_id, []).append(result)
    doubled = []
    false_not_run = []
    lost = []
    for run, attempts in results_by_run.items():
        count = run_counts.get(run, 0)
        call = attempts[0].call
        if count > 1 and not call.idempotent:
            doubled.append(run)
        last = attempts[-1]
        if last.run_status == "not-run" and count:
            false_not_run.append(run)
        if any(result.status == 200 for result in attempts) and not count:
            lost.append(run)
    answered = [result for result in results if result.status == 200]
    return Audit(
        len(answered),
        sum(result.run_status == "not-run" for result in results),
        sum(result.run_status == "unknown" for result in results),
        sum(result.status == NO_ANSWER for result in results),
        tuple(doubled),
        tuple(false_not_run),
        tuple(lost),
        tuple(
            result.call.run_id for result in answered if not result.is_intact
        ),
    )


def _make_result(
    call: Call, status: int, content: bytes, seconds: float
) -> CallResult:
    try:
        document = json.loads(content) if content else {}
    except ValueError:
        document = {}
    if not isinstance(document, dict):
        document = {}
    is_intact = document.get("run") == call.run_id and document.get(
        "body"
    ) == call.body.decode("latin-1")
    code = document.get("code", "")
    run_status = document.get("run", "") if code else ""
    detail = document.get("detail", "")
    return CallResult(
        call, status, code, run_status, is_intact, seconds, detail
    )
