"""Multiplexes requests of both ends over one connection between processes.

Either end may send requests; a reply carries the id of its request.  A reply
that arrives after its call has timed out is dropped and counted.  One task
reads the frames; a lock serializes the writes.  While many requests of the
other end are in progress, no further frame is read.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
from typing import Final

import trio

from kingcuplever.connection import frame_reader
from kingcuplever.connection import frames
from kingcuplever import containment
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages

# Requests of the other end that may be in progress at once.
_MAX_REQUESTS: Final = 1024

Handler = Callable[
    ["PeerConnection", messages.Message], Awaitable[messages.Message]
]


class PeerConnection:
    """Requests and replies over one stream.

    :ivar late_replies: number of replies that came after their call had
        ended.
    :ivar bytes_sent: bytes written so far.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        handler: Handler,
        link: frame_reader.Link | None = None,
    ) -> None:
        """Take ownership of a connected stream.

        :param handler: handles the other end's requests; its errors are sent
            back as :class:`messages.PeerError`.
        :param link: limits of a connection that was accepted.
        """
        self._stream = stream
        self._reader = frame_reader.FrameReader(stream, link)
        self._request_slots = trio.Semaphore(_MAX_REQUESTS)
        self._handler = handler
        self._call_ids = itertools.count(1)
        self._pending_calls: dict[
            int, trio.MemorySendChannel[messages.Message]
        ] = {}
        self._write_lock = trio.Lock()
        self._closed = False
        self.late_replies = 0
        self.bytes_sent = 0

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self._closed

    @property
    def bytes_received(self) -> int:
        """Number of bytes read so far."""
        return self._reader.bytes_received

    async def call(
        self, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Send a request and wait for its reply.

        :raises errors.PeerLost: the connection ended; ``sent`` says whether
            the request may have been sent.
        :raises errors.PeerTimeout: no reply came in time.
        :raises errors.KingcupleverError: the other end replied with an error.
        """
        call_id = next(self._call_ids)
        data = frames.encode(frames.Frame(call_id, False, message))
        send, receive = trio.open_memory_channel[messages.Message](1)
        self._pending_calls[call_id] = send
        try:
            with trio.move_on_after(timeout_s) as scope:
                await self._write(data)
                reply = await receive.receive()
            if scope.cancelled_caught:
                raise errors.PeerTimeout(
                    f"Peer did not answer within {timeout_s:.1f} s."
                )
        except trio.EndOfChannel:
            raise errors.PeerLost(
                "Connection ended before the reply.", sent=True
            ) from None
        finally:
            self._pending_calls.pop(call_id, None)
            send.close()
            receive.close()
        if isinstance(reply, messages.PeerError):
            raise _make_error(reply)
        return reply

    async def run(self) -> None:
        """Read frames until the connection ends, then fail pending calls."""
        try:
            async with trio.open_nursery() as nursery:
                await self._read_frames(nursery)
                nursery.cancel_scope.cancel()
        finally:
            self._closed = True
            for reply_channel in self._pending_calls.values():
                reply_channel.close()
            with trio.CancelScope(shield=True) as scope:
                scope.cancel()
                await self._stream.aclose()

    async def close(self) -> None:
        """Close the connection without waiting for pending writes."""
        self._closed = True
        await trio.aclose_forcefully(self._stream)

    async def _read_frames(self, nursery: trio.Nursery) -> None:
        while (frame := await self._reader.receive()) is not None:
            if frame.reply:
                self._pass_reply(frame)
            else:
                await self._request_slots.acquire()
                nursery.start_soon(self._handle_request, frame)

    def _pass_reply(self, frame: frames.Frame) -> None:
        reply_channel = self._pending_calls.pop(frame.id, None)
        if reply_channel is None:
            self.late_replies += 1
            return
        reply_channel.send_nowait(frame.message)

    async def _handle_request(self, frame: frames.Frame) -> None:
        try:
            reply = await self._handler(self, frame.message)
        except errors.KingcupleverError as error:
            reply = messages.PeerError(error.code.value, error.detail)
        except Exception as error:
            # Whatever one request brings about, the others are served.
            kind = type(frame.message).__name__
            containment.report_error("message", kind, error)
            code = errors.Code.PEER_FAILED
            reply = messages.PeerError(code.value, f"{kind} failed.")
        try:
            await self._write(_encode_reply(frame.id, reply))
        except errors.PeerLost:
            # The reading task sees the end of the connection, too.
            return
        finally:
            self._request_slots.release()

    async def _write(self, data: bytes) -> None:
        if self._closed:
            raise errors.PeerLost("Connection is closed.", sent=False)
        async with self._write_lock:
            # A partial write would break the framing of all later frames,
            # so a write that has begun is shielded from cancellation.  One
            # that exceeds its timeout closes the connection.
            with trio.CancelScope(shield=True) as scope:
                scope.deadline = trio.current_time() + WRITE_TIMEOUT_S
                try:
                    await self._stream.send_all(data)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    # The reading task may not have seen it yet.
                    self._closed = True
                    raise errors.PeerLost(
                        "Connection failed while sending.", sent=True
                    ) from None
            if scope.cancelled_caught:
                self._closed = True
                await self._stream.aclose()
                raise errors.PeerLost(
                    "Peer did not read the frame in time.", sent=True
                )
        self.bytes_sent += len(data)


WRITE_TIMEOUT_S = 5.0


def _encode_reply(call_id: int, reply: messages.Message) -> bytes:
    """Encode a reply; one that can't be sent, as an error of its request."""
    try:
        return frames.encode(frames.Frame(call_id, True, reply))
    except errors.InvalidRequest as error:
        logs.warn(logs.Component.MEMBER, error.detail)
        failed = messages.PeerError(
            errors.Code.PEER_FAILED.value, error.detail
        )
        return frames.encode(frames.Frame(call_id, True, failed))


def _make_error(reply: messages.PeerError) -> errors.KingcupleverError:
    """Make the error that the other end replied with.

    A newer release may have codes that this one does not know.
    """
    try:
        code = errors.Code(reply.code)
    except ValueError:
        code = errors.Code.PEER_FAILED
        detail = f"{reply.detail} (unknown code {reply.code!r:.40})"
        return errors.KingcupleverError(detail, code)
    return errors.KingcupleverError(reply.detail, code)


async def reject_requests(
    peer: PeerConnection, message: messages.Message
) -> messages.Message:
    """Reject any request, for an end that only sends requests.

    :raises errors.InvalidRequest: always.
    """
    raise errors.InvalidRequest(
        "This end of the connection accepts no requests."
    )


@contextlib.asynccontextmanager
async def run_peer(
    stream: trio.abc.Stream, handler: Handler = reject_requests
) -> AsyncIterator[PeerConnection]:
    """Run a peer connection on a stream while the ``with`` body runs.

    The body is cancelled when the other end closes the connection; the stream
    is closed when the body ends.
    """
    peer = PeerConnection(stream, handler)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_run, peer, nursery)
            yield peer
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            await peer.close()


async def _run(peer: PeerConnection, nursery: trio.Nursery) -> None:
    await peer.run()
    nursery.cancel_scope.cancel()
