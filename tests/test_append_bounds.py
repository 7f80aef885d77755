"""Appends at the bounds that the log sets for a record and for a call."""

from collections.abc import Sequence
from typing import Any
from urllib import parse

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever.platform import store
from kingcuplever.process import job_metrics
from kingcuplever.process.owner import evidence_writer
from kingcuplever.process.owner import owner_term
from kingcuplever.process.owner import side_links
from kingcuplever.process.scheduling import scheduler as schedulers
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
from kingcuplever.process.stored import log_producer
from standins import wire_store
from tests import pool as pools
from tests import scripted_log

JOB = "5c0e7a21d94b36f8"
LIMITS = keyed_log.USUAL_LIMITS


def make_record(number: int, size: int) -> keyed_log.KeyedRecord:
    """Make a caller's record of so many bytes on the log."""
    key = f"s:{number:016x}"
    return keyed_log.KeyedRecord(key, b"x" * (size - len(key) - 1))


def run(main: Any) -> Any:
    """Run with a clock that advances to the next event."""
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


# Guards against an owner whose term ends, and that of each successor, since an
# operator's job or account has a name that is too long for a key.
def test_key_that_the_log_can_not_hold_is_refused_before_it_is_sent() -> None:
    longest = keyed_log.KeyedRecord("s:" + "x" * 253, b"{}")
    assert not LIMITS.explain_excess([longest])
    assert store._encode_record(longest)
    longer = longest._replace(key=longest.key + "x")
    assert "256 bytes" in LIMITS.explain_excess([longest, longer])


