"""The actions that the decision package returns, and that its caller has to carry out.

An `id` is the id of a request. A name that ends in `_by_ms` is a point in time; any other name that ends in
`_ms` is a duration.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to an endpoint.

    The attempts of a request are numbered from 0 in the order of these actions. Each attempt ends with
    exactly one `AttemptEnded` with its number, even if the request has ended before the attempt is sent. If
    the last byte of the request is not sent before `send_by_ms`, the result is NOT_SENT.
    """

    id: int
    endpoint: str
    timeout_ms: float
    send_by_ms: float = math.inf
    attempt: int = 0  # number of the attempt


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject a request; this is its final answer.

    A rejection means that a retry by the client is harmless. If `retry_after_ms` is not 0, the answer also
    advises the client to wait for that time before it retries.
    """

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer a request with an error, although it may have been executed; this is its final answer."""

    id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel one attempt of a request."""

    id: int
    attempt: int  # number of the attempt, from 0


@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """Forward the response of an attempt that is being buffered, from its first byte on.

    Has no effect if the attempt has ended; its AttemptEnded event then decides how the request continues.
    """

    id: int
    attempt: int  # number of the attempt, from 0


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` event with this name; timers cannot be cancelled."""

    after_ms: float
    name: str


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a datagram to another gateway, or to another process of this gateway."""

    receiver: int  # number of the gateway
    data: bytes


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to an endpoint; its result is a `HealthChecked` event."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class SubscribeEndpoints:
    """Request updates of the endpoint list, which arrive as `EndpointUpdate` events."""


Action = (
    SendAttempt
    | Reject
    | Fail
    | CancelAttempt
    | ForwardResponse
    | SetTimer
    | SendGossip
    | CheckHealth
    | SubscribeEndpoints
)
