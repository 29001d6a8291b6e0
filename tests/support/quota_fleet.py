"""A fleet on a simulated clock whose customers use their quotas to different degrees."""

import random
from typing import NamedTuple

from gateway.interface.actions import Reject, SendAttempt, SendGossip, SetTimer
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    GossipReceived,
    RequestArrived,
    TimerFired,
)
from gateway.interface.settings import Idempotency, Plan, RequestClass
from gateway.policy.controller import Controller
from support.event_queue import EventQueue
from support.policy_settings import TICK_MS, settings

START_MS = 1000.0
DURATION_MS = 9000
ENDPOINTS = 20
CUSTOMERS = 40
PLAN = Plan("rated", 4, 12)
LOOK = RequestClass("look", 600, 1500, 2, Idempotency.IDEMPOTENT)
ATTEMPT_MS = 60.0
LOSS_PROBABILITY = 0.05  # of a datagram
MIN_DATAGRAM_MS = 1
MAX_DATAGRAM_MS = 39
MIN_TIMER_MS = 1e-3


def quota_use(customer):
    """Return the customer's request rate as a multiple of its quota's rate."""
    if customer % 8 == 0:
        return 3.0
    return 0.9 if customer % 8 == 1 else 0.33


class Bucket(NamedTuple):
    """The level of a customer's quota at a time."""

    level: float
    at_ms: float


class QuotaFleet:
    """A fleet in which each customer sends requests to half of the gateways, to some more than to others."""

    def __init__(self, gateways, seed):
        self.rng = random.Random(seed)
        self.queue = EventQueue()
        changes = dict(gateways=gateways, plans=(PLAN,), classes=(LOOK,))
        self.controllers = {
            n: Controller(settings(gateway_number=n, **changes), self.rng.randrange(1 << 30))
            for n in range(gateways)
        }
        endpoints = tuple(Endpoint(f"s{n}", "z0", 0, EndpointState.READY) for n in range(ENDPOINTS))
        self.inboxes = {n: [EndpointUpdate(endpoints)] for n in self.controllers}
        self.spread = max(2, gateways // 2)
        self.use = [quota_use(customer) for customer in range(CUSTOMERS)]
        self.now = START_MS
        self.serial = 0
        self.customers = {}  # by request id
        self.buckets = {}  # by customer
        self.sent = 0
        self.sent_beyond_quota = 0
        self.arrived_within_quota = 0  # of customers that stay within their quota
        self.rejected_within_quota = 0  # of the same customers

    def run(self):
        """Simulate the time up to the end."""
        while self.now < START_MS + DURATION_MS:
            self.now += TICK_MS
            if self.rng.random() < sum(self.use) * PLAN.rate_per_s * TICK_MS / 1000:
                self._add_arrival()
            for gateway, event in self.queue.pop_due(self.now):
                self.inboxes[gateway].append(event)
            for gateway in [n for n, events in self.inboxes.items() if events]:
                events = self.inboxes[gateway]
                self.inboxes[gateway] = []
                for action in self.controllers[gateway].handle(self.now, events):
                    self._carry_out(gateway, action)

    def _add_arrival(self):
        (customer,) = self.rng.choices(range(CUSTOMERS), self.use, k=1)
        self.serial += 1
        place = int(self.rng.random() ** 2 * self.spread)
        gateways = len(self.controllers)
        self.customers[self.serial] = customer
        self.arrived_within_quota += self.use[customer] < 1
        arrival = RequestArrived(
            self.serial,
            f"{customer:016x}",
            LOOK.name,
            PLAN.name,
            self.now + LOOK.deadline_ms,
            1,
            customer % gateways,
            self.spread,
        )
        self.inboxes[(customer + place) % gateways].append(arrival)

    def _carry_out(self, gateway, action):
        match action:
            case SendAttempt():
                self._take_from_quota(self.customers[action.id])
                ended = AttemptEnded(action.id, 0, action.endpoint, ATTEMPT_MS, AttemptResult.OK, True)
                self.queue.schedule(self.now + ATTEMPT_MS, gateway, ended)
            case SetTimer():
                fires_ms = self.now + max(action.after_ms, MIN_TIMER_MS)
                self.queue.schedule(fires_ms, gateway, TimerFired(action.name))
            case SendGossip():
                self._send_datagram(gateway, action)
            case Reject():
                self.rejected_within_quota += self.use[self.customers[action.id]] < 1

    def _take_from_quota(self, customer):
        bucket = self.buckets.get(customer, Bucket(PLAN.burst, START_MS))
        refilled = bucket.level + (self.now - bucket.at_ms) / 1000 * PLAN.rate_per_s
        level = min(PLAN.burst, refilled)
        is_within_quota = level >= 1
        self.sent += 1
        self.sent_beyond_quota += not is_within_quota
        self.buckets[customer] = Bucket(level - is_within_quota, self.now)

    def _send_datagram(self, gateway, action):
        if self.rng.random() > LOSS_PROBABILITY:
            delay_ms = self.rng.uniform(MIN_DATAGRAM_MS, MAX_DATAGRAM_MS)
            received = GossipReceived(gateway, action.data)
            self.queue.schedule(self.now + delay_ms, action.receiver, received)
