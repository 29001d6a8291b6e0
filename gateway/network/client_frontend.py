"""What clients' connections report: they are limited, and their requests are opened."""

from __future__ import annotations

import asyncio

from gateway.interface.events import BodyReleased, RequestArrived, RequestCompleted
from gateway.network.attempt_runner import AttemptRunner
from gateway.network.clients.connection_limiter import SWEEP_INTERVAL_MS, ConnectionLimiter
from gateway.network.clients.open_request import OpenRequest
from gateway.network.clients.received_request import ReceivedRequest
from gateway.network.clients.request_handler import HandledConnection
from gateway.network.clients.request_validator import RequestValidator
from gateway.network.clock import Clock, Timers
from gateway.network.controller_loop import EventSink
from gateway.network.process_role import ProcessRole, ServicePhase
from gateway.network.request_table import DEADLINE_MARGIN_MS, RequestTable

# Eviction delay, ms: new connections that carry a request are read before connections are evicted.
EVICTION_DELAY_MS = 1.0


class ClientFrontend:
    """The handler of all client connections of a gateway (`RequestHandler`)."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        timers: Timers,
        *,
        role: ProcessRole,
        connections: ConnectionLimiter,
        request_validator: RequestValidator,
        requests: RequestTable,
        attempt_runner: AttemptRunner,
        events: EventSink,
    ) -> None:
        """Enter requests in this table, and report them to `events`."""
        self.clock = clock
        self.timers = timers
        self.connections = connections
        self._loop = loop
        self._role = role
        self._request_validator = request_validator
        self._requests = requests
        self._attempt_runner = attempt_runner
        self._events = events
        self._is_eviction_scheduled = False
        timers.call_at(clock.now() + SWEEP_INTERVAL_MS, self._sweep)

    @property
    def ready(self) -> bool:
        """Whether this process serves."""
        return self._role.is_ready

    @property
    def draining(self) -> bool:
        """Whether each connection closes after its response."""
        return self._role.phase is ServicePhase.DRAINING

    # -- connections

    def on_client_connected(self, client: HandledConnection) -> None:
        """Add a new connection, or one that the predecessor has handed over; close it above the limit."""
        if client.is_transferred:
            self.connections.add_transferred(client, self.clock.now())
        elif not self.connections.add(client, self.clock.now()):
            client.abort()
        elif len(self.connections) > self.connections.max_kept and not self._is_eviction_scheduled:
            self._is_eviction_scheduled = True
            self.timers.call_at(self.clock.now() + EVICTION_DELAY_MS, self._evict)

    def on_message_started(self, client: HandledConnection) -> None:
        """Note that a request begins to be received."""
        self.connections.on_message_started(client, self.clock.now())

    def on_client_idle(self, client: HandledConnection) -> None:
        """Note that a connection is idle after a response; hand it over if a successor serves."""
        self.connections.on_idle(client, self.clock.now())
        if self._role.is_retired:
            self._loop.call_soon(self.hand_over_idle_connections)

    def on_client_closed(self, client: HandledConnection, request: OpenRequest | None) -> None:
        """Remove a connection that has ended, and close the request that was open on it."""
        self.connections.remove(client)
        if request is not None:
            self.on_client_gone(request)

    def hand_over_idle_connections(self) -> None:
        """Hand over each idle connection to the successor, if there is one."""
        successor = self._role.successor
        if successor is None:
            return
        for client in list(self.connections.open_connections):
            if client.is_transferable():
                successor.hand_over(client)

    def close_idle_connections(self) -> None:
        """Close each idle connection."""
        for client in list(self.connections.open_connections):
            client.close_if_idle()

    def _evict(self) -> None:
        self._is_eviction_scheduled = False
        self.connections.evict_excess()

    def _sweep(self) -> None:
        now_ms = self.clock.now()
        self.timers.call_at(now_ms + SWEEP_INTERVAL_MS, self._sweep)
        self.hand_over_idle_connections()
        self._requests.drop_disconnected_uploads()
        self.connections.sweep(now_ms, self.draining)

    # -- requests

    def open_request(self, client: HandledConnection, received: ReceivedRequest) -> OpenRequest:
        """Open a request that is complete, or whose large body is still being received.

        Raises BadRequestError.
        """
        is_complete = received.upload is None
        parsed = self._request_validator.validate(
            received.method, received.target, received.headers, received.has_body
        )
        request = self._requests.add(client, parsed, received)
        deadline_at_ms = self._requests.deadline_at_ms(request)
        if is_complete:
            self._requests.start_guard_timer(request, deadline_at_ms)
            self.connections.on_request_complete(client)
        self._events.enqueue(
            RequestArrived(
                request.id,
                parsed.customer,
                request.class_name,
                parsed.plan,
                deadline_at_ms - DEADLINE_MARGIN_MS,
                parsed.units,
                parsed.first,
                parsed.spread,
                parsed.is_client_retry,
                is_complete,
            )
        )
        return request

    def on_request_completed(self, request: OpenRequest) -> None:
        """Start the timeouts of a request whose large body has been received completely."""
        deadline_at_ms = self._requests.deadline_at_ms(request)
        self._requests.start_guard_timer(request, deadline_at_ms)
        timeout_ms = deadline_at_ms - DEADLINE_MARGIN_MS - self.clock.now()
        self._attempt_runner.on_request_completed(request, timeout_ms)
        self._events.enqueue(RequestCompleted(request.id, deadline_at_ms - DEADLINE_MARGIN_MS))

    def on_body_released(self, request: OpenRequest) -> None:
        """Report that a part of a request's body is no longer buffered."""
        self._events.enqueue(BodyReleased(request.id))

    def on_client_gone(self, request: OpenRequest) -> None:
        """Close a request whose client has disconnected."""
        self._requests.on_client_disconnected(request)
