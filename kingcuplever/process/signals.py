"""Waits for the signals that ask a process to stop."""

import signal

import trio


async def wait_for_stop() -> None:
    """Return at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            return
