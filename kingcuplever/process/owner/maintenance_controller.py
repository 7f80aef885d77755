"""Runs the maintenance rounds that the scheduler plans.

Requests each host's maintenance from the platform, persists the progress on
the log, and reports it to the operator.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import Protocol

import trio

from kingcuplever.connection import keyed_log
from kingcuplever import containment
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever.process.scheduling import maintenance
from kingcuplever.process.scheduling import maintenance_rounds
from kingcuplever.process.stored import maintenance_records

# Time between passes while a round is open; requests for the platform's list
# of hosts are limited and paid for.
_RECONCILE_PERIOD_S: Final = 0.5


class HostService(Protocol):
    """The platform's interface to the hosts of workers."""

    async def list_hosts(self) -> list[maintenance_rounds.Host]:
        """List all hosts.

        :raises errors.PlatformFailed: the list could not be read as a whole.
        """

    async def begin_maintenance(
        self, step: maintenance_rounds.TakeDown, holder: str, fence: int
    ) -> maintenance_rounds.TakeDownOutcome:
        """Request the start of a host's maintenance.

        :param holder: name of the owner's entry.
        :param fence: fencing token, the owner's epoch.
        :raises errors.PlatformFailed: the outcome is unknown.
        """

    async def report_progress(
        self, number: int, completed: bool, fence: int
    ) -> None:
        """Report to the operator that a round is running or completed.

        :param fence: fencing token, the owner's epoch.
        :raises errors.KingcupleverError: the report may not have arrived.
        """


AppendRecords = Callable[[Sequence[keyed_log.KeyedRecord]], Awaitable[int]]


class MaintenanceController:
    """Runs the rounds during one term of the owner."""

    def __init__(
        self,
        rounds: maintenance.Maintenance,
        hosts: HostService,
        append: AppendRecords,
        entry: str,
        epoch: int,
        barrier: containment.ErrorBarrier | None = None,
    ) -> None:
        """Create a controller that has requested nothing yet.

        :param append: appends records as the owner; it fails after the term.
        :param barrier: contains the errors of single passes.
        """
        self._rounds = rounds
        self._hosts = hosts
        self._append = append
        self._entry = entry
        self._epoch = epoch
        self._barrier = barrier or containment.ErrorBarrier()
        self._reported: set[int] = set()

    async def run(self) -> None:
        """Run the rounds until cancelled."""
        while True:
            await trio.sleep(_RECONCILE_PERIOD_S)
            if self._rounds.is_idle:
                continue
            with self._barrier.contain("maintenance", "all rounds"):
                await self._try_reconcile()

    async def _try_reconcile(self) -> None:
        """Run one pass, as far as the platform answers."""
        try:
            await self._reconcile()
        except errors.KingcupleverError as error:
            text = f"Maintenance is delayed: {error.detail}"
            logs.warn(logs.Component.MEMBER, text)

    async def _reconcile(self) -> None:
        await self._report_started()
        hosts = await self._hosts.list_hosts()
        now = trio.current_time()
        steps = self._rounds.plan_take_downs(hosts, now)
        self._rounds.update_cordons(hosts, now)
        if steps:
            await self._take_down_hosts(steps)
        for number in self._rounds.find_completed(hosts):
            await self._hosts.report_progress(number, True, self._epoch)
            record = self._rounds.complete_round(number)
            await self._append([maintenance_records.encode_progress(record)])
            logs.info(
                logs.Component.MEMBER, f"Maintenance {number} is completed."
            )

    async def _report_started(self) -> None:
        for progress in self._rounds.open_progress():
            if progress.number not in self._reported:
                await self._append(
                    [maintenance_records.encode_progress(progress)]
                )
                await self._hosts.report_progress(
                    progress.number, False, self._epoch
                )
                self._reported.add(progress.number)

    async def _take_down_hosts(
        self, steps: list[maintenance_rounds.TakeDown]
    ) -> None:
        # This append succeeds only while the entry is the owner.  It keeps a
        # former owner from acting where the platform checks no fencing token.
        await self._append(self._make_progress_records())
        for step in steps:
            try:
                outcome = await self._hosts.begin_maintenance(
                    step, self._entry, self._epoch
                )
            except errors.PlatformFailed as error:
                outcome = maintenance_rounds.TakeDownOutcome.UNKNOWN
                text = f"Maintenance of {step.host} in doubt: {error.detail}"
                logs.warn(logs.Component.MEMBER, text)
            self._rounds.record_outcome(step, outcome, trio.current_time())
        await self._append(self._make_progress_records())

    def _make_progress_records(self) -> list[keyed_log.KeyedRecord]:
        return [
            maintenance_records.encode_progress(progress)
            for progress in self._rounds.open_progress()
        ]
