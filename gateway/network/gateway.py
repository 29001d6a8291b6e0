"""Connects the network code of a gateway process to its controller.

Client connections, attempts and peers report events. `ControllerLoop` passes the events to the controller,
and the gateway passes each action that the controller returns to the object that carries it out.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import replace

from gateway.config import Config, EndpointList
from gateway.interface.actions import (
    CancelAttempt,
    CheckHealth,
    Fail,
    ForwardResponse,
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
from gateway.network.descriptor_limits import connection_counts, shareable_descriptors
from gateway.network.gossip_socket import GossipSocket
from gateway.network.memory_budget import MemoryBudget
from gateway.network.memory_limits import MAX_ACCEPT_BACKLOG, memory_limits, process_memory
from gateway.network.process_role import ProcessRole, ServicePhase, SiblingLink, SuccessorLink
from gateway.network.request_table import RequestTable
from gateway.network.socket_buffers import SocketBuffers
from gateway.network.upstream.pool import UpstreamPool
from gateway.policy.controller import Controller
from gateway.policy.state_transfer import hot_restart
from gateway.policy.state_transfer.gateway_state import GatewayState


class Gateway:
    """Owns the network objects of a gateway process, and implements `ActionHandler` with them."""

    def __init__(
        self, config: Config, loop: asyncio.AbstractEventLoop, controller: Controller | None = None
    ) -> None:
        """Create all network objects, and by default a controller with the settings and seed of `config`."""
        self.config = config
        self.loop = loop
        self.clock = Clock()
        self.timers = Timers(loop, self.clock)
        self.metrics = Metrics(request_class.name for request_class in config.settings.classes)
        self.role = ProcessRole()
        self.controller_loop = ControllerLoop(
            loop, self.clock, controller or Controller(config.settings, config.seed), self
        )
        self.memory = MemoryBudget()
        self._occupied = process_memory()
        # Number of connections to endpoints for which this process has descriptors at present.
        self._endpoint_descriptors = connection_counts(config.max_descriptors).endpoints
        self.client_buffers = SocketBuffers()  # of client connections that are accepted from now on
        self.accept_backlog = MAX_ACCEPT_BACKLOG
        self.upstreams = self._new_upstream_pool()
        self.gossip_socket = GossipSocket(config, self.on_gossip)
        self.attempts = AttemptTable()
        self.requests = RequestTable(
            self.clock, self.timers, self.metrics, self.attempts, self.controller_loop
        )
        # An attempt of an ended request may be executed up to its deadline, so its id is kept for as long.
        self.requests.id_retention_ms = max(
            request_class.deadline_ms for request_class in config.settings.classes
        )
        self.attempt_runner = AttemptRunner(
            self.clock, self.upstreams, self.requests, self.attempts, self.controller_loop
        )
        self._limit_memory(processes=1)
        self.connections = ConnectionLimiter(
            shareable_descriptors(config.max_descriptors), recorder=self.requests.log
        )
        self.frontend = self._new_frontend()

    def _new_upstream_pool(self) -> UpstreamPool:
        return UpstreamPool(
            self.loop,
            self.clock,
            self.timers,
            self.metrics,
            memory=self.memory,
            endpoint_idle_timeout_ms=self.config.endpoint_idle_timeout_ms,
            connect_timeout_ms=self.config.connect_timeout_ms,
            max_connections=self._endpoint_descriptors,
            report_fields=self.config.settings.report_fields,
        )

    def _new_frontend(self) -> ClientFrontend:
        return ClientFrontend(
            self.loop,
            self.clock,
            self.timers,
            role=self.role,
            memory=self.memory,
            connections=self.connections,
            request_validator=RequestValidator(self.config.settings),
            requests=self.requests,
            attempt_runner=self.attempt_runner,
            events=self.controller_loop,
            max_retry_after_ms=self.config.settings.max_retry_after_ms,
        )

    # -- discovery and peers

    def on_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Apply a snapshot or an incremental update from discovery, and report it to the controller.

        Entries that the update displaces are reported as removed.
        """
        displaced = self.upstreams.update(endpoint_list)
        endpoints = [entry.endpoint for entry in endpoint_list.entries]
        endpoints += [replace(entry.endpoint, state=EndpointState.REMOVED) for entry in displaced]
        self.controller_loop.enqueue(EndpointUpdate(tuple(endpoints), endpoint_list.is_snapshot))

    def on_gossip(self, sender: int, data: bytes) -> None:
        """Report a peer's datagram, and forward it to the predecessor, if one still runs.

        The datagram may concern requests that are open in the predecessor.
        """
        self.controller_loop.enqueue(GossipReceived(sender, data))
        predecessor = self.role.predecessor
        if predecessor is not None:
            predecessor.send_gossip(sender, data)

    def on_sibling_gossip(self, sender: int, data: bytes) -> None:
        """Report a datagram that a sibling process of this gateway has sent or forwarded."""
        self.controller_loop.enqueue(GossipReceived(sender, data))

    # -- actions

    def send_attempt(self, action: SendAttempt) -> None:
        """Send an attempt, unless its request has ended or its client has disconnected."""
        self.attempt_runner.send_attempt(action)

    def reject(self, action: Reject) -> None:
        """Answer 503 with the time after which the client may retry, if the request is open."""
        self.requests.reject(action.id, action.retry_after_ms)

    def fail(self, action: Fail) -> None:
        """Answer 502, if the request is open."""
        self.requests.fail(action.id)

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt, if it is in flight."""
        self.attempt_runner.cancel_attempt(action)

    def forward_response(self, action: ForwardResponse) -> None:
        """Forward the response of an attempt from its first byte on, if it is being buffered."""
        self.attempt_runner.forward_response(action)

    def set_timer(self, action: SetTimer) -> None:
        """Report TimerFired at the first multiple of the tick that is not before the timer's time.

        Timers within one tick thus expire together, and cause a single call of the controller.
        """
        fired = TimerFired(action.name)
        earliest_ms = self.clock.now() + action.after_ms
        tick_ms = max(1.0, self.config.settings.tick_ms)
        fires_at_ms = math.ceil(earliest_ms / tick_ms) * tick_ms
        self.timers.call_at(fires_at_ms, lambda: self.controller_loop.enqueue(fired))

    def send_gossip(self, action: SendGossip) -> None:
        """Send a datagram to a peer, or to the sibling process if the receiver is this gateway."""
        if action.receiver != self.config.settings.gateway_number:
            self.gossip_socket.send(action.receiver, action.data)
            return
        sibling = self.role.sibling
        if sibling is not None:
            sibling.send_gossip(action.receiver, action.data)

    def check_health(self, action: CheckHealth) -> None:
        """Do nothing, because this service sends no health checks to endpoints."""

    def subscribe_endpoints(self, action: SubscribeEndpoints) -> None:
        """Do nothing, because the process watches discovery from its start."""

    # -- the admin endpoint

    @property
    def is_ready(self) -> bool:
        """Whether this process is ready to serve clients."""
        return self.role.is_ready

    def metrics_text(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        listed, avoided = self.controller_loop.controller.endpoint_counts(self.clock.now())
        return self.metrics.text(
            open_requests=len(self.requests.open_requests),
            registry_entries=listed,
            out_of_rotation=avoided,
        )

    def diagnostics_text(self) -> bytes:
        """Return the ends of requests and what this process holds in the text format of Prometheus."""
        policy_counts = self.controller_loop.controller.open_counts()
        return self.metrics.diagnostics_text(
            {
                "reserved_bytes": self.memory.reserved_bytes,
                "capacity_bytes": int(self.memory.capacity_bytes),
                "client_connections": len(self.connections),
                "endpoint_connections": self.upstreams.connection_count,
                "request_ids": len(self.requests.ids),
                "customers": self.controller_loop.controller.customer_count(),
                "open_requests": len(self.requests.open_requests),
                "attempts": len(self.attempts.in_flight),
                "policy_open_requests": policy_counts.requests,
                "policy_attempts": policy_counts.attempts,
                "policy_executing_attempts": policy_counts.executing_attempts,
            }
        )

    # -- hot restart

    def retire(self, successor: SuccessorLink) -> GatewayState:
        """Stop serving in favour of the successor, and return the controller's state for it.

        Open requests are finished by this process.
        """
        self.role.retire(successor)
        self.gossip_socket.stop_receiving()
        self.upstreams.close_idle_connections()
        # The number of endpoint connections of this process may no longer grow.
        self._endpoint_descriptors = self.upstreams.connection_count
        self._limit_memory(processes=2)
        return hot_restart.export_state(self.controller_loop.controller, self.clock.now())

    def take_over(
        self, predecessor: SiblingLink, state: GatewayState, request_ids: list[str], descriptors: int
    ) -> None:
        """Take over the service of the predecessor.

        Args:
            predecessor: The link to the predecessor, which still finishes its open requests.
            state: The state of the predecessor's controller.
            request_ids: The ids of open and recent requests, which new requests must not repeat.
            descriptors: The number of descriptors that this process may use until the predecessor ends.
        """
        self.role.follow(predecessor)
        self.requests.ids.restore(request_ids)
        hot_restart.restore_state(self.controller_loop.controller, self.clock.now(), state)
        self._limit_descriptors(descriptors)
        self._limit_memory(processes=2)

    def claim_id(self, request_id: bytes, on_result: Callable[[bool], None]) -> None:
        """Decide whether the predecessor may open a request with this id, and pass the result on.

        If this process has a successor itself, the successor decides.
        """
        successor = self.role.successor
        if successor is None:
            on_result(self.requests.ids.try_claim(request_id))
        else:
            successor.claim_id(request_id, on_result)

    def on_predecessor_ended(self) -> None:
        """Use all descriptors of the configured limit, because the predecessor has released its own."""
        self.role.on_predecessor_ended()
        self.requests.ids.on_predecessor_ended()
        hot_restart.on_predecessor_ended(self.controller_loop.controller)
        self._limit_descriptors(self.config.max_descriptors)
        self._limit_memory(processes=1)

    def on_successor_ended(self) -> bool:
        """Resume service after the end of the successor, unless this process is shutting down.

        Returns whether this process serves again.
        """
        self.role.on_successor_ended()
        if not self.role.is_ready:
            return False
        hot_restart.end_retirement(self.controller_loop.controller, self.clock.now())
        self.gossip_socket.start_receiving()
        self._limit_descriptors(self.config.max_descriptors)
        self._limit_memory(processes=1)
        return True

    def _limit_descriptors(self, descriptors: int) -> None:
        self.connections.update_limits(shareable_descriptors(descriptors))
        self._endpoint_descriptors = connection_counts(descriptors).endpoints

    def _limit_memory(self, processes: int) -> None:
        """Divide the memory between the processes of this gateway that run at present."""
        limits = memory_limits(
            self.config.max_memory_bytes,
            connection_counts(self.config.max_descriptors),
            processes,
            self._occupied,
        )
        self.client_buffers = limits.client_buffers
        self.accept_backlog = limits.accept_backlog
        self.upstreams.socket_buffers = limits.endpoint_buffers
        self.upstreams.set_max_connections(min(self._endpoint_descriptors, limits.endpoint_connections))
        self.memory.capacity_bytes = limits.buffered_bytes
        self.requests.max_ids = limits.request_ids
        self.controller_loop.controller.limit_customers(limits.customers)

    # -- the phases of the service

    def start_serving(self) -> None:
        """Enter the phase SERVING, in which the process is ready for clients.

        The memory that the process occupies now is not available for its clients.
        """
        self._occupied = process_memory()
        self._limit_memory(processes=1 if self.role.predecessor is None else 2)
        self.role.phase = ServicePhase.SERVING

    def begin_shutdown(self, within_ms: float) -> None:
        """Continue to serve, but limit the deadlines of new requests to `within_ms` from now."""
        self.role.phase = ServicePhase.SHUTTING_DOWN
        self.requests.begin_shutdown(self.clock.now() + within_ms)

    def start_draining(self) -> None:
        """Enter the phase DRAINING, in which each connection closes after its response."""
        self.role.phase = ServicePhase.DRAINING

    def has_open_work(self) -> bool:
        """Return whether a request or a client connection is still open."""
        return bool(self.requests.open_requests or self.connections)

    def continue_draining(self) -> bool:
        """Hand over or close the idle connections, and return whether a request or a connection is open.

        To be called repeatedly until it returns False or the time for draining is over.
        """
        self.frontend.hand_over_idle_connections()
        self.frontend.close_idle_connections()
        return self.has_open_work()
