"""Connections from sides to this entry while it is the owner."""

from collections.abc import Callable

from kingcuplever.connection import peer as peers
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model

_ORDER_TIMEOUT_S = 1.0

ReportHandler = Callable[[fleet.WorkerStatus], int]
LostHandler = Callable[[str], None]


class SideLinks:
    """The newest connection of each side."""

    def __init__(self, on_report: ReportHandler, on_lost: LostHandler) -> None:
        """Start without connections.

        :param on_report: applies a worker's status and returns the epoch; it
            raises :class:`errors.KingcupleverError` if this entry does not
            own.
        :param on_lost: called with the name of each side that has lost its
            connection.
        """
        self._on_report = on_report
        self._on_lost = on_lost
        self._links: dict[str, peers.PeerConnection] = {}

    def is_linked(self, side: str) -> bool:
        """Return whether a side has a connection."""
        return side in self._links

    def remove_link(self, peer: peers.PeerConnection) -> None:
        """Remove an ended connection and report the sides that used it."""
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
        """Apply a side's report, and make its connection the side's newest."""
        epoch = self._on_report(_make_status(message))
        previous = self._links.get(message.side)
        if previous is not peer:
            self._links[message.side] = peer
            logs.info(
                logs.Component.MEMBER, f"Side {message.side} has connected."
            )
            if previous is not None:
                await previous.close()
        return messages.WorkerReply(epoch)


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
    )
