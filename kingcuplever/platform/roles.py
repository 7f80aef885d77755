"""What an entry and a side on the users' platform have in common.

Each role has a module of its own, so that a process loads only what its role
uses: memory is priced for each machine.
"""

from typing import Final

import trio

from kingcuplever.connection import admission
from kingcuplever.connection import http_server
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever.platform import settings
from kingcuplever.process import job_metrics

# Timeout of calls to the platform that have none of their own.
CALL_TIMEOUT_S: Final = 12.0
# An executor may carry out a call that it did not answer so much later, and
# count the call's lease from then.
MAX_EXECUTOR_CALL_DELAY_S: Final = 12.0


def reload_settings() -> None:
    """Check the settings file again; a running process applies no changes."""
    try:
        host = settings.load()
    except errors.SettingsError as error:
        logs.warn(
            logs.Component.PROCESS, f"Settings not reloaded: {error.detail}"
        )
        return
    text = f"Settings of {host.name} checked; changes need a restart."
    logs.info(logs.Component.PROCESS, text)


def divide_limits(host: settings.HostSettings) -> admission.ProcessLimits:
    """Divide the limits of a host's process among its listeners."""
    return admission.divide(int(host.memory_mb * 1e6), host.descriptors)


async def serve_metrics(
    host: settings.HostSettings,
    metrics: job_metrics.JobMetrics,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the metrics; the process runs without them if the port is taken.

    :param task_status: reports started once the socket listens, or can't.
    """
    gate = metrics.listeners.open("metrics", divide_limits(host).small)
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(
                http_server.serve,
                host.metrics,
                metrics.handle,
                trio.Event(),
                gate,
            )
            task_status.started()
    except* OSError as group:
        text = f"Metrics not served at {host.metrics}: {group.exceptions[0]}"
        logs.warn(logs.Component.PROCESS, text)
        task_status.started()
