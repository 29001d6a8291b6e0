"""Packets between two processes of a gateway, over a Unix socket of the type SOCK_SEQPACKET.

The first byte of a packet names its kind; file descriptors may be attached. The successor sends TAKE_OVER.
The predecessor replies with its state in chunks (STATE), with the listening sockets (SOCKETS), and then with
each idle connection of a client (CONNECTION). Datagrams of peers go either way (GOSSIP).
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

# Maximum packet size, bytes: bounds what one read takes.
MAX_PACKET_BYTES = 64 * 1024

# Maximum number of descriptors that one read takes.
MAX_PACKET_DESCRIPTORS = 4

# Maximum number of queued packets: further datagrams of peers are dropped.
MAX_QUEUED_PACKETS = 1024

# The number of the sending gateway, in front of a datagram: unsigned, 16 bits, little-endian.
_SENDER = struct.Struct("<H")


class PacketKind(Enum):
    """The kinds of packets; the values are their first bytes."""

    TAKE_OVER = b"T"
    STATE = b"S"
    SOCKETS = b"G"
    CONNECTION = b"C"
    GOSSIP = b"H"


_KINDS = {kind.value: kind for kind in PacketKind}


@dataclass(frozen=True, slots=True)
class Packet:
    """One packet; its holder owns the descriptors."""

    kind: PacketKind
    payload: bytes = b""
    descriptors: list[int] = field(default_factory=list)

    def encode(self) -> bytes:
        """Return the bytes of the packet."""
        return self.kind.value + self.payload

    def close_descriptors(self) -> None:
        """Close the descriptors that have not been taken out of the packet."""
        while self.descriptors:
            os.close(self.descriptors.pop())


def decode(data: bytes, descriptors: list[int]) -> Packet | None:
    """Return the packet with these bytes and descriptors, or None if its kind is unknown."""
    kind = _KINDS.get(data[:1])
    return None if kind is None else Packet(kind, data[1:], descriptors)


def gossip_packet(sender: int, data: bytes) -> Packet:
    """Return a packet with a datagram of the gateway of that number."""
    return Packet(PacketKind.GOSSIP, _SENDER.pack(sender) + data)


def gossip_from(packet: Packet) -> tuple[int, bytes]:
    """Return the sender's number and the datagram in a packet.

    Raises struct.error if the packet is too short.
    """
    (sender,) = _SENDER.unpack(packet.payload[: _SENDER.size])
    return sender, packet.payload[_SENDER.size :]


class PacketListener(Protocol):
    """What a link reports to."""

    def on_packet(self, link: PacketLink, packet: Packet) -> None:
        """Handle a packet; the listener owns its descriptors."""

    def on_link_closed(self, link: PacketLink) -> None:
        """Note that the link has been closed, by either side."""


class PacketLink:
    """A connection between two processes of a gateway."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, listener: PacketListener
    ) -> None:
        """Own a connected socket in non-blocking mode, and report what it receives to the listener."""
        self._loop = loop
        self._socket = sock
        self._listener = listener
        self._queue: deque[Packet] = deque()
        self._is_closed = False
        loop.add_reader(sock, self._read)

    def send(self, packet: Packet) -> None:
        """Send a packet; its descriptors are closed in this process once it has been written."""
        self._queue.append(packet)
        if len(self._queue) == 1:
            self._write()

    def send_gossip(self, sender: int, data: bytes) -> None:
        """Send a datagram of the gateway of that number, or drop it if the queue is full."""
        if len(self._queue) < MAX_QUEUED_PACKETS:
            self.send(gossip_packet(sender, data))

    def close(self) -> None:
        """Close the socket and the descriptors of queued packets, and report it to the listener."""
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.remove_reader(self._socket)
        self._loop.remove_writer(self._socket)
        self._socket.close()
        for packet in self._queue:
            packet.close_descriptors()
        self._queue.clear()
        self._listener.on_link_closed(self)

    def _write(self) -> None:
        while self._queue and not self._is_closed:
            packet = self._queue[0]
            try:
                socket.send_fds(self._socket, [packet.encode()], packet.descriptors)
            except BlockingIOError:
                self._loop.add_writer(self._socket, self._write)
                return
            except OSError:
                self._loop.call_soon(self.close)
                return
            self._queue.popleft()
            packet.close_descriptors()
        if not self._is_closed:
            self._loop.remove_writer(self._socket)

    def _read(self) -> None:
        try:
            data, descriptors, _, _ = socket.recv_fds(self._socket, MAX_PACKET_BYTES, MAX_PACKET_DESCRIPTORS)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not data:
            self.close()
            return
        packet = decode(data, descriptors)
        if packet is not None:
            self._listener.on_packet(self, packet)
            return
        for descriptor in descriptors:
            os.close(descriptor)
