"""The stand-in executors' gangs: members begin and end together."""

import pytest
from standins import gang_runs

TASKS = ("5c0e7a21d94b36f8.0.0.0", "5c0e7a21d94b36f8.0.0.1")
RUN = 1


@pytest.fixture
def events() -> list[str]:
    """Return what members were told, in its order."""
    return []


@pytest.fixture
def runs() -> gang_runs.GangRuns:
    """Return gang runs of a deployment without any."""
    return gang_runs.GangRuns()


def join(
    runs: gang_runs.GangRuns, events: list[str], task: str, run: int = RUN
) -> None:
    """Add a member of a gang of two that notes what it is told."""
    member = gang_runs.Member(
        lambda: events.append(f"{task[-1]} begins"),
        lambda outcome: events.append(f"{task[-1]} {outcome}"),
    )
    runs.join(task, run, len(TASKS), member)


# Guards against work that begins before all members are there.
def test_work_begins_with_the_last_member(
    runs: gang_runs.GangRuns, events: list[str]
) -> None:
    join(runs, events, TASKS[0])
    assert not events
    join(runs, events, TASKS[1])
    assert events == ["0 begins", "1 begins"]


# Guards against members of two runs that count as one gang.
def test_members_of_another_run_do_not_count(
    runs: gang_runs.GangRuns, events: list[str]
) -> None:
    join(runs, events, TASKS[0])
    join(runs, events, TASKS[1], RUN + 1)
    assert not events


# Guards against a member that works on after another one has ended.
@pytest.mark.parametrize(
    ("outcome", "others"),
    [("done", "done"), ("stopped", "broken"), ("crashed", "broken")],
)
def test_members_end_together(
    runs: gang_runs.GangRuns, events: list[str], outcome: str, others: str
) -> None:
    for task in TASKS:
        join(runs, events, task)
    runs.leave(TASKS[0], RUN, outcome)
    assert events[2:] == [f"1 {others}"]
