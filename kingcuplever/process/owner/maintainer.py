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
from kingcuplever.process.scheduling import rounds
from kingcuplever.process.stored import maintenance_records

# A host is looked at so often while a round is open; readings of the
# platform's list are limited and paid for.
_LOOK_S: Final = 0.5


class HostDesk(Protocol):
    """What the platform offers about workers' hosts."""

    async def list_hosts(self) -> list[rounds.Host]:
        """Give all hosts.

        :raises errors.PlatformFailed: if there is no whole list.
        """

    async def take_down(
        self, step: rounds.Step, holder: str, fence: int
    ) -> rounds.Outcome:
        """Have a host's maintenance begin.

        :param holder: the entry that owns.
        :param fence: its epoch.
        """

    async def tell(self, number: int, completed: bool, fence: int) -> None:
        """Tell the operator how far a round is.

        :raises errors.KingcupleverError: if it is not told.
        """


Keep = Callable[[Sequence[keyed_log.KeyedRecord]], Awaitable[int]]


class Maintainer:
    """Lives as long as one reign."""

    def __init__(
        self,
        plans: maintenance.Maintenance,
        desk: HostDesk,
        keep: Keep,
        entry: str,
        epoch: int,
    ) -> None:
        """Nothing is asked yet.

        :param keep: appends with the owner's own records.
        """
        self._rounds = plans
        self._desk = desk
        self._keep = keep
        self._entry = entry
        self._epoch = epoch
        self._told: set[int] = set()

    async def run(self) -> None:
        """Follow the rounds until cancelled."""
        while True:
            await trio.sleep(_LOOK_S)
            if self._rounds.is_idle:
                continue
            try:
                await self._look()
            except errors.KingcupleverError as error:
                text = f"Maintenance waits: {error.detail}"
                logs.warn(logs.Part.MEMBER, text)

    async def _look(self) -> None:
        await self._tell_begun()
        hosts = await self._desk.list_hosts()
        now = trio.current_time()
        steps = self._rounds.steps(hosts, now)
        self._rounds.cordon(hosts, now)
        if steps:
            await self._carry_out(steps)
        for number in self._rounds.find_completed(hosts):
            await self._desk.tell(number, True, self._epoch)
            record = self._rounds.complete(number)
            await self._keep([maintenance_records.progress(record)])
            logs.info(logs.Part.MEMBER, f"Maintenance {number} is completed.")

    async def _tell_begun(self) -> None:
        for progress in self._rounds.progress():
            if progress.number not in self._told:
                await self._keep([maintenance_records.progress(progress)])
                await self._desk.tell(progress.number, False, self._epoch)
                self._told.add(progress.number)

    async def _carry_out(self, steps: list[rounds.Step]) -> None:
        # The append shows that this entry still owns: where the platform
        # checks no fences, an owner of the past must not act any more.
        await self._keep(self._records())
        for step in steps:
            try:
                outcome = await self._desk.take_down(
                    step, self._entry, self._epoch
                )
            except errors.PlatformFailed as error:
                outcome = rounds.Outcome.UNKNOWN
                text = f"No word on {step.host}: {error.detail}"
                logs.warn(logs.Part.MEMBER, text)
            self._rounds.took(step, outcome, trio.current_time())
        await self._keep(self._records())

    def _records(self) -> list[keyed_log.KeyedRecord]:
        return [
            maintenance_records.progress(progress)
            for progress in self._rounds.progress()
        ]
