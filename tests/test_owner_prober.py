"""Tests of probes of the owner's entry over a direct connection."""

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

# Far above the response time of a busy machine.
_TIMEOUT_S = 10.0
_EPOCH = 7


class OwnerEntry:
    """An owner's entry that answers probes, and another entry's prober.

    :ivar status: the answer to probes; None leaves them unanswered.
    :ivar links: links of the owner's entry.
    :ivar table: the log as the other entry has read it.
    :ivar prober: the other entry's prober.
    """

    def __init__(self, listener: trio.SocketListener) -> None:
        """Create an owner of the epoch, which the other entry knows of."""
        _, port = listener.socket.getsockname()
        self.status: messages.OwnerStatus | None = make_status()
        self.links = entry_links.EntryLinks()
        self.table = job_table.JobTable()
        address = f"127.0.0.1:{port}"
        self.table.owner = job_records.Owner(_EPOCH, "one", address, 0)
        self.prober = owner_prober.OwnerProber(
            "two", self.table, entry_links.EntryLinks(), _answer_job_query
        )

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer probes on one connection."""
        await peers.PeerConnection(stream, self._answer).run()

    async def wait_for_outcome(
        self, outcome: failure_detector.ProbeOutcome
    ) -> None:
        """Wait until the prober of the other entry has this outcome."""
        while (
            self.prober.get_result(trio.current_time()).outcome is not outcome
        ):
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


async def _answer_job_query(
    peer: peers.PeerConnection, message: messages.Message
) -> messages.Message:
    """Answer a job query, as the other entry."""
    return messages.JobAnswer(True, "completed", "", 0)


def make_status(
    owns: bool = True, failing_ms: int = 0, tries: int = 0
) -> messages.OwnerStatus:
    """Make an owner's answer to a probe."""
    return messages.OwnerStatus(owns, failing_ms, tries, 20)


def run_scenario(
    scenario: Callable[[OwnerEntry, trio.Nursery], Awaitable[None]],
) -> None:
    """Run a scenario with an owner whose process is a nursery."""

    async def run() -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        entry = OwnerEntry(listener)
        with trio.fail_after(_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(entry.prober.run)
                async with trio.open_nursery() as process:
                    process.start_soon(
                        trio.serve_listeners, entry.serve, [listener]
                    )
                    await entry.wait_for_outcome(
                        failure_detector.ProbeOutcome.OWNS
                    )
                    await scenario(entry, process)
                    process.cancel_scope.cancel()
                nursery.cancel_scope.cancel()

    trio.run(run)


def test_owner_whose_process_ends_is_not_owner() -> None:
    """Guards against a slow detection of a killed owner.

    It was noticed only by its silence on the log.  Found as SHORT in a run on
    phulrenu-kl.
    """

    async def scenario(entry: OwnerEntry, process: trio.Nursery) -> None:
        process.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            await entry.wait_for_outcome(
                failure_detector.ProbeOutcome.NOT_OWNER
            )

    run_scenario(scenario)


def test_restarted_owner_reports_that_it_is_not_owner() -> None:
    """Its process runs again, but does not schedule."""

    async def scenario(entry: OwnerEntry, process: trio.Nursery) -> None:
        entry.status = make_status(owns=False)
        await entry.wait_for_outcome(failure_detector.ProbeOutcome.NOT_OWNER)

    run_scenario(scenario)


def test_owner_that_can_not_append_reports_it() -> None:
    """It is disconnected from the log, but still answers other entries."""

    async def scenario(entry: OwnerEntry, process: trio.Nursery) -> None:
        entry.status = make_status(
            failing_ms=100, tries=failure_detector.MAX_FAILED_TRIES
        )
        await entry.wait_for_outcome(
            failure_detector.ProbeOutcome.APPEND_FAILING
        )
        entry.status = make_status()
        await entry.wait_for_outcome(failure_detector.ProbeOutcome.OWNS)
        long_ms = int(failure_detector.APPEND_FAILURE_S * 1000)
        entry.status = make_status(failing_ms=long_ms, tries=1)
        await entry.wait_for_outcome(
            failure_detector.ProbeOutcome.APPEND_FAILING
        )

    run_scenario(scenario)


def test_owner_that_stops_answering_can_recover() -> None:
    """A host freezes, or a connection stays open without any traffic."""

    async def scenario(entry: OwnerEntry, process: trio.Nursery) -> None:
        entry.status = None
        await entry.wait_for_outcome(failure_detector.ProbeOutcome.NO_ANSWER)
        entry.status = make_status()
        await entry.wait_for_outcome(failure_detector.ProbeOutcome.OWNS)

    run_scenario(scenario)


def test_link_to_a_former_owner_stays_open() -> None:
    """Guards against a former owner without a link to any other entry.

    The others closed their links as soon as one of them became owner, so that
    a former owner that was disconnected from the log could not query jobs.
    Found as SHORT in a run on phulrenu-kl.
    """

    async def scenario(entry: OwnerEntry, process: trio.Nursery) -> None:
        record = job_records.encode_owner(
            job_records.Owner(_EPOCH + 1, "two", "127.0.0.1:1", 0)
        )
        stored = keyed_log.StoredRecord(9, record.key, record.value)
        entry.table.apply_records([stored])
        await entry.wait_for_outcome(failure_detector.ProbeOutcome.NO_ANSWER)
        await trio.sleep(0.5)
        (link,) = entry.links.list_by_preference()
        reply = await link.call(messages.JobQuestion("a" * 16), 1.0)
        assert isinstance(reply, messages.JobAnswer)

    run_scenario(scenario)


def test_owner_with_many_probers_is_probed_less_often() -> None:
    """The probes of all entries of a region stay a small load."""
    links = entry_links.EntryLinks()
    probers = [
        peers.PeerConnection(
            trio.testing.memory_stream_pair()[0], peers.reject_requests
        )
        for _ in range(50)
    ]
    for peer in probers:
        links.record_prober(peer)
    assert owner_prober.make_status(links, True, 0.0, 0).next_ms == 2000
    for peer in probers[1:]:
        links.remove_link(peer)
    assert owner_prober.make_status(links, True, 0.0, 0).next_ms == 250
