"""Which connections of clients may stay: how many, how long without a request, and which go first.

A connection is in one of three tables, or in none while a request of it is open: it awaits a request (it is
new, or one has begun to come in), it is idle after an answer, or it is closing. Each table is in the order
of time.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

# Parts of the descriptors.
KEPT_PART = 0.38  # connections of clients that may stay,
ADMITTED_PART = 0.46  # and with those that have not gone yet
IDLE_PART = 0.02  # idle ones that may stay for long
CROWD_PART = 0.26  # more than so many crowd out requests: clients hold a third at most for these
# Times.
INPUT_TIMEOUT_MS = 2500.0  # within so long a head must be whole; clients are owed a close within 3 s
SHUTDOWN_INPUT_TIMEOUT_MS = 500.0  # the same when the gateway ends
BODY_BYTES_PER_MS = 32.0  # a body may take longer by what has come of it: a slow client sends 64 kB a second
SPARED_MS = 2000.0  # for so long an idle connection is left alone,
CROWDED_MS = 250.0  # or this long in a crowd: a client that means to ask does so at once
IDLE_TIMEOUT_MS = 60_000.0  # after so long it is closed in any case
LINGER_MS = 1000.0  # what still comes after an error is read for so long without a byte,
MAX_LINGER_MS = 5000.0  # and for so long in all
SWEEP_MS = 100.0


class LimitedConnection(Protocol):
    """A client's connection, as the limiter of connections sees it."""

    message_started: bool
    received_while_closing: bool
    head_ms: float
    closing_at_ms: float
    transport: asyncio.Transport | None

    def is_movable(self) -> bool:
        """Return whether another process could go on with it."""

    def has_unread_input(self) -> bool:
        """Return whether something has come that has not been read."""

    def is_slow(self, now: float, spare_ms: float, per_ms: float) -> bool:
        """Return whether less has come of a body than was to be expected."""

    def close_if_idle(self) -> None:
        """Close it where no request is open, coming in or unread."""

    def on_input_timeout(self) -> None:
        """Its time for a whole request is over."""

    def drop(self) -> None:
        """Close it at once."""


Table = dict[LimitedConnection, float]  # connections, and since when they are in the table


class ConnectionLimiter:
    """The connections of clients, limited by the number of descriptors."""

    def __init__(self, descriptors: int) -> None:
        """Begin with no connection."""
        self.limit(descriptors)
        self.all: set[LimitedConnection] = set()
        self._awaiting_request: Table = {}
        self._idle: Table = {}
        self._closing: Table = {}

    def __len__(self) -> int:
        """Return how many connections there are."""
        return len(self.all)

    def limit(self, descriptors: int) -> None:
        """Go by so many descriptors from now on."""
        self.max_kept = int(descriptors * KEPT_PART)
        self.max_admitted = int(descriptors * ADMITTED_PART)
        self.max_idle = int(descriptors * IDLE_PART)
        self.crowd_size = int(descriptors * CROWD_PART)

    def add_moved(self, client: LimitedConnection, now: float) -> None:
        """Add a connection that another process has served; its descriptor came along, so there is room."""
        self.max_kept += 1
        self.max_admitted += 1
        self.max_idle += 1
        self.crowd_size += 1
        self.all.add(client)
        self._idle[client] = now

    def add(self, client: LimitedConnection, now: float) -> bool:
        """Add a new connection; False if there is no room at all."""
        if len(self.all) >= self.max_admitted:
            return False
        self.all.add(client)
        self._awaiting_request[client] = now
        return True

    def remove(self, client: LimitedConnection) -> None:
        """Take out a connection that has ended, or that another process has."""
        self.all.discard(client)
        self._leave_tables(client)

    def on_message_started(self, client: LimitedConnection, now: float) -> None:
        """A request begins to come in. A new connection's time counts from when it came up."""
        self._idle.pop(client, None)
        self._awaiting_request.setdefault(client, now)

    def on_request_complete(self, client: LimitedConnection) -> None:
        """A request has come in whole."""
        self._awaiting_request.pop(client, None)

    def on_answered(self, client: LimitedConnection, now: float) -> None:
        """A request has been answered."""
        self._idle[client] = now

    def on_closing(self, client: LimitedConnection, now: float) -> None:
        """A connection is being closed from our side."""
        self._leave_tables(client)
        self._closing[client] = now

    def make_room(self) -> None:
        """Close what is of least use, down to the limit.

        First those that are closing, then those that have been quiet for longest without ever asking, then
        those that have been idle for longest. One with an open request stays, and so does one that has just
        sent what may be a request: that is read first.
        """
        for table in (self._closing, self._awaiting_request, self._idle):
            for client in list(table):
                if len(self.all) <= self.max_kept:
                    return
                if table is self._closing or not client.has_unread_input():
                    self.remove(client)
                    client.drop()

    def sweep(self, now: float, ending: bool) -> None:
        """Close what has had its time."""
        self._sweep_slow_input(now, ending)
        self._sweep_crowd(now)
        self._sweep_idle(now)
        self._sweep_closing(now, ending)

    def _sweep_slow_input(self, now: float, ending: bool) -> None:
        timeout_ms = SHUTDOWN_INPUT_TIMEOUT_MS if ending else INPUT_TIMEOUT_MS
        for client in _older_than(self._awaiting_request, now, timeout_ms):
            if ending or not client.head_ms or client.is_slow(now, timeout_ms, BODY_BYTES_PER_MS):
                client.on_input_timeout()

    def _sweep_crowd(self, now: float) -> None:
        """Clients hold only so many connections: those that stay without asking would keep the others out."""
        excess = len(self.all) - len(self._closing) - self.crowd_size
        if excess <= 0:
            return
        quiet = [
            client
            for client in _older_than(self._awaiting_request, now, CROWDED_MS)
            if not client.message_started
        ]
        quiet += _older_than(self._idle, now, CROWDED_MS)
        for client in quiet[:excess]:
            client.close_if_idle()

    def _sweep_idle(self, now: float) -> None:
        if len(self._idle) > self.max_idle:
            idle = _older_than(self._idle, now, SPARED_MS)[: len(self._idle) - self.max_idle]
        else:
            idle = _older_than(self._idle, now, IDLE_TIMEOUT_MS)
        for client in idle:
            client.close_if_idle()

    def _sweep_closing(self, now: float, ending: bool) -> None:
        for client in _older_than(self._closing, now, LINGER_MS):
            if client.received_while_closing and now - client.closing_at_ms < MAX_LINGER_MS and not ending:
                client.received_while_closing = False
                self._closing[client] = self._closing.pop(client) + LINGER_MS
            else:
                client.drop()

    def _leave_tables(self, client: LimitedConnection) -> None:
        for table in (self._awaiting_request, self._idle, self._closing):
            table.pop(client, None)


def _older_than(table: Table, now: float, age_ms: float) -> list[LimitedConnection]:
    return [client for client, since_ms in table.items() if now - since_ms > age_ms]
