"""Arithmetic on accelerator masks: aligned blocks in the manner of buddies.

Accelerators of a worker are numbered from 0; blocks of 1, 2, 4, 8 ... are
aligned to their size, and only such blocks count as adjacent.  Pure
functions of small integers, cached because few masks ever occur.
"""

import functools
from typing import Final

_CACHE_ENTRIES: Final = 65536


def round_up(count: int) -> int:
    """Give the smallest power of two that is not below ``count``."""
    return 1 << (count - 1).bit_length() if count > 0 else 0


def full_mask(gpus: int) -> int:
    """Give the mask of a whole worker."""
    return (1 << gpus) - 1


@functools.lru_cache(maxsize=_CACHE_ENTRIES)
def maximal_blocks(free: int, gpus: int) -> tuple[int, ...]:
    """Split a free mask into its largest aligned blocks, largest first.

    :return: masks of the blocks; blocks of equal size come in order.
    """
    found: list[int] = []
    size = round_up(gpus)
    rest = free
    while size:
        for start in range(0, gpus, size):
            block = ((1 << size) - 1) << start
            if rest & block == block and start + size <= gpus:
                found.append(block)
                rest &= ~block
        size //= 2
    return tuple(found)


@functools.lru_cache(maxsize=_CACHE_ENTRIES)
def best_block(free: int, gpus: int, need: int) -> int:
    """Choose ``need`` adjacent accelerators from the tightest free block.

    :return: their mask, or 0 if no aligned block holds them.
    """
    fitting = [
        block
        for block in maximal_blocks(free, gpus)
        if block.bit_count() >= need
    ]
    if not fitting:
        return 0
    tightest = min(fitting, key=int.bit_count)
    lowest = tightest & -tightest
    return ((1 << need) - 1) * lowest


@functools.lru_cache(maxsize=_CACHE_ENTRIES)
def aligned_blocks(free: int, gpus: int, size: int) -> tuple[int, ...]:
    """Give every free aligned block of a size, a power of two."""
    whole = (1 << size) - 1
    return tuple(
        whole << start
        for start in range(0, gpus - size + 1, size)
        if free >> start & whole == whole
    )


def enclosing(block: int, size: int) -> int:
    """Give the aligned block of a size that holds a smaller block."""
    lowest = (block & -block).bit_length() - 1
    start = lowest - lowest % size
    return ((1 << size) - 1) << start


@functools.lru_cache(maxsize=_CACHE_ENTRIES)
def capacity(free: int, gpus: int, need: int) -> int:
    """Count how many tasks of ``need`` adjacent accelerators fit."""
    size = round_up(need)
    return sum(
        block.bit_count() // size for block in maximal_blocks(free, gpus)
    )


def carve(free: int, gpus: int, need: int, tasks: int) -> list[int]:
    """Choose masks for several tasks, from the tightest blocks first.

    :return: at most ``tasks`` masks.
    """
    masks: list[int] = []
    while len(masks) < tasks:
        mask = best_block(free, gpus, need)
        if not mask:
            break
        masks.append(mask)
        free &= ~mask
    return masks
