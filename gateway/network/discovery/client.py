"""A client of the discovery service, which uses HTTP/1.1 and JSON on one persistent connection."""

from __future__ import annotations

import asyncio
import json
import logging
from dataclasses import dataclass

import httptools

from gateway.config import Address, EndpointList, endpoint_list_from
from gateway.errors import GatewayError, SettingsError
from gateway.network.socket_buffers import SocketBuffers, connect_socket

CONNECT_TIMEOUT_S = 1.0  # timeout in seconds for establishing a connection
READ_CHUNK_BYTES = 64 * 1024  # maximum number of bytes per read from the connection
MAX_RESPONSE_BYTES = 8 * 1024 * 1024  # maximum size of a response in bytes, including its head
SOCKET_BUFFERS = SocketBuffers(receive_bytes=32 * 1024, send_bytes=4 * 1024)  # of the connection
STATUS_OK = 200  # the only status code of a successful call
OVERLOADED_STATUSES = frozenset((429, 503))  # status codes by which discovery rejects calls for overload

log = logging.getLogger(__name__)


class DiscoveryError(GatewayError):
    """A call of discovery failed; the text of the error states the reason."""


class DiscoveryTimeoutError(DiscoveryError):
    """Discovery did not respond in time; it may have been reachable since the start of the call."""


class DiscoveryOverloadedError(DiscoveryError):
    """Discovery rejected the call because of overload."""


class InvalidResponseError(DiscoveryError):
    """The response is invalid; the known index of the endpoint list must not be used any more."""


@dataclass(frozen=True, slots=True)
class _Connection:
    """The two streams of a connection to discovery."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class DiscoveryClient:
    """A client of one discovery address; only one call may be in progress at a time."""

    def __init__(self, address: Address) -> None:
        """Create an unconnected client; the first call connects to the address."""
        self._address = address
        self._connection: _Connection | None = None
        self._is_skip_logged = False  # whether a skipped invalid entry has been logged

    def set_address(self, address: Address) -> None:
        """Set the address of future connections; the open connection is still used until it is closed."""
        self._address = address

    async def fetch_list(self, target: str, timeout_s: float) -> EndpointList:
        """Return the snapshot or incremental update in the response to a GET request for the target.

        Raises:
            DiscoveryError: The call failed; the subclass states how.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return endpoint_list_from(json.loads(await self._get(target)), "list", self._on_invalid_entry)
        except TimeoutError as error:
            host, port = self._address
            raise DiscoveryTimeoutError(
                f"no response from {host}:{port} in time"
                f" (timeouts: {CONNECT_TIMEOUT_S:.1f} s to connect, {timeout_s:.1f} s in total)"
            ) from error
        except SettingsError as error:
            raise InvalidResponseError(str(error)) from error
        except (ValueError, RecursionError) as error:
            raise InvalidResponseError(f"the response is not valid JSON: {error}") from error
        except httptools.HttpParserError as error:
            raise InvalidResponseError(f"the response is not valid HTTP: {error}") from error
        except OSError as error:
            host, port = self._address
            raise DiscoveryError(f"the connection to {host}:{port} failed: {error}") from error

    def close(self) -> None:
        """Close the connection, if any; the next call opens a new connection."""
        if self._connection is not None:
            self._connection.writer.transport.abort()
        self._connection = None

    async def _get(self, target: str) -> bytes:
        """Return the body of the response to a GET request."""
        connection = self._connection or await self._connect()
        host, port = self._address
        connection.writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
        response = await _read_response(connection.reader)
        if response.status in OVERLOADED_STATUSES:
            raise DiscoveryOverloadedError(f"the call was rejected with status {response.status}")
        if response.status != STATUS_OK:
            raise InvalidResponseError(f"unexpected status {response.status}, expected {STATUS_OK}")
        if not response.keep_alive:
            self.close()
        return b"".join(response.body_parts)

    async def _connect(self) -> _Connection:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            sock = await connect_socket(asyncio.get_running_loop(), self._address, SOCKET_BUFFERS)
            reader, writer = await asyncio.open_connection(sock=sock)
        self._connection = _Connection(reader, writer)
        return self._connection

    def _on_invalid_entry(self, error: SettingsError) -> None:
        """Log an invalid entry, once per client; the list is used without its invalid entries."""
        if not self._is_skip_logged:
            log.warning("discovery: invalid entry skipped (logged once): %s", error)
        self._is_skip_logged = True


class _Response:
    """A response that is being received; the HTTP parser calls its `on_` methods."""

    def __init__(self) -> None:
        self.body_parts: list[bytes] = []
        self.status = 0
        self.is_complete = False
        self.keep_alive = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the response."""
        self._parser.feed_data(data)

    def on_body(self, data: bytes) -> None:
        """Append the next bytes of the body."""
        self.body_parts.append(data)

    def on_message_complete(self) -> None:
        """Record the status and the keep-alive flag, which the parser knows only during this callback."""
        self.is_complete = True
        self.status = self._parser.get_status_code()
        self.keep_alive = self._parser.should_keep_alive()


async def _read_response(reader: asyncio.StreamReader) -> _Response:
    response = _Response()
    size = 0
    while not response.is_complete:
        data = await reader.read(READ_CHUNK_BYTES)
        size += len(data)
        if not data:
            raise DiscoveryError("the connection was closed before the end of the response")
        if size > MAX_RESPONSE_BYTES:
            raise InvalidResponseError(f"the response exceeds {MAX_RESPONSE_BYTES} bytes: {size} received")
        response.feed(data)
    return response
