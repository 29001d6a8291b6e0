"""An open request: its data from its admission until its one final response."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from gateway.network.clients.request_validator import ValidatedRequest
from gateway.network.clients.response_source import ResponseSource
from gateway.network.clients.upload import Upload
from gateway.network.clock import Timer

UPSTREAM_HOST = b"api.internal"

# Milliseconds; the smallest deadline that an attempt states.
MIN_ATTEMPT_DEADLINE_MS = 1


class ClientChannel(Protocol):
    """The client's connection as the request on it uses it."""

    transport: asyncio.Transport

    def send_response(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Write a complete response."""

    def start_response(self, source: ResponseSource, length: int | None, content_type: bytes) -> None:
        """Write the head of a response that is forwarded while it is received."""

    def forward_part(self, part: bytes) -> None:
        """Write the next part of a forwarded response."""

    def finish_response(self) -> None:
        """End a forwarded response that is complete."""

    def abort_response(self) -> None:
        """End a forwarded response that cannot be completed, so that the client detects it."""

    def is_disconnected(self) -> bool:
        """Return whether the client has ended its sending."""

    def abort(self) -> None:
        """Abort the connection."""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """One request on a client's connection, and the part of it that each attempt sends."""

    id: int  # its number in this process
    request_id: bytes  # the client's id of it
    class_name: str
    client: ClientChannel
    head: bytes  # up to the value of X-Deadline-Ms, which differs between attempts
    body: bytes  # empty where there is an upload
    upload: Upload | None  # a body that is forwarded while it is received
    wait_ms: float  # how long the client waits, from the request's last byte
    attempt_count: int = 0
    streaming_attempt: int | None = None  # the attempt whose response is forwarded while it is received
    guard_timer: Timer | None = None  # sends a response before the deadline if the controller does not

    def attempt_message(self, deadline_ms: float) -> bytes:
        """Return the bytes of an attempt, with the time that remains for it in milliseconds."""
        return b"%s%d\r\n\r\n%s" % (self.head, max(MIN_ATTEMPT_DEADLINE_MS, int(deadline_ms)), self.body)


def upstream_head(
    validated: ValidatedRequest,
    method: bytes,
    target: bytes,
    content_type: bytes | None,
    framing: bytes | None,
) -> bytes:
    """Return the head that attempts send, up to the value of its last field, X-Deadline-Ms.

    Args:
        validated: The fields of the client's request.
        method: The request method.
        target: The request target.
        content_type: The value of Content-Type, if the client's request has one.
        framing: The field that frames the body, if there is one.
    """
    lines = [
        b"%s %s HTTP/1.1" % (method, target),
        b"Host: " + UPSTREAM_HOST,
        b"X-Request-Id: " + validated.id,
    ]
    if validated.key is not None:
        lines.append(b"Idempotency-Key: " + validated.key)
    if content_type is not None:
        lines.append(b"Content-Type: " + content_type)
    if framing is not None:
        lines.append(framing)
    lines.append(b"X-Deadline-Ms: ")
    return b"\r\n".join(lines)
