"""A fault-injecting TCP proxy for tests.

It forwards connections between two processes and delays, slows or drops their
data, in one direction or both, refuses connections or cuts them.  Faults are
set by a control request.
"""

from typing import Any
from typing import Final

from kingcuplever.connection import http_server
from kingcuplever import options
from standins import controls
import trio

_CHUNK_BYTES: Final = 65536
# A slow direction forwards so many chunks a second.
_SLOW_CHUNKS_PER_S: Final = 20


class DirectionFaults:
    """Faults of one direction.

    :ivar delay_s: delay of each chunk of data, in seconds.
    :ivar drops_data: whether data is received and not sent on.
    :ivar bytes_per_s: bandwidth of each connection; 0 for no limit.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self.delay_s = 0.0
        self.drops_data = False
        self.bytes_per_s = 0

    @property
    def chunk_bytes(self) -> int:
        """Most bytes that are forwarded at once."""
        if not self.bytes_per_s:
            return _CHUNK_BYTES
        return max(1, self.bytes_per_s // _SLOW_CHUNKS_PER_S)


class Proxy:
    """Forwards connections from one address to another.

    :ivar forward: faults of the data from client to server.
    :ivar backward: faults of the data from server to client.
    """

    def __init__(self, listen: str, upstream: str) -> None:
        """Forward ``listen`` to ``to``, both ``IP:port``."""
        self._listen = listen
        self._upstream = upstream
        self._streams: set[trio.SocketStream] = set()
        self._is_refusing = False
        self.forward = DirectionFaults()
        self.backward = DirectionFaults()

    @property
    def address(self) -> str:
        """Address that it listens on."""
        return self._listen

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Forward connections until cancelled."""
        host, port = options.split_address(self._listen)
        listeners = await trio.open_tcp_listeners(port, host=host)
        task_status.started()
        await trio.serve_listeners(self._handle_connection, listeners)

    async def handle(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        """Apply a control request."""
        changes = http_server.parse_json(request.body)
        await self.set_faults(changes)
        return http_server.json_response({})

    async def set_faults(self, changes: dict[str, Any]) -> None:
        """Set the faults that ``changes`` names; the others stay.

        ``refuse`` closes new connections at once, ``cut`` closes the open
        ones.  ``forward`` and ``backward`` hold ``delay_s``, ``bytes_per_s``
        and ``swallow``, which drops the data.
        """
        controls.check_names(changes, "refuse", "forward", "backward", "cut")
        self._is_refusing = changes.get("refuse", self._is_refusing)
        for name, direction in (
            ("forward", self.forward),
            ("backward", self.backward),
        ):
            faults = changes.get(name, {})
            direction.delay_s = faults.get("delay_s", direction.delay_s)
            direction.drops_data = faults.get("swallow", direction.drops_data)
            direction.bytes_per_s = faults.get(
                "bytes_per_s", direction.bytes_per_s
            )
        if changes.get("cut", False):
            for stream in list(self._streams):
                await trio.aclose_forcefully(stream)

    async def _handle_connection(self, client: trio.SocketStream) -> None:
        if self._is_refusing:
            return
        host, port = options.split_address(self._upstream)
        try:
            server = await trio.open_tcp_stream(host, port)
        except OSError:
            return
        self._streams |= {client, server}
        async with server:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._forward_data, client, server, self.forward, nursery
                )
                nursery.start_soon(
                    self._forward_data, server, client, self.backward, nursery
                )
        self._streams -= {client, server}

    async def _forward_data(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: DirectionFaults,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while data := await source.receive_some(direction.chunk_bytes):
                if direction.delay_s:
                    await trio.sleep(direction.delay_s)
                if direction.bytes_per_s:
                    await trio.sleep(len(data) / direction.bytes_per_s)
                if not direction.drops_data:
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One end is closed, so the other one has to be closed too.
            nursery.cancel_scope.cancel()
            return
        nursery.cancel_scope.cancel()
