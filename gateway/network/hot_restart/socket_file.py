"""The socket file in $TMPDIR through which a successor connects to its predecessor."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterator

from gateway.config import Address

# Size of the accept queue of the socket file, in connections of successors that are not accepted yet.
SOCKET_FILE_BACKLOG = 4

# Permissions of the socket file: only processes of the owner may connect and take over clients' connections.
SOCKET_FILE_MODE = 0o600


class SocketFile:
    """The socket file of a gateway, which is shared by all processes of the gateway."""

    def __init__(self, folder: str, listen: Address) -> None:
        """Derive the name of the file in `folder` from the gateway's address; create nothing yet."""
        self._folder = folder
        self._name = f"gatekeeper-{listen[0]}-{listen[1]}"

    def connect(self) -> socket.socket:
        """Return a non-blocking socket that is connected to the predecessor.

        Raises OSError if no process listens on the file, or if its accept queue is full.
        """
        sock = _new_socket()
        try:
            with self._path() as path:
                sock.connect(path)
        except OSError:
            sock.close()
            raise
        return sock

    def listen(self) -> socket.socket:
        """Create the file, and return a non-blocking socket that listens on it.

        A file that an earlier process has left is replaced. Raises OSError if the file cannot be replaced or
        bound.
        """
        sock = _new_socket()
        try:
            with self._path() as path:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)
                sock.bind(path)
                os.chmod(path, SOCKET_FILE_MODE)
            sock.listen(SOCKET_FILE_BACKLOG)
        except OSError:
            sock.close()
            raise
        return sock

    @contextlib.contextmanager
    def _path(self) -> Iterator[str]:
        """Provide a short path to the file through /proc, because a socket's path is limited to 107 bytes."""
        folder = os.open(self._folder, os.O_PATH | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{folder}/{self._name}"
        finally:
            os.close(folder)


def _new_socket() -> socket.socket:
    return socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
