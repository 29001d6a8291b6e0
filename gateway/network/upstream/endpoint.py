"""One process of an endpoint, as discovery lists it, and the gateway's connections to it."""

from __future__ import annotations

from typing import Protocol

from gateway.config import EndpointEntry
from gateway.interface.events import AttemptResult
from gateway.network.upstream.attempt import UpstreamAttempt

MAX_CONNECTIONS_PER_ENDPOINT = 128  # connections to one endpoint, in use or idle
MAX_IDLE_PER_ENDPOINT = 24  # idle connections that are kept to one endpoint
# Milliseconds for which a connection stays unused after a response. A duplicate of the response that arrives
# within this time is detected, and not taken for the response to the next request.
REUSE_DELAY_MS = 10.0


class PooledConnection(Protocol):
    """The interface of a connection as its endpoint uses it."""

    idle_since_ms: float

    def has_unread_input(self) -> bool:
        """Return whether bytes or the connection's end wait to be read."""

    def send_attempt(self, attempt: UpstreamAttempt) -> None:
        """Send the request of an attempt."""

    def discard(self) -> None:
        """Close the connection at once."""


class UpstreamEndpoint:
    """One process of an endpoint, with the gateway's connections to it.

    A restarted endpoint is another process, with connections of its own.
    """

    __slots__ = ("connecting", "connections", "entry", "idle", "is_retired")

    def __init__(self, entry: EndpointEntry) -> None:
        """Begin without a connection."""
        self.entry = entry
        self.idle: list[PooledConnection] = []  # ordered by the time of their last use
        self.connections = 0  # open or being opened
        self.connecting: list[UpstreamAttempt] = []  # attempts that wait for a connection
        self.is_retired = False

    def is_same_process(self, entry: EndpointEntry) -> bool:
        """Return whether an entry lists the same address and start time."""
        return (
            self.entry.address == entry.address
            and self.entry.endpoint.started_at_ms == entry.endpoint.started_at_ms
        )

    def has_capacity(self) -> bool:
        """Return whether another connection may be opened."""
        return self.connections < MAX_CONNECTIONS_PER_ENDPOINT

    def take_idle(self, now_ms: float) -> PooledConnection | None:
        """Remove and return the most recently used idle connection that is reusable.

        A connection rests for REUSE_DELAY_MS first. One with unread input is closed: its input would be taken
        for the response to the next request, or its end for a reset of that request.
        """
        rested = [one for one in reversed(self.idle) if now_ms - one.idle_since_ms >= REUSE_DELAY_MS]
        for connection in rested:
            if not connection.has_unread_input():
                self.idle.remove(connection)
                return connection
            connection.discard()
        return None

    def keep_idle(self, connection: PooledConnection, now_ms: float) -> bool:
        """Keep a connection for reuse; return False if it is not needed."""
        if self.is_retired or len(self.idle) >= MAX_IDLE_PER_ENDPOINT:
            return False
        connection.idle_since_ms = now_ms
        self.idle.append(connection)
        return True

    def on_connection_closed(self, connection: PooledConnection) -> None:
        """Forget a connection that is closed, or that never opened."""
        self.connections -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self.idle):
            connection.discard()

    def close_idle_before(self, time_ms: float) -> None:
        """Close the connections that have been idle since before that time."""
        while self.idle and self.idle[0].idle_since_ms < time_ms:
            self.idle[0].discard()

    def retire(self) -> None:
        """Send nothing more to the endpoint; attempts that were written may still be answered."""
        self.is_retired = True
        self.close_idle()
        for attempt in list(self.connecting):
            attempt.fail(AttemptResult.CONNECT_FAILED)
