"""What an entry does with a job that it can't append itself.

The log and the other entry are scripts; the clock is the test's.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import messages
from kingcuplever.process import entry_relay
from kingcuplever.process import job_api
from kingcuplever.process import job_metrics
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
from kingcuplever.process.stored import log_producer
from kingcuplever.process.stored import topic_follower
import pytest
from tests import pool
from tests import scripted_log
import trio
import trio.testing

JOB = "a" * 16
SPEC: model.JobSpec = pool.spec(pool.step())


class ScriptedRelay:
    """Another entry that keeps, refuses or says nothing."""

    def __init__(self, outcome: str) -> None:
        """Do the same each time."""
        self.outcome = outcome
        self.asked = 0
        self.told: messages.JobAnswer | None = None
        self.looked = 0

    async def append(
        self, records: Sequence[keyed_log.KeyedRecord], timeout_s: float
    ) -> None:
        """Do as the script says."""
        self.asked += 1
        await trio.sleep(0.01)
        if self.outcome == "refused":
            raise errors.LogRefused("no help")
        if self.outcome == "unknown":
            raise errors.LogUnavailable("no word")

    async def query_job(self, job: str) -> messages.JobAnswer | None:
        """Tell what the test says."""
        self.looked += 1
        return self.told


class Setting:
    """A desk between a scripted log and a scripted entry."""

    def __init__(self, relay: str, *script: str) -> None:
        """Make the parts."""
        self.log = scripted_log.ScriptedLog(*script)
        self.relay = ScriptedRelay(relay)
        self.appender = log_producer.BatchAppender(
            lambda: log_producer.Producer(self.log, "jobs", "entry-1", 1)
        )
        self.board = job_table.JobTable()
        self.follower = topic_follower.Follower(
            self.log,
            job_records.TOPIC,
            self.board,
            0.1,
            job_metrics.JobMetrics(),
        )
        self.desk = job_api.JobApi(
            self.board, self.follower, self.appender, self.relay
        )

    def run(self, main: Callable[[], Awaitable[None]]) -> None:
        """Run a case while the appender works."""

        async def whole() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.appender.run)
                await main()
                nursery.cancel_scope.cancel()

        trio.run(whole, clock=trio.testing.MockClock(autojump_threshold=0))

    def take(self, progress: job_records.Progress) -> None:
        """Have the entry know the job, and how far it is."""
        records = (
            job_records.encode_submission(JOB, SPEC),
            job_records.encode_progress(progress),
        )
        self.board.apply_records(
            [
                keyed_log.StoredRecord(offset, record.key, record.value)
                for offset, record in enumerate(records)
            ]
        )

    async def submit(self) -> str:
        """Hand the job in; give the code of the answer, or nothing."""
        try:
            await self.desk.submit(JOB, SPEC, 3.0)
        except errors.KingcupleverError as error:
            return error.code.value
        return ""


@pytest.mark.parametrize(
    ("script", "relay", "answer", "longest_s"),
    [
        ((), "refused", "", 0.01),
        ((f"{scripted_log.REFUSED}*",), "kept", "", 0.1),
        ((f"{scripted_log.LOST}*",), "kept", "", 0.5),
        ((f"{scripted_log.REFUSED}*",), "refused", "OVERLOADED", 0.1),
        ((f"{scripted_log.REFUSED}*",), "unknown", "OUTCOME_UNKNOWN", 0.1),
        ((f"{scripted_log.LOST}*",), "refused", "OUTCOME_UNKNOWN", 3.1),
        ((scripted_log.LOST,), "refused", "", 1.0),
        ((scripted_log.LOST,), "unknown", "", 1.0),
    ],
)
def test_job_is_kept_by_whoever_can(
    script: tuple[str, ...], relay: str, answer: str, longest_s: float
) -> None:
    setting = Setting(relay, *script)

    async def main() -> None:
        began_at = trio.current_time()
        assert await setting.submit() == answer
        assert trio.current_time() - began_at <= longest_s

    setting.run(main)


def test_what_nobody_can_keep_is_refused_at_once_for_a_moment() -> None:
    setting = Setting("refused", f"{scripted_log.REFUSED}*")

    async def main() -> None:
        assert await setting.submit() == "OVERLOADED"
        tries = setting.log.tries
        began_at = trio.current_time()
        assert await setting.submit() == "OVERLOADED"
        assert trio.current_time() == began_at
        assert setting.log.tries == tries
        await trio.sleep(0.5)
        setting.relay.outcome = "kept"
        assert await setting.submit() == ""

    setting.run(main)


@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        ((), messages.KEPT),
        ((f"{scripted_log.REFUSED}*",), messages.REFUSED),
        ((f"{scripted_log.LOST}*",), messages.UNKNOWN),
    ],
)
def test_helper_says_what_became_of_the_records(
    script: tuple[str, ...], outcome: str
) -> None:
    setting = Setting("refused", *script)
    row = messages.KeyedRow(f"s:{JOB}", b"{}")

    async def main() -> None:
        wanted = messages.KeepRecords((row,), 1000)
        reply = await entry_relay.append_relayed(setting.appender, wanted)
        assert reply.outcome == outcome

    setting.run(main)


@pytest.mark.parametrize("key", ["owner", f"j:{JOB}", "p:x", "config", ""])
def test_helper_appends_only_what_callers_hand_in(key: str) -> None:
    setting = Setting("refused")
    wanted = messages.KeepRecords((messages.KeyedRow(key, b"{}"),), 1000)

    async def main() -> None:
        with pytest.raises(errors.InvalidRequest):
            await entry_relay.append_relayed(setting.appender, wanted)
        assert setting.log.tries == 0

    setting.run(main)


def test_entry_whose_appends_fail_asks_for_no_callers() -> None:
    """Cut off from the store, long before its view counts as old."""
    setting = Setting("refused", scripted_log.REFUSED)

    async def main() -> None:
        setting.follower.last_read_at = trio.current_time()
        assert setting.desk.is_ready
        assert await setting.submit() == "OVERLOADED"
        assert not setting.desk.is_ready
        await trio.sleep(0.6)
        assert not setting.desk.is_ready
        setting.follower.last_read_at = trio.current_time()
        assert setting.desk.is_ready

    setting.run(main)


RUNNING = job_records.Progress(JOB, "running", (), ())


@pytest.mark.parametrize(
    ("age_s", "own", "told", "shown"),
    [
        (0.5, "running", messages.JobAnswer(True, "completed", "", 0), ""),
        (5.0, "running", messages.JobAnswer(True, "completed", "", 90), "yes"),
        (5.0, "running", messages.JobAnswer(True, "completed", "", 9000), ""),
        (5.0, "running", None, ""),
        (5.0, "completed", messages.JobAnswer(True, "running", "", 0), ""),
    ],
)
def test_job_that_is_over_is_shown_where_the_log_can_not_be_read(
    age_s: float, own: str, told: messages.JobAnswer | None, shown: str
) -> None:
    """SHORT on phulrenu-kl: callers of one place were told old states.

    Their entry was cut from the store for nine seconds, and said "running"
    of jobs that had ended; whoever's view is newer is believed.
    """
    setting = Setting("refused", f"{scripted_log.REFUSED}*")
    setting.relay.told = told

    async def main() -> None:
        setting.take(RUNNING._replace(state=own))
        setting.follower.last_read_at = trio.current_time()
        await trio.sleep(age_s)
        found = await setting.desk.read_job(JOB)
        assert found.state == ("completed" if shown else own)

    setting.run(main)


@pytest.mark.parametrize(
    ("told", "code"),
    [
        (messages.JobAnswer(False, "", "", 100), errors.Code.GONE),
        (messages.JobAnswer(False, "", "", 4000), errors.Code.OVERLOADED),
        (None, errors.Code.OVERLOADED),
    ],
)
def test_job_counts_as_unknown_only_by_a_new_view(
    told: messages.JobAnswer | None, code: errors.Code
) -> None:
    setting = Setting("refused")
    setting.log.unreadable = True
    setting.follower.offset = 0
    setting.relay.told = told

    async def main() -> None:
        with pytest.raises(errors.KingcupleverError) as caught:
            await setting.desk.read_job(JOB)
        assert caught.value.code is code

    setting.run(main)


def test_entry_tells_others_how_old_its_view_is() -> None:
    setting = Setting("refused")

    async def main() -> None:
        setting.take(RUNNING)
        setting.follower.last_read_at = trio.current_time()
        await trio.sleep(2.0)
        assert await setting.desk.answer_query(JOB) == messages.JobAnswer(
            True, "running", "stable", 2000
        )

    setting.run(main)
