"""Puts the processes of the platform together: an entry, and a side."""

from collections.abc import Sequence
import contextlib
import secrets
from typing import Final

import trio

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever.platform import adviser
from kingcuplever.platform import executor
from kingcuplever.platform import hosts
from kingcuplever.platform import job_http
from kingcuplever.platform import queues
from kingcuplever.platform import registry
from kingcuplever.platform import settings
from kingcuplever.platform import store
from kingcuplever.process.agent import owner_link
from kingcuplever.process.agent import worker_agent
from kingcuplever.process import entry_links
from kingcuplever.process import entry_relay
from kingcuplever.process import job_api
from kingcuplever.process import job_metrics
from kingcuplever.process import leases
from kingcuplever.process.owner import job_owner
from kingcuplever.process.scheduling import scheduler as schedulers
from kingcuplever.process import signals
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
from kingcuplever.process.stored import log_producer
from kingcuplever.process.stored import topic_follower
from kingcuplever.version import job_queues

# The operator's records are few; they are read as soon as they come.
_OPERATOR_READ_PAUSE_S: Final = 0.02
# The balancer leaves a host alone after two failed probes, a second apart.
_DEREGISTRATION_S: Final = 2.5


class _OperatorSink:
    """Hands what the operator writes to the parts that use it."""

    def __init__(
        self, fronts: job_http.JobHttpHandler, owner: job_owner.JobOwner
    ) -> None:
        self._front = fronts
        self._owner = owner

    def apply_records(self, records: Sequence[keyed_log.StoredRecord]) -> None:
        """Use what can be read; never an older configuration."""
        for stored in records:
            if stored.value is None:
                continue
            try:
                if stored.key == queues.CONFIG_KEY:
                    self._apply_config(queues.decode_config(stored.value))
                elif hosts.is_wave_key(stored.key):
                    wave = hosts.decode_wave(stored.value)
                    self._owner.order_maintenance(wave)
            except errors.InvalidRequest as error:
                logs.warn(logs.Component.CONFIG, error.detail)

    def begin_snapshot(self) -> None:
        """Expect the newest record again; what is in force stays."""

    def _apply_config(self, newer: job_queues.JobQueues) -> None:
        present = self._front.queues
        if present is not None and newer.version <= present.version:
            return
        self._front.queues = newer
        self._owner.set_policy(newer.policy)
        text = (
            f"Configuration {newer.version} is in force:"
            f" {len(newer.routes)} queues, {len(newer.account_by_key)} keys."
        )
        logs.info(logs.Component.CONFIG, text)


def _reload() -> None:
    """Check the settings again; what a process listens on stays."""
    try:
        host = settings.load()
    except errors.SettingsError as error:
        logs.warn(
            logs.Component.PROCESS, f"Settings not reloaded: {error.detail}"
        )
        return
    text = f"Settings of {host.name} read again; nothing in use changes."
    logs.info(logs.Component.PROCESS, text)


