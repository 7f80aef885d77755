"""Which hosts are slow, and that urgent work keeps away from them."""

import random

from kingcuplever.process.scheduling import speeds
from kingcuplever.process.scheduling import work
import pytest
from tests import pool as pools


def learn(found: speeds.Speeds, factors: dict[str, float], steps: int) -> None:
    """Run steps of nine tasks, one to two to a host, a third apart."""
    rng = random.Random(7)
    for number in range(steps):
        step = work.StepId(f"job-{number}", 0, 0)
        usual_s = rng.uniform(1.0, 30.0)
        for host in rng.choices([*factors], k=9):
            ran_s = usual_s * factors[host] * rng.uniform(0.7, 1.3)
            found.note_run(step, host, ran_s)
        found.end_step(step)


def test_slow_hosts_are_told_from_sound_ones() -> None:
    """A third of the hosts takes 1.3 times as long; estimates say nothing."""
    factors = {f"h{n}": 1.3 if n % 3 == 2 else 1.0 for n in range(9)}
    found = speeds.Speeds()
    learn(found, factors, 25)
    slow = {host for host in factors if found.is_slow(host)}
    assert slow == {"h2", "h5", "h8"}


@pytest.mark.parametrize(("hosts", "tasks"), [(1, 9), (2, 2)])
def test_few_siblings_tell_nothing(hosts: int, tasks: int) -> None:
    found = speeds.Speeds()
    step = work.StepId("job", 0, 0)
    for number in range(tasks):
        found.note_run(step, f"h{number % hosts}", 1.0 + 9 * number)
    found.end_step(step)
    assert not found.take_changed()


def test_one_task_makes_no_host_slow() -> None:
    found = speeds.Speeds()
    step = work.StepId("job", 0, 0)
    for host, ran_s in (("a", 5.0), ("b", 5.0), ("c", 90.0)):
        found.note_run(step, host, ran_s)
    found.end_step(step)
    assert not found.is_slow("c")


@pytest.fixture
def pool() -> pools.Pool:
    """Give a rack of three whose first host is slow, as its owner learned."""
    made = pools.Pool(3)
    for round_number in range(8):
        name = f"{round_number:x}" * 16
        step = pools.step(3, gpus=8)
        made.submit(name, pools.spec(step, queue="batch"))
        made.settle()
        for seconds in (2.0, 2.0):
            made.pass_time(seconds)
            for run, fake in made.running(name).items():
                if fake is not made.workers[0] or len(made.running(name)) == 1:
                    fake.end(run, "done")
            made.settle()
    return made


def place_urgent(pool: pools.Pool) -> set[pools.FakeWorker]:
    """Place an urgent gang of two; give where it runs."""
    gang = pools.step(2, gpus=8, gang=True, same_rack=True)
    pool.submit("a" * 16, pools.spec(gang, queue="urgent"))
    pool.settle()
    return {*pool.running("a" * 16).values()}


def test_urgent_work_keeps_away_from_a_slow_host(pool: pools.Pool) -> None:
    """Late on phulrenu-kl: a run took 13.3 s where another took 10.2."""
    assert place_urgent(pool) == {*pool.workers[1:]}


def test_successor_knows_the_slow_hosts(pool: pools.Pool) -> None:
    pool.take_over()
    pool.settle()
    assert place_urgent(pool) == {*pool.workers[1:]}


def test_urgent_work_takes_a_slow_host_before_it_waits(
    pool: pools.Pool,
) -> None:
    pool.workers[1].draining = True
    pool.settle()
    assert place_urgent(pool) == {pool.workers[0], pool.workers[2]}
