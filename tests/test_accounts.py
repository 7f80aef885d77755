"""Guaranteed shapes, limits and plans, with no process and no clock."""

import itertools
import random
from typing import Any

import hypothesis
from hypothesis import strategies as st
from kingcuplever import intents
from kingcuplever.process.owner import planner
from kingcuplever.process.scheduling import bindings
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import intent_table
import pytest
from tests import pool

LEVELS = ("accelerator", "pair", "quad", "worker")


def account(name: str, *shapes: tuple[Any, int], **more: Any) -> Any:
    """State an account in the hall."""
    guarantees = tuple(intents.Guarantee(*shape) for shape in shapes)
    return intents.AccountSpec(name, "hall", guarantees, **more)


def gang(
    name: str,
    owner: str,
    tasks: int = 1,
    gpus: int = 8,
    **more: Any,
) -> intents.GangSpec:
    """State a job."""
    shape = intents.TaskShape(gpus, gpus * 2.0, gpus * 4.0)
    return intents.GangSpec(name, owner, "hall", tasks, shape, 30.0, **more)


def started(*accounts: intents.AccountSpec, workers: int = 6) -> pool.Pool:
    """Start an owner to which accounts have been stated."""
    running = pool.Pool(workers)
    running.scheduler.set_policy(model.Policy(1, {}, {}, accounts))
    running.advance_time(1.0)
    return running


def submit(running: pool.Pool, spec: intents.GangSpec) -> None:
    """Hand in what a confirmed plan makes."""
    job = planner.make_job(spec, f"plan of {spec.job}", 3, 0, True)
    running.submit(spec.job, job)


def known(running: pool.Pool, *accounts: intents.AccountSpec) -> Any:
    """Give what plans are drawn from."""
    board = intent_table.IntentTable()
    for spec in accounts:
        board.apply_record(spec)
    return planner.PlannerInput(
        board,
        running.table.jobs,
        running.scheduler.accounts,
        tuple(running.scheduler.workers.values()),
    )


def check_bindings(running: pool.Pool) -> None:
    """Cells lie on usable workers and add up to no more than they have."""
    bound = running.scheduler.accounts.bindings
    promised: dict[str, int] = {}
    for spec in running.scheduler.accounts.specs():
        cells = bound.gpus_by_worker(bindings.account_id(spec))
        for name, gpus in cells.items():
            promised[name] = promised.get(name, 0) + gpus
    for name, gpus in promised.items():
        assert gpus <= running.scheduler.workers[name].capacity.gpus


def test_guaranteed_gang_starts_in_a_full_pool() -> None:
    running = started(account("maps", ("worker", 2)), account("species"))
    for number in range(12):
        submit(running, gang(f"s{number}", "species", gpus=4))
    running.settle()
    submit(running, gang("map", "maps", tasks=2))
    running.settle(8)
    assert len(running.running_tasks("map")) == 2
    assert sum(len(running.running_tasks(f"s{n}")) for n in range(12)) == 8


def test_covered_work_is_spared_where_guarantees_meet() -> None:
    accounts = (account("maps", ("worker", 3)), account("dawn", ("worker", 3)))
    running = started(*accounts)
    for number in range(3):
        submit(running, gang(f"d{number}", "dawn"))
    running.settle(8)
    submit(running, gang("map", "maps", tasks=3))
    running.settle(8)
    assert len(running.running_tasks("map")) == 3
    for number in range(3):
        assert len(running.running_tasks(f"d{number}")) == 1


def test_scattered_small_work_of_one_guarantee_does_not_block_another() -> (
    None
):
    """Two whole workers, one promised to each; small work on both."""
    accounts = (account("a", ("worker", 1)), account("b", ("worker", 1)))
    running = started(*accounts, workers=2)
    for number in range(12):
        submit(running, gang(f"a{number}", "a", gpus=1))
    running.settle(8)
    submit(running, gang("b", "b"))
    running.settle(8)
    assert len(running.running_tasks("b")) == 1


