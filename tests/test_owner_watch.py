"""When an entry takes over from an owner that is silent."""

from kingcuplever.process import owner_watch


def first_claim(
    reads: list[tuple[float, int]], vacant: bool = False, until: float = 30.0
) -> float | None:
    """Give the time of the first claim.

    :param reads: time of each successful read, and the owners' records
        that had been read by then.
    """
    watch = owner_watch.OwnerWatch(1.0, 0.0)
    now = 0.0
    while now < until:
        done = [read for read in reads if read[0] <= now]
        seen_at, count = done[-1] if done else (float("-inf"), 0)
        if watch.may_claim(count, seen_at, vacant, now):
            return now
        now += 0.1
    return None


def test_nothing_is_claimed_before_the_log_was_read() -> None:
    assert first_claim([], vacant=True) is None


def test_vacant_ownership_is_claimed_at_once() -> None:
    claimed = first_claim([(1.0, 0), (1.7, 0)], vacant=True)
    assert claimed is not None and claimed < 1.5


def test_renewing_owner_is_left_alone() -> None:
    assert first_claim([(0.7 * n, n) for n in range(60)]) is None


def test_silent_owner_is_followed_within_two_seconds_and_a_half() -> None:
    # Polls end without records, 0.7 s apart; a first version asked for a
    # read within 0.9 s while polls took 1.5, and needed eleven seconds.
    reads = [(0.7 * n, min(n, 5)) for n in range(60)]
    claimed = first_claim(reads)
    assert claimed is not None
    assert owner_watch.SILENCE_S < claimed - 3.5 < 2.5


def test_time_without_reads_is_no_silence() -> None:
    # The log is away from 3 s to 10 s; the owner renews right after it.
    reads = [(0.7 * n, n) for n in range(5)]
    reads += [(10.0 + 0.7 * n, 5 + n) for n in range(30)]
    assert first_claim(reads) is None


def test_owner_that_was_lost_with_the_log_is_followed() -> None:
    reads = [(0.7 * n, n) for n in range(5)]
    reads += [(10.0 + 0.7 * n, 4) for n in range(20)]
    claimed = first_claim(reads)
    assert claimed is not None and 11.0 <= claimed < 12.5
