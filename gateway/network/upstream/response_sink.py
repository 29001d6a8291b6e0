"""The interface through which a response is forwarded to its client while it is being received."""

from __future__ import annotations

import asyncio
from typing import Protocol


class ResponseSink(Protocol):
    """The client's connection, to which a response is forwarded."""

    transport: asyncio.Transport
    has_wide_window: bool  # whether the response may be read in large pieces

    def forward_part(self, part: bytes) -> None:
        """Write the next part of the response body."""
