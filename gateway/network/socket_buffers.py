"""Limits and reports the bytes that the kernel holds in the buffers of TCP sockets.

These bytes belong to the memory of the process as much as its pages do. Without a limit the kernel adjusts
the buffers itself, up to several megabytes for each socket. A limit on the send buffer bounds the number of
its segments and not their sizes, so the kernel accepts more from a single write; `unacknowledged_bytes`
reports what it has accepted.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
import socket
import struct
from dataclasses import dataclass
from typing import Protocol

from gateway.config import Address

# Number of the ioctl request for the bytes that have been written and that the peer has not acknowledged.
SIOCOUTQ = 0x5411

# Value of SO_LINGER with which a close discards the bytes that the peer has not acknowledged.
DISCARD_ON_CLOSE = struct.pack("ii", 1, 0)

# Value of SO_LINGER with which the kernel delivers these bytes after a close; a new socket has it.
DELIVER_AFTER_CLOSE = struct.pack("ii", 0, 0)

# Factor by which the kernel enlarges the requested size of a buffer, for its own data.
KERNEL_SIZE_FACTOR = 2

# Least number of segments of the largest size for which a receive buffer has space.
SEGMENTS_PER_BUFFER = 2

# Largest size of a segment in bytes that a peer may send; on most networks the segments are smaller.
MAX_SEGMENT_BYTES = 4096

# Results of a non-blocking connect(2) that goes on in the background.
CONNECTING_ERRORS = frozenset((errno.EINPROGRESS, errno.EINTR))

_NO_BYTES = bytes(4)


class _Socket(Protocol):
    """The methods of a socket that this module calls."""

    def fileno(self) -> int: ...

    def setsockopt(self, level: int, option: int, value: int | bytes, /) -> None: ...


@dataclass(frozen=True, slots=True)
class SocketBuffers:
    """The sizes in bytes that are requested for the buffers of a socket; 0 leaves a size to the system."""

    receive_bytes: int = 0
    send_bytes: int = 0


def limit_buffers(sock: _Socket, buffers: SocketBuffers) -> None:
    """Request the sizes for a socket; a system that does not support it keeps its own sizes.

    A listening socket passes its sizes on to the connections that it accepts, from their first byte on. The
    sizes of a new socket have to be set before it connects, because they determine the offered window.
    """
    if buffers.receive_bytes:
        _set_option(sock, socket.SOL_SOCKET, socket.SO_RCVBUF, buffers.receive_bytes)
        # With a larger window, or with segments as large as the buffer, the kernel drops segments for which
        # it has no space, and the peer sends them again after 0.2 s at the earliest.
        segment_bytes = min(buffers.receive_bytes // SEGMENTS_PER_BUFFER, MAX_SEGMENT_BYTES)
        _set_option(sock, socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, buffers.receive_bytes)
        _set_option(sock, socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
    if buffers.send_bytes:
        _set_option(sock, socket.SOL_SOCKET, socket.SO_SNDBUF, buffers.send_bytes)


async def connect_socket(
    loop: asyncio.AbstractEventLoop, address: Address, buffers: SocketBuffers
) -> socket.socket:
    """Return a non-blocking socket with these buffers that is connected to the address.

    Raises OSError if that fails. In contrast to the event loop's `sock_connect`, this function resolves no
    name, for which the event loop would start threads.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        limit_buffers(sock, buffers)
        await _connect(loop, sock, address)
    except BaseException:
        sock.close()
        raise
    return sock


async def _connect(loop: asyncio.AbstractEventLoop, sock: socket.socket, address: Address) -> None:
    error = sock.connect_ex(address)
    if error in CONNECTING_ERRORS:
        writable = asyncio.Event()
        loop.add_writer(sock.fileno(), writable.set)
        try:
            await writable.wait()
        finally:
            loop.remove_writer(sock.fileno())
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that the kernel holds until the peer acknowledges them; 0 if that is unknown."""
    if transport.is_closing():
        return 0
    sock = transport.get_extra_info("socket")
    if sock is None:
        return 0
    try:
        return int.from_bytes(fcntl.ioctl(sock.fileno(), SIOCOUTQ, _NO_BYTES), "little", signed=True)
    except OSError:
        return 0


def output_bytes(transport: asyncio.Transport) -> int:
    """Return the written bytes that the process or the kernel holds until the peer acknowledges them."""
    return transport.get_write_buffer_size() + unacknowledged_bytes(transport)


def abort_and_discard(transport: asyncio.Transport) -> None:
    """Close a connection at once, and discard its output in the process and in the kernel.

    Otherwise the kernel keeps the output of a closed socket until the peer has read it, for minutes. No other
    process may use the socket, because the option that discards the output belongs to the socket.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and unacknowledged_bytes(transport):
        _set_option(sock, socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_ON_CLOSE)
    transport.abort()


def deliver_after_close(transport: asyncio.Transport) -> None:
    """Have the kernel deliver what it holds of the output after a close of the connection.

    This is needed for a socket that another process has used, which may have set it to discard its output.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        _set_option(sock, socket.SOL_SOCKET, socket.SO_LINGER, DELIVER_AFTER_CLOSE)


def _set_option(sock: _Socket, level: int, option: int, value: int | bytes) -> None:
    try:
        sock.setsockopt(level, option, value)
    except OSError:
        return  # the system keeps its own value
