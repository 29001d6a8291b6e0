"""Limits the number of client connections, and the time for which they may stay without an open request.

A connection is in one of three tables, or in none of them from the end of a request until the end of its
response:

- awaiting a request: the connection is new, or a request is being received on it. A request with a large body
  is open already before its body has ended. After a complete request that was rejected, the connection stays
  in this table with the time of that request until it closes or a later request is complete.
- idle: the response of the connection's last request is complete;
- closing: the gateway is closing the connection, and may still read from it.

Each table lists the connections in the order in which they entered it. A closing connection on which input
still arrives leaves its table after LINGER_TIMEOUT_MS and enters it again at the end.

The limits on the number of connections are fractions of the file descriptors that connections to clients and
to endpoints share (`descriptor_limits.shareable_descriptors`). Each connection occupies one descriptor.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from typing import Protocol

from gateway.network.admin.metrics import CloseReason
from gateway.network.clients.output_progress import OutputState, ReadingLimits

# Number of open client connections above which connections without an open request are evicted (closed
# early), as a fraction of the descriptors that connections to clients and endpoints share.
EVICTION_THRESHOLD_FRACTION = 0.38

# Number of open client connections at which new connections are refused, as a fraction of the descriptors
# that connections to clients and endpoints share. It exceeds EVICTION_THRESHOLD_FRACTION, so that descriptors
# remain for evicted connections that are not closed yet.
ADMITTED_FRACTION = 0.46

# Number of idle client connections that may stay open for IDLE_TIMEOUT_MS, as a fraction of the descriptors
# that connections to clients and endpoints share. Idle connections beyond this number close after
# MIN_IDLE_MS.
IDLE_FRACTION = 0.02

# Number of client connections above which the process counts as overloaded, as a fraction of the descriptors.
# Idle connections in excess then close after OVERLOAD_IDLE_MS.
OVERLOAD_FRACTION = 0.26

# Number of client connections up to which a new connection may wait for its first byte as long as for its
# head, as a fraction of the descriptors. Clients that send requests hold at most a third of them.
NEW_CONNECTIONS_FRACTION = 0.34

# Milliseconds that a client has to send the head of a request, from the start of a new connection or from the
# first byte of a later request. From the end of the head, the body has the same time, plus the time that its
# received bytes need at MIN_BODY_BYTES_PER_MS.
INPUT_TIMEOUT_MS = 2500.0

# Milliseconds that a client has to send a complete request, head and body, while the gateway drains. This
# limit then replaces INPUT_TIMEOUT_MS, and the rate of the body does not extend it.
SHUTDOWN_INPUT_TIMEOUT_MS = 500.0

# Minimum rate of a request body in bytes per millisecond, from the end of the head. A request is rejected if
# its body takes longer than the input timeout plus the time that the received bytes need at this rate.
MIN_BODY_BYTES_PER_MS = 32.0

# Milliseconds for which every idle connection may stay open. While there are more idle connections than
# IDLE_FRACTION allows, those in excess close after this time.
MIN_IDLE_MS = 2000.0

# Milliseconds for which a connection may stay open without a request while there are more connections than
# OVERLOAD_FRACTION allows. Those in excess close after this time, which is shorter than MIN_IDLE_MS.
OVERLOAD_IDLE_MS = 250.0

# Milliseconds after which an idle connection closes even if there are few idle connections.
IDLE_TIMEOUT_MS = 60_000.0

# Milliseconds without input from the client after which a connection that the gateway is closing is aborted.
LINGER_TIMEOUT_MS = 1000.0

# Milliseconds after which a connection that the gateway is closing is aborted even if input still arrives.
MAX_LINGER_MS = 5000.0

# Milliseconds for which a client may read nothing of its output before the gateway needs its connection.
OUTPUT_STALL_TIMEOUT_MS = 2500.0

# Milliseconds after which a connection that the gateway is closing is aborted even if its client still reads
# the output.
MAX_OUTPUT_LINGER_MS = 30_000.0

# Rate in bytes per millisecond at which a client has to read a response after OUTPUT_STALL_TIMEOUT_MS, or
# its connection is aborted while descriptors or memory are scarce.
MIN_READ_BYTES_PER_MS = 16.0

# Number of connections with an open request, or with a response that is being read, up to which none of the
# latter is evicted, as a fraction of the descriptors. Clients that send requests hold at most a third.
ACTIVE_FRACTION = 0.34

# Number of connections with a response that is being read that are kept however many requests are open.
MIN_READERS_FRACTION = 0.03

# The limits on reading while no descriptor is needed, and while one is.
LINGERING_LIMITS = ReadingLimits(OUTPUT_STALL_TIMEOUT_MS, MAX_OUTPUT_LINGER_MS, math.inf)
SCARCE_LIMITS = ReadingLimits(OUTPUT_STALL_TIMEOUT_MS, OUTPUT_STALL_TIMEOUT_MS, MIN_READ_BYTES_PER_MS)

# Milliseconds between two searches for connections that have exceeded a time limit.
SWEEP_INTERVAL_MS = 100.0


class CloseRecorder(Protocol):
    """Records the connections that the gateway closes."""

    def on_connection_closed(self, reason: CloseReason, received_bytes: int, unread_bytes: int = 0) -> None:
        """Record a close, the size of the part of a request received, and that of discarded output."""


class LimitedConnection(Protocol):
    """The part of a client connection that the limiter uses."""

    received_while_closing: bool  # whether input has arrived since the limiter last set it to False
    closing_since_ms: float  # time at which the gateway began to close the connection
    transport: asyncio.Transport

    @property
    def is_receiving(self) -> bool:
        """Whether a request is being received, or the rest of one whose response has been sent already."""

    @property
    def received_bytes(self) -> int:
        """The size of the part that has been received of an unanswered request, 0 if there is none."""

    @property
    def is_closing(self) -> bool:
        """Whether the gateway or the client is ending the connection."""

    @property
    def unread_output_bytes(self) -> int:
        """The output that the client has not acknowledged."""

    @property
    def has_only_rejection(self) -> bool:
        """Whether the connection closes, and its only output is the rejection of an incomplete request."""

    def is_transferable(self) -> bool:
        """Return whether the connection can be handed over: it is idle, and all responses are written."""

    def has_unread_input(self) -> bool:
        """Return whether the socket holds unread input: bytes, or the end of the client's input."""

    def is_input_overdue(self, now_ms: float, timeout_ms: float, min_bytes_per_ms: float) -> bool:
        """Return whether the head of a request is still incomplete, or its body arrives too slowly."""

    def close_if_idle(self) -> None:
        """Close the connection unless a request on it is open, being received or unread in the socket."""

    def on_input_timeout(self) -> None:
        """End the connection because its input timeout has expired.

        A request being received is rejected. If its response has been sent or started already, the connection
        is aborted. Without a request being received, the connection closes unless it has unread input.
        """

    def reject_request(self) -> None:
        """Answer the request that is being received with 503, and close the connection."""

    def release_unused_memory(self, now_ms: float) -> None:
        """Record what the client has read, and return the memory of the last response once that is all."""

    def output_state(self, now_ms: float, limits: ReadingLimits) -> OutputState:
        """Record what the client has read up to now, and return how far it has read its output."""

    def abort(self) -> None:
        """Close the connection at once, and discard all output that the client has not read."""

    def close_descriptor(self) -> None:
        """Close this process's descriptor of a connection that another process has taken over."""


