"""A client behind a slow line: its receive buffer is small, and it reads at a steady rate."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass

import harness

CLIENT_BUFFER_BYTES = 4096  # requested for the receive buffer
READ_BYTES = 2048
READ_INTERVAL_S = 0.02  # between two reads: 100 kB a second


def body_of(request_id: str, size: int) -> bytes:
    """Return the body of the answer to a request."""
    return (f"answer to {request_id};".encode() * size)[:size]


def is_whole(data: bytes) -> bool:
    """Return whether the bytes are a whole answer."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    fields = dict(line.lower().split(b":", 1) for line in head.split(b"\r\n")[1:])
    return len(body) >= int(fields[b"content-length"])


@dataclass
class SlowClient:
    """A client that keeps its connection."""

    record: harness.Record
    number: int
    sock: socket.socket

    @classmethod
    async def connect(cls, record: harness.Record, number: int, port: int) -> SlowClient:
        """Connect with a small receive buffer."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
        await asyncio.get_running_loop().sock_connect(sock, (harness.HOST, port))
        return cls(record, number, sock)

    async def ask(self, message: bytes, request_id: str, size: int, *, read_after_s: float = 0.0) -> bool:
        """Send a request, read the answer, and return whether it came whole and was its own."""
        loop = asyncio.get_running_loop()
        data = b""
        end = "the connection was closed"
        sent_s = loop.time()
        try:
            await loop.sock_sendall(self.sock, message)
            sent_s = loop.time()
            await asyncio.sleep(read_after_s)
            while not is_whole(data):
                part = await loop.sock_recv(self.sock, READ_BYTES)
                if not part:
                    break
                data += part
                await asyncio.sleep(READ_INTERVAL_S)
            else:
                end = "whole"
        except ConnectionError as error:
            end = repr(error)
        head, _, body = data.partition(b"\r\n\r\n")
        status = head.split(b"\r\n")[0].decode() or "nothing"
        after_s = loop.time() - sent_s
        self.record.write(
            f"client {request_id}: {status}, {len(body)} of {size} bytes after {after_s:.3f} s: {end}"
        )
        is_served = head.startswith(b"HTTP/1.1 200")
        return is_whole(data) and (not is_served or body == body_of(request_id, size))

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.sock.close()
