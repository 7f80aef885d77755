"""What operators stated, as the log has it: every entry holds this."""

from kingcuplever import intents
from kingcuplever.process.stored import intent_records


class IntentTable:
    """Plans, accounts and the configuration, the newest of each.

    :ivar plans: by name, the oldest first.
    :ivar accounts: by account and data centre.
    :ivar config: the configuration in force; version 0 if there is none.
    :ivar version: grows with each plan that was accepted.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.plans: dict[str, intents.Plan] = {}
        self.accounts: dict[tuple[str, str], intents.AccountSpec] = {}
        self.config = intent_records.Config(0, {})
        self.version = 0

    def apply_record(self, record: intent_records.Record) -> None:
        """Apply one record; a configuration never goes back."""
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
        """A plan was dropped."""
        self.plans.pop(name, None)
