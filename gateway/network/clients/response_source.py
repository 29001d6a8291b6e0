"""The interface of an endpoint's connection whose response is forwarded while it is received."""

from __future__ import annotations

from typing import Protocol


class ResponseSource(Protocol):
    """The endpoint's connection, from which a response is forwarded."""

    def set_response_paused(self, paused: bool) -> None:
        """Stop or resume reading the response."""
