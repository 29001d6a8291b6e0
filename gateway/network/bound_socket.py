"""The binding of sockets to the gateway's addresses."""

from __future__ import annotations

import socket

from gateway.config import Address


def bind_socket(socket_type: socket.SocketKind, address: Address, *, reuse_port: bool) -> socket.socket:
    """Return a non-blocking IPv4 socket that is bound to the address.

    If `reuse_port` is set, other processes can bind sockets to the address as well (SO_REUSEPORT).
    Raises OSError if the address cannot be used.
    """
    sock = socket.socket(socket.AF_INET, socket_type)
    try:
        sock.setblocking(False)
        # SO_REUSEADDR is not set on a datagram socket: any other process on this machine could then bind the
        # address and receive the datagrams.
        if socket_type is socket.SOCK_STREAM:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f"cannot bind to {address[0]}:{address[1]}: {error.strerror}") from error
    return sock
