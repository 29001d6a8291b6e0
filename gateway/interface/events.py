"""The events that the decision package handles.

An `id` is the id of a request. Times are in milliseconds of the caller's clock. A name that ends in `_at_ms`
is a point in time; any other name that ends in `_ms` is a duration.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from gateway.interface.settings import KeyScope


class AttemptResult(Enum):
    """The result of an attempt or of a health check."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"  # the endpoint refused to execute the request
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # the last byte of the request was not sent before SendAttempt.send_by_ms

    @property
    def proves_not_executed(self) -> bool:
        """Whether the result is proof that the endpoint has not executed the request."""
        return self in _NOT_EXECUTED


_NOT_EXECUTED = (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


class EndpointState(Enum):
    """The state of an endpoint in the endpoint list; discovery sends these values."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    id: str
    zone: str
    cell: int  # group of endpoints within the zone
    state: EndpointState
    weight: float = 1.0  # capacity relative to other endpoints
    # Time at which the endpoint's process started. 0 stands for an early start: the slow start has ended.
    started_at_ms: float = 0.0

    def shares_keys_with(self, other: Endpoint, scope: KeyScope) -> bool:
        """Return whether both endpoints belong to the same deduplication group under this scope."""
        if scope is KeyScope.ALL:
            return True
        return self.zone == other.zone and (scope is KeyScope.ZONE or self.cell == other.cell)


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """An update of the endpoint list, or, if `failed`, the failure of an update.

    `endpoints` contains all entries of the list if `is_snapshot`, and otherwise the changed entries.
    """

    endpoints: tuple[Endpoint, ...]
    is_snapshot: bool = True
    failed: bool = False


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request has arrived; it needs exactly one final answer before `deadline_at_ms`.

    The customer's set of gateways is `spread` gateways with consecutive numbers, starting at `first_gateway`.
    Numbers beyond the last gateway continue at 0.
    """

    id: int
    customer: str
    class_name: str
    plan_name: str
    deadline_at_ms: float
    units: float = 1.0  # units of the quota that the request needs
    first_gateway: int = 0
    spread: int = 1
    is_client_retry: bool = False
    is_complete: bool = True  # False: the rest of the body follows, and RequestCompleted sets the deadline


@dataclass(frozen=True, slots=True)
class BodyReleased:
    """The start of a large body was forwarded and is no longer stored; no further attempt is possible."""

    id: int


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """The last byte of a large request has been received; its deadline counts from now on."""

    id: int
    deadline_at_ms: float


@dataclass(frozen=True, slots=True)
class DeadlineUpdated:
    """The client of an incomplete request may have written its last byte already, or is known to be writing.

    While the gateway does not read a body, it cannot know when the client writes its last byte. The deadline
    therefore runs until the client is known to be writing, which `deadline_at_ms` infinity reports.
    """

    id: int
    deadline_at_ms: float


@dataclass(frozen=True, slots=True)
class ResponseBegun:
    """The head of a successful response without a stated length has arrived, and its body is buffered."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The response to an attempt has started streaming; other attempts cannot answer the request any more."""

    id: int
    attempt: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; if `final`, the request has been answered and has ended as well."""

    id: int
    attempt: int
    endpoint: str
    elapsed_ms: float
    result: AttemptResult
    final: bool
    actual_units: float = 0.0
    used_percent_plus_one: int = 0  # percentage of the quota in use, plus 1; 0 if unknown
    load: tuple[float, ...] = ()  # the endpoint's load report, in the order of Settings.report_fields


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has disconnected; the request needs no answer."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer requested by `SetTimer` has fired."""

    name: str


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A datagram has been received from another gateway, or from another process of this gateway."""

    sender: int  # number of the gateway
    data: bytes


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """A health check requested by `CheckHealth` has ended; the decision package ignores this event."""

    endpoint: str
    elapsed_ms: float
    result: AttemptResult
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """A shared counter has replied; the decision package uses no counter and ignores this event."""

    name: str


Event = (
    EndpointUpdate
    | RequestArrived
    | BodyReleased
    | RequestCompleted
    | DeadlineUpdated
    | ResponseBegun
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | GossipReceived
    | HealthChecked
    | CounterReplied
)
