"""Hot restart of one process: it takes over from a predecessor, serves, and hands over to a successor.

The successor connects to the predecessor through a socket file, and the two exchange packets (`packet_link`).
The successor restores the predecessor's state and accepts clients on the same listening socket. The
predecessor hands over each client's connection once the connection is idle. Open requests stay with the
predecessor until they are answered.
"""

from __future__ import annotations

import asyncio
import logging

from gateway.errors import HandoverError
from gateway.network.bound_socket import open_when_available
from gateway.network.gateway import Gateway
from gateway.network.hot_restart.background_tasks import BackgroundTasks
from gateway.network.hot_restart.client_listener import ClientListener
from gateway.network.hot_restart.predecessor import PredecessorSide
from gateway.network.hot_restart.socket_file import SocketFile
from gateway.network.hot_restart.successor import SuccessorSide

# Maximum time in seconds for which a starting process waits for its predecessor to hand over. It limits the
# delay that an unresponsive predecessor causes.
HANDOVER_TIMEOUT_S = 1.0

log = logging.getLogger(__name__)


class HotRestart:
    """Takes over the service from a predecessor, serves clients, and hands over to a successor.

    Owns the listening socket for clients and the links to both processes. New sockets are bound only without
    a predecessor or after a failed takeover.
    """

    def __init__(self, gateway: Gateway) -> None:
        """Open nothing yet.

        Without a folder for the socket file (`config.socket_folder`), hot restart is disabled: the process
        finds no predecessor, and no successor can connect to it.
        """
        config = gateway.config
        self._gateway = gateway
        tasks = BackgroundTasks(gateway.loop)
        socket_file = SocketFile(config.socket_folder, config.listen) if config.socket_folder else None
        self._listener = ClientListener(
            gateway.loop,
            gateway.frontend,
            config.listen,
            shares_address=config.shares_addresses,
            buffers=lambda: gateway.client_buffers,
            backlog=lambda: gateway.accept_backlog,
        )
        self._predecessor_side = PredecessorSide(gateway, self._listener, socket_file, tasks)
        self._successor_side = SuccessorSide(gateway, self._listener, socket_file, tasks)

    @property
    def is_retired(self) -> bool:
        """Whether a successor has taken over the service from this process and still runs."""
        return self._gateway.role.is_retired

    async def connect_or_serve(self) -> None:
        """Connect to the predecessor; if none runs, bind new sockets and accept clients at once.

        Raises OSError if an address cannot be used.
        """
        if not self._successor_side.connect():
            await self._bind_and_serve()

    async def take_over(self) -> None:
        """Take over from the connected predecessor; if that fails, bind new sockets and accept clients.

        HANDOVER_TIMEOUT_S covers the handover and the start of serving on the predecessor's listening socket.
        After a failure, the link to the predecessor is closed. If this process accepts clients already by
        then, no new sockets are bound.

        Does nothing if `connect_or_serve` found no predecessor. Raises OSError if an address cannot be used.
        """
        if not self._successor_side.is_connected:
            return
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                await self._successor_side.take_over()
                await self._predecessor_side.start_serving()
        except (OSError, HandoverError) as error:
            log.warning(
                "hot restart: takeover from the predecessor failed (timeout %.1f s), binding new sockets: %r",
                HANDOVER_TIMEOUT_S,
                error,
            )
            self._successor_side.abort()
            if not self._listener.is_accepting:
                await self._bind_and_serve()

    async def close_listeners(self) -> None:
        """Stop accepting clients and successors, and close the listening sockets.

        Before the listening socket for clients closes, the connections in its accept queue are accepted and
        served, because closing the socket would reset them. If a successor has taken over, they stay in the
        queue: the successor has the same listening socket open and accepts them.
        """
        self._predecessor_side.stop_listening()
        self._listener.stop_accepting()
        if not self.is_retired:
            await self._listener.accept_queued_connections()
        self._listener.close()

    def close_links(self) -> None:
        """Close the links to the predecessor and the successor, when this process ends."""
        self._successor_side.close()
        self._predecessor_side.close()

    async def _bind_and_serve(self) -> None:
        await open_when_available(self._open_sockets)
        await self._predecessor_side.start_serving()

    async def _open_sockets(self) -> None:
        """Listen for clients and peers; raises OSError if an address cannot be used, and leaves it free."""
        try:
            self._listener.bind()
            self._listener.start_accepting()
            if self._gateway.gossip_socket.sock is None:
                self._gateway.gossip_socket.open(self._gateway.loop)
        except OSError:
            self._listener.close()
            raise
