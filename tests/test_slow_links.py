"""Calls whose transfers take longer than a timeout, over slow links."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import json
import pathlib
from typing import Any
from typing import NamedTuple

import pytest
import trio

from kingcuplever.connection import admission
from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever.platform import store
from kingcuplever.process import job_metrics
from kingcuplever.process.stored import topic_follower
from standins import fleet
from standins import proxy
from standins import wire_site
from standins import wire_store

TOPIC = "op"
LINK_BYTES_PER_S = 200_000
# Takes longer on the link than any call to the store may wait.
RECORD_BYTES = 400_000
TRANSFER_TIMEOUT_S = 10.0
STAMP = keyed_log.ProducerStamp("entry-1", 1, 0)


class SlowSite(NamedTuple):
    """A store, and a client that reaches it through a proxy."""

    standin: wire_store.WireStore
    link: proxy.Proxy
    log: store.Store


@contextlib.asynccontextmanager
async def open_site(**faults: Any) -> AsyncIterator[SlowSite]:
    """Serve a store behind a proxy with some faults."""
    standin = wire_store.WireStore()
    address = fleet.free_address()
    link = proxy.Proxy(fleet.free_address(), address)
    await link.set_faults(faults)
    shares = admission.divide(200_000_000, 4000)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            http_server.serve,
            address,
            standin.handle,
            trio.Event(),
            admission.Admission("store", shares.own),
        )
        await nursery.start(link.run)
        async with http_client.HttpClient(link.address, 1.0) as client:
            yield SlowSite(standin, link, store.Store(client))
        nursery.cancel_scope.cancel()


class Sink:
    """Keeps the newest value of each key.

    :ivar applied: count of the records received.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.applied = 0
        self.values: dict[str, bytes | None] = {}

    def apply_records(self, records: Sequence[keyed_log.StoredRecord]) -> None:
        """Apply records."""
        self.applied += len(records)
        for record in records:
            self.values[record.key] = record.value

    def begin_snapshot(self, end: int) -> None:
        """Prepare for a snapshot."""


def make_follower(
    log: store.Store, sink: Sink, skips_replaced: bool = False
) -> topic_follower.Follower:
    """Make a follower of the operator's topic."""
    return topic_follower.Follower(
        log,
        TOPIC,
        sink,
        0.02,
        job_metrics.JobMetrics(),
        skips_replaced=skips_replaced,
    )


