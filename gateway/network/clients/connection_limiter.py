"""The limits on connections of clients: how many, for how long, and which are closed first.

A connection is in one of three tables, or in none while a request on it is open:

- awaiting a request: it is new, or a request is being received on it;
- idle: its last request has received its response;
- closing: the gateway is closing it, and may still read from it.

Each table is ordered by time.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

# Connections of clients up to which none is evicted, as a fraction of the descriptors.
KEPT_FRACTION = 0.38

# Connections of clients in total, evicted ones that are not closed yet included, as a fraction of the
# descriptors.
ADMITTED_FRACTION = 0.46

# Idle connections that may stay until IDLE_TIMEOUT_MS, as a fraction of the descriptors.
IDLE_FRACTION = 0.02

# Connections of clients beyond which those without a request close after OVERLOAD_IDLE_MS, as a fraction of
# the descriptors.
OVERLOAD_FRACTION = 0.26

# Milliseconds from a connection's start, or a request's first byte, to the end of the request's head.
INPUT_TIMEOUT_MS = 2500.0

# Milliseconds that replace INPUT_TIMEOUT_MS while the gateway drains.
SHUTDOWN_INPUT_TIMEOUT_MS = 500.0

# Bytes of a body per millisecond since its head; a body slower than this after the input timeout is rejected.
MIN_BODY_BYTES_PER_MS = 32.0

# Milliseconds for which an idle connection stays even if there are too many.
MIN_IDLE_MS = 2000.0

# Milliseconds that replace MIN_IDLE_MS under overload.
OVERLOAD_IDLE_MS = 250.0

# Milliseconds after which an idle connection closes.
IDLE_TIMEOUT_MS = 60_000.0

# Milliseconds without input after which a closing connection is aborted.
LINGER_TIMEOUT_MS = 1000.0

# Milliseconds after which a closing connection is aborted even if input still arrives.
MAX_LINGER_MS = 5000.0

# Milliseconds between two sweeps.
SWEEP_INTERVAL_MS = 100.0


class LimitedConnection(Protocol):
    """A client's connection as the limiter uses it."""

    received_while_closing: bool  # set when input arrives; the limiter clears it
    closing_since_ms: float
    transport: asyncio.Transport

    @property
    def is_receiving(self) -> bool:
        """Whether a request is being received."""

    def is_transferable(self) -> bool:
        """Return whether another process could continue to serve the connection."""

    def has_unread_input(self) -> bool:
        """Return whether the socket has input that has not been read."""

    def is_input_overdue(self, now: float, timeout_ms: float, min_bytes_per_ms: float) -> bool:
        """Return whether the head is incomplete, or the body slower than a minimum rate."""

    def close_if_idle(self) -> None:
        """Close the connection unless a request is open, being received or unread."""

    def on_input_timeout(self) -> None:
        """Reject the request being received, or close the connection if there is none."""

    def abort(self) -> None:
        """Abort the connection."""


Table = dict[LimitedConnection, float]  # connections, and the time since when each is in the table


