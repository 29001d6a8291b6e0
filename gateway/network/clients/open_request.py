"""An accepted request of a client, until its final response."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from gateway.network.clients.request_validator import ValidatedRequest
from gateway.network.clients.response_source import ResponseSource
from gateway.network.clients.upload import Upload
from gateway.network.clock import Timer

# Value of the Host field in all requests to endpoints.
UPSTREAM_HOST = b"api.internal"

# Smallest value of X-Deadline-Ms that is sent to an endpoint, in milliseconds.
MIN_ATTEMPT_DEADLINE_MS = 1


class ClientChannel(Protocol):
    """The part of a client connection by which the response of its open request is written."""

    transport: asyncio.Transport
    has_wide_window: bool  # whether the response being forwarded may be read in large pieces

    def send_response(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Write the complete response; it has no Retry-After field if `retry_after_ms` is 0."""

    def start_response(self, source: ResponseSource, length: int | None, content_type: bytes) -> None:
        """Write the head of a response; `forward_part` then writes the parts of its body.

        Args:
            source: The endpoint connection that is paused while the client reads too slowly.
            length: The length of the body in bytes, None if it is unknown.
            content_type: The value of Content-Type, empty if the response has none.
        """

    def forward_part(self, part: bytes) -> None:
        """Write the next part of a forwarded response; requires an earlier call of `start_response`."""

    def finish_response(self) -> None:
        """Write the end of a forwarded response whose parts have all been written."""

    def abort_response(self) -> None:
        """Abort the connection, so that the client detects that the forwarded response is incomplete."""

    def is_disconnected(self) -> bool:
        """Return whether the client has shut down its sending side."""

    def close_disconnected(self) -> None:
        """Close the connection, whose client has shut down its sending side, once it has read all output."""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """An accepted request of a client, with the data from which its attempts are built."""

    id: int  # number of the request, unique in this process
    request_id: bytes  # the id that the client has chosen
    class_name: str
    client: ClientChannel
    head: bytes  # head of each attempt without the value of X-Deadline-Ms, which differs between attempts
    body: bytes  # empty if the body is in `upload`
    upload: Upload | None  # a large body, which is forwarded while it is received
    wait_ms: float  # time that the client waits for the response, from the last byte of the request on
    opened_at_ms: float = 0.0  # clock time at which the request was opened
    attempt_count: int = 0  # attempts started so far
    streaming_attempt: int | None = None  # number of the attempt whose response is being forwarded
    # Aborts the response that is being forwarded if it is short; None otherwise.
    abort_forwarding: Callable[[], None] | None = None
    guard_timer: Timer | None = None  # sends a response before the deadline if the controller does not
    deadline_at_ms: float = math.inf  # clock time of the client's deadline; infinite while none runs

    def attempt_head(self, deadline_ms: float) -> bytes:
        """Return the head of an attempt.

        Args:
            deadline_ms: The time that remains for the attempt, in milliseconds; sent as X-Deadline-Ms.
        """
        return b"%s%d\r\n\r\n" % (self.head, max(MIN_ATTEMPT_DEADLINE_MS, int(deadline_ms)))


def upstream_head(
    validated: ValidatedRequest,
    method: bytes,
    target: bytes,
    content_type: bytes | None,
    framing: bytes | None,
) -> bytes:
    """Return the head of an attempt, up to the value of its last field, X-Deadline-Ms.

    Args:
        validated: The typed header fields of the client's request.
        method: The request method.
        target: The request target.
        content_type: The value of Content-Type, None if the client's request has none.
        framing: The header field that gives the length or the coding of the body, None without a body.
    """
    lines = [
        b"%s %s HTTP/1.1" % (method, target),
        b"Host: " + UPSTREAM_HOST,
        b"X-Request-Id: " + validated.id,
    ]
    if validated.idempotency_key is not None:
        lines.append(b"Idempotency-Key: " + validated.idempotency_key)
    if content_type is not None:
        lines.append(b"Content-Type: " + content_type)
    if framing is not None:
        lines.append(framing)
    lines.append(b"X-Deadline-Ms: ")
    return b"\r\n".join(lines)
