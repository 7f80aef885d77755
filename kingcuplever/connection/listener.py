"""Accepts the connections of one listener, as far as they are admitted."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
from typing import Final

import trio

from kingcuplever.connection import admission
from kingcuplever.connection import connection_table
from kingcuplever import containment

# Connections are accepted at once, so only a burst waits in the kernel.
_BACKLOG: Final = 256
_ACCEPTED_PER_TURN: Final = 32
_ACCEPT_PAUSE_S: Final = 0.1
# What a client may send ahead; the kernel holds it until it is read.
_RECEIVE_BUFFER_BYTES: Final = 32 * 1024

Serve = Callable[
    [trio.SocketStream, connection_table.Connection], Awaitable[None]
]


@contextlib.asynccontextmanager
async def listen(
    address: str,
    admitted_by: admission.Admission,
    serve: Serve,
    nursery: trio.Nursery,
) -> AsyncIterator[str]:
    """Accept connections while the ``with`` body runs; yield the address.

    :param address: IP address and port, ``host:port``; a free port if 0.
    :param serve: serves a connection until it ends.
    :param nursery: runs the connections, which may outlive the listener.
    """
    host, _, port = address.rpartition(":")
    with contextlib.closing(_open_socket(host, int(port))) as opened:
        bound_host, bound_port = opened.getsockname()[:2]
        async with trio.open_nursery() as accepting:
            accepting.start_soon(_accept, opened, admitted_by, serve, nursery)
            yield f"{bound_host}:{bound_port}"
            accepting.cancel_scope.cancel()


def _open_socket(host: str, port: int) -> socket.socket:
    """Return a listening socket.

    :raises OSError: the port is taken.
    """
    opened = socket.socket()
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with contextlib.suppress(OSError):
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
        opened.bind((host, port))
        opened.setblocking(False)
        opened.listen(_BACKLOG)
    except OSError:
        opened.close()
        raise
    return opened


async def _accept(
    opened: socket.socket,
    admitted_by: admission.Admission,
    serve: Serve,
    nursery: trio.Nursery,
) -> None:
    """Accept all connections that wait, some in each turn of the event loop.

    With one in each turn, a busy process would leave callers waiting.
    """
    while True:
        await trio.lowlevel.wait_readable(opened)
        for _ in range(_ACCEPTED_PER_TURN):
            try:
                accepted, _ = opened.accept()
            except BlockingIOError:
                break
            except OSError:
                # There is no descriptor left, or the client has gone.
                admitted_by.count_refusal("not_accepted")
                await trio.sleep(_ACCEPT_PAUSE_S)
                break
            stream = trio.SocketStream(
                trio.socket.from_stdlib_socket(accepted)
            )
            nursery.start_soon(_serve_admitted, admitted_by, serve, stream)


async def _serve_admitted(
    admitted_by: admission.Admission, serve: Serve, stream: trio.SocketStream
) -> None:
    """Serve one connection if it is admitted; close it in the end."""
    place = None
    try:
        peer = stream.socket.getpeername()
        place = await admitted_by.admit(str(peer[0]), stream.socket.close)
        if place is not None:
            await serve(stream, place)
    except OSError:
        # The client has gone already.
        return
    except Exception as error:
        # Whatever one connection brings about, the others are served.
        containment.report_error("connection", admitted_by.name, error)
    finally:
        if place is not None:
            admitted_by.remove(place)
        await trio.aclose_forcefully(stream)
