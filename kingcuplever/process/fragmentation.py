"""Measures fragmentation of the free accelerators.

For a size, it is the share of free accelerators that cannot serve a task of
that many adjacent accelerators: 0 is unbroken, 1 means that nothing of that
size fits although accelerators are free.
"""

from typing import Final

from kingcuplever.process import blocks
from kingcuplever.process import ledger as ledgers

SIZES: Final = (2, 4, 8)


def share(ledger: ledgers.Ledger, gpus: int) -> float:
    """Give the fragmentation for one size of task."""
    free = 0
    usable = 0
    for room in ledger.usable_rooms():
        free += room.free_mask.bit_count()
        fitting = blocks.capacity(room.free_mask, room.shape.gpus, gpus)
        usable += fitting * gpus
    return 1 - usable / free if free else 0.0


def shares(ledger: ledgers.Ledger) -> dict[int, float]:
    """Give the fragmentation for each usual size of task."""
    return {gpus: share(ledger, gpus) for gpus in SIZES}
