"""Rounds of maintenance: hosts are emptied, go down few at a time, return."""

from collections.abc import Sequence
import json
import socket
from typing import Any

import pytest
import trio
import trio.testing

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever.platform import hosts as platform_hosts
from kingcuplever.process.owner import maintenance_controller
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import maintenance_rounds
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import maintenance_records
from tests import pool as pools
from tests import scripted_log

LONG = {"estimate_ms": 60_000}


@pytest.fixture
def pool() -> pools.Pool:
    """Give three workers with an owner."""
    return pools.Pool()


def list_hosts(pool: pools.Pool, down: Sequence[int] = ()) -> list[Any]:
    """List the workers' hosts as the platform would."""
    return [
        maintenance_rounds.Host(
            f"m-{number}", number not in down, fleet.incarnation_of(fake.name)
        )
        for number, fake in enumerate(pool.workers)
    ]


def order(pool: pools.Pool, within_s: float, most: int = 1) -> None:
    """Have every host go down."""
    names = tuple(host.name for host in list_hosts(pool))
    whole = maintenance_rounds.RoundOrder(1, names, within_s, most)
    pool.scheduler.maintenance.apply_order(whole)


def look(
    pool: pools.Pool, down: Sequence[int] = ()
) -> list[maintenance_rounds.TakeDown]:
    """Let the rounds look once, and orders go round."""
    hosts = list_hosts(pool, down)
    steps = pool.scheduler.maintenance.plan_take_downs(hosts, pool.now)
    pool.scheduler.maintenance.update_cordons(hosts, pool.now)
    pool.settle()
    return steps


def rebirth(pool: pools.Pool, number: int) -> None:
    """A host comes back with a new life."""
    old = pool.workers[number]
    pool.workers[number] = pools.FakeWorker(
        f"n-{number}", old.side, old.rack, pool.events
    )


def test_idle_hosts_go_down_one_after_the_other(pool: pools.Pool) -> None:
    order(pool, 30.0)
    seen = []
    for _ in range(3):
        (step,) = look(pool)
        seen.append(step.host)
        assert not look(pool)
        maintenance = pool.scheduler.maintenance
        maintenance.record_outcome(
            step, maintenance_rounds.TakeDownOutcome.STARTED, pool.now
        )
        number = int(step.host[2:])
        # While it is down no other goes.
        assert not look(pool, [number])
        assert not maintenance.find_completed(list_hosts(pool, [number]))
        rebirth(pool, number)
        pool.settle()
    assert sorted(seen) == ["m-0", "m-1", "m-2"]
    assert maintenance.find_completed(list_hosts(pool)) == [1]
    assert maintenance.complete_round(1).completed
    assert maintenance.is_idle


def test_host_waits_for_its_work_and_gets_none(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(tasks=3, gpus=8, **LONG)))
    pool.settle()
    order(pool, 60.0)
    assert not look(pool)
    (closed,) = [w for w in pool.scheduler.workers.values() if w.cordoned]
    pool.submit("j2", pools.spec(pools.step(tasks=3, gpus=8, **LONG)))
    pool.end_tasks("j1", "done")
    pool.settle()
    assert len(pool.running_tasks("j2")) == 2
    assert not closed.allocations
    assert len(look(pool)) == 1


def test_what_can_not_end_in_time_is_stopped(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(tasks=3, gpus=8, **LONG)))
    pool.settle()
    order(pool, 6.0)
    look(pool)
    assert len(pool.running_tasks("j1")) == 3
    pool.advance_time(2.5)
    look(pool)
    pool.settle()
    assert len(pool.running_tasks("j1")) == 2
    assert len(look(pool)) == 1


def test_step_keeps_as_many_at_work_as_it_must(pool: pools.Pool) -> None:
    step = pools.step(
        tasks=3, gpus=1, long_running=True, may_miss=1, most_per_worker=2
    )
    pool.submit("j1", pools.spec(step))
    pool.settle()
    for fake in pool.workers:
        for run, task in fake.running.items():
            fake.running[run] = task._replace(percent=100)
            fake.stalled_runs.add(run)
    pool.settle()
    order(pool, 0.0, 3)
    for _ in range(4):
        look(pool)
        away = 3 - sum(
            group.is_serving for group in pool.scheduler.jobs["j1"].groups()
        )
        assert away <= 1
        pool.advance_time(0.5)


