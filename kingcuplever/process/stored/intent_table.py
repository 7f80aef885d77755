"""The operators' state as an in-memory table, built from the log."""

from kingcuplever import intents
from kingcuplever.process.stored import intent_records


class IntentTable:
    """The newest plans, accounts and configuration on the log.

    :ivar plans: by name, the oldest first.
    :ivar accounts: by account and data centre.
    :ivar config: the configuration in force; version 0 if there is none.
    :ivar version: version of the operators' state; every accepted plan
        increases it.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.plans: dict[str, intents.Plan] = {}
        self.accounts: dict[tuple[str, str], intents.AccountSpec] = {}
        self.config = intent_records.Config(0, {})
        self.version = 0

    def apply_record(self, record: intent_records.Record) -> None:
        """Apply one record; an older configuration has no effect."""
        if isinstance(record, intents.Plan):
            self.plans[record.plan] = record
            self.version = max(self.version, record.version)
        elif isinstance(record, intent_records.Config):
            if record.version > self.config.version:
                self.config = record
            self.version = max(self.version, record.version)
        else:
            self.accounts[record.account, record.data_centre] = record

    def drop_plan(self, name: str) -> None:
        """Remove a plan, if it is there."""
        self.plans.pop(name, None)
