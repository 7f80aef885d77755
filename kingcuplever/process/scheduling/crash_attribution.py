"""Attributes the crash of a worker to the task that has caused it.

A worker that crashes takes all its runs along, so a crash counts only for a
group that was alone on its worker, once :mod:`crash_proofs` has confirmed it.
The runs on a shared worker come under suspicion, those that had just started
more than the others.  A suspect runs alone next, until it has been at work for
longer than when the worker crashed: then it is cleared, or a crash counts.
"""

from collections.abc import Iterable
from typing import Final

from kingcuplever import logs
from kingcuplever.process.scheduling import crash_proofs
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import scheduler_state

# Suspicion from which a group runs alone.
_SUSPECT: Final = 2
# Suspicion from which it waits for workers with nothing else on them.
_STRONG_SUSPECT: Final = 4
# Weight of a crash for a run that had just started, and for another one.
_FRESH_WEIGHT: Final = 2
_SETTLED_WEIGHT: Final = 1
# Time at work below which a run counts as just started.
FRESH_S: Final = 2.0
# A suspect must be at work for so much longer than when the worker crashed.
_SURVIVAL_FACTOR: Final = 1.5


def rate_suspect(group: job_state.Group) -> int:
    """Return how strongly a group is suspected.

    :return: 0 for little suspicion; from 1 on, only an idle worker shows
        whether the group crashes it.
    """
    crashes = group.crashes
    count = crash_proofs.count_crashes(crashes)
    return count + crashes.suspicion // _STRONG_SUSPECT


def is_fresh(group: job_state.Group, now: float) -> bool:
    """Return whether a group's run has just started, or not even that."""
    return group.get_time_at_work_s(now) < FRESH_S


def attribute_crash(
    state: scheduler_state.SchedulerState,
    worker: fleet.Worker,
    started: Iterable[fleet.RunningTask],
    now: float,
) -> None:
    """Attribute a crash to the groups that were on the worker.

    A run counts once: not if it had lost a member before.

    :param started: the runs that had started there.
    """
    host = worker.side
    there = {state.find_group(run) for run in worker.allocations}
    runs = [fleet.RunId(row.task, row.run) for row in started]
    is_alone = (
        len(there) == 1
        and None not in there
        and not worker.orphans
        and all(state.find_group(run) in there for run in runs)
    )
    suspects = {
        group: None
        for group in map(state.find_group, runs)
        if group in there and group is not None and group.is_whole
    }
    verdict = "suspected"
    if not suspects:
        verdict = "neither"
        if not runs and not worker.orphans:
            verdict = "idle"
            for job in state.crash_proofs.record_idle_crash(host, now):
                state.dirty_jobs[job] = None
    elif state.crash_proofs.is_unstable(host, now):
        verdict = "unstable"
        suspects.clear()
    elif is_alone:
        verdict = "unconfirmed"
    state.crash_counts[verdict] = state.crash_counts.get(verdict, 0) + 1
    for group in suspects:
        group.crashes = _add_crash(group, worker.listed_at, is_alone)
        if is_alone:
            state.crash_proofs.add(group, host, now)
        state.dirty_jobs[group.job.name] = None
        history = group.crashes
        text = (
            f"{worker.name} crashed under {group.tasks[0]} run {group.run},"
            f" {'alone' if is_alone else f'one of {len(there)} groups'}:"
            f" {history.proven} crashes proven,"
            f" {len(history.unconfirmed)} unconfirmed, suspicion"
            f" {history.suspicion}, alone for {history.alone_ms} ms next."
        )
        state.queue_log_line(logs.Component.TASK, text)


def clear_survivor(
    state: scheduler_state.SchedulerState, group: job_state.Group, now: float
) -> None:
    """Clear a suspect that has been at work long enough.

    It has outlasted its crashes, so they were not its own.
    """
    at_work_s = group.get_time_at_work_s(now)
    if not group.is_listed or at_work_s * 1000 < group.crashes.alone_ms:
        return
    group.crashes = model.NO_CRASHES
    state.crash_proofs.forget(group)
    state.isolated_groups.pop(group, None)
    state.dirty_jobs[group.job.name] = None
    state.needs_placement = True
    text = (
        f"{group.tasks[0]} run {group.run} has been at work alone for"
        f" {at_work_s:.1f} s; other tasks may join it."
    )
    state.queue_log_line(logs.Component.TASK, text)


def _add_crash(
    group: job_state.Group, crashed_at: float, is_alone: bool
) -> model.CrashHistory:
    """Return a group's history with one more crash."""
    history = group.crashes
    at_work_s = group.get_time_at_work_s(crashed_at)
    suspicion = history.suspicion
    if not is_alone:
        is_fresh_run = at_work_s < FRESH_S
        suspicion += _FRESH_WEIGHT if is_fresh_run else _SETTLED_WEIGHT
    alone_ms = history.alone_ms
    count = crash_proofs.count_crashes(history)
    if is_alone or count or suspicion >= _SUSPECT:
        needed_s = FRESH_S + at_work_s * _SURVIVAL_FACTOR
        alone_ms = max(alone_ms, int(needed_s * 1000))
    return history._replace(suspicion=suspicion, alone_ms=alone_ms)
