"""What the kernel holds in the buffers of TCP sockets, as its socket diagnostics report it.

A group of processes with a memory limit is charged for these bytes as well as for resident pages. Sockets
count that wait in the accept queue, and so do closed ones whose last bytes the peer has not acknowledged.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Collection, Iterator
from dataclasses import dataclass

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
REQUEST_DUMP = 0x301  # NLM_F_REQUEST | NLM_F_DUMP
MESSAGE_DONE = 3
MESSAGE_ERROR = 2
MEMORY_ATTRIBUTE = 7  # INET_DIAG_SKMEMINFO
ALL_STATES = 0xFFFFFFFF
RECEIVE_BYTES = 1 << 20

_HEADER = struct.Struct("=IHHII")  # of a netlink message: length, type, flags, sequence, port
_REQUEST = struct.Struct("=BBBBI48s")  # family, protocol, attributes, padding, states, socket
_SOCKET = struct.Struct("!4xHH")  # within a reply: local and remote port
_ATTRIBUTE = struct.Struct("=HH")  # length, type
_MEMORY = struct.Struct("=IIIIIIII")
REPLY_BYTES = 72  # the fixed part of a reply


@dataclass(frozen=True)
class SocketMemory:
    """The buffers of one socket in bytes."""

    local_port: int
    remote_port: int
    received: int  # waits to be read
    sent: int  # written and not acknowledged by the peer
    allocated: int  # set aside for the next bytes

    @property
    def total(self) -> int:
        """All bytes that the kernel holds for the socket."""
        return self.received + self.sent + self.allocated


def socket_memory() -> Iterator[SocketMemory]:
    """Yield the buffers of each TCP socket over IPv4 of this machine."""
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as link:
        link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        request = _REQUEST.pack(
            socket.AF_INET, socket.IPPROTO_TCP, 1 << (MEMORY_ATTRIBUTE - 1), 0, ALL_STATES, bytes(48)
        )
        header = _HEADER.pack(_HEADER.size + len(request), SOCK_DIAG_BY_FAMILY, REQUEST_DUMP, 1, 0)
        link.sendto(header + request, (0, 0))
        while True:
            data = link.recv(RECEIVE_BYTES)
            offset = 0
            while offset < len(data):
                length, kind, *_ = _HEADER.unpack_from(data, offset)
                if kind in (MESSAGE_DONE, MESSAGE_ERROR):
                    return
                yield _parse_reply(data[offset + _HEADER.size : offset + length])
                offset += -(-length // 4) * 4


def gateway_socket_bytes(gateway_port: int, endpoint_ports: Collection[int]) -> int:
    """Return the bytes that the kernel holds for a gateway's connections to clients and endpoints."""
    return sum(
        memory.total
        for memory in socket_memory()
        if memory.local_port == gateway_port or memory.remote_port in endpoint_ports
    )


def _parse_reply(reply: bytes) -> SocketMemory:
    local_port, remote_port = _SOCKET.unpack_from(reply)
    offset = REPLY_BYTES
    while offset < len(reply):
        length, kind = _ATTRIBUTE.unpack_from(reply, offset)
        if kind == MEMORY_ATTRIBUTE:
            received, _, _, _, allocated, sent, _, _ = _MEMORY.unpack_from(reply, offset + _ATTRIBUTE.size)
            return SocketMemory(local_port, remote_port, received, sent, allocated)
        offset += -(-length // 4) * 4
    return SocketMemory(local_port, remote_port, 0, 0, 0)
