"""Runs dispatched requests at a side: key, slot, and call to the target.

The call runs in the nursery of the process, not in that of the connection, so
that a request in progress survives the loss of its entry and a retry gets its
reply.
"""

from collections.abc import Callable
from typing import Final

import trio

from kingcuplever.connection import http_client
from kingcuplever import containment
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process.routing import idempotency_keys
from kingcuplever.process.routing import targets

# Bounds on waiting for a slot at the side: time, and number of requests.
_MAX_SLOT_WAIT_S: Final = 0.2
_MAX_SLOT_WAITERS: Final = 16

ClientProvider = Callable[[str], http_client.HttpClient]


class DispatchHandler:
    """Handles dispatches and key claims at one side.

    :ivar targets: the targets of the side.
    """

    def __init__(
        self,
        side: str,
        incarnation: int,
        horizon_s: float,
        get_client: ClientProvider,
        nursery: trio.Nursery,
    ) -> None:
        """Start without targets, keys and claims.

        :param incarnation: incarnation of the side.
        :param horizon_s: how long keys and claims are retained.
        :param get_client: returns the HTTP client of a target's address.
        :param nursery: nursery with the lifetime of the process.
        """
        self._side = side
        self._incarnation = incarnation
        self._get_client = get_client
        self._nursery = nursery
        self._keys = idempotency_keys.KeyTable(horizon_s)
        self._claims = idempotency_keys.ClaimTable(horizon_s)
        self._running: dict[str, _RunningRequest] = {}
        self._in_progress = 0
        self._barrier = containment.ErrorBarrier()
        self._slot_waiters = trio.lowlevel.ParkingLot()
        self.targets = targets.TargetTable()

    @property
    def in_progress(self) -> int:
        """Number of requests without a reply yet."""
        return self._in_progress

    def claim(self, claim: messages.Claim) -> messages.ClaimReply:
        """Claim a key at this side's replica of the claims.

        :raises errors.KingcupleverError: ``OVERLOADED`` if it is full.
        """
        proposal = idempotency_keys.KeyClaim(claim.runner, claim.incarnation)
        result = self._claims.claim(
            claim.key,
            proposal,
            claim.replaces,
            claim.since_ms,
            trio.current_time(),
            claim.replaces_turn,
        )
        if result is None:
            raise errors.KingcupleverError(
                f"{self._side} can't store more claims.",
                errors.Code.OVERLOADED,
            )
        granted, current = result
        return messages.ClaimReply(granted, *current)

    async def dispatch(
        self, message: messages.Dispatch
    ) -> messages.DispatchReply:
        """Run a request, join the run of its key, or repeat its reply."""
        if not message.key:
            return await self._start_run(message).wait()
        if message.incarnation != self._incarnation:
            return _make_reply(
                message,
                messages.UNKNOWN,
                f"{self._side} has restarted since the key was claimed",
            )
        if message.join_only and not self._keys.has_key(message.key):
            detail = f"the key was not dispatched to {self._side}"
            return _make_reply(message, messages.UNKNOWN, detail)
        admission = self._keys.admit(
            message.key, message.turn, trio.current_time()
        )
        if admission is idempotency_keys.Admission.RUN:
            return await self._start_run(message).wait()
        if admission is idempotency_keys.Admission.JOIN:
            reply = await self._running[message.key].wait()
            return reply._replace(request=message.request)
        if admission is idempotency_keys.Admission.FULL:
            detail = f"{self._side} can't store more keys"
            return _make_reply(message, messages.NOT_RUN, detail)
        if admission is idempotency_keys.Admission.FENCED:
            detail = f"the key is fenced at {self._side}"
            return _make_reply(message, messages.NOT_RUN, detail)
        cached = self._keys.get_reply(message.key)
        if cached is not None:
            return cached._replace(request=message.request)
        detail = "the key has run here, but its reply is not cached"
        return _make_reply(message, messages.UNKNOWN, detail)

    def _start_run(self, message: messages.Dispatch) -> "_RunningRequest":
        run = _RunningRequest()
        if message.key:
            self._running[message.key] = run
        self._in_progress += 1
        self._nursery.start_soon(self._run_request, message, run)
        return run

    async def _run_request(
        self, message: messages.Dispatch, run: "_RunningRequest"
    ) -> None:
        reply = _make_reply(message, messages.UNKNOWN, "the side failed")
        try:
            with self._barrier.contain("request", message.request):
                reply = await self._call_target(message)
        finally:
            self._in_progress -= 1
            if message.key:
                self._keys.record_reply(
                    message.key, reply, trio.current_time()
                )
                del self._running[message.key]
            run.complete(reply)

    def _release_slot(self, target: targets.Target) -> None:
        self.targets.release_slot(target)
        self._slot_waiters.unpark()

    async def _acquire_slot(
        self, message: messages.Dispatch, deadline: float
    ) -> targets.Target | targets.SlotRefusal:
        """Take a slot, waiting for one for a short time.

        Entries learn of each other's in-flight requests with a delay, so that
        now and then they dispatch more requests than there are slots.  A
        short wait here is cheaper than a refusal and another dispatch.
        """
        wait_until = min(deadline, trio.current_time() + _MAX_SLOT_WAIT_S)
        while True:
            result = self.targets.acquire_slot(
                message.target, message.service_name
            )
            if isinstance(result, targets.Target) or not result.is_full:
                return result
            if len(self._slot_waiters) >= _MAX_SLOT_WAITERS:
                return result
            with trio.move_on_at(wait_until) as scope:
                await self._slot_waiters.park()
            if scope.cancelled_caught:
                return result

    async def _call_target(
        self, message: messages.Dispatch
    ) -> messages.DispatchReply:
        deadline = trio.current_time() + message.timeout_ms / 1000
        target = await self._acquire_slot(message, deadline)
        if isinstance(target, targets.SlotRefusal):
            return _make_reply(message, messages.NOT_RUN, target.detail)
        started = trio.current_time()
        if deadline - started < target.latency_s:
            self._release_slot(target)
            detail = f"{target.announcement.target} can't meet the deadline"
            return _make_reply(message, messages.NOT_RUN, detail)
        try:
            client = self._get_client(target.announcement.address)
            response = await client.call(
                "POST",
                f"/requests/{message.service_name}",
                message.body,
                tuple((h.name, h.value) for h in message.headers),
                deadline - started,
                extends=False,
            )
            target.record_latency(trio.current_time() - started)
        except errors.PlatformFailed as error:
            verdict = messages.UNKNOWN if error.sent else messages.NOT_RUN
            logs.warn(
                logs.Component.ROUTE, f"{message.request}: {error.detail}"
            )
            return _make_reply(message, verdict, error.detail)
        finally:
            self._release_slot(target)
        headers = tuple(messages.Header(*pair) for pair in response.headers)
        return messages.DispatchReply(
            message.request,
            messages.ANSWERED,
            response.status,
            headers,
            response.body,
            len(response.body),
            "",
        )


class _RunningRequest:
    """A request in progress; any number of tasks can wait for its reply."""

    def __init__(self) -> None:
        self._done = trio.Event()
        self._reply: messages.DispatchReply | None = None

    def complete(self, reply: messages.DispatchReply) -> None:
        self._reply = reply
        self._done.set()

    async def wait(self) -> messages.DispatchReply:
        await self._done.wait()
        assert self._reply is not None
        return self._reply


def _make_reply(
    message: messages.Dispatch, verdict: str, detail: str
) -> messages.DispatchReply:
    return messages.DispatchReply(
        message.request, verdict, 0, (), b"", 0, detail
    )
