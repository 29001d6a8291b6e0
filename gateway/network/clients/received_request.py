"""A client's request as it was received, before it is validated."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from gateway.network.clients.upload import Upload


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """The parts of a request; a body that is forwarded while it is received is an upload."""

    method: bytes
    target: bytes
    headers: Mapping[bytes, bytes]  # the recognized fields, by their names in lower case
    body: bytes  # empty where there is an upload
    upload: Upload | None

    @property
    def has_body(self) -> bool:
        """Whether the request has a body that is not empty."""
        return bool(self.body) or self.upload is not None
