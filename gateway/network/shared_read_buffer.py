"""The buffer into which the event loop reads from all connections to clients and endpoints.

The event loop reads into it and passes the bytes to the protocol of the connection before the next read, so
one buffer serves all connections. Its size limits the bytes that a single read adds to the memory of the
process.
"""

from __future__ import annotations

import asyncio

from gateway.network.memory_budget import NARROW_READ_BYTES, WIDE_READ_BYTES

_WIDE = memoryview(bytearray(WIDE_READ_BYTES))
_NARROW = _WIDE[:NARROW_READ_BYTES]


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A protocol whose reads are limited to a size that it can change between two reads."""

    # Whether the next read may take WIDE_READ_BYTES; otherwise it takes NARROW_READ_BYTES.
    reads_widely = False

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _WIDE if self.reads_widely else _NARROW

    def buffer_updated(self, size: int) -> None:
        """Pass the bytes of a read to `data_received`."""
        self.data_received(_WIDE[:size])

    def data_received(self, data: bytes | memoryview) -> None:
        """Process the bytes of a read; the memory of `data` is reused after the call."""
        raise NotImplementedError
