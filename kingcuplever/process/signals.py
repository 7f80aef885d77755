"""Waits for the signals that ask a process to stop or to reload."""

from collections.abc import Callable
import signal

import trio


async def wait_for_stop() -> None:
    """Return at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            return


async def reload_on_hangup(
    reload: Callable[[], None],
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Call ``reload`` on every SIGHUP, which would otherwise be fatal.

    :param task_status: reports started once the signal is handled.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as received:
        task_status.started()
        async for _ in received:
            reload()
