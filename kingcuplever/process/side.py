"""The side process, an agent that runs beside each target and worker.

It reports its targets to the entries, admits or refuses requests, stores
idempotency keys and renews the leases of tasks.  Only the entries' addresses
come from the settings; targets, workers and the owner are discovered at run
time.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
import itertools
from typing import Final

import trio

from kingcuplever import clock
from kingcuplever.connection import admission
from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import peer as peers
from kingcuplever import containment
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import options
from kingcuplever import plain
from kingcuplever.process.agent import owner_link
from kingcuplever.process.agent import worker_agent
from kingcuplever.process import job_metrics
from kingcuplever.process import platform_factories
from kingcuplever.process.routing import targets
from kingcuplever.process import signals
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import owner_announcements
from kingcuplever.process.stored import topic_follower
from kingcuplever.request import dispatching

_RECONNECT_PAUSE_S: Final = 0.3
_WORKER_TIMEOUT_S: Final = 1.0
_TARGET_TIMEOUT_S: Final = 60.0
_TICK_PERIOD_S: Final = 0.25


class Side:
    """Wires the components of a side process and runs them."""

    def __init__(
        self,
        fleet: options.FleetOptions,
        name: str,
        factories: platform_factories.PlatformFactories,
        stack: contextlib.AsyncExitStack,
        nursery: trio.Nursery,
    ) -> None:
        """Create the components without opening any connection.

        :param stack: closes the HTTP clients at the end of the process.
        :param nursery: runs the tasks that live as long as the process.
        """
        self._fleet = fleet
        self._name = name
        self._options = options.find_side(fleet, name)
        self._stack = stack
        self._nursery = nursery
        self._incarnation = clock.wall_ms()
        self._sequences = itertools.count(1)
        self._target_clients: dict[str, http_client.HttpClient] = {}
        self._heartbeat_wanted = trio.Event()
        self._barrier = containment.ErrorBarrier()
        self._config_version = 0
        self._config_text: str | None = None
        self._factories = factories
        self._registration_handler: http_server.Handler | None = None
        horizon_s = fleet.timing.key_horizon_ms / 1000
        self._dispatches = dispatching.DispatchHandler(
            name, self._incarnation, horizon_s, self._get_client, nursery
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        stop = trio.Event()
        resources = self._fleet.resources
        shares = admission.divide(
            resources.memory_mb * 1024 * 1024, resources.descriptors
        )
        if self._options.worker:
            await self._start_worker_agent()
        await self._nursery.start(
            http_server.serve,
            self._options.announcements,
            self._handle_http,
            stop,
            admission.Admission("announcements", shares.own),
        )
        for entry, entry_options in self._fleet.entry.items():
            link = functools.partial(
                self._maintain_link, entry, entry_options.peers
            )
            self._start_task(f"link to {entry}", link)
        self._start_task("ticks", self._run_ticks)
        text = f"Side {self._name} runs, incarnation {self._incarnation}."
        logs.info(logs.Component.PROCESS, text)
        await signals.wait_for_stop()
        await self._drain()
        stop.set()
        self._nursery.cancel_scope.cancel()

    async def _start_worker_agent(self) -> None:
        """Start the tasks that serve the worker beside this side."""
        timing = self._fleet.timing
        worker = await self._stack.enter_async_context(
            http_client.HttpClient(self._options.worker, _WORKER_TIMEOUT_S)
        )
        log = await self._stack.enter_async_context(
            http_client.HttpClient(
                self._fleet.log.address, self._fleet.log.timeout_ms / 1000
            )
        )
        metrics = job_metrics.JobMetrics()
        self._barrier = metrics.barrier
        agent = worker_agent.WorkerAgent(
            self._name,
            self._factories.make_executor(worker),
            timing.task_lease_ms,
            metrics,
            timing.alone_ms / 1000,
            timing.late_call_ms / 1000,
        )
        sink = owner_link.OwnerSink(agent, self._barrier)
        follower = topic_follower.Follower(
            self._factories.make_log(log),
            owner_announcements.TOPIC,
            sink,
            owner_link.READ_PAUSE_S,
            metrics,
            owner_link.POLL_MS,
        )
        link = owner_link.OwnerLink(sink, agent, self._resolve_owner_address)
        self._registration_handler = self._factories.make_registration_handler(
            agent
        )
        self._start_task("agent", agent.run)
        self._start_task("announcements", follower.run)
        self._start_task("owner link", link.run)

    def _start_task(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        """Start a task that lives as long as the process."""
        self._nursery.start_soon(
            containment.keep_running, run, name, self._barrier
        )

    def _resolve_owner_address(self, owner: job_records.Owner) -> str:
        """Return the owner's address, preferring the one in the settings."""
        entry = self._fleet.entry.get(owner.entry)
        return owner.address if entry is None else entry.peers

    def _get_client(self, address: str) -> http_client.HttpClient:
        if address not in self._target_clients:
            client = http_client.HttpClient(address, _TARGET_TIMEOUT_S)
            self._stack.push_async_exit(client)
            self._target_clients[address] = client
        return self._target_clients[address]

    async def _drain(self) -> None:
        """Refuse new requests and wait for those in progress."""
        logs.info(logs.Component.PROCESS, f"Side {self._name} drains.")
        self._dispatches.targets.draining = True
        self._trigger_heartbeats()
        with trio.move_on_after(self._fleet.timing.drain_ms / 1000):
            # Within one heartbeat period every entry learns of the drain.
            await trio.sleep(self._fleet.timing.heartbeat_ms / 1000)
            while self._dispatches.in_progress:
                await trio.sleep(_TICK_PERIOD_S / 2)
            # Replies must be sent before the connections are closed.
            await trio.sleep(_TICK_PERIOD_S)
        left = self._dispatches.in_progress
        text = f"Side {self._name} ends with {left} requests in progress."
        logs.info(logs.Component.PROCESS, text)

    async def _run_ticks(self) -> None:
        while True:
            await trio.sleep(_TICK_PERIOD_S)
            for name in self._dispatches.targets.expire_silent(
                trio.current_time()
            ):
                text = f"Target {name} stopped announcing; no new requests."
                logs.warn(logs.Component.MEMBER, text)
                self._trigger_heartbeats()

    def _trigger_heartbeats(self) -> None:
        """Make every connection send a heartbeat immediately."""
        self._heartbeat_wanted.set()
        self._heartbeat_wanted = trio.Event()

    async def _handle_http(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        if request.path == "/health/live":
            return http_server.json_response({"live": True})
        if (
            request.path.startswith("/instances/")
            and self._registration_handler
        ):
            return await self._registration_handler(request)
        if request.path != "/v1/announcements" or request.method != "POST":
            raise errors.KingcupleverError(
                f"There is no {request.path} here.", errors.Code.NOT_FOUND
            )
        try:
            announcement = targets.parse_announcement(
                http_server.parse_json(request.body, request.memory)
            )
        except plain.ValidationError as error:
            raise errors.InvalidRequest(str(error)) from error
        if self._dispatches.targets.apply_announcement(
            announcement, trio.current_time()
        ):
            state = "draining" if announcement.draining else "open"
            text = f"Target {announcement.target} announced as {state}."
            logs.info(logs.Component.MEMBER, text)
            self._trigger_heartbeats()
        return http_server.json_response({"side": self._name})

    async def _maintain_link(self, entry: str, address: str) -> None:
        """Keep a connection to one entry open, reconnecting as needed."""
        host, port = options.split_address(address)
        while True:
            try:
                with trio.fail_after(self._fleet.timing.silence_ms / 1000):
                    stream = await trio.open_tcp_stream(host, port)
            except (OSError, trio.TooSlowError):
                await trio.sleep(_RECONNECT_PAUSE_S)
                continue
            await self._serve_link(entry, stream)
            await trio.sleep(_RECONNECT_PAUSE_S)

    async def _serve_link(self, entry: str, stream: trio.SocketStream) -> None:
        peer = peers.PeerConnection(stream, self._handle_message)
        logs.info(logs.Component.MEMBER, f"Connected to entry {entry}.")
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_link, peer, nursery)
                await self._send_heartbeats(peer)
                nursery.cancel_scope.cancel()
        except* errors.KingcupleverError as group:
            text = f"Connection to entry {entry} failed: {group.exceptions[0]}"
            logs.warn(logs.Component.MEMBER, text)

    async def _read_link(
        self, peer: peers.PeerConnection, nursery: trio.Nursery
    ) -> None:
        await peer.run()
        nursery.cancel_scope.cancel()

    async def _send_heartbeats(self, peer: peers.PeerConnection) -> None:
        period_s = self._fleet.timing.heartbeat_ms / 1000
        silence_s = self._fleet.timing.silence_ms / 1000
        entry_version = self._config_version
        while True:
            changed = self._heartbeat_wanted
            heartbeat = self._make_heartbeat(entry_version)
            reply = await peer.call(heartbeat, silence_s)
            if not isinstance(reply, messages.HeartbeatReply):
                raise errors.InvalidRequest(
                    "The entry sent no heartbeat reply."
                )
            entry_version = reply.config_version
            if reply.config is not None:
                self._apply_config(reply.config_version, reply.config)
            with trio.move_on_after(period_s):
                await changed.wait()

    def _make_heartbeat(self, entry_version: int) -> messages.Heartbeat:
        """Make the next heartbeat to an entry.

        :param entry_version: version of the entry's configuration.  The
            heartbeat carries a newer one, since an entry that starts while
            the log is unavailable learns it only from its sides.
        """
        newer = self._config_version > entry_version
        return messages.Heartbeat(
            self._name,
            self._incarnation,
            next(self._sequences),
            self._options.data_centre,
            self._dispatches.targets.list_states(trio.current_time()),
            self._config_version,
            self._config_text if newer else None,
        )

    def _apply_config(self, version: int, text: str) -> None:
        """Adopt a configuration if it is newer than the current one."""
        if version > self._config_version:
            self._config_version = version
            self._config_text = text
            text = f"Configuration {version} is in force."
            logs.info(logs.Component.CONFIG, text)

    async def _handle_message(
        self, peer: peers.PeerConnection, message: messages.Message
    ) -> messages.Message:
        if isinstance(message, messages.Dispatch):
            return await self._dispatches.dispatch(message)
        if isinstance(message, messages.Claim):
            return self._dispatches.claim(message)
        raise errors.InvalidRequest("A side accepts only requests and claims.")


async def run(
    fleet: options.FleetOptions,
    name: str,
    factories: platform_factories.PlatformFactories,
) -> None:
    """Run a side until SIGTERM.

    :param name: key of the side in the settings.
    """
    async with contextlib.AsyncExitStack() as stack:
        async with trio.open_nursery() as nursery:
            side = Side(fleet, name, factories, stack, nursery)
            await side.run()
