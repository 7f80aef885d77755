"""The entry process: callers, operators and sides meet here.

It owns the listeners, the router, the configuration and one task for each
data centre that it may schedule.  It keeps nothing: all that must last is
on the log.
"""

import contextlib
from typing import Final

import trio

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import log_service
from kingcuplever.connection import peer as peers
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import options
from kingcuplever.process import config_task
from kingcuplever.process import data_centre
from kingcuplever.process import limits
from kingcuplever.process import members
from kingcuplever.process import metrics
from kingcuplever.process import router_task
from kingcuplever.process import signals
from kingcuplever.request import caller
from kingcuplever.request import operator

_CHECK_S: Final = 0.1


class Entry:
    """All that lives as long as the entry process."""

    def __init__(
        self,
        fleet: options.FleetOptions,
        name: str,
        log: log_service.LogService,
        nursery: trio.Nursery,
    ) -> None:
        """Make the parts; nothing listens yet.

        :param nursery: lives as long as the process.
        """
        self._fleet = fleet
        self._name = name
        self._options = options.find_entry(fleet, name)
        self._nursery = nursery
        self._sides = members.Members()
        self._metrics = metrics.EntryMetrics()
        self._router = router_task.RouterTask(self._options.data_centre)
        self._limits = limits.AccountLimits(len(fleet.entry))
        self._config = config_task.ConfigTask(name, log, self._use_config)
        self._data_centres = {
            place: data_centre.DataCentre(
                name,
                place,
                _rank(fleet, name, place),
                fleet,
                log,
                self._sides,
                self._metrics,
            )
            for place in self._options.schedules
        }
        self._callers = caller.CallerDesk(
            self._router, self._sides, self._limits, self._metrics
        )
        self._operators = operator.OperatorDesk(
            fleet.operator_tokens,
            self._data_centres,
            self._config,
            self._router,
            self._sides,
            self._metrics,
            log,
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        nursery = self._nursery
        nursery.start_soon(self._config.run)
        nursery.start_soon(self._router.run)
        for place in self._data_centres.values():
            nursery.start_soon(place.run)
        await self._listen_peers()
        stop = trio.Event()
        async with trio.open_nursery() as listeners:
            await listeners.start(
                http_server.serve,
                self._options.operators,
                self._operators.handle,
                stop,
            )
            await listeners.start(
                http_server.serve,
                self._options.callers,
                self._callers.handle,
                stop,
            )
            nursery.start_soon(self._watch_silence)
            logs.info(logs.Part.PROCESS, f"Entry {self._name} runs.")
            await signals.wait_for_stop()
            self._callers.draining = True
            logs.info(logs.Part.PROCESS, f"Entry {self._name} drains.")
            # The listeners close at once and finish what is in progress.
            stop.set()
        left = self._callers.in_progress
        text = f"Entry {self._name} ends with {left} requests in progress."
        logs.info(logs.Part.PROCESS, text)
        nursery.cancel_scope.cancel()

    async def _listen_peers(self) -> None:
        host, port = options.split_address(self._options.peers)
        listeners = await trio.open_tcp_listeners(port, host=host)
        self._nursery.start_soon(
            trio.serve_listeners, self._serve_side, listeners
        )

    async def _serve_side(self, stream: trio.SocketStream) -> None:
        """Serve one side's connection until it ends."""
        peer = peers.Peer(stream, self._serve)
        try:
            await peer.run()
        except* errors.KingcupleverError as group:
            text = f"A side's connection broke: {group.exceptions[0]}"
            logs.warn(logs.Part.MEMBER, text)
        finally:
            side = self._sides.lost(peer)
            if side:
                logs.warn(logs.Part.MEMBER, f"Side {side} is gone.")
                with trio.CancelScope(shield=True):
                    await self._router.lost(side)

    async def _serve(
        self, peer: peers.Peer, message: messages.Message
    ) -> messages.Message:
        if not isinstance(message, messages.Heartbeat):
            raise errors.InvalidRequest("An entry takes heartbeats only.")
        now = trio.current_time()
        if self._sides.heard(peer, message, now):
            text = f"Side {message.side} is linked, {message.incarnation}."
            logs.info(logs.Part.MEMBER, text)
        await self._router.heard(message)
        if message.config is not None:
            self._config.offer(message.config_version, message.config)
        granted = data_centre.Granted(0, (), ())
        place = self._data_centres.get(message.data_centre)
        if place is not None and message.worker is not None:
            granted = await place.heartbeat(message)
        return messages.HeartbeatReply(
            self._name,
            granted.epoch,
            granted.leases,
            granted.forget,
            self._config.version.number,
            self._config.text_for(message.config_version),
        )

    async def _watch_silence(self) -> None:
        """End the links of sides whose heartbeats have stopped."""
        silence_s = self._fleet.timing.silence_ms / 1000
        while True:
            await trio.sleep(_CHECK_S)
            now = trio.current_time()
            for link in self._sides.silent(now, silence_s):
                text = f"Side {link.side} is silent; its link is closed."
                logs.warn(logs.Part.MEMBER, text)
                await link.peer.close()

    async def _use_config(self, version: config_task.Version) -> None:
        self._metrics.config_version.set(version.number)
        self._limits.set_config(version.config)
        await self._router.set_config(version.config)
        for place in self._data_centres.values():
            await place.set_config(version.config.scheduling)


async def run(fleet: options.FleetOptions, name: str) -> None:
    """Run an entry until SIGTERM.

    :param name: the entry's part of the settings.
    """
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(
            http_client.HttpClient(
                fleet.log.address, fleet.log.timeout_ms / 1000
            )
        )
        log = log_service.HttpLogService(client)
        async with trio.open_nursery() as nursery:
            entry = Entry(fleet, name, log, nursery)
            await entry.run()


def _rank(fleet: options.FleetOptions, name: str, place: str) -> int:
    """Count the entries that should own a data centre before this one."""
    entries = sorted(
        (
            entry.schedules.index(place),
            entry.data_centre != place,
            other,
        )
        for other, entry in fleet.entry.items()
        if place in entry.schedules
    )
    return [other for _, _, other in entries].index(name)
