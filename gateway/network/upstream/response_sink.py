"""The interface of a client to which a response is forwarded while it is received."""

from __future__ import annotations

import asyncio
from typing import Protocol


class ResponseSink(Protocol):
    """The client's side of a response that is forwarded while it is received."""

    transport: asyncio.Transport

    def forward_part(self, part: bytes) -> None:
        """Write the next part of the body."""
