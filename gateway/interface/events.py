"""The events that the decision package takes in. Times are milliseconds of the caller's clock.

A time that ends in `_at_ms` is a point of that clock, any other a duration, unless said otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from gateway.interface.settings import KeyScope


class AttemptResult(Enum):
    """How an attempt ended. The values are the simulator's words."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"  # the endpoint refused it unexecuted
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"  # it was given up before its last byte went out

    @property
    def proves_not_executed(self) -> bool:
        """True where the result proves that the endpoint never began to execute the request."""
        return self in _NOT_EXECUTED


_NOT_EXECUTED = (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


class EndpointState(Enum):
    """What discovery says of an endpoint. The values are discovery's words."""

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
    started_ms: float = 0.0  # when its process started, on the clock; 0: long ago

    def shares_keys_with(self, other: Endpoint, scope: KeyScope) -> bool:
        """Return whether the two drop duplicates of an idempotency key together."""
        if scope is KeyScope.ALL:
            return True
        return self.zone == other.zone and (scope is KeyScope.ZONE or self.cell == other.cell)


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """Discovery's view. A snapshot replaces all that was known, a failed update carries nothing."""

    endpoints: tuple[Endpoint, ...]
    is_snapshot: bool = True
    failed: bool = False


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request, from now on owed one final answer by `deadline_at_ms`."""

    id: int
    customer: str
    class_name: str
    plan_name: str
    deadline_at_ms: float
    units: float = 1.0
    first_gateway: int = 0  # of the customer's set of gateways,
    spread: int = 1  # which are so many in a row
    is_client_retry: bool = False
    is_complete: bool = True  # if not, the rest of its body is to come, and its time begins with that


@dataclass(frozen=True, slots=True)
class BodyReleased:
    """A part of a large request has been forwarded and is no longer held: it can't be sent again."""

    id: int


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """The last byte of a large request has been received."""

    id: int
    deadline_at_ms: float


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streaming response has started; its attempt alone answers the client now."""

    id: int
    attempt: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How one attempt ended; `final` says that its request has ended too."""

    id: int
    attempt: int
    endpoint: str
    elapsed_ms: float
    result: AttemptResult
    final: bool
    actual_units: float = 0.0
    used_percent: int = 0  # 1 + percent; 0: unknown
    load: tuple[float, ...] = ()  # the endpoint's load report, in the order of the settings' fields


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client left; nothing more is owed."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A wake-up that was asked for."""

    name: str


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A datagram from another gateway, or from another process of this one."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """The answer to a health check."""

    endpoint: str
    elapsed_ms: float
    result: AttemptResult
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """The answer of the shared counter; this module makes no such calls."""

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