async def follow(
    follower: topic_follower.Follower, sink: Sink, key: str
) -> None:
    """Follow a topic until a key is there."""
    with trio.fail_after(TRANSFER_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            while key not in sink.values:
                await trio.sleep(0.02)
            nursery.cancel_scope.cancel()


def run_on_slow_link(
    direction: str, main: Callable[[SlowSite], Awaitable[None]]
) -> None:
    """Run a test with a slow link in one direction."""

    async def run() -> None:
        faults = {direction: {"bytes_per_s": LINK_BYTES_PER_S}}
        async with open_site(**faults) as site:
            await main(site)

    trio.run(run)


# Guards against an entry that begins to read a long configuration again and
# again, and keeps the older one, as its link can't carry it within a timeout.
@pytest.mark.parametrize("in_snapshot", [False, True])
def test_record_longer_than_a_timeout_crosses_a_slow_link(
    in_snapshot: bool,
) -> None:
    async def main(site: SlowSite) -> None:
        sink = Sink()
        follower = make_follower(site.log, sink)
        if not in_snapshot:
            site.standin.write_record(TOPIC, "first", "x")
            await follow(follower, sink, "first")
        site.standin.write_record(TOPIC, "config", "x" * RECORD_BYTES)
        await follow(follower, sink, "config")
        assert len(sink.values["config"] or b"") > RECORD_BYTES

    run_on_slow_link("backward", main)


# Guards against an entry that reads each version that it has missed, one after
# the other, and so serves by an older configuration for as long.
@pytest.mark.parametrize("silent_s", [0.0, 3.0])
def test_follower_of_the_newest_records_skips_older_ones(
    silent_s: float,
) -> None:
    async def main(site: SlowSite) -> None:
        sink = Sink()
        site.standin.write_record(TOPIC, "config", "first")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(make_follower(site.log, sink, True).run)
            while not sink.values:
                await trio.sleep(0.02)
            if silent_s:
                await site.link.set_faults({"refuse": True, "cut": True})
            for number in range(6):
                text = f"{number}" * (RECORD_BYTES * 3 // 2)
                site.standin.write_record(TOPIC, "config", text)
            await trio.sleep(silent_s)
            await site.link.set_faults({"refuse": False})
            with trio.fail_after(2 * TRANSFER_TIMEOUT_S):
                while (sink.values["config"] or b"")[1:2] != b"5":
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        assert sink.applied <= 3

    run_on_slow_link("backward", main)


# Guards against a batch of records that is sent again and again, and never
# appended, as the link can't carry it within a timeout.
def test_append_longer_than_a_timeout_crosses_a_slow_link() -> None:
    async def main(site: SlowSite) -> None:
        half = b"x" * (RECORD_BYTES // 2)
        records = [keyed_log.KeyedRecord(key, half) for key in ("a", "b")]
        with trio.fail_after(TRANSFER_TIMEOUT_S):
            assert await site.log.append("jobs", records, STAMP) == 2

    run_on_slow_link("forward", main)


# Guards against a reader that waits for the rest of a response on a
# connection that has fallen silent.
def test_transfer_that_falls_silent_is_given_up() -> None:
    async def main(site: SlowSite) -> None:
        site.standin.write_record(TOPIC, "config", "x" * RECORD_BYTES)

        async def silence() -> None:
            await trio.sleep(0.5)
            await site.link.set_faults({"backward": {"swallow": True}})

        async with trio.open_nursery() as nursery:
            nursery.start_soon(silence)
            began_at = trio.current_time()
            with pytest.raises(errors.LogUnavailable, match="bytes"):
                await site.log.read(TOPIC, 0, 0)
        assert 0.5 < trio.current_time() - began_at < 2.5

    run_on_slow_link("backward", main)


# Guards against a reader that stays on a connection that is nearly dead.
def test_transfer_that_trickles_is_given_up() -> None:
    async def main(site: SlowSite) -> None:
        site.standin.write_record(TOPIC, "config", "x" * RECORD_BYTES)
        await site.link.set_faults({"backward": {"bytes_per_s": 1000}})
        with trio.fail_after(TRANSFER_TIMEOUT_S):
            with pytest.raises(errors.LogUnavailable):
                await site.log.read(TOPIC, 0, 0)

    run_on_slow_link("backward", main)


# Guards against an entry on a slow link that serves by an older configuration
# than the others, and that is never ready again once it has started anew.
def test_entry_on_a_slow_link_applies_a_long_configuration(
    tmp_path: pathlib.Path,
) -> None:
    with wire_site.Site(str(tmp_path), sides=1, proxied=True) as site:
        for name in site.entries:
            slow = {"bytes_per_s": LINK_BYTES_PER_S}
            site.set_store_faults(name, backward=slow)
        site.version += 1
        document = wire_site.make_configuration(site.version)
        route = document["Routes"][0]
        document["Routes"] += [
            {**route, "Name": f"r-{n}", "PathPrefix": f"/long-{n}/"}
            for n in range(RECORD_BYTES // len(json.dumps(route)))
        ]
        last = document["Routes"][-1]["PathPrefix"]
        site.write_configuration(document)
        for name, process in site.entries.items():
            fleet.wait_until(
                lambda n=name: site.call(n, "GET", "", prefix=last).status
                == 200,
                f"{name} serves the last route",
            )
            process.kill()
            process.restart()
        for name in site.entries:
            fleet.wait_until(lambda n=name: site.is_ready(n), name)
            assert site.call(name, "GET", "", prefix=last).status == 200
