"""What callers hear of an append, whatever the log does with it."""

import pytest
import trio

from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever.process.stored import log_producer
from tests import scripted_log

RECORD = keyed_log.KeyedRecord("s:j1", b"{}")


def append(
    log: scripted_log.ScriptedLog, timeout_s: float = 3.0, count: int = 1
) -> float:
    """Append for some callers; give how long the last one waited."""
    failures: list[errors.KingcupleverError] = []

    async def call(appender: log_producer.BatchAppender) -> None:
        try:
            await appender.append([RECORD], timeout_s)
        except errors.KingcupleverError as error:
            failures.append(error)

    async def main() -> float:
        appender = log_producer.BatchAppender(
            lambda: log_producer.Producer(log, "jobs", "entry-1", 1)
        )
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(appender.run)
            async with trio.open_nursery() as callers:
                for _ in range(count):
                    callers.start_soon(call, appender)
            nursery.cancel_scope.cancel()
        return trio.current_time() - began_at

    clock = trio.testing.MockClock(autojump_threshold=0)
    waited_s = trio.run(main, clock=clock)
    if failures:
        raise failures[0]
    return waited_s


def test_lost_answer_is_repeated_and_counts_once() -> None:
    log = scripted_log.ScriptedLog(
        scripted_log.REPLY_LOST, scripted_log.REPLY_LOST
    )
    assert append(log) < 1.5
    assert len(log.accepted) == 1


def test_refusal_is_told_at_once() -> None:
    log = scripted_log.ScriptedLog(scripted_log.REFUSED)
    with pytest.raises(errors.LogRefused):
        append(log, timeout_s=0.05)
    assert log.attempts == 1


def test_refusal_after_a_lost_answer_is_no_refusal() -> None:
    # It may be on the log; callers hear so soon, to go to another entry,
    # and not at the end of their time.
    log = scripted_log.ScriptedLog(
        scripted_log.REPLY_LOST, f"{scripted_log.REFUSED}*"
    )
    with pytest.raises(errors.LogUnavailable) as raised:
        append(log)
    assert type(raised.value) is errors.LogUnavailable
    assert log.attempts < 8


def test_silent_log_is_tried_until_the_callers_time_is_over() -> None:
    log = scripted_log.ScriptedLog(f"{scripted_log.REPLY_LOST}*")
    with pytest.raises(errors.LogUnavailable) as raised:
        append(log, timeout_s=2.0)
    assert type(raised.value) is errors.LogUnavailable
    assert log.attempts >= 3


def test_producer_begins_anew_where_its_numbers_are_not_taken() -> None:
    log = scripted_log.ScriptedLog(scripted_log.FENCED)
    with pytest.raises(errors.LogUnavailable) as raised:
        append(log)
    assert type(raised.value) is errors.LogUnavailable


def test_callers_that_come_together_share_appends() -> None:
    log = scripted_log.ScriptedLog()
    append(log, count=50)
    assert log.attempts <= 2


def test_append_in_doubt_is_settled_before_the_next() -> None:
    """Else the log takes the next one for a repetition and drops it."""
    log = scripted_log.ScriptedLog(scripted_log.REPLY_LOST)
    other = keyed_log.KeyedRecord("s:j2", b"{}")

    async def main() -> None:
        producer = log_producer.Producer(log, "jobs", "owner", 1)
        with pytest.raises(errors.LogUnavailable):
            await producer.try_append([RECORD])
        await producer.append([other])

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert log.records == [RECORD, other]
