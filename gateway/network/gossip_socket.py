"""Datagrams between gateways."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable

from gateway.config import Address, Config
from gateway.gossip.codec import MAX_BYTES
from gateway.network.bound_socket import bind_socket

# Receiver of a datagram to all peers, in place of a gateway's number.
ALL_PEERS = -1

log = logging.getLogger(__name__)


class GossipSocket:
    """Exchanges datagrams with other gateways, which are identified by their addresses.

    It is a plain socket: the event loop's datagram transport needs several times the CPU for each datagram.
    """

    def __init__(self, config: Config, on_message: Callable[[int, bytes], None]) -> None:
        """Pass the datagrams of other gateways to `on_message`, with the sender's number."""
        self._config = config
        self._on_message = on_message
        self._numbers = {
            address: number for number, address in enumerate(config.peers) if number != config.settings.number
        }
        self._loop: asyncio.AbstractEventLoop | None = None
        self._socket: socket.socket | None = None

    @property
    def sock(self) -> socket.socket | None:
        """The socket, if it is open."""
        return self._socket

    def open(self, loop: asyncio.AbstractEventLoop, handed_over: socket.socket | None = None) -> None:
        """Listen on the predecessor's socket, or on a new one; do nothing if no address is configured.

        Raises OSError if the address cannot be used.
        """
        if self._config.peer_listen is None:
            return
        self._loop = loop
        self._socket = handed_over or bind_socket(
            socket.SOCK_DGRAM, self._config.peer_listen, is_shared=self._config.shares_addresses
        )
        self.start_receiving()

    def start_receiving(self) -> None:
        """Receive datagrams."""
        if self._socket is not None and self._loop is not None:
            self._loop.add_reader(self._socket, self._receive, self._socket)

    def stop_receiving(self) -> None:
        """Leave datagrams to another process; this one can still send."""
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket)

    def send(self, receiver: int, data: bytes) -> None:
        """Send a datagram to the gateway of that number, or to ALL_PEERS; it may be lost."""
        if self._socket is None:
            return
        if len(data) > MAX_BYTES:
            log.error(
                "gossip: datagram of %d bytes to gateway %d not sent, the limit is %d bytes",
                len(data),
                receiver,
                MAX_BYTES,
            )
            return
        address = self._address_of(receiver)
        if address is not None:
            # OSError: the peer is down, or the socket's buffer is full.
            with contextlib.suppress(OSError):
                self._socket.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self.stop_receiving()
            self._socket.close()
            self._socket = None

    def _address_of(self, receiver: int) -> Address | None:
        peers = self._config.peers
        if receiver == ALL_PEERS:
            return self._config.peers_all
        return peers[receiver] if 0 <= receiver < len(peers) else None

    def _receive(self, sock: socket.socket) -> None:
        """Receive one datagram; the event loop calls again if more are queued."""
        try:
            data, address = sock.recvfrom(MAX_BYTES + 1)
        except OSError:  # the queue is empty, or a datagram of ours could not be delivered
            return
        # Datagrams from unknown addresses and oversized ones are ignored.
        number = self._numbers.get(address)
        if number is not None and len(data) <= MAX_BYTES:
            self._on_message(number, data)
