"""The links that sides keep to this entry, as the owner of their workers."""

from collections.abc import Callable

from kingcuplever.connection import peer as peers
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model

# How long orders to a side may stay unanswered.
_ORDER_S = 1.0

ReportHandler = Callable[[fleet.WorkerStatus], int]
LostHandler = Callable[[str], None]


class SideLinks:
    """One connection for each side, the newest."""

    def __init__(self, report: ReportHandler, lost: LostHandler) -> None:
        """Hand reports on.

        :param report: takes a listing and gives the epoch; it raises
            :class:`errors.KingcupleverError` where nobody decides here.
        :param lost: hears of each side whose link has ended.
        """
        self._report = report
        self._lost = lost
        self._links: dict[str, peers.PeerConnection] = {}

    def is_linked(self, side: str) -> bool:
        """Tell whether a side can be reached."""
        return side in self._links

    def remove_link(self, peer: peers.PeerConnection) -> None:
        """A connection has ended; the side that used it is not linked."""
        for side in [s for s, p in self._links.items() if p is peer]:
            del self._links[side]
            logs.warn(logs.Component.MEMBER, f"Side {side} is not linked.")
            self._lost(side)

    async def send(self, side: str, orders: messages.WorkerOrders) -> None:
        """Have a side take orders.

        :raises errors.KingcupleverError: it may not have taken them;
            ``FENCED`` if it knows a newer owner.
        """
        peer = self._links.get(side)
        if peer is None:
            raise errors.PeerLost(f"{side} is not linked.", sent=False)
        await peer.call(orders, _ORDER_S)

    async def close_all(self) -> None:
        """End all links; the sides look for the owner again."""
        for peer in [*self._links.values()]:
            await peer.close()

    async def handle_report(
        self, peer: peers.PeerConnection, message: messages.WorkerReport
    ) -> messages.WorkerReply:
        """Take a side's report on a connection, and link it."""
        epoch = self._report(_listing(message))
        older = self._links.get(message.side)
        if older is not peer:
            self._links[message.side] = peer
            logs.info(logs.Component.MEMBER, f"Side {message.side} is linked.")
            if older is not None:
                await older.close()
        return messages.WorkerReply(epoch)


def _listing(report: messages.WorkerReport) -> fleet.WorkerStatus:
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
