"""What one job or report holds takes the scheduler time linear in it."""

from collections.abc import Callable
import time
from typing import Any

from kingcuplever.platform import hosts
from kingcuplever.process.scheduling import model
import pytest

from tests import pool as pools

JOB = "5c0e7a21d94b36f8"
# Far more than there are tasks or workers; counting to it takes seconds.
LARGE_NUMBER = 10**7
# A decision takes milliseconds.
LONGEST_S = 0.5
TASKS = (500, 2000)
# Time that grows with the square of the number of tasks grows 16 times.
MAX_GROWTH = 8.0
SHORT_S = 0.01
TRIES = 3


# Guards against an owner that counts to a number in a job, such as the most
# tasks on one worker of a task that needs next to nothing.
@pytest.mark.parametrize("queue", ["urgent", "normal"])
@pytest.mark.parametrize(
    "field", ["most_per_worker", "may_miss", "target_ms", "estimate_ms"]
)
def test_large_number_in_a_job_takes_no_time(field: str, queue: str) -> None:
    pool = pools.Pool(workers=4)
    crowd = pools.step(tasks=4, gpus=8, cpu_milli=128_000)
    pool.submit("crowd", pools.spec(crowd, queue=queue))
    pool.advance_time(2.0)
    tiny: dict[str, Any] = {"cpu_milli": 0, "memory_mb": 0, "gpus": 0}
    step = pools.step(**(tiny | {field: LARGE_NUMBER}), data_rack="r9")
    gang = pools.step(
        tasks=2, **(tiny | {field: LARGE_NUMBER}), gang=True, same_rack=True
    )
    began_s = time.process_time()
    pool.submit(JOB, pools.spec(step, gang, queue=queue))
    pool.advance_time(2.0)
    # Some twenty cycles.
    assert time.process_time() - began_s < 20 * LONGEST_S


def measure_gang(tasks: int, act: Callable[[pools.Pool], None]) -> float:
    """Return the processor time of an action while one worker has a gang."""
    pool = pools.Pool(workers=1)
    pool.workers[0].capacity = model.Resources(10**7, 10**7, 10**5)
    pool.settle()
    step = pools.step(tasks=tasks, gpus=0, cpu_milli=1, gang=True)
    pool.submit(JOB, pools.spec(step))
    pool.settle()
    assert len(pool.running_tasks(JOB)) == tasks
    began_s = time.process_time()
    act(pool)
    return time.process_time() - began_s


def report_ten_times(pool: pools.Pool) -> None:
    """Have the worker report."""
    for _ in range(10):
        pool.now += 0.1
        pool.exchange_reports()


def check_workers_ten_times(pool: pools.Pool) -> None:
    """Look for stalled runs, on a worker that drains."""
    pool.workers[0].draining = True
    pool.exchange_reports()
    for _ in range(10):
        pool.now += 0.3
        pool.scheduler.tick(pool.now, pool.wall_ms)


# Guards against a list whose rows each look through all tasks of their gang.
@pytest.mark.parametrize("act", [report_ten_times, check_workers_ten_times])
def test_large_gang_takes_linear_time(
    act: Callable[[pools.Pool], None],
) -> None:
    small, large = TASKS
    growths = []
    for _ in range(TRIES):
        base_s = max(SHORT_S, measure_gang(small, act))
        growths.append(measure_gang(large, act) / base_s)
        if growths[-1] < MAX_GROWTH:
            return
    raise AssertionError(f"grows {growths} times")


def test_machine_that_an_order_names_twice_counts_once() -> None:
    order = hosts.decode_wave(
        b'{"Wave": 1, "Machines": ["m-1", "m-2", "m-1"],'
        b' "DurationS": 9, "MaxCount": 2}'
    )
    assert order.hosts == ("m-1", "m-2")
