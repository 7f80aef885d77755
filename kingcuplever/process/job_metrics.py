"""Prometheus metrics of the processes that accept, schedule and run jobs."""

from typing import Final

import prometheus_client

from kingcuplever.connection import http_server
from kingcuplever import containment
from kingcuplever import errors
from kingcuplever.process import listener_metrics
from kingcuplever.process.stored import evidence_records

_SHORT_BUCKETS_S: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
_LONG_BUCKETS_S: Final = (0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64, 300, 3600)


class JobMetrics:
    """The job metrics of one process.

    :ivar listeners: its listeners and their metrics.
    :ivar barrier: contains the errors of single items, and counts them.
    """

    def __init__(
        self, registry: prometheus_client.CollectorRegistry | None = None
    ) -> None:
        """Register the metrics.

        :param registry: created if absent.
        """
        if registry is None:
            registry = prometheus_client.CollectorRegistry()
        self.registry = registry
        self.listeners = listener_metrics.ListenerMetrics(registry)
        self.answers = prometheus_client.Counter(
            "kingcuplever_job_answers",
            "Answers to callers of jobs by method and status.",
            ["method", "status"],
            registry=self.registry,
        )
        self.answer_seconds = prometheus_client.Histogram(
            "kingcuplever_job_answer_seconds",
            "Time from a caller's request to its answer.",
            ["method"],
            buckets=_SHORT_BUCKETS_S,
            registry=self.registry,
        )
        self.owning = prometheus_client.Gauge(
            "kingcuplever_job_owning",
            "1 where this entry schedules.",
            registry=self.registry,
        )
        self.epoch = prometheus_client.Gauge(
            "kingcuplever_job_epoch",
            "Epoch that this entry owned last.",
            registry=self.registry,
        )
        self.ownerless_seconds = prometheus_client.Histogram(
            "kingcuplever_job_ownerless_seconds",
            "Time from an owner's last record to this entry's takeover.",
            buckets=_SHORT_BUCKETS_S,
            registry=self.registry,
        )
        self.view_age_seconds = prometheus_client.Histogram(
            "kingcuplever_job_view_age_seconds",
            "Age of the jobs' view from which a state was shown.",
            buckets=_SHORT_BUCKETS_S,
            registry=self.registry,
        )
        self.jobs = prometheus_client.Gauge(
            "kingcuplever_scheduled_jobs",
            "Jobs that are not over, as the owner holds them.",
            registry=self.registry,
        )
        self.workers = prometheus_client.Gauge(
            "kingcuplever_scheduled_workers",
            "Workers that the owner knows.",
            registry=self.registry,
        )
        self.decision_seconds = prometheus_client.Histogram(
            "kingcuplever_decision_seconds",
            "Time of one look at all that waits for a place.",
            buckets=(0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.025),
            registry=self.registry,
        )
        self.lost_work = prometheus_client.Gauge(
            "kingcuplever_lost_core_seconds",
            "Work thrown away since this entry became owner, by cause.",
            ["cause"],
            registry=self.registry,
        )
        self.worker_crashes = prometheus_client.Gauge(
            "kingcuplever_worker_crashes",
            "Crashes of workers since this entry became owner, by verdict.",
            ["verdict"],
            registry=self.registry,
        )
        self.host_comparisons = prometheus_client.Gauge(
            "kingcuplever_host_comparisons",
            "Comparisons of a host with others by runs of one step.",
            registry=self.registry,
        )
        self.differing_hosts = prometheus_client.Gauge(
            "kingcuplever_differing_hosts",
            "Hosts that are known to be faster or slower than the others.",
            registry=self.registry,
        )
        self.disturbing_pairs = prometheus_client.Gauge(
            "kingcuplever_disturbing_pairs",
            "Pairs of kinds of tasks that are known to slow each other down.",
            registry=self.registry,
        )
        self.fragmentation = prometheus_client.Gauge(
            "kingcuplever_fragmentation",
            "Share of free accelerators that no task of a size can use.",
            ["data_centre", "gpus"],
            registry=self.registry,
        )
        self.wait_seconds = prometheus_client.Histogram(
            "kingcuplever_wait_seconds",
            "Time from when a group could start to its placement.",
            buckets=_LONG_BUCKETS_S,
            registry=self.registry,
        )
        self.reclaims = prometheus_client.Counter(
            "kingcuplever_reclaims",
            "Times that work was stopped for other work, by entitlement.",
            ["entitled"],
            registry=self.registry,
        )
        self.ended_jobs = prometheus_client.Counter(
            "kingcuplever_ended_jobs",
            "Jobs that are over, by state.",
            ["state"],
            registry=self.registry,
        )
        self.append_seconds = prometheus_client.Histogram(
            "kingcuplever_append_seconds",
            "Time until the log has taken a batch of the owner's.",
            buckets=_SHORT_BUCKETS_S,
            registry=self.registry,
        )
        self.log_failures = prometheus_client.Counter(
            "kingcuplever_log_failures",
            "Reads of the log that failed.",
            ["topic"],
            registry=self.registry,
        )
        self.contained_errors = prometheus_client.Counter(
            "kingcuplever_contained_errors",
            "Unexpected errors that ended the handling of one item only.",
            ["stage"],
            registry=self.registry,
        )
        self.barrier = containment.ErrorBarrier(self.record_contained)
        self.config_version = prometheus_client.Gauge(
            "kingcuplever_job_config_version",
            "Version of the queues' configuration that is in force.",
            registry=self.registry,
        )
        self.task_orders = prometheus_client.Counter(
            "kingcuplever_task_orders",
            "Starts and stops at this side's worker by outcome.",
            ["order", "outcome"],
            registry=self.registry,
        )
        self.alone_seconds = prometheus_client.Gauge(
            "kingcuplever_side_alone_seconds",
            "Time since this side heard an owner.",
            registry=self.registry,
        )

    def record_contained(self, contained: containment.ContainedError) -> None:
        """Count and log a contained error."""
        self.contained_errors.labels(contained.stage).inc()
        containment.log_error(contained)

    def count_decision(self, row: evidence_records.Row) -> None:
        """Update the metrics for one evidence row of the owner."""
        body = row.body
        if isinstance(body, evidence_records.GroupPlaced):
            self.wait_seconds.observe(body.waited_ms / 1000)
        elif isinstance(body, evidence_records.CapacityReclaimed):
            self.reclaims.labels(str(body.entitled).lower()).inc()
        elif isinstance(body, evidence_records.JobEnded):
            self.ended_jobs.labels(body.state).inc()

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Serve all metrics in the Prometheus text format."""
        if request.path != "/metrics":
            raise errors.KingcupleverError(
                f"There is no {request.path} here.", errors.Code.NOT_FOUND
            )
        text = prometheus_client.generate_latest(self.registry)
        kind = ("content-type", "text/plain; version=0.0.4; charset=utf-8")
        return http_server.HttpResponse(200, (kind,), text)
