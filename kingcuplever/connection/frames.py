"""Encodes messages between kingcuplever's processes as thrift frames.

A frame is a four-byte big-endian length and a thrift ``Frame`` struct in the
binary protocol.  Messages are NamedTuples; this module copies them into
generated structs of the same names and back.
"""

from collections.abc import Iterable
import struct
import types
import typing
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TypeVar

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from kingcuplever import errors
from kingcuplever.gen.peer import ttypes
from kingcuplever import messages
from kingcuplever import plain

MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
LENGTH_PREFIX: Final = struct.Struct(">I")
# Longest lists of one message, so that its other fields fit the frame too.
MAX_LIST_BYTES: Final = 3 * 1024 * 1024

# Bytes of a field of a struct besides a string's own, and of the struct's end.
_MAX_FIELD_BYTES: Final = 11
_STOP_BYTES: Final = 1
# Longest string that a frame may declare.
_MAX_STRING_BYTES: Final = MAX_FRAME_BYTES


_Row = TypeVar("_Row", bound=tuple[str | int, ...])


class Frame(NamedTuple):
    """One message.

    :ivar id: number that matches a reply to its request.
    """

    id: int
    reply: bool
    message: messages.Message


def _make_field_name(typ: type) -> str:
    name = typ.__name__
    return "".join("_" + c.lower() if c.isupper() else c for c in name)[1:]


_MESSAGE_TYPES: Final = typing.get_args(messages.Message)
_FIELD_BY_TYPE: Final = {typ: _make_field_name(typ) for typ in _MESSAGE_TYPES}


def encode(frame: Frame) -> bytes:
    """Return the bytes of a frame, with the length prefix.

    :raises errors.InvalidRequest: if a value of the message does not fit its
        field, or the frame is too long.
    """
    body = ttypes.Body()
    field = _FIELD_BY_TYPE[type(frame.message)]
    setattr(body, field, _to_struct(frame.message))
    wire = ttypes.Frame(id=frame.id, reply=frame.reply, body=body)
    buffer = TTransport.TMemoryBuffer()
    try:
        wire.write(TBinaryProtocol.TBinaryProtocol(buffer))
    except (*plain.CONVERSION_ERRORS, struct.error) as error:
        raise errors.InvalidRequest(
            f"A {field} can't be sent ({error!r:.100})."
        ) from error
    data: bytes = buffer.getvalue()
    if len(data) > MAX_FRAME_BYTES:
        raise errors.InvalidRequest(
            f"A {field} of {len(data)} bytes can't be sent; the limit is"
            f" {MAX_FRAME_BYTES}."
        )
    return LENGTH_PREFIX.pack(len(data)) + data


def decode(data: bytes) -> Frame:
    """Decode the bytes of a frame, without the length prefix.

    :raises errors.InvalidRequest: if the bytes are not one complete frame.
    """
    try:
        return _decode(data)
    except errors.InvalidRequest:
        raise
    except Exception as error:
        # The thrift library doesn't validate its input: malformed bytes can
        # raise almost any exception.
        raise errors.InvalidRequest(
            f"Peer sent a frame that can't be read ({error!r}); check that"
            " both processes run the same release."
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
    for typ, field in _FIELD_BY_TYPE.items():
        value = getattr(wire.body, field, None)
        if value is not None:
            message = _from_struct(typ, value)
            return Frame(int(wire.id), bool(wire.reply), message)
    raise errors.InvalidRequest(
        "Peer sent a frame with an unknown message type."
    )


def bound_row_bytes(row: tuple[str | int, ...]) -> int:
    """Return the most bytes that a row of a list takes in a frame."""
    texts = sum(len(item.encode()) for item in row if isinstance(item, str))
    return texts + len(row) * _MAX_FIELD_BYTES + _STOP_BYTES


def take_rows(rows: Iterable[_Row], most_bytes: int) -> tuple[_Row, ...]:
    """Return as many of the first rows as fit into so many bytes."""
    taken = []
    for row in rows:
        most_bytes -= bound_row_bytes(row)
        if most_bytes < 0:
            break
        taken.append(row)
    return tuple(taken)


def _to_struct(value: Any) -> Any:
    if hasattr(value, "_fields"):
        struct_type = getattr(ttypes, type(value).__name__)
        return struct_type(*[_to_struct(item) for item in value])
    if isinstance(value, tuple):
        return [_to_struct(item) for item in value]
    return value


def _from_struct(typ: Any, value: Any) -> Any:
    if hasattr(typ, "_fields"):
        if value is None:
            raise errors.InvalidRequest(
                f"Peer sent a message without its {typ.__name__}."
            )
        return typ(
            *[
                _from_struct(field_type, getattr(value, name))
                for name, field_type in plain.get_field_types(typ).items()
            ]
        )
    origin = typing.get_origin(typ)
    if origin is tuple:
        item_type = typing.get_args(typ)[0]
        return tuple(_from_struct(item_type, item) for item in value)
    if origin in (types.UnionType, typing.Union):
        if value is None:
            return None
        return _from_struct(typing.get_args(typ)[0], value)
    if type(value) is not typ:
        raise errors.InvalidRequest(
            f"Peer sent {value!r:.40} where {typ.__name__} belongs."
        )
    return value
