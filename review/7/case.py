"""One heartbeat that can't be read keeps a side from all else."""

import json
import os
import pathlib
import socket
import time

import rig

# Whether the disruption is played.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

RACKS = ("r1-1", "r1-1", "r1-1", "r1-2")
# Far below the 4 MiB that a heartbeat may have.
BODY_BYTES = 256 * 1024
# The list of a fleet, written as a string once more, and cut.
LISTED = 4000
WATCH_S = 45.0
# Heartbeats are due every 1.5 s; an answer within a second counts.
LONGEST_GAP_S = 20.0


def send_foreign_heartbeat(site: rig.Site, machine: rig.Machine) -> None:
    """Send a heartbeat of another writer, and go."""
    row = {
        "Service": rig.SERVICE,
        "Address": "127.0.0.1:8080",
        "Zone": rig.ZONE,
        "State": "ready",
        "Capacity": {"Cpu": 128_000, "MemMb": 262_144, "Gpu": 8},
        "Labels": ["a", machine.rack],
        "Seq": 1,
    }
    body = json.dumps(json.dumps([row] * LISTED)).encode()[:BODY_BYTES]
    head = (
        f"PUT /instances/i-other HTTP/1.1\r\nHost: {machine.ip}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    with socket.create_connection(site.control_of(machine)) as connection:
        connection.settimeout(5.0)
        connection.sendall(head.encode() + body)
        try:
            answer = connection.recv(200).split(b"\r\n")[0].decode()
        except TimeoutError:
            answer = "no answer within 5 s"
    site.record.write(
        f"PUT /instances/i-other to {machine.name}, {len(body)} bytes that"
        f" can't be read: {answer}"
    )


def play() -> bool:
    """Play the case."""
    folder = pathlib.Path(__file__).resolve().parent
    routes = [rig.make_route("serve")]
    with rig.Site(folder, RACKS, routes) as site:
        edge = next(iter(site.edges))
        job = {
            "Spec": '{"lasts": true}',
            "Steps": [rig.make_step(LongRunning=True)],
        }
        name = site.submit(edge, "/serve/", job)
        task = f"{name}.0.0.0"
        machine = site.wait_for(lambda: site.find_machine_of(task), "a run")
        time.sleep(3.0)
        if HAS_TROUBLE:
            send_foreign_heartbeat(site, machine)
        sent_at = time.time()
        time.sleep(WATCH_S)
        acked = [
            row["at"]
            for row in site.read_events()
            if row["event"] == "heartbeat acked"
            and row["machine"] == machine.name
        ]
        times = [sent_at, *(at for at in acked if at > sent_at), time.time()]
        gap_s = max(b - a for a, b in zip(times, times[1:], strict=False))
        lapsed = [
            row
            for row in site.read_events()
            if row["event"] == "end" and row["how"] == "lapsed"
        ]
        site.record.write(
            f"the side of {machine.name} answered none of its executor's"
            f" heartbeats for {gap_s:.1f} s; {len(lapsed)} runs lapsed; its"
            f" process runs: {site.is_running(f'side-{machine.name}')}"
        )
        if gap_s > LONGEST_GAP_S:
            site.record.write("Fault: it doesn't hand back the processor")
            return False
        return True


if __name__ == "__main__":
    rig.run_case(play)
