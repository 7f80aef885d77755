"""Wires and runs a side on the users' platform."""

import contextlib

import trio

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever import containment
from kingcuplever import logs
from kingcuplever.platform import executor
from kingcuplever.platform import registry
from kingcuplever.platform import roles
from kingcuplever.platform import settings
from kingcuplever.platform import store
from kingcuplever.process.agent import owner_link
from kingcuplever.process.agent import worker_agent
from kingcuplever.process import job_metrics
from kingcuplever.process import signals
from kingcuplever.process.stored import owner_announcements
from kingcuplever.process.stored import topic_follower


async def run(host: settings.HostSettings) -> None:
    """Run a side until SIGTERM."""
    metrics = job_metrics.JobMetrics()
    async with contextlib.AsyncExitStack() as stack:
        log_client = await stack.enter_async_context(
            http_client.HttpClient(host.log, roles.CALL_TIMEOUT_S)
        )
        worker_client = await stack.enter_async_context(
            http_client.HttpClient(host.worker, roles.CALL_TIMEOUT_S)
        )
        agent = worker_agent.WorkerAgent(
            host.name,
            executor.Executor(worker_client),
            host.lease_ms,
            metrics,
            late_call_s=roles.MAX_EXECUTOR_CALL_DELAY_S,
        )
        sink = owner_link.OwnerSink(agent, metrics.barrier)
        follower = topic_follower.Follower(
            store.Store(log_client, host.log_limits),
            owner_announcements.TOPIC,
            sink,
            owner_link.READ_PAUSE_S,
            metrics,
            owner_link.POLL_MS,
        )
        link = owner_link.OwnerLink(sink, agent)
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(
                signals.reload_on_hangup, roles.reload_settings
            )
            for name, task in (
                ("agent", agent.run),
                ("announcements", follower.run),
                ("owner link", link.run),
            ):
                nursery.start_soon(
                    containment.keep_running, task, name, metrics.barrier
                )
            # No lease is renewed before the worker has registered.
            await nursery.start(
                http_server.serve,
                host.registry,
                registry.make_handler(agent),
                stop,
                metrics.listeners.open(
                    "registry", roles.divide_limits(host).own
                ),
            )
            await nursery.start(roles.serve_metrics, host, metrics)
            logs.info(logs.Component.PROCESS, f"Side {host.name} runs.")
            await signals.wait_for_stop()
            logs.info(logs.Component.PROCESS, f"Side {host.name} ends.")
            nursery.cancel_scope.cancel()
