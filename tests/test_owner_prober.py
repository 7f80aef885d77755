"""What an entry learns from the owner's entry over their link."""

from collections.abc import Awaitable
from collections.abc import Callable

from kingcuplever.connection import keyed_log
from kingcuplever.connection import peer as peers
from kingcuplever import messages
from kingcuplever.process import entry_links
from kingcuplever.process.owner import failure_detector
from kingcuplever.process.owner import owner_prober
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
import trio
import trio.testing

# Far over the time of one answer on a busy machine.
_PATIENCE_S = 10.0
_EPOCH = 7


class OwnerEntry:
    """An owner's entry that answers probes on a port of its own.

    :ivar status: what it answers; nothing while it is absent.
    :ivar links: its links to others.
    :ivar board: what the other entry has read of the log.
    :ivar probe: another entry's probe of it.
    """

    def __init__(self, listener: trio.SocketListener) -> None:
        """Own the epoch, and be known to another entry."""
        _, port = listener.socket.getsockname()
        self.status: messages.OwnerStatus | None = status()
        self.links = entry_links.EntryLinks()
        self.board = job_table.JobTable()
        address = f"127.0.0.1:{port}"
        self.board.owner = job_records.Owner(_EPOCH, "one", address, 0)
        self.probe = owner_prober.OwnerProber(
            "two", self.board, entry_links.EntryLinks(), _tell
        )

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer on one connection."""
        await peers.PeerConnection(stream, self._answer).run()

    async def expect(self, word: failure_detector.ProbeOutcome) -> None:
        """Wait until the other entry knows this one so."""
        while self.probe.get_result(trio.current_time()).outcome is not word:
            await trio.sleep(0.01)

    async def _answer(
        self, peer: peers.PeerConnection, message: messages.Message
    ) -> messages.Message:
        assert message == messages.OwnerProbe(_EPOCH)
        self.links.record_prober(peer)
        if self.status is None:
            await trio.sleep_forever()
        assert self.status is not None
        return self.status


async def _tell(
    peer: peers.PeerConnection, message: messages.Message
) -> messages.Message:
    """Tell of a job, as the other entry."""
    return messages.JobAnswer(True, "completed", "", 0)


def status(
    owns: bool = True, failing_ms: int = 0, tries: int = 0
) -> messages.OwnerStatus:
    """Make an owner's answer."""
    return messages.OwnerStatus(owns, failing_ms, tries, 20)


def play(
    story: Callable[[OwnerEntry, trio.Nursery], Awaitable[None]],
) -> None:
    """Play a story with an owner whose process is a nursery."""

    async def run() -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        entry = OwnerEntry(listener)
        with trio.fail_after(_PATIENCE_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(entry.probe.run)
                async with trio.open_nursery() as process:
                    process.start_soon(
                        trio.serve_listeners, entry.serve, [listener]
                    )
                    await entry.expect(failure_detector.ProbeOutcome.OWNS)
                    await story(entry, process)
                    process.cancel_scope.cancel()
                nursery.cancel_scope.cancel()

    trio.run(run)


def test_owner_whose_process_ends_is_known_as_gone() -> None:
    """SHORT on phulrenu-kl: a killed owner was noticed by its silence only."""

    async def story(entry: OwnerEntry, process: trio.Nursery) -> None:
        process.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            await entry.expect(failure_detector.ProbeOutcome.NOT_OWNER)

    play(story)


def test_owner_that_started_again_says_that_it_owns_no_more() -> None:
    """Its process is there, and decides nothing."""

    async def story(entry: OwnerEntry, process: trio.Nursery) -> None:
        entry.status = status(owns=False)
        await entry.expect(failure_detector.ProbeOutcome.NOT_OWNER)

    play(story)


def test_owner_that_can_not_append_says_so() -> None:
    """Cut from the log alone, it still answers other entries."""

    async def story(entry: OwnerEntry, process: trio.Nursery) -> None:
        entry.status = status(
            failing_ms=100, tries=failure_detector.MAX_FAILED_TRIES
        )
        await entry.expect(failure_detector.ProbeOutcome.APPEND_FAILING)
        entry.status = status()
        await entry.expect(failure_detector.ProbeOutcome.OWNS)
        long_ms = int(failure_detector.APPEND_FAILURE_S * 1000)
        entry.status = status(failing_ms=long_ms, tries=1)
        await entry.expect(failure_detector.ProbeOutcome.APPEND_FAILING)

    play(story)


def test_owner_that_answers_no_more_is_silent_and_comes_back() -> None:
    """A host that freezes, or a connection that goes silent for good."""

    async def story(entry: OwnerEntry, process: trio.Nursery) -> None:
        entry.status = None
        await entry.expect(failure_detector.ProbeOutcome.NO_ANSWER)
        entry.status = status()
        await entry.expect(failure_detector.ProbeOutcome.OWNS)

    play(story)


def test_former_owner_keeps_its_links_to_the_others() -> None:
    """SHORT on phulrenu-kl: cut from the log, it had nobody to ask.

    The others closed their links as soon as one of them owned.
    """

    async def story(entry: OwnerEntry, process: trio.Nursery) -> None:
        record = job_records.encode_owner(
            job_records.Owner(_EPOCH + 1, "two", "", 0)
        )
        stored = keyed_log.StoredRecord(9, record.key, record.value)
        entry.board.apply_records([stored])
        await entry.expect(failure_detector.ProbeOutcome.NO_ANSWER)
        await trio.sleep(0.5)
        (asker,) = entry.links.list_by_preference()
        reply = await asker.call(messages.JobQuestion("a" * 16), 1.0)
        assert isinstance(reply, messages.JobAnswer)

    play(story)


def test_owner_with_many_askers_is_asked_less_often() -> None:
    """The probes of a whole region's entries stay a small load."""
    links = entry_links.EntryLinks()
    askers = [
        peers.PeerConnection(
            trio.testing.memory_stream_pair()[0], peers.reject_requests
        )
        for _ in range(50)
    ]
    for peer in askers:
        links.record_prober(peer)
    assert owner_prober.make_status(links, True, 0.0, 0).next_ms == 2000
    for peer in askers[1:]:
        links.remove_link(peer)
    assert owner_prober.make_status(links, True, 0.0, 0).next_ms == 250
