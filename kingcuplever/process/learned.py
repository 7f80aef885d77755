"""Learns how far declared run times are off, account by account.

Declarations are far off, but the same account is off in the same way: the
ratio of seen to declared time is averaged on a logarithmic scale for each
account, team and size.  A hint for the queue only; no promise rests on it.
"""

import math
from typing import Final

from kingcuplever import shapes

# Weight of the newest run in the average.
_NEWEST: Final = 0.3
# A running job is expected to need at least this share of its time more.
_LEAST_REST: Final = 0.1

_Key = tuple[str, str, int]


class RunTimes:
    """Seen over declared run time, by account, team and size."""

    def __init__(self) -> None:
        """Start by believing the declarations."""
        self._log_ratio: dict[_Key, float] = {}

    def observe(self, spec: shapes.JobSpec, seen_s: float) -> None:
        """Take in one finished job."""
        ratio = math.log(max(seen_s, 0.001) / spec.declared_s)
        key = _key(spec)
        before = self._log_ratio.get(key)
        if before is not None:
            ratio = before + _NEWEST * (ratio - before)
        self._log_ratio[key] = ratio

    def expect_s(self, spec: shapes.JobSpec, progress_s: float) -> float:
        """Give the run time that is left after a checkpoint."""
        ratio = math.exp(self._log_ratio.get(_key(spec), 0.0))
        whole = spec.declared_s * ratio
        return max(whole - progress_s, whole * _LEAST_REST)


def _key(spec: shapes.JobSpec) -> _Key:
    size = (spec.tasks * spec.shape.gpus).bit_length()
    return (spec.account, spec.team, size)
