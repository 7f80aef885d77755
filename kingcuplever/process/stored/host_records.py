"""Encodes what is learned of hosts, with the keys ``h:HOST``.

The owner appends these records to the jobs topic, so that the next owner need
not learn the speeds of hosts anew.
"""

import json
import math
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import keyed_log
from kingcuplever import plain
from kingcuplever.process.scheduling import host_speed

_HOST: Final = "h:"
_MILLI: Final = 1000
# Bounds of what can be learned; other values are no estimate.
_MAX_LOG_SLOWNESS: Final = 5.0
_MAX_VARIANCE: Final = 5.0


class HostSpeed(NamedTuple):
    """What an owner has learned of a host."""

    host: str
    estimate: host_speed.Estimate


def encode_speed(
    host: str, estimate: host_speed.Estimate
) -> keyed_log.KeyedRecord:
    """Encode what is known of a host, rounded to thousandths."""
    value = [
        estimate.kind,
        round(estimate.log_slowness * _MILLI),
        max(1, round(estimate.variance * _MILLI)),
        estimate.steps,
        estimate.updated_ms,
    ]
    text = json.dumps(value, separators=(",", ":"))
    return keyed_log.KeyedRecord(f"{_HOST}{host}", text.encode())


def make_tombstone(host: str) -> keyed_log.KeyedRecord:
    """Make the record that drops a host."""
    return keyed_log.KeyedRecord(f"{_HOST}{host}", None)


def is_host_key(key: str) -> bool:
    """Return whether a key belongs to a host."""
    return key.startswith(_HOST)


def parse_host(key: str) -> str:
    """Return the host from its key; empty for other keys."""
    return key[len(_HOST) :] if is_host_key(key) else ""


def decode_record(key: str, document: Any) -> HostSpeed:
    """Decode the value of one of these keys, parsed from JSON.

    :raises plain.ValidationError: if it is no estimate.
    """
    if [type(item) for item in document] == [str, int, int, int, int]:
        kind, slowness, variance, count, updated_ms = document
        estimate = host_speed.Estimate(
            kind, slowness / _MILLI, variance / _MILLI, count, updated_ms
        )
        if (
            math.fabs(estimate.log_slowness) <= _MAX_LOG_SLOWNESS
            and 0 < estimate.variance <= _MAX_VARIANCE
            and count > 0
        ):
            return HostSpeed(parse_host(key), estimate)
    fault = plain.Fault(key, repr(document)[:60], "an estimate of a host")
    raise plain.ValidationError([fault])
