"""Tells which data centres are evacuated: nothing new may start there.

The operator's statements are read from the log.  Processes may have read it
up to different offsets; of two views the one with the higher version is newer.
"""

from typing import NamedTuple


class Evacuations(NamedTuple):
    """The evacuated data centres at one point of the operator's statements.

    :ivar version: offset on the log after the newest change; 0 if unknown.
    :ivar data_centres: names of the evacuated data centres, sorted.
    """

    version: int
    data_centres: tuple[str, ...]

    def is_newer_than(self, other: "Evacuations") -> bool:
        """Return whether this view replaces another.

        While pages of a snapshot are read, data centres are added under the
        version of the snapshot's end.
        """
        return self.version > other.version or (
            self.version == other.version
            and set(self.data_centres) > set(other.data_centres)
        )


NONE_KNOWN = Evacuations(0, ())


class EvacuationTable:
    """Keeps the newest statement about each data centre, from keyed records.

    :ivar view: the evacuations that the records state.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.view = NONE_KNOWN
        self._offsets: dict[str, int] = {}
        self._evacuated: set[str] = set()

    def apply(self, data_centre: str, is_evacuated: bool, offset: int) -> None:
        """Apply one statement; an older one has no effect."""
        if offset <= self._offsets.get(data_centre, -1):
            return
        self._offsets[data_centre] = offset
        if is_evacuated:
            self._evacuated.add(data_centre)
        else:
            self._evacuated.discard(data_centre)
        self._update_view(offset + 1)

    def begin_snapshot(self, end: int) -> None:
        """Drop all statements; those of a snapshot follow.

        A data centre that the snapshot lacks has been taken back.

        :param end: offset after the snapshot.
        """
        self._offsets.clear()
        self._evacuated.clear()
        self._update_view(end)

    def _update_view(self, version: int) -> None:
        self.view = Evacuations(
            max(version, self.view.version), tuple(sorted(self._evacuated))
        )
