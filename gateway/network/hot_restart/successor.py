"""The successor's side of a hot restart: it finds a predecessor and takes over the service."""

from __future__ import annotations

import asyncio
import socket

from gateway.errors import HandoverError
from gateway.network.gateway import Gateway
from gateway.network.hot_restart import handover_state
from gateway.network.hot_restart.background_tasks import BackgroundTasks
from gateway.network.hot_restart.client_listener import ClientListener
from gateway.network.hot_restart.packet_link import Packet, PacketKind, PacketLink, gossip_from
from gateway.network.hot_restart.socket_file import SocketFile

# Minimum number of descriptors to begin with, however many the predecessor holds.
MIN_INITIAL_DESCRIPTORS = 64


class SuccessorSide:
    """Asks the predecessor for the service and restores what it sends."""

    def __init__(
        self,
        gateway: Gateway,
        listener: ClientListener,
        socket_file: SocketFile | None,
        tasks: BackgroundTasks,
    ) -> None:
        """Restore the state into this gateway, and the listening socket into this listener."""
        self._gateway = gateway
        self._listener = listener
        self._socket_file = socket_file
        self._tasks = tasks
        self._predecessor: PacketLink | None = None
        self._handover: asyncio.Future[None] | None = None
        self._state = bytearray()

    @property
    def is_connected(self) -> bool:
        """Whether a predecessor has been found."""
        return self._predecessor is not None

    def connect(self) -> bool:
        """Connect to a predecessor; return False if there is none."""
        if self._socket_file is None:
            return False
        try:
            sock = self._socket_file.connect()
        except OSError:
            return False
        self._predecessor = PacketLink(self._gateway.loop, sock, self)
        return True

    async def take_over(self) -> None:
        """Ask for the service, and wait until the state and the sockets have been taken over.

        Raises HandoverError if the state cannot be restored, ConnectionError if the predecessor ends first.
        """
        if self._predecessor is None:
            raise ConnectionError("there is no predecessor")
        self._handover = self._gateway.loop.create_future()
        self._predecessor.send(Packet(PacketKind.TAKE_OVER))
        await self._handover

    def close(self) -> None:
        """Close the link to the predecessor, without a report to the gateway."""
        link = self._predecessor
        self._predecessor = None
        if link is not None:
            link.close()

    def on_packet(self, link: PacketLink, packet: Packet) -> None:
        """Take over what the packet carries."""
        match packet.kind:
            case PacketKind.STATE:
                self._state += packet.payload
            case PacketKind.SOCKETS if self._handover is not None and not self._handover.done():
                self._finish_handover(link, self._handover, packet)
            case PacketKind.CONNECTION if packet.descriptors:
                sock = socket.socket(fileno=packet.descriptors.pop())
                self._tasks.start(self._listener.adopt_connection(sock))
            case PacketKind.GOSSIP:
                self._gateway.on_sibling_gossip(*gossip_from(packet))
        packet.close_descriptors()

    def on_link_closed(self, link: PacketLink) -> None:
        """Fail a handover in progress; after it, report that the predecessor has ended."""
        if link is not self._predecessor or self._handover is None:
            return
        self._predecessor = None
        if self._handover.done():
            self._gateway.on_predecessor_ended()
        else:
            self._handover.set_exception(ConnectionError("the predecessor has ended"))

    def abort(self) -> None:
        """Go on without the predecessor, which has not handed over."""
        if self._predecessor is not None:
            self._predecessor.close()

    def _finish_handover(self, link: PacketLink, handover: asyncio.Future[None], packet: Packet) -> None:
        try:
            self._restore(link, packet)
        except Exception as error:  # whatever a predecessor of another version sends, this process starts
            handover.set_exception(HandoverError(repr(error)))
            return
        self._state.clear()
        handover.set_result(None)

    def _restore(self, link: PacketLink, packet: Packet) -> None:
        state = handover_state.decode(self._state)
        sockets = [socket.socket(fileno=descriptor) for descriptor in packet.descriptors]
        packet.descriptors.clear()
        gateway = self._gateway
        descriptors = max(MIN_INITIAL_DESCRIPTORS, gateway.config.max_descriptors - state.descriptors)
        gateway.take_over(link, state.controller_state, state.request_ids, descriptors)
        self._listener.adopt(sockets[0])
        gateway.gossip_socket.open(gateway.loop, sockets[1] if len(sockets) > 1 else None)
