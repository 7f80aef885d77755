"""Thrift frames: the wire form of messages between our own processes.

A frame is a four-byte length and a thrift ``Frame`` struct in the binary
protocol.  Messages are NamedTuples; this module copies them into generated
structs of the same names and back.
"""

import struct
import types
import typing
from typing import Any
from typing import Final
from typing import NamedTuple

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from kingcuplever import errors
from kingcuplever.gen.peer import ttypes
from kingcuplever import messages
from kingcuplever import plain

MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
LENGTH_PREFIX: Final = struct.Struct(">I")

# Longest string or container that a frame may claim to hold.
_MAX_STRING_BYTES: Final = MAX_FRAME_BYTES


class Frame(NamedTuple):
    """One message with the number that ties a reply to its request."""

    id: int
    reply: bool
    message: messages.Message


def _field_name(kind: type) -> str:
    name = kind.__name__
    return "".join("_" + c.lower() if c.isupper() else c for c in name)[1:]


_KINDS: Final = typing.get_args(messages.Message)
_FIELD_OF: Final = {kind: _field_name(kind) for kind in _KINDS}


def encode(frame: Frame) -> bytes:
    """Give the bytes of a frame, length included."""
    body = ttypes.Body()
    field = _FIELD_OF[type(frame.message)]
    setattr(body, field, _to_struct(frame.message))
    wire = ttypes.Frame(id=frame.id, reply=frame.reply, body=body)
    buffer = TTransport.TMemoryBuffer()
    wire.write(TBinaryProtocol.TBinaryProtocol(buffer))
    data: bytes = buffer.getvalue()
    return LENGTH_PREFIX.pack(len(data)) + data


def decode(data: bytes) -> Frame:
    """Read a frame from its bytes, the length already taken off.

    :raises errors.InvalidRequest: if the bytes are no whole frame.
    """
    try:
        return _decode(data)
    except errors.InvalidRequest:
        raise
    except Exception as error:
        # The library raises whatever its parsing trips over; all of it
        # means that the peer sent no frame of ours.
        raise errors.InvalidRequest(
            f"Peer sent a frame that can't be read ({error!r}); check that"
            " both processes have the same release."
        ) from error


def _decode(data: bytes) -> Frame:
    buffer = TTransport.TMemoryBuffer(data)
    protocol = TBinaryProtocol.TBinaryProtocol(
        buffer,
        string_length_limit=_MAX_STRING_BYTES,
        container_length_limit=len(data),
    )
    wire = ttypes.Frame()
    wire.read(protocol)
    for kind, field in _FIELD_OF.items():
        value = getattr(wire.body, field, None)
        if value is not None:
            message = _from_struct(kind, value)
            return Frame(int(wire.id), bool(wire.reply), message)
    raise errors.InvalidRequest("Peer sent a frame of an unknown kind.")


def _to_struct(value: Any) -> Any:
    if hasattr(value, "_fields"):
        struct_kind = getattr(ttypes, type(value).__name__)
        return struct_kind(*[_to_struct(item) for item in value])
    if isinstance(value, tuple):
        return [_to_struct(item) for item in value]
    return value


def _from_struct(kind: Any, value: Any) -> Any:
    if hasattr(kind, "_fields"):
        if value is None:
            raise errors.InvalidRequest(f"Peer left out a {kind.__name__}.")
        return kind(
            *[
                _from_struct(field_kind, getattr(value, name))
                for name, field_kind in plain.get_field_types(kind).items()
            ]
        )
    origin = typing.get_origin(kind)
    if origin is tuple:
        item_kind = typing.get_args(kind)[0]
        return tuple(_from_struct(item_kind, item) for item in value)
    if origin in (types.UnionType, typing.Union):
        if value is None:
            return None
        return _from_struct(typing.get_args(kind)[0], value)
    if type(value) is not kind:
        raise errors.InvalidRequest(
            f"Peer sent {value!r:.40} where {kind.__name__} belongs."
        )
    return value
