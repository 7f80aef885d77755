"""The links between entries: to the owner's entry, and from those that ask it.

Each entry keeps one to the owner's entry, so that a former owner still has
links to the others once it is cut from the log.
"""

from kingcuplever.connection import peer as peers


class EntryLinks:
    """Links to other entries, whoever opened them."""

    def __init__(self) -> None:
        """Start without links."""
        self._to_owner: peers.Peer | None = None
        self._askers: dict[peers.Peer, None] = {}

    @property
    def askers(self) -> int:
        """How many entries ask this one whether it owns."""
        return len(self._askers)

    def reached_owner(self, peer: peers.Peer) -> None:
        """A link to the owner's entry is open."""
        self._to_owner = peer

    def asked_by(self, peer: peers.Peer) -> None:
        """Another entry has asked on its link."""
        self._askers.pop(peer, None)
        self._askers[peer] = None

    def lost(self, peer: peers.Peer) -> None:
        """A link has ended."""
        self._askers.pop(peer, None)
        if self._to_owner is peer:
            self._to_owner = None

    def in_order(self) -> list[peers.Peer]:
        """Give the links, the owner's entry first, then the newest heard."""
        first = [] if self._to_owner is None else [self._to_owner]
        return first + [*reversed(self._askers)]
