"""A discovery service on a loopback socket whose responses the test writes."""

import asyncio
from typing import NamedTuple

from support.addresses import HOST
from support.http_messages import read_request

# Request target of a call that waits for a change of the endpoint list after an index.
WATCH_TARGET = "/discovery/hosts?since={}&timeout_ms=5000"


class DiscoveryCall(NamedTuple):
    """A call to the discovery service, with the writer for the response."""

    target: str
    writer: asyncio.StreamWriter


class FakeDiscovery:
    """A discovery service that queues each call and sends no response; the test writes the response."""

    def __init__(self, port=0):
        self.calls = asyncio.Queue()
        self.port = port

    async def __aenter__(self):
        """Start to listen, on a free port unless one was given."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        """Stop listening; open connections stay open."""
        self.server.close()

    async def _serve(self, reader, writer):
        try:
            while (message := await read_request(reader)) is not None:
                await self.calls.put(DiscoveryCall(message.url.decode(), writer))
        except ConnectionError:
            pass

    async def next_call(self):
        """Wait for the next call, and return it."""
        return await self.calls.get()
