"""The binding of sockets to the gateway's addresses."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Awaitable, Callable

from gateway.config import Address

# Seconds between two attempts to open a socket whose address or resources are not available.
OPEN_INTERVAL_S = 0.05

# Seconds between two log lines about them.
LOG_INTERVAL_S = 5.0

# Errors that pass: another process holds the address, for example as the local address of a connection of its
# own, or the network or the system is not ready.
TRANSIENT_ERRORS = frozenset(
    (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)

log = logging.getLogger(__name__)


async def open_when_available(open_sockets: Callable[[], Awaitable[None]]) -> None:
    """Await `open_sockets`, again and again while it raises one of TRANSIENT_ERRORS.

    Raises any other OSError.
    """
    logged_at_s = -LOG_INTERVAL_S
    loop = asyncio.get_running_loop()
    while True:
        try:
            await open_sockets()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise
            if loop.time() - logged_at_s >= LOG_INTERVAL_S:
                logged_at_s = loop.time()
                log.warning("start: waiting for an address or for resources: %s", error)
            await asyncio.sleep(OPEN_INTERVAL_S)
        else:
            return


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