def test_more_than_the_promised_shape_is_not_reclaimed() -> None:
    running = started(account("maps", ("quad", 1)), account("species"))
    for number in range(6):
        submit(running, gang(f"s{number}", "species"))
    running.settle(8)
    submit(running, gang("map", "maps"))
    running.settle(8)
    assert running.running_tasks("map") == {}
    submit(running, gang("small", "maps", gpus=4))
    running.settle(8)
    assert len(running.running_tasks("small")) == 1


def test_work_over_its_cells_share_of_cores_is_not_covered() -> None:
    running = started(account("maps", ("quad", 1)), account("species"))
    for number in range(6):
        submit(running, gang(f"s{number}", "species"))
    running.settle(8)
    shape = intents.TaskShape(4, 120.0, 16.0)
    hungry = intents.GangSpec("map", "maps", "hall", 1, shape, 30.0)
    submit(running, hungry)
    running.settle(8)
    assert running.running_tasks("map") == {}


def test_account_and_team_keep_to_their_limits() -> None:
    spec = account("maps", max_gpus=16, teams={"night": 8})
    running = started(spec)
    for number in range(4):
        submit(running, gang(f"m{number}", "maps"))
    running.settle(8)
    assert sum(len(running.running_tasks(f"m{n}")) for n in range(4)) == 2
    other = started(spec)
    for number in range(2):
        submit(other, gang(f"n{number}", "maps", team="night"))
    other.settle(8)
    assert sum(len(other.running_tasks(f"n{n}")) for n in range(2)) == 1


def test_cells_move_when_their_worker_is_lost() -> None:
    running = started(account("maps", ("worker", 2)), workers=3)
    bound = running.scheduler.accounts.bindings
    before = bound.gpus_by_worker(("maps", "hall"))
    lost = next(w for w in running.workers if w.name in before)
    running.workers.remove(lost)
    running.advance_time(running.timing.lost_after_s + 1.0)
    after = bound.gpus_by_worker(("maps", "hall"))
    assert lost.name not in after
    assert sum(after.values()) == 16
    check_bindings(running)


def test_gang_that_starves_has_room_kept_for_it() -> None:
    """Small work fills every gap that a large gang waits for."""
    policy = model.Policy(1, {}, {}, (account("x"),), starvation_s=5.0)
    starved, served = (
        pool.Pool(2),
        pool.Pool(2),
    )
    starved.scheduler.set_policy(policy._replace(starvation_s=1e9))
    served.scheduler.set_policy(policy)
    for running in (starved, served):
        names = itertools.count()
        for _ in range(4):
            submit(running, gang(f"s{next(names)}", "x", gpus=4))
        running.settle()
        submit(running, gang("map", "x", tasks=2))
        for _ in range(30):
            submit(running, gang(f"s{next(names)}", "x", gpus=4))
            running.advance_time(0.6)
            oldest = min(
                (
                    (run, fake)
                    for fake in running.workers
                    for run in fake.running
                    if run.task.startswith("s")
                ),
                default=None,
                key=lambda item: int(item[0].task[1:].partition(".")[0]),
            )
            if oldest is not None:
                oldest[1].end_run(oldest[0], "done")
    assert len(starved.running_tasks("map")) == 0
    assert len(served.running_tasks("map")) == 2


def test_room_kept_for_starving_work_does_not_hold_a_guarantee_up() -> None:
    """Dawn maps waited 473 s behind a gang that waited longer."""
    accounts = (account("maps", ("worker", 2)), account("species"))
    running = pool.Pool(3)
    policy = model.Policy(1, {}, {}, accounts, starvation_s=5.0)
    running.scheduler.set_policy(policy)
    running.advance_time(1.0)
    for number in range(6):
        submit(running, gang(f"s{number}", "species", gpus=4))
    submit(running, gang("large", "species", tasks=3))
    running.advance_time(8.0)
    assert not running.running_tasks("large")
    submit(running, gang("map", "maps", tasks=2))
    running.settle(8)
    assert len(running.running_tasks("map")) == 2


shapes = st.lists(
    st.tuples(st.sampled_from(LEVELS), st.integers(1, 4)), max_size=3
)


