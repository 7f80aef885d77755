"""Converts NamedTuples to plain values, and back with validation.

Records on the log, HTTP bodies, configuration and settings are NamedTuples in
the program, and JSON or TOML outside.  Plain values are what parsers of those
return: dicts, lists and scalars.  Validation collects all faults with their
paths, so that one error names them together.
"""

import contextlib
import functools
import math
import types
import typing
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TypeVar

from kingcuplever import lenient_json

T = TypeVar("T")

# Most faults in a message, which is logged and sent as a whole.
_MAX_LISTED_FAULTS: Final = 100
# Longest part of a name in a path.
_MAX_NAME_CHARS: Final = 60

# What parsing and converting a value from outside may raise: a number can be
# infinite, a list too short or too deep, a string no valid Unicode.
CONVERSION_ERRORS: Final = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)


class Fault(NamedTuple):
    """One thing wrong with a value from outside.

    :ivar path: dotted path of the key.
    :ivar value: the value found, as text.
    :ivar allowed: description of the allowed values.
    """

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the fault as one sentence."""
        return f"{self.path} is {self.value}; allowed: {self.allowed}"


class ValidationError(ValueError):
    """A plain value does not fit its type.

    :ivar faults: all faults of the value.
    """

    def __init__(self, faults: list[Fault]) -> None:
        """Store the faults; the message lists the first of them."""
        lines = [str(fault) for fault in faults[:_MAX_LISTED_FAULTS]]
        more = len(faults) - len(lines)
        if more:
            lines.append(f"{more} more")
        super().__init__("; ".join(lines))
        self.faults = faults


_NUMBER_DESCRIPTIONS = {
    int: "a whole number of 64 bits",
    float: "a finite number",
}


def to_plain(value: Any) -> Any:
    """Convert a NamedTuple and its fields to dicts, lists and scalars."""
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


def from_plain(typ: type[T], value: Any, path: str = "") -> T:
    """Build a value of type ``typ`` from a plain value.

    :param typ: a NamedTuple class; ``Any``; an int, float, str or bool; or a
        union with ``None``, literal, tuple or dict of such types.
    :param path: name of the value in faults.
    :raises ValidationError: with all faults.
    """
    faults: list[Fault] = []
    built = _build(typ, value, path, faults)
    if faults:
        raise ValidationError(faults)
    return typing.cast(T, built)


@functools.cache
def get_field_types(typ: Any) -> dict[str, Any]:
    """Return the resolved field types of a NamedTuple class by name."""
    hints = typing.get_type_hints(typ)
    return {name: hints[name] for name in typ._fields}


def _build(typ: Any, value: Any, path: str, faults: list[Fault]) -> Any:
    origin = typing.get_origin(typ)
    if typ is Any:
        if _is_too_deep(value):
            allowed = f"a value nested {lenient_json.MAX_DEPTH} deep at most"
            faults.append(Fault(path, "nested deeper", allowed))
        return value
    if hasattr(typ, "_fields"):
        return _build_tuple(typ, value, path, faults)
    if origin in (types.UnionType, typing.Union):
        return _build_optional(typ, value, path, faults)
    if origin is typing.Literal:
        return _build_literal(typ, value, path, faults)
    if origin is tuple:
        return _build_list(typ, value, path, faults)
    if origin is dict:
        return _build_dict(typ, value, path, faults)
    return _build_scalar(typ, value, path, faults)


def _build_tuple(typ: Any, value: Any, path: str, faults: list[Fault]) -> Any:
    if not isinstance(value, dict):
        faults.append(Fault(path or "value", _format_value(value), "a table"))
        return None
    fields = get_field_types(typ)
    for key in value:
        if key not in fields:
            names = ", ".join(fields)
            faults.append(Fault(_join(path, str(key)), "unknown", names))
    built = {}
    for name, field_type in fields.items():
        inner = _join(path, name)
        if name in value:
            built[name] = _build(field_type, value[name], inner, faults)
        elif name not in typ._field_defaults:
            faults.append(Fault(inner, "missing", _describe_type(field_type)))
            built[name] = None
    return typ(**built)


def _build_optional(
    typ: Any, value: Any, path: str, faults: list[Fault]
) -> Any:
    if value is None:
        return None
    inner = [arg for arg in typing.get_args(typ) if arg is not type(None)]
    return _build(inner[0], value, path, faults)


def _build_literal(
    typ: Any, value: Any, path: str, faults: list[Fault]
) -> Any:
    if value not in typing.get_args(typ):
        faults.append(Fault(path, _format_value(value), _describe_type(typ)))
    return value


def _build_list(typ: Any, value: Any, path: str, faults: list[Fault]) -> Any:
    if not isinstance(value, (list, tuple)):
        faults.append(Fault(path, _format_value(value), "a list"))
        return ()
    item_type = typing.get_args(typ)[0]
    return tuple(
        _build(item_type, item, f"{path}[{index}]", faults)
        for index, item in enumerate(value)
    )


def _build_dict(typ: Any, value: Any, path: str, faults: list[Fault]) -> Any:
    if not isinstance(value, dict):
        faults.append(Fault(path, _format_value(value), "a table"))
        return {}
    item_type = typing.get_args(typ)[1]
    return {
        str(key): _build(item_type, item, _join(path, str(key)), faults)
        for key, item in value.items()
    }


def _build_scalar(typ: Any, value: Any, path: str, faults: list[Fault]) -> Any:
    if typ is float and type(value) is int:
        with contextlib.suppress(OverflowError):
            return float(value)
    if type(value) is not typ or not _can_be_stored(value):
        faults.append(Fault(path, _format_value(value), _describe_type(typ)))
    return value


def _can_be_stored(value: Any) -> bool:
    """Return whether a scalar is the same after it was written and read."""
    if type(value) is int:
        limit = lenient_json.INTEGER_LIMIT
        return -limit <= value < limit
    return type(value) is not float or math.isfinite(value)


def _join(path: str, name: str) -> str:
    """Return the path of a value; a long name is cut, as paths repeat it."""
    if len(name) > _MAX_NAME_CHARS:
        name = f"{name[:_MAX_NAME_CHARS]}..."
    return f"{path}.{name}" if path else name


def _is_too_deep(value: Any) -> bool:
    """Return whether a value is nested deeper than any document.

    What takes it apart later would exceed the interpreter's stack.
    """
    containers = [value]
    for _ in range(lenient_json.MAX_DEPTH):
        containers = [
            item
            for container in containers
            if isinstance(container, (dict, list))
            for item in (
                container.values()
                if isinstance(container, dict)
                else container
            )
        ]
    return bool(containers)


def _format_value(value: Any) -> str:
    try:
        text = repr(value)
    except (RecursionError, ValueError):
        return "a value too deep or too large"
    return text if len(text) <= 60 else text[:57] + "..."


def _describe_type(typ: Any) -> str:
    if typing.get_origin(typ) is typing.Literal:
        return " or ".join(repr(arg) for arg in typing.get_args(typ))
    if typ in _NUMBER_DESCRIPTIONS:
        return _NUMBER_DESCRIPTIONS[typ]
    return {str: "a string", bool: "true or false"}.get(typ, "a table or list")
