"""Endpoints on loopback sockets whose responses the test writes."""

import asyncio
from typing import NamedTuple

from support.addresses import HOST
from support.http_messages import HttpMessage, read_request

READ_BUFFER_BYTES = 4 * 1024 * 1024  # limit of the stream reader of each connection of a RawEndpoint


class ReceivedRequest(NamedTuple):
    """A request that an endpoint has received, or the end of a connection, for which `message` is None."""

    message: HttpMessage | None
    writer: asyncio.StreamWriter

    @property
    def is_disconnect(self):
        """Whether the connection has ended, so that there is no request."""
        return self.message is None


class FakeEndpoint:
    """An endpoint that parses and queues requests and sends no response; the test writes the response."""

    def __init__(self):
        self.requests = asyncio.Queue()
        self.connection_count = 0
        self.port = 0
        self.writers = []

    async def __aenter__(self):
        """Start to listen, on a free port at the first start and on the same port after that."""
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
        """Wait for the next request or the next end of a connection, and return it."""
        return await self.requests.get()


class RawEndpoint:
    """An endpoint that only accepts connections; the test reads requests and writes responses."""

    async def __aenter__(self):
        """Start to listen on a free port."""
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
        """Wait for the next connection and the head of its first request.

        Returns the head as text, and the reader and the writer of the connection.
        """
        reader, writer = await self.accepted.get()
        return (await reader.readuntil(b"\r\n\r\n")).decode(), reader, writer
