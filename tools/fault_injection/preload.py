"""Builds the preloaded library that limits the socket buffers of a gateway process."""

from __future__ import annotations

import pathlib
import subprocess

SOURCE = pathlib.Path(__file__).with_name("socket_buffers.c")


class BuildError(Exception):
    """The compiler is missing, or it rejected the source."""


def build_socket_buffers(folder: pathlib.Path) -> str:
    """Build the library in `folder` by the system's compiler, and return its path.

    Raises BuildError with the compiler's message if that fails.
    """
    target = folder / "socket_buffers.so"
    command = ["cc", "-shared", "-fPIC", "-O2", "-o", str(target), str(SOURCE), "-ldl"]
    try:
        subprocess.run(command, check=True, capture_output=True, text=True)
    except FileNotFoundError as error:
        raise BuildError("no compiler `cc` is installed") from error
    except subprocess.CalledProcessError as error:
        raise BuildError(error.stderr) from error
    return str(target)
