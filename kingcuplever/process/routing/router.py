"""Load balancing: assigns requests to targets, or queues them.

Targets are discovered from the heartbeats of their sides.  A request goes to
the target with the lowest estimated latency, from its utilization and the
moving average of its latency.  Outlier detection ejects slow and failing
targets and lets them back after a successful probe.  Urgent requests are
queued ahead of normal ones, and under overload normal ones are shed first.
No I/O: messages and the time go in, decisions come out.
"""

import collections
import itertools
import statistics
from typing import Final
from typing import Literal
from typing import NamedTuple

from kingcuplever import messages
from kingcuplever.process.routing import warming
from kingcuplever.version import configuration

Priority = Literal["urgent", "normal"]

# Weight of the newest sample in a target's moving average of latency.  With a
# larger one, random variation sometimes makes a healthy target look slow.
_LATENCY_WEIGHT: Final = 0.1
# A target is slow if its latency is this many times the others' median and
# exceeds it by _SLOW_MIN_DIFFERENCE_S.
_SLOW_FACTOR: Final = 3.0
_SLOW_MIN_DIFFERENCE_S: Final = 0.02
# Answers before a target may be ejected as slow.
_MIN_SAMPLES: Final = 5
# Consecutive failures that eject a target.
_MAX_FAILURES: Final = 3
# Each further ejection of a target doubles the time, up to the maximum.
_BASE_EJECTION_S: Final = 2.0
_MAX_EJECTION_S: Final = 30.0
# Largest fraction of a service's targets that is ejected at the same time.
_MAX_EJECTED_FRACTION: Final = 0.5
# Added to the estimated latency of a target in another data centre.
_REMOTE_PENALTY_S: Final = 0.003
# Assumed latency of a target before its first answer.
_INITIAL_LATENCY_S: Final = 0.02
# A request is refused if less than this many times the service's median
# latency is left before its deadline.
_DEADLINE_MARGIN: Final = 1.25


class TargetId(NamedTuple):
    """Identifies a target by its side and its name there."""

    side: str
    target: str


class Ticket(NamedTuple):
    """A request for a slot at a target of a service.

    :ivar number: increases with each request; a request that a target refused
        keeps its number, and so its place in the queue.
    :ivar deadline: monotonic time after which it must not start.
    :ivar avoid: targets that have refused the request already.
    """

    number: int
    service: str
    priority: Priority
    deadline: float
    avoid: frozenset[TargetId] = frozenset()


class Assignment(NamedTuple):
    """A slot at a target, assigned to a ticket.

    :ivar incarnation: incarnation of the target's side.
    :ivar reason: why the slot was assigned, for the log.
    """

    ticket: Ticket
    target: TargetId
    incarnation: int
    data_centre: str
    reason: str


class Refusal(NamedTuple):
    """A ticket that is refused a slot.

    :ivar retry_after_s: seconds after which a retry is reasonable.
    """

    ticket: Ticket
    reason: str
    retry_after_s: float


RoutingDecision = Assignment | Refusal


class _TargetStats:
    """Load, latency and health of one target.

    :ivar state: the target as of its side's newest heartbeat.
    :ivar own_in_flight: in-flight requests of this entry.
    :ivar others_in_flight: in-flight requests of other entries, as of the
        newest heartbeat, or inferred from a later refusal by the side.
    :ivar latency_s: moving average of latency; ``None`` before any answer.
    :ivar samples: number of answers.
    :ivar failures: number of failures since the last answer.
    :ivar ejections: number of ejections in a row; 0 once a probe succeeded.
    :ivar probing: whether a probe of an ejected target is in flight.
    :ivar is_evacuated: whether its data centre is evacuated.
    :ivar warming: how many of its slots are open while it is cold.
    """

    def __init__(self) -> None:
        self.is_evacuated = False
        self.warming = warming.Warming()
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

    def count_open_slots(self, now: float) -> int:
        assert self.state is not None
        return self.warming.count_open_slots(self.state.slots, now)

    def count_free_slots(self, now: float) -> int:
        used = self.own_in_flight + self.others_in_flight
        return self.count_open_slots(now) - used

    @property
    def is_usable(self) -> bool:
        return (
            self.state is not None
            and not self.state.draining
            and not self.is_evacuated
        )