async def run_entry(host: settings.HostSettings) -> None:
    """Run an entry until SIGTERM."""
    metrics = job_metrics.JobMetrics()
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(
            http_client.HttpClient(host.log, leases.AUTONOMOUS_RENEWAL_S)
        )
        advice_client = await stack.enter_async_context(
            http_client.HttpClient(host.adviser, leases.AUTONOMOUS_RENEWAL_S)
        )
        hosts_client = await stack.enter_async_context(
            http_client.HttpClient(host.hosts, leases.AUTONOMOUS_RENEWAL_S)
        )
        log = store.Store(client)
        board = job_table.JobTable()
        follower = topic_follower.Follower(
            log,
            job_records.TOPIC,
            board,
            job_owner.FOLLOWER_READ_INTERVAL_S,
            metrics,
        )

        def make_producer() -> log_producer.Producer:
            name = f"{host.name}.{secrets.token_hex(6)}"
            return log_producer.Producer(log, job_records.TOPIC, name, 1)

        appender = log_producer.BatchAppender(make_producer)
        links = entry_links.EntryLinks()
        desk = job_api.JobApi(
            board, follower, appender, entry_relay.EntryRelay(links)
        )
        help_desk = entry_relay.RelayHandler(appender, desk)
        fronts = job_http.JobHttpHandler(desk, metrics)
        timing = schedulers.Timing(
            leases.compute_side_timeout_s(host.lease_ms / 1000),
            host.status_s,
            host.down_s,
        )
        owner = job_owner.JobOwner(
            host.name,
            host.peers,
            host.election_weight,
            log,
            follower,
            board,
            timing,
            metrics,
            adviser.Adviser(advice_client),
            hosts.HostsClient(hosts_client, log) if host.hosts else None,
            links=links,
            serve=help_desk.handle,
        )
        sink = _OperatorSink(fronts, owner)
        operator = topic_follower.Follower(
            log, queues.TOPIC, sink, _OPERATOR_READ_PAUSE_S, metrics
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(signals.reload_on_hangup, _reload)
            for task in (
                follower.run,
                operator.run,
                appender.run,
                owner.run,
            ):
                nursery.start_soon(task)
            nursery.start_soon(owner.listen)
            await nursery.start(_serve_metrics, host, metrics)
            await _serve_callers(host, fronts, desk, owner)
            nursery.cancel_scope.cancel()


async def _serve_metrics(
    host: settings.HostSettings,
    metrics: job_metrics.JobMetrics,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the metrics; a process goes on where their port is taken.

    :param task_status: started once the socket listens, or can't.
    """
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(
                http_server.serve, host.metrics, metrics.handle, trio.Event()
            )
            task_status.started()
    except* OSError as group:
        text = f"No metrics at {host.metrics}: {group.exceptions[0]}"
        logs.warn(logs.Component.PROCESS, text)
        task_status.started()


async def _serve_callers(
    host: settings.HostSettings,
    fronts: job_http.JobHttpHandler,
    desk: job_api.JobApi,
    owner: job_owner.JobOwner,
) -> None:
    stop = trio.Event()
    leaving = trio.Event()

    async def ready(
        request: http_server.HttpRequest,
    ) -> http_server.HttpResponse:
        is_ready = (
            fronts.queues is not None
            and desk.is_ready
            and not leaving.is_set()
        )
        return http_server.HttpResponse(200 if is_ready else 503, (), b"")

    async with trio.open_nursery() as listeners:
        await listeners.start(http_server.serve, host.health, ready, stop)
        await listeners.start(
            http_server.serve, host.callers, fronts.handle, stop
        )
        logs.info(logs.Component.PROCESS, f"Entry {host.name} runs.")
        await signals.wait_for_stop()
        logs.info(logs.Component.PROCESS, f"Entry {host.name} drains.")
        leaving.set()
        await owner.resign()
        await trio.sleep(min(_DEREGISTRATION_S, host.grace_s / 2))
        stop.set()
    logs.info(logs.Component.PROCESS, f"Entry {host.name} ends.")


async def run_side(host: settings.HostSettings) -> None:
    """Run a side until SIGTERM."""
    metrics = job_metrics.JobMetrics()
    async with contextlib.AsyncExitStack() as stack:
        log_client = await stack.enter_async_context(
            http_client.HttpClient(host.log, leases.AUTONOMOUS_RENEWAL_S)
        )
        worker_client = await stack.enter_async_context(
            http_client.HttpClient(host.worker, leases.AUTONOMOUS_RENEWAL_S)
        )
        agent = worker_agent.WorkerAgent(
            host.name,
            executor.Executor(worker_client),
            host.lease_ms,
            metrics,
        )
        sink = owner_link.OwnerSink()
        follower = topic_follower.Follower(
            store.Store(log_client),
            owner_link.TOPIC,
            sink,
            owner_link.READ_PAUSE_S,
            metrics,
            owner_link.POLL_MS,
        )
        link = owner_link.OwnerLink(sink, agent)
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(signals.reload_on_hangup, _reload)
            for task in (agent.run, follower.run, link.run):
                nursery.start_soon(task)
            await nursery.start(_serve_metrics, host, metrics)
            await nursery.start(
                http_server.serve,
                host.registry,
                registry.make_handler(agent),
                stop,
            )
            logs.info(logs.Component.PROCESS, f"Side {host.name} runs.")
            await signals.wait_for_stop()
            logs.info(logs.Component.PROCESS, f"Side {host.name} ends.")
            nursery.cancel_scope.cancel()
