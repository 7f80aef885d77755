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
from standins import proxy
from standins import target
from standins import wire_store
from standins import wire_worker
import trio


class WorkerPlan(NamedTuple):
    """One worker stand-in; ``side`` takes its registrations."""

    name: str
    address: str
    side: str
    data_centre: str
    rack: str


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
            await listen(plan.log, wire_store.WireStore().handle)
        for item in plan.workers:
            executor = wire_worker.WireWorker(
                f"i-{item.name}",
                "workers",
                item.rack,
                item.side,
                item.data_centre,
            )
            await listen(item.address, executor.handle)
            nursery.start_soon(executor.run)
        for place in plan.targets:
            desk = target.TargetStandin(
                place.name,
                place.service,
                place.address,
                place.side,
                place.slots,
            )
            await listen(place.address, desk.handle)
            nursery.start_soon(desk.run)
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
