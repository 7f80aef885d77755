"""Wires and runs an entry on the users' platform."""

from collections.abc import Sequence
import contextlib
import functools
import secrets
from typing import Final

import trio

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import keyed_log
from kingcuplever import containment
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever.platform import adviser
from kingcuplever.platform import hosts
from kingcuplever.platform import job_http
from kingcuplever.platform import queues
from kingcuplever.platform import roles
from kingcuplever.platform import settings
from kingcuplever.platform import store
from kingcuplever.platform import zones
from kingcuplever.process import entry_links
from kingcuplever.process import entry_relay
from kingcuplever.process import job_api
from kingcuplever.process import job_metrics
from kingcuplever.process import leases
from kingcuplever.process.owner import job_owner
from kingcuplever.process.scheduling import evacuations
from kingcuplever.process.scheduling import scheduler as schedulers
from kingcuplever.process import signals
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
from kingcuplever.process.stored import log_producer
from kingcuplever.process.stored import topic_follower
from kingcuplever.version import job_queues

# Short, since the operator's records are rare and should be read at once.
_OPERATOR_READ_PAUSE_S: Final = 0.02
# The load balancer stops routing to a host after two failed probes, one second
# apart.
_DEREGISTRATION_S: Final = 2.5


class _OperatorSink:
    """Applies the operator's records.

    They hold the configuration, maintenance orders and evacuations.
    """

    def __init__(
        self,
        job_handler: job_http.JobHttpHandler,
        owner: job_owner.JobOwner,
        metrics: job_metrics.JobMetrics,
    ) -> None:
        self._job_handler = job_handler
        self._owner = owner
        self._metrics = metrics
        self._evacuations = evacuations.EvacuationTable()

    def apply_records(self, records: Sequence[keyed_log.StoredRecord]) -> None:
        """Apply readable records, except an older configuration."""
        contain = self._metrics.barrier.contain
        for stored in records:
            with contain("operator's record", stored.key):
                self._apply_stored(stored)
        with contain("evacuations", "all"):
            self._owner.set_evacuations(self._evacuations.view)

    def _apply_stored(self, stored: keyed_log.StoredRecord) -> None:
        """Apply one record; ignore one that can't be decoded."""
        zone = zones.parse_evacuated_zone(stored.key)
        if zone:
            is_evacuated = stored.value is not None
            self._evacuations.apply(zone, is_evacuated, stored.offset)
        if zone or stored.value is None:
            return
        try:
            if stored.key == queues.CONFIG_KEY:
                self._apply_config(queues.decode_config(stored.value))
            elif hosts.is_wave_key(stored.key):
                order = hosts.decode_wave(stored.value)
                self._owner.order_maintenance(order)
        except errors.InvalidRequest as error:
            logs.warn(logs.Component.CONFIG, error.detail)

    def begin_snapshot(self, end: int) -> None:
        """Keep the configuration in force; its record is delivered again.

        An evacuation without a record in the snapshot has been taken back.
        """
        self._evacuations.begin_snapshot(end)

    def _apply_config(self, config: job_queues.JobQueues) -> None:
        current = self._job_handler.queues
        if current is not None and config.version <= current.version:
            return
        self._job_handler.queues = config
        self._owner.set_policy(config.policy)
        self._metrics.config_version.set(config.version)
        text = (
            f"Configuration {config.version} is in force:"
            f" {len(config.routes)} queues, {len(config.account_by_key)} keys."
        )
        logs.info(logs.Component.CONFIG, text)