class ConnectionLimiter:
    """The connections of clients, limited by the number of descriptors."""

    def __init__(self, descriptors: int) -> None:
        """Start without connections."""
        self.limit(descriptors)
        self.open_connections: set[LimitedConnection] = set()
        self._awaiting_request: Table = {}
        self._idle: Table = {}
        self._closing: Table = {}

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self.open_connections)

    def limit(self, descriptors: int) -> None:
        """Derive all limits from a number of descriptors."""
        self.max_kept = int(descriptors * KEPT_FRACTION)
        self.max_admitted = int(descriptors * ADMITTED_FRACTION)
        self.max_idle = int(descriptors * IDLE_FRACTION)
        self.overload_threshold = int(descriptors * OVERLOAD_FRACTION)

    def add_transferred(self, client: LimitedConnection, now: float) -> None:
        """Add a connection that another process has served; each limit grows by its descriptor."""
        self.max_kept += 1
        self.max_admitted += 1
        self.max_idle += 1
        self.overload_threshold += 1
        self.open_connections.add(client)
        self._idle[client] = now

    def add(self, client: LimitedConnection, now: float) -> bool:
        """Add a new connection, and return whether it is admitted."""
        if len(self.open_connections) >= self.max_admitted:
            return False
        self.open_connections.add(client)
        self._awaiting_request[client] = now
        return True

    def remove(self, client: LimitedConnection) -> None:
        """Remove a connection that has closed or that another process serves."""
        self.open_connections.discard(client)
        self._leave_tables(client)

    def on_message_started(self, client: LimitedConnection, now: float) -> None:
        """Start the input timeout of a request, which a new connection has started already."""
        self._idle.pop(client, None)
        self._awaiting_request.setdefault(client, now)

    def on_request_complete(self, client: LimitedConnection) -> None:
        """End the input timeout of a request."""
        self._awaiting_request.pop(client, None)

    def on_idle(self, client: LimitedConnection, now: float) -> None:
        """Note that the response of the last request is complete."""
        self._idle[client] = now

    def on_closing(self, client: LimitedConnection, now: float) -> None:
        """Note that the gateway closes a connection."""
        self._leave_tables(client)
        self._closing[client] = now

    def evict_excess(self) -> None:
        """Abort connections until no more than `max_kept` remain.

        Closing connections go first, then those that have awaited a request for longest, then those that have
        been idle for longest. A connection with an open request or with unread input stays.
        """
        for table in (self._closing, self._awaiting_request, self._idle):
            for client in list(table):
                if len(self.open_connections) <= self.max_kept:
                    return
                if table is self._closing or not client.has_unread_input():
                    self.remove(client)
                    client.abort()

    def sweep(self, now: float, draining: bool) -> None:
        """Close the connections whose time is over."""
        self._sweep_slow_input(now, draining)
        self._sweep_overload(now)
        self._sweep_idle(now)
        self._sweep_closing(now, draining)

    def _sweep_slow_input(self, now: float, draining: bool) -> None:
        timeout_ms = SHUTDOWN_INPUT_TIMEOUT_MS if draining else INPUT_TIMEOUT_MS
        for client in _older_than(self._awaiting_request, now, timeout_ms):
            if draining or client.is_input_overdue(now, timeout_ms, MIN_BODY_BYTES_PER_MS):
                client.on_input_timeout()

    def _sweep_overload(self, now: float) -> None:
        """Close connections without a request early while they would exclude other clients."""
        excess = len(self.open_connections) - len(self._closing) - self.overload_threshold
        if excess <= 0:
            return
        awaiting = _older_than(self._awaiting_request, now, OVERLOAD_IDLE_MS)
        unused = [client for client in awaiting if not client.is_receiving]
        unused += _older_than(self._idle, now, OVERLOAD_IDLE_MS)
        for client in unused[:excess]:
            client.close_if_idle()

    def _sweep_idle(self, now: float) -> None:
        excess = len(self._idle) - self.max_idle
        if excess > 0:
            expired = _older_than(self._idle, now, MIN_IDLE_MS)[:excess]
        else:
            expired = _older_than(self._idle, now, IDLE_TIMEOUT_MS)
        for client in expired:
            client.close_if_idle()

    def _sweep_closing(self, now: float, draining: bool) -> None:
        for client in _older_than(self._closing, now, LINGER_TIMEOUT_MS):
            may_linger = now - client.closing_since_ms < MAX_LINGER_MS and not draining
            if client.received_while_closing and may_linger:
                client.received_while_closing = False
                self._closing[client] = self._closing.pop(client) + LINGER_TIMEOUT_MS
            else:
                client.abort()

    def _leave_tables(self, client: LimitedConnection) -> None:
        for table in (self._awaiting_request, self._idle, self._closing):
            table.pop(client, None)


def _older_than(table: Table, now: float, age_ms: float) -> list[LimitedConnection]:
    return [client for client, since_ms in table.items() if now - since_ms > age_ms]
