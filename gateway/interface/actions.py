"""The actions that the decision package returns. Durations are in milliseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to an endpoint.

    The attempts of a request are numbered from 0 in the order of these actions. The last byte has to be sent
    before the time `send_by_ms`; otherwise the attempt ends as NOT_SENT.
    """

    id: int
    endpoint: str
    timeout_ms: float
    send_by_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject a request: a retry by the client is harmless, best after `retry_after_ms` (0 gives no advice).

    This is a final answer.
    """

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail a request, which may have been executed. This is a final answer."""

    id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel one attempt of a request."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` event."""

    after_ms: float
    name: str


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a datagram to another gateway, or to another process of this gateway."""

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class SubscribeEndpoints:
    """Subscribe to the updates of the endpoint list."""


Action = (
    SendAttempt | Reject | Fail | CancelAttempt | SetTimer | SendGossip | CheckHealth | SubscribeEndpoints
)
