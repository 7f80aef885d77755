"""Encodes the owner's announcement, on a quiet topic that sides follow."""

import json
from typing import Final

from kingcuplever.connection import keyed_log
from kingcuplever.process.stored import job_records

TOPIC: Final = "owner"


def make_announcement(owner: job_records.Owner) -> keyed_log.KeyedRecord:
    """Make the record that announces the owner to the sides."""
    data = json.dumps(list(owner), separators=(",", ":")).encode()
    return keyed_log.KeyedRecord(job_records.OWNER_KEY, data)
