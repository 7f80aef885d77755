"""Connections from sides to this entry while it is the owner.

A side uses one connection at a time, but a partition may hold up what it sent
on a former one until it has reported on the current one.  Only a connection
on which the side has received a reply is known to be in use, so the first
report on each connection is answered without being applied.
"""

from collections.abc import Callable
import itertools

from kingcuplever.connection import peer as peers
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model

_ORDER_TIMEOUT_S = 1.0

ReportHandler = Callable[[fleet.WorkerStatus], None]
LostHandler = Callable[[str], None]


class SideLinks:
    """The current connection of each side."""

    def __init__(
        self,
        make_reply: Callable[[messages.WorkerReport], messages.WorkerReply],
        on_report: ReportHandler,
        on_lost: LostHandler,
    ) -> None:
        """Start without connections.

        :param make_reply: makes the reply to a report; it raises
            :class:`errors.KingcupleverError` if this entry does not own.
        :param on_report: applies a worker's status, or raises as
            ``make_reply`` does.
        :param on_lost: called with the name of each side that has lost its
            connection.
        """
        self._make_reply = make_reply
        self._on_report = on_report
        self._on_lost = on_lost
        self._links: dict[str, peers.PeerConnection] = {}
        # Numbers the connections in the order of their first reports.
        self._next_number = itertools.count()
        self._numbers: dict[peers.PeerConnection, int] = {}
        # Number of each side's newest connection, also once that has ended.
        self._newest: dict[str, int] = {}

    def is_linked(self, side: str) -> bool:
        """Return whether a side has a connection."""
        return side in self._links

    def remove_link(self, peer: peers.PeerConnection) -> None:
        """Remove an ended connection and report the sides that used it."""
        self._numbers.pop(peer, None)
        for side in [s for s, p in self._links.items() if p is peer]:
            del self._links[side]
            logs.warn(logs.Component.MEMBER, f"Side {side} has disconnected.")
            self._on_lost(side)

    async def send(self, side: str, orders: messages.WorkerOrders) -> None:
        """Send orders to a side and wait until it has accepted them.

        :raises errors.KingcupleverError: the side may not have accepted
            them; ``FENCED`` if it knows a newer owner.
        """
        peer = self._links.get(side)
        if peer is None:
            raise errors.PeerLost(f"Side {side} is not connected.", sent=False)
        await peer.call(orders, _ORDER_TIMEOUT_S)

    async def close_all(self) -> None:
        """Close all connections, so that sides connect to the new owner."""
        for peer in [*self._links.values()]:
            await peer.close()

    async def handle_report(
        self, peer: peers.PeerConnection, message: messages.WorkerReport
    ) -> messages.WorkerReply:
        """Reply to a side's report, and apply it unless it is the first.

        :raises errors.KingcupleverError: ``FENCED`` if the side has a newer
            connection or this entry does not own.
        """
        if peer not in self._numbers:
            reply = self._make_reply(message)
            self._numbers[peer] = next(self._next_number)
            return reply
        previous = self._links.get(message.side)
        if previous is not peer:
            self._check_is_newest(peer, message.side)
        self._on_report(_make_status(message))
        if previous is not peer:
            self._links[message.side] = peer
            self._newest[message.side] = self._numbers[peer]
            logs.info(
                logs.Component.MEMBER, f"Side {message.side} has connected."
            )
            if previous is not None:
                await previous.close()
        return self._make_reply(message)

    def _check_is_newest(self, peer: peers.PeerConnection, side: str) -> None:
        """Check that a side has had no newer connection."""
        if self._numbers[peer] < self._newest.get(side, 0):
            text = (
                f"Side {side} has a newer connection; a late report ignored."
            )
            logs.warn(logs.Component.MEMBER, text)
            raise errors.KingcupleverError(
                f"Side {side} has a newer connection; use that one.",
                errors.Code.FENCED,
            )


def _make_status(report: messages.WorkerReport) -> fleet.WorkerStatus:
    return fleet.WorkerStatus(
        report.worker,
        report.side,
        report.data_centre,
        report.pool,
        model.Resources(report.cpu_milli, report.memory_mb, report.gpus),
        report.labels,
        report.draining,
        report.remaining_ms,
        report.gone,
        tuple(fleet.RunningTask(*row) for row in report.running),
        tuple(fleet.EndedTask(*row) for row in report.ended),
        tuple(fleet.RefusedTask(*row) for row in report.refused),
        report.clock_ms,
        report.orders,
        bool(report.unreachable),
        bool(report.crashed),
        bool(report.more),
        bool(report.cut),
    )
