"""The entry process, which serves callers, operators and sides.

It runs the listeners and the router, holds the configuration in force, and
takes part in the election of the owner.  It stores nothing locally: all
durable state is on the log.
"""

import contextlib
import functools
from typing import Final

import trio

from kingcuplever.connection import admission
from kingcuplever.connection import connection_table
from kingcuplever.connection import frame_reader
from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import keyed_log
from kingcuplever.connection import listener
from kingcuplever.connection import peer as peers
from kingcuplever import containment
from kingcuplever import errors
from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import options
from kingcuplever.process import config_holder
from kingcuplever.process import job_metrics
from kingcuplever.process import leases
from kingcuplever.process import metrics
from kingcuplever.process.owner import job_owner
from kingcuplever.process import platform_factories
from kingcuplever.process.routing import limits
from kingcuplever.process.routing import members
from kingcuplever.process.routing import router_task
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import scheduler as schedulers
from kingcuplever.process import signals
from kingcuplever.process.stored import intent_table
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
from kingcuplever.process.stored import topic_follower
from kingcuplever.request import caller
from kingcuplever.request import operator
from kingcuplever.request import relay

_SILENCE_CHECK_PERIOD_S: Final = 0.1
# The settings name no weights: all entries are equal candidates for owner.
_ELECTION_WEIGHT: Final = 1.0


