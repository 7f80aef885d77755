"""Prices a gang's footprint: what its spread over workers may cost.

Each worker more is one more that can take the whole gang along.  A whole idle
worker that is broken up is missing for large tasks.
"""

import math
from typing import Final
from typing import NamedTuple

from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model

# Price of an accelerator of an idle worker, as a share of its time.
_OPENED_SHARE: Final = 0.05
# What a checkpointing gang loses with a worker that leaves.
_CHECKPOINT_LOSS_S: Final = 1.0


class Footprint(NamedTuple):
    """The workers of a placement.

    :ivar workers: number of workers.
    :ivar opened_gpus: accelerators of those that were idle before.
    """

    workers: int
    opened_gpus: int


def price(
    spec: model.StepSpec, footprint: Footprint, drain_rate: float
) -> float:
    """Return the expected cost of a gang's placement in core-seconds.

    :param drain_rate: how often a worker leaves, per second.
    """
    run_s = spec.estimate_ms / 1000
    cores = spec.cpu_milli / 1000 + spec.gpus * job_state.CORES_PER_GPU
    loss_s = run_s / 2
    if spec.checkpointing:
        loss_s = min(loss_s, _CHECKPOINT_LOSS_S)
    chance = 1 - math.exp(-footprint.workers * drain_rate * run_s)
    opened = footprint.opened_gpus * job_state.CORES_PER_GPU * run_s
    return chance * loss_s * cores * spec.tasks + opened * _OPENED_SHARE
