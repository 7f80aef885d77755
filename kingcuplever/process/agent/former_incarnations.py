"""Keeps the ended incarnations of a worker that are still to be reported.

A start that was sent to an ended incarnation may arrive late.  A worker with
another id rejects it, but one that has restarted under the same id carries it
out.  So the runs of the former incarnation are stopped at the new one first,
which prevents their start, and the end is reported after that.
"""

from typing import Final
from typing import NamedTuple

import trio

from kingcuplever import errors
from kingcuplever import logs
from kingcuplever.process.agent import executor as executors
from kingcuplever.process.scheduling import fleet

# A call under way when its incarnation ends may take effect for this long.
_CALL_IN_FLIGHT_S: Final = 2.0


class EndedIncarnation(NamedTuple):
    """An incarnation whose end the owner has not recorded yet.

    :ivar runs: the runs that had started there.
    :ivar crashed: whether it has crashed while in contact.
    """

    registration: executors.Registration
    runs: tuple[fleet.RunningTask, ...]
    crashed: bool


class FormerIncarnations:
    """The ended incarnations, and their runs that late calls may start."""

    def __init__(self, worker: executors.Executor, late_call_s: float) -> None:
        """Start without ended incarnations.

        :param late_call_s: how late the worker may carry out a call.
        """
        self._worker = worker
        self._late_call_s = max(late_call_s, _CALL_IN_FLIGHT_S)
        self._ended: list[EndedIncarnation] = []
        # Monotonic time until which a call that was sent may start a run, by
        # the worker's id and the run.
        self._late_starts: dict[tuple[str, fleet.RunId], float] = {}
        # Ids of the workers whose ends wait until late calls are prevented.
        self._held_ids: set[str] = set()
        # Incarnation that is asked to stop runs, and those it has stopped.
        self._stopping_at = ""
        self._stopped: set[fleet.RunId] = set()

    def expect_late_start(self, incarnation: str, run: fleet.RunId) -> bool:
        """Record that a start is sent, which may take effect late.

        :return: whether none was recorded before.
        """
        key = fleet.worker_id_of(incarnation), run
        is_new = key not in self._late_starts
        self._late_starts[key] = trio.current_time() + self._late_call_s
        return is_new

    def forget_late_start(self, incarnation: str, run: fleet.RunId) -> None:
        """Record that a start was answered, or was never sent."""
        key = fleet.worker_id_of(incarnation), run
        self._late_starts.pop(key, None)

    def add(self, ended: EndedIncarnation, is_restart: bool) -> None:
        """Add an ended incarnation.

        :param is_restart: whether the worker is back under the same id; the
            end is not reported until its runs are stopped there.
        """
        incarnation = ended.registration.incarnation
        worker_id = fleet.worker_id_of(incarnation)
        for row in ended.runs:
            run = fleet.RunId(row.task, row.run)
            self.expect_late_start(incarnation, run)
        if is_restart and self._find_late_starts(worker_id):
            self._held_ids.add(worker_id)
        self._ended.append(ended)

    def list_reportable(self) -> list[EndedIncarnation]:
        """Return the ended incarnations of which nothing can start."""
        self._expire_late_starts()
        return [
            ended
            for ended in self._ended
            if fleet.worker_id_of(ended.registration.incarnation)
            not in self._held_ids
        ]

    def remove(self, incarnation: str) -> None:
        """Remove an incarnation whose end is recorded."""
        self._ended = [
            ended
            for ended in self._ended
            if ended.registration.incarnation != incarnation
        ]

    def release(self, worker_id: str) -> None:
        """Report the ends of an id, as a worker with another id answers."""
        self._held_ids.discard(worker_id)

    async def settle(
        self, incarnation: str, epoch: int, task_list: executors.TaskList
    ) -> bool:
        """Stop the runs that late calls may start at an incarnation.

        :param task_list: newest list of the incarnation.
        :return: whether none of them runs there or can start; call again
            with a newer list if not.
        """
        self._expire_late_starts()
        worker_id = fleet.worker_id_of(incarnation)
        for held_id in self._held_ids - {worker_id}:
            self.release(held_id)
        if incarnation != self._stopping_at:
            self._stopping_at = incarnation
            self._stopped = set()
        runs = self._find_late_starts(worker_id)
        running = {fleet.RunId(r.task, r.run) for r in task_list.running}
        missing = runs - self._stopped
        for run in sorted(missing):
            if not await self._stop(incarnation, run, epoch):
                break
        if missing or runs & running:
            for run in runs:
                self.expect_late_start(incarnation, run)
            return False
        # They stay known, as the next incarnation must stop them as well.
        self.release(worker_id)
        return True

    async def _stop(
        self, incarnation: str, run: fleet.RunId, epoch: int
    ) -> bool:
        """Stop a run; return whether the worker has answered."""
        try:
            if not await self._worker.stop(incarnation, run, epoch):
                return False
        except errors.KingcupleverError as error:
            text = f"Stop of {run.task} run {run.run}: {error.detail}"
            logs.warn(logs.Component.TASK, text)
            return False
        self._stopped.add(run)
        return True

    def _find_late_starts(self, worker_id: str) -> set[fleet.RunId]:
        return {run for key, run in self._late_starts if key == worker_id}

    def _expire_late_starts(self) -> None:
        """Drop the runs that no late call can start any more."""
        now = trio.current_time()
        for key, until in [*self._late_starts.items()]:
            if now >= until:
                del self._late_starts[key]
        open_ids = {worker_id for worker_id, _ in self._late_starts}
        self._held_ids &= open_ids