class Entry:
    """Wires the components of an entry process and runs them."""

    def __init__(
        self,
        fleet: options.FleetOptions,
        name: str,
        log: keyed_log.KeyedLog,
        stack: contextlib.AsyncExitStack,
        nursery: trio.Nursery,
    ) -> None:
        """Create the components without opening any listener.

        :param stack: closes the HTTP clients at the end of the process.
        :param nursery: runs the tasks that live as long as the process.
        """
        self._fleet = fleet
        self._name = name
        self._options = options.find_entry(fleet, name)
        self._nursery = nursery
        self._sides = members.Members()
        self._metrics = metrics.EntryMetrics()
        job_measures = job_metrics.JobMetrics(self._metrics.registry)
        self._listeners = job_measures.listeners
        self._shares = admission.divide(
            fleet.resources.memory_mb * 1024 * 1024,
            fleet.resources.descriptors,
        )
        self._barrier = job_measures.barrier
        self._router = router_task.RouterTask(
            self._options.data_centre, self._barrier
        )
        self._limits = limits.AccountRateLimits(len(fleet.entry))
        self._config = config_holder.ConfigHolder(self._apply_config)
        self._new_config = trio.Event()
        self._table = job_table.JobTable(barrier=self._barrier)
        self._follower = topic_follower.Follower(
            log,
            job_records.TOPIC,
            self._table,
            job_owner.FOLLOWER_READ_INTERVAL_S,
            job_measures,
        )
        timing = fleet.timing
        self._owner = job_owner.JobOwner(
            name,
            self._options.peers,
            _ELECTION_WEIGHT,
            log,
            self._follower,
            self._table,
            schedulers.Timing(
                leases.compute_side_timeout_s(
                    timing.task_lease_ms / 1000,
                    timing.alone_ms / 1000,
                    timing.late_call_ms / 1000,
                ),
                timing.status_ms / 1000,
                log_outage_s=timing.log_outage_ms / 1000,
            ),
            job_measures,
            intents_callback=self._apply_intents,
        )
        self._apply_intents(self._table.intents)
        self._callers = caller.CallerHandler(
            self._router, self._sides, self._limits, self._metrics
        )
        others = {
            other: entry.operators
            for other, entry in fleet.entry.items()
            if other != name
        }
        self._operators = operator.OperatorHandler(
            fleet.operator_tokens,
            self._owner,
            self._table,
            self._follower,
            self._config,
            self._router,
            self._sides,
            self._metrics,
            log,
            relay.Relay(others, stack),
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        nursery = self._nursery
        for name, task in (
            ("router", self._router.run),
            ("configuration", self._propagate_config),
            ("jobs follower", self._follower.run),
            ("election", self._owner.run),
        ):
            nursery.start_soon(
                containment.keep_running, task, name, self._barrier
            )
        await self._listen_peers()
        stop = trio.Event()
        async with trio.open_nursery() as listeners:
            serve = functools.partial(
                http_server.serve,
                max_body_bytes=http_server.MAX_CALLER_BODY_BYTES,
            )
            await listeners.start(
                serve,
                self._options.operators,
                self._operators.handle,
                stop,
                self._listeners.open("operators", self._shares.own),
            )
            await listeners.start(
                serve,
                self._options.callers,
                self._callers.handle,
                stop,
                self._listeners.open("callers", self._shares.clients),
            )
            nursery.start_soon(
                containment.keep_running,
                self._close_silent_links,
                "silent links",
                self._barrier,
            )
            logs.info(logs.Component.PROCESS, f"Entry {self._name} runs.")
            await signals.wait_for_stop()
            self._callers.draining = True
            logs.info(logs.Component.PROCESS, f"Entry {self._name} drains.")
            await self._owner.resign()
            # The listeners close at once; requests in progress are finished.
            stop.set()
        left = self._callers.in_progress
        text = f"Entry {self._name} ends with {left} requests in progress."
        logs.info(logs.Component.PROCESS, text)
        nursery.cancel_scope.cancel()

    async def _listen_peers(self) -> None:
        """Start to accept the sides' connections."""
        gate = self._listeners.open("peers", self._shares.peers)
        await self._nursery.start(self._accept_links, gate)

    async def _accept_links(
        self,
        gate: admission.Admission,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        async def serve_link(
            stream: trio.SocketStream, place: connection_table.Connection
        ) -> None:
            link = frame_reader.Link(place, gate)
            await self._serve_link(stream, link)

        async with listener.listen(
            self._options.peers, gate, serve_link, self._nursery
        ):
            task_status.started()
            await trio.sleep_forever()

    async def _serve_link(
        self, stream: trio.SocketStream, link: frame_reader.Link
    ) -> None:
        """Serve one side's connection until it ends."""
        peer = peers.PeerConnection(stream, self._handle_message, link)
        try:
            await peer.run()
        except* errors.KingcupleverError as group:
            text = f"Connection to a side failed: {group.exceptions[0]}"
            logs.warn(logs.Component.MEMBER, text)
        finally:
            self._owner.on_connection_lost(peer)
            side = self._sides.remove_peer(peer)
            if side:
                logs.warn(logs.Component.MEMBER, f"Side {side} disconnected.")
                with trio.CancelScope(shield=True):
                    await self._router.remove_side(side)

    async def _handle_message(
        self, peer: peers.PeerConnection, message: messages.Message
    ) -> messages.Message:
        if isinstance(message, messages.WorkerReport):
            return await self._owner.links.handle_report(peer, message)
        if isinstance(message, messages.OwnerProbe):
            return self._owner.answer_probe(peer, message)
        if not isinstance(message, messages.Heartbeat):
            raise errors.InvalidRequest(
                "An entry accepts only heartbeats, reports and probes."
            )
        now = trio.current_time()
        if self._sides.record_heartbeat(peer, message, now):
            text = (
                f"Side {message.side} connected, incarnation"
                f" {message.incarnation}."
            )
            logs.info(logs.Component.MEMBER, text)
        await self._router.apply_heartbeat(message)
        if message.config is not None:
            self._config.apply_text_if_newer(
                message.config_version, message.config
            )
        return messages.HeartbeatReply(
            self._name,
            self._config.version.number,
            self._config.get_newer_text(message.config_version),
        )

    async def _close_silent_links(self) -> None:
        """Close the connections of sides that no longer send heartbeats."""
        silence_s = self._fleet.timing.silence_ms / 1000
        while True:
            await trio.sleep(_SILENCE_CHECK_PERIOD_S)
            now = trio.current_time()
            for link in self._sides.find_silent(now, silence_s):
                text = (
                    f"Side {link.side} sends no heartbeats; connection closed."
                )
                logs.warn(logs.Component.MEMBER, text)
                await link.peer.close()

    def _apply_intents(self, intents: intent_table.IntentTable) -> None:
        """Apply the operators' intents that are stored on the log."""
        self._config.apply_if_newer(
            intents.config.version, intents.config.document
        )
        self._owner.set_evacuations(intents.evacuations.view)
        self._new_config.set()
        scheduling = self._config.version.config.scheduling
        # The scheduler takes policy version 0 for "no policy known yet".
        self._owner.set_policy(
            model.Policy(
                1 + intents.version,
                {},
                {},
                tuple(intents.accounts.values()),
                scheduling.starvation_s,
                scheduling.worker_failures,
                scheduling.probation_s,
                drains_per_hour=scheduling.drains_per_hour,
                uses_host_speeds=True,
                separates_neighbours=True,
            )
        )

    def _apply_config(self, version: config_holder.ConfigVersion) -> None:
        self._metrics.config_version.set(version.number)
        self._limits.set_config(version.config)
        self._new_config.set()

    async def _propagate_config(self) -> None:
        """Pass each new configuration and evacuation to the router."""
        while True:
            await self._new_config.wait()
            self._new_config = trio.Event()
            await self._router.set_config(self._config.version.config)
            view = self._table.intents.evacuations.view
            await self._router.set_evacuations(view.data_centres)


async def run(
    fleet: options.FleetOptions,
    name: str,
    factories: platform_factories.PlatformFactories,
) -> None:
    """Run an entry until SIGTERM.

    :param name: key of the entry in the settings.
    """
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(
            http_client.HttpClient(
                fleet.log.address, fleet.log.timeout_ms / 1000
            )
        )
        log = factories.make_log(client)
        async with trio.open_nursery() as nursery:
            entry = Entry(fleet, name, log, stack, nursery)
            await entry.run()
