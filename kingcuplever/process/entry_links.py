"""The links between entries: to the owner's entry, and from those that ask it.

Each entry keeps one to the owner's entry, so that a former owner still has
links to the others once it is cut from the log.
"""

from kingcuplever.connection import peer as peers


class EntryLinks:
    """Links to other entries, whoever opened them."""

    def __init__(self) -> None:
        """Start without links."""
        self._to_owner: peers.PeerConnection | None = None
        self._probers: dict[peers.PeerConnection, None] = {}

    @property
    def prober_count(self) -> int:
        """How many entries ask this one whether it owns."""
        return len(self._probers)

    def set_owner_link(self, peer: peers.PeerConnection) -> None:
        """A link to the owner's entry is open."""
        self._to_owner = peer

    def record_prober(self, peer: peers.PeerConnection) -> None:
        """Another entry has asked on its link."""
        self._probers.pop(peer, None)
        self._probers[peer] = None

    def remove_link(self, peer: peers.PeerConnection) -> None:
        """A link has ended."""
        self._probers.pop(peer, None)
        if self._to_owner is peer:
            self._to_owner = None

    def list_by_preference(self) -> list[peers.PeerConnection]:
        """Give the links, the owner's entry first, then the newest heard."""
        first = [] if self._to_owner is None else [self._to_owner]
        return first + [*reversed(self._probers)]
