"""The record of one open request."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from gateway.interface.events import Endpoint, RequestArrived
from gateway.interface.settings import Plan, RequestClass
from gateway.policy.endpoints.endpoint_record import EndpointRecord
from gateway.policy.quota.account import CustomerAccount


class RequestPhase(Enum):
    """The stage of an open request."""

    AWAITING_QUOTA = "awaiting quota"  # not admitted yet
    QUEUED = "queued"  # admitted, and in the dispatch queue
    DISPATCHED = "dispatched"  # at least one attempt has been sent
    STREAMING = "streaming"  # the response has started


@dataclass(slots=True, eq=False)
class RequestRecord:
    """The state of one request, from its arrival to its final answer."""

    id: int
    arrival: RequestArrived
    request_class: RequestClass
    plan: Plan
    account: CustomerAccount
    arrived_at_ms: float
    objective_at_ms: float  # time up to which a response meets the latency objective
    priority: float  # requests with greater values are dispatched earlier
    phase: RequestPhase = RequestPhase.AWAITING_QUOTA
    is_complete: bool = True  # the last byte of the request has been received from the client
    is_held_up: bool = False  # the deadline runs although the request is incomplete
    body_released: bool = False  # the start of the body has been discarded, so no further attempt is possible
    # Attempts.
    attempts_sent: int = 0  # also the number of the next attempt
    in_flight_endpoints: dict[int, EndpointRecord] = field(default_factory=dict)  # by attempt number
    tried_endpoints: list[EndpointRecord] = field(default_factory=list)  # by attempt number, ended or not
    begun_attempts: set[int] = field(default_factory=set)  # attempts whose response is being buffered
    possible_executions: int = 0  # attempts, except those proved not to have been executed by their endpoint
    key_endpoint: Endpoint | None = None  # list entry of the first endpoint that may know the idempotency key
    key_sent_at_ms: float = 0.0  # when the idempotency key was sent to `key_endpoint`
    slow_start_draws: int = 0  # draws of the slow-start lottery in which the request took part
    slow_start_retry_at_ms: float = 0.0  # earliest time of the next draw of the slow-start lottery
    # Quota.
    lease_id: int = 0  # 0 before the first quota entry about this request is sent to the quota leader
    lease_requests: int = 0  # number of lease requests sent
    lease_requested_at_ms: float = 0.0  # when the last lease request was sent
    leader_replied: bool = False
    units_drawn: float = 0.0  # units taken from the quota, by a grant or from the local bucket
    within_quota: bool = True  # False for overage, which is admitted without a grant

    @classmethod
    def from_arrival(
        cls,
        arrival: RequestArrived,
        request_class: RequestClass,
        plan: Plan,
        account: CustomerAccount,
        now_ms: float,
    ) -> RequestRecord:
        """Return the record of a request that has arrived at `now_ms` and is not admitted yet."""
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
        """Whether the request has not been admitted yet."""
        return self.phase is RequestPhase.AWAITING_QUOTA

    @property
    def is_streaming(self) -> bool:
        """Whether the response has started."""
        return self.phase is RequestPhase.STREAMING
