"""A client of the gateway on a loopback socket."""

import asyncio

from support.addresses import HOST
from support.http_messages import read_response


class TestClient:
    """One connection of a client."""

    __test__ = False  # pytest does not collect it

    async def connect(self, port):
        """Open the connection, and return this client."""
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        return self

    def send(self, data):
        """Write the bytes, and return this client."""
        self.writer.write(data)
        return self

    async def next_response(self):
        """Return the next response, or None if the connection ends first."""
        return await read_response(self.reader)

    async def is_closed_by_peer(self):
        """Wait for the end of the connection, and return whether no byte came before it."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True

    def close(self):
        """Close the connection."""
        self.writer.close()
