"""Counts urgent work against the accelerators guaranteed to its account."""

from collections.abc import Mapping

from kingcuplever.process.scheduling import job_state


class GuaranteeUsage:
    """What is left of each account's guarantee.

    An account that the configuration does not list has no guarantee, so
    nothing of it is covered, not even a group without accelerators.
    """

    def __init__(self, guaranteed_gpus: Mapping[str, int]) -> None:
        """Start with all of the guarantees left.

        :param guaranteed_gpus: accelerators by account.
        """
        self._left_gpus = dict(guaranteed_gpus)

    def covers(self, group: job_state.Group) -> bool:
        """Return whether what is left covers one more group."""
        left_gpus = self._left_gpus.get(group.job.spec.account)
        return left_gpus is not None and group.gpus <= left_gpus

    def add(self, group: job_state.Group) -> None:
        """Count a group, also one that exceeds its account's guarantee."""
        account = group.job.spec.account
        if account in self._left_gpus:
            self._left_gpus[account] -= group.gpus