def test_host_that_can_not_go_down_takes_work_again(pool: pools.Pool) -> None:
    order(pool, 30.0)
    (step,) = look(pool)
    maintenance = pool.scheduler.maintenance
    maintenance.record_outcome(
        step, maintenance_rounds.TakeDownOutcome.BUSY, pool.now
    )
    hosts = list_hosts(pool)
    maintenance.update_cordons(hosts, pool.now)
    assert not any(w.cordoned for w in pool.scheduler.workers.values())
    # Others are tried meanwhile, this one again later, and later still.
    (other,) = look(pool)
    assert other.host != step.host


def test_no_work_is_stopped_for_hosts_that_may_never_go_down(
    pool: pools.Pool,
) -> None:
    order(pool, 1.0)
    (step,) = look(pool)
    pool.submit("j1", pools.spec(pools.step(tasks=2, gpus=8, **LONG)))
    pool.settle()
    maintenance = pool.scheduler.maintenance
    maintenance.record_outcome(
        step, maintenance_rounds.TakeDownOutcome.BUSY, pool.now
    )
    for _ in range(10):
        for again in look(pool):
            assert again.host == step.host
            maintenance.record_outcome(
                again, maintenance_rounds.TakeDownOutcome.BUSY, pool.now
            )
        pool.advance_time(1.0)
    assert len(pool.running_tasks("j1")) == 2
    assert {event.kind for event in pool.events} == {"begun"}


def test_host_without_word_stays_closed_and_is_asked_again(
    pool: pools.Pool,
) -> None:
    order(pool, 30.0)
    (step,) = look(pool)
    maintenance = pool.scheduler.maintenance
    maintenance.record_outcome(
        step, maintenance_rounds.TakeDownOutcome.UNKNOWN, pool.now
    )
    assert not look(pool)
    assert any(w.cordoned for w in pool.scheduler.workers.values())
    pool.advance_time(2.5)
    assert look(pool) == [step]


def test_life_that_outlives_its_host_takes_work_again(
    pool: pools.Pool,
) -> None:
    # A step that was carried out before is answered with success once more.
    order(pool, 30.0)
    (step,) = look(pool)
    maintenance = pool.scheduler.maintenance
    maintenance.record_outcome(
        step, maintenance_rounds.TakeDownOutcome.STARTED, pool.now
    )
    pool.advance_time(6.0)
    (closed,) = [w for w in pool.scheduler.workers.values() if w.cordoned]
    (other,) = look(pool)
    assert other.host != step.host
    assert not closed.cordoned


def test_successor_takes_no_host_down_twice(pool: pools.Pool) -> None:
    order(pool, 30.0)
    (step,) = look(pool)
    maintenance = pool.scheduler.maintenance
    maintenance.record_outcome(
        step, maintenance_rounds.TakeDownOutcome.STARTED, pool.now
    )
    pool.append(
        [
            maintenance_records.encode_progress(row)
            for row in maintenance.open_progress()
        ]
    )
    rebirth(pool, int(step.host[2:]))
    pool.fail_over()
    pool.settle()
    order(pool, 30.0)
    (other,) = look(pool)
    assert other.host != step.host


def test_round_that_is_over_stays_over(pool: pools.Pool) -> None:
    over = maintenance_rounds.RoundProgress(1, 5, (), True)
    pool.append([maintenance_records.encode_progress(over)])
    pool.fail_over()
    order(pool, 30.0)
    assert pool.scheduler.maintenance.is_idle


def test_damaged_record_of_a_round_is_left_out(pool: pools.Pool) -> None:
    pool.append([keyed_log.KeyedRecord("u:1", b'{"number":"x"}')])
    assert not pool.table.rounds


class FakeHostService:
    """The platform's side, with hosts that come back at the next look."""

    def __init__(self, pool: pools.Pool) -> None:
        """Serve a pool's workers."""
        self.told: list[tuple[int, bool]] = []
        self.steps: list[tuple[str, int]] = []
        self.down: set[int] = set()
        self.most_down = 0
        self.fail = 0
        self._pool = pool

    async def list_hosts(self) -> list[maintenance_rounds.Host]:
        """List, then let those that are down come back."""
        shown = list_hosts(self._pool, [*self.down])
        for number in self.down:
            rebirth(self._pool, number)
        self.down.clear()
        return shown

    async def begin_maintenance(
        self, step: maintenance_rounds.TakeDown, holder: str, fence: int
    ) -> maintenance_rounds.TakeDownOutcome:
        """Take a host down; the first calls may fail."""
        if self.fail:
            self.fail -= 1
            raise errors.PlatformFailed("no answer")
        self.steps.append((step.host, fence))
        self.down.add(int(step.host[2:]))
        self.most_down = max(self.most_down, len(self.down))
        return maintenance_rounds.TakeDownOutcome.STARTED

    async def report_progress(
        self, number: int, completed: bool, fence: int
    ) -> None:
        """Remember what was told."""
        self.told.append((number, completed))


