"""Decodes JSON texts, in which single values may be unusable.

Another writer may leave values that are nested too deeply, numbers that are
too large or texts that are not valid Unicode, among valid ones.  Each becomes
:data:`UNUSABLE`, which fits no type, so that decoders refuse the part that it
stands in and keep the others.
"""

import json
import re
from typing import Any
from typing import Final

# No document of the interfaces is nested deeper.
MAX_DEPTH: Final = 64
# Longest text of an integer of 64 bits, with its sign.
_MAX_INTEGER_CHARS: Final = 20
INTEGER_LIMIT: Final = 2**63
# A string, also one that is not closed: it extends to the end.  So a match at
# a quote never fails, and no part of a text is read again from a later quote.
STRING_PATTERN: Final = r'"[^"\\]*+(?:\\.[^"\\]*+)*+"?'
_TOKENS: Final = re.compile(rf"{STRING_PATTERN}|[\[\]{{}}]", re.DOTALL)
# One half of a pair that stands for one character; alone it is no text.
_SURROGATE: Final = re.compile(r"\\u[dD][89a-fA-F]|[\ud800-\udfff]")
# Not valid in JSON, and passed to the hook for constants.
_UNUSABLE_TEXT: Final = "NaN"


class Unusable:
    """A value that could not be represented."""

    def __repr__(self) -> str:
        """Describe the value in messages."""
        return "a value too deep or too large, or no valid text"


UNUSABLE: Final = Unusable()


def parse(data: bytes | str) -> Any:
    """Parse a JSON text.

    :raises ValueError: if the text is not JSON in UTF-8.
    """
    text = data if isinstance(data, str) else decode_text(data)
    try:
        document = _DECODER.decode(text)
    except RecursionError:
        document = _DECODER.decode(_replace_deep_values(text))
    return replace_invalid_texts(document, text)[0]


def decode_text(data: bytes) -> str:
    """Decode the bytes of a JSON text; a byte order mark is skipped.

    :raises ValueError: if they are not UTF-8.  The parser would guess other
        encodings, in which it lets halves of surrogate pairs through.
    """
    return data.decode("utf-8-sig")


def replace_invalid_texts(document: Any, text: str) -> tuple[Any, int]:
    """Replace the strings of a parsed document that can't be encoded.

    A field with such a name is dropped.

    :param text: the JSON text that was parsed.
    :return: the document, and how many strings were invalid.
    """
    if _SURROGATE.search(text) is None:
        return document, 0
    found = 0
    root = [document]
    pending: list[Any] = [root]
    while pending:
        container = pending.pop()
        is_list = isinstance(container, list)
        rows = [*(enumerate(container) if is_list else container.items())]
        for key, value in rows:
            if isinstance(key, str) and not _is_valid_text(key):
                del container[key]
                found += 1
            elif isinstance(value, str) and not _is_valid_text(value):
                container[key] = UNUSABLE
                found += 1
            elif isinstance(value, (list, dict)):
                pending.append(value)
    return root[0], found


def _is_valid_text(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _replace_deep_values(text: str) -> str:
    """Replace the values that are nested too deeply in a JSON text."""
    parts = []
    kept_from = depth = 0
    for token in _TOKENS.finditer(text):
        if token[0] in ("[", "{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += [text[kept_from : token.start()], _UNUSABLE_TEXT]
        elif token[0] in ("]", "}"):
            if depth == MAX_DEPTH + 1:
                kept_from = token.end()
            depth -= 1
    if depth > MAX_DEPTH:
        raise ValueError("brackets are not closed")
    return "".join([*parts, text[kept_from:]])


def _parse_integer(text: str) -> Any:
    if len(text) <= _MAX_INTEGER_CHARS:
        value = int(text)
        if -INTEGER_LIMIT <= value < INTEGER_LIMIT:
            return value
    return UNUSABLE


def _parse_float(text: str) -> Any:
    value = float(text)
    return value if abs(value) < float("inf") else UNUSABLE


def _parse_constant(_text: str) -> Any:
    return UNUSABLE


_DECODER: Final = json.JSONDecoder(
    parse_int=_parse_integer,
    parse_float=_parse_float,
    parse_constant=_parse_constant,
)