async def run(host: settings.HostSettings) -> None:
    """Run an entry until SIGTERM."""
    metrics = job_metrics.JobMetrics()
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(
            http_client.HttpClient(host.log, roles.CALL_TIMEOUT_S)
        )
        advice_client = await stack.enter_async_context(
            http_client.HttpClient(host.adviser, roles.CALL_TIMEOUT_S)
        )
        hosts_client = await stack.enter_async_context(
            http_client.HttpClient(host.hosts, roles.CALL_TIMEOUT_S)
        )
        log = store.Store(client, host.log_limits)
        table = job_table.JobTable(barrier=metrics.barrier)
        follower = topic_follower.Follower(
            log,
            job_records.TOPIC,
            table,
            job_owner.FOLLOWER_READ_INTERVAL_S,
            metrics,
        )

        def make_producer() -> log_producer.Producer:
            name = f"{host.name}.{secrets.token_hex(6)}"
            return log_producer.Producer(log, job_records.TOPIC, name, 1)

        appender = log_producer.BatchAppender(make_producer)
        links = entry_links.EntryLinks()
        api = job_api.JobApi(
            table, follower, appender, entry_relay.EntryRelay(links)
        )
        relay_handler = entry_relay.RelayHandler(appender, api)
        job_handler = job_http.JobHttpHandler(api, metrics)
        lease_s = host.lease_ms / 1000
        timing = schedulers.Timing(
            leases.compute_side_timeout_s(
                lease_s,
                leases.compute_autonomous_renewal_s(lease_s),
                roles.MAX_EXECUTOR_CALL_DELAY_S,
            ),
            host.ended_job_retention_s,
            host.host_downtime_s,
        )
        owner = job_owner.JobOwner(
            host.name,
            host.peers,
            host.election_weight,
            log,
            follower,
            table,
            timing,
            metrics,
            adviser.Adviser(advice_client),
            hosts.HostsClient(hosts_client, log) if host.hosts else None,
            links=links,
            serve=relay_handler.handle,
        )
        sink = _OperatorSink(job_handler, owner, metrics)
        operator_follower = topic_follower.Follower(
            log,
            queues.TOPIC,
            sink,
            _OPERATOR_READ_PAUSE_S,
            metrics,
            skips_replaced=True,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(
                signals.reload_on_hangup, roles.reload_settings
            )
            shares = roles.divide_limits(host)
            gate = metrics.listeners.open("peers", shares.peers)
            for name, task in (
                ("jobs follower", follower.run),
                ("operator's follower", operator_follower.run),
                ("appender", appender.run),
                ("election", owner.run),
            ):
                nursery.start_soon(
                    containment.keep_running, task, name, metrics.barrier
                )
            nursery.start_soon(owner.listen, gate)
            await nursery.start(roles.serve_metrics, host, metrics)
            await _serve_callers(host, job_handler, api, owner, metrics)
            nursery.cancel_scope.cancel()


async def _serve_callers(
    host: settings.HostSettings,
    job_handler: job_http.JobHttpHandler,
    api: job_api.JobApi,
    owner: job_owner.JobOwner,
    metrics: job_metrics.JobMetrics,
) -> None:
    shares = roles.divide_limits(host)
    stop = trio.Event()
    draining = trio.Event()

    async def report_readiness(
        request: http_server.HttpRequest,
    ) -> http_server.HttpResponse:
        is_ready = (
            job_handler.queues is not None
            and api.is_ready
            and not draining.is_set()
        )
        return http_server.HttpResponse(200 if is_ready else 503, (), b"")

    async with trio.open_nursery() as listeners:
        await listeners.start(
            http_server.serve,
            host.health,
            report_readiness,
            stop,
            metrics.listeners.open("health", shares.small),
        )
        serve_callers = functools.partial(
            http_server.serve,
            max_body_bytes=http_server.MAX_CALLER_BODY_BYTES,
        )
        await listeners.start(
            serve_callers,
            host.callers,
            job_handler.handle,
            stop,
            metrics.listeners.open("callers", shares.clients),
        )
        logs.info(logs.Component.PROCESS, f"Entry {host.name} runs.")
        await signals.wait_for_stop()
        logs.info(logs.Component.PROCESS, f"Entry {host.name} drains.")
        draining.set()
        await owner.resign()
        await trio.sleep(min(_DEREGISTRATION_S, host.grace_s / 2))
        stop.set()
    logs.info(logs.Component.PROCESS, f"Entry {host.name} ends.")
