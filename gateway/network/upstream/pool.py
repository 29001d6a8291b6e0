"""The choice of a connection for each attempt, and the limits on connections."""

from __future__ import annotations

import asyncio
import functools
import logging
import math

from gateway.config import EndpointEntry, EndpointList
from gateway.interface.events import AttemptResult
from gateway.network.admin.metrics import Metrics
from gateway.network.clock import Clock, Timers
from gateway.network.upstream.attempt import UpstreamAttempt
from gateway.network.upstream.connection import UpstreamConnection
from gateway.network.upstream.endpoint import UpstreamEndpoint
from gateway.network.upstream.endpoint_registry import EndpointRegistry
from gateway.network.upstream.load_report import LoadReportParser

# Fraction of an endpoint's idle timeout after which the gateway closes an idle connection itself, so that the
# endpoint's close never crosses a request.
IDLE_TIMEOUT_FRACTION = 0.6
SWEEP_INTERVAL_MS = 1000.0  # milliseconds between two searches for stalled and idle connections

log = logging.getLogger(__name__)

ConnectTask = asyncio.Task[tuple[asyncio.Transport, UpstreamConnection]]


class UpstreamPool:
    """Sends attempts to the listed endpoints on pooled connections.

    No attempt is sent twice; a retry is another attempt.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        timers: Timers,
        metrics: Metrics,
        *,
        idle_ms: float,
        connect_timeout_ms: float,
        max_connections: int,
        report_fields: tuple[str, ...],
    ) -> None:
        """Begin without endpoints.

        `idle_ms` is the time after which endpoints close idle connections, `max_connections` the limit for
        all endpoints together, and `report_fields` the fields of a load report.
        """
        self.clock = clock
        self.max_connections = max_connections
        self._loop = loop
        self._timers = timers
        self._metrics = metrics
        self._load_reports = LoadReportParser(report_fields)
        self._idle_timeout_ms = idle_ms * IDLE_TIMEOUT_FRACTION
        self._connect_timeout_ms = connect_timeout_ms
        self.registry = EndpointRegistry()
        self._streaming: set[UpstreamConnection] = set()  # connections that forward a request or a response
        self._connection_count = 0  # open or being opened, to all endpoints
        timers.at(clock.now() + SWEEP_INTERVAL_MS, self._sweep)

    def set_max_connections(self, max_connections: int) -> None:
        """Change the limit on the connections to all endpoints."""
        self.max_connections = max_connections

    @property
    def connection_count(self) -> int:
        """Return the number of connections that are open or being opened."""
        return self._connection_count

    def update(self, endpoint_list: EndpointList) -> list[EndpointEntry]:
        """Apply an endpoint list; see `EndpointRegistry.update`."""
        return self.registry.update(endpoint_list)

    def close_idle_connections(self) -> None:
        """Close all idle connections."""
        for endpoint in self.registry.endpoints.values():
            endpoint.close_idle()

    # -- attempts

    def start(self, attempt: UpstreamAttempt, timeout_ms: float) -> None:
        """Send an attempt on an idle connection, or else on a new one.

        The outcome is never reported before this method returns. The timeout of a request that is still being
        received starts with its last byte, by `set_timeout`.
        """
        now_ms = self.clock.now()
        attempt.started_ms = now_ms
        if attempt.upload is None or attempt.upload.is_complete:
            self.set_timeout(attempt, timeout_ms)
        if attempt.send_by_ms < math.inf:
            attempt.send_by_timer = self._timers.at(attempt.send_by_ms, attempt.expire)
        # The event loop may have been delayed since the controller decided to send.
        if attempt.may_send(now_ms):
            self._send(attempt, now_ms)
        else:
            self._loop.call_soon(attempt.fail, AttemptResult.NOT_SENT)

    def set_timeout(self, attempt: UpstreamAttempt, timeout_ms: float) -> None:
        """End the attempt if it has no response after this time from now."""
        attempt.timeout_timer = self._timers.at(
            self.clock.now() + timeout_ms, lambda: attempt.fail(AttemptResult.TIMEOUT)
        )

    def _send(self, attempt: UpstreamAttempt, now_ms: float) -> None:
        endpoint = self.registry.endpoints.get(attempt.endpoint_id)
        connection = None if endpoint is None else endpoint.take_idle(now_ms)
        if connection is not None:
            connection.send_attempt(attempt)
        elif endpoint is not None and self._may_connect(endpoint):
            self._connect(endpoint, attempt, now_ms)
        else:
            self._loop.call_soon(attempt.fail, AttemptResult.CONNECT_FAILED)

    def _may_connect(self, endpoint: UpstreamEndpoint) -> bool:
        return endpoint.has_capacity() and self._connection_count < self.max_connections

    def _connect(self, endpoint: UpstreamEndpoint, attempt: UpstreamAttempt, now_ms: float) -> None:
        """Open a connection for an attempt."""
        connection = UpstreamConnection(endpoint, self, self.clock, self._metrics, self._load_reports)
        endpoint.connection_count += 1
        self._connection_count += 1
        endpoint.connecting.append(attempt)
        attempt.connect_timer = self._timers.at(
            now_ms + self._connect_timeout_ms, lambda: attempt.fail(AttemptResult.CONNECT_FAILED)
        )
        connect_task = self._loop.create_task(
            self._loop.create_connection(lambda: connection, *endpoint.entry.address)
        )
        attempt.connect_task = connect_task
        connect_task.add_done_callback(functools.partial(self._on_connect_ended, attempt, connection))

    def _on_connect_ended(
        self, attempt: UpstreamAttempt, connection: UpstreamConnection, connect_task: ConnectTask
    ) -> None:
        """Send the attempt on its new connection, or fail it.

        The event loop also calls this for a cancelled task, even for one that never began.
        """
        endpoint = connection.endpoint
        endpoint.connecting.remove(attempt)
        attempt.connect_task = None
        if attempt.connect_timer is not None:
            attempt.connect_timer.cancel()
        is_connected = _is_connected(connect_task, endpoint) and not connection.is_closed
        if not attempt.may_send(self.clock.now()):  # its timer may be due as well, and expire later
            attempt.fail(AttemptResult.NOT_SENT)
        if is_connected and not attempt.is_ended and not endpoint.is_retired:
            connection.send_attempt(attempt)
        else:
            connection.discard()
            attempt.fail(AttemptResult.CONNECT_FAILED)

    # -- connections

    def on_connection_reusable(self, connection: UpstreamConnection) -> None:
        """Keep a connection whose exchange is complete for reuse, or close it."""
        if connection.is_closed or not connection.endpoint.keep_idle(connection, self.clock.now()):
            connection.discard()

    def on_connection_closed(self, connection: UpstreamConnection) -> None:
        """Forget a connection that is closed, or that never opened."""
        self._connection_count -= 1
        connection.endpoint.on_connection_closed(connection)

    def on_streaming_started(self, connection: UpstreamConnection) -> None:
        """Begin to watch a connection that forwards a request or a response for stalls."""
        self._streaming.add(connection)

    def on_streaming_ended(self, connection: UpstreamConnection) -> None:
        """Stop watching the connection for stalls."""
        self._streaming.discard(connection)

    def _sweep(self) -> None:
        """Abort stalled attempts, and close connections before their endpoints' idle timeout."""
        now_ms = self.clock.now()
        self._timers.at(now_ms + SWEEP_INTERVAL_MS, self._sweep)
        for connection in [one for one in self._streaming if one.is_stalled(now_ms)]:
            connection.abort_attempt()
        idle_before_ms = now_ms - self._idle_timeout_ms + SWEEP_INTERVAL_MS
        for endpoint in self.registry.endpoints.values():
            endpoint.close_idle_before(idle_before_ms)


def _is_connected(connect_task: ConnectTask, endpoint: UpstreamEndpoint) -> bool:
    """Return whether a connection was established, and log an error other than the network's."""
    if connect_task.cancelled():
        return False
    error = connect_task.exception()
    if error is not None and not isinstance(error, OSError):
        host, port = endpoint.entry.address
        log.error("upstream: connecting to %s:%d failed unexpectedly", host, port, exc_info=error)
    return error is None
