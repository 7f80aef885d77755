"""Membership: the sides that are connected to one entry.

A side is a member while its connection is open and its heartbeats arrive.
Claims of idempotency keys are placed on the members by consistent hashing, so
that the loss of a side moves only the claims that were placed on it.
"""

import bisect
import functools
import hashlib
from typing import Final

from kingcuplever.connection import peer as peers
from kingcuplever import messages

# Points of each side on the hash ring; more of them spread keys more evenly.
_VIRTUAL_NODES: Final = 32
_POINTS_CACHE_SIZE: Final = 4096


class Link:
    """A side and the connection to it, as of its newest heartbeat.

    :ivar last_heartbeat_at: monotonic time of the newest heartbeat.
    """

    def __init__(
        self,
        peer: peers.PeerConnection,
        heartbeat: messages.Heartbeat,
        now: float,
    ) -> None:
        """Create a link from a heartbeat that came over a connection."""
        self.peer = peer
        self.side = heartbeat.side
        self.incarnation = heartbeat.incarnation
        self.data_centre = heartbeat.data_centre
        self.last_heartbeat_at = now
        self.config_version = heartbeat.config_version


class Members:
    """The sides that are connected to one entry, and their hash ring."""

    def __init__(self) -> None:
        """Start without members."""
        self._links: dict[str, Link] = {}
        self._ring: list[tuple[int, str]] = []

    def __len__(self) -> int:
        """Count the members."""
        return len(self._links)

    def record_heartbeat(
        self,
        peer: peers.PeerConnection,
        heartbeat: messages.Heartbeat,
        now: float,
    ) -> bool:
        """Add or update the side of a heartbeat.

        A heartbeat of an earlier incarnation is ignored.

        :return: whether the side is new or has restarted.
        """
        known = self._links.get(heartbeat.side)
        if known is not None and heartbeat.incarnation < known.incarnation:
            return False
        link = Link(peer, heartbeat, now)
        self._links[heartbeat.side] = link
        if known is None:
            self._rebuild_ring()
        return known is None or known.incarnation != link.incarnation

    def remove_peer(self, peer: peers.PeerConnection) -> str:
        """Remove the side of a connection that has ended.

        :return: its name, or empty if it has a newer connection.
        """
        for link in self._links.values():
            if link.peer is peer:
                del self._links[link.side]
                self._rebuild_ring()
                return link.side
        return ""

    def find_silent(self, now: float, silence_s: float) -> list[Link]:
        """List the links without a heartbeat for ``silence_s`` seconds."""
        return [
            link
            for link in self._links.values()
            if now - link.last_heartbeat_at > silence_s
        ]

    def find(self, side: str) -> Link | None:
        """Return the link of a side, or ``None``."""
        return self._links.get(side)

    def list_links(self) -> list[Link]:
        """List all links, sorted by side."""
        return [self._links[name] for name in sorted(self._links)]

    def find_claim_replicas(self, key: str, count: int) -> list[Link]:
        """List the sides that store a key's claim, the primary first.

        These are the first ``count`` sides on the hash ring from the key's
        hash whose connection is open.
        """
        replicas: dict[str, None] = {}
        start = bisect.bisect(self._ring, (_hash(key), ""))
        for step in range(len(self._ring)):
            _, side = self._ring[(start + step) % len(self._ring)]
            if self._links[side].peer.is_closed:
                continue
            replicas[side] = None
            if len(replicas) == count:
                break
        return [self._links[side] for side in replicas]

    def _rebuild_ring(self) -> None:
        self._ring = sorted(
            (point, side)
            for side in self._links
            for point in _hash_virtual_nodes(side)
        )


@functools.lru_cache(maxsize=_POINTS_CACHE_SIZE)
def _hash_virtual_nodes(side: str) -> tuple[int, ...]:
    """Compute the points of a side on the hash ring."""
    return tuple(_hash(f"{side}#{number}") for number in range(_VIRTUAL_NODES))


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
