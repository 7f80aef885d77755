"""Prometheus metrics of a process's listeners."""

from collections.abc import Iterator

import prometheus_client
from prometheus_client import core
from prometheus_client import registry as registries

from kingcuplever.connection import admission


class ListenerMetrics(registries.Collector):
    """Collects what the listeners count, when they are asked for."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Register without listeners."""
        self._admissions: list[admission.Admission] = []
        registry.register(self)

    def open(
        self, name: str, limits: admission.ListenerLimits
    ) -> admission.Admission:
        """Return the admission of a new listener, to be collected from."""
        opened = admission.Admission(name, limits)
        self._admissions.append(opened)
        return opened

    def collect(self) -> Iterator[core.Metric]:
        """Return the metrics of all listeners."""
        connections = core.GaugeMetricFamily(
            "kingcuplever_listener_connections",
            "Open connections by listener.",
            labels=["listener"],
        )
        request_bytes = core.GaugeMetricFamily(
            "kingcuplever_listener_request_bytes",
            "Memory reserved for requests by listener.",
            labels=["listener"],
        )
        peak_bytes = core.GaugeMetricFamily(
            "kingcuplever_listener_request_peak_bytes",
            "Most memory that was reserved at once by listener.",
            labels=["listener"],
        )
        refusals = core.CounterMetricFamily(
            "kingcuplever_listener_refusals",
            "Refused requests and closed connections by listener and cause.",
            labels=["listener", "cause"],
        )
        for opened in self._admissions:
            name = [opened.name]
            connections.add_metric(name, len(opened.table))
            request_bytes.add_metric(name, opened.budget.used_bytes)
            peak_bytes.add_metric(name, opened.budget.peak_bytes)
            for cause, count in opened.refusals.items():
                refusals.add_metric([*name, cause], count)
        yield from (connections, request_bytes, peak_bytes, refusals)
