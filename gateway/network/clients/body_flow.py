"""Pauses and resumes the reading of a request, and tracks when its client may have written the last byte.

A client's time counts from when it has written the last byte of its request. The gateway learns of a byte
when it reads it, so while it does not read, the last byte may have been written at any time: the sockets on
both sides hold a part of the request. The rule is therefore:

| state       | meaning                                                | the client's time runs from     |
| ----------- | ------------------------------------------------------ | ------------------------------- |
| flowing     | the gateway reads all that arrives                     | the read of the last byte       |
| held up     | the gateway has paused reading, and the client has not | the begin of the pause          |
|             | been waited for since                                  |                                 |

The state becomes held up with a pause, and flowing again once the socket has stayed empty for CATCH_UP_MS
while the gateway was reading: only then is it the client that holds up the transfer.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from gateway.network.clients.body_progress import BodyProgress
from gateway.network.clients.open_request import OpenRequest
from gateway.network.clock import Clock, Timer, Timers

# Milliseconds for which the socket has to stay empty before the client counts as waited for. The time exceeds
# a round trip, in which bytes follow that waited at the client for space in the socket.
CATCH_UP_MS = 5.0


class FlowControlledConnection(Protocol):
    """The part of a client connection that its flow control uses."""

    transport: asyncio.Transport
    request: OpenRequest | None  # None while no request is open

    @property
    def is_receiving(self) -> bool:
        """Whether a request is being received, or the rest of one whose response has been sent already."""

    @property
    def request_bytes(self) -> int:
        """The bytes of the current request that have been read."""

    def has_unread_input(self) -> bool:
        """Return whether the socket holds unread input: bytes, or the end of the client's input."""


class FlowListener(Protocol):
    """Follows whether the time of an incomplete request runs."""

    clock: Clock
    timers: Timers

    def on_request_held_up(self, request: OpenRequest, since_ms: float) -> None:
        """Let the time of an incomplete request run from `since_ms` on."""

    def on_request_flowing(self, request: OpenRequest) -> None:
        """Stop the time of an incomplete request, because its client is known to be writing it."""


class BodyFlow:
    """The flow control of one client connection."""

    def __init__(
        self, connection: FlowControlledConnection, progress: BodyProgress, listener: FlowListener
    ) -> None:
        """Start without a request; pauses are recorded in `progress`, which limits the client's rate."""
        self._connection: FlowControlledConnection | None = connection  # None once it is closed
        self._progress = progress
        self._listener = listener
        self._held_up_since_ms: float | None = None  # None while the request is flowing
        self._check_timer: Timer | None = None
        self._bytes_at_check = 0

    def sent_at_ms(self) -> float:
        """Return the earliest time at which the client may have written the last byte, if it is read now."""
        return self._listener.clock.now() if self._held_up_since_ms is None else self._held_up_since_ms

    def reset(self) -> None:
        """Resume reading, and forget the current request."""
        self.set_paused(False)
        self._held_up_since_ms = None
        self._cancel_check()

    def close(self) -> None:
        """Release the connection, which refers to this object; later calls have no effect."""
        self._cancel_check()
        self._connection = None

    def hold_up(self, since_ms: float) -> None:
        """Let the client's time run from `since_ms` on, because the gateway has not read since then."""
        if self._held_up_since_ms is None:
            self._held_up_since_ms = since_ms
            self.report()
        self._schedule_check()

    def report(self) -> None:
        """Report that the time runs, if it does; to be called when a request has been opened."""
        request = None if self._connection is None else self._connection.request
        if request is not None and self._held_up_since_ms is not None:
            self._listener.on_request_held_up(request, self._held_up_since_ms)

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading the body of a request.

        The duration of the pause does not count toward the time that the client has to send the body.
        """
        connection = self._connection
        if connection is None or paused == bool(self._progress.paused_since_ms):
            return
        if connection.transport.is_closing():
            return
        now_ms = self._listener.clock.now()
        if paused:
            self._progress.pause(now_ms)
            connection.transport.pause_reading()
            self.hold_up(now_ms)
        else:
            self._progress.resume(now_ms)
            connection.transport.resume_reading()

    def _schedule_check(self) -> None:
        if self._check_timer is None and self._connection is not None:
            self._bytes_at_check = self._connection.request_bytes
            at_ms = self._listener.clock.now() + CATCH_UP_MS
            self._check_timer = self._listener.timers.call_at(at_ms, self._check)

    def _cancel_check(self) -> None:
        if self._check_timer is not None:
            self._check_timer.cancel()
            self._check_timer = None

    def _check(self) -> None:
        """End the hold-up if nothing has arrived since the last check although the gateway was reading."""
        self._check_timer = None
        connection = self._connection
        if connection is None or connection.transport.is_closing():
            return
        if not connection.is_receiving or self._held_up_since_ms is None:
            return
        is_waiting_for_client = (
            not self._progress.paused_since_ms
            and connection.request_bytes == self._bytes_at_check
            and not connection.has_unread_input()
        )
        if not is_waiting_for_client:
            self._schedule_check()
            return
        self._held_up_since_ms = None
        if connection.request is not None:
            self._listener.on_request_flowing(connection.request)
