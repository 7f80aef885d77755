"""One request at the side: its key, its slot, its call to the target.

The call runs in the process's nursery and not the connection's, so that a
request in progress goes on when its entry dies, and its answer is there for
a resend.
"""

from collections.abc import Callable
from typing import Final

import trio

from kingcuplever.connection import http_client
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process.routing import idempotency_keys
from kingcuplever.process.routing import targets

# A request may wait so long at the side for a slot, with so many others.
_MAX_SLOT_WAIT_S: Final = 0.2
_MAX_SLOT_WAITERS: Final = 16

ClientProvider = Callable[[str], http_client.HttpClient]


class DispatchHandler:
    """Takes dispatches for the targets of one side.

    :ivar targets: the targets beside the side.
    """

    def __init__(
        self,
        side: str,
        incarnation: int,
        horizon_s: float,
        get_client: ClientProvider,
        nursery: trio.Nursery,
    ) -> None:
        """Start without targets and without memory of keys.

        :param client_of: gives the client of a target's address.
        :param nursery: lives as long as the process.
        """
        self._side = side
        self._incarnation = incarnation
        self._get_client = get_client
        self._nursery = nursery
        self._keys = idempotency_keys.KeyTable(horizon_s)
        self._claims = idempotency_keys.ClaimTable(horizon_s)
        self._running: dict[str, _RunningRequest] = {}
        self._in_progress = 0
        self._slot_waiters = trio.lowlevel.ParkingLot()
        self.targets = targets.TargetTable()

    @property
    def in_progress(self) -> int:
        """Requests that have no answer yet."""
        return self._in_progress

    def claim(self, claim: messages.Claim) -> messages.ClaimReply:
        """Witness who runs a key."""
        claimed = idempotency_keys.KeyClaim(claim.runner, claim.incarnation)
        found = self._claims.claim(
            claim.key,
            claimed,
            claim.replaces,
            claim.since_ms,
            trio.current_time(),
            claim.replaces_turn,
        )
        if found is None:
            raise errors.KingcupleverError(
                f"{self._side} remembers no more keys.",
                errors.Code.OVERLOADED,
            )
        granted, known = found
        return messages.ClaimReply(granted, *known)

    async def dispatch(
        self, order: messages.Dispatch
    ) -> messages.DispatchReply:
        """Run a request, or join the run that its key has already."""
        if not order.key:
            return await self._start_run(order).wait()
        if order.incarnation != self._incarnation:
            return _make_reply(
                order,
                messages.UNKNOWN,
                f"{self._side} has restarted since the key was claimed",
            )
        if order.join_only and not self._keys.has_key(order.key):
            detail = f"the key has not come to {self._side}"
            return _make_reply(order, messages.UNKNOWN, detail)
        admission = self._keys.admit(
            order.key, order.turn, trio.current_time()
        )
        if admission is idempotency_keys.Admission.RUN:
            return await self._start_run(order).wait()
        if admission is idempotency_keys.Admission.JOIN:
            reply = await self._running[order.key].wait()
            return reply._replace(request=order.request)
        if admission is idempotency_keys.Admission.FULL:
            detail = f"{self._side} remembers no more keys"
            return _make_reply(order, messages.NOT_RUN, detail)
        if admission is idempotency_keys.Admission.FENCED:
            detail = f"the key is fenced at {self._side}"
            return _make_reply(order, messages.NOT_RUN, detail)
        known = self._keys.get_reply(order.key)
        if known is not None:
            return known._replace(request=order.request)
        detail = "the key ran here; its answer is not kept"
        return _make_reply(order, messages.UNKNOWN, detail)

    def _start_run(self, order: messages.Dispatch) -> "_RunningRequest":
        running = _RunningRequest()
        if order.key:
            self._running[order.key] = running
        self._in_progress += 1
        self._nursery.start_soon(self._run_request, order, running)
        return running

    async def _run_request(
        self, order: messages.Dispatch, running: "_RunningRequest"
    ) -> None:
        reply = _make_reply(order, messages.UNKNOWN, "the side failed")
        try:
            reply = await self._call_target(order)
        finally:
            self._in_progress -= 1
            if order.key:
                self._keys.record_reply(order.key, reply, trio.current_time())
                del self._running[order.key]
            running.complete(reply)

    def _release_slot(self, target: targets.Target) -> None:
        self.targets.release_slot(target)
        self._slot_waiters.unpark()

    async def _acquire_slot(
        self, order: messages.Dispatch, deadline: float
    ) -> targets.Target | targets.SlotRefusal:
        """Take a slot, waiting shortly for one.

        Entries see each other's use of the slots late, so that a few
        requests too many come now and then; waiting here is cheaper than
        sending them away.
        """
        wait_until = min(deadline, trio.current_time() + _MAX_SLOT_WAIT_S)
        while True:
            found = self.targets.acquire_slot(order.target, order.service_name)
            if isinstance(found, targets.Target) or not found.is_full:
                return found
            if len(self._slot_waiters) >= _MAX_SLOT_WAITERS:
                return found
            with trio.move_on_at(wait_until) as scope:
                await self._slot_waiters.park()
            if scope.cancelled_caught:
                return found

    async def _call_target(
        self, order: messages.Dispatch
    ) -> messages.DispatchReply:
        deadline = trio.current_time() + order.timeout_ms / 1000
        target = await self._acquire_slot(order, deadline)
        if isinstance(target, targets.SlotRefusal):
            return _make_reply(order, messages.NOT_RUN, target.detail)
        started = trio.current_time()
        if deadline - started < target.latency_s:
            self._release_slot(target)
            detail = f"{target.announcement.target} has no time left for it"
            return _make_reply(order, messages.NOT_RUN, detail)
        try:
            client = self._get_client(target.announcement.address)
            answer = await client.call(
                "POST",
                f"/requests/{order.service_name}",
                order.body,
                tuple((h.name, h.value) for h in order.headers),
                deadline - started,
            )
            target.record_latency(trio.current_time() - started)
        except errors.PlatformFailed as error:
            verdict = messages.UNKNOWN if error.sent else messages.NOT_RUN
            logs.warn(logs.Component.ROUTE, f"{order.request}: {error.detail}")
            return _make_reply(order, verdict, error.detail)
        finally:
            self._release_slot(target)
        headers = tuple(messages.Header(*pair) for pair in answer.headers)
        return messages.DispatchReply(
            order.request,
            messages.ANSWERED,
            answer.status,
            headers,
            answer.body,
            len(answer.body),
            "",
        )


class _RunningRequest:
    """A request in progress, with all who wait for its answer."""

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
    order: messages.Dispatch, verdict: str, detail: str
) -> messages.DispatchReply:
    return messages.DispatchReply(
        order.request, verdict, 0, (), b"", 0, detail
    )
