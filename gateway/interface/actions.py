"""The actions that the decision package asks for. Durations are milliseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Start an attempt; attempts of a request are numbered from 0 in the order of their sends.

    Its last byte goes out by the time `send_by_ms` of the clock, or never.
    """

    id: int
    endpoint: str
    timeout_ms: float
    send_by_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Reject:
    """Final: the client may safely come again, best after `retry_after_ms` (0: no advice)."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final: no promise is made of what was executed."""

    id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Wait no longer for one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` event."""

    after_ms: float
    name: str


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a datagram to another gateway, or to another process of this one."""

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Ask an endpoint for its load."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class SubscribeEndpoints:
    """Ask discovery for endpoint updates from now on."""


Action = (
    SendAttempt | Reject | Fail | CancelAttempt | SetTimer | SendGossip | CheckHealth | SubscribeEndpoints
)
