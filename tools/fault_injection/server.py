"""The base of the stand-ins that listen: it accepts connections and serves each in a task."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Coroutine

from tools.fault_injection.stream import HOST, Stream, limit_buffers

BACKLOG = 1024  # connections that wait to be accepted


class Server:
    """A server on a free loopback port; a subclass defines how a connection is served."""

    def __init__(self, *, send_buffer: int = 0, receive_buffer: int = 0) -> None:
        """Listen nowhere yet; the sizes of buffers are in bytes, and 0 leaves them to the system."""
        self.port = 0
        self._send_buffer = send_buffer
        self._receive_buffer = receive_buffer
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Server:
        """Start to listen."""
        sock = socket.socket()
        sock.setblocking(False)
        limit_buffers(sock, self._send_buffer, self._receive_buffer)
        sock.bind((HOST, self.port))
        sock.listen(BACKLOG)
        self.port = sock.getsockname()[1]
        self._socket = sock
        self._start(self._accept(sock))
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop to listen, and close all connections."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._socket.close()

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"{HOST}:{self.port}"

    async def serve(self, stream: Stream) -> None:
        """Serve one connection; the caller closes it afterwards."""
        raise NotImplementedError

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(sock)
            limit_buffers(connection, self._send_buffer, self._receive_buffer)
            self._start(self._serve_and_close(Stream(connection)))

    async def _serve_and_close(self, stream: Stream) -> None:
        try:
            await self.serve(stream)
        except (OSError, ValueError):
            pass  # the peer has closed the connection or sent something that is not a message
        finally:
            stream.close()

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
