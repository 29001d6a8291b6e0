"""A discovery service on a loopback socket, whose responses the test writes."""

import asyncio
from typing import NamedTuple

from support.addresses import HOST
from support.http_messages import read_request

WATCH_TARGET = "/discovery/hosts?since={}&timeout_ms=5000"  # of a watch from an index on


class DiscoveryCall(NamedTuple):
    """A call at the discovery service."""

    target: str
    writer: asyncio.StreamWriter


class FakeDiscovery:
    """A discovery service that leaves each response to the test."""

    def __init__(self, port=0):
        self.calls = asyncio.Queue()
        self.port = port

    async def __aenter__(self):
        """Start to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        """Stop listening."""
        self.server.close()

    async def _serve(self, reader, writer):
        try:
            while (message := await read_request(reader)) is not None:
                await self.calls.put(DiscoveryCall(message.url.decode(), writer))
        except ConnectionError:
            pass

    async def next_call(self):
        """Return the next call."""
        return await self.calls.get()
