"""Turns NamedTuples into plain values and back, checking as it goes.

Log records, HTTP bodies, configuration and settings are all NamedTuples in
the program and JSON or TOML outside.  This module is the only place that
walks from one to the other.  It collects every fault with its path, so that
one answer names all of them.
"""

import functools
import types
import typing
from typing import Any
from typing import NamedTuple
from typing import TypeVar

T = TypeVar("T")


class Fault(NamedTuple):
    """One thing wrong with a value from outside.

    :ivar path: dotted path of the key.
    :ivar value: what was found, as text.
    :ivar allowed: what would be right.
    """

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Give the fault as one sentence."""
        return f"{self.path} is {self.value}; allowed: {self.allowed}"


class ValidationError(ValueError):
    """A plain value does not fit its type.

    :ivar faults: everything that is wrong with it.
    """

    def __init__(self, faults: list[Fault]) -> None:
        """Store the faults; the message lists them all."""
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults


_NUMBER_NAMES = {int: "a whole number", float: "a number"}


def to_plain(value: Any) -> Any:
    """Turn a NamedTuple, with all it holds, into dicts, lists and scalars."""
    if hasattr(value, "_fields"):
        return {
            name: to_plain(item)
            for name, item in zip(value._fields, value, strict=True)
        }
    if isinstance(value, (list, tuple)):
        return [to_plain(item) for item in value]
    if isinstance(value, dict):
        return {key: to_plain(item) for key, item in value.items()}
    return value


def from_plain(kind: type[T], value: Any, path: str = "") -> T:
    """Build ``kind`` from a plain value.

    :param kind: a NamedTuple class or any type that this module knows.
    :param value: dicts, lists and scalars, as from JSON or TOML.
    :param path: name of the value, for faults.
    :raises FaultyValue: with every fault that was found.
    """
    faults: list[Fault] = []
    built = _build(kind, value, path, faults)
    if faults:
        raise ValidationError(faults)
    return typing.cast(T, built)


@functools.cache
def get_field_types(kind: Any) -> dict[str, Any]:
    """Give the resolved field types of a NamedTuple class."""
    hints = typing.get_type_hints(kind)
    return {name: hints[name] for name in kind._fields}


def _build(kind: Any, value: Any, path: str, faults: list[Fault]) -> Any:
    origin = typing.get_origin(kind)
    if kind is Any:
        return value
    if hasattr(kind, "_fields"):
        return _build_tuple(kind, value, path, faults)
    if origin in (types.UnionType, typing.Union):
        return _build_optional(kind, value, path, faults)
    if origin is typing.Literal:
        return _build_literal(kind, value, path, faults)
    if origin is tuple:
        return _build_list(kind, value, path, faults)
    if origin is dict:
        return _build_dict(kind, value, path, faults)
    return _build_scalar(kind, value, path, faults)


def _build_tuple(kind: Any, value: Any, path: str, faults: list[Fault]) -> Any:
    if not isinstance(value, dict):
        faults.append(Fault(path or "value", _format_value(value), "a table"))
        return None
    fields = get_field_types(kind)
    for key in value:
        if key not in fields:
            names = ", ".join(fields)
            faults.append(Fault(_join(path, str(key)), "unknown", names))
    built = {}
    for name, field_kind in fields.items():
        inner = _join(path, name)
        if name in value:
            built[name] = _build(field_kind, value[name], inner, faults)
        elif name not in kind._field_defaults:
            faults.append(Fault(inner, "missing", _describe_type(field_kind)))
            built[name] = None
    return kind(**built)


def _build_optional(
    kind: Any, value: Any, path: str, faults: list[Fault]
) -> Any:
    if value is None:
        return None
    inner = [arg for arg in typing.get_args(kind) if arg is not type(None)]
    return _build(inner[0], value, path, faults)


def _build_literal(
    kind: Any, value: Any, path: str, faults: list[Fault]
) -> Any:
    if value not in typing.get_args(kind):
        faults.append(Fault(path, _format_value(value), _describe_type(kind)))
    return value


def _build_list(kind: Any, value: Any, path: str, faults: list[Fault]) -> Any:
    if not isinstance(value, (list, tuple)):
        faults.append(Fault(path, _format_value(value), "a list"))
        return ()
    item_kind = typing.get_args(kind)[0]
    return tuple(
        _build(item_kind, item, f"{path}[{index}]", faults)
        for index, item in enumerate(value)
    )


def _build_dict(kind: Any, value: Any, path: str, faults: list[Fault]) -> Any:
    if not isinstance(value, dict):
        faults.append(Fault(path, _format_value(value), "a table"))
        return {}
    item_kind = typing.get_args(kind)[1]
    return {
        str(key): _build(item_kind, item, _join(path, str(key)), faults)
        for key, item in value.items()
    }


def _build_scalar(
    kind: Any, value: Any, path: str, faults: list[Fault]
) -> Any:
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        faults.append(Fault(path, _format_value(value), _describe_type(kind)))
    return value


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _format_value(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _describe_type(kind: Any) -> str:
    if typing.get_origin(kind) is typing.Literal:
        return " or ".join(repr(arg) for arg in typing.get_args(kind))
    if kind in _NUMBER_NAMES:
        return _NUMBER_NAMES[kind]
    return {str: "a text", bool: "true or false"}.get(kind, "a table or list")
