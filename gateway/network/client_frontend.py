"""Handles client connections: limits them, opens their requests, and reports the events to the controller."""

from __future__ import annotations

import asyncio
import math
from typing import NoReturn

from gateway.errors import OverloadedError
from gateway.interface.events import BodyReleased, DeadlineUpdated, RequestArrived, RequestCompleted
from gateway.network.attempt_runner import AttemptRunner
from gateway.network.clients import header_names
from gateway.network.clients.connection_limiter import SWEEP_INTERVAL_MS, ConnectionLimiter
from gateway.network.clients.input_throttle import InputThrottle
from gateway.network.clients.open_request import OpenRequest
from gateway.network.clients.received_request import ReceivedRequest
from gateway.network.clients.request_handler import HandledConnection
from gateway.network.clients.request_validator import RequestValidator, ValidatedRequest
from gateway.network.clock import Clock, Timers
from gateway.network.controller_loop import EventSink
from gateway.network.memory_budget import MemoryBudget
from gateway.network.process_role import ProcessRole, ServicePhase
from gateway.network.request_table import DEADLINE_MARGIN_MS, OVERLOAD_RETRY_AFTER_MS, RequestTable

# Milliseconds between a new connection above the eviction threshold and the eviction. In this time the
# requests on other new connections are read, so that these connections are not evicted as unused.
EVICTION_DELAY_MS = 1.0

# Number of times that an open request keeps its target and its content type.
HEAD_COPIES = 3

# Bytes of these copies that the memory of a request covers.
SHORT_HEAD_BYTES = 1024


