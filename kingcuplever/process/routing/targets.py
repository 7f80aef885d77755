"""The targets beside one side: announcements, slots, drain.

There is no list of targets; each announces itself again and again, and one
that has gone quiet is dropped.  Pure: time is passed in.
"""

from typing import Final
from typing import NamedTuple

from kingcuplever import messages
from kingcuplever import options
from kingcuplever import plain

# A target that was not heard for so many of its periods is dropped.
_MAX_MISSED_PERIODS: Final = 3
# Weight of the newest answer in a target's usual time.
_LATENCY_WEIGHT: Final = 0.2


class Announcement(NamedTuple):
    """What a target says of itself.

    :ivar address: where it takes requests.
    :ivar period_ms: how often it announces itself.
    :ivar draining: whether it wants no new work.
    """

    target: str
    service_name: str
    address: str
    slots: int
    period_ms: int = 1000
    draining: bool = False


def parse_announcement(document: object) -> Announcement:
    """Check an announcement.

    :raises plain.FaultyValue: naming every fault.
    """
    found = plain.from_plain(Announcement, document, "announcement")
    faults = []
    for name, value in (("slots", found.slots), ("period", found.period_ms)):
        if value < 1:
            faults.append(plain.Fault(name, repr(value), "1 or more"))
    try:
        options.split_address(found.address)
    except ValueError:
        allowed = "an IP number and a port"
        faults.append(plain.Fault("address", repr(found.address), allowed))
    if faults:
        raise plain.ValidationError(faults)
    return found


class Target:
    """One target and what runs there.

    :ivar busy: requests of this side in progress.
    :ivar usual_s: how long its answers take of late; 0 before any.
    """

    def __init__(self, announcement: Announcement, now: float) -> None:
        """Take the first announcement."""
        self.announcement = announcement
        self.last_announced_at = now
        self.in_flight = 0
        self.latency_s = 0.0

    def record_latency(self, seconds: float) -> None:
        """Take in how long an answer took."""
        if not self.latency_s:
            self.latency_s = seconds
        self.latency_s += _LATENCY_WEIGHT * (seconds - self.latency_s)


class SlotRefusal(NamedTuple):
    """Why a target takes no new work.

    :ivar full: whether it may take it once a slot is free.
    """

    detail: str
    is_full: bool


class TargetTable:
    """All targets beside one side.

    :ivar draining: whether the side itself takes no new work.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self._targets: dict[str, Target] = {}
        self.draining = False

    def apply_announcement(
        self, announcement: Announcement, now: float
    ) -> bool:
        """Take an announcement in.

        :return: whether it changed anything that an entry should know.
        """
        known = self._targets.get(announcement.target)
        if known is None:
            target = Target(announcement, now)
            self._targets[announcement.target] = target
            return True
        changed = known.announcement != announcement
        known.announcement = announcement
        known.last_announced_at = now
        return changed

    def expire_silent(self, now: float) -> list[str]:
        """Drop the targets that have gone quiet; give their names."""
        quiet = [
            name
            for name, target in self._targets.items()
            if now - target.last_announced_at
            > _MAX_MISSED_PERIODS * target.announcement.period_ms / 1000
        ]
        for name in quiet:
            if not self._targets[name].in_flight:
                del self._targets[name]
            else:
                known = self._targets[name]
                known.announcement = known.announcement._replace(draining=True)
        return quiet

    def acquire_slot(self, name: str, service: str) -> Target | SlotRefusal:
        """Take a slot at a target.

        :param name: the target, or empty for any of the service.
        """
        if not name:
            name = self._find_most_free(service)
        target = self._targets.get(name)
        if target is None:
            return SlotRefusal(f"target {name} is not here", False)
        if target.announcement.draining or self.draining:
            return SlotRefusal(f"target {name} is draining", False)
        if target.in_flight >= target.announcement.slots:
            return SlotRefusal(f"target {name} has no free slot", True)
        target.in_flight += 1
        return target

    def _find_most_free(self, service: str) -> str:
        """Give the target of a service with the most free slots."""
        free = {
            name: target.announcement.slots - target.in_flight
            for name, target in self._targets.items()
            if target.announcement.service_name == service
        }
        return max(free, key=lambda name: free[name], default=service)

    def release_slot(self, target: Target) -> None:
        """Give a slot back."""
        target.in_flight -= 1

    def list_states(self) -> tuple[messages.TargetState, ...]:
        """Give every target, for a heartbeat."""
        return tuple(
            messages.TargetState(
                target.announcement.target,
                target.announcement.service_name,
                target.announcement.slots,
                target.in_flight,
                target.announcement.draining or self.draining,
            )
            for target in self._targets.values()
        )
