"""The predecessor's side of a hot restart: it waits for a successor and hands the service over to it."""

from __future__ import annotations

import logging
import os
import socket
from collections.abc import Callable

from gateway.network.clients.connection_limiter import LimitedConnection
from gateway.network.gateway import Gateway
from gateway.network.hot_restart.background_tasks import BackgroundTasks
from gateway.network.hot_restart.client_listener import ClientListener
from gateway.network.hot_restart.handover_state import HandoverState
from gateway.network.hot_restart.packet_link import (
    Packet,
    PacketLink,
    PacketType,
    decode_claim_reply,
    decode_gossip,
    encode_claim,
)
from gateway.network.hot_restart.socket_file import SocketFile

# Maximum number of bytes of the encoded state in one STATE packet. The packet fits into the buffer into which
# the successor reads it (MAX_PACKET_BYTES).
STATE_CHUNK_BYTES = 32 * 1024

# Milliseconds for which a claim may wait for its reply while it is not known whether the successor replies to
# claims. A successor that does tells so right after its request to take over.
UNSUPPORTED_CLAIM_TIMEOUT_MS = 200.0

log = logging.getLogger(__name__)


class PredecessorSide:
    """Listens on the socket file and hands the service over to the first process that requests it."""

    def __init__(
        self,
        gateway: Gateway,
        listener: ClientListener,
        socket_file: SocketFile | None,
        tasks: BackgroundTasks,
    ) -> None:
        """Open nothing yet; without a socket file no successor can connect."""
        self._gateway = gateway
        self._listener = listener
        self._socket_file = socket_file
        self._tasks = tasks
        self._listening_socket: socket.socket | None = None
        self._successor: PacketLink | None = None
        self._claims: Successor | None = None  # None until a successor has taken over

    async def start_serving(self) -> None:
        """Start accepting clients and a successor; raises OSError if the socket for clients cannot listen.

        If the socket file cannot be used, the process serves clients without hot restart.
        """
        self._listener.start_accepting()
        self._listen_for_successor()

    def _listen_for_successor(self) -> None:
        if self._socket_file is None:
            return
        try:
            sock = self._socket_file.listen()
        except OSError as error:
            log.warning("hot restart: disabled, cannot listen on the socket file: %s", error)
            return
        self._listening_socket = sock
        self._gateway.loop.add_reader(sock, self._accept_link, sock)

    def stop_listening(self) -> None:
        """Stop listening for successors; the socket file remains until a successor replaces it."""
        if self._listening_socket is not None:
            self._gateway.loop.remove_reader(self._listening_socket)
            self._listening_socket.close()
            self._listening_socket = None

    def close(self) -> None:
        """Close the link to the successor, if there is one, without resuming service."""
        link = self._successor
        self._successor = None
        if link is not None:
            link.close()

    def on_packet(self, link: PacketLink, packet: Packet) -> None:
        """Hand over on TAKE_OVER; report the gossip datagrams that the successor forwards.

        If this process is not ready (it is starting, shutting down, or has handed over), it answers TAKE_OVER
        by closing the link, so that the requesting process does not wait for a state that is never sent.
        """
        packet.close_descriptors()
        if packet.type is PacketType.TAKE_OVER and self._gateway.is_ready:
            self._hand_over(link)
        elif packet.type is PacketType.TAKE_OVER:
            link.close()
        elif packet.type is PacketType.GOSSIP and link is self._successor:
            self._gateway.on_sibling_gossip(*decode_gossip(packet))
        elif packet.type is PacketType.CLAIMS_SUPPORTED and self._claims is not None:
            self._claims.replies_to_claims = True
        elif packet.type is PacketType.CLAIM_REPLY and self._claims is not None:
            self._claims.on_reply(*decode_claim_reply(packet))

    def on_link_closed(self, link: PacketLink) -> None:
        """Resume service if the successor has ended, unless this process is shutting down."""
        if link is not self._successor:
            return
        self._successor = None
        claims = self._claims
        self._claims = None
        is_serving_again = self._gateway.on_successor_ended()
        if claims is not None:
            claims.grant_all()
        if is_serving_again:
            log.warning(
                "hot restart: successor of gateway %s ended, resuming service", self._gateway.config.name
            )
            self._tasks.start(self.start_serving())

    def _accept_link(self, listening_socket: socket.socket) -> None:
        try:
            sock, _ = listening_socket.accept()
        except OSError:
            return  # the connecting process has closed the connection before it was accepted
        sock.setblocking(False)
        # No reference is needed here: the event loop refers to the link as the reader of its socket.
        PacketLink(self._gateway.loop, sock, self)

    def _hand_over(self, link: PacketLink) -> None:
        gateway = self._gateway
        self._successor = link
        self._claims = Successor(link, gateway)
        controller_state = gateway.retire(self._claims)
        self.stop_listening()
        self._listener.stop_accepting()
        state = HandoverState(
            request_ids=gateway.requests.ids.to_strings(),
            controller_state=controller_state,
            open_descriptors=len(os.listdir("/proc/self/fd")),
        )
        _send_state(link, state.encode())
        self._send_sockets(link)
        gateway.frontend.hand_over_idle_connections()
        log.info(
            "hot restart: gateway %s handed over to its successor, %d open requests remain",
            gateway.config.name,
            len(gateway.requests.open_requests),
        )

    def _send_sockets(self, link: PacketLink) -> None:
        descriptors = [self._listener.duplicate_descriptor()]
        gossip_socket = self._gateway.gossip_socket.sock
        if gossip_socket is not None:
            descriptors.append(os.dup(gossip_socket.fileno()))
        link.send(Packet(PacketType.SOCKETS, descriptors=descriptors))


