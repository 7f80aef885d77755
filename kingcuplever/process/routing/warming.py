"""Tells how many slots of a target are open while it is cold.

A target that has just started is slow; its share of the requests grows until
it is warm.  What it will be able to serve does not count before.
"""


class Warming:
    """The cold time of one target, as its heartbeats report it."""

    def __init__(self) -> None:
        """Start as warm."""
        self._warm_at = float("-inf")
        self._cold_s = 0.0

    def update(self, cold_left_s: float, now: float) -> None:
        """Apply how much longer the target says that it is cold.

        The longest such time is taken for the whole of it.
        """
        if cold_left_s <= 0:
            self._warm_at = float("-inf")
            return
        if not self.is_cold(now):
            self._cold_s = 0.0
        self._cold_s = max(self._cold_s, cold_left_s)
        self._warm_at = now + cold_left_s

    def is_cold(self, now: float) -> bool:
        """Return whether the target is still cold."""
        return now < self._warm_at

    def count_open_slots(self, slots: int, now: float) -> int:
        """Return how many of a target's slots may be in use."""
        if not self.is_cold(now):
            return slots
        share = 1.0 - (self._warm_at - now) / self._cold_s
        return min(slots, max(1, int(slots * share)))
