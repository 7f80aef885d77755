"""The records of how far rounds of maintenance are, by ``u:NUMBER``.

They lie on the topic of the jobs and are written by the owner, so that its
successor takes no host down twice.
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
    """Make the record of a round."""
    value = json.dumps(plain.to_plain(record), separators=(",", ":"))
    return keyed_log.KeyedRecord(f"{_ROUND}{record.number}", value.encode())


def is_round_key(key: str) -> bool:
    """Tell whether a key is of such a record."""
    return key.startswith(_ROUND)


def decode_record(key: str, document: Any) -> maintenance_rounds.RoundProgress:
    """Read the value of one of these keys.

    :raises plain.FaultyValue: if it is none of ours.
    """
    return plain.from_plain(maintenance_rounds.RoundProgress, document, key)
