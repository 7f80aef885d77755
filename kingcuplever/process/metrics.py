"""Prometheus metrics of an entry."""

import prometheus_client


class EntryMetrics:
    """The metrics of one entry, in a registry of their own."""

    def __init__(self) -> None:
        """Register the metrics."""
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "kingcuplever_requests",
            "Callers' requests by service and result.",
            ["service", "result"],
            registry=self.registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            "kingcuplever_request_seconds",
            "Time from a caller's request to its answer.",
            ["service", "priority"],
            registry=self.registry,
        )
        self.retries = prometheus_client.Counter(
            "kingcuplever_retries",
            "Requests sent to another target.",
            ["service"],
            registry=self.registry,
        )
        self.waiting_requests = prometheus_client.Gauge(
            "kingcuplever_waiting_requests",
            "Requests that wait for a slot.",
            registry=self.registry,
        )
        self.sides = prometheus_client.Gauge(
            "kingcuplever_sides",
            "Sides that are linked.",
            registry=self.registry,
        )
        self.peer_bytes = prometheus_client.Gauge(
            "kingcuplever_peer_bytes",
            "Bytes on the links that live now.",
            ["direction"],
            registry=self.registry,
        )
        self.late_replies = prometheus_client.Gauge(
            "kingcuplever_late_replies",
            "Replies that came after their waiter had left.",
            registry=self.registry,
        )
        self.config_version = prometheus_client.Gauge(
            "kingcuplever_config_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Render all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