class ClientFrontend:
    """Handles all client connections of a process; implements `RequestHandler`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        timers: Timers,
        *,
        role: ProcessRole,
        memory: MemoryBudget,
        connections: ConnectionLimiter,
        request_validator: RequestValidator,
        requests: RequestTable,
        attempt_runner: AttemptRunner,
        events: EventSink,
        max_retry_after_ms: float,
    ) -> None:
        """Start the periodic sweep; requests are added to `requests`, and events are reported to `events`."""
        self.clock = clock
        self.timers = timers
        self.memory = memory
        self.connections = connections
        self.input_throttle = InputThrottle(clock, timers)
        self._loop = loop
        self._role = role
        self._request_validator = request_validator
        self._requests = requests
        self._attempt_runner = attempt_runner
        self._events = events
        self._max_retry_after_ms = max_retry_after_ms
        self._is_eviction_scheduled = False
        timers.call_at(clock.now() + SWEEP_INTERVAL_MS, self._sweep)

    @property
    def is_ready(self) -> bool:
        """Whether this process is ready to serve clients."""
        return self._role.is_ready

    @property
    def is_draining(self) -> bool:
        """Whether each connection must close after its current response."""
        return self._role.phase is ServicePhase.DRAINING

    # -- connections

    def may_admit(self, starting_count: int) -> bool:
        """Return whether there is room for a new connection; otherwise record it, and make room for the next.

        `starting_count` is the number of accepted connections that are not registered yet.
        """
        if self.connections.may_admit(starting_count):
            return True
        self._schedule_eviction()
        return False

    def on_client_connected(self, client: HandledConnection) -> None:
        """Register a connection that is new or that the predecessor has handed over.

        A new connection is aborted if there are too many. Above the eviction threshold it is accepted, and
        excess connections are evicted after EVICTION_DELAY_MS.
        """
        if client.is_transferred:
            self.connections.add_transferred(client, self.clock.now())
        elif not self.connections.add(client, self.clock.now()):
            client.abort()
            self._schedule_eviction()
        elif len(self.connections) > self.connections.eviction_threshold:
            self._schedule_eviction()

    def on_message_started(self, client: HandledConnection) -> None:
        """Start the input timeout of a request whose first byte has been received."""
        self.connections.on_message_started(client, self.clock.now())

    def on_connection_idle(self, client: HandledConnection) -> None:
        """Start the idle time of a connection, and schedule its handover if a successor serves."""
        self.connections.on_idle(client, self.clock.now())
        if self._role.is_retired:
            self._loop.call_soon(self.hand_over_idle_connections)

    def on_connection_closed(self, client: HandledConnection, request: OpenRequest | None) -> None:
        """Deregister a connection that has closed, and close `request` if one was open on it."""
        self.connections.remove(client)
        if request is not None:
            self.on_client_disconnected(request)

    def hand_over_idle_connections(self) -> None:
        """Hand over each idle client connection to the successor; without a successor, do nothing."""
        successor = self._role.successor
        if successor is None:
            return
        for client in list(self.connections.open_connections):
            if client.is_transferable():
                successor.hand_over(client)

    def close_idle_connections(self) -> None:
        """Close each client connection without a request that is open, being received or unread."""
        for client in list(self.connections.open_connections):
            client.close_if_idle()

    def _schedule_eviction(self) -> None:
        if not self._is_eviction_scheduled:
            self._is_eviction_scheduled = True
            self.timers.call_at(self.clock.now() + EVICTION_DELAY_MS, self._evict_excess)

    def _evict_excess(self) -> None:
        self._is_eviction_scheduled = False
        self.connections.evict_excess(self.clock.now())

    def _sweep(self) -> None:
        now_ms = self.clock.now()
        self.timers.call_at(now_ms + SWEEP_INTERVAL_MS, self._sweep)
        self.hand_over_idle_connections()
        self._requests.close_disconnected_uploads()
        self.connections.sweep(now_ms, self.is_draining, is_memory_scarce=self.memory.is_scarce)

    # -- requests

    def open_request(
        self, client: HandledConnection, received: ReceivedRequest, sent_at_ms: float
    ) -> OpenRequest:
        """Validate and open a request, and report its arrival to the controller.

        The request is complete, or its large body is still being received. The client's time runs from
        `sent_at_ms` on.

        Raises:
            BadRequestError: The request is rejected; the error has the status of the response.
            OverloadedError: Too little memory is left for the request; it is counted as rejected.
        """
        is_complete = received.upload is None
        validated = self._request_validator.validate(
            received.method, received.target, received.headers, received.has_body
        )
        # The target and the content type are kept by the request, and once more by its attempts.
        content_type = received.headers.get(header_names.CONTENT_TYPE, b"")
        long_head_bytes = max(0, HEAD_COPIES * (len(received.target) + len(content_type)) - SHORT_HEAD_BYTES)
        if not client.memory.window.try_cover_window(long_head_bytes):
            self._reject_overload(client, validated, is_complete=is_complete)
        request = self._requests.add(client, validated, received)
        deadline_at_ms = self._requests.deadline_at_ms(request, sent_at_ms)
        if is_complete:
            self._requests.start_guard_timer(request, deadline_at_ms)
            self.connections.on_request_complete(client)
        successor = self._role.successor
        if successor is None:
            self._report_arrival(request, validated, deadline_at_ms)
        else:
            successor.claim_id(
                request.request_id,
                lambda is_granted: self._on_id_claimed(request, validated, deadline_at_ms, is_granted),
            )
        return request

    def _on_id_claimed(
        self, request: OpenRequest, validated: ValidatedRequest, deadline_at_ms: float, is_granted: bool
    ) -> None:
        """Report the arrival of a request, or answer 409 if the successor knows its id already."""
        if not is_granted:
            self._requests.reject_duplicate(request)
        elif request.id in self._requests.open_requests:
            self._report_arrival(request, validated, deadline_at_ms)

    def _report_arrival(
        self, request: OpenRequest, validated: ValidatedRequest, deadline_at_ms: float
    ) -> None:
        self._events.enqueue(
            RequestArrived(
                request.id,
                validated.customer,
                request.class_name,
                validated.plan,
                deadline_at_ms - DEADLINE_MARGIN_MS,
                validated.units,
                validated.first_gateway,
                validated.spread,
                validated.is_client_retry,
                request.upload is None or request.upload.is_complete,
            )
        )

    def _reject_overload(
        self, client: HandledConnection, validated: ValidatedRequest, *, is_complete: bool
    ) -> NoReturn:
        """Count a request for which no window can be reserved as rejected, and raise OverloadedError."""
        if is_complete:
            self.connections.on_request_complete(client)
        self._requests.count_rejection(validated.request_class.name)
        raise OverloadedError(min(OVERLOAD_RETRY_AFTER_MS, self._max_retry_after_ms))

    def on_upload_completed(self, request: OpenRequest, sent_at_ms: float) -> None:
        """Start the timeouts of a request whose large body is complete, and report the end of the body."""
        deadline_at_ms = self._requests.deadline_at_ms(request, sent_at_ms)
        self._start_late_guard_timer(request, deadline_at_ms)
        timeout_ms = deadline_at_ms - DEADLINE_MARGIN_MS - self.clock.now()
        self._attempt_runner.on_request_completed(request, timeout_ms)
        self._events.enqueue(RequestCompleted(request.id, deadline_at_ms - DEADLINE_MARGIN_MS))

    def on_request_held_up(self, request: OpenRequest, since_ms: float) -> None:
        """Start the deadline of an incomplete request that the gateway does not read."""
        deadline_at_ms = self._requests.deadline_at_ms(request, since_ms)
        self._start_late_guard_timer(request, deadline_at_ms)
        self._events.enqueue(DeadlineUpdated(request.id, deadline_at_ms - DEADLINE_MARGIN_MS))

    def _start_late_guard_timer(self, request: OpenRequest, deadline_at_ms: float) -> None:
        """Start the guard timer of a request whose deadline may have passed already.

        The controller gets the time to answer it before.
        """
        earliest_at_ms = self.clock.now() + 2 * DEADLINE_MARGIN_MS
        self._requests.start_guard_timer(request, max(deadline_at_ms, earliest_at_ms))

    def on_request_flowing(self, request: OpenRequest) -> None:
        """Stop the deadline of an incomplete request whose client is writing it."""
        self._requests.stop_guard_timer(request)
        self._events.enqueue(DeadlineUpdated(request.id, math.inf))

    def on_body_released(self, request: OpenRequest) -> None:
        """Report that the start of a request's body has been forwarded and is no longer buffered."""
        self._events.enqueue(BodyReleased(request.id))

    def on_client_disconnected(self, request: OpenRequest) -> None:
        """Close an open request whose client has disconnected; it gets no response."""
        self._requests.on_client_disconnected(request)
