"""The admin endpoint: an HTTP server for operators on a separate address, with one request per connection."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol, cast

import httptools

from gateway.network.admin.metrics import CONTENT_TYPE
from gateway.network.bound_socket import bind_socket
from gateway.network.clock import Clock, Timers

# Maximum number of connections to the admin endpoint. Their descriptors are reserved out of the descriptor
# limit, and are not available to clients and endpoints.
MAX_ADMIN_CONNECTIONS = 8

# Maximum time in milliseconds from accepting a connection to the end of its request, after which the response
# is 408 (Request Timeout).
REQUEST_TIMEOUT_MS = 2000.0

# Time in milliseconds for which input is read and discarded after the response. Closing the connection with
# unread input would send a reset, and the caller could lose the response.
LINGER_TIMEOUT_MS = 500.0

# Maximum size of a request in bytes, headers and body included.
MAX_REQUEST_BYTES = 16 * 1024

PLAIN_TEXT = b"text/plain"

REASON_PHRASES = {
    HTTPStatus.OK: b"OK",
    HTTPStatus.BAD_REQUEST: b"Bad Request",
    HTTPStatus.NOT_FOUND: b"Not Found",
    HTTPStatus.METHOD_NOT_ALLOWED: b"Method Not Allowed",
    HTTPStatus.REQUEST_TIMEOUT: b"Request Timeout",
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: b"Request Header Fields Too Large",
    HTTPStatus.SERVICE_UNAVAILABLE: b"Service Unavailable",
}


class MonitoredGateway(Protocol):
    """The parts of a gateway that the admin endpoint uses."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    timers: Timers

    @property
    def is_ready(self) -> bool:
        """Whether this process serves and has not handed over to a successor."""

    def metrics_text(self) -> bytes:
        """Return the main metrics in the Prometheus text format."""

    def diagnostics_text(self) -> bytes:
        """Return the metrics for the analysis of faults in the Prometheus text format."""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """The status, body and content type of one response."""

    status: HTTPStatus
    body: bytes = b""
    content_type: bytes = PLAIN_TEXT

    def encode(self) -> bytes:
        """Return the bytes of the response, which announces that the connection closes."""
        allow = b"Allow: GET\r\n" if self.status is HTTPStatus.METHOD_NOT_ALLOWED else b""
        return (
            b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s"
        ) % (
            self.status,
            REASON_PHRASES[self.status],
            self.content_type,
            allow,
            len(self.body),
            self.body,
        )


class AdminEndpoint:
    """Routes the requests of operators, and limits the number of open connections."""

    def __init__(self, gateway: MonitoredGateway) -> None:
        """Report on `gateway`; listen nowhere yet."""
        self.gateway = gateway
        self.connections: dict[AdminConnection, None] = {}  # the open connections, oldest first
        self._handlers = {
            "/_ready": self._readiness_response,
            "/_vars": self._metrics_response,
            "/_diagnostics": self._diagnostics_response,
        }
        self._server: asyncio.Server | None = None

    async def open(self, address: tuple[str, int] | None) -> None:
        """Listen on the address, unless it is None; raises OSError if it cannot be used."""
        if address is not None:
            # For a host name, the event loop would start threads, which take signals of the process.
            sock = bind_socket(socket.SOCK_STREAM, address, reuse_port=False)
            self._server = await self.gateway.loop.create_server(lambda: AdminConnection(self), sock=sock)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def create_response(self, method: bytes, path: str) -> AdminResponse:
        """Return the response to a request: 404 for an unknown path, 405 for a method other than GET."""
        handler = self._handlers.get(path)
        if handler is None:
            return AdminResponse(HTTPStatus.NOT_FOUND, b"no such call\n")
        if method != b"GET":
            return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, b"the call is a GET\n")
        return handler()

    def add_connection(self, connection: AdminConnection) -> None:
        """Add a connection, and abort an earlier one if MAX_ADMIN_CONNECTIONS are open already.

        The connection that is aborted, and thereby removed, is the oldest one whose response has been
        written, or if there is none, the oldest one.
        """
        while len(self.connections) >= MAX_ADMIN_CONNECTIONS:
            finished = (candidate for candidate in self.connections if candidate.is_finished)
            next(finished, next(iter(self.connections))).abort()
        self.connections[connection] = None

    def remove_connection(self, connection: AdminConnection) -> None:
        """Remove a closed or aborted connection; has no effect if it is not registered any more."""
        self.connections.pop(connection, None)

    def _readiness_response(self) -> AdminResponse:
        if self.gateway.is_ready:
            return AdminResponse(HTTPStatus.OK, b"yes\n")
        return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, b"no\n")

    def _metrics_response(self) -> AdminResponse:
        return AdminResponse(HTTPStatus.OK, self.gateway.metrics_text(), CONTENT_TYPE)

    def _diagnostics_response(self) -> AdminResponse:
        return AdminResponse(HTTPStatus.OK, self.gateway.diagnostics_text(), CONTENT_TYPE)


