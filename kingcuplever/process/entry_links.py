"""Keeps track of the connections between entries.

Every entry keeps a connection to the owner's entry and probes it.  So a
former owner that can no longer reach the log still has connections to the
other entries.
"""

from kingcuplever.connection import peer as peers


class EntryLinks:
    """Connections to other entries, whichever entry opened them."""

    def __init__(self) -> None:
        """Start without connections."""
        self._owner_link: peers.PeerConnection | None = None
        self._probers: dict[peers.PeerConnection, None] = {}

    @property
    def prober_count(self) -> int:
        """Number of entries that probe this one."""
        return len(self._probers)

    def set_owner_link(self, peer: peers.PeerConnection) -> None:
        """Set the connection that was opened to the owner's entry."""
        self._owner_link = peer

    def record_prober(self, peer: peers.PeerConnection) -> None:
        """Record that another entry has just sent a probe."""
        self._probers.pop(peer, None)
        self._probers[peer] = None

    def remove_link(self, peer: peers.PeerConnection) -> None:
        """Remove a connection that has ended."""
        self._probers.pop(peer, None)
        if self._owner_link is peer:
            self._owner_link = None

    def list_by_preference(self) -> list[peers.PeerConnection]:
        """Return the connections: the owner's, then the newest prober's."""
        first = [] if self._owner_link is None else [self._owner_link]
        return first + [*reversed(self._probers)]
