"""Encodes how long a worker's side had been silent, with keys ``w:WORKER``.

An owner records the silence of a side beside tasks, so that its successor does
not wait for it anew.  A side that reports again gets no permission until the
record is dropped.
"""

import json
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import keyed_log
from kingcuplever import plain
from kingcuplever.process.scheduling import model

_SILENCE: Final = "w:"


class Silence(NamedTuple):
    """A worker whose side has not been permitted to act.

    :ivar silent_ms: time since its last report when this was recorded.
    """

    worker: str
    silent_ms: int


def encode_silence(record: Silence) -> keyed_log.KeyedRecord:
    """Encode a worker's silence."""
    value = json.dumps(record.silent_ms).encode()
    return keyed_log.KeyedRecord(make_key(record.worker), value)


def make_tombstone(worker: str) -> keyed_log.KeyedRecord:
    """Make the record that drops a worker's silence."""
    return keyed_log.KeyedRecord(make_key(worker), None)


def make_key(worker: str) -> str:
    """Return the key of a worker's silence."""
    return _SILENCE + worker


def is_silence_key(key: str) -> bool:
    """Return whether a key belongs to a worker's silence."""
    return key.startswith(_SILENCE)


def parse_worker(key: str) -> str:
    """Return the worker's name from its key; empty for other keys."""
    return key[len(_SILENCE) :] if is_silence_key(key) else ""


def decode_record(key: str, document: Any) -> Silence:
    """Decode the value of one of these keys, parsed from JSON.

    :raises plain.ValidationError: if it is no time in milliseconds.
    """
    return Silence(parse_worker(key), check_ms(key, document))


def check_ms(key: str, document: Any) -> int:
    """Return a value that is a time in milliseconds.

    :raises plain.ValidationError: if it is none.
    """
    if type(document) is not int or not 0 <= document <= model.MAX_NUMBER:
        fault = plain.Fault(key, repr(document)[:60], "a time in milliseconds")
        raise plain.ValidationError([fault])
    return document
