"""Service registry of one side: its targets, their slots, and draining.

Targets are not configured: each announces itself periodically, and one whose
announcements stop is removed.  No I/O: time is passed in.
"""

from typing import Final
from typing import NamedTuple

from kingcuplever import messages
from kingcuplever import options
from kingcuplever import plain

# A target without an announcement for this many of its periods is removed.
_MAX_MISSED_PERIODS: Final = 3
# Largest number and longest name that heartbeats have room for.
_MAX_NUMBER: Final = 2**31 - 1
_MAX_NAME_CHARS: Final = 200
# Weight of the newest sample in a target's moving average of latency.
_LATENCY_WEIGHT: Final = 0.2


class Announcement(NamedTuple):
    """A target's announcement of itself.

    :ivar address: IP address and port that it serves requests on.
    :ivar slots: most requests that it serves at the same time.
    :ivar period_ms: interval between its announcements.
    :ivar draining: whether it accepts no new requests.
    :ivar cold_left_ms: how much longer it is slow after its start.
    """

    target: str
    service_name: str
    address: str
    slots: int
    period_ms: int = 1000
    draining: bool = False
    cold_left_ms: int = 0


def parse_announcement(document: object) -> Announcement:
    """Parse and validate an announcement.

    :raises plain.ValidationError: naming every fault.
    """
    announcement = plain.from_plain(Announcement, document, "announcement")
    faults = []
    for name, value, minimum in (
        ("slots", announcement.slots, 1),
        ("period", announcement.period_ms, 1),
        ("cold_left_ms", announcement.cold_left_ms, 0),
    ):
        if not minimum <= value <= _MAX_NUMBER:
            allowed = f"{minimum} to {_MAX_NUMBER}"
            faults.append(plain.Fault(name, f"{value!r:.40}", allowed))
    for name, text in (
        ("target", announcement.target),
        ("service_name", announcement.service_name),
    ):
        if len(text) > _MAX_NAME_CHARS:
            allowed = f"{_MAX_NAME_CHARS} characters at most"
            faults.append(plain.Fault(name, f"{text!r:.40}", allowed))
    try:
        options.split_address(announcement.address)
    except ValueError:
        allowed = "an IP number and a port"
        faults.append(
            plain.Fault("address", repr(announcement.address), allowed)
        )
    if faults:
        raise plain.ValidationError(faults)
    return announcement


class Target:
    """A target and its load.

    :ivar last_announced_at: monotonic time of the newest announcement.
    :ivar in_flight: requests of this side that are in progress there.
    :ivar latency_s: moving average of latency; 0 before the first answer.
    """

    def __init__(self, announcement: Announcement, now: float) -> None:
        """Create a target from its first announcement."""
        self.announcement = announcement
        self.last_announced_at = now
        self.in_flight = 0
        self.latency_s = 0.0

    def cold_left_ms(self, now: float) -> int:
        """Return how much longer it is slow after its start."""
        elapsed_ms = int((now - self.last_announced_at) * 1000)
        return max(0, self.announcement.cold_left_ms - elapsed_ms)

    def record_latency(self, latency_s: float) -> None:
        """Add a sample to the moving average of latency."""
        if not self.latency_s:
            self.latency_s = latency_s
        self.latency_s += _LATENCY_WEIGHT * (latency_s - self.latency_s)


class SlotRefusal(NamedTuple):
    """Why a target accepts no request.

    :ivar is_full: whether it may accept one as soon as a slot is free.
    """

    detail: str
    is_full: bool


class TargetTable:
    """All targets of one side.

    :ivar draining: whether the side itself accepts no new requests.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self._targets: dict[str, Target] = {}
        self.draining = False

    def apply_announcement(
        self, announcement: Announcement, now: float
    ) -> bool:
        """Add or update the target of an announcement.

        :return: whether entries should get a heartbeat with the change.
        """
        current = self._targets.get(announcement.target)
        if current is None:
            target = Target(announcement, now)
            self._targets[announcement.target] = target
            return True
        # A target that warms up says so every time; entries compute it.
        changed = current.announcement != announcement._replace(
            cold_left_ms=current.announcement.cold_left_ms
        )
        current.announcement = announcement
        current.last_announced_at = now
        return changed

    def expire_silent(self, now: float) -> list[str]:
        """Remove the targets whose announcements have stopped.

        One that still serves requests is set to draining instead.

        :return: the names of all silent targets.
        """
        silent = [
            name
            for name, target in self._targets.items()
            if now - target.last_announced_at
            > _MAX_MISSED_PERIODS * target.announcement.period_ms / 1000
        ]
        for name in silent:
            if not self._targets[name].in_flight:
                del self._targets[name]
            else:
                busy = self._targets[name]
                busy.announcement = busy.announcement._replace(draining=True)
        return silent

    def acquire_slot(self, name: str, service: str) -> Target | SlotRefusal:
        """Take a slot at a target.

        :param name: the target, or empty for the one of the service that has
            the most free slots.
        :return: the target, or why no slot was taken.
        """
        if not name:
            name = self._find_most_free(service)
        target = self._targets.get(name)
        if target is None:
            return SlotRefusal(f"target {name} is not registered here", False)
        if target.announcement.draining or self.draining:
            return SlotRefusal(f"target {name} is draining", False)
        if target.in_flight >= target.announcement.slots:
            return SlotRefusal(f"target {name} has no free slot", True)
        target.in_flight += 1
        return target

    def _find_most_free(self, service: str) -> str:
        """Find the target of a service that has the most free slots.

        :return: its name, or the name of the service if it has no target.
        """
        free = {
            name: target.announcement.slots - target.in_flight
            for name, target in self._targets.items()
            if target.announcement.service_name == service
        }
        return max(free, key=lambda name: free[name], default=service)

    def release_slot(self, target: Target) -> None:
        """Release a slot of a target."""
        target.in_flight -= 1

    def list_states(self, now: float) -> tuple[messages.TargetState, ...]:
        """List the state of every target, for a heartbeat."""
        return tuple(
            messages.TargetState(
                target.announcement.target,
                target.announcement.service_name,
                target.announcement.slots,
                target.in_flight,
                target.announcement.draining or self.draining,
                target.cold_left_ms(now),
            )
            for target in self._targets.values()
        )
