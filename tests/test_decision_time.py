"""What one job or report holds takes the scheduler time linear in it."""

from collections.abc import Callable
import cProfile
import functools
import time
from typing import Any

from kingcuplever.platform import hosts
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import host_speed
from kingcuplever.process.scheduling import maintenance_rounds
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import scheduler as schedulers
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
# The same for numbers of calls, as a multiple of the growth of the tasks.
MAX_CALLS_GROWTH = 1.25
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


class CountingPool(pools.Pool):
    """A pool with large workers that counts the steps of its scheduler.

    Unlike times, the numbers of calls of functions are the same in each run.
    """

    def __init__(self) -> None:
        """Create four workers with room for any number of small tasks."""
        self._profile = cProfile.Profile()
        super().__init__(workers=4)
        for fake in self.workers:
            fake.capacity = model.Resources(10**7, 10**7, 10**5)
        self.settle()

    def count_calls(self) -> int:
        """Return how many functions the scheduler has called so far."""
        return sum(entry.callcount for entry in self._profile.getstats())

    def _make_scheduler(self) -> schedulers.Scheduler:
        made = self._profile.runcall(super()._make_scheduler)
        for name in (
            "tick",
            "apply_report",
            "take_record_batch",
            "confirm_commit",
            "on_job_changed",
        ):
            counted = functools.partial(
                self._profile.runcall, getattr(made, name)
            )
            setattr(made, name, counted)
        return made


SMALL = pools.step(gpus=0, cpu_milli=1, memory_mb=0)
# Jobs of so many tasks, in what a job may have many of.
JOBS: dict[str, Callable[[int], model.JobSpec]] = {
    "tasks, apart": lambda tasks: pools.spec(
        SMALL._replace(tasks=tasks, most_per_worker=tasks)
    ),
    "a gang": lambda tasks: pools.spec(
        SMALL._replace(tasks=tasks, gang=True, same_rack=True)
    ),
    "steps": lambda tasks: pools.spec(*[SMALL] * tasks),
    "steps before one": lambda tasks: pools.spec(
        *[SMALL] * (tasks - 1), SMALL._replace(after=tuple(range(tasks - 1)))
    ),
    "times": lambda tasks: pools.spec(
        SMALL, times=tasks, first_ms=1, period_ms=1
    ),
}


def end_in_turn(pool: CountingPool) -> None:
    """End all tasks, as many at a time as a worker lists."""
    for _ in range(6):
        pool.end_tasks(JOB, "done")
        pool.settle()


def crash_one(pool: CountingPool) -> None:
    """Crash a worker, so that its tasks are placed again."""
    successor = pool.end_worker(pool.workers[0], crashed=True)
    successor.capacity = pool.workers[1].capacity
    pool.advance_time(2.0)


def make_others_wait(pool: CountingPool) -> None:
    """Have urgent work wait for whole workers."""
    whole = pools.step(gpus=10**5, cpu_milli=10**7)
    gang = whole._replace(tasks=5, gang=True, same_rack=True)
    for name, waiting in (("whole", whole), ("wider", gang)):
        pool.submit(name, pools.spec(waiting, queue="urgent"))
    pool.advance_time(1.0)


def count_calls(
    kind: str, tasks: int, act: Callable[[CountingPool], None]
) -> int:
    """Run a job of so many tasks, and then what an action does to it."""
    pool = CountingPool()
    pool.submit(JOB, JOBS[kind](tasks))
    pool.advance_time(1.0)
    act(pool)
    return pool.count_calls()


# Guards against an owner that is silent for seconds, and then replaced, as one
# job has many tasks, steps or times: each task looked at all others.
@pytest.mark.parametrize("act", [end_in_turn, crash_one, make_others_wait])
@pytest.mark.parametrize("kind", JOBS)
def test_large_job_takes_linear_time(
    kind: str, act: Callable[[CountingPool], None]
) -> None:
    small, large = TASKS
    growth = count_calls(kind, large, act) / count_calls(kind, small, act)
    assert growth < MAX_CALLS_GROWTH * large / small


def count_drain_calls(tasks: int) -> int:
    """Count the calls that stop a worker's tasks for its maintenance."""
    pool = CountingPool()
    lasting = SMALL._replace(tasks=tasks, long_running=True, may_miss=tasks)
    pool.submit(JOB, pools.spec(lasting))
    pool.advance_time(1.0)
    rounds = pool.scheduler.maintenance
    rounds.apply_order(
        maintenance_rounds.RoundOrder(1, ("machine-0",), 0.0, 1)
    )
    (worker,) = {fake.name for fake in pool.running_tasks(JOB).values()}
    machines = [
        maintenance_rounds.Host("machine-0", True, fleet.worker_id_of(worker))
    ]
    profile = cProfile.Profile()
    profile.runcall(rounds.plan_take_downs, machines, pool.now)
    stopped = pool.scheduler.workers[worker].pending_stops
    assert len(stopped) == tasks
    return sum(entry.callcount for entry in profile.getstats())


# Guards against a disruption budget that is counted for each task anew.
def test_tasks_with_a_budget_are_stopped_in_linear_time() -> None:
    small, large = TASKS
    growth = count_drain_calls(large) / count_drain_calls(small)
    assert growth < MAX_CALLS_GROWTH * large / small


def compare_hosts(steps: int) -> float:
    """Return the processor time of comparisons by so many steps."""
    speeds = host_speed.HostSpeeds()
    began_s = time.process_time()
    for number in range(2000):
        step = f"{JOB}.0.{number % steps}"
        comparison = host_speed.Comparison("side-0", "a", step, 5.0, 0.01, 0.2)
        speeds.compare(comparison, 1.0, 1000)
    return time.process_time() - began_s


# Guards against a fit of all hosts for each step that only one host has run.
def test_steps_of_one_host_are_not_fitted() -> None:
    growths = [
        compare_hosts(2000) / max(SHORT_S, compare_hosts(1))
        for _ in range(TRIES)
    ]
    assert min(growths) < MAX_GROWTH


def test_machine_that_an_order_names_twice_counts_once() -> None:
    order = hosts.decode_wave(
        b'{"Wave": 1, "Machines": ["m-1", "m-2", "m-1"],'
        b' "DurationS": 9, "MaxCount": 2}'
    )
    assert order.hosts == ("m-1", "m-2")
