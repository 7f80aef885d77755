"""The side process: beside each target and each worker.

Announces them to the entries, admits or refuses work, keeps request keys,
holds task leases.  It knows its entries from the settings; everything else
comes to it.
"""

import contextlib
import itertools
import time
from typing import Final

import trio

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import peer as peers
from kingcuplever.connection import worker_platform
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import options
from kingcuplever import plain
from kingcuplever.process import signals
from kingcuplever.process import targets
from kingcuplever.process import tasks
from kingcuplever.process import worker_task
from kingcuplever.request import dispatching

_RECONNECT_S: Final = 0.3
_WORKER_TIMEOUT_S: Final = 1.0
_TARGET_TIMEOUT_S: Final = 60.0
_TICK_S: Final = 0.25


class Side:
    """All that lives as long as the side process."""

    def __init__(
        self,
        fleet: options.FleetOptions,
        name: str,
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
        self._incarnation = time.time_ns() // 1_000_000
        self._sequences = itertools.count(1)
        self._clients: dict[str, http_client.HttpClient] = {}
        self._changed = trio.Event()
        self._config_version = 0
        self._config_text: str | None = None
        self._worker: worker_task.WorkerTask | None = None
        horizon_s = fleet.timing.key_horizon_ms / 1000
        self._desk = dispatching.Desk(
            name, self._incarnation, horizon_s, self._client_of, nursery
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        stop = trio.Event()
        if self._options.worker:
            await self._open_worker()
        await self._nursery.start(
            http_server.serve,
            self._options.announcements,
            self._handle_http,
            stop,
        )
        for entry, entry_options in self._fleet.entry.items():
            self._nursery.start_soon(
                self._keep_link, entry, entry_options.peers
            )
        self._nursery.start_soon(self._tick)
        text = f"Side {self._name} runs, incarnation {self._incarnation}."
        logs.info(logs.Part.PROCESS, text)
        await signals.wait_for_stop()
        await self._drain()
        stop.set()
        self._nursery.cancel_scope.cancel()

    async def _open_worker(self) -> None:
        client = await self._stack.enter_async_context(
            http_client.HttpClient(self._options.worker, _WORKER_TIMEOUT_S)
        )
        self._worker = worker_task.WorkerTask(
            worker_platform.HttpWorker(client),
            tasks.TaskTable(self._name, self._options.rack),
            lambda: next(self._sequences),
        )
        self._nursery.start_soon(self._worker.run)

    def _client_of(self, address: str) -> http_client.HttpClient:
        if address not in self._clients:
            client = http_client.HttpClient(address, _TARGET_TIMEOUT_S)
            self._stack.push_async_exit(client)
            self._clients[address] = client
        return self._clients[address]

    async def _drain(self) -> None:
        """Refuse new work at once, and wait for what is in progress."""
        logs.info(logs.Part.PROCESS, f"Side {self._name} drains.")
        self._desk.targets.draining = True
        self._touch()
        with trio.move_on_after(self._fleet.timing.drain_ms / 1000):
            # One heartbeat more, so that every entry hears of the drain.
            await trio.sleep(self._fleet.timing.heartbeat_ms / 1000)
            while self._desk.in_progress:
                await trio.sleep(_TICK_S / 2)
            # The answers have to leave before the connections go.
            await trio.sleep(_TICK_S)
        left = self._desk.in_progress
        text = f"Side {self._name} ends with {left} requests in progress."
        logs.info(logs.Part.PROCESS, text)

    async def _tick(self) -> None:
        while True:
            await trio.sleep(_TICK_S)
            for name in self._desk.targets.tick(trio.current_time()):
                text = f"Target {name} has gone quiet; no new work goes there."
                logs.warn(logs.Part.MEMBER, text)
                self._touch()

    def _touch(self) -> None:
        """Have every link send a heartbeat at once."""
        self._changed.set()
        self._changed = trio.Event()

    async def _handle_http(
        self, request: http_server.HttpRequest
    ) -> http_server.HttpResponse:
        if request.path == "/health/live":
            return http_server.json_response({"live": True})
        if request.path != "/v1/announcements" or request.method != "POST":
            raise errors.KingcupleverError(
                f"There is no {request.path} here.", errors.Code.NOT_FOUND
            )
        try:
            announcement = targets.parse(http_server.parse_json(request.body))
        except plain.FaultyValue as error:
            raise errors.InvalidRequest(str(error)) from error
        if self._desk.targets.announce(announcement, trio.current_time()):
            state = "draining" if announcement.draining else "open"
            text = f"Target {announcement.target} announced itself, {state}."
            logs.info(logs.Part.MEMBER, text)
            self._touch()
        return http_server.json_response({"side": self._name})

    async def _keep_link(self, entry: str, address: str) -> None:
        """Keep a connection to one entry, and beat on it."""
        host, port = options.split_address(address)
        while True:
            try:
                with trio.fail_after(self._fleet.timing.silence_ms / 1000):
                    stream = await trio.open_tcp_stream(host, port)
            except (OSError, trio.TooSlowError):
                await trio.sleep(_RECONNECT_S)
                continue
            await self._live_link(entry, stream)
            await trio.sleep(_RECONNECT_S)

    async def _live_link(self, entry: str, stream: trio.SocketStream) -> None:
        peer = peers.Peer(stream, self._serve)
        logs.info(logs.Part.MEMBER, f"Linked to entry {entry}.")
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_link, peer, nursery)
                await self._beat(peer)
                nursery.cancel_scope.cancel()
        except* errors.KingcupleverError as group:
            text = f"Link to entry {entry} broke: {group.exceptions[0]}"
            logs.warn(logs.Part.MEMBER, text)

    async def _read_link(
        self, peer: peers.Peer, nursery: trio.Nursery
    ) -> None:
        await peer.run()
        nursery.cancel_scope.cancel()

    async def _beat(self, peer: peers.Peer) -> None:
        period_s = self._fleet.timing.heartbeat_ms / 1000
        silence_s = self._fleet.timing.silence_ms / 1000
        entry_version = self._config_version
        while True:
            changed = self._changed
            heartbeat = await self._make_heartbeat(entry_version)
            reply = await peer.call(heartbeat, silence_s)
            if not isinstance(reply, messages.HeartbeatReply):
                raise errors.InvalidRequest("The entry sent no reply of ours.")
            entry_version = reply.config_version
            await self._take_reply(reply, heartbeat.sequence)
            with trio.move_on_after(period_s):
                await changed.wait()

    async def _make_heartbeat(self, entry_version: int) -> messages.Heartbeat:
        """Tell an entry what is here.

        :param entry_version: configuration that the entry has; one that
            came up while the log is away learns a newer one from its sides.
        """
        newer = self._config_version > entry_version
        sequence = next(self._sequences)
        view = worker_task.View(None, (), 0)
        if self._worker is not None:
            view = await self._worker.look(sequence)
        return messages.Heartbeat(
            self._name,
            self._incarnation,
            sequence,
            self._options.data_centre,
            self._desk.targets.states(),
            view.worker,
            view.tasks,
            self._config_version,
            view.epoch,
            self._config_text if newer else None,
        )

    async def _take_reply(
        self, reply: messages.HeartbeatReply, sequence: int
    ) -> None:
        if reply.config is not None:
            self._take_config(reply.config_version, reply.config)
        if self._worker is not None:
            await self._worker.replied(reply, sequence)

    def _take_config(self, version: int, text: str) -> None:
        """Move up to a version; never down."""
        if version > self._config_version:
            self._config_version = version
            self._config_text = text
            text = f"Configuration {version} is in force."
            logs.info(logs.Part.CONFIG, text)

    async def _serve(
        self, peer: peers.Peer, message: messages.Message
    ) -> messages.Message:
        if isinstance(message, messages.Dispatch):
            return await self._desk.dispatch(message)
        if isinstance(message, messages.Claim):
            return self._desk.claim(message)
        if self._worker is None:
            raise errors.InvalidRequest(f"Side {self._name} has no worker.")
        sequence, answer, view = await self._worker.order(message)
        return messages.TaskReport(
            self._name,
            self._incarnation,
            sequence,
            answer.accepted,
            answer.detail,
            view.tasks,
            view.epoch,
        )


async def run(fleet: options.FleetOptions, name: str) -> None:
    """Run a side until SIGTERM.

    :param name: the side's part of the settings.
    """
    async with contextlib.AsyncExitStack() as stack:
        async with trio.open_nursery() as nursery:
            side = Side(fleet, name, stack, nursery)
            await side.run()
