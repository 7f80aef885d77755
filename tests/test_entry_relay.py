"""Requests that entries relay to one another, over connections in memory."""

from collections.abc import AsyncIterator
import contextlib

from kingcuplever.connection import keyed_log
from kingcuplever.connection import peer as peers
from kingcuplever import errors
from kingcuplever import messages
from kingcuplever.process import entry_links
from kingcuplever.process import entry_relay
import pytest
import trio
import trio.testing

RECORD = keyed_log.KeyedRecord("s:" + "a" * 16, b"{}")


class FakeEntry:
    """Another entry with a fixed reply; without one it never replies."""

    def __init__(self, reply: messages.Message | None) -> None:
        """Send this reply to every request."""
        self.reply = reply
        self.request_count = 0

    async def handle(
        self, peer: peers.PeerConnection, message: messages.Message
    ) -> messages.Message:
        """Answer one request."""
        self.request_count += 1
        if self.reply is None:
            await trio.sleep_forever()
        assert self.reply is not None
        return self.reply


@contextlib.asynccontextmanager
async def connect_relay(
    *entries: FakeEntry,
) -> AsyncIterator[entry_relay.EntryRelay]:
    """Connect an entry to others, the first of which is the owner."""
    links = entry_links.EntryLinks()
    async with contextlib.AsyncExitStack() as stack:
        for number, entry in enumerate(entries):
            local_stream, remote_stream = trio.testing.memory_stream_pair()
            await stack.enter_async_context(
                peers.run_peer(remote_stream, entry.handle)
            )
            peer = await stack.enter_async_context(
                peers.run_peer(local_stream)
            )
            if number:
                links.record_prober(peer)
            else:
                links.set_owner_link(peer)
        yield entry_relay.EntryRelay(links)


KEPT = messages.RecordsKept(messages.KEPT, "")
REFUSED = messages.RecordsKept(messages.REFUSED, "503")
UNKNOWN = messages.RecordsKept(messages.UNKNOWN, "no answer")


@pytest.mark.parametrize(
    ("replies", "outcome"),
    [
        ((KEPT, REFUSED), None),
        ((REFUSED, KEPT), None),
        ((UNKNOWN, KEPT), None),
        ((None, KEPT), None),
        ((REFUSED, REFUSED), errors.LogRefused),
        ((UNKNOWN, REFUSED), errors.LogUnavailable),
        ((None, REFUSED), errors.LogUnavailable),
        ((), errors.LogRefused),
    ],
)
def test_append_is_refused_only_if_no_entry_may_have_appended(
    replies: tuple[messages.Message | None, ...],
    outcome: type[errors.LogUnavailable] | None,
) -> None:
    """A former owner without the log relays its appends to other entries."""

    async def main() -> None:
        async with connect_relay(*map(FakeEntry, replies)) as relay:
            raised: type[errors.LogUnavailable] | None = None
            try:
                await relay.append([RECORD], 3.0)
            except errors.LogUnavailable as error:
                raised = type(error)
            assert raised is outcome

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_newest_answer_to_a_query_is_used() -> None:
    old = messages.JobAnswer(True, "running", "", 5000)
    new = messages.JobAnswer(True, "completed", "", 20)

    async def main() -> None:
        entries = [FakeEntry(old), FakeEntry(new)]
        async with connect_relay(*entries) as relay:
            assert await relay.query_job("a" * 16) == new
            entries[0].reply = new
            assert await relay.query_job("a" * 16) == new
        assert [entry.request_count for entry in entries] == [2, 1]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_silent_entry_delays_a_query_only_briefly() -> None:
    new = messages.JobAnswer(True, "completed", "", 20)

    async def main() -> None:
        async with connect_relay(FakeEntry(None), FakeEntry(new)) as relay:
            started_at = trio.current_time()
            assert await relay.query_job("a" * 16) == new
            assert trio.current_time() - started_at <= 0.5

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
