"""An open request: what is kept of it from its last byte until its one final answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from gateway.network.clients.request_validator import ValidatedRequest
from gateway.network.clients.response_source import ResponseSource
from gateway.network.clients.upload import Upload
from gateway.network.clock import Timer
from gateway.network.upstream.response_sink import ResponseSink

UPSTREAM_HOST = b"api.internal"


class ClientChannel(ResponseSink, Protocol):
    """The client's connection, as the request on it needs it."""

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Write the answer in one piece."""

    def start_response(self, source: ResponseSource, length: int | None, content_type: bytes) -> None:
        """Write the head of a response that is forwarded as it comes."""

    def finish_response(self) -> None:
        """The response was complete."""

    def abort_response(self) -> None:
        """The response can't be finished."""

    def is_disconnected(self) -> bool:
        """Return whether the client has ended its sending."""

    def drop(self) -> None:
        """Close the connection at once."""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """One request on a client's connection, and what is sent of it to endpoints."""

    id: int  # its number in this process
    request_id: bytes  # the client's
    class_name: str
    client: ClientChannel
    head: bytes  # up to the value of X-Deadline-Ms, which each attempt tells anew
    body: bytes  # empty where there is an upload
    upload: Upload | None  # a body that is forwarded while it comes
    wait_ms: float  # how long the client waits, from the request's last byte
    attempts: int = 0
    streaming_attempt: int | None = None  # the one whose response is forwarded as it comes
    guard: Timer | None = None  # answers in time, come what may

    def message(self, deadline_ms: float) -> bytes:
        """Return what an attempt sends, with the time that is left to it."""
        return b"%s%d\r\n\r\n%s" % (self.head, max(1, int(deadline_ms)), self.body)


def upstream_head(
    parsed: ValidatedRequest, method: bytes, target: bytes, content_type: bytes | None, framing: bytes | None
) -> bytes:
    """Return the head that endpoints get, up to the value of its last field, X-Deadline-Ms."""
    lines = [
        b"%s %s HTTP/1.1" % (method, target),
        b"Host: " + UPSTREAM_HOST,
        b"X-Request-Id: " + parsed.id,
    ]
    if parsed.key is not None:
        lines.append(b"Idempotency-Key: " + parsed.key)
    if content_type is not None:
        lines.append(b"Content-Type: " + content_type)
    if framing is not None:
        lines.append(framing)
    lines.append(b"X-Deadline-Ms: ")
    return b"\r\n".join(lines)
