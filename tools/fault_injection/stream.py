"""A non-blocking socket with a read buffer and paced reads and writes.

The buffers of the operating system can be limited, which decides how much of a message they hold while its
receiver does not read.
"""

from __future__ import annotations

import asyncio
import socket

HOST = "127.0.0.1"  # address on which all servers and clients of this package work
READ_BYTES = 64 * 1024  # maximum size of a read without a rate limit
PACE_INTERVAL_S = 0.02  # time between two steps of a paced read or write
MAX_HEAD_BYTES = 64 * 1024  # a longer head is an error of the peer


class PeerClosedError(ConnectionError):
    """The peer has closed the connection before the expected bytes were complete."""


class Stream:
    """One connection; a method that reads or writes waits until it has finished."""

    def __init__(self, sock: socket.socket) -> None:
        """Use a connected socket, and own it from now on."""
        sock.setblocking(False)
        self._socket = sock
        self._loop = asyncio.get_running_loop()
        self._buffer = bytearray()

    @classmethod
    async def connect(cls, port: int, *, send_buffer: int = 0, receive_buffer: int = 0) -> Stream:
        """Connect to a port; a buffer size of 0 bytes leaves the size to the operating system."""
        sock = socket.socket()
        sock.setblocking(False)
        limit_buffers(sock, send_buffer, receive_buffer)
        try:
            await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
        except BaseException:
            sock.close()
            raise
        return cls(sock)

    async def read(self, max_bytes: int = READ_BYTES) -> bytes:
        """Return the next bytes, at most this many; empty at the end of the input."""
        if self._buffer:
            data = bytes(self._buffer[:max_bytes])
            del self._buffer[:max_bytes]
            return data
        return await self._loop.sock_recv(self._socket, max_bytes)

    async def read_until(self, separator: bytes) -> bytes:
        """Return the bytes up to and including the separator.

        Raises PeerClosedError if the input ends before, or if MAX_HEAD_BYTES contain no separator.
        """
        while separator not in self._buffer:
            data = await self._loop.sock_recv(self._socket, READ_BYTES)
            if not data or len(self._buffer) > MAX_HEAD_BYTES:
                raise PeerClosedError("the input has ended within a line or a head")
            self._buffer += data
        end = self._buffer.index(separator) + len(separator)
        result = bytes(self._buffer[:end])
        del self._buffer[:end]
        return result

    async def skip(self, size: int, rate: float = 0.0) -> None:
        """Read and drop this many bytes, at most `rate` bytes a second if it is not 0.

        Raises PeerClosedError if the input ends before.
        """
        step = max(1, int(rate * PACE_INTERVAL_S)) if rate else READ_BYTES
        started_s = self._loop.time()
        skipped = 0
        while skipped < size:
            data = await self.read(min(step, size - skipped))
            if not data:
                raise PeerClosedError("the input has ended within a body")
            skipped += len(data)
            if rate:
                await asyncio.sleep(max(0.0, started_s + skipped / rate - self._loop.time()))

    async def write(self, data: bytes, rate: float = 0.0) -> None:
        """Write all bytes, at most `rate` bytes a second if it is not 0."""
        if not rate:
            await self._loop.sock_sendall(self._socket, data)
            return
        step = max(1, int(rate * PACE_INTERVAL_S))
        started_s = self._loop.time()
        for start in range(0, len(data), step):
            await self._loop.sock_sendall(self._socket, data[start : start + step])
            await asyncio.sleep(max(0.0, started_s + (start + step) / rate - self._loop.time()))

    def reset(self) -> None:
        """Close the connection with a reset, which discards bytes that are not sent yet."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self._socket.close()

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


def limit_buffers(sock: socket.socket, send_buffer: int, receive_buffer: int) -> None:
    """Set the sizes of the socket's buffers in bytes; 0 leaves a size to the operating system."""
    if send_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line of a message, and its header fields by their names in lower case."""
    first_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first_line, fields
