"""State that the parts of one pool's scheduler share."""

from typing import Final
from typing import NamedTuple

from kingcuplever import containment
from kingcuplever import logs
from kingcuplever.process.scheduling import accounts
from kingcuplever.process.scheduling import advice
from kingcuplever.process.scheduling import crash_proofs
from kingcuplever.process.scheduling import departures
from kingcuplever.process.scheduling import evacuations
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import headroom
from kingcuplever.process.scheduling import host_speed
from kingcuplever.process.scheduling import interference
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import quarantines
from kingcuplever.process.scheduling import ready_queue
from kingcuplever.process.scheduling import runtime_estimate
from kingcuplever.process.scheduling import scoring
from kingcuplever.process.scheduling import silences
from kingcuplever.process.scheduling import stability
from kingcuplever.process.stored import evidence_records

# Objective for jobs of a queue that is no longer configured.
_REMOVED_QUEUE_STRETCH: Final = 3.0
_REMOVED_QUEUE_SLACK_MS: Final = 1000
# A new owner may not know all workers for this long: sides connect to it when
# they read its ownership record.
_WARMUP_S: Final = 2.0
# The warm-up ends early if no new worker has reported for this long.  Sides on
# the users' sites connect to a new owner within half of it of one another.
_WARMUP_QUIET_S: Final = 0.5


class LogLine(NamedTuple):
    """A log line that the process is to write."""

    component: logs.Component
    text: str


class DeferredActions:
    """Actions that are deferred until a batch of records is committed.

    :ivar starts: groups to start, with the number of the run.
    :ivar acks: number of the newest end to acknowledge, by worker.
    :ivar evidence: evidence that becomes valid with the commit.
    :ivar ended_workers: workers whose end the batch records.
    :ivar ended_silences: workers whose recorded silence the batch drops.
    """

    def __init__(self) -> None:
        """Create an empty set of actions."""
        self.starts: list[tuple[job_state.Group, int]] = []
        self.acks: dict[str, int] = {}
        self.evidence: list[evidence_records.Row] = []
        self.ended_workers: list[str] = []
        self.ended_silences: list[str] = []


