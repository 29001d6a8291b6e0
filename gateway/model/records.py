"""The records that the decision package keeps of requests, customers and endpoints. Nothing is decided here.

Times that end in `_at_ms` are points of the clock, other times are durations, both in milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from gateway.gossip.codec import QuotaEntry
from gateway.interface.events import Endpoint, RequestArrived
from gateway.interface.settings import Plan, RequestClass
from gateway.policy.decay import decay

NEVER_MS = -math.inf


class AttemptKey(NamedTuple):
    """An attempt, by its request and its number."""

    request_id: int
    number: int


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """One attempt that has not ended."""

    endpoint: EndpointRecord
    request_class: RequestClass
    is_executing: bool = True  # False while its request or its response is still on the way through us


class LeaseKey(NamedTuple):
    """A lease as its leader knows it: by the gateway that asked, that one's incarnation, and its lease id."""

    gateway: int
    incarnation: int
    lease_id: int


class AccountKey(NamedTuple):
    """What belongs to one account.

    What is said of a customer's plan and gateways belongs together: a request that says otherwise in its name
    must not bind the others.
    """

    customer: str
    plan: str
    spread: int
    first_gateway: int


@dataclass(slots=True, eq=False)
class CustomerAccount:
    """One customer at this gateway: its local buckets, and what the quota leader has told."""

    plan: Plan
    customer_tag: int
    spread: int
    leader: int  # the gateway of its set that keeps its quota
    refilled_at_ms: float
    quota_level: float = 0.0  # of the local bucket; below 0 after an optimistic admission
    ceiling_level: float = 0.0  # of our part of the ceiling
    demand: float = 0.0  # decaying sum of units that were asked of us
    fleet_demand_per_s: float = 0.0  # units asked of all gateways, as the leader last told
    fleet_demand_at_ms: float = NEVER_MS
    in_flight: int = 0  # requests admitted and not ended

    def advance(self, now_ms: float, demand_memory_ms: float) -> float:
        """Let the demand fade for the time that has passed, and return that, in seconds."""
        elapsed_s = (now_ms - self.refilled_at_ms) / 1000
        self.refilled_at_ms = now_ms
        self.demand *= decay(elapsed_s * 1000, demand_memory_ms)
        return elapsed_s

    def fill(self, elapsed_s: float, burst_part: float, own_part: float, ceiling_part: float) -> None:
        """Fill the buckets with our part of the plan's rate, and that part of its ceiling."""
        plan = self.plan
        burst = plan.burst * burst_part * own_part
        self.quota_level = min(burst, self.quota_level + plan.rate_per_s * own_part * elapsed_s)
        ceiling_level = self.ceiling_level + plan.ceiling_per_s * ceiling_part * elapsed_s
        self.ceiling_level = min(plan.ceiling_burst * ceiling_part, ceiling_level)

    def is_full(self, now_ms: float, ceiling_part: float) -> bool:
        """Return whether the local buckets owe nothing by now; they hold that part of the plan's ceiling."""
        plan = self.plan
        elapsed_s = (now_ms - self.refilled_at_ms) / 1000
        if self.quota_level + plan.rate_per_s / self.spread * elapsed_s < 0:
            return False
        ceiling_per_s = plan.ceiling_per_s * ceiling_part
        if not ceiling_per_s:
            return True
        ceiling_level = self.ceiling_level + ceiling_per_s / self.spread * elapsed_s
        return ceiling_level >= plan.ceiling_burst * ceiling_part / self.spread


@dataclass(slots=True, eq=False)
class LeaseRequest:
    """A request that waits at its customer's quota leader."""

    key: LeaseKey
    entry: QuotaEntry
    priority_weight: float
    received_at_ms: float
    expires_at_ms: float