class AdminConnection(asyncio.Protocol):
    """A connection to the admin endpoint, which is closed after one response."""

    def __init__(self, endpoint: AdminEndpoint) -> None:
        """Create a connection of `endpoint`, which routes its request and creates the response."""
        # Whether the response has been written or the connection has ended; no response is written then.
        self.is_finished = False
        self._endpoint = endpoint
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._received_bytes = 0

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the endpoint and start the request timeout."""
        self._transport = cast(asyncio.Transport, transport)
        self._endpoint.add_connection(self)
        gateway = self._endpoint.gateway
        gateway.timers.call_at(
            gateway.clock.now() + REQUEST_TIMEOUT_MS,
            lambda: self._send_response(AdminResponse(HTTPStatus.REQUEST_TIMEOUT)),
        )

    def data_received(self, data: bytes) -> None:
        """Parse a part of the request; input after the response is discarded."""
        if self.is_finished:
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._send_response(AdminResponse(HTTPStatus.BAD_REQUEST))
        if self._received_bytes > MAX_REQUEST_BYTES:
            self._send_response(AdminResponse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE))

    def eof_received(self) -> None:
        """Let the transport close after the end of the input, which the return value None does.

        Bytes of the response that are still buffered are sent before. An incomplete request gets no response,
        because its rest cannot arrive any more.
        """

    def connection_lost(self, _error: Exception | None) -> None:
        """Unregister the connection, and release the parser.

        The parser and this connection refer to each other. Both would stay in memory until a garbage
        collection.
        """
        self._parser = None
        self.is_finished = True
        self._endpoint.remove_connection(self)

    # -- the parser's callbacks

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target, which may arrive in several parts."""
        self._url += url

    def on_message_complete(self) -> None:
        """Respond to the complete request, or with 400 if its target cannot be parsed."""
        try:
            path = httptools.parse_url(self._url).path or b""
        except httptools.HttpParserInvalidURLError:
            self._send_response(AdminResponse(HTTPStatus.BAD_REQUEST))
            return
        self._send_response(self._endpoint.create_response(self._parser.get_method(), path.decode("latin-1")))

    # -- the response

    def abort(self) -> None:
        """Close the connection at once, discarding a response that has not been sent completely."""
        self._endpoint.remove_connection(self)
        if self._transport is not None:
            self._transport.abort()

    def _send_response(self, response: AdminResponse) -> None:
        """Write the response, and abort the connection after LINGER_TIMEOUT_MS.

        Does nothing if a response has been written, or if the connection is closing.
        """
        transport = self._transport
        if self.is_finished or transport is None or transport.is_closing():
            return
        self.is_finished = True
        transport.write(response.encode())
        transport.write_eof()
        gateway = self._endpoint.gateway
        gateway.timers.call_at(gateway.clock.now() + LINGER_TIMEOUT_MS, self.abort)
