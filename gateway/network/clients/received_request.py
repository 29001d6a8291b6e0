"""A client's request as it was received, before its validation."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from gateway.network.clients.upload import Upload


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """The parts of a request; a small body is complete in `body`, a large one is forwarded by `upload`."""

    method: bytes
    target: bytes
    headers: Mapping[bytes, bytes]  # the recognized header fields by lower-case name
    body: bytes  # empty if the body is in `upload`
    upload: Upload | None  # None unless the body is large

    @property
    def has_body(self) -> bool:
        """Whether the request has a body that is not empty."""
        return bool(self.body) or self.upload is not None
