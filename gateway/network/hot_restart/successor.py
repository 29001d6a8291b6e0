"""The successor's side of a hot restart: it connects to the predecessor and takes over the service."""

from __future__ import annotations

import asyncio
import socket

from gateway.errors import HandoverError
from gateway.network.gateway import Gateway
from gateway.network.hot_restart import handover_state
from gateway.network.hot_restart.background_tasks import BackgroundTasks
from gateway.network.hot_restart.client_listener import ClientListener
from gateway.network.hot_restart.packet_link import (
    Packet,
    PacketLink,
    PacketType,
    decode_claim,
    decode_gossip,
    encode_claim_reply,
)
from gateway.network.hot_restart.socket_file import SocketFile

# Minimum number of file descriptors that a successor may use while its predecessor runs. Otherwise the
# successor uses the descriptors of the configured limit that the predecessor does not hold. The minimum lets
# it serve even if the predecessor holds nearly all of them.
MIN_INITIAL_DESCRIPTORS = 64


class SuccessorSide:
    """Requests the handover from the predecessor, and restores the state and the sockets that it sends."""

    def __init__(
        self,
        gateway: Gateway,
        listener: ClientListener,
        socket_file: SocketFile | None,
        tasks: BackgroundTasks,
    ) -> None:
        """Open no link yet, which `connect` does.

        A takeover restores the state in `gateway`, and passes the listening socket for clients to `listener`.
        """
        self._gateway = gateway
        self._listener = listener
        self._socket_file = socket_file
        self._tasks = tasks
        self._predecessor: PacketLink | None = None
        self._takeover: asyncio.Future[None] | None = None
        self._encoded_state = bytearray()

    @property
    def is_connected(self) -> bool:
        """Whether `connect` has succeeded and the end of the link has not been handled yet.

        If the link closes before `take_over` is called, the value stays True.
        """
        return self._predecessor is not None

    def connect(self) -> bool:
        """Connect to the predecessor; return False if no process accepts the connection."""
        if self._socket_file is None:
            return False
        try:
            sock = self._socket_file.connect()
        except OSError:
            return False
        self._predecessor = PacketLink(self._gateway.loop, sock, self)
        return True

    async def take_over(self) -> None:
        """Request the handover, and wait until the state is restored and the sockets are open.

        If the link has closed between `connect` and this call, the wait does not end, so the caller has to
        set a timeout.

        Raises HandoverError if the state cannot be restored. Raises ConnectionError if `connect` has not
        succeeded, or if the link closes during the wait.
        """
        if self._predecessor is None:
            raise ConnectionError("no predecessor is connected")
        self._takeover = self._gateway.loop.create_future()
        self._predecessor.send(Packet(PacketType.TAKE_OVER))
        self._predecessor.send(Packet(PacketType.CLAIMS_SUPPORTED))
        await self._takeover

    def close(self) -> None:
        """Close the link to the predecessor, if it is open, when this process ends.

        Unlike `abort`, the gateway is not notified that the predecessor has ended.
        """
        link = self._predecessor
        self._predecessor = None
        if link is not None:
            link.close()

    def on_packet(self, link: PacketLink, packet: Packet) -> None:
        """Restore the state, the sockets, a client's connection or a datagram that the predecessor sends."""
        match packet.type:
            case PacketType.STATE:
                self._encoded_state += packet.payload
            case PacketType.SOCKETS if self._takeover is not None and not self._takeover.done():
                self._finish_takeover(link, self._takeover, packet)
            case PacketType.CONNECTION if packet.descriptors:
                sock = socket.socket(fileno=packet.descriptors.pop())
                self._tasks.start(self._listener.adopt_connection(sock))
            case PacketType.GOSSIP:
                self._gateway.on_sibling_gossip(*decode_gossip(packet))
            case PacketType.CLAIM:
                self._reply_to_claim(link, packet)
        packet.close_descriptors()

    def _reply_to_claim(self, link: PacketLink, packet: Packet) -> None:
        number, request_id = decode_claim(packet)
        self._gateway.claim_id(
            request_id,
            lambda is_granted: link.send(encode_claim_reply(number, is_granted=is_granted)),
        )

    def on_link_closed(self, link: PacketLink) -> None:
        """Handle the end of the link to the predecessor.

        During the wait in `take_over`, that call fails with a ConnectionError. Once the wait is over, the
        gateway is notified that the predecessor has ended. This is also done if the wait has ended by a
        timeout or a HandoverError and `abort` closes the link, even if nothing has been taken over.

        Does nothing after `close`, or if `take_over` has not been called.
        """
        if link is not self._predecessor or self._takeover is None:
            return
        self._predecessor = None
        if self._takeover.done():
            self._gateway.on_predecessor_ended()
        else:
            self._takeover.set_exception(
                ConnectionError("the predecessor closed the link before it handed over")
            )

    def abort(self) -> None:
        """Close the link to the predecessor after a failed takeover, if it is still open.

        `on_link_closed` then notifies the gateway that the predecessor has ended.
        """
        if self._predecessor is not None:
            self._predecessor.close()

    def _finish_takeover(self, link: PacketLink, takeover: asyncio.Future[None], packet: Packet) -> None:
        try:
            self._restore(link, packet)
        except Exception as error:
            # An invalid state, for example from another version of the gateway, must not prevent the start.
            takeover.set_exception(HandoverError(f"the predecessor's state cannot be restored: {error!r}"))
            return
        self._encoded_state.clear()
        takeover.set_result(None)

    def _restore(self, link: PacketLink, packet: Packet) -> None:
        state = handover_state.decode(self._encoded_state)
        sockets = [socket.socket(fileno=descriptor) for descriptor in packet.descriptors]
        packet.descriptors.clear()
        gateway = self._gateway
        descriptors = max(MIN_INITIAL_DESCRIPTORS, gateway.config.max_descriptors - state.open_descriptors)
        gateway.take_over(link, state.controller_state, state.request_ids, descriptors)
        self._listener.adopt_socket(sockets[0])
        gateway.gossip_socket.open(gateway.loop, sockets[1] if len(sockets) > 1 else None)
