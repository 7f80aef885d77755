"""What the parts of the scheduler share: jobs, workers, and what changed."""

from typing import Final
from typing import NamedTuple

from kingcuplever import logs
from kingcuplever.process.scheduling import accounts
from kingcuplever.process.scheduling import advice
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import headroom
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import ready_queue
from kingcuplever.process.stored import evidence_records

# What a queue that the configuration has dropped is taken to have promised.
_REMOVED_QUEUE_STRETCH: Final = 3.0
_REMOVED_QUEUE_SLACK_MS: Final = 1000
# A new owner knows the workers once they have had so long to report: sides
# dial it as soon as they read that it owns.
_WARMUP_S: Final = 2.0
# It knows them sooner if no other has come for so long: twice the spread, in
# seconds, with which sides came to a new owner on the users' sites.
_WARMUP_QUIET_S: Final = 0.5


class LogLine(NamedTuple):
    """A log line for the process to write."""

    part: logs.Component
    text: str


class DeferredActions:
    """What may happen once a batch of records is on the log.

    :ivar starts: groups to start, with the number of the run.
    :ivar acks: the newest end to acknowledge, by worker.
    :ivar rows: what can be shown as evidence from then on.
    """

    def __init__(self) -> None:
        """Start with nothing."""
        self.starts: list[tuple[job_state.Group, int]] = []
        self.acks: dict[str, int] = {}
        self.evidence: list[evidence_records.Row] = []


class SchedulerState:
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
        self.jobs: dict[str, job_state.Job] = {}
        self.ended_jobs: dict[str, int] = {}
        self.policy = model.Policy(0, {}, {})
        self.ready_queue = ready_queue.ReadyQueue()
        self.dirty_jobs: dict[str, None] = {}
        self.unpersisted_groups: dict[job_state.Group, None] = {}
        self.purged_jobs: list[str] = []
        self.deferred = DeferredActions()
        self.needs_placement = True
        self.advice = advice.AdviceCache()
        self.log_lines: list[LogLine] = []
        self.lost_work: dict[str, float] = {}
        self.accounts = accounts.Accounts()
        self.headroom = headroom.Headroom()
        self.wall_ms = 0
        self.warmup_ends_at = 0.0
        self.newest_worker_at = float("inf")

    def start_warmup(self, now: float) -> None:
        """Begin to hear of the workers."""
        self.warmup_ends_at = now + _WARMUP_S

    def is_warmed_up(self, now: float) -> bool:
        """Tell whether what is known of the workers can be judged by."""
        return (
            now >= self.warmup_ends_at
            or now - self.newest_worker_at >= _WARMUP_QUIET_S
        )

    def queue_policy_of(self, job: job_state.Job) -> model.QueuePolicy:
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
            _REMOVED_QUEUE_STRETCH,
            _REMOVED_QUEUE_SLACK_MS,
        )

    def add_lost_work(self, cause: str, core_s: float) -> None:
        """Count work that was thrown away."""
        self.lost_work[cause] = self.lost_work.get(cause, 0.0) + core_s

    def find_group(self, run: fleet.RunId) -> job_state.Group | None:
        """Give the group whose present run a task belongs to."""
        task = model.parse_task_name(run.task)
        job = None if task is None else self.jobs.get(task.job)
        if job is None or task is None:
            return None
        group = job.find_group(task)
        return group if group is not None and group.run == run.run else None

    def order_stop(self, worker: fleet.Worker, run: fleet.RunId) -> None:
        """Have a run ended, or kept from starting."""
        if run in worker.pending_stops:
            return
        worker.pending_starts.pop(run, None)
        worker.pending_stops.add(run)
        worker.orders_changed = True

    def order_group_stop(self, group: job_state.Group) -> None:
        """Have the present run of all members ended."""
        for index, holder in enumerate(group.assigned_workers):
            if holder:
                run = fleet.RunId(group.tasks[index], group.run)
                self.order_stop(self.workers[holder], run)

    def order_start(
        self, worker: fleet.Worker, group: job_state.Group, run: fleet.RunId
    ) -> None:
        """Have a worker start a task; its record must be on the log."""
        worker.pending_starts[run] = fleet.StartOrder(
            run.task,
            run.run,
            group.job.spec.payload,
            group.checkpoint,
            group.tickets.get(worker.name, ""),
        )
        worker.orders_changed = True

    def record_evidence(self, body: evidence_records.Body) -> None:
        """Leave evidence; it is written once what it tells is kept."""
        self.deferred.evidence.append(evidence_records.Row(self.wall_ms, body))

    def queue_log_line(self, part: logs.Component, text: str) -> None:
        """Leave a log line for the process to write."""
        self.log_lines.append(LogLine(part, text))
