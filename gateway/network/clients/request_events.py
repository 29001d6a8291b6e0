"""The events that a request reader emits, in the order of the bytes that it reads."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from gateway.network.clients.received_request import ReceivedRequest


@dataclass(frozen=True, slots=True)
class MessageStarted:
    """The first byte of a request has been received."""


@dataclass(frozen=True, slots=True)
class HeadReceived:
    """The head of a request is complete and well-formed."""

    keep_alive: bool  # whether the client keeps the connection open after the response
    expects_continue: bool  # whether the client waits for status 100 before it sends the body


@dataclass(frozen=True, slots=True)
class LargeBodyStarted:
    """The body of a request is too large to be buffered; its remaining parts follow as BodyReceived."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    length: int | None  # in bytes; None for a chunked body
    first_part: bytes  # the part of the body received so far


@dataclass(frozen=True, slots=True)
class BodyReceived:
    """A further part of a large body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class BodyCompleted:
    """The last byte of a request with a large body has been received."""


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request without a large body is complete."""

    request: ReceivedRequest
    keep_alive: bool  # whether the client keeps the connection open after the response


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """The received bytes are not an acceptable request; the reader ignores all later bytes."""

    status: HTTPStatus  # the status of the error response


RequestEvent = (
    MessageStarted
    | HeadReceived
    | LargeBodyStarted
    | BodyReceived
    | BodyCompleted
    | RequestReceived
    | RequestRejected
)
