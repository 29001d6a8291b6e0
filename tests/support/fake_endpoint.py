"""Endpoints on loopback sockets, whose responses the test writes."""

import asyncio
from typing import NamedTuple

from support.addresses import HOST
from support.http_messages import HttpMessage, read_request

READ_BUFFER_BYTES = 4 * 1024 * 1024  # of a raw endpoint's stream reader


class ReceivedRequest(NamedTuple):
    """A request at an endpoint, or the end of a connection, which has no message."""

    message: HttpMessage | None
    writer: asyncio.StreamWriter

    @property
    def is_disconnect(self):
        """Whether this is the end of a connection."""
        return self.message is None


class FakeEndpoint:
    """An endpoint that parses requests, and leaves the responses to the test."""

    def __init__(self):
        self.requests = asyncio.Queue()
        self.connection_count = 0
        self.port = 0
        self.writers = []

    async def __aenter__(self):
        """Start to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        """Stop listening, and abort all connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connection_count += 1
        self.writers.append(writer)
        try:
            while (message := await read_request(reader)) is not None:
                await self.requests.put(ReceivedRequest(message, writer))
        except ConnectionError:
            pass
        await self.requests.put(ReceivedRequest(None, writer))

    async def next_request(self):
        """Return the next request or the next end of a connection."""
        return await self.requests.get()


class RawEndpoint:
    """An endpoint that leaves reading and writing to the test."""

    async def __aenter__(self):
        """Start to listen."""
        self.accepted = asyncio.Queue()
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=READ_BUFFER_BYTES)
        self.port = self.server.sockets[0].getsockname()[1]
        self.writers = []
        return self

    async def __aexit__(self, *_):
        """Stop listening, and abort all connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        await self.accepted.put((reader, writer))

    async def next_request_head(self):
        """Return the head of the first request on the next connection, with its reader and writer."""
        reader, writer = await self.accepted.get()
        return (await reader.readuntil(b"\r\n\r\n")).decode(), reader, writer
