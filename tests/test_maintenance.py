"""Tests of maintenance rounds.

Hosts are drained, taken down a few at a time, and come back.
"""

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
    """Return a pool of three workers."""
    return pools.Pool()


def list_hosts(pool: pools.Pool, down: Sequence[int] = ()) -> list[Any]:
    """Return the workers' hosts as the platform lists them."""
    return [
        maintenance_rounds.Host(
            f"m-{number}", number not in down, fleet.incarnation_of(fake.name)
        )
        for number, fake in enumerate(pool.workers)
    ]


def order_round(
    pool: pools.Pool, time_limit_s: float, max_down: int = 1
) -> None:
    """Order a maintenance round of all hosts."""
    names = tuple(host.name for host in list_hosts(pool))
    order = maintenance_rounds.RoundOrder(1, names, time_limit_s, max_down)
    pool.scheduler.maintenance.apply_order(order)


def run_cycle(
    pool: pools.Pool, down: Sequence[int] = ()
) -> list[maintenance_rounds.TakeDown]:
    """Run a cycle of the maintenance rounds, and return its take-downs."""
    hosts = list_hosts(pool, down)
    steps = pool.scheduler.maintenance.plan_take_downs(hosts, pool.now)
    pool.scheduler.maintenance.update_cordons(hosts, pool.now)
    pool.settle()
    return steps


def restart_worker(pool: pools.Pool, number: int) -> None:
    """Bring a host back with a new incarnation of its worker."""
    old = pool.workers[number]
    pool.workers[number] = pools.FakeWorker(
        f"n-{number}", old.side, old.rack, pool.events
    )


def test_idle_hosts_go_down_one_after_the_other(pool: pools.Pool) -> None:
    order_round(pool, 30.0)
    taken_down = []
    for _ in range(3):
        (step,) = run_cycle(pool)
        taken_down.append(step.host)
        assert not run_cycle(pool)
        maintenance = pool.scheduler.maintenance
        maintenance.record_outcome(
            step, maintenance_rounds.TakeDownOutcome.STARTED, pool.now
        )
        number = int(step.host[2:])
        # No other host is taken down meanwhile.
        assert not run_cycle(pool, [number])
        assert not maintenance.find_completed(list_hosts(pool, [number]))
        restart_worker(pool, number)
        pool.settle()
    assert sorted(taken_down) == ["m-0", "m-1", "m-2"]
    assert maintenance.find_completed(list_hosts(pool)) == [1]
    assert maintenance.complete_round(1).completed
    assert maintenance.is_idle


def test_draining_host_waits_for_its_work_and_gets_none(
    pool: pools.Pool,
) -> None:
    pool.submit("j1", pools.spec(pools.step(tasks=3, gpus=8, **LONG)))
    pool.settle()
    order_round(pool, 60.0)
    assert not run_cycle(pool)
    (cordoned,) = [w for w in pool.scheduler.workers.values() if w.cordoned]
    pool.submit("j2", pools.spec(pools.step(tasks=3, gpus=8, **LONG)))
    pool.end_tasks("j1", "done")
    pool.settle()
    assert len(pool.running_tasks("j2")) == 2
    assert not cordoned.allocations
    assert len(run_cycle(pool)) == 1


def test_work_that_can_not_end_in_time_is_stopped(pool: pools.Pool) -> None:
    pool.submit("j1", pools.spec(pools.step(tasks=3, gpus=8, **LONG)))
    pool.settle()
    order_round(pool, 6.0)
    run_cycle(pool)
    assert len(pool.running_tasks("j1")) == 3
    pool.advance_time(2.5)
    run_cycle(pool)
    pool.settle()
    assert len(pool.running_tasks("j1")) == 2
    assert len(run_cycle(pool)) == 1


def test_maintenance_respects_the_disruption_budget(pool: pools.Pool) -> None:
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
    order_round(pool, 0.0, 3)
    for _ in range(4):
        run_cycle(pool)
        unavailable = 3 - sum(
            group.is_serving for group in pool.scheduler.jobs["j1"].groups()
        )
        assert unavailable <= 1
        pool.advance_time(0.5)


