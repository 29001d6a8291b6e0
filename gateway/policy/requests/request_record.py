"""One open request."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from gateway.interface.events import Endpoint, RequestArrived
from gateway.interface.settings import Plan, RequestClass
from gateway.policy.endpoints.endpoint_record import EndpointRecord
from gateway.policy.quota.account import CustomerAccount


class RequestPhase(Enum):
    """How far a request has come."""

    AWAITING_QUOTA = "awaiting quota"
    QUEUED = "queued"  # admitted, and waiting to be dispatched
    DISPATCHED = "dispatched"
    STREAMING = "streaming"  # its response has started


@dataclass(slots=True, eq=False)
class RequestRecord:
    """One request, from its arrival to its final answer."""

    id: int
    arrival: RequestArrived
    request_class: RequestClass
    plan: Plan
    account: CustomerAccount
    arrived_at_ms: float
    objective_at_ms: float
    priority: float
    phase: RequestPhase = RequestPhase.AWAITING_QUOTA
    is_complete: bool = True  # its last byte has been received
    body_released: bool = False  # a part of its body is no longer held: it can't be sent again
    # Attempts.
    attempts: int = 0
    in_flight: dict[int, EndpointRecord] = field(default_factory=dict)  # by the attempt's number
    tried: list[EndpointRecord] = field(default_factory=list)
    possibly_executed: int = 0  # attempts in flight, or not proved never to have been executed
    key_endpoint: Endpoint | None = None  # of the first of these, as it was listed when that was sent,
    key_sent_at_ms: float = 0.0  # and when that was
    slow_start_tries: int = 0  # how often an endpoint in slow start was tried for
    slow_start_retry_at_ms: float = 0.0  # not before then is one tried for again
    # Quota.
    lease_id: int = 0  # 0: nothing has been said of it to the leader
    lease_requests: int = 0
    lease_requested_at_ms: float = 0.0
    leader_replied: bool = False
    units_drawn: float = 0.0
    within_quota: bool = True

    @classmethod
    def opened(
        cls,
        arrival: RequestArrived,
        request_class: RequestClass,
        plan: Plan,
        account: CustomerAccount,
        now_ms: float,
    ) -> RequestRecord:
        """Return the record of a request that has just arrived."""
        return cls(
            arrival.id,
            arrival,
            request_class,
            plan,
            account,
            arrived_at_ms=now_ms,
            objective_at_ms=now_ms + request_class.latency_objective_ms,
            priority=request_class.priority_weight * plan.weight_factor,
            is_complete=arrival.is_complete,
        )

    @property
    def awaits_quota(self) -> bool:
        """Whether it has not been admitted yet."""
        return self.phase is RequestPhase.AWAITING_QUOTA

    @property
    def is_streaming(self) -> bool:
        """Whether its response has started."""
        return self.phase is RequestPhase.STREAMING
