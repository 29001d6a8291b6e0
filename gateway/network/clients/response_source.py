"""The interface of an upstream connection whose response is forwarded while it is received."""

from __future__ import annotations

from typing import Protocol


class ResponseSource(Protocol):
    """The upstream's side of a response that is forwarded while it comes."""

    def set_response_paused(self, paused: bool) -> None:
        """Stop or resume reading the response."""
