"""The side process: beside each target and each worker.

Announces them to the entries, admits or refuses work, keeps request keys,
holds task leases.  It knows its entries from the settings; everything else
comes to it.
"""

import contextlib
import itertools
from typing import Final

import trio

from kingcuplever import clock
from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import peer as peers
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
from kingcuplever.process.stored import topic_follower
from kingcuplever.request import dispatching

_RECONNECT_S: Final = 0.3
_WORKER_TIMEOUT_S: Final = 1.0
_TARGET_TIMEOUT_S: Final = 60.0
_TICK_PERIOD_S: Final = 0.25


class Side:
    """All that lives as long as the side process."""

    def __init__(
        self,
        fleet: options.FleetOptions,
        name: str,
        clients: platform_factories.PlatformFactories,
        stack: contextlib.AsyncExitStack,
        nursery: trio.Nursery,
    ) -> None:
        """Make the parts; nothing is connected yet.

        :param stack: owns the HTTP clients.
        :param nursery: lives as long as the process.
        """
        self._fleet = fleet
        self._name = name
        self._options = options.find_side(fleet, name)
        self._stack = stack
        self._nursery = nursery
        self._incarnation = clock.wall_ms()
        self._sequences = itertools.count(1)
        self._clients: dict[str, http_client.HttpClient] = {}
        self._changed = trio.Event()
        self._config_version = 0
        self._config_text: str | None = None
        self._platform = clients
        self._registry: http_server.Handler | None = None
        horizon_s = fleet.timing.key_horizon_ms / 1000
        self._dispatches = dispatching.DispatchHandler(
            name, self._incarnation, horizon_s, self._get_client, nursery
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        stop = trio.Event()
        if self._options.worker:
            await self._start_worker_agent()
        await self._nursery.start(
            http_server.serve,
            self._options.announcements,
            self._handle_http,
            stop,
        )
        for entry, entry_options in self._fleet.entry.items():
            self._nursery.start_soon(
                self._maintain_link, entry, entry_options.peers
            )
        self._nursery.start_soon(self._run_ticks)
        text = f"Side {self._name} runs, incarnation {self._incarnation}."
        logs.info(logs.Component.PROCESS, text)
        await signals.wait_for_stop()
        await self._drain()
        stop.set()
        self._nursery.cancel_scope.cancel()

    async def _start_worker_agent(self) -> None:
        """Run the worker's part: hold its leases, report to the owner."""
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
        agent = worker_agent.WorkerAgent(
            self._name,
            self._platform.make_executor(worker),
            timing.task_lease_ms,
            metrics,
            timing.alone_ms / 1000,
        )
        sink = owner_link.OwnerSink()
        follower = topic_follower.Follower(
            self._platform.make_log(log),
            owner_link.TOPIC,
            sink,
            owner_link.READ_PAUSE_S,
            metrics,
            owner_link.POLL_MS,
        )
        link = owner_link.OwnerLink(sink, agent, self._resolve_owner_address)
        self._registry = self._platform.make_registration_handler(agent)
        for task in (agent.run, follower.run, link.run):
            self._nursery.start_soon(task)

    def _resolve_owner_address(self, owner: job_records.Owner) -> str:
        """Give where this side reaches an owner: as its settings say."""
        entry = self._fleet.entry.get(owner.entry)
        return owner.address if entry is None else entry.peers

    def _get_client(self, address: str) -> http_client.HttpClient:
        if address not in self._clients:
            client = http_client.HttpClient(address, _TARGET_TIMEOUT_S)
            self._stack.push_async_exit(client)
            self._clients[address] = client
        return self._clients[address]

    async def _drain(self) -> None:
        """Refuse new work at once, and wait for what is in progress."""
        logs.info(logs.Component.PROCESS, f"Side {self._name} drains.")
        self._dispatches.targets.draining = True
        self._trigger_heartbeats()
        with trio.move_on_after(self._fleet.timing.drain_ms / 1000):
            # One heartbeat more, so that every entry hears of the drain.
            await trio.sleep(self._fleet.timing.heartbeat_ms / 1000)
            while self._dispatches.in_progress:
                await trio.sleep(_TICK_PERIOD_S / 2)
            # The answers have to leave before the connections go.
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
                text = f"Target {name} has gone quiet; no new work goes there."
                logs.warn(logs.Component.MEMBER, text)
                self._trigger_heartbeats()

    def _trigger_heartbeats(self) -> None:
        """Have every link send a heartbeat at once."""
        self._changed.set()
        self._changed = trio.Event()

    async def _handle_http(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        if request.path == "/health/live":
            return http_server.json_response({"live": True})
        if request.path.startswith("/instances/") and self._registry:
            return await self._registry(request)
        if request.path != "/v1/announcements" or request.method != "POST":
            raise errors.KingcupleverError(
                f"There is no {request.path} here.", errors.Code.NOT_FOUND
            )
        try:
            announcement = targets.parse_announcement(
                http_server.parse_json(request.body)
            )
        except plain.ValidationError as error:
            raise errors.InvalidRequest(str(error)) from error
        if self._dispatches.targets.apply_announcement(
            announcement, trio.current_time()
        ):
            state = "draining" if announcement.draining else "open"
            text = f"Target {announcement.target} announced itself, {state}."
            logs.info(logs.Component.MEMBER, text)
            self._trigger_heartbeats()
        return http_server.json_response({"side": self._name})

    async def _maintain_link(self, entry: str, address: str) -> None:
        """Keep a connection to one entry, and beat on it."""
        host, port = options.split_address(address)
        while True:
            try:
                with trio.fail_after(self._fleet.timing.silence_ms / 1000):
                    stream = await trio.open_tcp_stream(host, port)
            except (OSError, trio.TooSlowError):
                await trio.sleep(_RECONNECT_S)
                continue
            await self._serve_link(entry, stream)
            await trio.sleep(_RECONNECT_S)

    async def _serve_link(self, entry: str, stream: trio.SocketStream) -> None:
        peer = peers.PeerConnection(stream, self._handle_message)
        logs.info(logs.Component.MEMBER, f"Linked to entry {entry}.")
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_link, peer, nursery)
                await self._send_heartbeats(peer)
                nursery.cancel_scope.cancel()
        except* errors.KingcupleverError as group:
            text = f"Link to entry {entry} broke: {group.exceptions[0]}"
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
            changed = self._changed
            heartbeat = self._make_heartbeat(entry_version)
            reply = await peer.call(heartbeat, silence_s)
            if not isinstance(reply, messages.HeartbeatReply):
                raise errors.InvalidRequest("The entry sent no reply of ours.")
            entry_version = reply.config_version
            if reply.config is not None:
                self._apply_config(reply.config_version, reply.config)
            with trio.move_on_after(period_s):
                await changed.wait()

    def _make_heartbeat(self, entry_version: int) -> messages.Heartbeat:
        """Tell an entry what is here.

        :param entry_version: configuration that the entry has; one that
            came up while the log is away learns a newer one from its sides.
        """
        newer = self._config_version > entry_version
        return messages.Heartbeat(
            self._name,
            self._incarnation,
            next(self._sequences),
            self._options.data_centre,
            self._dispatches.targets.list_states(),
            self._config_version,
            self._config_text if newer else None,
        )

    def _apply_config(self, version: int, text: str) -> None:
        """Move up to a version; never down."""
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
        raise errors.InvalidRequest("A side takes requests and claims here.")


async def run(
    fleet: options.FleetOptions,
    name: str,
    clients: platform_factories.PlatformFactories,
) -> None:
    """Run a side until SIGTERM.

    :param name: the side's part of the settings.
    """
    async with contextlib.AsyncExitStack() as stack:
        async with trio.open_nursery() as nursery:
            side = Side(fleet, name, clients, stack, nursery)
            await side.run()
