"""Carries out the owner's rounds of maintenance with the platform.

What the scheduler decides about hosts is asked of the platform here, kept on
the log, and told to the operator.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import Protocol

import trio

from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever.process.scheduling import maintenance
from kingcuplever.process.scheduling import maintenance_rounds
from kingcuplever.process.stored import maintenance_records

# A host is looked at so often while a round is open; readings of the
# platform's list are limited and paid for.
_LOOK_S: Final = 0.5


class HostService(Protocol):
    """What the platform offers about workers' hosts."""

    async def list_hosts(self) -> list[maintenance_rounds.Host]:
        """Give all hosts.

        :raises errors.PlatformFailed: if there is no whole list.
        """

    async def begin_maintenance(
        self, step: maintenance_rounds.TakeDown, holder: str, fence: int
    ) -> maintenance_rounds.TakeDownOutcome:
        """Have a host's maintenance begin.

        :param holder: the entry that owns.
        :param fence: its epoch.
        """

    async def report_progress(
        self, number: int, completed: bool, fence: int
    ) -> None:
        """Tell the operator how far a round is.

        :raises errors.KingcupleverError: if it is not told.
        """


AppendRecords = Callable[[Sequence[keyed_log.KeyedRecord]], Awaitable[int]]


class MaintenanceController:
    """Lives as long as one reign."""

    def __init__(
        self,
        plans: maintenance.Maintenance,
        desk: HostService,
        keep: AppendRecords,
        entry: str,
        epoch: int,
    ) -> None:
        """Nothing is asked yet.

        :param keep: appends with the owner's own records.
        """
        self._rounds = plans
        self._hosts = desk
        self._append = keep
        self._entry = entry
        self._epoch = epoch
        self._reported: set[int] = set()

    async def run(self) -> None:
        """Follow the rounds until cancelled."""
        while True:
            await trio.sleep(_LOOK_S)
            if self._rounds.is_idle:
                continue
            try:
                await self._reconcile()
            except errors.KingcupleverError as error:
                text = f"Maintenance waits: {error.detail}"
                logs.warn(logs.Component.MEMBER, text)

    async def _reconcile(self) -> None:
        await self._report_started()
        hosts = await self._hosts.list_hosts()
        now = trio.current_time()
        steps = self._rounds.plan_take_downs(hosts, now)
        self._rounds.update_cordons(hosts, now)
        if steps:
            await self._carry_out(steps)
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

    async def _carry_out(
        self, steps: list[maintenance_rounds.TakeDown]
    ) -> None:
        # The append shows that this entry still owns: where the platform
        # checks no fences, an owner of the past must not act any more.
        await self._append(self._records())
        for step in steps:
            try:
                outcome = await self._hosts.begin_maintenance(
                    step, self._entry, self._epoch
                )
            except errors.PlatformFailed as error:
                outcome = maintenance_rounds.TakeDownOutcome.UNKNOWN
                text = f"No word on {step.host}: {error.detail}"
                logs.warn(logs.Component.MEMBER, text)
            self._rounds.record_outcome(step, outcome, trio.current_time())
        await self._append(self._records())

    def _records(self) -> list[keyed_log.KeyedRecord]:
        return [
            maintenance_records.encode_progress(progress)
            for progress in self._rounds.open_progress()
        ]
