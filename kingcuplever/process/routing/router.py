"""Chooses targets for requests, and queues what finds no free slot.

Targets come and go with the heartbeats of their sides.  A request goes to
the target where it should be answered soonest, judged by free slots and
observed time; slow and failing targets are left out and let back in by
probes.  Urgent requests wait in front of others, and overload sheds others
first.  Pure: messages and the time go in, assignments come out.
"""

import collections
import itertools
import statistics
from typing import Final
from typing import Literal
from typing import NamedTuple

from kingcuplever import messages
from kingcuplever.version import configuration

Priority = Literal["urgent", "normal"]

# Weight of the newest answer in a target's observed time.  With a larger
# one, chance alone makes a sound target look slow now and then.
_NEWEST: Final = 0.1
# A target that is slower than the median by this factor is left out.
_SLOW_FACTOR: Final = 3.0
# Differences below this are no slowness.
_SLOW_LEAST_S: Final = 0.02
_SAMPLES_LEAST: Final = 5
_FAILURES_MOST: Final = 3
_EJECT_S: Final = 2.0
_EJECT_MOST_S: Final = 30.0
# At most this share of a service's targets is left out at once.
_EJECTED_SHARE: Final = 0.5
# What a request to another data centre costs more, before any answer has
# been seen from there.
_FAR_S: Final = 0.003
_UNSEEN_S: Final = 0.02
# A request starts only with this much more time than answers usually take.
_TIME_MARGIN: Final = 1.25


class TargetId(NamedTuple):
    """Names a target by its side."""

    side: str
    target: str


class Ticket(NamedTuple):
    """A request that wants a target.

    :ivar deadline: monotonic time after which it must not start.
    :ivar number: grows with each request; one that a target refused keeps
        its number, and with it its place in the queue.
    :ivar avoid: targets that refused it already.
    """

    number: int
    service: str
    priority: Priority
    deadline: float
    avoid: frozenset[TargetId] = frozenset()


class Assignment(NamedTuple):
    """A slot at a target for a ticket.

    :ivar reason: for the log line.
    """

    ticket: Ticket
    target: TargetId
    incarnation: int
    data_centre: str
    reason: str


class Refusal(NamedTuple):
    """A ticket that gets no target.

    :ivar retry_after_s: when it makes sense to come again.
    """

    ticket: Ticket
    reason: str
    retry_after_s: float


Verdict = Assignment | Refusal


class _Target:
    """What is known of one target."""

    def __init__(self) -> None:
        self.state: messages.TargetState | None = None
        self.incarnation = 0
        self.data_centre = ""
        self.own = 0
        self.others = 0
        self.observed_s: float | None = None
        self.samples = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False

    @property
    def free(self) -> int:
        assert self.state is not None
        return self.state.slots - self.own - self.others

    @property
    def usable(self) -> bool:
        return self.state is not None and not self.state.draining


class _Waiting(NamedTuple):
    ticket: Ticket
    since: float


