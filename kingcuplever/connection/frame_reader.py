"""Reads the frames of one connection between processes, within limits.

Anyone who reaches the port may connect, so a connection that has sent no
frame yet can be let go for others, a frame has to arrive in time, and a long
one takes memory of the listener before it is read.
"""

import contextlib
import math
from typing import Final
from typing import NamedTuple

import trio

from kingcuplever.connection import admission
from kingcuplever.connection import connection_table
from kingcuplever.connection import frames
from kingcuplever import errors

FRAME_TIMEOUT_S: Final = 10.0
_READ_BYTES: Final = 64 * 1024
# Shorter frames are part of what any connection may hold.
_SHORT_FRAME_BYTES: Final = 16 * 1024
_MEMORY_CHECK_PERIOD_S: Final = 0.05


class Link(NamedTuple):
    """A connection that a listener has admitted.

    :ivar place: its place among the listener's connections.
    :ivar admitted_by: limits of the listener.
    """

    place: connection_table.Connection
    admitted_by: admission.Admission


class FrameReader:
    """Reads frames from a stream.

    :ivar bytes_received: bytes read so far.
    """

    def __init__(
        self, stream: trio.abc.Stream, link: Link | None = None
    ) -> None:
        """Read from a connected stream, which the caller closes.

        :param link: absent if this process has opened the connection.
        """
        self.bytes_received = 0
        self._stream = stream
        self._link = link
        self._buffer = bytearray()
        # Whoever is connected to has no reason to send a frame first.
        self._first_timeout_s = math.inf if link is None else FRAME_TIMEOUT_S

    async def receive(self) -> frames.Frame | None:
        """Return the next frame; nothing if the connection has ended.

        :raises errors.KingcupleverError: the frame is malformed, too long or
            late, or there is no memory for it.
        """
        with trio.move_on_after(self._first_timeout_s) as timeout:
            if not await self._fill(1):
                return None
        if not timeout.cancelled_caught:
            with trio.move_on_after(FRAME_TIMEOUT_S) as timeout:
                data = await self._receive_frame()
        if timeout.cancelled_caught:
            raise errors.InvalidRequest(
                f"Peer sent no whole frame within {FRAME_TIMEOUT_S:.0f} s."
            )
        if data is None:
            return None
        frame = frames.decode(data)
        self._first_timeout_s = math.inf
        if self._link is not None:
            # From now on it is not let go for others.
            self._link.place.enter(
                connection_table.Phase.WORKING, trio.current_time()
            )
        return frame

    async def _receive_frame(self) -> bytes | None:
        """Return the bytes of a frame, without the length prefix."""
        header_size = frames.LENGTH_PREFIX.size
        if not await self._fill(header_size):
            return None
        (length,) = frames.LENGTH_PREFIX.unpack_from(self._buffer)
        if length > frames.MAX_FRAME_BYTES:
            raise errors.InvalidRequest(
                f"Peer announced a frame of {length} bytes; the limit is"
                f" {frames.MAX_FRAME_BYTES}."
            )
        with contextlib.ExitStack() as stack:
            if self._link is not None and length > _SHORT_FRAME_BYTES:
                gate = self._link.admitted_by
                memory = gate.open_request(self._link.place)
                await self._reserve(stack.enter_context(memory), 2 * length)
            if not await self._fill(header_size + length):
                return None
            data = bytes(self._buffer[header_size : header_size + length])
            del self._buffer[: header_size + length]
            return data

    async def _reserve(
        self, memory: admission.RequestMemory, size: int
    ) -> None:
        """Reserve memory; a connection that has sent frames waits for it."""
        if self._first_timeout_s != math.inf:
            memory.require(size)
            return
        while not memory.try_hold(size):
            await trio.sleep(_MEMORY_CHECK_PERIOD_S)

    async def _fill(self, size: int) -> bool:
        """Read until the buffer has a size; return whether it has."""
        while len(self._buffer) < size:
            try:
                data = await self._stream.receive_some(_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return False
            if not data:
                return False
            self.bytes_received += len(data)
            self._buffer += data
            if self._link is not None:
                self._link.place.record_progress(
                    len(data), trio.current_time()
                )
        return True
