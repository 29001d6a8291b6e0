"""The gateway: wires clients, endpoints, peers and the controller of one process.

Clients' connections, attempts and peers report events; the controller decides in the turns of
`ControllerLoop`; the gateway passes each action to the part that carries it out.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace

from gateway.config import Config, EndpointList
from gateway.interface.actions import (
    CancelAttempt,
    CheckHealth,
    Fail,
    Reject,
    SendAttempt,
    SendGossip,
    SetTimer,
    SubscribeEndpoints,
)
from gateway.interface.events import EndpointState, EndpointUpdate, GossipReceived, TimerFired
from gateway.network.admin.metrics import Metrics
from gateway.network.attempt_runner import AttemptRunner
from gateway.network.attempt_table import AttemptTable
from gateway.network.client_frontend import ClientFrontend
from gateway.network.clients.connection_limiter import ConnectionLimiter
from gateway.network.clients.request_validator import RequestValidator
from gateway.network.clock import Clock, Timers
from gateway.network.controller_loop import ControllerLoop
from gateway.network.descriptor_limits import max_upstream_connections, shareable_descriptors
from gateway.network.gossip_socket import GossipSocket
from gateway.network.process_role import ProcessRole, ServicePhase, SiblingLink, SuccessorLink
from gateway.network.request_table import RequestTable
from gateway.network.upstream.pool import UpstreamPool
from gateway.policy.controller import Controller
from gateway.policy.state_transfer import hot_restart
from gateway.policy.state_transfer.gateway_state import GatewayState


class Gateway:
    """One process of a gateway: its parts, and the controller's actions (`ActionHandler`)."""

    def __init__(
        self, config: Config, loop: asyncio.AbstractEventLoop, controller: Controller | None = None
    ) -> None:
        """Make all parts; without a controller, make the one that the settings describe."""
        self.config = config
        self.loop = loop
        self.clock = Clock()
        self.timers = Timers(loop, self.clock)
        self.metrics = Metrics(kind.name for kind in config.settings.classes)
        self.role = ProcessRole()
        self.controller_loop = ControllerLoop(
            loop, self.clock, controller or Controller(config.settings, config.seed), self
        )
        self.upstreams = self._new_upstream_pool()
        self.gossip_socket = GossipSocket(config, self.on_gossip)
        self.attempts = AttemptTable()
        self.requests = RequestTable(
            self.clock, self.timers, self.metrics, self.attempts, self.controller_loop
        )
        self.attempt_runner = AttemptRunner(
            self.clock, self.upstreams, self.requests, self.attempts, self.controller_loop
        )
        self.connections = ConnectionLimiter(shareable_descriptors(config.max_descriptors))
        self.frontend = self._new_frontend()

    def _new_upstream_pool(self) -> UpstreamPool:
        return UpstreamPool(
            self.loop,
            self.clock,
            self.timers,
            self.metrics,
            idle_ms=self.config.endpoint_idle_timeout_ms,
            connect_timeout_ms=self.config.connect_timeout_ms,
            max_connections=max_upstream_connections(self.config.max_descriptors),
            report_fields=self.config.settings.report_fields,
        )

    def _new_frontend(self) -> ClientFrontend:
        return ClientFrontend(
            self.loop,
            self.clock,
            self.timers,
            role=self.role,
            connections=self.connections,
            request_validator=RequestValidator(self.config.settings),
            requests=self.requests,
            attempt_runner=self.attempt_runner,
            events=self.controller_loop,
        )

    # -- discovery and peers

    def on_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Apply a snapshot or an incremental update from discovery."""
        displaced = self.upstreams.update(endpoint_list)
        endpoints = [entry.endpoint for entry in endpoint_list.entries]
        endpoints += [replace(entry.endpoint, state=EndpointState.REMOVED) for entry in displaced]
        self.controller_loop.enqueue(EndpointUpdate(tuple(endpoints), endpoint_list.is_snapshot))

    def on_gossip(self, sender: int, data: bytes) -> None:
        """Report a peer's datagram, also to the predecessor, whose requests it may concern."""
        self.controller_loop.enqueue(GossipReceived(sender, data))
        predecessor = self.role.predecessor
        if predecessor is not None:
            predecessor.send_gossip(sender, data)

    def on_sibling_gossip(self, sender: int, data: bytes) -> None:
        """Report a datagram that another process of this gateway has sent or forwarded."""
        self.controller_loop.enqueue(GossipReceived(sender, data))

    # -- actions

    def send_attempt(self, action: SendAttempt) -> None:
        """Start an attempt."""
        self.attempt_runner.send_attempt(action)

    def reject(self, action: Reject) -> None:
        """Answer 503, with advice when to retry."""
        self.requests.reject(action.id, action.retry_after_ms)

    def fail(self, action: Fail) -> None:
        """Answer 502."""
        self.requests.fail(action.id)

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt."""
        self.attempt_runner.cancel_attempt(action)

    def set_timer(self, action: SetTimer) -> None:
        """Report the timer on the grid of the controller's ticks: timers of one tick share one turn."""
        fired = TimerFired(action.name)
        earliest_ms = self.clock.now() + action.after_ms
        tick_ms = max(1.0, self.config.settings.tick_ms)
        due_ms = math.ceil(earliest_ms / tick_ms) * tick_ms
        self.timers.call_at(due_ms, lambda: self.controller_loop.enqueue(fired))

    def send_gossip(self, action: SendGossip) -> None:
        """Send a datagram to a peer, or to another process of this gateway."""
        if action.receiver != self.config.settings.gateway_number:
            self.gossip_socket.send(action.receiver, action.data)
            return
        sibling = self.role.sibling
        if sibling is not None:
            sibling.send_gossip(action.receiver, action.data)

    def check_health(self, action: CheckHealth) -> None:
        """Do nothing: the service sends no health checks."""

    def subscribe_endpoints(self, action: SubscribeEndpoints) -> None:
        """Do nothing: discovery is watched from the start."""

    # -- the admin endpoint

    @property
    def ready(self) -> bool:
        """Whether this process serves."""
        return self.role.is_ready

    def metrics_text(self) -> bytes:
        """Return the metrics in Prometheus' text format."""
        listed, avoided = self.controller_loop.controller.endpoint_counts(self.clock.now())
        return self.metrics.text(
            open_requests=len(self.requests.open), registry_entries=listed, out_of_rotation=avoided
        )

    # -- hot restart

    def retire(self, successor: SuccessorLink) -> GatewayState:
        """Leave the service to the successor and return the controller's state; open requests stay here."""
        self.role.retire(successor)
        self.gossip_socket.stop_receiving()
        self.upstreams.close_idle_connections()
        self.upstreams.set_max_connections(self.upstreams.connection_count)
        return hot_restart.export_state(self.controller_loop.controller, self.clock.now())

    def take_over(
        self, predecessor: SiblingLink, state: GatewayState, request_ids: list[str], descriptors: int
    ) -> None:
        """Restore the predecessor's state; until it ends, use that number of descriptors only."""
        self.role.follow(predecessor)
        self.requests.ids.restore(request_ids)
        hot_restart.restore_state(self.controller_loop.controller, self.clock.now(), state)
        self._limit_descriptors(descriptors)

    def on_predecessor_ended(self) -> None:
        """Use all descriptors, now that the predecessor has released its own."""
        self.role.on_predecessor_ended()
        hot_restart.on_predecessor_ended(self.controller_loop.controller)
        self._limit_descriptors(self.config.max_descriptors)

    def on_successor_ended(self) -> bool:
        """Serve again, unless this process is shutting down; return whether it serves."""
        self.role.on_successor_ended()
        if not self.role.is_ready:
            return False
        hot_restart.resume(self.controller_loop.controller, self.clock.now())
        self.gossip_socket.start_receiving()
        self._limit_descriptors(self.config.max_descriptors)
        return True

    def _limit_descriptors(self, descriptors: int) -> None:
        self.connections.limit(shareable_descriptors(descriptors))
        self.upstreams.set_max_connections(max_upstream_connections(descriptors))

    # -- the phases of the service

    def start_serving(self) -> None:
        """Enter the phase SERVING."""
        self.role.phase = ServicePhase.SERVING

    def begin_shutdown(self, within_ms: float) -> None:
        """Serve on, with deadlines of new requests within that time."""
        self.role.phase = ServicePhase.SHUTTING_DOWN
        self.requests.begin_shutdown(self.clock.now() + within_ms)

    def start_draining(self) -> None:
        """Close each connection after its response, from now on."""
        self.role.phase = ServicePhase.DRAINING

    def has_open_work(self) -> bool:
        """Return whether a request or a client connection is open."""
        return bool(self.requests.open or self.connections)

    def continue_draining(self) -> bool:
        """Hand over or close idle connections; return whether open work remains."""
        self.frontend.hand_over_idle_connections()
        self.frontend.close_idle_connections()
        return self.has_open_work()
