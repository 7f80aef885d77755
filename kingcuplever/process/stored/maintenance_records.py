"""Encodes the progress of maintenance rounds, with the keys ``u:NUMBER``.

The owner appends these records to the jobs topic, so that the next owner does
not take a host down twice.
"""

import json
from typing import Any
from typing import Final

from kingcuplever.connection import keyed_log
from kingcuplever import plain
from kingcuplever.process.scheduling import maintenance_rounds

_ROUND: Final = "u:"


def encode_progress(
    record: maintenance_rounds.RoundProgress,
) -> keyed_log.KeyedRecord:
    """Encode the progress of a round."""
    value = json.dumps(plain.to_plain(record), separators=(",", ":"))
    return keyed_log.KeyedRecord(f"{_ROUND}{record.number}", value.encode())


def is_round_key(key: str) -> bool:
    """Return whether a key belongs to the progress of a round."""
    return key.startswith(_ROUND)


def decode_record(key: str, document: Any) -> maintenance_rounds.RoundProgress:
    """Decode the value of one of these keys, parsed from JSON.

    :raises plain.ValidationError: if it is no progress of a round.
    """
    return plain.from_plain(maintenance_rounds.RoundProgress, document, key)
