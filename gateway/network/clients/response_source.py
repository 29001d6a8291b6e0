"""The interface of an endpoint connection whose response is forwarded while it is received."""

from __future__ import annotations

from typing import Protocol


class ResponseSource(Protocol):
    """The endpoint connection from which a response is being forwarded."""

    def set_response_paused(self, paused: bool) -> None:
        """Pause or resume reading the response from the endpoint."""
