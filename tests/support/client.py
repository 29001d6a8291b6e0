"""A client that connects to the gateway over a loopback socket."""

import asyncio

from support.addresses import HOST
from support.http_messages import read_response


class TestClient:
    """A client with one connection to the gateway."""

    __test__ = False  # the name starts with Test, but the class contains no tests

    async def connect(self, port):
        """Connect to a port of the loopback address, and return this client."""
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        return self

    def send(self, data):
        """Write the bytes to the connection without waiting, and return this client."""
        self.writer.write(data)
        return self

    async def next_response(self):
        """Read and return the next response, or None if the connection ends before it is complete."""
        return await read_response(self.reader)

    async def is_closed_by_peer(self):
        """Wait until the gateway closes the connection, and return whether it sent no byte before.

        A connection that the gateway resets counts as closed without a byte.
        """
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True

    def close(self):
        """Close the connection from the client's side."""
        self.writer.close()
