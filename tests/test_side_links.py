"""The owner's connections to sides: which report is the newest."""

from typing import cast

import pytest
import trio

from kingcuplever.connection import peer as peers
from kingcuplever import errors
from kingcuplever import messages
from kingcuplever.process.owner import side_links
from kingcuplever.process.scheduling import fleet

SIDE = "side-1"


class FakePeer:
    """A connection from a side that can be closed."""

    def __init__(self) -> None:
        """Open the connection."""
        self.is_closed = False

    async def close(self) -> None:
        """Close the connection."""
        self.is_closed = True


class Owner:
    """The owner's links, and the workers whose reports were applied.

    :ivar applied: incarnations, in the order of their reports.
    :ivar lost: sides that have lost their connection.
    """

    def __init__(self) -> None:
        """Create the links."""
        self.applied: list[str] = []
        self.lost: list[str] = []
        self.links = side_links.SideLinks(
            lambda report: messages.WorkerReply(1),
            self._on_report,
            self.lost.append,
        )

    async def report(self, peer: FakePeer, incarnation: str) -> None:
        """Receive a report of the side's worker on a connection."""
        worker = fleet.worker_name(incarnation, SIDE)
        lists: tuple[()] = ()
        message = messages.WorkerReport(
            worker, SIDE, "hall", "desk", 0, 0, 0, lists, False, 0, False,
            lists, lists, lists, 0,
        )  # fmt: skip
        await self.links.handle_report(
            cast(peers.PeerConnection, peer), message
        )

    async def connect(self, incarnation: str) -> FakePeer:
        """Open a connection and receive a side's first reports on it."""
        peer = FakePeer()
        await self.report(peer, incarnation)
        await self.report(peer, incarnation)
        return peer

    def _on_report(self, status: fleet.WorkerStatus) -> None:
        self.applied.append(fleet.incarnation_of(status.worker))


def test_late_report_of_a_replaced_connection_is_rejected() -> None:
    # Guards against a task that runs twice: a report of a worker's former
    # incarnation, held up until its successor had reported, removed that
    # successor with all its runs.
    async def main() -> None:
        owner = Owner()
        former = await owner.connect("i-1")
        await owner.connect("i-2")
        with pytest.raises(errors.KingcupleverError):
            await owner.report(former, "i-1")
        assert owner.applied[-1] == "i-2"

    trio.run(main)


def test_late_first_report_of_a_connection_changes_nothing() -> None:
    # The same, if the owner has not heard of the former incarnation yet.
    async def main() -> None:
        owner = Owner()
        current = await owner.connect("i-2")
        await owner.report(FakePeer(), "i-1")
        await owner.report(current, "i-2")
        assert "i-1" not in owner.applied
        assert not current.is_closed

    trio.run(main)


def test_late_second_report_of_an_older_connection_is_rejected() -> None:
    # The same, if the former connection has had only its first reply.
    async def main() -> None:
        owner = Owner()
        former = FakePeer()
        await owner.report(former, "i-1")
        current = await owner.connect("i-2")
        with pytest.raises(errors.KingcupleverError):
            await owner.report(former, "i-1")
        assert owner.applied[-1] == "i-2"
        assert not current.is_closed

    trio.run(main)


# Guards against a report of a former incarnation that arrives when the newer
# connection, which would have made it void, has ended as well.
def test_late_report_after_the_end_of_a_newer_connection_is_rejected() -> None:
    async def main() -> None:
        owner = Owner()
        former = FakePeer()
        await owner.report(former, "i-1")
        current = await owner.connect("i-2")
        owner.links.remove_link(cast(peers.PeerConnection, current))
        with pytest.raises(errors.KingcupleverError):
            await owner.report(former, "i-1")
        assert owner.applied[-1] == "i-2"

    trio.run(main)
