"""A silent worker that no host has any more is not waited for."""

import pathlib

from kingcuplever.process.owner import absent_workers
from kingcuplever.process.scheduling import maintenance_rounds
import pytest
from standins import fleet
from standins import wire_site

from tests import pool as pools

JOB = "5c0e7a21d94b36f8"
GONE = "i-0~17@side-0"


def make_hosts(*ids: str) -> list[maintenance_rounds.Host]:
    """Make hosts with these workers."""
    return [
        maintenance_rounds.Host(f"m-{n}", True, worker_id)
        for n, worker_id in enumerate(ids)
    ]


def test_worker_is_gone_once_two_lists_lack_it() -> None:
    absent = absent_workers.AbsentWorkers()
    assert absent.find_gone([GONE], make_hosts("i-1"), 0.0) == []
    assert absent.find_gone([GONE], make_hosts("i-1"), 0.5) == []
    assert absent.find_gone([GONE], make_hosts("i-1"), 1.0) == [GONE]


# Guards against tasks that run twice: a list says nothing where a host names
# no worker, and a worker that is listed again has not been gone.
@pytest.mark.parametrize("ids", [(), ("i-1", ""), ("i-0", "i-1")])
def test_worker_may_be_there(ids: tuple[str, ...]) -> None:
    absent = absent_workers.AbsentWorkers()
    absent.find_gone([GONE], make_hosts("i-1"), 0.0)
    assert absent.find_gone([GONE], make_hosts(*ids), 2.0) == []
    assert absent.find_gone([GONE], make_hosts("i-1"), 4.0) == []


def test_worker_that_reports_again_is_not_removed() -> None:
    pool = pools.Pool(workers=1)
    pool.submit(JOB, pools.spec(pools.step()))
    pool.settle()
    (fake,) = pool.workers
    fake.is_disconnected = True
    pool.advance_time(5.0)
    assert pool.scheduler.list_silent_workers(pool.now) == [fake.name]
    fake.is_disconnected = False
    pool.settle()
    pool.scheduler.remove_gone_worker(fake.name, pool.now)
    assert fake.name in pool.scheduler.workers


# Guards against a job at rest for half a minute: the worker had left, only a
# former owner knew it, and nobody reports it any more.
def test_new_owner_starts_the_work_of_a_worker_that_is_gone() -> None:
    pool = pools.Pool(workers=2)
    pool.submit(JOB, pools.spec(pools.step(gpus=8, estimate_ms=60_000)))
    pool.settle()
    (gone,) = pool.running_tasks(JOB).values()
    gone.is_disconnected = True
    pool.fail_over()
    pool.advance_time(1.0)
    assert pool.scheduler.list_silent_workers(pool.now) == []
    pool.advance_time(4.0)
    assert pool.scheduler.list_silent_workers(pool.now) == [gone.name]
    pool.scheduler.remove_gone_worker(gone.name, pool.now)
    pool.advance_time(1.0)
    assert {*pool.running_tasks(JOB).values()} - {gone}


# The same with real processes: a side and its worker end while the owner does.
def test_next_owner_learns_from_the_list_of_hosts(
    tmp_path: pathlib.Path,
) -> None:
    with wire_site.Site(str(tmp_path), entries=2, sides=2) as site:
        owner = site.find_owner()
        (other,) = set(site.entries) - {owner}
        site.call(owner, "POST", JOB, wire_site.make_job(30.0))
        fleet.wait_until(lambda: site.list_starts(JOB), "a start")
        (number,) = [
            n for n, worker in enumerate(site.workers) if worker.running
        ]
        site.sides[f"side-{number}"].kill()
        site.hosts.removed.add(number)
        site.entries[owner].kill()
        fleet.wait_until(
            lambda: len(site.list_starts(JOB)) > 1, "another start", 12.0
        )
        assert "no host has it any more" in site.entries[other].read_log()