class SchedulerState:
    """The state of one pool's scheduler.

    :ivar workers: by name.
    :ivar jobs: jobs that are open, or whose last record is not committed,
        by name.
    :ivar ended_jobs: wall-clock time of the end of closed jobs, by name,
        until their records are purged.
    :ivar ready_queue: groups that are ready to be placed.
    :ivar dirty_jobs: jobs whose progress must be written.
    :ivar unpersisted_groups: groups with a checkpoint that is not on the
        log.
    :ivar purged_jobs: jobs whose records must be deleted.
    :ivar deferred: actions that wait for the commit of the next batch.
    :ivar needs_placement: whether something changed that may allow another
        placement.
    :ivar unticketed_starts: adopted groups whose runs start only with tickets
        that are to be requested.
    :ivar advice: workers that may run a step, for queues that need advice.
    :ivar log_lines: log lines that are not written yet.
    :ivar contained_errors: contained errors that are not reported yet.
    :ivar barrier: contains the errors of single jobs, groups and workers.
    :ivar unrecorded_ends: ended workers with tasks whose records are not
        committed.
    :ivar isolated_groups: assigned groups that nothing may join.
    :ivar lost_work: core-seconds of work lost so far, by cause.
    :ivar crash_counts: crashes of workers so far, by what they prove:
        ``unconfirmed`` or ``suspected``, ``unstable`` for a host that
        crashes by itself, ``idle`` where nothing was at work, or
        ``neither``.
    :ivar accounts: guarantees and limits, and the cells bound to them.
    :ivar headroom: capacity kept free for urgent work.
    :ivar evacuations: data centres where nothing new may start.
    :ivar departures: how often workers leave.
    :ivar host_speeds: how fast the hosts of workers are.
    :ivar run_times: what is seen of run times on the queues.
    :ivar interference: which kinds of tasks slow each other down.
    :ivar scorers: what orders the workers for a placement; their scores
        are added up.
    :ivar wall_ms: wall-clock time of the current decision.
    :ivar warmup_began_at: monotonic time when the warm-up began.
    :ivar warmup_ends_at: monotonic time when the warm-up ends at the latest.
    :ivar newest_worker_at: monotonic time of the newest worker's first
        report.
    """

    def __init__(self) -> None:
        """Create the state, without jobs and workers."""
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
        self.unticketed_starts: dict[job_state.Group, None] = {}
        self.advice = advice.AdviceCache()
        self.log_lines: list[LogLine] = []
        self.contained_errors: list[containment.ContainedError] = []
        self.barrier = containment.ErrorBarrier(self.contained_errors.append)
        self.unrecorded_ends: set[str] = set()
        self.isolated_groups: dict[job_state.Group, None] = {}
        self.lost_work: dict[str, float] = {}
        self.crash_counts: dict[str, int] = {}
        self.crash_proofs = crash_proofs.CrashProofs()
        self.silences = silences.Silences()
        self.quarantines = quarantines.Quarantines()
        self.permitted_until = 0.0
        self.accounts = accounts.Accounts()
        self.headroom = headroom.Headroom()
        self.evacuations = evacuations.NONE_KNOWN
        self.departures = departures.Departures()
        self.host_speeds = host_speed.HostSpeeds()
        self.run_times = runtime_estimate.RunTimes()
        self.interference = interference.Interference()
        self.scorers: list[scoring.WorkerScorer] = [
            stability.StabilityScorer(self.departures)
        ]
        self.wall_ms = 0
        self.warmup_began_at = 0.0
        self.warmup_ends_at = 0.0
        self.newest_worker_at = float("inf")

    def start_warmup(self, now: float) -> None:
        """Start the warm-up, in which the workers report to a new owner."""
        self.warmup_began_at = now
        self.warmup_ends_at = now + _WARMUP_S

    def is_warmed_up(self, now: float) -> bool:
        """Return whether the workers are known well enough to decide."""
        return (
            now >= self.warmup_ends_at
            or now - self.newest_worker_at >= _WARMUP_QUIET_S
        )

    def get_wait_s(self, group: job_state.Group, now: float) -> float:
        """Return how long a group has waited to be placed.

        A wait under a former owner does not count until the workers are
        known: a better one may report next.
        """
        if self.is_warmed_up(now):
            return now - group.ready_at
        return now - max(group.ready_at, self.warmup_began_at)

    def queue_policy_of(self, job: job_state.Job) -> model.QueuePolicy:
        """Return the policy of a job's queue.

        Jobs of a removed queue go on under the policy in their spec.
        """
        spec = job.spec
        policy = self.policy.queues.get(spec.queue)
        if policy is not None:
            return policy
        return model.QueuePolicy(
            spec.queue,
            spec.pool,
            spec.priority,
            spec.most_attempts,
            _REMOVED_QUEUE_STRETCH,
            _REMOVED_QUEUE_SLACK_MS,
        )

    def score_worker(
        self, group: job_state.Group, worker: fleet.Worker, now: float
    ) -> int:
        """Return what a worker costs a group, in steps."""
        return scoring.score_in_steps(self.scorers, group, worker, now)

    def add_lost_work(self, cause: str, core_s: float) -> None:
        """Add lost core-seconds to the total of a cause."""
        self.lost_work[cause] = self.lost_work.get(cause, 0.0) + core_s

    def find_group(self, run: fleet.RunId) -> job_state.Group | None:
        """Return the group whose current run is this one, if any."""
        group = self.find_task_group(run)
        return group if group is not None and group.run == run.run else None

    def find_task_group(self, run: fleet.RunId) -> job_state.Group | None:
        """Return the open group of a run's task, whatever its current run."""
        task = model.parse_task_name(run.task)
        job = None if task is None else self.jobs.get(task.job)
        if job is None or task is None:
            return None
        return job.find_group(task)

    def find_request(self, run: fleet.RunId) -> model.Resources | None:
        """Return what a run of a known job takes, also a former run."""
        task = model.parse_task_name(run.task)
        job = None if task is None else self.jobs.get(task.job)
        if job is None or task is None or task.step >= len(job.spec.steps):
            return None
        return job.spec.steps[task.step].resources

    def order_stop(self, worker: fleet.Worker, run: fleet.RunId) -> None:
        """Order a worker to stop a run, or not to start it."""
        if run in worker.pending_stops:
            return
        worker.pending_starts.pop(run, None)
        worker.pending_stops.add(run)
        worker.orders_changed = True

    def order_group_stop(self, group: job_state.Group) -> None:
        """Order the workers of all members to stop the current run."""
        for index, worker_name in enumerate(group.assigned_workers):
            if worker_name:
                run = fleet.RunId(group.tasks[index], group.run)
                self.order_stop(self.workers[worker_name], run)

    def order_start(
        self, worker: fleet.Worker, group: job_state.Group, run: fleet.RunId
    ) -> None:
        """Order a worker to start a task.

        The record of the placement must be on the log.
        """
        worker.pending_starts[run] = fleet.StartOrder(
            run.task,
            run.run,
            group.job.spec.payload,
            group.checkpoint,
            group.tickets.get(worker.name, ""),
        )
        worker.orders_changed = True

    def record_evidence(self, body: evidence_records.Body) -> None:
        """Queue evidence, to be written after the commit of the next batch.

        That batch holds the records of what the evidence states.
        """
        self.deferred.evidence.append(evidence_records.Row(self.wall_ms, body))

    def queue_log_line(self, component: logs.Component, text: str) -> None:
        """Queue a log line, to be written by the process."""
        self.log_lines.append(LogLine(component, text))
