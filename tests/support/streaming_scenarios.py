"""Support for scenarios of streaming tests."""

import asyncio

from support.fakes import HOST


class RawWorker:
    """A worker that leaves reading and writing to the test."""

    async def __aenter__(self):
        self.calls = asyncio.Queue()
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=4 * 1024 * 1024)
        self.port = self.server.sockets[0].getsockname()[1]
        self.writers = []
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        await self.calls.put((reader, writer))

    async def asked(self):
        """The head of a request, with its reader and writer."""
        reader, writer = await self.calls.get()
        return (await reader.readuntil(b"\r\n\r\n")).decode(), reader, writer


async def until(true):
    while not true():
        await asyncio.sleep(0.001)