def test_whole_round_with_the_platform(pool: pools.Pool) -> None:
    desk = FakeHostService(pool)
    desk.fail = 1

    async def keep(records: Sequence[keyed_log.KeyedRecord]) -> int:
        pool.append([*records])
        return pool.offset

    async def main() -> None:
        maintenance = pool.scheduler.maintenance
        driver = maintenance_controller.MaintenanceController(
            maintenance, desk, keep, "entry-0", 7
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(driver.run)
            with trio.fail_after(60.0):
                while not maintenance.is_idle:
                    await trio.sleep(0.25)
                    pool.now = trio.current_time()
                    pool.settle(1)
            nursery.cancel_scope.cancel()

    order(pool, 30.0, 2)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert desk.told == [(1, False), (1, True)]
    assert sorted(host for host, _ in desk.steps) == ["m-0", "m-1", "m-2"]
    assert {fence for _, fence in desk.steps} == {7}
    assert desk.most_down <= 2
    assert pool.table.rounds[1].completed


def test_wave_of_the_operator_is_read_or_left_alone() -> None:
    whole = {"Wave": 3, "Machines": ["m-1"], "DurationS": 20, "MaxCount": 2}
    read = platform_hosts.decode_wave(json.dumps(whole).encode())
    assert read == maintenance_rounds.RoundOrder(3, ("m-1",), 20.0, 2)
    for damaged in (b"", b"[]", b'{"Wave":1}', b'{"Wave":{}}', b"\xff"):
        with pytest.raises(errors.InvalidRequest):
            platform_hosts.decode_wave(damaged)


@pytest.mark.parametrize(
    ("status", "reason", "outcome"),
    [
        (200, "", maintenance_rounds.TakeDownOutcome.STARTED),
        (409, "busy", maintenance_rounds.TakeDownOutcome.BUSY),
        (409, "fence", maintenance_rounds.TakeDownOutcome.BUSY),
        (409, "wave", maintenance_rounds.TakeDownOutcome.NOT_PART),
        (429, "", maintenance_rounds.TakeDownOutcome.BUSY),
        (500, "", maintenance_rounds.TakeDownOutcome.UNKNOWN),
    ],
)
def test_platform_is_spoken_to_as_it_says(
    status: int, reason: str, outcome: maintenance_rounds.TakeDownOutcome
) -> None:
    seen: list[http_server.HttpRequest] = []
    pages = [
        {
            "Machines": [{"Machine": "m-1", "State": "up", "Id": "i-1"}],
            "NextToken": "t2",
        },
        {"Machines": [{"Machine": "m-2", "State": "down"}]},
    ]

    async def handle(
        request: http_server.HttpRequest,
    ) -> http_server.HttpResponse:
        seen.append(request)
        if request.method == "GET":
            return http_server.json_response(pages[len(seen) - 1])
        body = json.dumps({"Reason": reason}).encode()
        return http_server.HttpResponse(status, (), body)

    async def main() -> maintenance_rounds.TakeDownOutcome:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{free.getsockname()[1]}"
        log = scripted_log.ScriptedLog()
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(http_server.serve, address, handle, stop)
            async with http_client.HttpClient(address, 2.0) as client:
                desk = platform_hosts.HostsClient(client, log)
                assert await desk.list_hosts() == [
                    maintenance_rounds.Host("m-1", True, "i-1"),
                    maintenance_rounds.Host("m-2", False, ""),
                ]
                step = maintenance_rounds.TakeDown(3, "m-1")
                found = await desk.begin_maintenance(step, "entry-0", 7)
                await desk.report_progress(3, True, 7)
            stop.set()
            nursery.cancel_scope.cancel()
        (record,) = log.records
        assert record.key == "wave/3"
        assert json.loads(record.value or b"")["State"] == "completed"
        return found

    assert trio.run(main) is outcome
    headers = dict(seen[-1].headers)
    assert headers["x-kingcuplever-duty-holder"] == "entry-0"
    assert headers["x-kingcuplever-fence-token"] == "7"
    assert json.loads(seen[-1].body) == {"Machine": "m-1", "Wave": 3}


def test_topic_of_jobs_holds_rounds() -> None:
    progress = maintenance_rounds.RoundProgress(4, 9, ("m-1",), False)
    record = maintenance_records.encode_progress(progress)
    stored = keyed_log.StoredRecord(0, record.key, record.value)
    assert job_records.decode_record(stored) == progress
