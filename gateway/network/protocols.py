"""What the connections need of each other and of the gateway, so that their modules form no circle."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from gateway.network.clock import Clock, Timers


class BodySource(Protocol):
    """The client's side of a body that is forwarded while it comes."""

    def hold(self, stopped: bool) -> None:
        """Read nothing more for now, or read on."""

    def is_disconnected(self) -> bool:
        """Return whether the client has ended its sending."""

    def parted(self) -> None:
        """Take note that a part of the body is no longer held."""


class BodySink(Protocol):
    """The upstream's side of a body that is forwarded while it comes."""

    blocked: bool

    def write_part(self, data: bytes) -> None:
        """Write a part of a request, not the last."""

    def write_last(self, data: bytes) -> None:
        """Write the end of a request."""


class ResponseSource(Protocol):
    """The upstream's side of a response that is forwarded while it comes."""

    def flow(self, stopped: bool) -> None:
        """Read nothing more for now, or read on."""


class ResponseSink(Protocol):
    """The client's side of a response that is forwarded while it comes."""

    transport: asyncio.Transport | None

    def forward(self, part: bytes) -> None:
        """Write the next part."""


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


class ConnectionTable(Protocol):
    """Where a client's connection is entered by what it waits for."""

    def on_request_complete(self, client: Any) -> None:
        """Its request is whole."""

    def remove(self, client: Any) -> None:
        """It has ended, or another process has it."""

    def on_closing(self, client: Any, now: float) -> None:
        """It is being closed."""


class RequestHandler(Protocol):
    """What a client's connection hands its requests to."""

    clock: Clock
    timers: Timers
    ready: bool
    draining: bool

    @property
    def connections(self) -> ConnectionTable:
        """The clients' connections."""

    def on_client_connected(self, client: Any) -> None:
        """A connection is up."""

    def on_message_started(self, client: Any) -> None:
        """A request begins to come in."""

    def on_client_idle(self, client: Any) -> None:
        """Its request has been answered."""

    def on_client_closed(self, client: Any, request: Any) -> None:
        """The connection has ended."""

    def on_client_gone(self, request: Any) -> None:
        """Nobody waits for a request any more."""

    def take(self, client: Any) -> Any:
        """Open a request; raises BadRequestError."""

    def parted(self, request: Any) -> None:
        """A part of a request's body is no longer held."""

    def whole(self, request: Any) -> None:
        """The last byte of a large request has come."""
