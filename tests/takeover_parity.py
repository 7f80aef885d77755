"""Compares an owner's jobs with those of a successor restored from the log.

The successor exists for the comparison only and decides nothing.  What it
would make of the jobs must be what the owner makes of them, but for the
differences that are named here, each with its reason.
"""

from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import scheduler as schedulers
from tests import pool as pools

# Why an owner may be stopping a run that its successor does not stop.
REDECIDED_STOPS: Final = {
    "reclaimed": "the successor looks for room anew, once it knows the pool",
    "stalled": "the worker is avoided then; its clock shows the stall again",
    "drained": "the worker says again when it leaves",
    "maintenance": "the operator's order stands, and the host is empty or not",
    "shrunk": "the worker says again how much room it has",
    "withdrawn": "the evacuation stands, and the run is listed or not",
    "restarted": "the record names the new incarnation: the run starts there",
}
# How much later than decided a quarantine may be read from the log.
MAX_LATE_S: Final = 0.1
# Most by which the histories set the clock, in either direction.
MAX_CLOCK_STEP_S: Final = 5.1
# The longest wait that a takeover restores.
LONGEST_WAIT_S: Final = 60.0


class GroupView(NamedTuple):
    """What an owner knows of a group that has been placed.

    :ivar workers: worker of each member.
    :ivar stop: first word of the reason why it is being stopped.
    :ivar ready_at: when its last run ended, if it waits for another.
    :ivar waits_longest: whether that was so long ago that it counts as less.
    """

    run: int
    phase: str
    failures: int
    crashes: model.CrashHistory
    checkpoint: str
    avoided: frozenset[str]
    workers: tuple[str, ...]
    stop: str
    ready_at: float
    waits_longest: bool


class JobView(NamedTuple):
    """What an owner knows of a job, and what is left to do of it.

    :ivar groups: the groups that have been placed.
    :ivar lost: occurrences that are neither done nor open nor to be opened.
    :ivar queued: groups that wait for a placement.
    :ivar blocked: groups that wait for another step.
    """

    state: str
    finished: frozenset[int]
    ended_ms: int
    first_placed_ms: int
    evictions: int
    groups: dict[str, GroupView]
    lost: tuple[int, ...]
    queued: frozenset[str]
    blocked: frozenset[str]


def find_differences(pool: pools.Pool) -> list[str]:
    """Return how a successor would differ from a pool's owner.

    Nothing is compared while records of the owner are on their way.
    """
    owner = pool.scheduler
    if _has_unwritten(owner):
        return []
    successor = pool.make_successor()
    differences = []
    for worker in owner.workers.values():
        left_s = worker.quarantined_until - pool.now
        end = successor._state.quarantines.get_end(worker.name)
        if left_s > 0 and abs(end - worker.quarantined_until) > MAX_LATE_S:
            differences.append(f"{worker.name} quarantine: {left_s:.1f} s")
    for name, job in owner.jobs.items():
        if name in owner._state.ended_jobs:
            continue
        before = _view_job(owner, job, pool.now)
        other = successor.jobs.get(name)
        if other is None:
            differences.append(f"{name} is unknown")
            continue
        after = _view_job(successor, other, pool.now)
        for text in _compare_jobs(before, after, job, pool.wall_ms):
            differences.append(f"{name} {text}")
    return differences


def _has_unwritten(owner: schedulers.Scheduler) -> bool:
    state = owner._state
    return bool(state.dirty_jobs or owner._uncommitted)


def _view_job(
    owner: schedulers.Scheduler, job: job_state.Job, now: float
) -> JobView:
    groups = {}
    queued, blocked = set(), set()
    for group in job.groups():
        name = group.tasks[0]
        if not group.is_new():
            groups[name] = _view_group(group, now)
        if group.phase != job_state.WAITING or job.has_ended:
            continue
        occurrence = job.open_occurrences[group.occurrence]
        if group in owner._state.ready_queue:
            queued.add(name)
        elif occurrence.blockers[group.step]:
            blocked.add(name)
        else:
            raise AssertionError(f"{name} waits for nothing")
    lost = tuple(
        number
        for number in range(job.next_occurrence)
        if not job.has_opened(number)
    )
    return JobView(
        job.state,
        frozenset(job.finished_occurrences),
        job.ended_ms,
        job.first_placed_ms,
        job.evictions,
        groups,
        lost,
        frozenset(queued),
        frozenset(blocked),
    )


def _view_group(group: job_state.Group, now: float) -> GroupView:
    return GroupView(
        group.run,
        group.phase,
        group.known_failures,
        group.crashes,
        group.checkpoint,
        frozenset(group.avoided_workers),
        tuple(group.assigned_workers),
        "" if group.has_no_worker else group.stop_reason.partition(" ")[0],
        group.ready_at if group.phase == job_state.WAITING else 0.0,
        now - group.ready_at >= LONGEST_WAIT_S,
    )


def _compare_jobs(
    before: JobView, after: JobView, job: job_state.Job, wall_ms: int
) -> list[str]:
    """Compare an owner's view of a job with its successor's."""
    differences = []
    for field in JobView._fields:
        if field in ("groups", "queued", "blocked"):
            continue
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            differences.append(f"{field}: {old}, then {new}")
    for field in ("queued", "blocked"):
        old, new = getattr(before, field), getattr(after, field)
        # The owner opens what has become due with its next scan; what it has
        # opened may be due again later, once its clock was set back.
        opened = {name for name in new - old if not _is_open(name, job)}
        due_later = {
            name for name in old - new if _is_due_later(name, job, wall_ms)
        }
        if old - due_later != new - opened:
            differences.append(f"{field}: {sorted(old)}, then {sorted(new)}")
    for name in before.groups.keys() | after.groups.keys():
        old_group = before.groups.get(name)
        new_group = after.groups.get(name)
        if old_group is None or new_group is None:
            differences.append(f"{name}: {old_group}, then {new_group}")
            continue
        differences += _compare_groups(name, old_group, new_group)
    return differences


def _is_open(name: str, job: job_state.Job) -> bool:
    return _occurrence_of(name) in job.open_occurrences


def _is_due_later(name: str, job: job_state.Job, wall_ms: int) -> bool:
    return wall_ms < job.spec.due_ms(_occurrence_of(name))


def _occurrence_of(name: str) -> int:
    task = model.parse_task_name(name)
    assert task is not None
    return task.occurrence


def _compare_groups(
    name: str, before: GroupView, after: GroupView
) -> list[str]:
    differences = []
    for field in GroupView._fields:
        if field == "waits_longest":
            continue
        old: Any = getattr(before, field)
        new: Any = getattr(after, field)
        if old == new or _is_allowed(field, before, after):
            continue
        differences.append(f"{name} {field}: {old}, then {new}")
    return differences


def _is_allowed(field: str, before: GroupView, after: GroupView) -> bool:
    """Return whether a successor may differ in a field of a group."""
    if field == "checkpoint":
        # The worker lists its newest checkpoint with each report.
        return before.phase == job_state.ASSIGNED
    if field == "ready_at":
        # The clock may have been set since; more than a minute counts as one.
        late_s = after.ready_at - before.ready_at
        return abs(late_s) <= MAX_CLOCK_STEP_S or after.waits_longest
    if field == "stop" and before.phase == job_state.DONE:
        # Nobody needs what may be left of the run.
        return True
    if field == "stop" and not after.stop:
        return before.stop in REDECIDED_STOPS
    if field == "stop":
        # It is stopped either way; the successor knows that a member left.
        return bool(before.stop)
    return False
