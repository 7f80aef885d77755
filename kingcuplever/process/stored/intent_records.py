"""Encodes the operators' records: plans and what they have changed.

They share the jobs topic, so that a confirmed plan and the job that it makes
are appended atomically.  Keys: ``p:PLAN`` is a plan with its decision,
``a:DATA_CENTRE/ACCOUNT`` an account, ``e:DATA_CENTRE`` whether a data centre
is evacuated, ``config`` the configuration in force.
"""

import json
from typing import Any
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import keyed_log
from kingcuplever import intents
from kingcuplever import plain

_PLAN: Final = "p:"
_ACCOUNT: Final = "a:"
_EVACUATION: Final = "e:"
_CONFIG: Final = "config"


class Config(NamedTuple):
    """An accepted configuration.

    :ivar version: version of the operators' state that the acceptance made.
    :ivar document: the whole configuration document.
    """

    version: int
    document: dict[str, Any]


Record = intents.Plan | intents.AccountSpec | intents.EvacuationSpec | Config


def encode_plan(record: intents.Plan) -> keyed_log.KeyedRecord:
    """Encode a plan."""
    return _encode(_PLAN + record.plan, plain.to_plain(record))


def make_plan_tombstone(name: str) -> keyed_log.KeyedRecord:
    """Make the record that drops a plan's key."""
    return keyed_log.KeyedRecord(_PLAN + name, None)


def encode_account(record: intents.AccountSpec) -> keyed_log.KeyedRecord:
    """Encode an account."""
    key = f"{_ACCOUNT}{record.data_centre}/{record.account}"
    return _encode(key, plain.to_plain(record))


def encode_evacuation(record: intents.EvacuationSpec) -> keyed_log.KeyedRecord:
    """Encode whether a data centre is evacuated."""
    return _encode(_EVACUATION + record.data_centre, plain.to_plain(record))


def encode_config(record: Config) -> keyed_log.KeyedRecord:
    """Encode a configuration."""
    return _encode(_CONFIG, plain.to_plain(record))


def is_intent_key(key: str) -> bool:
    """Return whether a key belongs to one of these records."""
    return key == _CONFIG or key[:2] in (_PLAN, _ACCOUNT, _EVACUATION)


def parse_plan_name(key: str) -> str:
    """Return the plan's name from its key; empty for other keys."""
    return key[2:] if key.startswith(_PLAN) else ""


def decode_record(key: str, document: Any) -> Record:
    """Decode the value of one of these keys, parsed from JSON.

    :raises plain.ValidationError: if it does not fit the key's type.
    """
    if key == _CONFIG:
        return plain.from_plain(Config, document, key)
    if key.startswith(_PLAN):
        return plain.from_plain(intents.Plan, document, key)
    if key.startswith(_EVACUATION):
        return plain.from_plain(intents.EvacuationSpec, document, key)
    return plain.from_plain(intents.AccountSpec, document, key)


def _encode(key: str, value: Any) -> keyed_log.KeyedRecord:
    data = json.dumps(value, separators=(",", ":")).encode()
    return keyed_log.KeyedRecord(key, data)
