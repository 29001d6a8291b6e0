"""The admin endpoint: a second address, one call a connection, answered in the turn that makes it whole."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import httptools

from gateway.network.admin.metrics import CONTENT_TYPE

if TYPE_CHECKING:
    from gateway.network.gateway import Gateway

MOST = 8  # connections: a reserve of descriptors that neither clients nor endpoints can take
CALL_MS = 2000.0  # within so long a call must be whole; callers may hold a connection for 4 s without one
LINGER_MS = 500.0  # what still comes after the answer is read for so long: a reset would erase the answer
MAX_CALL = 16 * 1024

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    431: b"Request Header Fields Too Large",
    503: b"Service Unavailable",
}


class AdminEndpoint:
    """The calls that operators have, and the connections at the admin endpoint."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.callers: dict[AdminConnection, None] = {}  # the oldest first
        self._calls = {"/_ready": self._ready, "/_vars": self._vars}
        self._server: asyncio.Server | None = None

    async def open(self, address: tuple[str, int] | None) -> None:
        """Listen, where there is an address."""
        if address is not None:
            self._server = await self.gateway.loop.create_server(lambda: AdminConnection(self), *address)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for caller in list(self.callers):
            caller.drop()

    def answer(self, method: bytes, path: str) -> tuple[int, bytes, bytes]:
        """Status, type and body of one call."""
        call = self._calls.get(path)
        if call is None:
            return 404, b"text/plain", b"no such call\n"
        if method != b"GET":
            return 405, b"text/plain", b"the call is a GET\n"
        return call()

    def _ready(self) -> tuple[int, bytes, bytes]:
        if self.gateway.ready:
            return 200, b"text/plain", b"yes\n"
        return 503, b"text/plain", b"no\n"

    def _vars(self) -> tuple[int, bytes, bytes]:
        return 200, CONTENT_TYPE, self.gateway.metrics_text()

    def came(self, caller: AdminConnection) -> None:
        """Over the limit those that have their answer go first, then the oldest that never asked."""
        while len(self.callers) >= MOST:
            next((one for one in self.callers if one.answered), next(iter(self.callers))).drop()
        self.callers[caller] = None


class AdminConnection(asyncio.Protocol):
    """One connection at the admin endpoint."""

    def __init__(self, admin: AdminEndpoint) -> None:
        self.admin = admin
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.url, self.size, self.answered = b"", 0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.admin.came(self)
        gateway = self.admin.gateway
        gateway.timers.at(gateway.clock.now() + CALL_MS, lambda: self.reply(408))

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reply(400)
        if self.size > MAX_CALL:
            self.reply(431)

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        try:
            path = httptools.parse_url(self.url).path or b""
        except httptools.HttpParserInvalidURLError:
            self.reply(400)
            return
        self.reply(*self.admin.answer(self.parser.get_method(), path.decode("latin-1")))

    def eof_received(self) -> None:
        """The caller ends its sending: what it has not asked by now it never will."""

    def connection_lost(self, _problem: Exception | None) -> None:
        self.parser = None  # it holds this connection: the two would wait for the collector
        self.answered = True
        self.admin.callers.pop(self, None)

    def reply(self, status: int, kind: bytes = b"text/plain", body: bytes = b"") -> None:
        """The one answer; what follows a call is not looked at."""
        transport = self.transport
        if self.answered or transport is None or transport.is_closing():
            return
        self.answered = True
        allow = b"Allow: GET\r\n" if status == 405 else b""
        transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%sContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%s" % (status, REASONS[status], kind, allow, len(body), body)
        )
        transport.write_eof()
        gateway = self.admin.gateway
        gateway.timers.at(gateway.clock.now() + LINGER_MS, self.drop)

    def drop(self) -> None:
        """Close at once."""
        self.admin.callers.pop(self, None)
        if self.transport is not None:
            self.transport.abort()
