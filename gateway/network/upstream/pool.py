"""The pool of connections to endpoints, which assigns a connection to each attempt."""

from __future__ import annotations

import asyncio
import functools
import logging
import math

from gateway.config import EndpointEntry, EndpointList
from gateway.interface.events import AttemptResult
from gateway.network.admin.metrics import Metrics
from gateway.network.clock import Clock, Timers
from gateway.network.memory_budget import MemoryBudget
from gateway.network.socket_buffers import SocketBuffers, connect_socket
from gateway.network.upstream.attempt import UpstreamAttempt
from gateway.network.upstream.connection import UpstreamConnection
from gateway.network.upstream.endpoint import UpstreamEndpoint
from gateway.network.upstream.endpoint_registry import EndpointRegistry
from gateway.network.upstream.load_report import LoadReportParser

# Fraction of the endpoints' idle timeout after which the gateway closes an idle connection to an endpoint.
# The gateway closes it before the endpoint does: a request sent while the endpoint closes it would be lost.
IDLE_TIMEOUT_FRACTION = 0.6
SWEEP_INTERVAL_MS = 1000.0  # milliseconds between two checks for stalled and idle connections
OVERDUE_CHECK_INTERVAL_MS = 50.0  # milliseconds between two checks of a response after its client's time

log = logging.getLogger(__name__)

ConnectTask = asyncio.Task[tuple[asyncio.Transport, UpstreamConnection]]