class Router:
    """Targets and waiting requests of one entry."""

    def __init__(self, data_centre: str) -> None:
        """Start without targets.

        :param data_centre: the entry's own.
        """
        self._data_centre = data_centre
        self._targets: dict[TargetId, _Target] = {}
        self._by_service: dict[str, dict[TargetId, None]] = {}
        self._queues: dict[str, dict[Priority, collections.deque[_Waiting]]]
        self._queues = {}
        self._config = configuration.Configuration()
        self._numbers = itertools.count(1)
        self.shed = 0

    def set_config(self, config: configuration.Configuration) -> None:
        """Use a new version of the configuration."""
        self._config = config

    def next_number(self) -> int:
        """Give the number of the next ticket."""
        return next(self._numbers)

    def heard(
        self,
        heartbeat: messages.Heartbeat,
        now: float,
    ) -> list[Verdict]:
        """Take in what a side says of its targets."""
        named = set()
        for state in heartbeat.targets:
            name = TargetId(heartbeat.side, state.target)
            named.add(name)
            self._update(name, state, heartbeat)
        for name in list(self._targets):
            if name.side == heartbeat.side and name not in named:
                self._drop(name)
        return self._serve_queues(now)

    def lost(self, side: str) -> None:
        """Forget the targets of a side that is not heard any more."""
        for name in list(self._targets):
            if name.side == side:
                self._drop(name)

    def acquire(self, ticket: Ticket, now: float) -> Verdict | None:
        """Give a ticket a target, a refusal, or a place in the queue."""
        if not self._is_behind(ticket):
            chosen = self._choose(ticket, now)
            if chosen is not None:
                return self._assign(ticket, chosen, "free slot")
        return self._enqueue(ticket, now)

    def release(
        self, assignment: Assignment, seen_s: float | None, now: float
    ) -> list[Verdict]:
        """Give a slot back.

        :param seen_s: time to the answer; ``None`` if there was none.
        """
        target = self._targets.get(assignment.target)
        if target is None:
            return []
        if target.incarnation == assignment.incarnation:
            target.own = max(0, target.own - 1)
        if seen_s is None:
            self._failed(target, now)
        else:
            self._answered(assignment.ticket.service, target, seen_s, now)
        return self._serve_queues(now)

    def release_unused(
        self, assignment: Assignment, now: float
    ) -> list[Verdict]:
        """Give a slot back that no request was sent to."""
        target = self._targets.get(assignment.target)
        if target is not None:
            target.own = max(0, target.own - 1)
            target.probing = False
        return self._serve_queues(now)

    def full(self, assignment: Assignment, now: float) -> list[Verdict]:
        """Give a slot back that the side did not have after all."""
        target = self._targets.get(assignment.target)
        if target is not None and target.state is not None:
            target.own = max(0, target.own - 1)
            target.others = max(0, target.state.slots - target.own)
            target.probing = False
        return self._serve_queues(now)

    def cancel(self, ticket: Ticket) -> None:
        """Take a ticket out of the queue."""
        for queue in self._queues.get(ticket.service, {}).values():
            for waiting in queue:
                if waiting.ticket.number == ticket.number:
                    queue.remove(waiting)
                    return

    def tick(self, now: float) -> list[Verdict]:
        """Refuse what has waited past its deadline; serve the rest."""
        verdicts: list[Verdict] = []
        for queues in self._queues.values():
            for queue in queues.values():
                for waiting in list(queue):
                    if not self._too_late(waiting.ticket, now):
                        continue
                    queue.remove(waiting)
                    verdicts.append(self._refuse_late(waiting.ticket))
        return verdicts + self._serve_queues(now)

    def queued(self) -> int:
        """Count the waiting requests."""
        return sum(
            len(queue)
            for queues in self._queues.values()
            for queue in queues.values()
        )

    def describe(self, now: float) -> list[dict[str, object]]:
        """Give every target as a row for operators."""
        rows: list[dict[str, object]] = []
        for name, target in sorted(self._targets.items()):
            if target.state is None:
                continue
            observed_ms = (target.observed_s or 0.0) * 1000
            rows.append(
                {
                    "side": name.side,
                    "target": name.target,
                    "service": target.state.service_name,
                    "data_centre": target.data_centre,
                    "slots": target.state.slots,
                    "busy": target.own + target.others,
                    "draining": target.state.draining,
                    "ejected": target.ejected_until > now,
                    "observed_ms": round(observed_ms, 1),
                }
            )
        return rows

    def _update(
        self,
        name: TargetId,
        state: messages.TargetState,
        heartbeat: messages.Heartbeat,
    ) -> None:
        target = self._targets.get(name)
        if target is None or target.incarnation > heartbeat.incarnation:
            target = self._targets[name] = _Target()
        if target.incarnation != heartbeat.incarnation:
            target.own = 0
        target.incarnation = heartbeat.incarnation
        target.data_centre = heartbeat.data_centre
        target.state = state
        target.others = max(0, state.busy - target.own)
        names = self._by_service.setdefault(state.service_name, {})
        names[name] = None

    def _drop(self, name: TargetId) -> None:
        del self._targets[name]
        for names in self._by_service.values():
            names.pop(name, None)

    def _is_behind(self, ticket: Ticket) -> bool:
        """Tell whether others that came earlier wait for the same."""
        queues = self._queues.get(ticket.service)
        if queues is None:
            return False
        if ticket.priority != "urgent" and queues["urgent"]:
            return True
        queue = queues[ticket.priority]
        return bool(queue) and queue[0].ticket.number < ticket.number

    def _choose(self, ticket: Ticket, now: float) -> TargetId | None:
        """Choose a target; one that refused the ticket only if need be."""
        fresh = self._choose_among(ticket, ticket.avoid, now)
        if fresh is not None or not ticket.avoid:
            return fresh
        return self._choose_among(ticket, frozenset(), now)

    def _choose_among(
        self, ticket: Ticket, avoid: frozenset[TargetId], now: float
    ) -> TargetId | None:
        best: tuple[float, TargetId] | None = None
        connections = self._service(ticket.service).connections
        for name in self._by_service.get(ticket.service, ()):
            target = self._targets[name]
            if not target.usable or target.free <= 0:
                continue
            if target.own >= connections or name in avoid:
                continue
            if not self._let_in(target, now):
                continue
            expected_s = self._expected_s(target)
            if best is None or (expected_s, name) < best:
                best = (expected_s, name)
        return best[1] if best else None

    def _expected_s(self, target: _Target) -> float:
        assert target.state is not None
        observed_s = target.observed_s
        if observed_s is None:
            observed_s = _UNSEEN_S
        far = target.data_centre != self._data_centre
        busy = (target.own + target.others) / target.state.slots
        return observed_s * (1 + busy) + (_FAR_S if far else 0.0)

    def _let_in(self, target: _Target, now: float) -> bool:
        """Tell whether a target may have a request; one probe at a time."""
        if not target.ejections:
            return True
        return now >= target.ejected_until and not target.probing

    def _assign(self, ticket: Ticket, name: TargetId, why: str) -> Assignment:
        target = self._targets[name]
        target.own += 1
        if target.ejections:
            target.probing = True
            why = "probe of a target that was left out"
        return Assignment(
            ticket, name, target.incarnation, target.data_centre, why
        )

    def _enqueue(self, ticket: Ticket, now: float) -> Refusal | None:
        service = self._service(ticket.service)
        queues = self._queues.setdefault(
            ticket.service,
            {"urgent": collections.deque(), "normal": collections.deque()},
        )
        if not self._by_service.get(ticket.service):
            reason = f"service {ticket.service} has no target here"
            return Refusal(ticket, reason, 1.0)
        wait_s = self._expected_wait_s(ticket)
        if self._too_late(ticket, now + wait_s):
            self.shed += 1
            reason = f"the queue is {wait_s:.1f} s long, past its deadline"
            return Refusal(ticket, reason, max(wait_s, 0.1))
        waiting = sum(len(queue) for queue in queues.values())
        if waiting >= service.queue and not self._make_room(ticket, queues):
            self.shed += 1
            return Refusal(ticket, "the queue is full", max(wait_s, 0.1))
        queue = queues[ticket.priority]
        place = len(queue)
        while place and queue[place - 1].ticket.number > ticket.number:
            place -= 1
        queue.insert(place, _Waiting(ticket, now))
        return None

    def _make_room(
        self,
        ticket: Ticket,
        queues: dict[Priority, collections.deque[_Waiting]],
    ) -> bool:
        """Let an urgent ticket take the place of the newest other one."""
        if ticket.priority != "urgent" or not queues["normal"]:
            return False
        waiting = queues["normal"].pop()
        shed = waiting.ticket._replace(deadline=0.0)
        # The next tick refuses it, since its deadline is over.
        queues["normal"].appendleft(_Waiting(shed, waiting.since))
        return True

    def _expected_wait_s(self, ticket: Ticket) -> float:
        """Estimate the wait behind those who go first."""
        queues = self._queues[ticket.service]
        ahead = len(queues["urgent"])
        if ticket.priority != "urgent":
            ahead += len(queues["normal"])
        slots = sum(
            target.state.slots
            for name in self._by_service.get(ticket.service, ())
            if (target := self._targets[name]).usable
            and target.state is not None
        )
        if not slots:
            return 0.0
        return (ahead + 1) * self._usual_s(ticket.service) / slots

    def _usual_s(self, service: str) -> float:
        """Give the usual time of an answer; 0 before any was seen."""
        observed = [
            target.observed_s
            for name in self._by_service.get(service, ())
            if (target := self._targets[name]).observed_s is not None
        ]
        return statistics.median(observed) if observed else 0.0

    def _too_late(self, ticket: Ticket, now: float) -> bool:
        """Tell whether a ticket can't be answered in time any more."""
        needed_s = self._usual_s(ticket.service) * _TIME_MARGIN
        return now + needed_s > ticket.deadline

    def _refuse_late(self, ticket: Ticket) -> Refusal:
        self.shed += 1
        reason = "no slot came free in time for an answer"
        return Refusal(ticket, reason, 1.0)

    def _serve_queues(self, now: float) -> list[Verdict]:
        verdicts: list[Verdict] = []
        for queues in self._queues.values():
            for priority in ("urgent", "normal"):
                queue = queues[priority]
                while queue:
                    ticket = queue[0].ticket
                    if self._too_late(ticket, now):
                        queue.popleft()
                        verdicts.append(self._refuse_late(ticket))
                        continue
                    chosen = self._choose(ticket, now)
                    if chosen is None:
                        break
                    queue.popleft()
                    verdicts.append(
                        self._assign(ticket, chosen, "slot came free")
                    )
        return verdicts

    def _answered(
        self, service: str, target: _Target, seen_s: float, now: float
    ) -> None:
        target.failures = 0
        target.samples += 1
        if target.observed_s is None or target.probing:
            target.observed_s = seen_s
        else:
            change = seen_s - target.observed_s
            target.observed_s += _NEWEST * change
        if target.probing:
            target.probing = False
            if not self._is_slow(service, target):
                target.ejections = 0
                return
        if target.samples < _SAMPLES_LEAST:
            return
        if self._is_slow(service, target) and self._can_spare(service, target):
            self._eject(service, target, now)

    def _failed(self, target: _Target, now: float) -> None:
        target.failures += 1
        probed = target.probing
        target.probing = False
        if target.failures >= _FAILURES_MOST or probed:
            assert target.state is not None
            self._eject(target.state.service_name, target, now)

    def _is_slow(self, service: str, target: _Target) -> bool:
        observed = [
            other.observed_s
            for name in self._by_service.get(service, ())
            if (other := self._targets[name]) is not target
            and other.observed_s is not None
        ]
        if not observed or target.observed_s is None:
            return False
        usual_s = statistics.median(observed)
        limit_s = max(usual_s * _SLOW_FACTOR, usual_s + _SLOW_LEAST_S)
        return target.observed_s > limit_s

    def _can_spare(self, service: str, target: _Target) -> bool:
        """Tell whether the others have room for a slow target's work.

        A slow target is better than a queue.
        """
        assert target.state is not None
        spare = sum(
            max(0, other.free)
            for name in self._by_service.get(service, ())
            if (other := self._targets[name]) is not target and other.usable
        )
        return spare >= target.state.slots

    def _eject(self, service: str, target: _Target, now: float) -> None:
        names = self._by_service.get(service, {})
        out = sum(
            self._targets[name].ejected_until > now
            and self._targets[name] is not target
            for name in names
        )
        if out + 1 > len(names) * _EJECTED_SHARE:
            return
        pause_s = min(_EJECT_S * 2**target.ejections, _EJECT_MOST_S)
        target.ejections += 1
        target.ejected_until = now + pause_s

    def _service(self, service: str) -> configuration.ServiceConfig:
        default = configuration.ServiceConfig()
        return self._config.services.get(service, default)
