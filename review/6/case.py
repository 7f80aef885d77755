"""One urgent job without accelerators makes each owner crash, in a loop."""

import collections
import os
import pathlib
import time

import rig

# Whether the disruption is played.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

RACKS = ("r1-1", "r1-1", "r1-1", "r1-2")
# The platform starts a process again so long after its end.
RESTART_S = 1.0
WATCH_S = 40.0
GPUS_OF_ALL = 8 * len(RACKS)
BURST = 4
# The rule: on two machines at least, three times each.
ENDS_OF_A_MACHINE = 3
MACHINES_WITH_ENDS = 2


def play() -> bool:
    """Play the case."""
    folder = pathlib.Path(__file__).resolve().parent
    routes = [
        rig.make_route("alerts", Priority=0, Public=True),
        rig.make_route("urgent", Priority=0),
        rig.make_route("batch", Priority=2),
    ]
    with rig.Site(folder, RACKS, routes, edges=3) as site:
        edges = [*site.edges]
        # The example of the users' page for a job: it names no Gpu.
        alert = {
            "Spec": '{"seconds": 60}',
            "Steps": [
                {
                    "Count": 1,
                    "Cpu": 500,
                    "MemMb": 256,
                    "EstRuntimeMs": 60_000,
                }
            ],
        }
        public = site.submit(edges[0], "/alerts/", alert, key="")
        site.wait_for(lambda: site.find_machine_of(f"{public}.0.0.0"), "a run")
        if HAS_TROUBLE:
            # Jobs like the users' species-split: 9 tasks on 11 cores each.
            step = rig.make_step(Count=9, Cpu=11_000, EstRuntimeMs=20_000)
            batch = {"Spec": '{"seconds": 20}', "Steps": [step]}
            names = [
                site.submit(edges[0], "/batch/", batch) for _ in range(BURST)
            ]
            site.wait_for(
                lambda: sum(len(site.list_runs(name)) for name in names)
                == GPUS_OF_ALL,
                "the burst takes all accelerators",
            )
        urgent = {
            "Spec": '{"seconds": 3}',
            "Steps": [rig.make_step(EstRuntimeMs=3000)],
        }
        name = site.submit(edges[0], "/urgent/", urgent)
        ends: collections.Counter[str] = collections.Counter()
        state = ""
        deadline = time.time() + WATCH_S
        while time.time() < deadline and state != "completed":
            time.sleep(0.2)
            ends.update(site.restart_ended(RESTART_S))
            edge = edges[int(time.time()) % len(edges)]
            state = site.read_state(edge, "/urgent/", name)
        site.record.write(f"GET /urgent/{name}: {state}")
        for name, count in sorted(ends.items()):
            site.record.write(f"{name} ended by itself {count} times")
        often = [n for n, c in ends.items() if c >= ENDS_OF_A_MACHINE]
        if len(often) < MACHINES_WITH_ENDS:
            return True
        site.record.write(f"Fault: {len(often)} machines, three times each")
        return False


if __name__ == "__main__":
    rig.run_case(play)
