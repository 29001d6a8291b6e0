"""Datagrams between gateways."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable

from gateway.config import Address, Config
from gateway.gossip.codec import MAX_BYTES

ALL_PEERS = -1  # the receiver of a message to all

log = logging.getLogger(__name__)


def bound(kind: socket.SocketKind, address: Address, shared: bool) -> socket.socket:
    """Return a socket bound to an address, which another process of this gateway may hold as well.

    Raises OSError where the address can't be used.
    """
    sock = socket.socket(socket.AF_INET, kind)
    try:
        sock.setblocking(False)
        if kind is socket.SOCK_STREAM:  # for datagrams it would let anybody take them
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


class GossipSocket:
    """Sends datagrams to other gateways and receives theirs; a sender is known by its address alone.

    On a plain socket: the loop's own datagram transport takes several times as long for each message.
    """

    def __init__(self, config: Config, on_message: Callable[[int, bytes], None]) -> None:
        """Hand what other gateways send to `on_message`, with the sender's number."""
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
        """Listen, where the configuration has peers: on a socket that was handed over, or on a new one."""
        if self._config.peer_listen is None:
            return
        self._loop = loop
        self._socket = handed_over or bound(
            socket.SOCK_DGRAM, self._config.peer_listen, self._config.shares_addresses
        )
        self.listen()

    def listen(self) -> None:
        """Receive datagrams."""
        if self._socket is not None and self._loop is not None:
            self._loop.add_reader(self._socket, self._receive)

    def stop_listening(self) -> None:
        """Leave datagrams to another process; this one only sends."""
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket)

    def send(self, receiver: int, data: bytes) -> None:
        """Send a datagram to one gateway by its number, or to ALL_PEERS. It may be lost, as any may be."""
        if self._socket is None:
            return
        if len(data) > MAX_BYTES:
            log.error("a message of %d bytes to gateway %d was not sent", len(data), receiver)
            return
        address = self._address_of(receiver)
        if address is not None:
            with contextlib.suppress(OSError):  # a peer that is down, or a full buffer
                self._socket.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self.stop_listening()
            self._socket.close()
            self._socket = None

    def _address_of(self, receiver: int) -> Address | None:
        peers = self._config.peers
        if receiver == ALL_PEERS:
            return self._config.peers_all
        return peers[receiver] if 0 <= receiver < len(peers) else None

    def _receive(self) -> None:
        """Receive one datagram; the loop calls again at once if there are more."""
        assert self._socket is not None
        try:
            data, address = self._socket.recvfrom(MAX_BYTES + 1)
        except OSError:  # nothing there, or the echo of a message that a peer could not take
            return
        number = self._numbers.get(address)
        if number is not None and len(data) <= MAX_BYTES:  # a stranger is no peer, whatever it says
            self._on_message(number, data)
