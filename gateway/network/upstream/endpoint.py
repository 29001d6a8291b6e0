"""A process of an endpoint, as listed by discovery, and the connections to it."""

from __future__ import annotations

from typing import Protocol

from gateway.config import EndpointEntry
from gateway.interface.events import AttemptResult
from gateway.network.upstream.attempt import UpstreamAttempt

MAX_CONNECTIONS_PER_ENDPOINT = 128  # maximum number of connections to one endpoint, in use or idle
MAX_IDLE_CONNECTIONS_PER_ENDPOINT = 24  # maximum number of idle connections kept for reuse per endpoint
# Milliseconds for which a connection is not reused after a response. If a duplicate of the response arrives
# within this time, the connection is closed. Otherwise the duplicate would be mistaken for the response to
# the next request.
REUSE_DELAY_MS = 10.0


class PooledConnection(Protocol):
    """The interface of a connection that its endpoint calls."""

    idle_since_ms: float

    def has_unread_input(self) -> bool:
        """Return whether the socket has unread bytes or has been closed by the endpoint."""

    def send_attempt(self, attempt: UpstreamAttempt) -> None:
        """Send the request of an attempt."""

    def discard(self) -> None:
        """Close the connection without waiting for buffered data."""


class UpstreamEndpoint:
    """A process of an endpoint and the connections to it.

    A restart of an endpoint is represented by a new object, which shares no connection with the previous one.
    """

    __slots__ = ("connection_count", "entry", "idle", "is_retired", "waiting_attempts")

    def __init__(self, entry: EndpointEntry) -> None:
        """Create the endpoint without connections."""
        self.entry = entry
        self.idle: list[PooledConnection] = []  # least recently used first
        self.connection_count = 0  # connections that are open or being opened
        self.waiting_attempts: list[UpstreamAttempt] = []  # attempts that wait for a connection
        self.is_retired = False

    def is_same_process(self, entry: EndpointEntry) -> bool:
        """Return whether an entry of the endpoint list has the address and start time of this process."""
        return (
            self.entry.address == entry.address
            and self.entry.endpoint.started_at_ms == entry.endpoint.started_at_ms
        )

    def has_capacity(self) -> bool:
        """Return whether another connection may be opened."""
        return self.connection_count < MAX_CONNECTIONS_PER_ENDPOINT

    def take_idle_connection(self, now_ms: float) -> PooledConnection | None:
        """Remove and return the most recently used idle connection that can be reused; None if there is none.

        A connection can be reused once it has been idle for REUSE_DELAY_MS. A connection that has unread
        input or that the endpoint has closed is discarded: the input would be mistaken for the response to
        the next request, and the close for a failure of that request.
        """
        reusable = [
            connection
            for connection in reversed(self.idle)
            if now_ms - connection.idle_since_ms >= REUSE_DELAY_MS
        ]
        for connection in reusable:
            if not connection.has_unread_input():
                self.idle.remove(connection)
                return connection
            connection.discard()
        return None

    def keep_idle_connection(self, connection: PooledConnection, now_ms: float) -> bool:
        """Keep a connection for reuse; return False if the caller has to close it instead."""
        if self.is_retired or len(self.idle) >= MAX_IDLE_CONNECTIONS_PER_ENDPOINT:
            return False
        connection.idle_since_ms = now_ms
        self.idle.append(connection)
        return True

    def on_connection_closed(self, connection: PooledConnection) -> None:
        """Remove a connection that has been closed or could not be opened."""
        self.connection_count -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self.idle):
            connection.discard()

    def close_idle_before(self, time_ms: float) -> None:
        """Close the connections that became idle before this clock time."""
        while self.idle and self.idle[0].idle_since_ms < time_ms:
            self.idle[0].discard()

    def retire(self) -> None:
        """Close the idle connections, and fail the attempts that wait for a connection.

        An attempt that has been sent on a connection can still receive its response.
        """
        self.is_retired = True
        self.close_idle()
        for attempt in list(self.waiting_attempts):
            attempt.fail(AttemptResult.CONNECT_FAILED)
