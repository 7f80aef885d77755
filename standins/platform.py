"""Runs a set of stand-ins in one process, as a JSON file specifies.

The file names a log, workers, targets and proxies with their addresses.
``python -m standins.platform SPEC.json`` prints ``ready`` once all listen.
"""

import json
import pathlib
import sys
from typing import NamedTuple

from kingcuplever.connection import http_server
from kingcuplever import plain
from standins import gang_runs
from standins import proxy
from standins import target
from standins import wire_store
from standins import wire_worker
import trio


class WorkerSpec(NamedTuple):
    """One worker; ``side`` is the address that it registers at."""

    name: str
    address: str
    side: str
    data_centre: str
    rack: str


class TargetSpec(NamedTuple):
    """One target; ``side`` is the address that it sends announcements to."""

    name: str
    service: str
    address: str
    side: str
    slots: int = 8


class ProxySpec(NamedTuple):
    """One proxy; ``control`` is the address where its faults are set."""

    listen: str
    to: str
    control: str


class StandinsSpec(NamedTuple):
    """All stand-ins of one process; an empty ``log`` starts no log."""

    log: str = ""
    workers: tuple[WorkerSpec, ...] = ()
    targets: tuple[TargetSpec, ...] = ()
    proxies: tuple[ProxySpec, ...] = ()


async def run(spec: StandinsSpec) -> None:
    """Run the stand-ins until cancelled."""
    stop = trio.Event()
    gangs = gang_runs.GangRuns()
    async with trio.open_nursery() as nursery:

        async def listen(address: str, handler: http_server.Handler) -> None:
            await nursery.start(http_server.serve, address, handler, stop)

        if spec.log:
            await listen(spec.log, wire_store.WireStore().handle)
        for worker in spec.workers:
            executor = wire_worker.WireWorker(
                f"i-{worker.name}",
                "workers",
                worker.rack,
                worker.side,
                worker.data_centre,
                gangs=gangs,
            )
            await listen(worker.address, executor.handle)
            nursery.start_soon(executor.run)
        for target_spec in spec.targets:
            target_standin = target.TargetStandin(
                target_spec.name,
                target_spec.service,
                target_spec.address,
                target_spec.side,
                target_spec.slots,
            )
            await listen(target_spec.address, target_standin.handle)
            nursery.start_soon(target_standin.run)
        for proxy_spec in spec.proxies:
            forwarder = proxy.Proxy(proxy_spec.listen, proxy_spec.to)
            await nursery.start(forwarder.run)
            await listen(proxy_spec.control, forwarder.handle)
        print("ready", flush=True)


def main() -> None:
    """Run the stand-ins of the file that the first argument names."""
    text = pathlib.Path(sys.argv[1]).read_text(encoding="utf-8")
    trio.run(run, plain.from_plain(StandinsSpec, json.loads(text)))


if __name__ == "__main__":
    main()
