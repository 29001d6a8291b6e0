"""The UDP socket for gossip datagrams between gateways."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable

from gateway.config import Address, Config
from gateway.gossip.codec import MAX_DATAGRAM_BYTES
from gateway.network.bound_socket import bind_socket

# Receiver number that stands for all peers. The datagram goes to the configured address that reaches all of
# them (`Config.peers_all`).
ALL_PEERS = -1

log = logging.getLogger(__name__)


class GossipSocket:
    """Exchanges datagrams with the other gateways of the fleet, which are identified by their addresses.

    A plain socket is used because the event loop's datagram transport takes several times the CPU time for
    each datagram.
    """

    def __init__(self, config: Config, on_datagram: Callable[[int, bytes], None]) -> None:
        """Open nothing yet; `on_datagram` is called with the sender's gateway number and each datagram."""
        self._config = config
        self._on_datagram = on_datagram
        self._numbers_by_address = {
            address: number
            for number, address in enumerate(config.peers)
            if number != config.settings.gateway_number
        }
        self._loop: asyncio.AbstractEventLoop | None = None
        self._socket: socket.socket | None = None

    @property
    def sock(self) -> socket.socket | None:
        """The open socket, or None."""
        return self._socket

    def open(self, loop: asyncio.AbstractEventLoop, inherited: socket.socket | None = None) -> None:
        """Receive datagrams on the socket inherited from the predecessor, or on a new one.

        Does nothing if no address is configured. Raises OSError if the address cannot be used.
        """
        if self._config.peer_listen is None:
            return
        self._loop = loop
        self._socket = inherited or bind_socket(
            socket.SOCK_DGRAM, self._config.peer_listen, reuse_port=self._config.shares_addresses
        )
        self.start_receiving()

    def start_receiving(self) -> None:
        """Start to receive datagrams, if the socket is open."""
        if self._socket is not None and self._loop is not None:
            self._loop.add_reader(self._socket, self._receive, self._socket)

    def stop_receiving(self) -> None:
        """Stop receiving, so that another process with this socket gets all datagrams; sending goes on."""
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket)

    def send(self, receiver: int, data: bytes) -> None:
        """Send a datagram to the gateway with number `receiver`, or to all peers with ALL_PEERS.

        The datagram may be lost without an error. A datagram of more than MAX_DATAGRAM_BYTES is not sent, and
        an error is logged.
        """
        if self._socket is None:
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            log.error(
                "gossip: datagram of %d bytes to gateway %d not sent, the limit is %d bytes",
                len(data),
                receiver,
                MAX_DATAGRAM_BYTES,
            )
            return
        address = self._address_of(receiver)
        if address is not None:
            # OSError means that the peer is down or that the socket's send buffer is full.
            with contextlib.suppress(OSError):
                self._socket.sendto(data, address)

    def close(self) -> None:
        """Stop receiving and close the socket, if it is open."""
        if self._socket is not None:
            self.stop_receiving()
            self._socket.close()
            self._socket = None

    def _address_of(self, receiver: int) -> Address | None:
        peers = self._config.peers
        if receiver == ALL_PEERS:
            return self._config.peer_broadcast
        return peers[receiver] if 0 <= receiver < len(peers) else None

    def _receive(self, sock: socket.socket) -> None:
        """Receive one datagram; the event loop calls this method again while more are queued."""
        try:
            data, address = sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except OSError:  # the queue is empty, or an earlier datagram from here could not be delivered
            return
        # Datagrams from unknown addresses and datagrams above the maximum size are ignored.
        sender = self._numbers_by_address.get(address)
        if sender is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self._on_datagram(sender, data)
