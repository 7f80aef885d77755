"""The sides that are linked to one entry.

A side is a member while its link lives and its heartbeats come.  Keys are
spread over the members by a hash ring, so that the loss of one side moves
only the keys that it held.
"""

import bisect
import functools
import hashlib
from typing import Final

from kingcuplever.connection import peer as peers
from kingcuplever import messages

# Points of each side on the ring; more spread keys more evenly.
_VIRTUAL_NODES: Final = 32
_POINTS_CACHE_SIZE: Final = 4096


class Link:
    """One side and the connection to it.

    :ivar heard_at: monotonic time of its newest heartbeat.
    """

    def __init__(
        self,
        peer: peers.PeerConnection,
        heartbeat: messages.Heartbeat,
        now: float,
    ) -> None:
        """Take a side's first heartbeat on a connection."""
        self.peer = peer
        self.side = heartbeat.side
        self.incarnation = heartbeat.incarnation
        self.data_centre = heartbeat.data_centre
        self.last_heartbeat_at = now
        self.config_version = heartbeat.config_version


class Members:
    """All linked sides of one entry."""

    def __init__(self) -> None:
        """Start without sides."""
        self._links: dict[str, Link] = {}
        self._ring: list[tuple[int, str]] = []

    def __len__(self) -> int:
        """Count the linked sides."""
        return len(self._links)

    def record_heartbeat(
        self,
        peer: peers.PeerConnection,
        heartbeat: messages.Heartbeat,
        now: float,
    ) -> bool:
        """Take a heartbeat in.

        :return: whether the side is newly linked or has restarted.
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
        """Forget the side of a connection that ended.

        :return: its name, or empty if it has a newer connection.
        """
        for link in self._links.values():
            if link.peer is peer:
                del self._links[link.side]
                self._rebuild_ring()
                return link.side
        return ""

    def find_silent(self, now: float, silence_s: float) -> list[Link]:
        """Give the links whose heartbeats have stopped."""
        return [
            link
            for link in self._links.values()
            if now - link.last_heartbeat_at > silence_s
        ]

    def find(self, side: str) -> Link | None:
        """Give the link of a side."""
        return self._links.get(side)

    def list_links(self) -> list[Link]:
        """Give every link, by the side's name."""
        return [self._links[name] for name in sorted(self._links)]

    def find_claim_replicas(self, key: str, count: int) -> list[Link]:
        """Give the sides that remember a key's claim, its home first."""
        found: dict[str, None] = {}
        start = bisect.bisect(self._ring, (_hash(key), ""))
        for step in range(len(self._ring)):
            _, side = self._ring[(start + step) % len(self._ring)]
            if self._links[side].peer.is_closed:
                continue
            found[side] = None
            if len(found) == count:
                break
        return [self._links[side] for side in found]

    def _rebuild_ring(self) -> None:
        self._ring = sorted(
            (point, side)
            for side in self._links
            for point in _hash_virtual_nodes(side)
        )


@functools.lru_cache(maxsize=_POINTS_CACHE_SIZE)
def _hash_virtual_nodes(side: str) -> tuple[int, ...]:
    """Give the places of a side on the ring."""
    return tuple(_hash(f"{side}#{number}") for number in range(_VIRTUAL_NODES))


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
