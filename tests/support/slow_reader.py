"""A client that reads only if told, behind a small receive buffer."""

import asyncio
import socket

from support.addresses import HOST

RECEIVE_BUFFER_BYTES = 4096  # requested size


class SlowReader:
    """A client whose unread responses stay in the process and the kernel of the gateway."""

    def __init__(self):
        """Create the socket; `connect` connects it."""
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.setblocking(False)

    async def connect(self, port):
        """Connect to a port of the loopback address, and return this client."""
        await asyncio.get_running_loop().sock_connect(self.sock, (HOST, port))
        return self

    def send(self, data):
        """Write the bytes, which have to fit into the send buffer, and return this client."""
        assert self.sock.send(data) == len(data)
        return self

    async def read_part(self, max_bytes):
        """Read what has arrived, or b"" at the end of the connection; a reset counts as an end."""
        try:
            return await asyncio.get_running_loop().sock_recv(self.sock, max_bytes)
        except ConnectionError:
            return b""

    async def read(self, size):
        """Read `size` bytes, or fewer if the connection ends before."""
        received = b""
        while len(received) < size:
            part = await self.read_part(size - len(received))
            if not part:
                break
            received += part
        return received

    async def read_at_rate(self, size, part_bytes, interval_s):
        """Read `size` bytes in parts, with a pause after each; return fewer if the connection ends before."""
        received = b""
        while len(received) < size:
            part = await self.read(min(part_bytes, size - len(received)))
            if not part:
                break
            received += part
            await asyncio.sleep(interval_s)
        return received

    def close(self):
        """Close the connection from the client's side."""
        self.sock.close()
