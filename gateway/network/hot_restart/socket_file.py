"""The socket file in $TMPDIR by which a successor finds its predecessor."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterator

from gateway.config import Address

# Queue of connections that the predecessor has not accepted yet, number.
SOCKET_FILE_BACKLOG = 4

# Access mode of the socket file: its owner's processes only.
SOCKET_FILE_MODE = 0o600


class SocketFile:
    """The socket file of a gateway that listens at one address."""

    def __init__(self, folder: str, listen: Address) -> None:
        """Use a file in this folder; the name follows from the address."""
        self._folder = folder
        self._name = f"gatekeeper-{listen[0]}-{listen[1]}"

    def connect(self) -> socket.socket:
        """Return a socket that is connected to the predecessor.

        Raises OSError if there is no predecessor, or if it accepts no connection.
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
        """Replace the file, which a predecessor may have left, and return a socket that listens on it.

        Raises OSError.
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
        """Provide a path by way of /proc, as the path of a socket is limited to 107 bytes."""
        folder = os.open(self._folder, os.O_PATH | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{folder}/{self._name}"
        finally:
            os.close(folder)


def _new_socket() -> socket.socket:
    return socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
