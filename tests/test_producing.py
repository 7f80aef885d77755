"""Tests of the outcome of appends when the log fails."""

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
    """Append for several callers, and return the time until all are done.

    :raises errors.KingcupleverError: the first failure, if any.
    """
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
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(appender.run)
            async with trio.open_nursery() as callers:
                for _ in range(count):
                    callers.start_soon(call, appender)
            nursery.cancel_scope.cancel()
        return trio.current_time() - started_at

    clock = trio.testing.MockClock(autojump_threshold=0)
    elapsed_s = trio.run(main, clock=clock)
    if failures:
        raise failures[0]
    return elapsed_s


def test_append_is_repeated_after_a_lost_reply_and_takes_effect_once() -> None:
    log = scripted_log.ScriptedLog(
        scripted_log.REPLY_LOST, scripted_log.REPLY_LOST
    )
    assert append(log) < 1.5
    assert len(log.accepted) == 1


def test_refusal_is_raised_at_once() -> None:
    log = scripted_log.ScriptedLog(scripted_log.REFUSED)
    with pytest.raises(errors.LogRefused):
        append(log, timeout_s=0.05)
    assert log.attempts == 1


def test_refusal_after_a_lost_reply_is_raised_as_unavailable() -> None:
    # The record may be on the log.  Callers get the error soon, not at their
    # timeout, so that they can go to another entry.
    log = scripted_log.ScriptedLog(
        scripted_log.REPLY_LOST, f"{scripted_log.REFUSED}*"
    )
    with pytest.raises(errors.LogUnavailable) as raised:
        append(log)
    assert type(raised.value) is errors.LogUnavailable
    assert log.attempts < 8


def test_append_is_repeated_until_its_timeout() -> None:
    log = scripted_log.ScriptedLog(f"{scripted_log.REPLY_LOST}*")
    with pytest.raises(errors.LogUnavailable) as raised:
        append(log, timeout_s=2.0)
    assert type(raised.value) is errors.LogUnavailable
    assert log.attempts >= 3


def test_fenced_append_is_raised_as_unavailable() -> None:
    log = scripted_log.ScriptedLog(scripted_log.FENCED)
    with pytest.raises(errors.LogUnavailable) as raised:
        append(log)
    assert type(raised.value) is errors.LogUnavailable


def test_concurrent_callers_share_appends() -> None:
    log = scripted_log.ScriptedLog()
    append(log, count=50)
    assert log.attempts <= 2


def test_append_with_unknown_outcome_is_repeated_before_the_next() -> None:
    """Otherwise the log drops the next append as a repetition."""
    log = scripted_log.ScriptedLog(scripted_log.REPLY_LOST)
    other = keyed_log.KeyedRecord("s:j2", b"{}")

    async def main() -> None:
        producer = log_producer.Producer(log, "jobs", "owner", 1)
        with pytest.raises(errors.LogUnavailable):
            await producer.try_append([RECORD])
        await producer.append([other])

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert log.records == [RECORD, other]


class _RepeatLog:
    """A log that loses one answer, and answers repeats as it did first."""

    def __init__(self) -> None:
        self.calls = 0

    async def append(
        self,
        topic: str,
        records: object,
        stamp: keyed_log.ProducerStamp,
        expected_end: int | None = None,
    ) -> int:
        """Append; the first answer is lost."""
        self.calls += 1
        if self.calls == 1:
            raise errors.LogUnavailable("lost")
        return 1


# Guards against a former owner whose permission is renewed by the answer to
# a repeat: the append took effect before its successor's claim.
def test_repeated_append_confirms_its_first_sending_only() -> None:
    async def main() -> None:
        producer = log_producer.Producer(
            _RepeatLog(), "jobs", "owner", 1  # type: ignore[arg-type]
        )
        with pytest.raises(errors.LogUnavailable):
            await producer.try_append([])
        await trio.sleep(10.0)
        await producer.try_append([])
        assert producer.confirmed_at.elapsed_s() >= 10.0

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
