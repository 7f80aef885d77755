"""When an entry takes over from an owner that is silent."""

from kingcuplever.process.owner import failure_detector


def first_claim(
    reads: list[tuple[float, int]],
    vacant: bool = False,
    until: float = 30.0,
    words: dict[float, failure_detector.ProbeOutcome] | None = None,
) -> float | None:
    """Give the time of the first claim.

    :param reads: time of each successful read, and the owners' records
        that had been read by then.
    :param words: what the owner's entry says, from a time on; at first that
        it owns.
    """
    watch = failure_detector.OwnerFailureDetector(1.0, 0.0)
    now = 0.0
    while now < until:
        done = [read for read in reads if read[0] <= now]
        seen_at, count = done[-1] if done else (float("-inf"), 0)
        said = [(word, at) for at, word in (words or {}).items() if at <= now]
        told = said[-1] if said else (failure_detector.ProbeOutcome.OWNS, 0.0)
        reading = failure_detector.LogStatus(count, seen_at, vacant)
        if watch.may_claim(reading, failure_detector.ProbeResult(*told), now):
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
    assert failure_detector.SILENCE_TIMEOUT_S < claimed - 3.5 < 2.5


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


def test_owner_whose_process_ended_is_followed_at_once() -> None:
    """SHORT on phulrenu-kl: nobody decided for 2.4 s after a killed owner.

    Urgent work in flight has little over a second to spare.
    """
    reads = [(0.1 * n, min(n // 5, 10)) for n in range(200)]
    claimed = first_claim(
        reads, words={5.05: failure_detector.ProbeOutcome.NOT_OWNER}
    )
    assert claimed is not None and claimed <= 5.5


def test_owner_that_does_not_answer_is_followed_in_a_second_and_a_half() -> (
    None
):
    """A host without power: its last record was read at 5.0 s."""
    reads = [(0.1 * n, min(n // 5, 10)) for n in range(200)]
    claimed = first_claim(
        reads, words={5.6: failure_detector.ProbeOutcome.NO_ANSWER}
    )
    assert claimed is not None
    assert failure_detector.UNANSWERED_TIMEOUT_S <= claimed - 5.0 < 1.5


def test_owner_that_is_cut_from_the_log_alone_is_followed_soon() -> None:
    """The log serves this entry; the owner says that it can't append.

    Its last record was read at 5.0 s.
    """
    reads = [(0.1 * n, min(n // 5, 10)) for n in range(200)]
    claimed = first_claim(
        reads, words={5.4: failure_detector.ProbeOutcome.APPEND_FAILING}
    )
    assert claimed is not None and claimed - 5.0 < 1.5


def test_owner_that_fails_like_all_others_is_left_alone() -> None:
    """The log is away for all from 3 s to 10 s; the owner says so.

    Once it is back the owner appends again.
    """
    reads = [(0.5 * n, n) for n in range(7)]
    reads += [(10.0 + 0.5 * n, 7 + n) for n in range(60)]
    words = {
        3.4: failure_detector.ProbeOutcome.APPEND_FAILING,
        10.2: failure_detector.ProbeOutcome.OWNS,
    }
    assert first_claim(reads, words=words) is None


def test_owner_that_can_not_be_asked_and_renews_is_left_alone() -> None:
    """Entries may be cut from one another while the log serves both."""
    reads = [(0.5 * n, n) for n in range(60)]
    words = {0.0: failure_detector.ProbeOutcome.NO_ANSWER}
    assert first_claim(reads, words=words) is None


def test_entry_that_owned_before_its_restart_claims_at_once() -> None:
    """Nobody else needs to be waited for: the log names this entry."""
    watch = failure_detector.OwnerFailureDetector(0.0, 1.0)
    told = failure_detector.ProbeResult(
        failure_detector.ProbeOutcome.NO_ANSWER
    )
    reading = failure_detector.LogStatus(3, 1.0, False, True)
    assert watch.may_claim(reading, told, 1.0)
