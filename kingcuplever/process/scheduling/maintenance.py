"""Empties workers' hosts for maintenance, few at a time, and says when.

The operator orders rounds: which hosts, within how long, how many at once.
A host that is about to go down gets no new work; what runs there may end,
and only what has not by the time that the round can wait is stopped.  A host
is taken down once nothing of ours is on it.  Pure: time is passed in, and the
caller carries the steps out.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Final

from kingcuplever import logs
from kingcuplever.process.scheduling import book as books
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import rounds
from kingcuplever.process.scheduling import work

# First and longest pause before a host that could not go down is tried again.
_RETRY_S: Final = 2.0
_MOST_RETRY_S: Final = 30.0
# A life that is still heard of so long after its host went down has outlived
# it: the step had been carried out before, and the worker takes work again.
_OUTLIVED_S: Final = 5.0


class _Emptying:
    """One host on its way down.

    :ivar stops_at: steady time when what still runs there is stopped.
    """

    def __init__(self, stops_at: float) -> None:
        self.stops_at = stops_at
        self.asked = False


class _OpenRound:
    """A round that is not completed."""

    def __init__(
        self, order: rounds.Round, began_ms: int, done: set[str]
    ) -> None:
        self.order = order
        self.began_ms = began_ms
        self.done = done
        self.emptying: dict[str, _Emptying] = {}
        self.not_before: dict[str, float] = {}
        self.pauses: dict[str, float] = {}


class Maintenance:
    """All rounds, as the owner follows them."""

    def __init__(self, book: books.Book, down_s: float) -> None:
        """Work on a shared book.

        :param down_s: how long a host is down for its maintenance.
        """
        self._book = book
        self._down_s = down_s
        self._rounds: dict[int, _OpenRound] = {}
        self._over: set[int] = set()
        self._closed_until: dict[str, float] = {}
        # A platform that has just kept an empty host up may never let one go
        # down; until it does, only what is empty anyway is tried.
        self._wary = False

    @property
    def is_idle(self) -> bool:
        """Whether no round is open."""
        return not self._rounds

    def load(self, stored: Mapping[int, rounds.RoundProgress]) -> None:
        """Take over how far the past owner came; orders come besides."""
        for progress in stored.values():
            if progress.completed:
                self._over.add(progress.number)
                continue
            order = rounds.Round(progress.number, (), 0.0, 1)
            self._rounds[progress.number] = _OpenRound(
                order, progress.began_ms, {*progress.done}
            )

    def order(self, order: rounds.Round) -> None:
        """Follow an order; one that is over stays so."""
        if order.number in self._over:
            return
        present = self._rounds.get(order.number)
        if present is not None:
            present.order = order
            return
        opened = _OpenRound(order, self._book.wall_ms, set())
        self._rounds[order.number] = opened
        text = (
            f"Maintenance {order.number}: {len(order.hosts)} hosts,"
            f" {order.most_at_once} at once, within {order.within_s:.0f} s."
        )
        self._book.say(logs.Part.MEMBER, text)

    def progress(self) -> list[rounds.RoundProgress]:
        """Give what must last of the open rounds."""
        return [self._progress_of(number) for number in self._rounds]

    def steps(
        self, hosts: Iterable[rounds.Host], now: float
    ) -> list[rounds.Step]:
        """Empty hosts, and give those that are to go down now.

        :param hosts: what the platform lists, all of it.
        """
        listed = {host.name: host for host in hosts}
        self._open_outlived(now)
        steps: list[rounds.Step] = []
        for opened in self._rounds.values():
            self._choose(opened, listed, now)
            for name, emptying in opened.emptying.items():
                host = listed.get(name)
                if host is None or not host.is_up or emptying.asked:
                    continue
                if opened.not_before.get(name, 0.0) > now:
                    continue
                worker = self._worker_on(host)
                if worker is None or not worker.held:
                    emptying.asked = True
                    steps.append(rounds.Step(opened.order.number, name))
                elif now >= emptying.stops_at:
                    self._stop_all(worker)
        return steps

    def took(
        self, step: rounds.Step, outcome: rounds.Outcome, now: float
    ) -> None:
        """Take in what became of a step."""
        opened = self._rounds[step.number]
        text = f"Maintenance {step.number}, {step.host}: {outcome.value}."
        self._book.say(logs.Part.MEMBER, text)
        self._wary = outcome is rounds.Outcome.BUSY
        if outcome in (rounds.Outcome.BEGUN, rounds.Outcome.NOT_PART):
            opened.done.add(step.host)
            opened.emptying.pop(step.host, None)
            return
        pause_s = opened.pauses.get(step.host, _RETRY_S)
        opened.pauses[step.host] = min(2 * pause_s, _MOST_RETRY_S)
        if outcome is rounds.Outcome.BUSY:
            # Its room is worth more than a try that may never succeed.
            del opened.emptying[step.host]
            self._closed_until.pop(step.host, None)
            opened.not_before[step.host] = now + pause_s
        else:
            # It may have gone down, or may yet; nothing new goes there.
            opened.emptying[step.host].asked = False
            opened.not_before[step.host] = now + _RETRY_S

    def find_completed(self, hosts: Iterable[rounds.Host]) -> list[int]:
        """Give the open rounds whose hosts are all up again, or have left."""
        listed = {host.name: host for host in hosts}
        found = []
        for number, opened in self._rounds.items():
            here = [n for n in opened.order.hosts if n in listed]
            if opened.order.hosts and all(
                name in opened.done and listed[name].is_up for name in here
            ):
                found.append(number)
        return found

    def complete(self, number: int) -> rounds.RoundProgress:
        """A round is over; give what must last of it."""
        progress = self._progress_of(number)
        del self._rounds[number]
        self._over.add(number)
        return progress._replace(completed=True)

    def cordon(self, hosts: Iterable[rounds.Host], now: float) -> None:
        """Keep new work from the hosts that go down, and from no others."""
        closed = {name for o in self._rounds.values() for name in o.emptying}
        for host in hosts:
            worker = self._worker_on(host)
            if worker is None:
                continue
            if host.name in closed:
                worker.cordoned = True
                self._closed_until[host.name] = now + _OUTLIVED_S
            elif worker.cordoned and host.name not in self._closed_until:
                worker.cordoned = False
                self._book.place_wanted = True

    def _progress_of(self, number: int) -> rounds.RoundProgress:
        opened = self._rounds[number]
        done = tuple(sorted(opened.done))
        return rounds.RoundProgress(number, opened.began_ms, done, False)

    def _open_outlived(self, now: float) -> None:
        for name, until in [*self._closed_until.items()]:
            if now >= until:
                del self._closed_until[name]

    def _choose(
        self, opened: _OpenRound, listed: dict[str, rounds.Host], now: float
    ) -> None:
        """Begin to empty as many hosts as the round allows."""
        for name in [*opened.emptying]:
            if name not in listed:
                del opened.emptying[name]
        names = [name for name in opened.order.hosts if name in listed]
        away = {name for name in names if not listed[name].is_up}
        away |= {*opened.emptying}
        waiting = [
            name
            for name in names
            if name not in opened.done
            and name not in away
            and opened.not_before.get(name, 0.0) <= now
        ]
        if self._wary:
            waiting = [
                name for name in waiting if self._is_empty(listed[name])
            ]
        free = opened.order.most_at_once - len(away)
        waiting.sort(key=lambda name: self._stake(listed[name], now))
        for name in waiting[: max(0, free)]:
            wait_s = self._patience_s(opened, len(waiting))
            opened.emptying[name] = _Emptying(now + wait_s)

    def _patience_s(self, opened: _OpenRound, waiting: int) -> float:
        """Give how long a host may take to become empty by itself."""
        order = opened.order
        gone_s = (self._book.wall_ms - opened.began_ms) / 1000
        turns = math.ceil(waiting / max(1, order.most_at_once))
        left_s = order.within_s - gone_s
        return max(0.0, left_s / max(1, turns) - self._down_s)

    def _worker_on(self, host: rounds.Host) -> fleet.Worker | None:
        for name, worker in self._book.workers.items():
            if host.life and fleet.life_of(name) == host.life:
                return worker
        return None

    def _is_empty(self, host: rounds.Host) -> bool:
        worker = self._worker_on(host)
        return worker is None or not worker.held

    def _stake(self, host: rounds.Host, now: float) -> float:
        """Weigh what a stop would throw away on a host."""
        worker = self._worker_on(host)
        if worker is None:
            return 0.0
        groups = {self._book.group_of(run) for run in worker.held}
        return sum(
            group.lost_work(now) * len(group.tasks)
            for group in groups
            if group is not None
        )

    def _stop_all(self, worker: fleet.Worker) -> None:
        """Stop what is left on a worker, as far as steps may miss tasks."""
        for run in [*worker.held]:
            group = self._book.group_of(run)
            if group is None or group.stopping:
                continue
            if group.phase != work.ASSIGNED or not _may_miss(group):
                continue
            group.stopping = "maintenance"
            text = f"{run.task} leaves {worker.name}, which goes down."
            self._book.say(logs.Part.TASK, text)
            self._book.stop_group(group)


def _may_miss(group: work.Group) -> bool:
    """Tell whether one more task of a step may be away by our doing."""
    if not group.spec.may_miss:
        return True
    step = group.job.open[group.occurrence].steps[group.step]
    away = sum(not other.is_at_work for other in step if other is not group)
    return away < group.spec.may_miss
