"""Frames between the product's processes, valid, damaged and arbitrary."""

import typing
from typing import Any

import hypothesis
from hypothesis import strategies as st
from kingcuplever.connection import frames
from kingcuplever import errors
from kingcuplever.gen.peer import ttypes
from kingcuplever import messages
from kingcuplever import plain
import pytest

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
