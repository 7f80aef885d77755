"""Workloads of both deployments: bursts, gangs, wrong declarations, dawn.

Seeded and scaled by the number of workers, so that every size has the same
load for each accelerator.
"""

import random
from typing import Final
from typing import NamedTuple

from kingcuplever import intents
from kingcuplever.process.scheduling import model

SAMPLE_S: Final = 10.0
PLACE: Final = "here"
POOL: Final = "workers"
GPUS: Final = 8
# A worker of the brief's size.
CAPACITY: Final = model.Resources(130_000, 256_000, GPUS)
# How far an account's true run times are from what it declares.
_RATIOS: Final = {"large": 0.5, "medium": 2.5, "small": 1.5, "dawn": 1.2}


class Machine(NamedTuple):
    """A worker and its rack."""

    worker: str
    rack: str


class Arrival(NamedTuple):
    """A job that comes at a time.

    :ivar kind: its class in the results.
    :ivar seconds: how long it really takes.
    :ivar queue: queue of the users' platform that it comes by, if any.
    """

    at: float
    kind: str
    spec: intents.GangSpec
    seconds: float
    queue: str = ""


class Mix(NamedTuple):
    """What one deployment asks for.

    :ivar load: offered accelerator-seconds as a share of all.
    :ivar shares: share of that load for each class.
    :ivar dawn_every_s: period of the guaranteed gangs.
    """

    name: str
    load: float
    shares: dict[str, float]
    dawn_every_s: float


SADDLEBROOK: Final = Mix(
    "saddlebrook",
    0.85,
    {"urgent": 0.10, "small": 0.30, "medium": 0.30, "large": 0.30},
    900.0,
)
PHULRENU: Final = Mix(
    "phulrenu",
    0.80,
    {"urgent": 0.15, "small": 0.25, "medium": 0.20, "large": 0.40},
    600.0,
)


class _Kind(NamedTuple):
    """Tasks, accelerators of a task, least and most true seconds."""

    sizes: tuple[tuple[int, int], ...]
    least_s: float
    most_s: float
    burst: int


_KINDS: Final = {
    "urgent": _Kind(((1, 1),), 10.0, 40.0, 1),
    "small": _Kind(((1, 1), (1, 2)), 60.0, 300.0, 12),
    "medium": _Kind(((1, 4), (2, 2)), 120.0, 600.0, 2),
    "large": _Kind(((1, 8), (2, 8)), 200.0, 600.0, 1),
}


def workers(count: int) -> list[Machine]:
    """Give workers of the brief's shape, three to a rack."""
    return [Machine(f"w{n:04}", f"r{n // 3:04}") for n in range(count)]


def accounts(count: int) -> tuple[intents.AccountSpec, ...]:
    """Give four client accounts; two of them hold guarantees."""
    scale = max(1, count // 10)
    dawn = tuple(intents.Guarantee("worker", 2) for _ in range(scale))
    some = tuple(intents.Guarantee("quad", 2) for _ in range(scale))
    return (
        intents.AccountSpec("dawn", PLACE, dawn),
        intents.AccountSpec("medium", PLACE, some),
        intents.AccountSpec("small", PLACE),
        intents.AccountSpec("large", PLACE),
    )


def arrivals(mix: Mix, count: int, until: float, seed: int) -> list[Arrival]:
    """Give all jobs of a run.

    :param count: number of workers.
    """
    rng = random.Random(seed)
    found: list[Arrival] = []
    for kind, share in mix.shares.items():
        found += _class_arrivals(rng, mix, kind, share, count, until)
    found += _dawn_arrivals(rng, mix, count, until)
    return found


def _class_arrivals(
    rng: random.Random,
    mix: Mix,
    kind: str,
    share: float,
    count: int,
    until: float,
) -> list[Arrival]:
    shape = _KINDS[kind]
    gpu_seconds = [
        tasks * gpus * (shape.least_s + shape.most_s) / 2
        for tasks, gpus in shape.sizes
    ]
    mean = sum(gpu_seconds) / len(gpu_seconds) * shape.burst
    rate = mix.load * share * count * 8 / mean
    found: list[Arrival] = []
    at = rng.expovariate(rate)
    while at < until:
        for _ in range(shape.burst):
            name = f"{kind}-{len(found)}"
            found.append(_arrival(rng, at, kind, name, shape))
        at += rng.expovariate(rate)
    return found


def _arrival(
    rng: random.Random, at: float, kind: str, name: str, shape: _Kind
) -> Arrival:
    tasks, gpus = rng.choice(shape.sizes)
    seconds = rng.uniform(shape.least_s, shape.most_s)
    account = "small" if kind == "urgent" else kind
    priority: intents.Priority = "urgent" if kind == "urgent" else "batch"
    spec = _spec(name, account, tasks, gpus, seconds, priority)
    return Arrival(at, kind, spec, seconds)


def _dawn_arrivals(
    rng: random.Random, mix: Mix, count: int, until: float
) -> list[Arrival]:
    """Give the guaranteed gangs: one for each guaranteed shape, together."""
    found: list[Arrival] = []
    at = mix.dawn_every_s
    while at < until:
        for _ in range(max(1, count // 10)):
            seconds = rng.uniform(120.0, 240.0)
            name = f"dawn-{len(found)}"
            spec = _spec(name, "dawn", 2, 8, seconds, "batch")
            found.append(Arrival(at, "dawn", spec, seconds))
        at += mix.dawn_every_s
    return found


def _spec(
    name: str,
    account: str,
    tasks: int,
    gpus: int,
    seconds: float,
    priority: intents.Priority,
) -> intents.GangSpec:
    shape = intents.TaskShape(gpus, gpus * 8.0, gpus * 16.0)
    declared_s = seconds / _RATIOS[account]
    payload = f'{{"seconds": {seconds}}}'
    return intents.GangSpec(
        name,
        account,
        PLACE,
        tasks,
        shape,
        declared_s,
        priority,
        "",
        payload,
    )
