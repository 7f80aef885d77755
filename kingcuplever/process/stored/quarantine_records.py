"""Encodes the quarantines of workers, with the keys ``q:WORKER``.

An owner records them so that its successor places no new work on workers that
have just failed all of it.
"""

import json
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import keyed_log
from kingcuplever.process.stored import silence_records

_QUARANTINE: Final = "q:"


class Quarantine(NamedTuple):
    """A worker that takes no new work for some time.

    :ivar left_ms: time until its end when this was recorded.
    """

    worker: str
    left_ms: int


def encode_quarantine(record: Quarantine) -> keyed_log.KeyedRecord:
    """Encode a worker's quarantine."""
    value = json.dumps(record.left_ms).encode()
    return keyed_log.KeyedRecord(_QUARANTINE + record.worker, value)


def make_tombstone(worker: str) -> keyed_log.KeyedRecord:
    """Make the record that drops a worker's quarantine."""
    return keyed_log.KeyedRecord(_QUARANTINE + worker, None)


def is_quarantine_key(key: str) -> bool:
    """Return whether a key belongs to a worker's quarantine."""
    return key.startswith(_QUARANTINE)


def parse_worker(key: str) -> str:
    """Return the worker's name from its key; empty for other keys."""
    return key[len(_QUARANTINE) :] if is_quarantine_key(key) else ""


def decode_record(key: str, document: Any) -> Quarantine:
    """Decode the value of one of these keys, parsed from JSON.

    :raises plain.ValidationError: if it is no time in milliseconds.
    """
    left_ms = silence_records.check_ms(key, document)
    return Quarantine(parse_worker(key), left_ms)
