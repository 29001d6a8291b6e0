"""Sockets that are bound to one of the gateway's addresses."""

from __future__ import annotations

import socket

from gateway.config import Address


def bind_socket(kind: socket.SocketKind, address: Address, *, is_shared: bool) -> socket.socket:
    """Return a non-blocking socket bound to an address, which another process may share.

    Raises OSError if the address cannot be used.
    """
    sock = socket.socket(socket.AF_INET, kind)
    try:
        sock.setblocking(False)
        # For datagrams, SO_REUSEADDR would let any other process of this machine receive them.
        if kind is socket.SOCK_STREAM:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if is_shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
