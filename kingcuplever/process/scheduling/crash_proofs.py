"""Confirms that a crash under a group alone on its worker was the group's.

A worker that goes down and up by itself also crashes under groups that are
alone on it.  So a crash proves something only once the worker's host has
stayed up without the group for as long as the group must survive.  Until then
it is unconfirmed, and a group with as many crashes as would end its job
waits.  A host that crashes while nothing is at work there is unstable: its
unconfirmed crashes are dropped, and those of the next time prove nothing.
"""

from typing import Final

from kingcuplever import logs
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model

# Crashes, confirmed or not, after which a group waits for the confirmation.
MAX_PROVEN: Final = 3
# How long a host that has crashed without a cause counts as unstable.
_UNSTABLE_S: Final = 30.0
# Bounds the time for which a host must stay up.
_MAX_TRIAL_S: Final = 6.0
# A host that is not back by then can confirm nothing.
_MAX_ABSENCE_S: Final = 15.0
# Time for a host that is up to report to a new owner.
_MIN_RESTORED_S: Final = 3.0
# Longer than the period of the checks, which extend it.
_HOLD_S: Final = 0.5


class _Trial:
    """A host that must stay up to confirm a crash.

    :ivar absent_since: monotonic time since when no worker is up there.
    :ivar worker: the incarnation that is up without the group, or empty.
    :ivar up_since: monotonic time since when it has been up.
    """

    def __init__(self, host: str, now: float) -> None:
        self.host = host
        self.absent_since = now
        self.worker = ""
        self.up_since = 0.0


class CrashProofs:
    """The unconfirmed crashes of one owner's term.

    A takeover restores them from the jobs' records and starts their trials
    anew, but for the time that a host may be absent; which hosts are unstable
    is forgotten.

    :ivar log_lines: what was confirmed or dropped, for the scheduler's log.
    """

    def __init__(self) -> None:
        """Start without crashes."""
        self._trials: dict[job_state.Group, list[_Trial]] = {}
        self._unstable_until: dict[str, float] = {}
        self.log_lines: list[tuple[logs.Component, str]] = []

    def is_unstable(self, host: str, now: float) -> bool:
        """Return whether a host's crashes prove nothing at present."""
        return now < self._unstable_until.get(host, 0.0)

    def add(self, group: job_state.Group, host: str, now: float) -> None:
        """Add a crash of a host's worker under a group that was alone."""
        trials = self._trials.setdefault(group, [])
        trials.append(_Trial(host, now))
        self._set_unconfirmed(group, trials)

    def restore(self, group: job_state.Group, now: float) -> None:
        """Take over the unconfirmed crashes in a group's record."""
        hosts = group.crashes.unconfirmed
        if hosts:
            # The group waits since the last of these crashes.
            since = group.ready_at if group.phase == job_state.WAITING else now
            since = max(since, now + _MIN_RESTORED_S - _MAX_ABSENCE_S)
            self._trials[group] = [_Trial(host, since) for host in hosts]
            self.hold(group, now)

    def forget(self, group: job_state.Group) -> None:
        """Drop the unconfirmed crashes of a group that has survived."""
        self._trials.pop(group, None)

    def record_idle_crash(self, host: str, now: float) -> list[str]:
        """Record that a host's worker crashed with nothing at work on it.

        :return: names of the jobs whose record has changed.
        """
        self._unstable_until = {
            name: until
            for name, until in self._unstable_until.items()
            if until > now
        }
        self._unstable_until[host] = now + _UNSTABLE_S
        changed = []
        for group, trials in [*self._trials.items()]:
            kept = [trial for trial in trials if trial.host != host]
            if len(kept) < len(trials):
                self._log(group, f"{host} crashed without it; not counted")
                self._replace(group, kept, now)
                changed.append(group.job.name)
        return changed

    def check(
        self, workers: dict[str, fleet.Worker], now: float
    ) -> list[job_state.Group]:
        """Advance the trials.

        :return: the groups whose record has changed.
        """
        if not self._trials:
            return []
        up = {
            worker.side: worker.name
            for worker in workers.values()
            if worker.has_reported
            and worker.is_connected
            and not worker.is_unreachable
        }
        changed = []
        for group, trials in [*self._trials.items()]:
            if group.phase == job_state.DONE or group.job.has_ended:
                del self._trials[group]
                continue
            kept = [
                trial
                for trial in trials
                if not self._has_ended(trial, group, up, now)
            ]
            if len(kept) < len(trials):
                changed.append(group)
            self._replace(group, kept, now)
        return changed

    def hold(self, group: job_state.Group, now: float) -> None:
        """Let a group wait if its crashes would end its job if confirmed."""
        crashes = group.crashes
        if group.spec.long_running:
            return
        if crashes.unconfirmed and count_crashes(crashes) >= MAX_PROVEN:
            group.not_before = max(group.not_before, now + _HOLD_S)

    def _has_ended(
        self,
        trial: _Trial,
        group: job_state.Group,
        up: dict[str, str],
        now: float,
    ) -> bool:
        """Advance one trial; count its crash as proven if it is confirmed."""
        worker = up.get(trial.host, "")
        if worker and worker in group.assigned_workers:
            # Its run there decides; it shows nothing about the host.
            trial.worker = ""
            trial.absent_since = now
            return False
        if worker != trial.worker:
            trial.worker = worker
            trial.up_since = now
        if not worker:
            if now - trial.absent_since <= _MAX_ABSENCE_S:
                return False
            self._log(group, f"{trial.host} is not back; not counted")
            return True
        trial.absent_since = now
        trial_s = min(group.crashes.alone_ms / 1000, _MAX_TRIAL_S)
        if now - trial.up_since < trial_s:
            return False
        proven = group.crashes.proven + 1
        group.crashes = group.crashes._replace(proven=proven)
        self._log(
            group,
            f"{trial.host} has been up without it for {trial_s:.1f} s;"
            f" {proven} proven",
        )
        return True

    def _replace(
        self, group: job_state.Group, trials: list[_Trial], now: float
    ) -> None:
        """Set the trials that go on, and whether the group waits."""
        self._set_unconfirmed(group, trials)
        if trials:
            self._trials[group] = trials
        else:
            del self._trials[group]
        self.hold(group, now)

    def _set_unconfirmed(
        self, group: job_state.Group, trials: list[_Trial]
    ) -> None:
        hosts = tuple(trial.host for trial in trials)
        group.crashes = group.crashes._replace(unconfirmed=hosts)

    def _log(self, group: job_state.Group, result: str) -> None:
        text = f"Crash under {group.tasks[0]}: {result}."
        self.log_lines.append((logs.Component.TASK, text))


def count_crashes(history: model.CrashHistory) -> int:
    """Return how often a worker crashed under a group that was alone."""
    return history.proven + len(history.unconfirmed)
