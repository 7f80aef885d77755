"""What a process of each role loads: memory is priced for each machine."""

import subprocess
import sys

import pytest

# Parts of the product that a role has no use for.
UNUSED_BY_ROLE = {
    "side": (
        "kingcuplever.process.owner",
        "kingcuplever.process.scheduling.scheduler",
        "kingcuplever.process.scheduling.placer",
        "kingcuplever.process.job_api",
        "kingcuplever.process.entry",
        "kingcuplever.platform.job_http",
        "kingcuplever.platform.queues",
        "kingcuplever.request",
        "kingcuplever.command",
    ),
    "entry": (
        "kingcuplever.process.agent.worker_agent",
        "kingcuplever.process.agent.order_reconciler",
        "kingcuplever.platform.executor",
        "kingcuplever.process.routing",
        "kingcuplever.request",
        "kingcuplever.command",
    ),
}


# Guards against a side that loads the whole scheduler, and the like.
@pytest.mark.parametrize("role", sorted(UNUSED_BY_ROLE))
def test_role_loads_no_part_of_the_other(role: str) -> None:
    program = (
        "import sys, importlib;"
        f"importlib.import_module('kingcuplever.platform.{role}_role');"
        "print('\\n'.join(sys.modules))"
    )
    loaded = subprocess.run(
        [sys.executable, "-c", program],
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    ).stdout.split()
    unused = UNUSED_BY_ROLE[role]
    assert [
        name
        for name in loaded
        if any(name == part or name.startswith(part + ".") for part in unused)
    ] == []
