"""The listening socket for clients, which a successor takes over from its predecessor."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Callable

from gateway.config import Address
from gateway.network.bound_socket import bind_socket
from gateway.network.clients.connection import ClientConnection
from gateway.network.clients.request_handler import RequestHandler
from gateway.network.hot_restart.background_tasks import BackgroundTasks
from gateway.network.memory_limits import MAX_ACCEPT_BACKLOG
from gateway.network.socket_buffers import SocketBuffers, limit_buffers

# Number of connections that are accepted in one iteration of the event loop at most. While many clients are
# busy, an iteration takes long, and few connections in each would leave the others in the accept queue.
ACCEPTS_PER_ITERATION = 64

# Seconds for which no connection is accepted after the system had no descriptor or memory for one.
ACCEPT_RETRY_DELAY_S = 0.05

# Errors of accept(2) after which the system needs time; any other one concerns a single connection.
SCARCITY_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class ClientListener:
    """Owns the listening socket for clients and accepts connections on it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handler: RequestHandler,
        address: Address,
        *,
        shares_address: bool,
        buffers: Callable[[], SocketBuffers],
        backlog: Callable[[], int],
    ) -> None:
        """Open nothing yet; accepted connections are served by `handler`.

        Args:
            loop: The event loop that accepts connections.
            handler: Handles the requests on the connections.
            address: The address for clients.
            shares_address: Whether a new socket is bound with SO_REUSEPORT, so that other processes can bind
                the address as well.
            buffers: Returns the present sizes of the buffers of accepted connections.
            backlog: Returns the present size of the accept queue, in connections.
        """
        self._loop = loop
        self._handler = handler
        self._address = address
        self._shares_address = shares_address
        self._buffers = buffers
        self._backlog = backlog
        self._socket: socket.socket | None = None
        self._tasks = BackgroundTasks(loop)
        self._retry: asyncio.TimerHandle | None = None  # None unless accepting pauses after an error
        self._starting_count = 0  # accepted connections that the handler does not know yet
        self.is_accepting = False  # whether connections are accepted on the socket

    def bind(self) -> None:
        """Bind a new socket to the address; raises OSError if the address cannot be used."""
        self._socket = bind_socket(socket.SOCK_STREAM, self._address, reuse_port=self._shares_address)

    def adopt_socket(self, sock: socket.socket) -> None:
        """Use the listening socket received from the predecessor, and own it from now on."""
        self._socket = sock

    def duplicate_descriptor(self) -> int:
        """Return a duplicate of the socket's descriptor, which the caller has to close.

        Raises OSError if the socket is not open.
        """
        if self._socket is None:
            raise OSError(
                f"the listening socket for clients at {self._address[0]}:{self._address[1]} is not open"
            )
        return os.dup(self._socket.fileno())

    def start_accepting(self) -> None:
        """Start accepting connections, if the socket is open; raises OSError if it cannot listen.

        Has no effect if connections are accepted already.
        """
        if self._socket is None or self.is_accepting:
            return
        limit_buffers(self._socket, self._buffers())
        self._socket.setblocking(False)
        self._socket.listen(self._backlog())
        self._loop.add_reader(self._socket.fileno(), self._accept_waiting)
        self.is_accepting = True

    def stop_accepting(self) -> None:
        """Stop accepting; new connections wait in the accept queue of the socket, which stays open."""
        if self._socket is not None and self.is_accepting:
            self._loop.remove_reader(self._socket.fileno())
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        self.is_accepting = False

    def _accept_waiting(self) -> None:
        """Accept the connections that wait, and close those for which there is no room at once."""
        for _ in range(ACCEPTS_PER_ITERATION):
            try:
                sock, _ = self._socket.accept()  # type: ignore[union-attr]  # it is open while it is watched
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in SCARCITY_ERRORS:
                    self._pause_accepting()
                    return
                continue
            if self._handler.may_admit(self._starting_count):
                self._starting_count += 1
                self._tasks.start(self._start(sock))
            else:
                sock.close()

    def _pause_accepting(self) -> None:
        """Stop watching the socket for a moment: it stays ready while the system has no resources."""
        if self._socket is not None:
            self._loop.remove_reader(self._socket.fileno())
            self._retry = self._loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self._retry = None
        if self._socket is not None and self.is_accepting:
            self._loop.add_reader(self._socket.fileno(), self._accept_waiting)

    async def _start(self, sock: socket.socket) -> None:
        """Serve an accepted connection, and count it as starting until the handler knows it."""
        try:
            await self._serve(sock)
        finally:
            self._starting_count -= 1

    async def _serve(self, sock: socket.socket) -> None:
        """Serve an accepted connection, unless the system has no resources for it."""
        try:
            sock.setblocking(False)
            await self._loop.connect_accepted_socket(lambda: ClientConnection(self._handler), sock)
        except OSError:
            sock.close()

    async def adopt_connection(self, sock: socket.socket) -> None:
        """Serve a connection that the predecessor has handed over, and own its socket from now on."""
        await self._loop.connect_accepted_socket(
            lambda: ClientConnection(self._handler, is_transferred=True), sock
        )

    async def accept_queued_connections(self) -> None:
        """Accept and serve the connections in the accept queue, which would be reset if the socket closed.

        Accepts MAX_ACCEPT_BACKLOG connections at most.
        """
        if self._socket is None:
            return
        for _ in range(MAX_ACCEPT_BACKLOG):
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return  # the accept queue is empty
            await self._serve(sock)

    def close(self) -> None:
        """Close the socket in this process; connections that are being served stay open."""
        self.stop_accepting()
        if self._socket is not None:
            self._socket.close()
            self._socket = None
