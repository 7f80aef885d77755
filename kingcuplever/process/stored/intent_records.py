"""The records of what operators stated: plans, accounts, configuration.

They lie on the topic of the jobs, so that a confirmed plan and the job that
it makes are kept together or not at all.  Keys: ``p:PLAN`` is a plan and
what became of it, ``a:DATA_CENTRE/ACCOUNT`` an account, ``config`` the
configuration in force.
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
_CONFIG: Final = "config"


class Config(NamedTuple):
    """A configuration that was accepted.

    :ivar version: of the operators' state; grows with each acceptance.
    """

    version: int
    document: dict[str, Any]


Record = intents.Plan | intents.AccountSpec | Config


def encode_plan(record: intents.Plan) -> keyed_log.KeyedRecord:
    """Make the record of a plan."""
    return _record(_PLAN + record.plan, plain.to_plain(record))


def make_plan_tombstone(name: str) -> keyed_log.KeyedRecord:
    """Make the record that drops a plan."""
    return keyed_log.KeyedRecord(_PLAN + name, None)


def encode_account(record: intents.AccountSpec) -> keyed_log.KeyedRecord:
    """Make the record of an account."""
    key = f"{_ACCOUNT}{record.data_centre}/{record.account}"
    return _record(key, plain.to_plain(record))


def encode_config(record: Config) -> keyed_log.KeyedRecord:
    """Make the record of a configuration."""
    return _record(_CONFIG, plain.to_plain(record))


def is_intent_key(key: str) -> bool:
    """Tell whether a key is of such a record."""
    return key == _CONFIG or key[:2] in (_PLAN, _ACCOUNT)


def parse_plan_name(key: str) -> str:
    """Give the plan that a dropped key belongs to, or an empty text."""
    return key[2:] if key.startswith(_PLAN) else ""


def decode_record(key: str, document: Any) -> Record:
    """Read the value of one of these keys.

    :raises plain.FaultyValue: if it is none of ours.
    """
    if key == _CONFIG:
        return plain.from_plain(Config, document, key)
    if key.startswith(_PLAN):
        return plain.from_plain(intents.Plan, document, key)
    return plain.from_plain(intents.AccountSpec, document, key)


def _record(key: str, value: Any) -> keyed_log.KeyedRecord:
    data = json.dumps(value, separators=(",", ":")).encode()
    return keyed_log.KeyedRecord(key, data)