# Maps each connection to the time, in milliseconds, at which it entered the table. The time of a closing
# connection on which input still arrives is extended by LINGER_TIMEOUT_MS at a time.
ConnectionTimes = dict[LimitedConnection, float]


class ConnectionLimiter:
    """Admits client connections, and closes those that exceed a limit on their number or a time limit."""

    def __init__(self, descriptors: int, recorder: CloseRecorder | None = None) -> None:
        """Start without connections, with limits for this number of descriptors.

        `recorder` records the connections that are closed; None records nothing.
        """
        self._recorder = recorder
        self.update_limits(descriptors)
        self.open_connections: set[LimitedConnection] = set()  # closing connections included
        self._awaiting_request: ConnectionTimes = {}
        self._idle: ConnectionTimes = {}
        self._closing: ConnectionTimes = {}

    def __len__(self) -> int:
        """Return the number of client connections, closing ones included."""
        return len(self.open_connections)

    def update_limits(self, descriptors: int) -> None:
        """Derive all limits from the number of descriptors that clients and endpoints share.

        The increments by `add_transferred` are discarded: when the predecessor has ended, `descriptors` is
        derived from the full configured limit, which includes the transferred connections.
        """
        self.eviction_threshold = int(descriptors * EVICTION_THRESHOLD_FRACTION)
        self.max_admitted = int(descriptors * ADMITTED_FRACTION)
        self.max_idle = int(descriptors * IDLE_FRACTION)
        self.max_active = int(descriptors * ACTIVE_FRACTION)
        self.min_readers = int(descriptors * MIN_READERS_FRACTION)
        self.overload_threshold = int(descriptors * OVERLOAD_FRACTION)
        self.new_connections_threshold = int(descriptors * NEW_CONNECTIONS_FRACTION)

    def add_transferred(self, client: LimitedConnection, now_ms: float) -> None:
        """Add an idle connection that the predecessor has handed over.

        Each limit grows by one. The predecessor closes its descriptor of the connection, so this process may
        hold one descriptor more.
        """
        self.eviction_threshold += 1
        self.max_admitted += 1
        self.max_idle += 1
        self.max_active += 1
        self.overload_threshold += 1
        self.new_connections_threshold += 1
        self.open_connections.add(client)
        self._idle[client] = now_ms

    def add(self, client: LimitedConnection, now_ms: float) -> bool:
        """Add a new connection, and return whether it is admitted.

        A connection beyond `max_admitted` is not added, and the caller must close it.
        """
        if not self.may_admit():
            return False
        self.open_connections.add(client)
        self._awaiting_request[client] = now_ms
        return True

    def may_admit(self, starting_count: int = 0) -> bool:
        """Return whether there is room for a new connection, and record one that the caller has to close.

        `starting_count` is the number of accepted connections that have not been added yet.
        """
        if len(self.open_connections) + starting_count < self.max_admitted:
            return True
        if self._recorder is not None:
            self._recorder.on_connection_closed(CloseReason.REFUSED, 0)
        return False

    def remove(self, client: LimitedConnection) -> None:
        """Remove a connection that has closed or that has been handed over to another process."""
        self.open_connections.discard(client)
        self._remove_from_tables(client)

    def on_message_started(self, client: LimitedConnection, now_ms: float) -> None:
        """Start the input timeout of a request.

        For the first request of a connection, the timeout has started when the connection was added, and it
        is not restarted.
        """
        self._idle.pop(client, None)
        self._awaiting_request.setdefault(client, now_ms)

    def on_request_complete(self, client: LimitedConnection) -> None:
        """End the input timeout of a request that has been received completely."""
        self._awaiting_request.pop(client, None)

    def on_idle(self, client: LimitedConnection, now_ms: float) -> None:
        """Start the idle time of a connection whose last response is complete."""
        self._idle[client] = now_ms

    def on_memory_exhausted(self, client: LimitedConnection) -> None:
        """Record a connection that closes because there is no memory for the rest of its request."""
        self._record(client, CloseReason.NO_MEMORY)

    def on_closing(self, client: LimitedConnection, now_ms: float) -> None:
        """Start the linger timeout of a connection that the gateway begins to close."""
        self._remove_from_tables(client)
        self._closing[client] = now_ms

    def evict_excess(self, now_ms: float) -> None:
        """Abort connections until their number no longer exceeds `eviction_threshold`.

        The order is:

        1. closing connections, connections that await the first byte of a request, and idle ones, whose
           clients have read all responses, or whose only output is the rejection of an incomplete request;
        2. connections in the same three states whose clients have exceeded a limit for reading a response;
        3. those whose clients read a response, as many as `_excess_readers` returns;
        4. connections on which a request is being received.

        Within each group and state, the connections that entered it first are the first. Those in the last
        group are not aborted: their request is rejected, and they close once their client has read the
        rejection, or at the next eviction. Connections whose open request is complete stay, and so do those
        with unread input unless they are closing.
        """
        overdue, readers = self._evict_without_response(now_ms)
        self._evict(overdue)
        self._evict(self._excess_readers(readers))
        excess = len(self.open_connections) - self.eviction_threshold
        receiving = [client for client in self._awaiting_request if client.is_receiving]
        for client in receiving[: max(0, excess)]:
            self._record(client, CloseReason.EVICTED)
            client.reject_request()

    def _evict_without_response(
        self, now_ms: float
    ) -> tuple[list[LimitedConnection], list[LimitedConnection]]:
        """Evict connections that hold no unread response, and return those that hold one.

        The first list has those whose clients have exceeded a limit for reading it. If there are enough of
        the former, the lists are not complete.
        """
        overdue: list[LimitedConnection] = []
        readers: list[LimitedConnection] = []
        unused = [client for client in self._awaiting_request if not client.is_receiving]
        for client in [*self._closing, *unused, *self._idle]:
            if len(self.open_connections) <= self.eviction_threshold:
                break
            if client not in self._closing and client.has_unread_input():
                continue
            state = client.output_state(now_ms, SCARCE_LIMITS)
            if state is OutputState.READ or client.has_only_rejection:
                self._evict([client])
            elif state is OutputState.OVERDUE:
                overdue.append(client)
            else:
                readers.append(client)
        return overdue, readers

    def _excess_readers(self, readers: list[LimitedConnection]) -> list[LimitedConnection]:
        """Return the connections to evict although their clients read a response, oldest first.

        Together with the connections that have an open request, they may be as many as clients that send
        requests hold at most. Otherwise slow readers would fill the gateway.
        """
        in_tables = len(self._awaiting_request) + len(self._idle) + len(self._closing)
        open_count = len(self.open_connections) - in_tables
        excess = len(readers) - max(self.min_readers, self.max_active - open_count)
        if excess <= 0:
            return []
        since_ms = {**self._awaiting_request, **self._idle, **self._closing}
        return sorted(readers, key=since_ms.__getitem__)[:excess]

    def _evict(self, clients: list[LimitedConnection]) -> None:
        """Abort the first of these connections, until the eviction threshold is no longer exceeded."""
        excess = len(self.open_connections) - self.eviction_threshold
        for client in clients[: max(0, excess)]:
            self._abort(client, CloseReason.EVICTED)
            self.remove(client)

    def _is_reading(self, client: LimitedConnection, now_ms: float) -> bool:
        """Return whether the client still reads a response, so that its connection is not unused."""
        return client.output_state(now_ms, LINGERING_LIMITS) is OutputState.BEING_READ

    def sweep(self, now_ms: float, is_draining: bool, *, is_memory_scarce: bool = False) -> None:
        """Close each connection that has exceeded a time limit, and release the memory of idle ones.

        To be called every SWEEP_INTERVAL_MS.

        Args:
            now_ms: The current time.
            is_draining: Whether the gateway drains, which shortens the input timeout and the lingering.
            is_memory_scarce: Whether the gateway needs the memory of responses that clients do not read.
        """
        self._time_out_input(now_ms, is_draining)
        if is_memory_scarce:
            self._abort_overdue_readers(now_ms)
        self._close_unused_under_overload(now_ms)
        self._close_expired_idle(now_ms)
        self._abort_expired_closing(now_ms, is_draining)
        for client in self._idle:
            client.release_unused_memory(now_ms)

    def _time_out_input(self, now_ms: float, is_draining: bool) -> None:
        """Report the input timeout to connections whose request has not been received in time.

        While the gateway drains, a body has no more time than the head.
        """
        timeout_ms = SHUTDOWN_INPUT_TIMEOUT_MS if is_draining else INPUT_TIMEOUT_MS
        for client in _in_table_longer_than(self._awaiting_request, now_ms, timeout_ms):
            if is_draining or client.is_input_overdue(now_ms, timeout_ms, MIN_BODY_BYTES_PER_MS):
                received_bytes = client.received_bytes
                client.on_input_timeout()
                self._record_if_closing(client, CloseReason.INPUT_TIMEOUT, received_bytes)

    def _close_unused_under_overload(self, now_ms: float) -> None:
        """Under overload, close unused connections after OVERLOAD_IDLE_MS, so that new clients can connect.

        A connection is unused if it is idle, or if it awaits a request of which no byte has been received.
        """
        count = len(self.open_connections) - len(self._closing)
        awaiting = _in_table_longer_than(self._awaiting_request, now_ms, OVERLOAD_IDLE_MS)
        new = [client for client in awaiting if not client.is_receiving]
        self._close_unused(new, count - self.new_connections_threshold, now_ms)
        idle = _in_table_longer_than(self._idle, now_ms, OVERLOAD_IDLE_MS)
        self._close_unused(idle, count - self.overload_threshold, now_ms)

    def _close_unused(self, clients: list[LimitedConnection], excess: int, now_ms: float) -> None:
        """Close the first of these connections, as many as there are in excess."""
        for client in self._first_not_reading(clients, excess, now_ms):
            client.close_if_idle()
            self._record_if_closing(client, CloseReason.UNUSED_UNDER_OVERLOAD)

    def _first_not_reading(
        self, clients: list[LimitedConnection], count: int, now_ms: float
    ) -> list[LimitedConnection]:
        """Return the first of these connections, at most `count`, whose clients read no response."""
        not_reading = (client for client in clients if not self._is_reading(client, now_ms))
        return list(itertools.islice(not_reading, max(0, count)))

    def _abort_overdue_readers(self, now_ms: float) -> None:
        """Abort the connections whose clients have exceeded a limit for reading their responses."""
        for client in [*self._closing, *self._idle]:
            if client.output_state(now_ms, SCARCE_LIMITS) is OutputState.OVERDUE:
                self._abort(client, CloseReason.STALLED_READER)
                self.remove(client)

    def _close_expired_idle(self, now_ms: float) -> None:
        """Close the idle connections in excess of `max_idle` after MIN_IDLE_MS, the longest idle ones first.

        Without an excess, idle connections close after IDLE_TIMEOUT_MS.
        """
        excess = len(self._idle) - self.max_idle
        if excess > 0:
            expired = self._first_not_reading(
                _in_table_longer_than(self._idle, now_ms, MIN_IDLE_MS), excess, now_ms
            )
        else:
            expired = _in_table_longer_than(self._idle, now_ms, IDLE_TIMEOUT_MS)
        for client in expired:
            client.close_if_idle()
            self._record_if_closing(client, CloseReason.IDLE)

    def _abort_expired_closing(self, now_ms: float, is_draining: bool) -> None:
        """Abort closing connections after the linger timeout, unless their clients still use them.

        A client may read the output for MAX_OUTPUT_LINGER_MS, if it never pauses for OUTPUT_STALL_TIMEOUT_MS.
        Input extends the linger timeout up to MAX_LINGER_MS in total, but not while the gateway drains.
        """
        for client, since_ms in list(self._closing.items()):
            if self._is_reading(client, now_ms) or now_ms - since_ms <= LINGER_TIMEOUT_MS:
                continue
            closing_ms = now_ms - client.closing_since_ms
            if client.received_while_closing and closing_ms < MAX_LINGER_MS and not is_draining:
                client.received_while_closing = False
                self._closing[client] = self._closing.pop(client) + LINGER_TIMEOUT_MS
            else:
                self._abort(client, CloseReason.LINGER_TIMEOUT)

    def _abort(self, client: LimitedConnection, reason: CloseReason) -> None:
        if self._recorder is not None:
            self._recorder.on_connection_closed(reason, client.received_bytes, client.unread_output_bytes)
        client.abort()

    def _record(self, client: LimitedConnection, reason: CloseReason) -> None:
        if self._recorder is not None:
            self._recorder.on_connection_closed(reason, client.received_bytes)

    def _record_if_closing(
        self, client: LimitedConnection, reason: CloseReason, received_bytes: int = 0
    ) -> None:
        """Record the close of a connection, unless it stays open for its unread request."""
        if self._recorder is not None and client.is_closing:
            self._recorder.on_connection_closed(reason, received_bytes)

    def _remove_from_tables(self, client: LimitedConnection) -> None:
        for table in (self._awaiting_request, self._idle, self._closing):
            table.pop(client, None)


def _in_table_longer_than(table: ConnectionTimes, now_ms: float, age_ms: float) -> list[LimitedConnection]:
    """Return the connections that entered the table more than `age_ms` ago, oldest first."""
    return [client for client, since_ms in table.items() if now_ms - since_ms > age_ms]
