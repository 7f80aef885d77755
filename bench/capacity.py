"""Measures the figures of docs/CAPACITY.md: ``make capacity``.

Runs real processes with stand-ins for the rest on one machine: the cost of a
scheduling decision, memory and CPU time of idle entries and sides by number
of sides, bytes on the links of sides, and records of a job on the log.
"""

from collections.abc import Iterator
import contextlib
import statistics
import time
from typing import Final

from bench import decisions
from bench import processes
from kingcuplever.command import tables
from kingcuplever import options
from standins import deployment
from standins import fleet as fleets
from standins import wire_worker

_SIDE_COUNTS: Final = (10, 40, 160)
_IDLE_WINDOW_S: Final = 15.0
_SERVICE: Final = "desk"
# The product's default times; those of the tests are shorter.
_TIMING: Final = options.TimingOptions()._asdict()


@contextlib.contextmanager
def run_fleet(sides: int, entries: int = 2) -> Iterator[fleets.Fleet]:
    """Run a fleet in one data centre until the context exits."""
    with contextlib.ExitStack() as stack:
        folder = fleets.make_temporary_folder(stack)
        shape = deployment.Shape({"jerash": sides}, ("jerash",) * entries)
        settings = deployment.write_settings(folder, shape, timing=_TIMING)
        spec = fleets.make_standins_spec(options.load(settings), _SERVICE)
        fleet = stack.enter_context(fleets.Fleet(settings, spec, folder))
        fleet.wait_for_workers(sides, timeout_s=120.0)
        yield fleet


def measure_idle() -> None:
    """Print the cost of idle entries and sides by number of sides."""
    rows = []
    for sides in _SIDE_COUNTS:
        with run_fleet(sides) as fleet:
            time.sleep(2.0)
            rows.append(_measure_idle_row(fleet, sides))
            print(f"measured {sides} sides", flush=True)
    print(
        f"idle for {_IDLE_WINDOW_S:.0f} s,"
        f" heartbeat {_TIMING['heartbeat_ms']} ms"
    )
    print(tables.render(rows, list(rows[0])))
    print()


def _measure_idle_row(fleet: fleets.Fleet, sides: int) -> dict[str, object]:
    names = [*fleet.options.entry, *fleet.options.side]
    before = {name: processes.read_cost(fleet.get_pid(name)) for name in names}
    sent = processes.read_metric(
        fleet, "e1", 'kingcuplever_peer_bytes{direction="sent"}'
    )
    received = processes.read_metric(
        fleet, "e1", 'kingcuplever_peer_bytes{direction="received"}'
    )
    time.sleep(_IDLE_WINDOW_S)
    after = {name: processes.read_cost(fleet.get_pid(name)) for name in names}
    sent_after = processes.read_metric(
        fleet, "e1", 'kingcuplever_peer_bytes{direction="sent"}'
    )
    received_after = processes.read_metric(
        fleet, "e1", 'kingcuplever_peer_bytes{direction="received"}'
    )
    share = {
        name: (after[name].cpu_s - before[name].cpu_s) / _IDLE_WINDOW_S
        for name in names
    }
    heartbeats = sides * _IDLE_WINDOW_S * 1000 / _TIMING["heartbeat_ms"]
    owner = fleet.list_status("owners")[0]["owner"]
    other = next(name for name in fleet.options.entry if name != owner)
    side_share = statistics.median(share[n] for n in fleet.options.side)
    side_mb = statistics.median(
        after[n].resident_mb for n in fleet.options.side
    )
    return {
        "sides": sides,
        "owner core": f"{share[owner]:.2%}",
        "entry core": f"{share[other]:.2%}",
        "side core": f"{side_share:.2%}",
        "owner MB": f"{after[owner].resident_mb:.0f}",
        "entry MB": f"{after[other].resident_mb:.0f}",
        "side MB": f"{side_mb:.0f}",
        "B a heartbeat": f"{(received_after - received) / heartbeats:.0f}",
        "B a reply": f"{(sent_after - sent) / heartbeats:.0f}",
    }


def measure_jobs() -> None:
    """Print how many records and bytes a job adds to the log."""
    jobs = 30
    with run_fleet(3) as fleet:
        spec = {"account": "maps", "data_centre": "jerash"}
        fleet.apply_intent({"kind": "account", "account": spec})
        log = fleet.options.log.address
        before = _count_job_records(fleet.read_records(log))
        for number in range(jobs):
            job = {
                "job": f"j{number}",
                "account": "maps",
                "data_centre": "jerash",
                "tasks": 2,
                "shape": {"gpus": 1, "cores": 1.0, "memory_gb": 1.0},
                "declared_s": 1.0,
                "payload": wire_worker.make_payload(0.5, tasks=2),
            }
            fleet.apply_intent({"kind": "job", "job": job})

        def have_all_jobs_ended() -> bool:
            rows = fleet.list_status("jobs")
            return {row["phase"] for row in rows} == {"ended"}

        fleets.wait_until(have_all_jobs_ended, "jobs ended")
        after = _count_job_records(fleet.read_records(log))
    size = (after[1] - before[1]) / jobs
    count = (after[0] - before[0]) / jobs
    print(f"a job of 2 tasks: {count:.1f} records, {size:.0f} B on the log")
    print()


def _count_job_records(
    records_by_topic: dict[str, list[tuple[str, int]]],
) -> tuple[int, int]:
    """Return the number and bytes of job records on the log.

    The owner's lease renewals on the same topic are left out.
    """
    rows = [row for row in records_by_topic["keyed.jobs"] if row[0] != "owner"]
    return len(rows), sum(len(key) + size for key, size in rows)


def main() -> None:
    """Run all capacity measurements."""
    decisions.main()
    measure_idle()
    measure_jobs()


if __name__ == "__main__":
    main()
