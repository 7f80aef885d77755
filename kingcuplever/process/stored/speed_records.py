"""The records of how fast hosts are, by ``v:HOST``.

They lie on the topic of the jobs and are written by the owner, so that its
successor need not learn them again.
"""

import json
from typing import Any
from typing import Final

from kingcuplever.connection import keyed_log
from kingcuplever import plain
from kingcuplever.process.scheduling import model

_PACE: Final = "v:"


def pace(record: model.HostPace) -> keyed_log.KeyedRecord:
    """Make the record of one host."""
    value = json.dumps(plain.to_plain(record), separators=(",", ":"))
    return keyed_log.KeyedRecord(f"{_PACE}{record.host}", value.encode())


def is_ours(key: str) -> bool:
    """Tell whether a key is of such a record."""
    return key.startswith(_PACE)


def read(key: str, document: Any) -> model.HostPace:
    """Read the value of one of these keys.

    :raises plain.FaultyValue: if it is none of ours.
    """
    return plain.from_plain(model.HostPace, document, key)
