"""A start from snapshots, some of which can't be used."""

from typing import Any

from kingcuplever.connection import log_service
from kingcuplever.process import data_centre
from kingcuplever.process import snapshots
from kingcuplever.process import state
from kingcuplever import records


class Inbox:
    """Takes what a sink hands over."""

    def __init__(self) -> None:
        self.messages: list[Any] = []

    def post(self, message: Any) -> None:
        self.messages.append(message)


def record_at(offset: int, body: records.Body) -> log_service.LogRecord:
    record = records.make(body, 1, "e1", 0)
    return log_service.LogRecord(offset, records.to_text(record))


def test_unreadable_snapshot_is_passed_over() -> None:
    schedule = state.Schedule("jerash")
    schedule.offset = 52
    rows = (
        record_at(50, records.Snapshot(49, {})),
        record_at(51, records.Snapshot(10, {})),
        record_at(53, snapshots.write(schedule)),
    )
    inbox = Inbox()
    sink = data_centre.StreamSink(inbox)
    assert sink.restart(40) == 40
    assert sink.take(log_service.LogBatch(40, 60, rows[:2])) == 52
    assert sink.take(log_service.LogBatch(40, 60, rows[2:])) == 52
    restored = inbox.messages[-1]
    assert restored.schedule.offset == 52
    assert len(inbox.messages) == 2
