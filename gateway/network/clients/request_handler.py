"""The interface to which a client's connection hands its requests, and the table it is entered in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from gateway.network.clients.connection_limiter import LimitedConnection
from gateway.network.clients.received_request import ReceivedRequest
from gateway.network.clock import Clock, Timers
from gateway.network.open_request import OpenRequest

if TYPE_CHECKING:
    from gateway.network.clients.connection import ClientConnection


class ConnectionTable(Protocol):
    """Where a client's connection is entered by what it waits for."""

    def on_request_complete(self, client: LimitedConnection) -> None:
        """Its request is whole."""

    def remove(self, client: LimitedConnection) -> None:
        """It has ended, or another process has it."""

    def on_closing(self, client: LimitedConnection, now: float) -> None:
        """It is being closed."""


class RequestHandler(Protocol):
    """What a client's connection hands its requests to."""

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
        """The clients' connections."""

    def on_client_connected(self, client: ClientConnection) -> None:
        """A connection is up."""

    def on_message_started(self, client: ClientConnection) -> None:
        """A request begins to come in."""

    def on_client_idle(self, client: ClientConnection) -> None:
        """Its request has been answered."""

    def on_client_closed(self, client: ClientConnection, request: OpenRequest | None) -> None:
        """The connection has ended, with the request that was open on it."""

    def on_client_gone(self, request: OpenRequest) -> None:
        """The client of an open request has disconnected."""

    def open_request(self, client: ClientConnection, received: ReceivedRequest) -> OpenRequest:
        """Open a request; raises BadRequestError."""

    def on_body_released(self, request: OpenRequest) -> None:
        """A part of a request's body is no longer buffered."""

    def on_request_completed(self, request: OpenRequest) -> None:
        """The last byte of a large request has been received."""
