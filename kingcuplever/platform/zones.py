"""Reads the operator's requests to evacuate a zone, which is a data centre."""

from typing import Final

_EVACUATE_KEY_PREFIX: Final = "evacuate/"


def parse_evacuated_zone(key: str) -> str:
    """Return the zone that an operator's record is about, or empty.

    The zone is evacuated while the record is there.
    """
    if not key.startswith(_EVACUATE_KEY_PREFIX):
        return ""
    return key[len(_EVACUATE_KEY_PREFIX) :]