class _QueuedTicket(NamedTuple):
    ticket: Ticket
    queued_at: float


class Router:
    """The targets and queued requests of one entry.

    :ivar shed_count: number of tickets refused because of overload.
    """

    def __init__(self, data_centre: str) -> None:
        """Start without targets.

        :param data_centre: data centre of the entry.
        """
        self._data_centre = data_centre
        self._targets: dict[TargetId, _TargetStats] = {}
        self._by_service: dict[str, dict[TargetId, None]] = {}
        self._queues: dict[
            str, dict[Priority, collections.deque[_QueuedTicket]]
        ]
        self._queues = {}
        self._config = configuration.Configuration()
        self._evacuated: tuple[str, ...] = ()
        self._numbers = itertools.count(1)
        self.shed_count = 0

    def set_config(self, config: configuration.Configuration) -> None:
        """Replace the configuration."""
        self._config = config

    def set_evacuations(
        self, data_centres: tuple[str, ...], now: float
    ) -> list[RoutingDecision]:
        """Replace the evacuated data centres, and serve the queues.

        Their targets get nothing new; requests in progress may end.
        """
        self._evacuated = data_centres
        for target in self._targets.values():
            target.is_evacuated = target.data_centre in data_centres
        return self._serve_queues(now)

    def next_number(self) -> int:
        """Allocate the number of a new ticket."""
        return next(self._numbers)

    def apply_heartbeat(
        self,
        heartbeat: messages.Heartbeat,
        now: float,
    ) -> list[RoutingDecision]:
        """Update the targets of a side, and serve the queues.

        Targets that the heartbeat does not list are removed.
        """
        announced = set()
        for state in heartbeat.targets:
            target_id = TargetId(heartbeat.side, state.target)
            announced.add(target_id)
            self._update_target(target_id, state, heartbeat, now)
        for target_id in list(self._targets):
            if target_id.side == heartbeat.side and target_id not in announced:
                self._remove_target(target_id)
        return self._serve_queues(now)

    def remove_side(self, side: str) -> None:
        """Remove the targets of a side that is no longer connected."""
        for target_id in list(self._targets):
            if target_id.side == side:
                self._remove_target(target_id)

    def acquire(self, ticket: Ticket, now: float) -> RoutingDecision | None:
        """Assign a slot to a ticket, refuse it, or queue it.

        :return: the decision, or ``None`` if the ticket was queued.
        """
        if not self._must_queue(ticket):
            chosen = self._choose_target(ticket, now)
            if chosen is not None:
                return self._assign(ticket, chosen, "free slot")
        return self._enqueue(ticket, now)

    def release(
        self, assignment: Assignment, latency_s: float | None, now: float
    ) -> list[RoutingDecision]:
        """Release the slot of a request that was sent, and serve the queues.

        :param latency_s: time to the answer; ``None`` if there was none, or
            if the target failed.
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
        """Release a slot for which no request was sent."""
        target = self._find_assigned(assignment)
        if target is not None:
            target.own_in_flight = max(0, target.own_in_flight - 1)
            target.probing = False
        return self._serve_queues(now)

    def release_as_full(
        self, assignment: Assignment, now: float
    ) -> list[RoutingDecision]:
        """Release a slot that the side refused, and mark its target full."""
        target = self._find_assigned(assignment)
        if target is not None and target.state is not None:
            target.own_in_flight = max(0, target.own_in_flight - 1)
            target.others_in_flight = max(
                0, target.state.slots - target.own_in_flight
            )
            target.probing = False
        return self._serve_queues(now)

    def _find_assigned(self, assignment: Assignment) -> _TargetStats | None:
        """Return the target of a slot that is still taken there.

        A side that has restarted since then has forgotten the slot.
        """
        target = self._targets.get(assignment.target)
        if target is None or target.incarnation != assignment.incarnation:
            return None
        return target

    def cancel(self, ticket: Ticket) -> None:
        """Remove a ticket from its queue."""
        for queue in self._queues.get(ticket.service, {}).values():
            for queued in queue:
                if queued.ticket.number == ticket.number:
                    queue.remove(queued)
                    return

    def tick(self, now: float) -> list[RoutingDecision]:
        """Refuse the tickets that miss their deadline; serve the others."""
        decisions: list[RoutingDecision] = []
        for queues in self._queues.values():
            for queue in queues.values():
                for queued in list(queue):
                    if not self._misses_deadline(queued.ticket, now):
                        continue
                    queue.remove(queued)
                    decisions.append(self._refuse_expired(queued.ticket))
        return decisions + self._serve_queues(now)

    def has_service(self, service: str) -> bool:
        """Return whether a target of a service has been here."""
        return service in self._by_service

    def count_queued(self) -> int:
        """Count the queued tickets."""
        return sum(
            len(queue)
            for queues in self._queues.values()
            for queue in queues.values()
        )

    def describe(self, now: float) -> list[dict[str, object]]:
        """List all targets as rows for operators."""
        rows: list[dict[str, object]] = []
        for target_id, target in sorted(self._targets.items()):
            if target.state is None:
                continue
            observed_ms = (target.latency_s or 0.0) * 1000
            rows.append(
                {
                    "side": target_id.side,
                    "target": target_id.target,
                    "service": target.state.service_name,
                    "data_centre": target.data_centre,
                    "slots": target.state.slots,
                    "busy": target.own_in_flight + target.others_in_flight,
                    "draining": target.state.draining,
                    "evacuated": target.is_evacuated,
                    "ejected": target.ejected_until > now,
                    "observed_ms": round(observed_ms, 1),
                }
            )
        return rows

    def _update_target(
        self,
        target_id: TargetId,
        state: messages.TargetState,
        heartbeat: messages.Heartbeat,
        now: float,
    ) -> None:
        target = self._targets.get(target_id)
        if target is None or target.incarnation > heartbeat.incarnation:
            target = self._targets[target_id] = _TargetStats()
        if target.incarnation != heartbeat.incarnation:
            target.own_in_flight = 0
        target.incarnation = heartbeat.incarnation
        target.data_centre = heartbeat.data_centre
        target.is_evacuated = target.data_centre in self._evacuated
        target.state = state
        target.warming.update((state.cold_left_ms or 0) / 1000, now)
        target.others_in_flight = max(0, state.busy - target.own_in_flight)
        target_ids = self._by_service.setdefault(state.service_name, {})
        target_ids[target_id] = None

    def _remove_target(self, target_id: TargetId) -> None:
        del self._targets[target_id]
        for target_ids in self._by_service.values():
            target_ids.pop(target_id, None)

    def _must_queue(self, ticket: Ticket) -> bool:
        """Return whether the queue holds tickets that must be served first."""
        queues = self._queues.get(ticket.service)
        if queues is None:
            return False
        if ticket.priority != "urgent" and queues["urgent"]:
            return True
        queue = queues[ticket.priority]
        return bool(queue) and queue[0].ticket.number < ticket.number

    def _choose_target(self, ticket: Ticket, now: float) -> TargetId | None:
        """Choose a target, if possible one that has not refused the ticket."""
        chosen = self._choose_target_avoiding(ticket, ticket.avoid, now)
        if chosen is not None or not ticket.avoid:
            return chosen
        return self._choose_target_avoiding(ticket, frozenset(), now)

    def _choose_target_avoiding(
        self, ticket: Ticket, avoid: frozenset[TargetId], now: float
    ) -> TargetId | None:
        best: tuple[float, TargetId] | None = None
        connections = self._get_service_config(ticket.service).connections
        for target_id in self._by_service.get(ticket.service, ()):
            target = self._targets[target_id]
            if not target.is_usable or target.count_free_slots(now) <= 0:
                continue
            if target.own_in_flight >= connections or target_id in avoid:
                continue
            if not self._can_receive(target, now):
                continue
            latency_s = self._estimate_latency_s(target, now)
            if best is None or (latency_s, target_id) < best:
                best = (latency_s, target_id)
        return best[1] if best else None

    def _estimate_latency_s(self, target: _TargetStats, now: float) -> float:
        latency_s = target.latency_s
        if latency_s is None:
            latency_s = _INITIAL_LATENCY_S
        is_remote = target.data_centre != self._data_centre
        utilization = (
            target.own_in_flight + target.others_in_flight
        ) / target.count_open_slots(now)
        return latency_s * (1 + utilization) + (
            _REMOTE_PENALTY_S if is_remote else 0.0
        )

    def _can_receive(self, target: _TargetStats, now: float) -> bool:
        """Return whether a target is in use or due for a probe.

        An ejected target gets one probe at a time once its ejection is over.
        """
        if not target.ejections:
            return True
        return now >= target.ejected_until and not target.probing

    def _assign(
        self, ticket: Ticket, target_id: TargetId, reason: str
    ) -> Assignment:
        target = self._targets[target_id]
        target.own_in_flight += 1
        if target.ejections:
            target.probing = True
            reason = "probe of an ejected target"
        return Assignment(
            ticket, target_id, target.incarnation, target.data_centre, reason
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
        if self._is_evacuated(ticket.service):
            reason = f"all targets of service {ticket.service} are evacuated"
            return Refusal(ticket, reason, 1.0)
        wait_s = self._estimate_wait_s(ticket, now)
        if self._misses_deadline(ticket, now + wait_s):
            self.shed_count += 1
            reason = (
                f"the expected wait of {wait_s:.1f} s exceeds its deadline"
            )
            return Refusal(ticket, reason, max(wait_s, 0.1))
        queue_length = sum(len(queue) for queue in queues.values())
        if queue_length >= service.queue and not self._shed_newest_normal(
            ticket, queues
        ):
            self.shed_count += 1
            return Refusal(ticket, "the queue is full", max(wait_s, 0.1))
        queue = queues[ticket.priority]
        index = len(queue)
        while index and queue[index - 1].ticket.number > ticket.number:
            index -= 1
        queue.insert(index, _QueuedTicket(ticket, now))
        return None

    def _is_evacuated(self, service: str) -> bool:
        """Return whether every target of a service is evacuated."""
        return all(
            self._targets[target_id].is_evacuated
            for target_id in self._by_service[service]
        )

    def _shed_newest_normal(
        self,
        ticket: Ticket,
        queues: dict[Priority, collections.deque[_QueuedTicket]],
    ) -> bool:
        """Shed the newest normal ticket if the new ticket is urgent.

        :return: whether a ticket was shed.
        """
        if ticket.priority != "urgent" or not queues["normal"]:
            return False
        queued = queues["normal"].pop()
        expired = queued.ticket._replace(deadline=0.0)
        # The deadline has passed, so the next tick refuses the ticket.
        queues["normal"].appendleft(_QueuedTicket(expired, queued.queued_at))
        return True

    def _estimate_wait_s(self, ticket: Ticket, now: float) -> float:
        """Estimate the time in the queue behind the tickets served first."""
        queues = self._queues[ticket.service]
        ahead = len(queues["urgent"])
        if ticket.priority != "urgent":
            ahead += len(queues["normal"])
        slots = sum(
            target.count_open_slots(now)
            for target_id in self._by_service.get(ticket.service, ())
            if (target := self._targets[target_id]).is_usable
        )
        if not slots:
            return 0.0
        return (ahead + 1) * self._median_latency_s(ticket.service) / slots

    def _median_latency_s(self, service: str) -> float:
        """Compute the median of the targets' latencies; 0 without any."""
        latencies = [
            target.latency_s
            for target_id in self._by_service.get(service, ())
            if (target := self._targets[target_id]).latency_s is not None
        ]
        return statistics.median(latencies) if latencies else 0.0

    def _misses_deadline(self, ticket: Ticket, now: float) -> bool:
        """Return whether a request started now would miss its deadline."""
        needed_s = self._median_latency_s(ticket.service) * _DEADLINE_MARGIN
        return now + needed_s > ticket.deadline

    def _refuse_expired(self, ticket: Ticket) -> Refusal:
        self.shed_count += 1
        reason = "no slot became free before the deadline"
        return Refusal(ticket, reason, 1.0)

    def _serve_queues(self, now: float) -> list[RoutingDecision]:
        decisions: list[RoutingDecision] = []
        for queues in self._queues.values():
            for priority in ("urgent", "normal"):
                queue = queues[priority]
                while queue:
                    ticket = queue[0].ticket
                    if self._misses_deadline(ticket, now):
                        queue.popleft()
                        decisions.append(self._refuse_expired(ticket))
                        continue
                    chosen = self._choose_target(ticket, now)
                    if chosen is None:
                        break
                    queue.popleft()
                    decisions.append(
                        self._assign(ticket, chosen, "slot became free")
                    )
        return decisions

    def _record_answer(
        self, service: str, target: _TargetStats, latency_s: float, now: float
    ) -> None:
        target.failures = 0
        target.samples += 1
        if target.latency_s is None or target.probing:
            target.latency_s = latency_s
        else:
            difference_s = latency_s - target.latency_s
            target.latency_s += _LATENCY_WEIGHT * difference_s
        if target.probing:
            target.probing = False
            if not self._is_slow(service, target):
                target.ejections = 0
                return
        if target.samples < _MIN_SAMPLES or target.warming.is_cold(now):
            return
        if self._is_slow(service, target) and self._can_do_without(
            service, target, now
        ):
            self._eject(service, target, now)

    def _record_failure(self, target: _TargetStats, now: float) -> None:
        target.failures += 1
        was_probing = target.probing
        target.probing = False
        if target.failures >= _MAX_FAILURES or was_probing:
            assert target.state is not None
            self._eject(target.state.service_name, target, now)

    def _is_slow(self, service: str, target: _TargetStats) -> bool:
        latencies = [
            other.latency_s
            for target_id in self._by_service.get(service, ())
            if (other := self._targets[target_id]) is not target
            and other.latency_s is not None
        ]
        if not latencies or target.latency_s is None:
            return False
        median_s = statistics.median(latencies)
        limit_s = max(
            median_s * _SLOW_FACTOR, median_s + _SLOW_MIN_DIFFERENCE_S
        )
        return target.latency_s > limit_s

    def _can_do_without(
        self, service: str, target: _TargetStats, now: float
    ) -> bool:
        """Return whether the others have enough free slots without a target.

        Otherwise a slow target is kept, as queueing would take longer.
        """
        assert target.state is not None
        free_slots = sum(
            max(0, other.count_free_slots(now))
            for target_id in self._by_service.get(service, ())
            if (other := self._targets[target_id]) is not target
            and other.is_usable
        )
        return free_slots >= target.state.slots

    def _eject(self, service: str, target: _TargetStats, now: float) -> None:
        target_ids = self._by_service.get(service, {})
        ejected_count = sum(
            self._targets[target_id].ejected_until > now
            and self._targets[target_id] is not target
            for target_id in target_ids
        )
        if ejected_count + 1 > len(target_ids) * _MAX_EJECTED_FRACTION:
            return
        ejection_s = min(
            _BASE_EJECTION_S * 2**target.ejections, _MAX_EJECTION_S
        )
        target.ejections += 1
        target.ejected_until = now + ejection_s

    def _get_service_config(self, service: str) -> configuration.ServiceConfig:
        default = configuration.ServiceConfig()
        return self._config.services.get(service, default)
