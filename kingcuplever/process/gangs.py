"""The gang protocol of an owner: reserve, commit record, go, shared lease.

One run stands for one attempt of a job.  Orders are repeated until a report
shows that they took effect, so a lost order or answer costs time only.  All
members' leases end at the same moment: the task lease after the member that
was heard least recently.  Room is given back when every member is reported
stopped, or when its lease has surely ended.
"""

from typing import Final

from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import options
from kingcuplever.process import commands
from kingcuplever.process import runs
from kingcuplever import records

# A worker's clock may run slower than the owner's by this much.
_CLOCK_DRIFT: Final = 0.1
# Reservations outlive the reservation round by this factor.
_RESERVE_FACTOR: Final = 3


class Gangs:
    """All runs of one owner, and what its workers' sides report.

    :ivar commands: orders, appends and log lines not yet taken.
    :ivar notices: what the owner should know, not yet taken.
    """

    def __init__(self, timing: options.TimingOptions) -> None:
        """Start without any run."""
        self._lease_s = timing.task_lease_ms / 1000
        self._silence_s = timing.silence_ms / 1000
        self._reserve_s = timing.reserve_ms / 1000
        self._reserve_ttl_ms = timing.reserve_ms * _RESERVE_FACTOR
        self.epoch = 0
        self.runs: dict[runs.Key, runs.Run] = {}
        self.views: dict[str, runs.SideView] = {}
        self.commands: list[commands.Command] = []
        self.notices: list[runs.Notice] = []
        self._runs_on: dict[str, set[runs.Key]] = {}
        self._outstanding: set[tuple[str, runs.Key]] = set()

    def begin(self, run: runs.Run, now: float) -> None:
        """Reserve room for a run on every side."""
        self._add(run)
        run.enter(runs.Stage.RESERVING, now)
        for worker, tasks in run.members.items():
            orders = tuple(self._order_of(run, task) for task in tasks)
            message = messages.Reserve(
                self.epoch, *run.key, orders, self._reserve_ttl_ms
            )
            self._send(worker, run, message)

    def adopt(self, run: runs.Run, stage: runs.Stage, now: float) -> None:
        """Take over a committed run of a past owner.

        Its leases may have been prolonged until just now.
        """
        self._add(run)
        run.enter(stage, now)
        run.reserved.update(run.members)
        run.lease_until = now + self._lease_s * (1 + _CLOCK_DRIFT)

    def committed(self, key: runs.Key, now: float) -> None:
        """Start a run whose commit record has been read back."""
        run = self.runs[key]
        run.enter(runs.Stage.RUNNING, now)
        for worker in run.members:
            self._reconcile(run, worker, now)

    def vacated(
        self, key: runs.Key, final: bool, checkpoint_ms: int, now: float
    ) -> None:
        """Stop a run whose vacate record has been read back."""
        run = self.runs[key]
        run.enter(runs.Stage.STOPPING, now)
        run.final = final
        run.checkpoint_ms = checkpoint_ms
        for worker in run.members:
            self._reconcile(run, worker, now)

    def abort(
        self, key: runs.Key, reason: str, worker: str, now: float
    ) -> None:
        """Give up a run that has no commit record."""
        run = self.runs[key]
        run.enter(runs.Stage.RELEASING, now)
        text = f"Gave up the reservation of {run.name}: {reason}."
        self._say(logs.Part.GANG, text)
        self.notices.append(runs.GaveUp(run.spec.job, worker))
        for member in run.members:
            self._reconcile(run, member, now)

    def ended(self, key: runs.Key) -> None:
        """Forget a run whose end has been read back."""
        run = self.runs.pop(key, None)
        if run is None:
            return
        for worker in run.members:
            self._runs_on[worker].discard(key)

    def hear(self, report: runs.Report, now: float) -> runs.SideView | None:
        """Note what a side said, without acting on it.

        :return: the view, or ``None`` if a newer report is known.
        """
        view = self.views.get(report.worker)
        if view is None:
            view = self.views[report.worker] = runs.SideView(report, now)
        elif not view.is_newer(report):
            return None
        view.update(report, now)
        return view

    def report(self, report: runs.Report, now: float) -> None:
        """Take in what a side said."""
        view = self.hear(report, now)
        if view is None:
            return
        for key in sorted(self._runs_on.get(report.worker, ())):
            self._reconcile(self.runs[key], report.worker, now)
        for key, tasks in view.tasks.items():
            if key not in self.runs and runs.any_alive(tasks):
                self._stop_stranger(report.worker, key)

    def answered(self, worker: str, key: runs.Key) -> None:
        """Note that an order was answered, or surely will not be."""
        self._outstanding.discard((worker, key))

    def refused(
        self, worker: str, key: runs.Key, detail: str, now: float
    ) -> None:
        """Note that a side refused a reservation."""
        run = self.runs.get(key)
        if run is not None and run.stage is runs.Stage.RESERVING:
            self.abort(key, f"{worker} refused: {detail}", worker, now)

    def tick(self, now: float) -> None:
        """Act on what did not happen in time."""
        for run in list(self.runs.values()):
            if run.stage is runs.Stage.RESERVING:
                if now - run.since > self._reserve_s:
                    missing = sorted(set(run.members) - run.reserved)
                    reason = f"{missing[0]} did not reserve in time"
                    self.abort(run.key, reason, missing[0], now)
            elif run.stage is runs.Stage.RUNNING:
                self._check_silence(run, now)
            elif run.stage is runs.Stage.STOPPING:
                self._check_lapse(run, now)
            elif run.stage is runs.Stage.RELEASING:
                if now - run.since > self._reserve_ttl_ms / 1000:
                    self._release(run)

    def leases(
        self, worker: str, now: float
    ) -> tuple[messages.GangLease, ...]:
        """Grant leases to a side that was just heard.

        :return: leases, counted from the sending of the side's report.
        """
        granted = []
        view = self.views.get(worker)
        for key in sorted(self._runs_on.get(worker, ())):
            run = self.runs[key]
            if view is None or run.stage is not runs.Stage.RUNNING:
                continue
            if len(run.started) < len(run.members):
                # Part of the gang alone gets no more than its first lease.
                continue
            until = self._shared_until(run)
            if until is None or until <= now:
                continue
            self._note_lease(run, until)
            ttl_ms = int((until - view.heard_at) * 1000)
            granted.append(messages.GangLease(*key, ttl_ms))
        return tuple(granted)

    def forgettable(self, worker: str) -> tuple[messages.AttemptId, ...]:
        """Give the ended attempts that a side need not report again."""
        view = self.views.get(worker)
        if view is None:
            return ()
        return tuple(
            messages.AttemptId(*key)
            for key, tasks in view.tasks.items()
            if key not in self.runs and not runs.any_alive(tasks)
        )

    def drop_runs(self) -> None:
        """Forget every run, at a change of the epoch."""
        self.runs.clear()
        self._runs_on.clear()
        self._outstanding.clear()
        self.commands.clear()
        self.notices.clear()

    def _add(self, run: runs.Run) -> None:
        self.runs[run.key] = run
        for worker in run.members:
            self._runs_on.setdefault(worker, set()).add(run.key)

    def _reconcile(self, run: runs.Run, worker: str, now: float) -> None:
        """Compare what a side reports with what a run wants of it."""
        view = self.views.get(worker)
        if view is None:
            return
        tasks = view.tasks.get(run.key, {})
        self._note_progress(run, tasks)
        if run.stage is runs.Stage.RESERVING:
            # A past owner may have used the same number for an attempt.
            if view.epoch == self.epoch:
                self._reconcile_reserving(run, worker, tasks, now)
        elif run.stage is runs.Stage.RUNNING:
            self._reconcile_running(run, worker, tasks, now)
        elif run.stage in (runs.Stage.STOPPING, runs.Stage.RELEASING):
            self._reconcile_stopping(run, worker, tasks, now)

    def _note_progress(
        self, run: runs.Run, tasks: dict[int, messages.TaskState]
    ) -> None:
        for task, known in tasks.items():
            before = run.checkpoints.get(task, 0.0)
            run.checkpoints[task] = max(before, known.progress)

    def _reconcile_reserving(
        self,
        run: runs.Run,
        worker: str,
        tasks: dict[int, messages.TaskState],
        now: float,
    ) -> None:
        if len(tasks) < len(run.members[worker]):
            return
        if any(t.phase != messages.RESERVED for t in tasks.values()):
            return
        run.reserved.add(worker)
        if len(run.reserved) == len(run.members):
            run.enter(runs.Stage.COMMITTING, now)
            self.commands.append(commands.Append(run.commit))

    def _reconcile_running(
        self,
        run: runs.Run,
        worker: str,
        tasks: dict[int, messages.TaskState],
        now: float,
    ) -> None:
        for number in run.members[worker]:
            task = tasks.get(number)
            if number in run.done:
                continue
            if task is None:
                self._vacate(run, "broken", f"{worker} lost it", now)
                return
            if task.phase == messages.FAILED:
                self.notices.append(runs.TaskFailed(worker, run.spec.job))
                cause = f"failed on {worker}: {task.detail}"
                self._vacate(run, "failed", cause, now, worker)
                return
            if task.phase == messages.STOPPED:
                cause = f"stopped on {worker}: {task.detail}"
                self._vacate(run, "broken", cause, now)
                return
            if task.phase == messages.DONE:
                run.done.add(number)
                self.notices.append(runs.TaskDone(worker, run.spec.job))
        if any(t.phase == messages.RESERVED for t in tasks.values()):
            self._go(run, worker, now)
        else:
            run.started.add(worker)
        if len(run.done) == len(run.commit.slots):
            self._end(run, "done", now)

    def _reconcile_stopping(
        self,
        run: runs.Run,
        worker: str,
        tasks: dict[int, messages.TaskState],
        now: float,
    ) -> None:
        if runs.any_alive(tasks):
            message = messages.Stop(self.epoch, *run.key, run.checkpoint_ms)
            self._send(worker, run, message)
            return
        if (worker, run.key) in self._outstanding:
            # A reservation may be on its way still.
            return
        run.stopped.add(worker)
        if len(run.stopped) < len(run.members):
            return
        if run.stage is runs.Stage.RELEASING:
            self._release(run)
        else:
            self._end(run, "vacated", now)

    def _release(self, run: runs.Run) -> None:
        self.ended(run.key)
        self.notices.append(runs.Released(*run.key))

    def _go(self, run: runs.Run, worker: str, now: float) -> None:
        until = self._shared_until(run)
        if until is None or until <= now:
            return
        self._note_lease(run, until)
        view = self.views[worker]
        ttl_ms = int((until - view.heard_at) * 1000)
        message = messages.Go(self.epoch, *run.key, view.sequence, ttl_ms)
        self._send(worker, run, message)

    def _shared_until(self, run: runs.Run) -> float | None:
        """Give the moment at which every member's lease may end."""
        heard = []
        for worker in run.open_members():
            view = self.views.get(worker)
            if view is None:
                return None
            heard.append(view.heard_at)
        return min(heard) + self._lease_s if heard else None

    def _note_lease(self, run: runs.Run, until: float) -> None:
        # The owner waits longer than the side by the drift of clocks.
        safe = until + self._lease_s * _CLOCK_DRIFT
        run.lease_until = max(run.lease_until, safe)

    def _check_silence(self, run: runs.Run, now: float) -> None:
        for worker in run.open_members():
            view = self.views.get(worker)
            heard_at = run.since if view is None else view.heard_at
            if now - max(heard_at, run.since) > self._silence_s:
                cause = f"{worker} is silent for {now - heard_at:.1f} s"
                self._vacate(run, "broken", cause, now)
                return

    def _check_lapse(self, run: runs.Run, now: float) -> None:
        """End a run whose unheard members' leases have surely ended."""
        if now <= run.lease_until:
            return
        for worker in set(run.members) - run.stopped:
            view = self.views.get(worker)
            if view is not None and now - view.heard_at < self._silence_s:
                # It is heard, so its own report decides.
                return
        run.proof = "lease ended"
        self._end(run, "vacated", now)

    def _vacate(
        self,
        run: runs.Run,
        reason: str,
        cause: str,
        now: float,
        worker: str = "",
    ) -> None:
        run.enter(runs.Stage.ENDING, now)
        body = records.Vacate(*run.key, reason, cause, worker)
        self.commands.append(commands.Append(body))
        self._say(logs.Part.GANG, f"Stopping {run.name}: {cause}.")

    def _end(
        self, run: runs.Run, outcome: records.Outcome, now: float
    ) -> None:
        run.enter(runs.Stage.ENDING, now)
        tasks = range(len(run.commit.slots))
        progress = min(run.checkpoints.get(task, 0.0) for task in tasks)
        final = outcome == "done" or run.final
        body = records.Ended(
            *run.key, outcome, max(progress, run.progress), run.proof, final
        )
        self.commands.append(commands.Append(body))
        self._say(logs.Part.GANG, f"Ended {run.name}: {outcome}, {run.proof}.")

    def _stop_stranger(self, worker: str, key: runs.Key) -> None:
        """Stop an attempt that no record lets run."""
        if (worker, key) in self._outstanding:
            return
        self._outstanding.add((worker, key))
        message = messages.Stop(self.epoch, *key, 0)
        self.commands.append(commands.Order(worker, message))
        text = f"Stopping {key[0]}#{key[1]} on {worker}: no record of it."
        self._say(logs.Part.GANG, text)

    def _order_of(self, run: runs.Run, task: int) -> messages.TaskOrder:
        slot = run.commit.slots[task]
        shape = run.spec.shape
        return messages.TaskOrder(
            task,
            slot.gpu_mask,
            shape.cores,
            shape.memory_gb,
            run.spec.payload,
            run.progress,
        )

    def _send(
        self,
        worker: str,
        run: runs.Run,
        message: messages.Reserve | messages.Go | messages.Stop,
    ) -> None:
        if (worker, run.key) in self._outstanding:
            return
        self._outstanding.add((worker, run.key))
        self.commands.append(commands.Order(worker, message))

    def _say(self, part: logs.Part, text: str) -> None:
        self.commands.append(commands.Say(part, text))
