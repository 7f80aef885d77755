"""Frames between the product's processes, valid, damaged and arbitrary."""

from collections.abc import Awaitable
from collections.abc import Callable
import typing
from typing import Any

import hypothesis
from hypothesis import strategies as st
from kingcuplever.connection import frames
from kingcuplever.connection import peer as peers
from kingcuplever import errors
from kingcuplever.gen.peer import ttypes
from kingcuplever import messages
from kingcuplever import plain
import pytest
import trio
import trio.testing

KINDS = typing.get_args(messages.Message)

texts = st.text(max_size=20)
numbers = st.integers(-(2**31), 2**31 - 1)


def make_strategy(kind: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for values of a type of message or field."""
    if hasattr(kind, "_fields"):
        fields = plain.get_field_types(kind).values()
        return st.builds(kind, *[make_strategy(field) for field in fields])
    origin = typing.get_origin(kind)
    if origin is tuple:
        items = make_strategy(typing.get_args(kind)[0])
        return st.lists(items, max_size=3).map(tuple)
    if origin is not None:
        return st.none() | make_strategy(typing.get_args(kind)[0])
    return {
        str: texts,
        int: numbers,
        float: st.floats(allow_nan=False),
        bool: st.booleans(),
        bytes: st.binary(max_size=50),
    }[kind]


@pytest.mark.parametrize("kind", KINDS)
def test_generated_struct_has_the_fields_of_the_message(kind: Any) -> None:
    spec = getattr(ttypes, kind.__name__).thrift_spec
    names = [row[2] for row in spec if row is not None]
    assert names == list(kind._fields)


@hypothesis.given(st.one_of([make_strategy(kind) for kind in KINDS]), numbers)
def test_frame_survives_the_wire(message: Any, number: int) -> None:
    frame = frames.Frame(number, True, message)
    data = frames.encode(frame)
    (length,) = frames.LENGTH_PREFIX.unpack_from(data)
    assert length == len(data) - frames.LENGTH_PREFIX.size
    assert frames.decode(data[frames.LENGTH_PREFIX.size :]) == frame


@hypothesis.given(st.binary(max_size=300))
def test_foreign_bytes_get_a_typed_error(data: bytes) -> None:
    with pytest.raises(errors.InvalidRequest):
        frames.decode(data)


@hypothesis.given(
    st.one_of([make_strategy(kind) for kind in KINDS]),
    st.integers(0, 400),
    st.integers(0, 255),
)
def test_damaged_frame_is_read_or_refused(
    message: Any, place: int, byte: int
) -> None:
    whole = frames.encode(frames.Frame(1, False, message))
    data = bytearray(whole[frames.LENGTH_PREFIX.size :])
    data[place % len(data)] = byte
    try:
        frame = frames.decode(bytes(data))
    except errors.InvalidRequest:
        return
    assert type(frame.message) in KINDS


# Guards against a process that ends since one value does not fit a message.
@pytest.mark.parametrize(
    "message",
    [
        messages.WorkerReply(2**63),
        messages.OwnerProbe("3"),  # type: ignore[arg-type]
        messages.PeerError("\ud800", ""),
        messages.PeerError("x" * (frames.MAX_FRAME_BYTES + 1), ""),
    ],
)
def test_message_that_does_not_fit_its_fields_gets_a_typed_error(
    message: messages.Message,
) -> None:
    with pytest.raises(errors.InvalidRequest):
        frames.encode(frames.Frame(1, False, message))


Case = Callable[[peers.PeerConnection, trio.abc.Stream], Awaitable[None]]


def run_with_peer(case: Case, handler: peers.Handler) -> None:
    """Run a case with a peer connection and the other end of its stream."""

    async def main() -> None:
        near, far = trio.testing.memory_stream_pair()
        async with peers.run_peer(near, handler) as peer:
            with trio.fail_after(5):
                await case(peer, far)

    trio.run(main)


async def read_frame(stream: trio.abc.ReceiveStream) -> frames.Frame:
    """Read one frame from the other end."""
    data = bytearray()
    while True:
        data += await stream.receive_some(65536)
        if len(data) >= frames.LENGTH_PREFIX.size:
            (length,) = frames.LENGTH_PREFIX.unpack_from(data)
            if len(data) == frames.LENGTH_PREFIX.size + length:
                return frames.decode(bytes(data[frames.LENGTH_PREFIX.size :]))


# Guards against a process that ends since its peer runs a newer release.
def test_reply_with_an_unknown_code_is_a_typed_error() -> None:
    async def case(peer: peers.PeerConnection, far: trio.abc.Stream) -> None:
        error = messages.PeerError("CODE_OF_A_NEWER_RELEASE", "went wrong")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                far.send_all, frames.encode(frames.Frame(1, True, error))
            )
            with pytest.raises(errors.KingcupleverError) as raised:
                await peer.call(messages.OwnerProbe(1), 1.0)
        assert raised.value.code is errors.Code.PEER_FAILED
        assert "CODE_OF_A_NEWER_RELEASE" in raised.value.detail

    run_with_peer(case, peers.reject_requests)


# Guards against a process that ends since one reply came twice.
def test_second_reply_to_a_call_is_dropped() -> None:
    async def case(peer: peers.PeerConnection, far: trio.abc.Stream) -> None:
        reply = frames.encode(frames.Frame(1, True, messages.WorkerReply(5)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(far.send_all, reply + reply)
            assert await peer.call(
                messages.OwnerProbe(1), 1.0
            ) == messages.WorkerReply(5)
        await trio.testing.wait_all_tasks_blocked()
        assert peer.late_replies == 1

    run_with_peer(case, peers.reject_requests)


def check_first_of_two_fails(handler: peers.Handler) -> messages.PeerError:
    """Send two requests; return the error that the first one gets.

    The second one must be replied on the same connection.
    """
    failures: list[messages.PeerError] = []

    async def case(peer: peers.PeerConnection, far: trio.abc.Stream) -> None:
        for epoch in (1, 2):
            request = frames.Frame(epoch, False, messages.OwnerProbe(epoch))
            await far.send_all(frames.encode(request))
            reply = (await read_frame(far)).message
            if epoch == 1:
                assert isinstance(reply, messages.PeerError)
                assert reply.code == errors.Code.PEER_FAILED.value
                failures.append(reply)
            else:
                assert reply == messages.WorkerReply(7)

    run_with_peer(case, handler)
    (failure,) = failures
    return failure


# Guards against a process that ends by an odd error in handling one request.
def test_odd_error_of_one_request_is_replied_and_the_others_are_served() -> (
    None
):
    async def handler(
        peer: peers.PeerConnection, message: messages.Message
    ) -> messages.Message:
        if message == messages.OwnerProbe(1):
            raise LookupError("odd")
        return messages.WorkerReply(7)

    check_first_of_two_fails(handler)


# Guards against a link that ends, with all requests on it, since the reply to
# one of them is too long for a frame.
def test_reply_that_is_too_long_is_an_error_of_its_request() -> None:
    async def handler(
        peer: peers.PeerConnection, message: messages.Message
    ) -> messages.Message:
        if message == messages.OwnerProbe(1):
            body = b"x" * frames.MAX_FRAME_BYTES
            return messages.DispatchReply(
                "r1", messages.ANSWERED, 200, (), body, len(body), ""
            )
        return messages.WorkerReply(7)

    error = check_first_of_two_fails(handler)
    assert str(frames.MAX_FRAME_BYTES) in error.detail
