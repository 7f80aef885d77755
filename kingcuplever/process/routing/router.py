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
_LATENCY_WEIGHT: Final = 0.1
# A target that is slower than the median by this factor is left out.
_SLOW_FACTOR: Final = 3.0
# Differences below this are no slowness.
_SLOW_MIN_DIFFERENCE_S: Final = 0.02
_MIN_SAMPLES: Final = 5
_MAX_FAILURES: Final = 3
_BASE_EJECTION_S: Final = 2.0
_MAX_EJECTION_S: Final = 30.0
# At most this share of a service's targets is left out at once.
_MAX_EJECTED_FRACTION: Final = 0.5
# What a request to another data centre costs more, before any answer has
# been seen from there.
_REMOTE_PENALTY_S: Final = 0.003
_INITIAL_LATENCY_S: Final = 0.02
# A request starts only with this much more time than answers usually take.
_DEADLINE_MARGIN: Final = 1.25


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


RoutingDecision = Assignment | Refusal


class _TargetStats:
    """What is known of one target."""

    def __init__(self) -> None:
        self.state: messages.TargetState | None = None
        self.incarnation = 0
        self.data_centre = ""
        self.own_in_flight = 0
        self.others_in_flight = 0
        self.latency_s: float | None = None
        self.samples = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False

    @property
    def free_slots(self) -> int:
        assert self.state is not None
        return self.state.slots - self.own_in_flight - self.others_in_flight

    @property
    def is_usable(self) -> bool:
        return self.state is not None and not self.state.draining


class _QueuedTicket(NamedTuple):
    ticket: Ticket
    queued_at: float


