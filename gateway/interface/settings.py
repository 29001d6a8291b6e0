"""The settings of one gateway: what it is told at its start about classes, plans, limits and the fleet.

Times are milliseconds, rates are units a second. Nothing in here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from gateway.errors import SettingsError

REPORTED_IN_FLIGHT = "inflight"  # field of a load report: requests in flight at the endpoint
REPORTED_UTILIZATION = "util"  # field of a load report: utilization of the endpoint, from 0 to 1


class Idempotency(Enum):
    """What a second execution of a request would do."""

    IDEMPOTENT = "idempotent"  # it may be executed any number of times
    WITH_KEY = "with key"  # a group of endpoints drops a duplicate of the same key for a while
    NON_IDEMPOTENT = "non-idempotent"  # it must never be executed twice


class KeyScope(Enum):
    """Which endpoints drop duplicates of an idempotency key together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _require_at_least(least: float, **values: float) -> None:
    for name, value in values.items():
        if not value >= least:  # also where it is no number
            raise SettingsError(name, f"{value!r} is below {least}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: what its clients want, and what may be done with its requests.

    Raises SettingsError where a value can't be right.
    """

    name: str
    latency_objective_ms: float  # an answer within that time is worth all of the weight
    deadline_ms: float  # no client waits longer
    priority_weight: float
    idempotency: Idempotency
    late_weight: float = 0.0  # of an answer after the objective
    key_scope: KeyScope = KeyScope.ALL
    deduplication_window_ms: float = 0.0
    streamed: bool = False
    objective_stretch: float = 0.0

    def __post_init__(self) -> None:
        """Refuse what can't be right."""
        _require_at_least(
            0,
            latency_objective_ms=self.latency_objective_ms,
            deadline_ms=self.deadline_ms,
            priority_weight=self.priority_weight,
            late_weight=self.late_weight,
            deduplication_window_ms=self.deduplication_window_ms,
        )
        if not isinstance(self.idempotency, Idempotency):
            raise SettingsError("idempotency", f"{self.idempotency!r} is no kind of idempotency")


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: the quota of each of its customers over all gateways, and the price of leaving it.

    Raises SettingsError where a value can't be right.
    """

    name: str
    rate_per_s: float = 0.0  # 0: no quota on the rate
    burst: float = 0.0
    max_in_flight: int = 0  # 0: no quota on requests in flight
    weight_factor: float = 1.0
    overage_weight: float = 0.0  # of a request beyond the quota
    overage_cost: float = 0.0
    ceiling_per_s: float = 0.0  # 0: no ceiling
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        """Refuse what can't be right."""
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
    """What a gateway is told when it starts.

    Raises SettingsError where a value can't be right.
    """

    gateways: int  # in the fleet
    number: int  # of this one, from 0
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    slow_start_ms: float  # how long an endpoint takes to warm up
    slow_start_floor: float  # the part of its capacity that it starts with
    overload_multiple: float  # of what it can do, that makes an endpoint in slow start fail for good,
    overload_window_ms: float  # if it is sent over so long
    max_attempts: int
    tick_ms: float = 1.0
    max_units: float = 1.0
    may_cancel: bool = True
    may_gossip: bool = False
    may_check_health: bool = False
    may_hedge: bool = False
    must_subscribe: bool = False
    post_paid: bool = False
    max_retry_after_ms: float = 0.0
    gossip_inbox_per_s: float = 0.0  # messages that a gateway takes in a second; 0: any number
    poll_within_ms: float = 10_000.0
    drain_grace_ms: float = 1000.0  # so long after word of a drain a new request may still go there
    report_how: str = "none"
    report_fields: tuple[str, ...] = ()
    cross_zone_price: float = 0.0
    peer_price: float = 0.0

    def __post_init__(self) -> None:
        """Refuse what can't be right."""
        if not self.classes:
            raise SettingsError("classes", "there are none")
        if not self.plans:
            raise SettingsError("plans", "there are none")
        _require_at_least(1, gateways=self.gateways, max_attempts=self.max_attempts)
        _require_at_least(
            0,
            number=self.number,
            slow_start_ms=self.slow_start_ms,
            slow_start_floor=self.slow_start_floor,
            overload_multiple=self.overload_multiple,
            overload_window_ms=self.overload_window_ms,
            max_units=self.max_units,
            gossip_inbox_per_s=self.gossip_inbox_per_s,
            drain_grace_ms=self.drain_grace_ms,
        )
        if self.number >= self.gateways:
            raise SettingsError("number", f"{self.number} is not below gateways ({self.gateways})")