@dataclass(slots=True, eq=False)
class LeaderBucket:
    """One customer's quota at its leader."""

    name: int  # of the customer and its plan, as entries have it
    plan: Plan
    level: float
    refilled_at_ms: float
    ceiling_level: float = 0.0  # of the leader's part of the ceiling
    demand: float = 0.0  # decaying sum of units asked by all gateways
    queue: list[LeaseRequest] = field(default_factory=list)
    slots: dict[LeaseKey, float] = field(default_factory=dict)  # of requests in flight, until when at most
    granted: dict[LeaseKey, float] = field(default_factory=dict)  # granted, or told as used, and when
    serve_at_ms: float = math.inf  # when the bucket looks at its queue again

    def refill(self, now_ms: float, ceiling_part: float, demand_memory_ms: float) -> None:
        """Fill the bucket for the time that has passed; it holds that part of the plan's ceiling."""
        plan = self.plan
        elapsed_s = (now_ms - self.refilled_at_ms) / 1000
        self.refilled_at_ms = now_ms
        self.demand *= decay(elapsed_s * 1000, demand_memory_ms)
        self.level = min(plan.burst, self.level + plan.rate_per_s * elapsed_s)
        ceiling_level = self.ceiling_level + plan.ceiling_per_s * ceiling_part * elapsed_s
        self.ceiling_level = min(plan.ceiling_burst * ceiling_part, ceiling_level)

    def is_full(self, now_ms: float, ceiling_part: float) -> bool:
        """Return whether the bucket would be full by now, and nothing is booked in it."""
        plan = self.plan
        elapsed_s = (now_ms - self.refilled_at_ms) / 1000
        if self.queue or self.serve_at_ms != math.inf or any(until > now_ms for until in self.slots.values()):
            return False
        if self.level + plan.rate_per_s * elapsed_s < plan.burst:
            return False
        ceiling_level = self.ceiling_level + plan.ceiling_per_s * ceiling_part * elapsed_s
        return not plan.ceiling_per_s or ceiling_level >= plan.ceiling_burst * ceiling_part

    def has_queued(self, key: LeaseKey) -> bool:
        """Return whether a lease request waits."""
        return any(waiting.key == key for waiting in self.queue)

    def drop_queued(self, key: LeaseKey) -> None:
        """Take a lease request out of the queue, if it is there."""
        self.queue = [waiting for waiting in self.queue if waiting.key != key]

    def drop_expired(self, now_ms: float) -> None:
        """Take out the lease requests and the slots whose time is over."""
        self.queue = [waiting for waiting in self.queue if waiting.expires_at_ms > now_ms]
        if self.slots:
            self.slots = {key: until_ms for key, until_ms in self.slots.items() if until_ms > now_ms}

    def oldest_grant_ms(self) -> float:
        """Return when the first grant was made that is remembered."""
        return next(iter(self.granted.values()))

    def forget_granted(self, now_ms: float, age_ms: float) -> None:
        """Forget what was granted longer ago than that."""
        self.granted = {key: at_ms for key, at_ms in self.granted.items() if now_ms - at_ms <= age_ms}


class ClassCounts(dict[str, float]):
    """Decaying counts by class."""

    def faded(self, part: float) -> ClassCounts:
        """Return the counts with that part of them left."""
        return ClassCounts({name: count * part for name, count in self.items()})

    def add(self, name: str, weight: float) -> None:
        """Count something for a class."""
        self[name] = self.get(name, 0.0) + weight


@dataclass(slots=True, eq=False)
class EndpointRecord:
    """What is known of one endpoint."""

    entry: Endpoint
    in_flight: int = 0  # attempts of ours that it works on
    latency_factor: float = 1.0  # its latency against that of the fleet
    outcomes: ClassCounts = field(default_factory=ClassCounts)
    failures: ClassCounts = field(default_factory=ClassCounts)
    observed_at_ms: float = 0.0
    peer_load: float = 0.0  # what others have in flight there, by its last load report
    reported_at_ms: float = NEVER_MS


class AttemptTable:
    """The attempts that have not ended, also of requests that have, and which of them are being executed."""

    def __init__(self) -> None:
        """Begin empty."""
        self._records: dict[AttemptKey, AttemptRecord] = {}

    def __contains__(self, key: AttemptKey) -> bool:
        """Return whether an attempt has not ended."""
        return key in self._records

    def __iter__(self) -> Iterator[AttemptRecord]:
        """Iterate over the attempts in the order of their sends."""
        return iter(self._records.values())

    def add(self, request: RequestRecord, endpoint: EndpointRecord, now_ms: float) -> AttemptKey:
        """Add a request's next attempt, which its endpoint executes."""
        key = AttemptKey(request.id, request.attempts)
        self._records[key] = AttemptRecord(endpoint, request.request_class)
        endpoint.in_flight += 1
        request.in_flight[request.attempts] = endpoint
        request.tried.append(endpoint)
        if not request.possibly_executed:
            request.key_endpoint = endpoint.entry
            request.key_sent_at_ms = now_ms
        request.attempts += 1
        request.possibly_executed += 1
        return key

    def set_executing(self, key: AttemptKey, is_executing: bool) -> int:
        """Say whether its endpoint executes an attempt; return by how many more that is."""
        attempt = self._records.get(key)
        if attempt is None or attempt.is_executing == is_executing:
            return 0
        attempt.is_executing = is_executing
        change = 1 if is_executing else -1
        attempt.endpoint.in_flight += change
        return change

    def pop(self, key: AttemptKey) -> AttemptRecord:
        """Take out an attempt that has ended."""
        return self._records.pop(key)


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