def test_busy_host_is_uncordoned_and_another_tried(pool: pools.Pool) -> None:
    order_round(pool, 30.0)
    (step,) = run_cycle(pool)
    maintenance = pool.scheduler.maintenance
    maintenance.record_outcome(
        step, maintenance_rounds.TakeDownOutcome.BUSY, pool.now
    )
    hosts = list_hosts(pool)
    maintenance.update_cordons(hosts, pool.now)
    assert not any(w.cordoned for w in pool.scheduler.workers.values())
    # Other hosts are tried meanwhile; this one is retried with backoff.
    (other,) = run_cycle(pool)
    assert other.host != step.host


def test_no_work_is_stopped_for_a_host_that_stays_busy(
    pool: pools.Pool,
) -> None:
    order_round(pool, 1.0)
    (step,) = run_cycle(pool)
    pool.submit("j1", pools.spec(pools.step(tasks=2, gpus=8, **LONG)))
    pool.settle()
    maintenance = pool.scheduler.maintenance
    maintenance.record_outcome(
        step, maintenance_rounds.TakeDownOutcome.BUSY, pool.now
    )
    for _ in range(10):
        for retry in run_cycle(pool):
            assert retry.host == step.host
            maintenance.record_outcome(
                retry, maintenance_rounds.TakeDownOutcome.BUSY, pool.now
            )
        pool.advance_time(1.0)
    assert len(pool.running_tasks("j1")) == 2
    assert {event.kind for event in pool.events} == {"begun"}


def test_host_with_unknown_outcome_stays_cordoned_and_is_retried(
    pool: pools.Pool,
) -> None:
    order_round(pool, 30.0)
    (step,) = run_cycle(pool)
    maintenance = pool.scheduler.maintenance
    maintenance.record_outcome(
        step, maintenance_rounds.TakeDownOutcome.UNKNOWN, pool.now
    )
    assert not run_cycle(pool)
    assert any(w.cordoned for w in pool.scheduler.workers.values())
    pool.advance_time(2.5)
    assert run_cycle(pool) == [step]


def test_incarnation_that_outlives_its_take_down_is_uncordoned(
    pool: pools.Pool,
) -> None:
    # The platform answers a repeated take-down with success, although the
    # host does not go down again.
    order_round(pool, 30.0)
    (step,) = run_cycle(pool)
    maintenance = pool.scheduler.maintenance
    maintenance.record_outcome(
        step, maintenance_rounds.TakeDownOutcome.STARTED, pool.now
    )
    pool.advance_time(6.0)
    (cordoned,) = [w for w in pool.scheduler.workers.values() if w.cordoned]
    (other,) = run_cycle(pool)
    assert other.host != step.host
    assert not cordoned.cordoned


# Guards against a host whose worker states its start, and is not found by the
# id that the platform lists.
def test_host_of_a_worker_with_a_start_is_cordoned(pool: pools.Pool) -> None:
    for fake in pool.workers:
        worker_id = fleet.incarnation_of(fake.name)
        incarnation = fleet.incarnation_name(worker_id, 5)
        fake.name = fleet.worker_name(incarnation, fake.side)
    pool.settle()
    order = maintenance_rounds.RoundOrder(1, ("m-0",), 30.0, 1)
    pool.scheduler.maintenance.apply_order(order)
    worker_id = fleet.worker_id_of(pool.workers[0].name)
    hosts = [maintenance_rounds.Host("m-0", True, worker_id)]
    pool.scheduler.maintenance.plan_take_downs(hosts, pool.now)
    pool.scheduler.maintenance.update_cordons(hosts, pool.now)
    cordoned = [w.name for w in pool.scheduler.workers.values() if w.cordoned]
    assert cordoned == [pool.workers[0].name]


def test_new_owner_takes_no_host_down_twice(pool: pools.Pool) -> None:
    order_round(pool, 30.0)
    (step,) = run_cycle(pool)
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
    restart_worker(pool, int(step.host[2:]))
    pool.fail_over()
    pool.settle()
    order_round(pool, 30.0)
    (other,) = run_cycle(pool)
    assert other.host != step.host


def test_completed_round_is_not_reopened(pool: pools.Pool) -> None:
    progress = maintenance_rounds.RoundProgress(1, 5, (), True)
    pool.append([maintenance_records.encode_progress(progress)])
    pool.fail_over()
    order_round(pool, 30.0)
    assert pool.scheduler.maintenance.is_idle


def test_damaged_record_of_a_round_is_ignored(pool: pools.Pool) -> None:
    pool.append([keyed_log.KeyedRecord("u:1", b'{"number":"x"}')])
    assert not pool.table.rounds


