"""The operators' state as an in-memory table, built from the log."""

from kingcuplever import intents
from kingcuplever.process.scheduling import evacuations
from kingcuplever.process.stored import intent_records


class IntentTable:
    """The newest plans and what they have changed, as on the log.

    :ivar plans: by name, the oldest first.
    :ivar accounts: by account and data centre.
    :ivar config: the configuration in force; version 0 if there is none.
    :ivar evacuations: the evacuated data centres.
    :ivar version: version of the operators' state; every accepted plan
        increases it.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.plans: dict[str, intents.Plan] = {}
        self.accounts: dict[tuple[str, str], intents.AccountSpec] = {}
        self.config = intent_records.Config(0, {})
        self.evacuations = evacuations.EvacuationTable()
        self.version = 0

    def apply_record(
        self, record: intent_records.Record, offset: int = 0
    ) -> None:
        """Apply one record; an older configuration has no effect.

        :param offset: offset of the record on the log.
        """
        if isinstance(record, intents.Plan):
            self.plans[record.plan] = record
            self.version = max(self.version, record.version)
        elif isinstance(record, intent_records.Config):
            if record.version > self.config.version:
                self.config = record
            self.version = max(self.version, record.version)
        elif isinstance(record, intents.EvacuationSpec):
            self.evacuations.apply(
                record.data_centre, record.evacuated, offset
            )
        else:
            self.accounts[record.account, record.data_centre] = record

    def drop_plan(self, name: str) -> None:
        """Remove a plan, if it is there."""
        self.plans.pop(name, None)
