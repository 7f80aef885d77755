"""What entries do for one another, over real links in memory."""

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


class Other:
    """Another entry, which answers what a test says; nothing if absent."""

    def __init__(self, reply: messages.Message | None) -> None:
        """Say the same each time."""
        self.reply = reply
        self.asked = 0

    async def answer(
        self, peer: peers.PeerConnection, message: messages.Message
    ) -> messages.Message:
        """Answer one request."""
        self.asked += 1
        if self.reply is None:
            await trio.sleep_forever()
        assert self.reply is not None
        return self.reply


@contextlib.asynccontextmanager
async def helped_by(*others: Other) -> AsyncIterator[entry_relay.EntryRelay]:
    """Link an entry to others; the first is the owner's entry."""
    links = entry_links.EntryLinks()
    async with contextlib.AsyncExitStack() as stack:
        for number, other in enumerate(others):
            here, there = trio.testing.memory_stream_pair()
            await stack.enter_async_context(
                peers.run_peer(there, other.answer)
            )
            peer = await stack.enter_async_context(peers.run_peer(here))
            if number:
                links.record_prober(peer)
            else:
                links.set_owner_link(peer)
        yield entry_relay.EntryRelay(links)


KEPT = messages.RecordsKept(messages.KEPT, "")
REFUSED = messages.RecordsKept(messages.REFUSED, "503")
UNKNOWN = messages.RecordsKept(messages.UNKNOWN, "no word")


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
def test_record_is_refused_only_if_nobody_can_have_it(
    replies: tuple[messages.Message | None, ...],
    outcome: type[errors.LogUnavailable] | None,
) -> None:
    """A former owner that is cut from the log has the others to ask."""

    async def main() -> None:
        async with helped_by(*map(Other, replies)) as helps:
            raised: type[errors.LogUnavailable] | None = None
            try:
                await helps.append([RECORD], 3.0)
            except errors.LogUnavailable as error:
                raised = type(error)
            assert raised is outcome

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_newest_word_on_a_job_is_used() -> None:
    old = messages.JobAnswer(True, "running", "", 5000)
    new = messages.JobAnswer(True, "completed", "", 20)

    async def main() -> None:
        others = [Other(old), Other(new)]
        async with helped_by(*others) as helps:
            assert await helps.query_job("a" * 16) == new
            others[0].reply = new
            assert await helps.query_job("a" * 16) == new
        assert [other.asked for other in others] == [2, 1]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_silent_entry_holds_a_look_up_for_a_moment_only() -> None:
    new = messages.JobAnswer(True, "completed", "", 20)

    async def main() -> None:
        async with helped_by(Other(None), Other(new)) as helps:
            began_at = trio.current_time()
            assert await helps.query_job("a" * 16) == new
            assert trio.current_time() - began_at <= 0.5

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
