"""The events that the decision package handles. Times are in milliseconds of the caller's clock.

A name that ends in `_at_ms` is a point in time; any other name that ends in `_ms` is a duration.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from gateway.interface.settings import KeyScope


class AttemptResult(Enum):
    """The result of an attempt."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"  # the endpoint refused the request without executing it
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # the attempt was given up before its last byte was sent

    @property
    def proves_not_executed(self) -> bool:
        """Whether the result proves that the endpoint has not executed the request."""
        return self in _NOT_EXECUTED


_NOT_EXECUTED = (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


class EndpointState(Enum):
    """The state of an endpoint in the endpoint list; the values are those of the discovery service."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    id: str
    zone: str
    cell: int
    state: EndpointState
    weight: float = 1.0
    started_at_ms: float = 0.0  # when the process started; 0 for long ago

    def shares_keys_with(self, other: Endpoint, scope: KeyScope) -> bool:
        """Return whether both endpoints drop duplicates of the same idempotency keys."""
        if scope is KeyScope.ALL:
            return True
        return self.zone == other.zone and (scope is KeyScope.ZONE or self.cell == other.cell)


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """An update of the endpoint list: a snapshot of all entries, the changed entries, or a failure."""

    endpoints: tuple[Endpoint, ...]
    is_snapshot: bool = True
    failed: bool = False


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request has arrived; it needs exactly one final answer before `deadline_at_ms`.

    The customer's set of gateways are `spread` gateways with consecutive numbers, from `first_gateway` on.
    """

    id: int
    customer: str
    class_name: str
    plan_name: str
    deadline_at_ms: float
    units: float = 1.0
    first_gateway: int = 0
    spread: int = 1
    is_client_retry: bool = False
    is_complete: bool = True  # False: the body is incomplete, and RequestCompleted sets the deadline


@dataclass(frozen=True, slots=True)
class BodyReleased:
    """The start of a large request has been forwarded and discarded; no further attempt is possible."""

    id: int


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """The last byte of a large request has been received."""

    id: int
    deadline_at_ms: float


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streaming response has started; only its attempt can still answer the request."""

    id: int
    attempt: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; where `final` is set, its request has been answered and has ended as well."""

    id: int
    attempt: int
    endpoint: str
    elapsed_ms: float
    result: AttemptResult
    final: bool
    actual_units: float = 0.0
    used_percent: int = 0  # 1 + percentage of the quota in use; 0 for unknown
    load: tuple[float, ...] = ()  # the endpoint's load report, in the order of Settings.report_fields


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected; the request needs no answer."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer requested by `SetTimer` has fired."""

    name: str


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A datagram has been received from another gateway, or from another process of this gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """A health check requested by `CheckHealth` has ended."""

    endpoint: str
    elapsed_ms: float
    result: AttemptResult
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """The shared counter has replied; the decision package sends it no requests."""

    name: str


Event = (
    EndpointUpdate
    | RequestArrived
    | BodyReleased
    | RequestCompleted
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | GossipReceived
    | HealthChecked
    | CounterReplied
)
