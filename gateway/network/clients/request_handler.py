"""The interfaces by which a client connection reports its requests and the changes of its state."""

from __future__ import annotations

from typing import Protocol

from gateway.network.clients.connection_limiter import LimitedConnection
from gateway.network.clients.connection_memory import ConnectionMemory
from gateway.network.clients.input_throttle import InputThrottle
from gateway.network.clients.open_request import ClientChannel, OpenRequest
from gateway.network.clients.received_request import ReceivedRequest
from gateway.network.clock import Clock, Timers
from gateway.network.memory_budget import MemoryBudget


class HandledConnection(LimitedConnection, ClientChannel, Protocol):
    """The part of a client connection that the request handler uses."""

    is_transferred: bool  # whether the predecessor has handed the connection over
    memory: ConnectionMemory


class ConnectionTable(Protocol):
    """The part of the connection limiter that a client connection uses."""

    def on_request_complete(self, client: LimitedConnection) -> None:
        """End the input timeout of a request that has been received completely."""

    def remove(self, client: LimitedConnection) -> None:
        """Remove a connection that has closed or that has been handed over to another process."""

    def on_memory_exhausted(self, client: LimitedConnection) -> None:
        """Record a connection that closes because there is no memory for the rest of its request."""

    def on_closing(self, client: LimitedConnection, now_ms: float) -> None:
        """Start the linger timeout of a connection that the gateway begins to close."""


class RequestHandler(Protocol):
    """Handles the requests and the state changes of all client connections."""

    clock: Clock
    timers: Timers
    memory: MemoryBudget
    input_throttle: InputThrottle

    @property
    def is_ready(self) -> bool:
        """Whether this process is ready to serve clients."""

    @property
    def is_draining(self) -> bool:
        """Whether each connection must close after its current response."""

    @property
    def connections(self) -> ConnectionTable:
        """The table of all client connections."""

    def may_admit(self, starting_count: int) -> bool:
        """Return whether there is room for a new connection, and record one that has to be closed.

        `starting_count` is the number of accepted connections that are not registered yet.
        """

    def on_client_connected(self, client: HandledConnection) -> None:
        """Register a new or transferred connection; abort a new one if there are too many."""

    def on_message_started(self, client: HandledConnection) -> None:
        """Start the input timeout of a request whose first byte has been received."""

    def on_connection_idle(self, client: HandledConnection) -> None:
        """Start the idle time of a connection whose last response is complete."""

    def on_connection_closed(self, client: HandledConnection, request: OpenRequest | None) -> None:
        """Deregister a connection that has closed, and close `request` if one was open on it."""

    def on_client_disconnected(self, request: OpenRequest) -> None:
        """Close an open request whose client has disconnected; it gets no response."""

    def open_request(
        self, client: HandledConnection, received: ReceivedRequest, sent_at_ms: float
    ) -> OpenRequest:
        """Validate a request and open it; its response is written by the methods of `ClientChannel`.

        Args:
            client: The connection of the request.
            received: The request; its body may be incomplete.
            sent_at_ms: The clock time from which the client's time runs.

        Raises:
            BadRequestError: The request is rejected; the error has the status of the response.
            OverloadedError: Too little memory is left for the request; it is counted as rejected.
        """

    def on_body_released(self, request: OpenRequest) -> None:
        """Report that the start of a request's body has been forwarded and is no longer buffered."""

    def on_upload_completed(self, request: OpenRequest, sent_at_ms: float) -> None:
        """Start the timeouts of a request whose large body has been received completely.

        The client's time runs from the clock time `sent_at_ms` on.
        """

    def on_request_held_up(self, request: OpenRequest, since_ms: float) -> None:
        """Let the time of an incomplete request run from the clock time `since_ms` on."""

    def on_request_flowing(self, request: OpenRequest) -> None:
        """Stop the time of an incomplete request, because its client is known to be writing it."""