class FakeHostService:
    """A fake platform whose hosts are up again after the next listing.

    :ivar reports: number of each reported round, and whether it is completed.
    :ivar steps: host and fencing token of each take-down.
    :ivar failures_left: how many calls of ``begin_maintenance`` still fail.
    """

    def __init__(self, pool: pools.Pool) -> None:
        """Create the platform of a pool's workers."""
        self.reports: list[tuple[int, bool]] = []
        self.steps: list[tuple[str, int]] = []
        self.down: set[int] = set()
        self.max_down = 0
        self.failures_left = 0
        self._pool = pool

    async def list_hosts(self) -> list[maintenance_rounds.Host]:
        """Return the hosts, then bring those that are down up again."""
        hosts = list_hosts(self._pool, [*self.down])
        for number in self.down:
            restart_worker(self._pool, number)
        self.down.clear()
        return hosts

    async def begin_maintenance(
        self, step: maintenance_rounds.TakeDown, holder: str, fence: int
    ) -> maintenance_rounds.TakeDownOutcome:
        """Take a host down, or fail."""
        if self.failures_left:
            self.failures_left -= 1
            raise errors.PlatformFailed("no answer")
        self.steps.append((step.host, fence))
        self.down.add(int(step.host[2:]))
        self.max_down = max(self.max_down, len(self.down))
        return maintenance_rounds.TakeDownOutcome.STARTED

    async def report_progress(
        self, number: int, completed: bool, fence: int
    ) -> None:
        """Record a report."""
        self.reports.append((number, completed))


def test_whole_round_with_the_platform(pool: pools.Pool) -> None:
    platform = FakeHostService(pool)
    platform.failures_left = 1

    async def append(records: Sequence[keyed_log.KeyedRecord]) -> int:
        pool.append([*records])
        return pool.offset

    async def main() -> None:
        maintenance = pool.scheduler.maintenance
        controller = maintenance_controller.MaintenanceController(
            maintenance, platform, append, "entry-0", 7
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(controller.run)
            with trio.fail_after(60.0):
                while not maintenance.is_idle:
                    await trio.sleep(0.25)
                    pool.now = trio.current_time()
                    pool.settle(1)
            nursery.cancel_scope.cancel()

    order_round(pool, 30.0, 2)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert platform.reports == [(1, False), (1, True)]
    assert sorted(host for host, _ in platform.steps) == ["m-0", "m-1", "m-2"]
    assert {fence for _, fence in platform.steps} == {7}
    assert platform.max_down <= 2
    assert pool.table.rounds[1].completed


def test_wave_is_decoded_and_a_damaged_one_rejected() -> None:
    wave = {"Wave": 3, "Machines": ["m-1"], "DurationS": 20, "MaxCount": 2}
    order = platform_hosts.decode_wave(json.dumps(wave).encode())
    assert order == maintenance_rounds.RoundOrder(3, ("m-1",), 20.0, 2)
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
def test_calls_and_replies_follow_the_protocol_of_the_platform(
    status: int, reason: str, outcome: maintenance_rounds.TakeDownOutcome
) -> None:
    requests: list[http_server.HttpRequest] = []
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
        requests.append(request)
        if request.method == "GET":
            return http_server.json_response(pages[len(requests) - 1])
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
                hosts = platform_hosts.HostsClient(client, log)
                assert await hosts.list_hosts() == [
                    maintenance_rounds.Host("m-1", True, "i-1"),
                    maintenance_rounds.Host("m-2", False, ""),
                ]
                step = maintenance_rounds.TakeDown(3, "m-1")
                result = await hosts.begin_maintenance(step, "entry-0", 7)
                await hosts.report_progress(3, True, 7)
            stop.set()
            nursery.cancel_scope.cancel()
        (record,) = log.records
        assert record.key == "wave/3"
        assert json.loads(record.value or b"")["State"] == "completed"
        return result

    assert trio.run(main) is outcome
    headers = dict(requests[-1].headers)
    assert headers["x-kingcuplever-duty-holder"] == "entry-0"
    assert headers["x-kingcuplever-fence-token"] == "7"
    assert json.loads(requests[-1].body) == {"Machine": "m-1", "Wave": 3}


def test_progress_of_a_round_is_decoded_from_the_topic_of_jobs() -> None:
    progress = maintenance_rounds.RoundProgress(4, 9, ("m-1",), False)
    record = maintenance_records.encode_progress(progress)
    stored = keyed_log.StoredRecord(0, record.key, record.value)
    assert job_records.decode_record(stored) == progress