@hypothesis.given(
    st.lists(shapes, min_size=1, max_size=4),
    st.integers(0, 10_000),
)
@hypothesis.settings(max_examples=60)
def test_promised_shapes_can_be_had_at_any_time(
    wanted: list[Any], seed: int
) -> None:
    """Accounts as plans allow them; random work; then each shape at once."""
    rng = random.Random(seed)
    running = started(workers=6)
    accepted: list[intents.AccountSpec] = []
    for number, levels in enumerate(wanted):
        spec = account(f"a{number}", *levels)
        intent = intents.Intent("account", account=spec)
        if planner.draft(known(running, *accepted), intent).refusal:
            continue
        accepted.append(spec)
        policy = model.Policy(1, {}, {}, tuple(accepted))
        running.scheduler.set_policy(policy)
        running.advance_time(0.5)
    check_bindings(running)
    for number in range(rng.randrange(30)):
        owner = f"a{rng.randrange(len(wanted))}"
        size = rng.choice((1, 2, 4, 8))
        spec = gang(f"j{number}", owner, rng.choice((1, 1, 2)), size)
        submit(running, spec)
        running.settle(2)
    running.advance_time(1.0)
    for spec in accepted:
        for number, guarantee in enumerate(spec.guarantees):
            cell = {"worker": 8}.get(
                guarantee.level, intents.LEVEL_GPUS.get(guarantee.level, 8)
            )
            for job in running.scheduler.jobs.values():
                if job.spec.account == spec.account and not job.has_ended:
                    running.cancel(job.name)
            running.advance_time(1.0)
            name = f"due-{spec.account}-{number}"
            submit(running, gang(name, spec.account, guarantee.cells, cell))
            running.advance_time(4.0)
            assert len(running.running_tasks(name)) == guarantee.cells
            check_bindings(running)
            _check_rooms(running)


def _check_rooms(running: pool.Pool) -> None:
    for worker in running.scheduler.workers.values():
        assert worker.free.gpus >= 0
        assert worker.free.cpu_milli >= 0


@pytest.mark.parametrize(
    ("intent", "reason"),
    [
        (intents.Intent("account"), "names no account"),
        (
            intents.Intent("account", account=account("m", ("worker", 50))),
            "50 adjacent worker cells asked, 6 can be kept",
        ),
        (
            intents.Intent("account", account=account("", ("pair", 1))),
            "must be a name",
        ),
        (
            intents.Intent("account", account=account("m", ("pair", 0))),
            "allowed: 1 or more",
        ),
        (intents.Intent("job", job=gang("j", "nobody")), "is unknown"),
        (intents.Intent("job", job=gang("j", "maps", gpus=9)), "nearest"),
        (intents.Intent("job", job=gang("j", "maps", tasks=7)), "6 tasks"),
        (intents.Intent("job", job=gang("j/k", "maps")), "without '/'"),
        (intents.Intent("job", job=gang("j", "maps", team="x")), "Team x"),
        (intents.Intent("stop", stop="j"), "is unknown"),
        (intents.Intent("config", config={}), "changes nothing"),
        (
            intents.Intent(
                "config", config={"scheduling": {"reclaim_ms": -1}}
            ),
            "reclaim_ms is -1",
        ),
    ],
)
def test_refused_plan_says_why(intent: intents.Intent, reason: str) -> None:
    running = started(account("maps", teams={"night": 8}))
    found = planner.draft(
        known(running, account("maps", teams={"night": 8})), intent
    )
    assert reason in found.refusal
    assert found.effects == ()


def test_second_of_two_guarantees_for_the_same_room_is_refused() -> None:
    first = account("maps", ("worker", 4))
    running = started(first)
    second = intents.Intent("account", account=account("x", ("worker", 3)))
    found = planner.draft(known(running, first), second)
    assert "3 adjacent worker cells asked, 2 can be kept" in found.refusal


def test_job_with_dots_in_its_name_is_found_again() -> None:
    running = started(account("maps"))
    submit(running, gang("season.roster.v1", "maps"))
    running.settle(8)
    (run,) = running.running_tasks("season.roster.v1")
    assert model.parse_task_name(run.task) == model.TaskId(
        "season.roster.v1", 0, 0, 0
    )
    group = running.scheduler.jobs["season.roster.v1"].groups()[0]
    assert group.phase == job_state.ASSIGNED
    assert fleet.RunId(group.tasks[0], 1) == run
