"""Random faults of the simulated world of sides, workers and owners."""

from collections.abc import Callable
import random
from typing import Final

import trio

from tests import side_world

_CUTS_S: Final = (1.0, 2.5, 6.0, 12.0, 25.0, 40.0)
_PAUSES_S: Final = (0.5, 2.0, 6.0, 13.0, 21.0, 30.0)
_CALL_KINDS: Final = ("start", "renew", "stop")
_MAX_STEPS: Final = 60
_CLOCK_OFFSETS_MS: Final = (-30_000, -3_000, 0, 3_000)

Action = Callable[[], None]


class Faults:
    """Plays random faults of some kinds, and submits jobs meanwhile.

    :ivar late_by_duration: whether the lease of a late call is as long from
        its arrival as it was at its sending.
    """

    def __init__(self, world: side_world.World, seed: int) -> None:
        """Play faults in a world; equal seeds play equal ones."""
        self.late_by_duration = False
        self._world = world
        self._rng = random.Random(seed)
        self._jobs = 0

    async def play(self, steps: int, actions: list[Action]) -> None:
        """Play random actions, one every few seconds, and jobs."""
        for _ in range(steps):
            if self._rng.random() < 0.6:
                self.submit()
            for _ in range(self._rng.choice((0, 1, 1, 2, 3))):
                self._rng.choice(actions)()
                await trio.sleep(self._rng.choice((0.0, 0.01, 0.1, 0.7)))
            await trio.sleep(self._rng.choice((0.3, 1.0, 2.0, 5.0)))

    def submit(self) -> None:
        """Submit a job of short or of long tasks."""
        name = f"{self._jobs:016x}"
        self._jobs += 1
        gpus = self._rng.choice((0, 4, 8, 8))
        seconds = self._rng.choice((0.3, 3.0, 30.0, 60.0))
        self._world.submit(name, self._rng.randint(1, 2), gpus, seconds)

    def submit_deadly(self) -> None:
        """Submit a job whose tasks crash each worker that starts them."""
        name = f"{self._jobs:016x}"
        self._jobs += 1
        self._world.deadly.add(name)
        gpus = self._rng.choice((0, 4, 8))
        self._world.submit(name, self._rng.randint(1, 2), gpus)

    def claim(self) -> None:
        """Let another entry claim, while all hosts are in contact."""
        for entry in self._world.entries:
            if entry.term is None:
                entry.claim()
                return

    def cancel(self) -> None:
        """Cancel a job."""
        if self._jobs:
            self._world.cancel(f"{self._rng.randrange(self._jobs):016x}")

    def delay_calls(self) -> None:
        """Let calls of a side be carried out late, and not answered."""
        worker = self._choose_side().worker
        kind = self._rng.choice(_CALL_KINDS)
        faults: list[side_world.CallFault | None] = []
        for _ in range(self._rng.choice((1, 3, 20))):
            late_s = self._rng.uniform(0.1, 12.0)
            late = side_world.CallFault(late_s, self.late_by_duration)
            lost = side_world.CallFault()
            faults.append(self._rng.choice((late, late, lost, None)))
        worker.faults[kind] = faults

    def cut_side(self) -> None:
        """Cut a side off from one entry or all, and perhaps from the log."""
        side = self._choose_side()
        entries = [entry.name for entry in self._world.entries]
        if self._rng.random() < 0.3:
            entries = [self._rng.choice(entries)]
        if self._rng.random() < 0.7:
            entries.append(side_world.LOG)
        seconds = self._rng.choice(_CUTS_S)
        direction = self._rng.choice(("both", "both", "to", "from"))
        for name in entries:
            pair = (
                (name, side.name)
                if direction == "to"
                else (
                    side.name,
                    name,
                )
            )
            self._world.network.cut(*pair, seconds, direction == "both")

    def crash_worker(self) -> None:
        """Crash a worker, mostly behind a cut; it is back at once."""
        side = self._choose_side()
        if self._rng.random() < 0.7:
            seconds = self._rng.choice(_CUTS_S)
            self._world.network.cut(side.name, side.worker.host, seconds)
        former = side.worker.make_registration()
        side.worker.restart()
        if self._rng.random() < 0.7:
            self._world.spawn(self._register_late, side, former)

    def flap_workers(self) -> None:
        """Crash some workers at once; their hosts refuse for some seconds."""
        for side in self._world.sides:
            if self._rng.random() < 0.6:
                seconds = self._rng.uniform(0.1, 4.0)
                self._world.spawn(side.worker.crash, seconds)

    def step_clock(self) -> None:
        """Set the time of day, which dates the starts of workers."""
        offset_ms = self._rng.choice(_CLOCK_OFFSETS_MS)
        self._world.clock_offset_ms = offset_ms

    async def _register_late(
        self, side: side_world.Side, former: side_world.Registration
    ) -> None:
        await trio.sleep(self._rng.uniform(0.2, 10.0))
        side.process.spawn(_register, side, former)

    def restart_side(self) -> None:
        """Kill a side's process and start another one."""
        side = self._choose_side()
        side.restart()
        self._world.note(f"{side.name} restarts")

    def pause_process(self) -> None:
        """Let a side or an entry stand still, now or after some steps."""
        hosts: list[side_world.Side | side_world.Entry] = [
            *self._world.sides,
            *self._world.entries,
        ]
        process = self._rng.choice(hosts).process
        seconds = self._rng.choice(_PAUSES_S)
        suspends = self._rng.random() < 0.4
        self._world.note(f"{process.name} pauses {seconds} {suspends}")
        if self._rng.random() < 0.5:
            process.pause(seconds, suspends)
        else:
            steps = self._rng.randint(1, _MAX_STEPS)
            process.arm_pause(steps, seconds, suspends)

    def replace_owner(self) -> None:
        """Let another entry claim, mostly as the owner can't reach the log."""
        owners = [e for e in self._world.entries if e.term is not None]
        others = [e for e in self._world.entries if e.term is None]
        if not others:
            return
        seconds = self._rng.choice(_CUTS_S)
        for owner in owners:
            if self._rng.random() < 0.7:
                self._world.network.cut(owner.name, side_world.LOG, seconds)
        if self._rng.random() < 0.5:
            side = self._choose_side()
            self._world.network.cut(side.name, side_world.LOG, seconds)
            for other in others:
                self._world.network.cut(side.name, other.name, seconds)
        self._rng.choice(others).claim()

    def impair_worker(self) -> None:
        """Let a worker refuse starts for a while."""
        self._world.spawn(
            self._impair,
            self._choose_side().worker.current,
            self._rng.uniform(0.2, 5.0),
        )

    async def _impair(
        self, life: side_world.Incarnation, seconds: float
    ) -> None:
        life.is_unhealthy = True
        await trio.sleep(seconds)
        life.is_unhealthy = False

    def _choose_side(self) -> side_world.Side:
        """Return a side, mostly one with runs."""
        sides = self._world.sides
        busy = [side for side in sides if side.worker.current.runs]
        if busy and self._rng.random() < 0.7:
            return self._rng.choice(busy)
        return self._rng.choice(sides)


async def _register(
    side: side_world.Side, former: side_world.Registration
) -> None:
    side.agent.register(former)
