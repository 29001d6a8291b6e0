"""The memory that one client connection has reserved for its request and for its response."""

from __future__ import annotations

from gateway.network.clients.upload import MAX_BUFFERED_BYTES
from gateway.network.memory_budget import (
    WIDE_READ_BYTES,
    WIDE_WINDOW_BYTES,
    MemoryBudget,
    Reservation,
)

# Bytes that a body may occupy that waits for an endpoint: those at which reading pauses, and one read.
WIDE_BODY_WINDOW_BYTES = MAX_BUFFERED_BYTES + WIDE_READ_BYTES


class ConnectionMemory:
    """The reservations of one client connection.

    `window` covers the window in which the body and then the response of a request can be forwarded, from the
    start of the request on. It also covers a response that waits in the write buffer, and is released once
    the write buffer is empty.

    `body` covers the body of the current request if it is buffered, or the wide window in which it is
    forwarded. It is released once the request has ended.
    """

    __slots__ = ("body", "window")

    def __init__(self, budget: MemoryBudget) -> None:
        """Start without reserved bytes."""
        self.body = Reservation(budget)
        self.window = Reservation(budget)

    def try_widen_body(self) -> bool:
        """Reserve a wide window for a body that is forwarded, and return whether it is granted."""
        return self.body.try_cover(WIDE_BODY_WINDOW_BYTES)

    def try_widen_response(self) -> bool:
        """Reserve a wide window for a response that is forwarded, and return whether it is granted."""
        return self.window.try_cover(WIDE_WINDOW_BYTES)

    def release(self) -> None:
        """Return all bytes, because the connection has ended."""
        self.body.release()
        self.window.release()
