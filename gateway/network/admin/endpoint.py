"""The admin endpoint: an HTTP server for operators at an address of its own, one request per connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol, cast

import httptools

from gateway.network.admin.metrics import CONTENT_TYPE
from gateway.network.clock import Clock, Timers

# Maximum number of connections: neither clients nor endpoints can use these descriptors.
MAX_ADMIN_CONNECTIONS = 8

# Request timeout, ms: bounds the time from the connection to the end of its request.
REQUEST_TIMEOUT_MS = 2000.0

# Linger timeout, ms: how long input is read and discarded after the response, as a reset would discard it.
LINGER_TIMEOUT_MS = 500.0

# Maximum request size, bytes.
MAX_REQUEST_BYTES = 16 * 1024

PLAIN_TEXT = b"text/plain"

REASONS = {
    HTTPStatus.OK: b"OK",
    HTTPStatus.BAD_REQUEST: b"Bad Request",
    HTTPStatus.NOT_FOUND: b"Not Found",
    HTTPStatus.METHOD_NOT_ALLOWED: b"Method Not Allowed",
    HTTPStatus.REQUEST_TIMEOUT: b"Request Timeout",
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: b"Request Header Fields Too Large",
    HTTPStatus.SERVICE_UNAVAILABLE: b"Service Unavailable",
}


class MonitoredGateway(Protocol):
    """The gateway, as the admin endpoint needs it."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    timers: Timers

    @property
    def ready(self) -> bool:
        """Whether this process serves."""

    def metrics_text(self) -> bytes:
        """Return the metrics in Prometheus' text format."""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """The response to one request."""

    status: HTTPStatus
    body: bytes = b""
    content_type: bytes = PLAIN_TEXT

    def encode(self) -> bytes:
        """Return the bytes of the response."""
        allow = b"Allow: GET\r\n" if self.status is HTTPStatus.METHOD_NOT_ALLOWED else b""
        return (
            b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s"
        ) % (
            self.status,
            REASONS[self.status],
            self.content_type,
            allow,
            len(self.body),
            self.body,
        )


class AdminEndpoint:
    """The paths that operators can request, and the connections of the admin endpoint."""

    def __init__(self, gateway: MonitoredGateway) -> None:
        """Report on this gateway; nothing is opened yet."""
        self.gateway = gateway
        self.connections: dict[AdminConnection, None] = {}  # in the order of their arrival
        self._paths = {"/_ready": self._ready, "/_vars": self._vars}
        self._server: asyncio.Server | None = None

    async def open(self, address: tuple[str, int] | None) -> None:
        """Listen at the address, if there is one; raises OSError if it cannot be used."""
        if address is not None:
            self._server = await self.gateway.loop.create_server(lambda: AdminConnection(self), *address)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.drop()

    def respond(self, method: bytes, path: str) -> AdminResponse:
        """Return the response to a request."""
        handler = self._paths.get(path)
        if handler is None:
            return AdminResponse(HTTPStatus.NOT_FOUND, b"no such call\n")
        if method != b"GET":
            return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, b"the call is a GET\n")
        return handler()

    def on_connected(self, connection: AdminConnection) -> None:
        """Add a connection; above the limit, close those that have their response first, then the oldest."""
        while len(self.connections) >= MAX_ADMIN_CONNECTIONS:
            answered = (one for one in self.connections if one.is_answered)
            next(answered, next(iter(self.connections))).drop()
        self.connections[connection] = None

    def on_disconnected(self, connection: AdminConnection) -> None:
        """Remove a connection that has ended or is being closed."""
        self.connections.pop(connection, None)

    def _ready(self) -> AdminResponse:
        if self.gateway.ready:
            return AdminResponse(HTTPStatus.OK, b"yes\n")
        return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, b"no\n")

    def _vars(self) -> AdminResponse:
        return AdminResponse(HTTPStatus.OK, self.gateway.metrics_text(), CONTENT_TYPE)


class AdminConnection(asyncio.Protocol):
    """One connection of the admin endpoint; it gets one response."""

    def __init__(self, endpoint: AdminEndpoint) -> None:
        """Answer by this endpoint's paths."""
        self.is_answered = False
        self._endpoint = endpoint
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._received_bytes = 0

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enter the connection and start the request timeout."""
        self._transport = cast(asyncio.Transport, transport)
        self._endpoint.on_connected(self)
        gateway = self._endpoint.gateway
        gateway.timers.call_at(
            gateway.clock.now() + REQUEST_TIMEOUT_MS,
            lambda: self._respond(AdminResponse(HTTPStatus.REQUEST_TIMEOUT)),
        )

    def data_received(self, data: bytes) -> None:
        """Parse a part of the request; what follows the request is discarded."""
        if self.is_answered:
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._respond(AdminResponse(HTTPStatus.BAD_REQUEST))
        if self._received_bytes > MAX_REQUEST_BYTES:
            self._respond(AdminResponse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE))

    def eof_received(self) -> None:
        """Let the transport close: an incomplete request is not going to be completed."""

    def connection_lost(self, _error: Exception | None) -> None:
        """Release the parser, which would keep this connection alive until a garbage collection."""
        self._parser = None
        self.is_answered = True
        self._endpoint.on_disconnected(self)

    # -- the parser's callbacks

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._url += url

    def on_message_complete(self) -> None:
        """Respond to the request."""
        try:
            path = httptools.parse_url(self._url).path or b""
        except httptools.HttpParserInvalidURLError:
            self._respond(AdminResponse(HTTPStatus.BAD_REQUEST))
            return
        self._respond(self._endpoint.respond(self._parser.get_method(), path.decode("latin-1")))

    # -- the response

    def drop(self) -> None:
        """Close the connection at once."""
        self._endpoint.on_disconnected(self)
        if self._transport is not None:
            self._transport.abort()

    def _respond(self, response: AdminResponse) -> None:
        """Write the response, unless there was one, and close the connection after the linger timeout."""
        transport = self._transport
        if self.is_answered or transport is None or transport.is_closing():
            return
        self.is_answered = True
        transport.write(response.encode())
        transport.write_eof()
        gateway = self._endpoint.gateway
        gateway.timers.call_at(gateway.clock.now() + LINGER_TIMEOUT_MS, self.drop)
