"""Evidence says broken when a promise is broken on purpose.

Each case takes a sound history and changes what a misbehaving decider, a
slow worker or somebody at the log could have changed.
"""

from collections.abc import Callable

from bench import emulator
from kingcuplever.process import evidence
from kingcuplever.process import replay
from kingcuplever.process import snapshots
from kingcuplever.process import state
from kingcuplever import records
import pytest
from tests import test_scheduling_invariants as cases

RECLAIM_MS = 5000


@pytest.fixture(scope="module")
def history() -> list[records.Record]:
    """Give a history with a reclaim and a snapshot in it."""
    world = cases.started()
    for number in range(12):
        assert not world.intend(cases.job(f"s{number}", "b", 1, 4, 30.0))
    world.run_until(8.0)
    assert not world.intend(cases.job("map", "a", 2, 8, 5.0))
    world.run_until(30.0)
    found = list(world.history)
    whole = state.Schedule("here")
    for offset, record in enumerate(found):
        replay.apply(whole, offset, record, records.to_text(record))
    found.append(
        records.make(snapshots.write(whole), 1, "owner-1", world.wall_ms)
    )
    return found


def judge(history: list[records.Record]) -> dict[str, evidence.Judgement]:
    entries = [
        evidence.Entry(offset, records.to_text(record), record)
        for offset, record in enumerate(history)
    ]
    return judge_entries(entries)


def judge_entries(
    entries: list[evidence.Entry],
) -> dict[str, evidence.Judgement]:
    until_ms = emulator.START_MS + 60_000
    found = evidence.judge_data_centre(
        "dc-here", entries, state.Schedule("here"), RECLAIM_MS, until_ms
    )
    return {item.promise: item for item in found}


def position(
    history: list[records.Record], wanted: Callable[[records.Body], bool]
) -> int:
    return next(n for n, r in enumerate(history) if wanted(r.body))


def with_body(
    history: list[records.Record], place: int, body: records.Body
) -> list[records.Record]:
    changed = history[place]._replace(body=body)
    return [*history[:place], changed, *history[place + 1 :]]


def find_commit(
    history: list[records.Record], job: str
) -> tuple[int, records.Commit]:
    place = position(
        history, lambda b: isinstance(b, records.Commit) and b.job == job
    )
    body = history[place].body
    assert isinstance(body, records.Commit)
    return place, body


def test_sound_history_is_kept(history: list[records.Record]) -> None:
    found = judge(history)
    assert {item.verdict for item in found.values()} == {"kept"}
    assert all(item.checked for item in found.values())


def test_part_of_a_gang_is_broken(history: list[records.Record]) -> None:
    place, body = find_commit(history, "map")
    part = body._replace(slots=body.slots[:1])
    found = judge(with_body(history, place, part))
    assert found[evidence.GANG].verdict == "broken"


def test_accelerators_in_use_are_broken(
    history: list[records.Record],
) -> None:
    _, first = find_commit(history, "s0")
    place, second = find_commit(history, "s1")
    found = judge(
        with_body(history, place, second._replace(slots=first.slots))
    )
    assert found[evidence.GANG].verdict == "broken"


def test_placement_without_confirmation_is_broken(
    history: list[records.Record],
) -> None:
    place, body = find_commit(history, "s0")
    found = judge(with_body(history, place, body._replace(job="secret")))
    assert found[evidence.CONFIRMED].verdict == "broken"


def test_slow_reclaim_is_broken(history: list[records.Record]) -> None:
    place = position(
        history,
        lambda b: isinstance(b, records.Vacate) and b.reason == "reclaim",
    )
    early_ms = history[place].time_ms - 2 * RECLAIM_MS
    late = history[place]._replace(time_ms=early_ms)
    changed = [*history[:place], late, *history[place + 1 :]]
    assert judge(changed)[evidence.GUARANTEE].verdict == "broken"


def test_guarantee_that_the_fleet_lost_is_broken(
    history: list[records.Record],
) -> None:
    lost = [
        records.make(
            records.WorkerChange(shape, "lost", "silent"), 1, "owner-1", 0
        )
        for shape in cases.workers(6)[:5]
    ]
    found = judge([*history, *lost])
    assert found[evidence.GUARANTEE].verdict == "broken"
    assert "short of" in found[evidence.GUARANTEE].findings[0].text


def test_edited_record_shows(history: list[records.Record]) -> None:
    place, body = find_commit(history, "s0")
    found = judge(with_body(history, place, body._replace(reason="nicer")))
    assert found[evidence.WHOLE].verdict == "broken"


def test_missing_record_shows(history: list[records.Record]) -> None:
    entries = [
        evidence.Entry(offset, records.to_text(record), record)
        for offset, record in enumerate(history)
    ]
    del entries[5]
    assert judge_entries(entries)[evidence.WHOLE].verdict == "broken"


def test_reverted_configuration_is_broken() -> None:
    plan = records.Plan(
        "p", records.Intent("config", config={}), 0, (), "", "", "rania"
    )
    confirmation = records.Confirmation("p", "rania")
    entries = []
    for offset, body in ((8, plan), (9, confirmation)):
        record = records.make(body, 0, "rania", 0)
        text = records.to_text(record)
        entries.append(evidence.Entry(offset, text, record))
    assert evidence.judge_config("config", entries).verdict == "kept"
    later = records.make(plan._replace(plan="q", base_version=10), 0, "x", 0)
    again = records.make(records.Confirmation("q", "x"), 0, "x", 0)
    entries.append(evidence.Entry(3, "", later))
    entries.append(evidence.Entry(4, "", again))
    assert evidence.judge_config("config", entries).verdict == "broken"


def test_nothing_is_kept_without_a_case() -> None:
    found = judge([])
    assert {item.verdict for item in found.values()} == {"not provable"}
    assert all(item.missing for item in found.values())
