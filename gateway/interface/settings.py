"""The settings of one gateway: its request classes, plans and limits, and its place in the fleet.

Times are in milliseconds, rates in units per second.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from gateway.errors import SettingsError

REPORTED_IN_FLIGHT = "inflight"  # field of a load report: requests in flight at the endpoint
REPORTED_UTILIZATION = "util"  # field of a load report: utilization of the endpoint, from 0 to 1


class Idempotency(Enum):
    """What a second execution of a request does."""

    IDEMPOTENT = "idempotent"  # nothing: the request may be executed any number of times
    WITH_KEY = "with key"  # a group of endpoints drops duplicates of an idempotency key for some time
    NON_IDEMPOTENT = "non-idempotent"  # harm: the request must not be executed twice


class KeyScope(Enum):
    """The group of endpoints that drop duplicates of the same idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _require_at_least(minimum: float, **values: float) -> None:
    for name, value in values.items():
        if not value >= minimum:  # True for NaN as well
            raise SettingsError(name, f"{value!r} is below {minimum}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests. Raises SettingsError for an invalid value."""

    name: str
    latency_objective_ms: float  # responses within this time have the full weight
    deadline_ms: float  # maximum time for which a client waits
    priority_weight: float
    idempotency: Idempotency
    late_weight: float = 0.0  # weight of a response after the objective
    key_scope: KeyScope = KeyScope.ALL
    deduplication_window_ms: float = 0.0  # time for which endpoints remember an idempotency key
    streamed: bool = False
    objective_stretch: float = 0.0

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
            raise SettingsError("idempotency", f"{self.idempotency!r} is no Idempotency")


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: the quota that each of its customers has over all gateways, and the terms of overage.

    Raises SettingsError for an invalid value.
    """

    name: str
    rate_per_s: float = 0.0  # quota on the rate; 0 for none
    burst: float = 0.0  # units that the quota's bucket holds
    max_in_flight: int = 0  # quota on requests in flight; 0 for none
    weight_factor: float = 1.0  # factor of the class's priority weight
    overage_weight: float = 0.0  # factor of the weight of a request beyond the quota
    overage_cost: float = 0.0  # cost of a request beyond the quota, in the unit of weights
    ceiling_per_s: float = 0.0  # rate that must never be exceeded; 0 for none
    ceiling_burst: float = 0.0  # units that the ceiling's bucket holds
    ceiling_slack: float = 0.0  # units by which the ceiling may be exceeded

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
    """The settings of a gateway. Raises SettingsError for an invalid value."""

    gateways: int  # number of gateways in the fleet
    gateway_number: int  # number of this gateway, from 0
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    slow_start_ms: float  # time that an endpoint takes to reach its full capacity
    slow_start_floor: float  # fraction of its capacity with which an endpoint starts
    overload_multiple: float  # multiple of its capacity that makes an endpoint in slow start fail permanently
    overload_window_ms: float  # time for which an endpoint has to exceed that multiple to fail
    max_attempts: int  # maximum number of attempts for a request
    tick_ms: float = 1.0  # resolution of the caller's timers
    max_units: float = 1.0  # maximum units of a request
    may_cancel: bool = True
    may_gossip: bool = False
    may_check_health: bool = False
    may_hedge: bool = False
    must_subscribe: bool = False  # endpoint updates have to be requested
    post_paid: bool = False
    max_retry_after_ms: float = 0.0  # upper bound of Retry-After; 0 where clients ignore it
    gossip_inbox_per_s: float = 0.0  # messages per second that a gateway's inbox holds; 0 for no limit
    poll_within_ms: float = 10_000.0  # interval within which endpoint updates have to be requested
    drain_grace_ms: float = 1000.0  # time for which a draining endpoint still accepts new requests
    report_how: str = "none"
    report_fields: tuple[str, ...] = ()  # fields of a load report
    cross_zone_price: float = 0.0
    peer_price: float = 0.0

    def __post_init__(self) -> None:
        """Raise SettingsError for an invalid value."""
        if not self.classes:
            raise SettingsError("classes", "there are none")
        if not self.plans:
            raise SettingsError("plans", "there are none")
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
                "gateway_number", f"{self.gateway_number} is not below gateways ({self.gateways})"
            )
