"""Hot restart as one process sees it: it follows a predecessor, serves, and may get a successor.

The two processes meet at the socket file and exchange packets (`packet_link`). The successor restores the
predecessor's state, accepts clients at the same socket, and gets each client's connection once it is idle.
Open requests stay with the predecessor until they are answered.
"""

from __future__ import annotations

import asyncio
import logging

from gateway.errors import HandoverError
from gateway.network.gateway import Gateway
from gateway.network.hot_restart.background_tasks import BackgroundTasks
from gateway.network.hot_restart.client_listener import ClientListener
from gateway.network.hot_restart.predecessor import PredecessorSide
from gateway.network.hot_restart.socket_file import SocketFile
from gateway.network.hot_restart.successor import SuccessorSide

# Handover timeout, seconds: bounds how long an unresponsive predecessor delays the start of its successor.
HANDOVER_TIMEOUT_S = 1.0

log = logging.getLogger(__name__)


class HotRestart:
    """The clients' listening socket of a process, and its links to a predecessor and a successor."""

    def __init__(self, gateway: Gateway) -> None:
        """Open nothing yet. Without a socket folder no process follows another."""
        config = gateway.config
        self._gateway = gateway
        tasks = BackgroundTasks(gateway.loop)
        socket_file = SocketFile(config.socket_folder, config.listen) if config.socket_folder else None
        self._listener = ClientListener(
            gateway.loop, gateway.frontend, config.listen, shares_address=config.shares_addresses
        )
        self._predecessor_side = PredecessorSide(gateway, self._listener, socket_file, tasks)
        self._successor_side = SuccessorSide(gateway, self._listener, socket_file, tasks)

    @property
    def is_retired(self) -> bool:
        """Whether a successor serves."""
        return self._gateway.role.is_retired

    async def find(self) -> None:
        """Connect to a predecessor; if there is none, serve at once.

        Raises OSError if an address cannot be used.
        """
        if not self._successor_side.connect():
            await self._bind_and_serve()

    async def take_over(self) -> None:
        """Take over the service of the predecessor that was found; if it fails, serve beside it.

        Raises OSError if an address cannot be used.
        """
        if not self._successor_side.is_connected:
            return
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                await self._successor_side.take_over()
                await self._predecessor_side.serve()
        except (OSError, HandoverError) as error:
            log.warning(
                "hot restart: predecessor did not hand over within %.1f s, binding own sockets: %r",
                HANDOVER_TIMEOUT_S,
                error,
            )
            self._successor_side.abort()
            if not self._listener.is_accepting:
                await self._bind_and_serve()

    async def close(self) -> None:
        """Accept no more connections; those in the socket's queue are served, unless a successor does."""
        self._predecessor_side.stop_listening()
        self._listener.stop_accepting()
        if not self.is_retired:
            await self._listener.accept_queued()
        self._listener.close()

    def close_links(self) -> None:
        """Close the links to other processes, at the end of this one."""
        self._successor_side.close()
        self._predecessor_side.close()

    async def _bind_and_serve(self) -> None:
        self._listener.bind()
        if self._gateway.gossip_socket.sock is None:
            self._gateway.gossip_socket.open(self._gateway.loop)
        await self._predecessor_side.serve()
