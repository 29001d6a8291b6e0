"""One call of discovery after the other on a connection that is kept, over HTTP/1.1 and JSON."""

from __future__ import annotations

import asyncio
import json
import logging

import httptools

from gateway.config import Address, EndpointList, endpoint_list_from
from gateway.errors import GatewayError, SettingsError

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 8 * 1024 * 1024
STATUS_OK = 200
OVERLOADED_STATUSES = (429, 503)

log = logging.getLogger(__name__)


class DiscoveryError(GatewayError):
    """A call of discovery came to nothing; the text tells why."""


class DiscoveryTimeoutError(DiscoveryError):
    """Nothing came in time, so discovery may have been within reach all that time."""


class DiscoveryOverloadedError(DiscoveryError):
    """Too many call at once."""


class InvalidAnswerError(DiscoveryError):
    """What came can't be relied on, nor the version that it was asked with."""


class DiscoveryClient:
    """Calls discovery at one address at a time."""

    def __init__(self, address: Address) -> None:
        """Begin with no connection."""
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._skip_logged = False  # of an entry that can't be read

    def move(self, address: Address) -> None:
        """Call another address from the next connection on."""
        self._address = address

    async def call(self, target: str, timeout_s: float) -> EndpointList:
        """Return the list that a call brings; raises DiscoveryError."""
        try:
            async with asyncio.timeout(timeout_s):
                return endpoint_list_from(json.loads(await self._get(target)), "list", self._skip)
        except TimeoutError as error:
            raise DiscoveryTimeoutError("no answer in time") from error
        except SettingsError as error:
            raise InvalidAnswerError(str(error)) from error
        except (ValueError, RecursionError) as error:
            raise InvalidAnswerError("an answer that is no JSON") from error
        except httptools.HttpParserError as error:
            raise InvalidAnswerError("an answer that is no HTTP") from error
        except OSError as error:
            raise DiscoveryError(f"the connection failed: {error}") from error

    def close(self) -> None:
        """Close the connection; the next call opens another one."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = None
        self._writer = None

    async def _get(self, target: str) -> bytes:
        if self._writer is None:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(*self._address)
        host, port = self._address
        self._writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
        answer = await self._read_answer()
        if answer.status in OVERLOADED_STATUSES:
            raise DiscoveryOverloadedError(f"status {answer.status}")
        if answer.status != STATUS_OK:
            raise InvalidAnswerError(f"status {answer.status}")
        if not answer.keep_alive:
            self.close()
        return b"".join(answer.parts)

    async def _read_answer(self) -> _Answer:
        assert self._reader is not None
        answer = _Answer()
        size = 0
        while not answer.is_complete:
            data = await self._reader.read(READ_BYTES)
            size += len(data)
            if not data:
                raise DiscoveryError("the connection ended")
            if size > MAX_ANSWER_BYTES:
                raise InvalidAnswerError("an answer without end")
            answer.feed(data)
        return answer

    def _skip(self, error: SettingsError) -> None:
        """Log an entry that can't be read, once: it is no reason to do without the others."""
        if not self._skip_logged:
            log.warning("discovery: left out: %s", error)
        self._skip_logged = True


class _Answer:
    """What the parser of an answer collects."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.status = 0
        self.is_complete = False
        self.keep_alive = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse what has come."""
        self._parser.feed_data(data)

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body."""
        self.parts.append(part)

    def on_message_complete(self) -> None:
        """Take what the parser knows here and no later."""
        self.is_complete = True
        self.status = self._parser.get_status_code()
        self.keep_alive = self._parser.should_keep_alive()