class Router:
    """Targets and waiting requests of one entry."""

    def __init__(self, data_centre: str) -> None:
        """Start without targets.

        :param data_centre: the entry's own.
        """
        self._data_centre = data_centre
        self._targets: dict[TargetId, _TargetStats] = {}
        self._by_service: dict[str, dict[TargetId, None]] = {}
        self._queues: dict[
            str, dict[Priority, collections.deque[_QueuedTicket]]
        ]
        self._queues = {}
        self._config = configuration.Configuration()
        self._numbers = itertools.count(1)
        self.shed_count = 0

    def set_config(self, config: configuration.Configuration) -> None:
        """Use a new version of the configuration."""
        self._config = config

    def next_number(self) -> int:
        """Give the number of the next ticket."""
        return next(self._numbers)

    def apply_heartbeat(
        self,
        heartbeat: messages.Heartbeat,
        now: float,
    ) -> list[RoutingDecision]:
        """Take in what a side says of its targets."""
        named = set()
        for state in heartbeat.targets:
            name = TargetId(heartbeat.side, state.target)
            named.add(name)
            self._update_target(name, state, heartbeat)
        for name in list(self._targets):
            if name.side == heartbeat.side and name not in named:
                self._remove_target(name)
        return self._serve_queues(now)

    def remove_side(self, side: str) -> None:
        """Forget the targets of a side that is not heard any more."""
        for name in list(self._targets):
            if name.side == side:
                self._remove_target(name)

    def acquire(self, ticket: Ticket, now: float) -> RoutingDecision | None:
        """Give a ticket a target, a refusal, or a place in the queue."""
        if not self._must_queue(ticket):
            chosen = self._choose_target(ticket, now)
            if chosen is not None:
                return self._assign(ticket, chosen, "free slot")
        return self._enqueue(ticket, now)

    def release(
        self, assignment: Assignment, latency_s: float | None, now: float
    ) -> list[RoutingDecision]:
        """Give a slot back.

        :param seen_s: time to the answer; ``None`` if there was none.
        """
        target = self._targets.get(assignment.target)
        if target is None:
            return []
        if target.incarnation == assignment.incarnation:
            target.own_in_flight = max(0, target.own_in_flight - 1)
        if latency_s is None:
            self._record_failure(target, now)
        else:
            self._record_answer(
                assignment.ticket.service, target, latency_s, now
            )
        return self._serve_queues(now)

    def release_unused(
        self, assignment: Assignment, now: float
    ) -> list[RoutingDecision]:
        """Give a slot back that no request was sent to."""
        target = self._targets.get(assignment.target)
        if target is not None:
            target.own_in_flight = max(0, target.own_in_flight - 1)
            target.probing = False
        return self._serve_queues(now)

    def release_as_full(
        self, assignment: Assignment, now: float
    ) -> list[RoutingDecision]:
        """Give a slot back that the side did not have after all."""
        target = self._targets.get(assignment.target)
        if target is not None and target.state is not None:
            target.own_in_flight = max(0, target.own_in_flight - 1)
            target.others_in_flight = max(
                0, target.state.slots - target.own_in_flight
            )
            target.probing = False
        return self._serve_queues(now)

    def cancel(self, ticket: Ticket) -> None:
        """Take a ticket out of the queue."""
        for queue in self._queues.get(ticket.service, {}).values():
            for waiting in queue:
                if waiting.ticket.number == ticket.number:
                    queue.remove(waiting)
                    return

    def tick(self, now: float) -> list[RoutingDecision]:
        """Refuse what has waited past its deadline; serve the rest."""
        verdicts: list[RoutingDecision] = []
        for queues in self._queues.values():
            for queue in queues.values():
                for waiting in list(queue):
                    if not self._misses_deadline(waiting.ticket, now):
                        continue
                    queue.remove(waiting)
                    verdicts.append(self._refuse_expired(waiting.ticket))
        return verdicts + self._serve_queues(now)

    def count_queued(self) -> int:
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
            observed_ms = (target.latency_s or 0.0) * 1000
            rows.append(
                {
                    "side": name.side,
                    "target": name.target,
                    "service": target.state.service_name,
                    "data_centre": target.data_centre,
                    "slots": target.state.slots,
                    "busy": target.own_in_flight + target.others_in_flight,
                    "draining": target.state.draining,
                    "ejected": target.ejected_until > now,
                    "observed_ms": round(observed_ms, 1),
                }
            )
        return rows

    def _update_target(
        self,
        name: TargetId,
        state: messages.TargetState,
        heartbeat: messages.Heartbeat,
    ) -> None:
        target = self._targets.get(name)
        if target is None or target.incarnation > heartbeat.incarnation:
            target = self._targets[name] = _TargetStats()
        if target.incarnation != heartbeat.incarnation:
            target.own_in_flight = 0
        target.incarnation = heartbeat.incarnation
        target.data_centre = heartbeat.data_centre
        target.state = state
        target.others_in_flight = max(0, state.busy - target.own_in_flight)
        names = self._by_service.setdefault(state.service_name, {})
        names[name] = None

    def _remove_target(self, name: TargetId) -> None:
        del self._targets[name]
        for names in self._by_service.values():
            names.pop(name, None)

    def _must_queue(self, ticket: Ticket) -> bool:
        """Tell whether others that came earlier wait for the same."""
        queues = self._queues.get(ticket.service)
        if queues is None:
            return False
        if ticket.priority != "urgent" and queues["urgent"]:
            return True
        queue = queues[ticket.priority]
        return bool(queue) and queue[0].ticket.number < ticket.number

    def _choose_target(self, ticket: Ticket, now: float) -> TargetId | None:
        """Choose a target; one that refused the ticket only if need be."""
        fresh = self._choose_target_avoiding(ticket, ticket.avoid, now)
        if fresh is not None or not ticket.avoid:
            return fresh
        return self._choose_target_avoiding(ticket, frozenset(), now)

    def _choose_target_avoiding(
        self, ticket: Ticket, avoid: frozenset[TargetId], now: float
    ) -> TargetId | None:
        best: tuple[float, TargetId] | None = None
        connections = self._get_service_config(ticket.service).connections
        for name in self._by_service.get(ticket.service, ()):
            target = self._targets[name]
            if not target.is_usable or target.free_slots <= 0:
                continue
            if target.own_in_flight >= connections or name in avoid:
                continue
            if not self._can_receive(target, now):
                continue
            expected_s = self._estimate_latency_s(target)
            if best is None or (expected_s, name) < best:
                best = (expected_s, name)
        return best[1] if best else None

    def _estimate_latency_s(self, target: _TargetStats) -> float:
        assert target.state is not None
        observed_s = target.latency_s
        if observed_s is None:
            observed_s = _INITIAL_LATENCY_S
        far = target.data_centre != self._data_centre
        busy = (
            target.own_in_flight + target.others_in_flight
        ) / target.state.slots
        return observed_s * (1 + busy) + (_REMOTE_PENALTY_S if far else 0.0)

    def _can_receive(self, target: _TargetStats, now: float) -> bool:
        """Tell whether a target may have a request; one probe at a time."""
        if not target.ejections:
            return True
        return now >= target.ejected_until and not target.probing

    def _assign(self, ticket: Ticket, name: TargetId, why: str) -> Assignment:
        target = self._targets[name]
        target.own_in_flight += 1
        if target.ejections:
            target.probing = True
            why = "probe of a target that was left out"
        return Assignment(
            ticket, name, target.incarnation, target.data_centre, why
        )

    def _enqueue(self, ticket: Ticket, now: float) -> Refusal | None:
        service = self._get_service_config(ticket.service)
        queues = self._queues.setdefault(
            ticket.service,
            {"urgent": collections.deque(), "normal": collections.deque()},
        )
        if not self._by_service.get(ticket.service):
            reason = f"service {ticket.service} has no target here"
            return Refusal(ticket, reason, 1.0)
        wait_s = self._estimate_wait_s(ticket)
        if self._misses_deadline(ticket, now + wait_s):
            self.shed_count += 1
            reason = f"the queue is {wait_s:.1f} s long, past its deadline"
            return Refusal(ticket, reason, max(wait_s, 0.1))
        waiting = sum(len(queue) for queue in queues.values())
        if waiting >= service.queue and not self._shed_newest_normal(
            ticket, queues
        ):
            self.shed_count += 1
            return Refusal(ticket, "the queue is full", max(wait_s, 0.1))
        queue = queues[ticket.priority]
        place = len(queue)
        while place and queue[place - 1].ticket.number > ticket.number:
            place -= 1
        queue.insert(place, _QueuedTicket(ticket, now))
        return None

    def _shed_newest_normal(
        self,
        ticket: Ticket,
        queues: dict[Priority, collections.deque[_QueuedTicket]],
    ) -> bool:
        """Let an urgent ticket take the place of the newest other one."""
        if ticket.priority != "urgent" or not queues["normal"]:
            return False
        waiting = queues["normal"].pop()
        shed = waiting.ticket._replace(deadline=0.0)
        # The next tick refuses it, since its deadline is over.
        queues["normal"].appendleft(_QueuedTicket(shed, waiting.queued_at))
        return True

    def _estimate_wait_s(self, ticket: Ticket) -> float:
        """Estimate the wait behind those who go first."""
        queues = self._queues[ticket.service]
        ahead = len(queues["urgent"])
        if ticket.priority != "urgent":
            ahead += len(queues["normal"])
        slots = sum(
            target.state.slots
            for name in self._by_service.get(ticket.service, ())
            if (target := self._targets[name]).is_usable
            and target.state is not None
        )
        if not slots:
            return 0.0
        return (ahead + 1) * self._median_latency_s(ticket.service) / slots

    def _median_latency_s(self, service: str) -> float:
        """Give the usual time of an answer; 0 before any was seen."""
        observed = [
            target.latency_s
            for name in self._by_service.get(service, ())
            if (target := self._targets[name]).latency_s is not None
        ]
        return statistics.median(observed) if observed else 0.0

    def _misses_deadline(self, ticket: Ticket, now: float) -> bool:
        """Tell whether a ticket can't be answered in time any more."""
        needed_s = self._median_latency_s(ticket.service) * _DEADLINE_MARGIN
        return now + needed_s > ticket.deadline

    def _refuse_expired(self, ticket: Ticket) -> Refusal:
        self.shed_count += 1
        reason = "no slot came free in time for an answer"
        return Refusal(ticket, reason, 1.0)

    def _serve_queues(self, now: float) -> list[RoutingDecision]:
        verdicts: list[RoutingDecision] = []
        for queues in self._queues.values():
            for priority in ("urgent", "normal"):
                queue = queues[priority]
                while queue:
                    ticket = queue[0].ticket
                    if self._misses_deadline(ticket, now):
                        queue.popleft()
                        verdicts.append(self._refuse_expired(ticket))
                        continue
                    chosen = self._choose_target(ticket, now)
                    if chosen is None:
                        break
                    queue.popleft()
                    verdicts.append(
                        self._assign(ticket, chosen, "slot came free")
                    )
        return verdicts

    def _record_answer(
        self, service: str, target: _TargetStats, seen_s: float, now: float
    ) -> None:
        target.failures = 0
        target.samples += 1
        if target.latency_s is None or target.probing:
            target.latency_s = seen_s
        else:
            change = seen_s - target.latency_s
            target.latency_s += _LATENCY_WEIGHT * change
        if target.probing:
            target.probing = False
            if not self._is_slow(service, target):
                target.ejections = 0
                return
        if target.samples < _MIN_SAMPLES:
            return
        if self._is_slow(service, target) and self._can_do_without(
            service, target
        ):
            self._eject(service, target, now)

    def _record_failure(self, target: _TargetStats, now: float) -> None:
        target.failures += 1
        probed = target.probing
        target.probing = False
        if target.failures >= _MAX_FAILURES or probed:
            assert target.state is not None
            self._eject(target.state.service_name, target, now)

    def _is_slow(self, service: str, target: _TargetStats) -> bool:
        observed = [
            other.latency_s
            for name in self._by_service.get(service, ())
            if (other := self._targets[name]) is not target
            and other.latency_s is not None
        ]
        if not observed or target.latency_s is None:
            return False
        usual_s = statistics.median(observed)
        limit_s = max(usual_s * _SLOW_FACTOR, usual_s + _SLOW_MIN_DIFFERENCE_S)
        return target.latency_s > limit_s

    def _can_do_without(self, service: str, target: _TargetStats) -> bool:
        """Tell whether the others have room for a slow target's work.

        A slow target is better than a queue.
        """
        assert target.state is not None
        spare = sum(
            max(0, other.free_slots)
            for name in self._by_service.get(service, ())
            if (other := self._targets[name]) is not target and other.is_usable
        )
        return spare >= target.state.slots

    def _eject(self, service: str, target: _TargetStats, now: float) -> None:
        names = self._by_service.get(service, {})
        out = sum(
            self._targets[name].ejected_until > now
            and self._targets[name] is not target
            for name in names
        )
        if out + 1 > len(names) * _MAX_EJECTED_FRACTION:
            return
        pause_s = min(_BASE_EJECTION_S * 2**target.ejections, _MAX_EJECTION_S)
        target.ejections += 1
        target.ejected_until = now + pause_s

    def _get_service_config(self, service: str) -> configuration.ServiceConfig:
        default = configuration.ServiceConfig()
        return self._config.services.get(service, default)
