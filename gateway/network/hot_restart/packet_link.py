"""Packets between two processes of a gateway, over a Unix socket of type SOCK_SEQPACKET.

The first byte of a packet is its type; file descriptors may be attached. The successor sends TAKE_OVER. The
predecessor replies with its state in chunks (STATE), then with the listening sockets (SOCKETS), and then with
each client connection that is idle (CONNECTION). Both processes forward gossip datagrams (GOSSIP).

The successor decides which ids of requests are unused. It announces this (CLAIMS_SUPPORTED), and from then on
the predecessor asks it about each further request that it receives (CLAIM, CLAIM_REPLY). A process of an
earlier version ignores these packets.
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

# Maximum size of a received packet, in bytes. It is the size of the buffer of one read; the kernel truncates
# a longer packet.
MAX_PACKET_BYTES = 64 * 1024

# Maximum number of file descriptors received with one packet.
MAX_PACKET_DESCRIPTORS = 4

# Number of packets in the send queue of a link from which on further gossip datagrams are dropped. Datagrams
# may be lost in any case. The packets of a handover must not be lost, and are queued without a limit.
MAX_QUEUED_PACKETS = 1024

# Header of a GOSSIP payload: the number of the gateway that sent the datagram, unsigned 16-bit little-endian.
_SENDER_NUMBER = struct.Struct("<H")

# Header of a CLAIM payload, before the id: the number of the claim, unsigned 32-bit little-endian.
_CLAIM_NUMBER = struct.Struct("<I")

# A CLAIM_REPLY payload: the number of the claim, and whether the id was unused.
_CLAIM_REPLY = struct.Struct("<I?")


class PacketType(Enum):
    """The type of a packet; the value is the first byte of the packet."""

    TAKE_OVER = b"T"
    STATE = b"S"
    SOCKETS = b"G"
    CONNECTION = b"C"
    GOSSIP = b"H"
    CLAIMS_SUPPORTED = b"I"
    CLAIM = b"Q"
    CLAIM_REPLY = b"R"


_TYPES_BY_BYTE = {packet_type.value: packet_type for packet_type in PacketType}


@dataclass(frozen=True, slots=True)
class Packet:
    """One packet. Whoever holds the packet owns its descriptors and has to close them or take them out."""

    type: PacketType
    payload: bytes = b""
    descriptors: list[int] = field(default_factory=list)

    def encode(self) -> bytes:
        """Return the bytes on the wire, without the descriptors."""
        return self.type.value + self.payload

    def close_descriptors(self) -> None:
        """Close and remove the descriptors that are still in the packet."""
        while self.descriptors:
            os.close(self.descriptors.pop())


def decode(data: bytes, descriptors: list[int]) -> Packet | None:
    """Return the packet with these bytes and descriptors, or None if the type is unknown.

    In the case of None the caller still owns the descriptors.
    """
    packet_type = _TYPES_BY_BYTE.get(data[:1])
    return None if packet_type is None else Packet(packet_type, data[1:], descriptors)


def encode_gossip(sender: int, datagram: bytes) -> Packet:
    """Return a GOSSIP packet with a datagram and the number of the gateway that sent it."""
    return Packet(PacketType.GOSSIP, _SENDER_NUMBER.pack(sender) + datagram)


def decode_gossip(packet: Packet) -> tuple[int, bytes]:
    """Return the number of the sending gateway and the datagram of a GOSSIP packet.

    Raises struct.error if the payload is shorter than the sender's number.
    """
    (sender,) = _SENDER_NUMBER.unpack(packet.payload[: _SENDER_NUMBER.size])
    return sender, packet.payload[_SENDER_NUMBER.size :]


def encode_claim(number: int, request_id: bytes) -> Packet:
    """Return a CLAIM packet with the number of the claim and the id of a request."""
    return Packet(PacketType.CLAIM, _CLAIM_NUMBER.pack(number) + request_id)


def decode_claim(packet: Packet) -> tuple[int, bytes]:
    """Return the number of the claim and the id in a CLAIM packet; raises struct.error if it is too short."""
    (number,) = _CLAIM_NUMBER.unpack(packet.payload[: _CLAIM_NUMBER.size])
    return number, packet.payload[_CLAIM_NUMBER.size :]


def encode_claim_reply(number: int, *, is_granted: bool) -> Packet:
    """Return a CLAIM_REPLY packet for the claim with this number."""
    return Packet(PacketType.CLAIM_REPLY, _CLAIM_REPLY.pack(number, is_granted))


def decode_claim_reply(packet: Packet) -> tuple[int, bool]:
    """Return the number of the claim and whether it is granted; raises struct.error for another length."""
    number, is_granted = _CLAIM_REPLY.unpack(packet.payload)
    return number, is_granted


class PacketListener(Protocol):
    """The receiver of a link's packets and of its end."""

    def on_packet(self, link: PacketLink, packet: Packet) -> None:
        """Handle a received packet, whose descriptors the listener now owns."""

    def on_link_closed(self, link: PacketLink) -> None:
        """Handle the end of the link; called exactly once, whichever process has closed the link."""


class PacketLink:
    """A connection to another process of this gateway; packets are sent and received in order."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, listener: PacketListener
    ) -> None:
        """Start receiving on `sock`, a connected non-blocking socket that the link owns from now on."""
        self._loop = loop
        self._socket = sock
        self._listener = listener
        self._queue: deque[Packet] = deque()
        self._is_closed = False
        loop.add_reader(sock, self._read)

    def send(self, packet: Packet) -> None:
        """Send a packet, or queue it while the socket is not writable.

        The link owns the descriptors of the packet, and closes them once the packet has been sent.
        """
        self._queue.append(packet)
        if len(self._queue) == 1:
            self._write()

    def send_gossip(self, sender: int, data: bytes) -> None:
        """Forward a datagram from the gateway with number `sender`, unless MAX_QUEUED_PACKETS are queued."""
        if len(self._queue) < MAX_QUEUED_PACKETS:
            self.send(encode_gossip(sender, data))

    def close(self) -> None:
        """Close the socket and the descriptors of queued packets, and notify the listener.

        Has no effect if the link is closed.
        """
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