# Guards against a batch over the bound of a call, which is repeated for good:
# while one append takes long, large records gather behind it.
@pytest.mark.parametrize("size", [1000, 190_000, LIMITS.record_bytes])
def test_records_of_callers_are_appended_within_the_bounds(size: int) -> None:
    log = scripted_log.ScriptedLog(scripted_log.REPLY_LOST)
    records = [make_record(number, size) for number in range(48)]

    async def main() -> None:
        appender = log_producer.BatchAppender(
            lambda: log_producer.Producer(log, "jobs", "entry-1", 1)
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(appender.run)
            async with trio.open_nursery() as callers:
                for record in records:
                    callers.start_soon(appender.append, [record], 3.0)
            nursery.cancel_scope.cancel()

    run(main)
    assert sorted(log.records) == records


@pytest.mark.parametrize("excess", [0, 1])
def test_record_over_the_bound_is_refused_at_once(excess: int) -> None:
    log = scripted_log.ScriptedLog()
    record = make_record(1, LIMITS.record_bytes + excess)

    async def main() -> None:
        appender = log_producer.BatchAppender(
            lambda: log_producer.Producer(log, "jobs", "entry-1", 1)
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(appender.run)
            if excess:
                with pytest.raises(errors.LogRefused, match="262145 bytes"):
                    await appender.append([record], 3.0)
            else:
                await appender.append([record], 3.0)
            nursery.cancel_scope.cancel()

    run(main)
    assert log.records == [record] * (1 - excess)


@hypothesis.given(
    st.lists(st.lists(st.integers(20, 400), min_size=1, max_size=4)),
    st.integers(1600, 3000),
)
def test_split_appends_keep_groups_and_bounds(
    sizes: list[list[int]], most_bytes: int
) -> None:
    groups = [[make_record(0, size) for size in group] for group in sizes]
    appends = keyed_log.split_records(groups, most_bytes)
    assert sum(appends, []) == sum(groups, [])
    ends = {sum(map(len, groups[:n])) for n in range(len(groups) + 1)}
    end = 0
    for append in appends:
        assert append
        assert keyed_log.measure_append(append) <= most_bytes
        end += len(append)
        assert end in ends


class BatchScheduler(schedulers.Scheduler):
    """A scheduler that has one batch of records.

    :ivar confirmed: number of the batch, once it is confirmed.
    """

    def __init__(self, records: Sequence[keyed_log.KeyedRecord]) -> None:
        """Have these records to append."""
        super().__init__(pools.TIMING)
        self.confirmed = 0
        self._records = tuple(records)

    def take_record_batch(
        self, most_bytes: int = LIMITS.record_bytes
    ) -> schedulers.RecordBatch | None:
        """Return the batch the first time."""
        records, self._records = self._records, ()
        return schedulers.RecordBatch(7, records) if records else None

    def confirm_commit(self, number: int) -> None:
        """Record the confirmation."""
        self.confirmed = number


async def run_term(
    log: scripted_log.ScriptedLog, scheduler: schedulers.Scheduler
) -> None:
    """Run an owner's term for some seconds."""
    owner = job_records.Owner(1, "entry-1", "127.0.0.1:7000", 0)
    links = side_links.SideLinks(
        lambda _: pytest.fail("no report"), lambda _: None, lambda _: None
    )
    term = owner_term.OwnerTerm(
        owner,
        log_producer.Producer(log, "jobs", owner_term.PRODUCER_NAME, 1),
        scheduler,
        log,
        job_table.JobTable(),
        links,
        None,
        None,
        job_metrics.JobMetrics(),
    )
    with pytest.raises(errors.InvalidRequest):
        await term.append_records([make_record(1, LIMITS.record_bytes + 1)])
    with trio.move_on_after(5.0):
        await term.run()


# Guards against an owner that decides nothing any more, as its records exceed
# the bound of a call: the log was away while many large jobs went on.
@pytest.mark.parametrize("count", [1, 8, 40])
def test_batch_of_the_owner_is_appended_within_the_bounds(count: int) -> None:
    records = [make_record(n, LIMITS.record_bytes) for n in range(count)]
    scheduler = BatchScheduler(records)
    log = scripted_log.ScriptedLog()
    run(lambda: run_term(log, scheduler))
    assert [r for r in log.records if r.key.startswith("s:")] == records
    assert scheduler.confirmed == 7


# Guards against ends that are never acknowledged, and starts never ordered:
# the jobs of a batch were gone, so that it had no record to append.
def test_batch_without_records_is_not_waited_for() -> None:
    pool = pools.Pool()
    pool.submit(JOB, pools.spec(pools.step()))
    pool.settle()
    ((ended, fake),) = pool.running_tasks(JOB).items()
    fake.end_run(ended, "done")
    pool.exchange_reports()
    worker = pool.scheduler.workers[fake.name]
    assert worker.acked == 0
    del pool.scheduler.jobs[JOB]
    assert pool.scheduler.take_record_batch() is None
    assert worker.acked == 1


def test_start_of_a_job_that_is_gone_is_not_ordered() -> None:
    pool = pools.Pool(workers=1)
    (worker,) = pool.scheduler.workers.values()
    free = worker.free
    pool.submit(JOB, pools.spec(pools.step()))
    pool.scheduler.tick(pool.now, pool.wall_ms)
    assert worker.free != free
    del pool.scheduler.jobs[JOB]
    assert pool.scheduler.take_record_batch() is None
    assert not worker.pending_starts
    assert worker.free == free


def make_progress(tasks: int, saved: str) -> job_records.Progress:
    """Make the progress of a job with a worker for each task."""
    groups = tuple(
        job_records.GroupProgress(
            0,
            0,
            n,
            3,
            "a",
            1,
            saved,
            (f"i-{n % 100:08x}@side-hall-{n % 100}",),
        )
        for n in range(tasks)
    )
    finished = (*range(5000), *range(5002, 9000, 2))
    return job_records.Progress(JOB, "running", finished, groups, 0, 9, 1)


def encode_and_decode(progress: job_records.Progress) -> job_records.Record:
    """Return a progress as the next owner reads it."""
    record = job_records.encode_progress(progress)
    assert keyed_log.measure_record(record) <= LIMITS.record_bytes
    stored = keyed_log.StoredRecord(0, record.key, record.value)
    return job_records.decode_record(stored)


# Guards against a job whose progress no append takes, so that the owner waits
# for it for good.
@pytest.mark.parametrize("tasks", [0, 1, 1000, 2000])
@pytest.mark.parametrize("saved", ["", "0" * 16, "0" * 64])
def test_progress_of_many_tasks_fits_a_record(tasks: int, saved: str) -> None:
    progress = make_progress(tasks, saved)
    assert encode_and_decode(progress) == progress


def test_progress_is_kept_without_checkpoints_that_exceed_a_record() -> None:
    read = encode_and_decode(make_progress(2000, "0" * 400))
    assert read == make_progress(2000, "")


# Guards against work done again since its start: checkpoints were left out of
# a record that only named too many workers to avoid.
@pytest.mark.parametrize("tasks", [1, 2000])
@pytest.mark.parametrize("name_bytes", [20, 200])
def test_progress_keeps_checkpoints_before_avoided_workers(
    tasks: int, name_bytes: int
) -> None:
    progress = make_progress(tasks, "0" * 16)
    names = [f"{n:0{name_bytes}}@side-hall-{n % 100}" for n in range(tasks)]
    groups = tuple(
        group._replace(avoided=(name, names[0]))
        for group, name in zip(progress.groups, names, strict=True)
    )
    read = encode_and_decode(progress._replace(groups=groups))
    is_long = tasks * name_bytes > LIMITS.record_bytes
    assert read == (progress if is_long else progress._replace(groups=groups))


def test_bound_of_a_progress_holds() -> None:
    record = job_records.encode_progress(make_progress(2000, "0" * 400))
    spec = pools.spec(pools.step(tasks=2000))
    bound = job_records.bound_progress_bytes(spec)
    gaps = 14 * 2000
    assert keyed_log.measure_record(record) <= bound + gaps
    assert bound <= LIMITS.record_bytes


# Guards against evidence that no append takes, so that none is written after
# it.
def test_evidence_is_appended_within_the_bounds() -> None:
    log = scripted_log.ScriptedLog()
    names = tuple(f"i-{n:08x}@side-jerash-hall-{n}" for n in range(2000))
    victims = tuple(f"{n:016x}.0.0.0" for n in range(30_000))
    placed = evidence_records.GroupPlaced(JOB, JOB, 1, 2000, 1, names, 5)
    reclaimed = evidence_records.CapacityReclaimed(JOB, "a", True, victims)
    too_long = evidence_records.JobEnded(JOB, "failed", "x" * 300_000)
    bodies: list[evidence_records.Body] = [placed] * 20
    bodies += [reclaimed, too_long, placed]

    async def main() -> None:
        writer = evidence_writer.EvidenceWriter(log, 1, "entry-1", "")
        writer.add_rows([evidence_records.Row(0, body) for body in bodies])
        with trio.fail_after(10.0):
            await writer.flush()

    run(main)
    written = [
        row.body
        for record in log.records
        for row in evidence_records.decode_batch(record.value or b"").rows
    ]
    assert written.count(placed) == 21
    assert victims == sum(
        (
            body.victims
            for body in written
            if isinstance(body, evidence_records.CapacityReclaimed)
        ),
        (),
    )


class StandinClient:
    """An HTTP client of the stand-in for the store, without a network."""

    def __init__(self, standin: wire_store.WireStore) -> None:
        """Call this stand-in."""
        self._standin = standin

    async def call(
        self, method: str, url: str, body: bytes = b"", **_: Any
    ) -> http_client.ClientResponse:
        """Make one call."""
        path, _mark, query = url.partition("?")
        request = http_server.HttpRequest(
            method, path, dict(parse.parse_qsl(query)), {}, body
        )
        response = await self._standin.handle(request)
        return http_client.ClientResponse(response.status, (), response.body)


# The stand-in keeps the bounds of the pages: an append over them has no
# effect, a page holds 500 records or 1 MB, a read 1,024 KB.
@pytest.mark.parametrize(("count", "size"), [(1200, 100), (60, 200_000)])
def test_all_records_are_read_in_pages(count: int, size: int) -> None:
    records = [make_record(number, size) for number in range(count)]

    async def main() -> None:
        client: Any = StandinClient(wire_store.WireStore())
        log = store.Store(client)
        stamp = keyed_log.ProducerStamp("entry-1", 1, 0)
        if count * size > LIMITS.call_bytes:
            with pytest.raises(errors.LogRefused):
                await log.append("jobs", records, stamp)
        for append in keyed_log.split_records(
            [[record] for record in records], LIMITS.call_bytes
        ):
            await log.append("jobs", append, stamp)
            stamp = stamp._replace(sequence=stamp.sequence + 1)
        snapshot = await log.read_snapshot("jobs")
        assert [(r.key, r.value) for r in snapshot.records] == records
        offset, read = 0, 0
        while read < count:
            batch = await log.read("jobs", offset, 0)
            assert batch.records
            read += len(batch.records)
            offset = batch.next_offset
        assert offset == count

    run(main)
