"""What the parts of the scheduler share: jobs, workers, and what changed."""

from typing import Final
from typing import NamedTuple

from kingcuplever import logs
from kingcuplever.process.scheduling import accounts
from kingcuplever.process.scheduling import advice
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import headroom
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import waiting
from kingcuplever.process.scheduling import work
from kingcuplever.process.stored import evidence_records

# What a queue that the configuration has dropped is taken to have promised.
_GONE_STRETCH: Final = 3.0
_GONE_SLACK_MS: Final = 1000
# A new owner knows the workers once they have had so long to report: sides
# dial it as soon as they read that it owns.
_SETTLE_S: Final = 2.0
# It knows them sooner if no other has come for so long: twice the spread, in
# seconds, with which sides came to a new owner on the users' sites.
_QUIET_S: Final = 0.5


class Say(NamedTuple):
    """A log line for the process to write."""

    part: logs.Part
    text: str


class AfterCommit:
    """What may happen once a batch of records is on the log.

    :ivar starts: groups to start, with the number of the run.
    :ivar acks: the newest end to acknowledge, by worker.
    :ivar rows: what can be shown as evidence from then on.
    """

    def __init__(self) -> None:
        """Start with nothing."""
        self.starts: list[tuple[work.Group, int]] = []
        self.acks: dict[str, int] = {}
        self.rows: list[evidence_records.Row] = []


class Book:
    """The state of one pool's scheduling.

    :ivar workers: by name.
    :ivar jobs: those that are not over, by name.
    :ivar over: time of day when a job ended, by its name, until it is
        forgotten.
    :ivar ready: groups that wait for a place.
    :ivar dirty: jobs whose record must be written.
    :ivar unkept: groups with a checkpoint that the log does not have.
    :ivar dropped: jobs whose records must be dropped.
    :ivar after: what waits for the next batch.
    :ivar place_wanted: whether something changed that could make room.
    :ivar advice: which workers may run which step, where that is asked.
    :ivar said: log lines that are waiting.
    :ivar lost_work: core-seconds thrown away so far, by cause.
    :ivar accounts: what operators promised, and the cells that are kept.
    :ivar headroom: room that is kept for urgent work.
    :ivar wall_ms: time of day of the present decision.
    :ivar settles_at: steady time from which on the workers are known.
    :ivar newest_at: steady time when the newest worker was first heard.
    """

    def __init__(self) -> None:
        """Start without jobs and workers."""
        self.workers: dict[str, fleet.Worker] = {}
        self.jobs: dict[str, work.Job] = {}
        self.over: dict[str, int] = {}
        self.policy = model.Policy(0, {}, {})
        self.ready = waiting.WaitingGroups()
        self.dirty: dict[str, None] = {}
        self.unkept: dict[work.Group, None] = {}
        self.dropped: list[str] = []
        self.after = AfterCommit()
        self.place_wanted = True
        self.advice = advice.AdviceBook()
        self.said: list[Say] = []
        self.lost_work: dict[str, float] = {}
        self.accounts = accounts.Accounts()
        self.headroom = headroom.Headroom()
        self.wall_ms = 0
        self.settles_at = 0.0
        self.newest_at = float("inf")

    def begin(self, now: float) -> None:
        """Begin to hear of the workers."""
        self.settles_at = now + _SETTLE_S

    def is_settled(self, now: float) -> bool:
        """Tell whether what is known of the workers can be judged by."""
        return now >= self.settles_at or now - self.newest_at >= _QUIET_S

    def queue_of(self, job: work.Job) -> model.QueuePolicy:
        """Give the queue's policy; a removed queue keeps its jobs going."""
        spec = job.spec
        found = self.policy.queues.get(spec.queue)
        if found is not None:
            return found
        return model.QueuePolicy(
            spec.queue,
            spec.pool,
            spec.priority,
            spec.most_attempts,
            _GONE_STRETCH,
            _GONE_SLACK_MS,
        )

    def note_lost_work(self, cause: str, core_s: float) -> None:
        """Count work that was thrown away."""
        self.lost_work[cause] = self.lost_work.get(cause, 0.0) + core_s

    def group_of(self, run: fleet.RunId) -> work.Group | None:
        """Give the group whose present run a task belongs to."""
        task = model.parse_task(run.task)
        job = None if task is None else self.jobs.get(task.job)
        if job is None or task is None:
            return None
        group = job.find(task)
        return group if group is not None and group.run == run.run else None

    def stop(self, worker: fleet.Worker, run: fleet.RunId) -> None:
        """Have a run ended, or kept from starting."""
        if run in worker.stops:
            return
        worker.starts.pop(run, None)
        worker.stops.add(run)
        worker.orders_changed = True

    def stop_group(self, group: work.Group) -> None:
        """Have the present run of all members ended."""
        for index, holder in enumerate(group.holders):
            if holder:
                run = fleet.RunId(group.tasks[index], group.run)
                self.stop(self.workers[holder], run)

    def order_start(
        self, worker: fleet.Worker, group: work.Group, run: fleet.RunId
    ) -> None:
        """Have a worker start a task; its record must be on the log."""
        worker.starts[run] = fleet.StartOrder(
            run.task,
            run.run,
            group.job.spec.payload,
            group.saved,
            group.tickets.get(worker.name, ""),
        )
        worker.orders_changed = True

    def note(self, body: evidence_records.Body) -> None:
        """Leave evidence; it is written once what it tells is kept."""
        self.after.rows.append(evidence_records.Row(self.wall_ms, body))

    def say(self, part: logs.Part, text: str) -> None:
        """Leave a log line for the process to write."""
        self.said.append(Say(part, text))
