"""The settings of one gateway: its request classes, plans and limits, and its place in the fleet.

Times are in milliseconds, and rates of customers in units per second. The comments "read, but not used" mark
settings of the platform that have no effect in this program.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from gateway.errors import SettingsError

# Names of the fields of a load report.
REPORTED_IN_FLIGHT = "inflight"  # requests in flight at the endpoint
REPORTED_UTILIZATION = "util"  # utilization of the endpoint, from 0 to 1


class Idempotency(Enum):
    """The effect of a second execution of a request."""

    IDEMPOTENT = "idempotent"  # no effect: the request may be executed any number of times
    # No effect within the deduplication window: a group of endpoints drops duplicates of an idempotency key.
    WITH_KEY = "with key"
    NON_IDEMPOTENT = "non-idempotent"  # a harmful effect: the request must not be executed twice


class KeyScope(Enum):
    """The group of endpoints that share a record of idempotency keys: all, a zone, or a cell of a zone."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _require_at_least(minimum: float, **values: float) -> None:
    for name, value in values.items():
        if not value >= minimum:  # unlike `value < minimum`, this is true for NaN
            raise SettingsError(name, f"expected at least {minimum}, received {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests, with its latency objective and the terms of retries.

    Raises SettingsError for an invalid value.
    """

    name: str
    latency_objective_ms: float  # a response within this time has the full priority weight
    deadline_ms: float  # maximum time for which a client waits for the final answer
    priority_weight: float  # value of a response within the objective
    idempotency: Idempotency
    late_weight: float = 0.0  # value of a response after the objective, in the same unit
    key_scope: KeyScope = KeyScope.ALL
    deduplication_window_ms: float = 0.0  # time for which endpoints drop duplicates of a key
    streamed: bool = False  # responses are streams, which may end after the deadline; read, but not used
    objective_stretch: float = 0.0  # read, but not used

    def __post_init__(self) -> None:
        """Raise SettingsError for an invalid value."""
        _require_at_least(
            0,
            latency_objective_ms=self.latency_objective_ms,
            deadline_ms=self.deadline_ms,
            priority_weight=self.priority_weight,
            late_weight=self.late_weight,
            deduplication_window_ms=self.deduplication_window_ms,
        )
        if not isinstance(self.idempotency, Idempotency):
            raise SettingsError("idempotency", f"expected an Idempotency, received {self.idempotency!r}")


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: the quota of each of its customers over all gateways, its ceiling and the terms of overage.

    Raises SettingsError for an invalid value.
    """

    name: str
    rate_per_s: float = 0.0  # quota on the rate of units; 0: no quota on the rate
    burst: float = 0.0  # capacity of the quota's token bucket, in units
    max_in_flight: int = 0  # quota on requests in flight; 0: no quota on requests in flight
    weight_factor: float = 1.0  # factor by which the class's priority weight is multiplied
    overage_weight: float = 0.0  # factor by which the priority weight of overage is multiplied
    overage_cost: float = 0.0  # cost of overage, in the unit of overage_weight
    ceiling_per_s: float = 0.0  # rate that must never be exceeded; 0: no ceiling
    ceiling_burst: float = 0.0  # capacity of the ceiling's token bucket, in units
    ceiling_slack: float = 0.0  # units by which the ceiling may be exceeded; read, but not used

    def __post_init__(self) -> None:
        """Raise SettingsError for an invalid value."""
        _require_at_least(
            0,
            rate_per_s=self.rate_per_s,
            burst=self.burst,
            max_in_flight=self.max_in_flight,
            weight_factor=self.weight_factor,
            overage_weight=self.overage_weight,
            overage_cost=self.overage_cost,
            ceiling_per_s=self.ceiling_per_s,
            ceiling_burst=self.ceiling_burst,
            ceiling_slack=self.ceiling_slack,
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one gateway.

    Raises SettingsError for an invalid value.
    """

    gateways: int  # number of gateways in the fleet
    gateway_number: int  # number of this gateway, from 0
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    slow_start_ms: float  # time from the start of an endpoint until it has its full capacity
    slow_start_floor: float  # fraction of its capacity that an endpoint has when it starts
    overload_multiple: float  # multiple of its capacity at which an endpoint in slow start fails permanently
    overload_window_ms: float  # time over overload_multiple after which an endpoint fails; read, but not used
    max_attempts: int  # maximum number of attempts of a request, with retries and hedges
    tick_ms: float = 1.0  # resolution of the caller's timers
    max_units: float = 1.0  # maximum number of units that a request may need
    may_cancel: bool = True  # CancelAttempt actions are permitted
    may_gossip: bool = False  # SendGossip actions are permitted
    may_check_health: bool = False  # CheckHealth actions are permitted; read, but not used
    may_hedge: bool = False  # a second attempt beside one in flight is permitted
    must_subscribe: bool = False  # endpoint updates have to be requested by SubscribeEndpoints actions
    post_paid: bool = False  # read, but not used
    max_retry_after_ms: float = 0.0  # maximum Retry-After of a rejection; 0 if clients ignore Retry-After
    gossip_inbox_per_s: float = 0.0  # datagrams per second that a gateway can receive; 0: no limit
    poll_within_ms: float = 10_000.0  # maximum time between two requests for endpoint updates
    drain_grace_ms: float = 1000.0  # time for which a draining endpoint still accepts new requests
    load_report_method: str = "none"  # how endpoints send load reports; read, but not used
    report_fields: tuple[str, ...] = ()  # names of the values of a load report, in their order
    cross_zone_price: float = 0.0  # read, but not used
    peer_price: float = 0.0  # read, but not used

    def __post_init__(self) -> None:
        """Raise SettingsError for an invalid value."""
        if not self.classes:
            raise SettingsError("classes", "expected at least one class, received none")
        if not self.plans:
            raise SettingsError("plans", "expected at least one plan, received none")
        _require_at_least(1, gateways=self.gateways, max_attempts=self.max_attempts)
        _require_at_least(
            0,
            gateway_number=self.gateway_number,
            slow_start_ms=self.slow_start_ms,
            slow_start_floor=self.slow_start_floor,
            overload_multiple=self.overload_multiple,
            overload_window_ms=self.overload_window_ms,
            max_units=self.max_units,
            gossip_inbox_per_s=self.gossip_inbox_per_s,
            drain_grace_ms=self.drain_grace_ms,
        )
        if self.gateway_number >= self.gateways:
            raise SettingsError(
                "gateway_number",
                f"expected a number below gateways ({self.gateways}), received {self.gateway_number}",
            )
