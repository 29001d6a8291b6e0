"""The listening socket for clients, which a successor takes over from its predecessor."""

from __future__ import annotations

import asyncio
import os
import socket

from gateway.config import Address
from gateway.network.bound_socket import bind_socket
from gateway.network.clients.connection import ClientConnection
from gateway.network.clients.request_handler import RequestHandler

# Queue of connections that have not been accepted yet, number; also how many of them a shutdown accepts.
ACCEPT_BACKLOG = 1024


class ClientListener:
    """Owns the listening socket and accepts clients' connections on it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handler: RequestHandler,
        address: Address,
        *,
        shares_address: bool,
    ) -> None:
        """Pass connections to this handler; nothing is opened yet."""
        self._loop = loop
        self._handler = handler
        self._address = address
        self._shares_address = shares_address
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None

    @property
    def is_accepting(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None

    def bind(self) -> None:
        """Bind a new socket; raises OSError if the address cannot be used."""
        self._socket = bind_socket(socket.SOCK_STREAM, self._address, is_shared=self._shares_address)

    def adopt(self, sock: socket.socket) -> None:
        """Use the predecessor's socket."""
        self._socket = sock

    def duplicate_descriptor(self) -> int:
        """Return a duplicate of the socket's descriptor; raises OSError if the socket is not open."""
        if self._socket is None:
            raise OSError("the listening socket is not open")
        return os.dup(self._socket.fileno())

    async def start_accepting(self) -> None:
        """Accept connections; raises OSError."""
        if self._socket is not None:
            self._server = await self._loop.create_server(
                lambda: ClientConnection(self._handler), sock=self._socket.dup(), backlog=ACCEPT_BACKLOG
            )

    def stop_accepting(self) -> None:
        """Leave new connections in the socket's queue."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def adopt_connection(self, sock: socket.socket) -> None:
        """Serve a connection that the predecessor has handed over."""
        await self._loop.connect_accepted_socket(
            lambda: ClientConnection(self._handler, is_transferred=True), sock
        )

    async def accept_queued(self) -> None:
        """Serve the connections in the socket's queue, as closing the socket would reset them."""
        if self._socket is None:
            return
        for _ in range(ACCEPT_BACKLOG):
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return  # the queue is empty
            sock.setblocking(False)
            await self._loop.connect_accepted_socket(lambda: ClientConnection(self._handler), sock)

    def close(self) -> None:
        """Close the socket; no new connection reaches this process."""
        self.stop_accepting()
        if self._socket is not None:
            self._socket.close()
            self._socket = None
