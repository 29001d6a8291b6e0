"""The events of a request reader, in the order of a request's bytes."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from gateway.network.clients.received_request import ReceivedRequest


@dataclass(frozen=True, slots=True)
class MessageStarted:
    """The first byte of a request has been received."""


@dataclass(frozen=True, slots=True)
class HeadReceived:
    """The head of a request is complete and passes all checks of its form."""

    keep_alive: bool
    expects_continue: bool


@dataclass(frozen=True, slots=True)
class LargeBodyStarted:
    """The body of a request is too large to be buffered; its rest follows in parts."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    length: int | None  # None for a chunked body
    first_part: bytes  # buffered so far


@dataclass(frozen=True, slots=True)
class BodyReceived:
    """A further part of a large body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class BodyCompleted:
    """The last byte of a request with a large body has been received."""


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request whose body was buffered is complete."""

    request: ReceivedRequest
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """The bytes received are not an acceptable request; later ones are ignored."""

    status: HTTPStatus


RequestEvent = (
    MessageStarted
    | HeadReceived
    | LargeBodyStarted
    | BodyReceived
    | BodyCompleted
    | RequestReceived
    | RequestRejected
)