class UpstreamPool:
    """A pool of connections that sends attempts to the endpoints of the endpoint list.

    The pool never sends an attempt again: a retry is a new attempt, decided by the controller.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        timers: Timers,
        metrics: Metrics,
        *,
        memory: MemoryBudget,
        endpoint_idle_timeout_ms: float,
        connect_timeout_ms: float,
        max_connections: int,
        report_fields: tuple[str, ...],
    ) -> None:
        """Create a pool without endpoints.

        Args:
            loop: The event loop that opens connections.
            clock: The clock that the times of attempts and connections refer to.
            timers: The timers of timeouts and sweeps.
            metrics: The metrics that count the attempts that have been sent.
            memory: The budget for responses that are buffered.
            endpoint_idle_timeout_ms: The time in milliseconds after which endpoints close idle connections.
            connect_timeout_ms: The time in milliseconds within which a connection has to be established.
            max_connections: The maximum number of connections to all endpoints together.
            report_fields: The fields to be read from load reports.
        """
        self.clock = clock
        self.max_connections = max_connections
        self._loop = loop
        self._timers = timers
        self._metrics = metrics
        self._memory = memory
        self.socket_buffers = SocketBuffers()  # of new connections
        self.connect_socket = connect_socket  # opens the socket of a connection
        self._load_reports = LoadReportParser(report_fields)
        self._idle_timeout_ms = endpoint_idle_timeout_ms * IDLE_TIMEOUT_FRACTION
        self._connect_timeout_ms = connect_timeout_ms
        self.registry = EndpointRegistry()
        self._streaming: set[UpstreamConnection] = set()  # connections with stall detection
        self._connection_count = 0  # connections to all endpoints that are open or being opened
        timers.call_at(clock.now() + SWEEP_INTERVAL_MS, self._sweep)

    def set_max_connections(self, max_connections: int) -> None:
        """Set the maximum number of connections to all endpoints; existing connections stay open."""
        self.max_connections = max_connections

    @property
    def connection_count(self) -> int:
        """The number of connections to all endpoints that are open or being opened."""
        return self._connection_count

    def update(self, endpoint_list: EndpointList) -> list[EndpointEntry]:
        """Apply an endpoint list and return the displaced endpoints; see `EndpointRegistry.update`."""
        return self.registry.update(endpoint_list)

    def close_idle_connections(self) -> None:
        """Close all idle connections."""
        for endpoint in self.registry.endpoints.values():
            endpoint.close_idle()

    # -- attempts

    def start_attempt(self, attempt: UpstreamAttempt, timeout_ms: float) -> None:
        """Send an attempt on an idle connection or, if there is none, on a new connection.

        The outcome is never reported before this method returns. If the request is still being received, its
        timeout does not start here: the caller has to call `start_timeout` after the last byte.
        """
        now_ms = self.clock.now()
        attempt.started_ms = now_ms
        if attempt.upload is None or attempt.upload.is_complete:
            self.start_timeout(attempt, timeout_ms)
        if attempt.send_by_ms < math.inf:
            attempt.send_by_timer = self._timers.call_at(attempt.send_by_ms, attempt.expire_if_unsent)
        # If the event loop was delayed, the attempt may have expired since the controller decided to send it.
        if attempt.may_send(now_ms):
            self._send_or_connect(attempt, now_ms)
        else:
            self._loop.call_soon(attempt.fail, AttemptResult.NOT_SENT)

    def start_timeout(self, attempt: UpstreamAttempt, timeout_ms: float) -> None:
        """Fail the attempt with TIMEOUT if it has not ended `timeout_ms` from now."""
        attempt.timeout_timer = self._timers.call_after_events_at(
            self.clock.now() + timeout_ms, lambda: attempt.fail(AttemptResult.TIMEOUT)
        )

    def _send_or_connect(self, attempt: UpstreamAttempt, now_ms: float) -> None:
        endpoint = self.registry.endpoints.get(attempt.endpoint_id)
        connection = None if endpoint is None else endpoint.take_idle_connection(now_ms)
        if connection is not None:
            connection.send_attempt(attempt)
        elif endpoint is not None and self._may_connect(endpoint):
            self._connect(endpoint, attempt, now_ms)
        else:
            self._loop.call_soon(attempt.fail, AttemptResult.CONNECT_FAILED)

    def _may_connect(self, endpoint: UpstreamEndpoint) -> bool:
        """Return whether a connection may be opened; in a full pool, close the longest idle one for it."""
        if not endpoint.has_capacity():
            return False
        if self._connection_count >= self.max_connections:
            self._close_longest_idle()
        return self._connection_count < self.max_connections

    def _close_longest_idle(self) -> None:
        """Close the connection to any endpoint that has been idle for the longest time, if one is idle."""
        idle = [endpoint.idle[0] for endpoint in self.registry.endpoints.values() if endpoint.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since_ms).discard()

    def _connect(self, endpoint: UpstreamEndpoint, attempt: UpstreamAttempt, now_ms: float) -> None:
        """Open a connection; `_on_connect_ended` then sends the attempt on it."""
        connection = UpstreamConnection(
            endpoint, self, self.clock, self._timers, self._metrics, self._load_reports, self._memory
        )
        endpoint.connection_count += 1
        self._connection_count += 1
        endpoint.waiting_attempts.append(attempt)
        attempt.connect_timer = self._timers.call_at(
            now_ms + self._connect_timeout_ms, lambda: attempt.fail(AttemptResult.CONNECT_FAILED)
        )
        connect_task = self._loop.create_task(self._open_connection(connection, endpoint))
        attempt.connect_task = connect_task
        connect_task.add_done_callback(functools.partial(self._on_connect_ended, attempt, connection))

    async def _open_connection(
        self, connection: UpstreamConnection, endpoint: UpstreamEndpoint
    ) -> tuple[asyncio.Transport, UpstreamConnection]:
        """Connect a new socket; raises OSError if that fails."""
        sock = await self.connect_socket(self._loop, endpoint.entry.address, self.socket_buffers)
        try:
            return await self._loop.create_connection(lambda: connection, sock=sock)
        except BaseException:
            sock.close()
            raise

    def _on_connect_ended(
        self, attempt: UpstreamAttempt, connection: UpstreamConnection, connect_task: ConnectTask
    ) -> None:
        """Send the attempt on its new connection; if there is none or the attempt may not be sent, fail it.

        The event loop also calls this method for a cancelled task, even if it was cancelled before its first
        step.
        """
        endpoint = connection.endpoint
        endpoint.waiting_attempts.remove(attempt)
        attempt.connect_task = None
        if attempt.connect_timer is not None:
            attempt.connect_timer.cancel()
        is_connected = _is_connected(connect_task, endpoint) and not connection.is_closed
        # The send deadline may have passed although its timer has not fired yet.
        if not attempt.may_send(self.clock.now()):
            attempt.fail(AttemptResult.NOT_SENT)
        if is_connected and not attempt.is_ended and not endpoint.is_retired:
            connection.send_attempt(attempt)
        else:
            connection.discard()
            attempt.fail(AttemptResult.CONNECT_FAILED)

    # -- connections

    def on_connection_reusable(self, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse; close it if its endpoint is retired or has enough idle connections."""
        if connection.is_closed or not connection.endpoint.keep_idle_connection(connection, self.clock.now()):
            connection.discard()

    def on_connection_closed(self, connection: UpstreamConnection) -> None:
        """Remove a connection that has been closed or could not be opened."""
        self._connection_count -= 1
        connection.endpoint.on_connection_closed(connection)

    def on_streaming_started(self, connection: UpstreamConnection) -> None:
        """Start stall detection for a connection that forwards a request body or a response."""
        self._streaming.add(connection)

    def on_response_overdue(self, connection: UpstreamConnection) -> None:
        """Check in short intervals whether a response stalls whose client's time is over."""
        self._timers.call_at(
            self.clock.now() + OVERDUE_CHECK_INTERVAL_MS, lambda: self._check_overdue(connection)
        )

    def on_streaming_ended(self, connection: UpstreamConnection) -> None:
        """Stop stall detection for a connection; has no effect if it was not started."""
        self._streaming.discard(connection)

    def _check_overdue(self, connection: UpstreamConnection) -> None:
        if connection not in self._streaming:
            return
        if connection.is_stalled(self.clock.now()):
            connection.abort_attempt()
        else:
            self.on_response_overdue(connection)

    def _sweep(self) -> None:
        """Abort stalled attempts, and close idle connections before the endpoints' idle timeout."""
        now_ms = self.clock.now()
        self._timers.call_at(now_ms + SWEEP_INTERVAL_MS, self._sweep)
        for connection in [connection for connection in self._streaming if connection.is_stalled(now_ms)]:
            connection.abort_attempt()
        idle_before_ms = now_ms - self._idle_timeout_ms + SWEEP_INTERVAL_MS
        for endpoint in self.registry.endpoints.values():
            endpoint.close_idle_before(idle_before_ms)


def _is_connected(connect_task: ConnectTask, endpoint: UpstreamEndpoint) -> bool:
    """Return whether the connection was established, and log an error unless it is an OSError."""
    if connect_task.cancelled():
        return False
    error = connect_task.exception()
    if error is not None and not isinstance(error, OSError):
        host, port = endpoint.entry.address
        log.error("upstream: connecting to %s:%d failed unexpectedly", host, port, exc_info=error)
    return error is None
