"""Runs a set of stand-ins in one process, as a plan in JSON says.

The plan names a log, workers, targets and proxies with their addresses.
``python -m standins.platform PLAN.json`` prints ``ready`` once all listen.
"""

import json
import pathlib
import sys
from typing import NamedTuple

from kingcuplever.connection import http_server
from kingcuplever import plain
from standins import log
from standins import proxy
from standins import target
from standins import worker
import trio


class WorkerPlan(NamedTuple):
    """One worker stand-in."""

    name: str
    address: str
    cores: float = 130.0
    memory_gb: float = 250.0
    gpus: int = 8


class TargetPlan(NamedTuple):
    """One target stand-in; ``side`` takes its announcements."""

    name: str
    service: str
    address: str
    side: str
    slots: int = 8


class ProxyPlan(NamedTuple):
    """One proxy; ``control`` takes its faults."""

    listen: str
    to: str
    control: str


class Plan(NamedTuple):
    """All stand-ins of one process; ``log`` is an address, or empty."""

    log: str = ""
    workers: tuple[WorkerPlan, ...] = ()
    targets: tuple[TargetPlan, ...] = ()
    proxies: tuple[ProxyPlan, ...] = ()


async def run(plan: Plan) -> None:
    """Run the stand-ins until cancelled."""
    never = trio.Event()
    async with trio.open_nursery() as nursery:

        async def listen(address: str, handler: http_server.Handler) -> None:
            await nursery.start(http_server.serve, address, handler, never)

        if plan.log:
            await listen(plan.log, log.LogStandin().handle)
        for item in plan.workers:
            standin = worker.WorkerStandin(
                item.name, item.cores, item.memory_gb, item.gpus
            )
            await listen(item.address, standin.handle)
            nursery.start_soon(standin.run)
        for place in plan.targets:
            executor = target.TargetStandin(
                place.name,
                place.service,
                place.address,
                place.side,
                place.slots,
            )
            await listen(place.address, executor.handle)
            nursery.start_soon(executor.run)
        for link in plan.proxies:
            forwarder = proxy.Proxy(link.listen, link.to)
            await nursery.start(forwarder.run)
            await listen(link.control, forwarder.handle)
        print("ready", flush=True)


def main() -> None:
    """Run the plan that the first argument names."""
    text = pathlib.Path(sys.argv[1]).read_text(encoding="utf-8")
    trio.run(run, plain.from_plain(Plan, json.loads(text)))


if __name__ == "__main__":
    main()
