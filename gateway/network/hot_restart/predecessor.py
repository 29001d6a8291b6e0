"""The predecessor's side of a hot restart: it waits for a successor and hands over the service."""

from __future__ import annotations

import logging
import os
import socket

from gateway.network.clients.connection_limiter import ConnectionLimiter, LimitedConnection
from gateway.network.gateway import Gateway
from gateway.network.hot_restart.background_tasks import BackgroundTasks
from gateway.network.hot_restart.client_listener import ClientListener
from gateway.network.hot_restart.handover_state import HandoverState
from gateway.network.hot_restart.packet_link import Packet, PacketKind, PacketLink, gossip_from
from gateway.network.hot_restart.socket_file import SocketFile

# State chunk, bytes: how much of the state one packet carries.
STATE_CHUNK_BYTES = 32 * 1024

log = logging.getLogger(__name__)


class PredecessorSide:
    """Listens on the socket file and hands over to the first process that asks for the service."""

    def __init__(
        self,
        gateway: Gateway,
        listener: ClientListener,
        socket_file: SocketFile | None,
        tasks: BackgroundTasks,
    ) -> None:
        """Hand over the service of this gateway; without a socket file no successor finds it."""
        self._gateway = gateway
        self._listener = listener
        self._socket_file = socket_file
        self._tasks = tasks
        self._socket: socket.socket | None = None
        self._successor: PacketLink | None = None

    async def serve(self) -> None:
        """Accept clients, and wait for a successor; raises OSError."""
        await self._listener.start_accepting()
        self._listen()

    def _listen(self) -> None:
        if self._socket_file is None:
            return
        try:
            sock = self._socket_file.listen()
        except OSError as error:
            log.warning("hot restart: disabled, cannot listen on the socket file: %s", error)
            return
        self._socket = sock
        self._gateway.loop.add_reader(sock, self._accept, sock)

    def stop_listening(self) -> None:
        """Accept no successor; the file remains until the next process replaces it."""
        if self._socket is not None:
            self._gateway.loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def close(self) -> None:
        """Close the link to the successor, without serving again."""
        link = self._successor
        self._successor = None
        if link is not None:
            link.close()

    def on_packet(self, link: PacketLink, packet: Packet) -> None:
        """Hand over, or report a datagram of the successor.

        A process that starts, shuts down or has handed over already closes the link, so that the other one
        need not wait for the state.
        """
        packet.close_descriptors()
        if packet.kind is PacketKind.TAKE_OVER and self._gateway.ready:
            self._hand_over(link)
        elif packet.kind is PacketKind.TAKE_OVER:
            link.close()
        elif packet.kind is PacketKind.GOSSIP and link is self._successor:
            self._gateway.on_sibling_gossip(*gossip_from(packet))

    def on_link_closed(self, link: PacketLink) -> None:
        """Serve again if the successor has ended, unless this process is shutting down."""
        if link is not self._successor:
            return
        self._successor = None
        if self._gateway.on_successor_ended():
            log.warning(
                "hot restart: successor of gateway %s ended, resuming service", self._gateway.config.name
            )
            self._tasks.start(self.serve())

    def _accept(self, listening: socket.socket) -> None:
        try:
            sock, _ = listening.accept()
        except OSError:
            return  # the successor has ended in between
        sock.setblocking(False)
        # The event loop holds the link until it is closed.
        PacketLink(self._gateway.loop, sock, self)

    def _hand_over(self, link: PacketLink) -> None:
        gateway = self._gateway
        self._successor = link
        controller_state = gateway.retire(Successor(link, gateway.connections))
        self.stop_listening()
        self._listener.stop_accepting()
        state = HandoverState(
            request_ids=gateway.requests.ids.to_json(),
            controller_state=controller_state,
            descriptors=len(os.listdir("/proc/self/fd")),
        )
        _send_state(link, state.encode())
        self._send_sockets(link)
        gateway.frontend.hand_over_idle_connections()
        log.info(
            "hot restart: gateway %s handed over to its successor, %d open requests remain",
            gateway.config.name,
            len(gateway.requests.open),
        )

    def _send_sockets(self, link: PacketLink) -> None:
        descriptors = [self._listener.duplicate_descriptor()]
        gossip_socket = self._gateway.gossip_socket.sock
        if gossip_socket is not None:
            descriptors.append(os.dup(gossip_socket.fileno()))
        link.send(Packet(PacketKind.SOCKETS, descriptors=descriptors))


class Successor:
    """The successor, as the gateway that has handed over sees it (`SuccessorLink`)."""

    def __init__(self, link: PacketLink, connections: ConnectionLimiter) -> None:
        """Send packets on this link; connections that are handed over leave the table."""
        self._link = link
        self._connections = connections

    def send_gossip(self, sender: int, data: bytes) -> None:
        """Forward a datagram from the gateway of that number."""
        self._link.send_gossip(sender, data)

    def hand_over(self, client: LimitedConnection) -> None:
        """Pass on an idle connection.

        From now on it is not read here; what the client sends waits in the socket for the successor.
        """
        transport = client.transport
        if transport is None:
            return  # it is not connected
        transport.pause_reading()
        descriptor = os.dup(transport.get_extra_info("socket").fileno())
        self._link.send(Packet(PacketKind.CONNECTION, descriptors=[descriptor]))
        client.abort()
        self._connections.remove(client)


def _send_state(link: PacketLink, data: bytes) -> None:
    for start in range(0, len(data), STATE_CHUNK_BYTES):
        link.send(Packet(PacketKind.STATE, data[start : start + STATE_CHUNK_BYTES]))
