"""The interfaces that a client's connection uses: its request handler and the table of connections."""

from __future__ import annotations

from typing import Protocol

from gateway.network.clients.connection_limiter import LimitedConnection
from gateway.network.clients.open_request import ClientChannel, OpenRequest
from gateway.network.clients.received_request import ReceivedRequest
from gateway.network.clock import Clock, Timers


class HandledConnection(LimitedConnection, ClientChannel, Protocol):
    """A client's connection as the handler uses it."""

    is_transferred: bool  # whether the predecessor has served it before


class ConnectionTable(Protocol):
    """The connections of clients, by the event that each awaits."""

    def on_request_complete(self, client: LimitedConnection) -> None:
        """Note that the request of a connection is complete."""

    def remove(self, client: LimitedConnection) -> None:
        """Remove a connection that has closed or that another process serves."""

    def on_closing(self, client: LimitedConnection, now: float) -> None:
        """Note that the gateway closes a connection."""


class RequestHandler(Protocol):
    """The handler of the requests on clients' connections."""

    clock: Clock
    timers: Timers

    @property
    def ready(self) -> bool:
        """Whether this process serves."""

    @property
    def draining(self) -> bool:
        """Whether each connection closes after its response."""

    @property
    def connections(self) -> ConnectionTable:
        """The connections of clients."""

    def on_client_connected(self, client: HandledConnection) -> None:
        """Add a new connection, or abort it if there are too many."""

    def on_message_started(self, client: HandledConnection) -> None:
        """Note that the first byte of a request has been received."""

    def on_client_idle(self, client: HandledConnection) -> None:
        """Note that the response of the last request is complete."""

    def on_client_closed(self, client: HandledConnection, request: OpenRequest | None) -> None:
        """Note that a connection has closed, with the request that was open on it."""

    def on_client_gone(self, request: OpenRequest) -> None:
        """Note that the client of an open request has disconnected."""

    def open_request(self, client: HandledConnection, received: ReceivedRequest) -> OpenRequest:
        """Open a request.

        Raises:
            BadRequestError: The request is rejected; the error has the status.
        """

    def on_body_released(self, request: OpenRequest) -> None:
        """Note that a part of a request's body is no longer buffered."""

    def on_request_completed(self, request: OpenRequest) -> None:
        """Note that the last byte of a large request has been received."""
