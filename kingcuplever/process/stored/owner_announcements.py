"""Encodes the owner's announcements, on a quiet topic that sides follow.

They name the owner and the evacuated data centres.
"""

import json
from typing import Final

from kingcuplever.connection import keyed_log
from kingcuplever import lenient_json
from kingcuplever import plain
from kingcuplever.process.scheduling import evacuations
from kingcuplever.process.stored import job_records

TOPIC: Final = "owner"
EVACUATIONS_KEY: Final = "evacuations"


def make_announcement(owner: job_records.Owner) -> keyed_log.KeyedRecord:
    """Make the record that announces the owner to the sides."""
    data = json.dumps(list(owner), separators=(",", ":")).encode()
    return keyed_log.KeyedRecord(job_records.OWNER_KEY, data)


def encode_evacuations(
    record: evacuations.Evacuations,
) -> keyed_log.KeyedRecord:
    """Make the record that tells the sides which data centres to leave."""
    data = json.dumps(plain.to_plain(record), separators=(",", ":")).encode()
    return keyed_log.KeyedRecord(EVACUATIONS_KEY, data)


def decode_evacuations(
    stored: keyed_log.StoredRecord,
) -> evacuations.Evacuations:
    """Decode such a record.

    :raises ValueError: if it is none.
    """
    document = lenient_json.parse(stored.value or b"null")
    return plain.from_plain(evacuations.Evacuations, document, stored.key)
