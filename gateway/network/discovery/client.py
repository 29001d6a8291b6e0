"""A client of discovery: HTTP/1.1 and JSON over one persistent connection."""

from __future__ import annotations

import asyncio
import json
import logging
from dataclasses import dataclass

import httptools

from gateway.config import Address, EndpointList, endpoint_list_from
from gateway.errors import GatewayError, SettingsError

CONNECT_TIMEOUT_S = 1.0  # seconds within which a connection has to be established
READ_BYTES = 64 * 1024  # bytes that are read at once
MAX_ANSWER_BYTES = 8 * 1024 * 1024  # bounds the bytes of one response, head included
STATUS_OK = 200
OVERLOADED_STATUSES = frozenset((429, 503))  # status codes of a service that has too many callers

log = logging.getLogger(__name__)


class DiscoveryError(GatewayError):
    """A call of discovery failed; the text states why."""


class DiscoveryTimeoutError(DiscoveryError):
    """No response in time, so discovery may have been reachable since the call began."""


class DiscoveryOverloadedError(DiscoveryError):
    """Discovery rejected the call because it has too many callers."""


class InvalidResponseError(DiscoveryError):
    """The response is invalid, and the list's known version may be invalid as well."""


@dataclass(frozen=True, slots=True)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class DiscoveryClient:
    """Calls discovery, one call at a time."""

    def __init__(self, address: Address) -> None:
        """Call that address; the first call connects."""
        self._address = address
        self._connection: _Connection | None = None
        self._is_skip_logged = False  # an invalid entry has been logged

    def set_address(self, address: Address) -> None:
        """Use another address for the connections opened from now on."""
        self._address = address

    async def fetch_list(self, target: str, timeout_s: float) -> EndpointList:
        """Return the list that a call of the target yields.

        Raises:
            DiscoveryError: The call failed; its subclasses say how.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return endpoint_list_from(json.loads(await self._get(target)), "list", self._on_invalid_entry)
        except TimeoutError as error:
            raise DiscoveryTimeoutError("no response in time") from error
        except SettingsError as error:
            raise InvalidResponseError(str(error)) from error
        except (ValueError, RecursionError) as error:
            raise InvalidResponseError("the response is not JSON") from error
        except httptools.HttpParserError as error:
            raise InvalidResponseError("the response is not HTTP") from error
        except OSError as error:
            raise DiscoveryError(f"the connection failed: {error}") from error

    def close(self) -> None:
        """Close the connection; the next call opens another one."""
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
            raise DiscoveryOverloadedError(f"status {response.status}")
        if response.status != STATUS_OK:
            raise InvalidResponseError(f"status {response.status}")
        if not response.keep_alive:
            self.close()
        return b"".join(response.body_parts)

    async def _connect(self) -> _Connection:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*self._address)
        self._connection = _Connection(reader, writer)
        return self._connection

    def _on_invalid_entry(self, error: SettingsError) -> None:
        """Log the first invalid entry; the other entries of its list are used."""
        if not self._is_skip_logged:
            log.warning("discovery: invalid entry skipped (logged once): %s", error)
        self._is_skip_logged = True


class _Response:
    """A response as far as it has been received."""

    def __init__(self) -> None:
        self.body_parts: list[bytes] = []
        self.status = 0
        self.is_complete = False
        self.keep_alive = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse the next bytes."""
        self._parser.feed_data(data)

    def on_body(self, data: bytes) -> None:
        """Collect the next bytes of the body."""
        self.body_parts.append(data)

    def on_message_complete(self) -> None:
        """Record what the parser only knows during this callback."""
        self.is_complete = True
        self.status = self._parser.get_status_code()
        self.keep_alive = self._parser.should_keep_alive()


async def _read_response(reader: asyncio.StreamReader) -> _Response:
    response = _Response()
    size = 0
    while not response.is_complete:
        data = await reader.read(READ_BYTES)
        size += len(data)
        if not data:
            raise DiscoveryError("the connection ended")
        if size > MAX_ANSWER_BYTES:
            raise InvalidResponseError(f"the response exceeds {MAX_ANSWER_BYTES} bytes")
        response.feed(data)
    return response