class Successor:
    """The link to the successor of this process; implements `SuccessorLink`."""

    def __init__(self, link: PacketLink, gateway: Gateway) -> None:
        """Send packets of `gateway` on `link`; its connections are removed when they are handed over."""
        self.replies_to_claims = False  # whether the successor has announced that it does
        self._link = link
        self._gateway = gateway
        self._last_claim = 0
        self._pending_claims: dict[int, Callable[[bool], None]] = {}

    def claim_id(self, request_id: bytes, on_result: Callable[[bool], None]) -> None:
        """Ask the successor whether the id of a request is unused; the result is passed to `on_result`.

        A successor of an earlier version does not reply: the claim is then granted after a timeout. The
        successor's end grants it as well.
        """
        self._last_claim += 1
        number = self._last_claim
        self._pending_claims[number] = on_result
        self._link.send(encode_claim(number, request_id))
        if not self.replies_to_claims:
            at_ms = self._gateway.clock.now() + UNSUPPORTED_CLAIM_TIMEOUT_MS
            self._gateway.timers.call_at(at_ms, lambda: self._on_claim_timeout(number))

    def on_reply(self, number: int, is_granted: bool) -> None:
        """Pass on the successor's reply to a claim; has no effect if the claim has been decided already."""
        on_result = self._pending_claims.pop(number, None)
        if on_result is not None:
            on_result(is_granted)

    def grant_all(self) -> None:
        """Grant the claims without a reply, because the successor has ended."""
        for number in list(self._pending_claims):
            self.on_reply(number, is_granted=True)

    def _on_claim_timeout(self, number: int) -> None:
        if not self.replies_to_claims:
            self.on_reply(number, is_granted=True)

    def send_gossip(self, sender: int, data: bytes) -> None:
        """Forward a datagram from the gateway with number `sender`, unless the send queue is full."""
        self._link.send_gossip(sender, data)

    def hand_over(self, client: LimitedConnection) -> None:
        """Send the client's idle connection to the successor, and close this process's descriptor of it.

        This process stops reading from the connection first. Bytes that the client sends from now on stay in
        the receive buffer of the socket until the successor reads them.
        """
        transport = client.transport
        if transport is None:
            return  # not reached for a ClientConnection, which has its transport before it is registered
        transport.pause_reading()
        descriptor = os.dup(transport.get_extra_info("socket").fileno())
        self._link.send(Packet(PacketType.CONNECTION, descriptors=[descriptor]))
        client.close_descriptor()
        self._gateway.connections.remove(client)


def _send_state(link: PacketLink, data: bytes) -> None:
    for start in range(0, len(data), STATE_CHUNK_BYTES):
        link.send(Packet(PacketType.STATE, data[start : start + STATE_CHUNK_BYTES]))
