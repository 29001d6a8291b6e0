"""A fleet on a simulated clock whose customers use different fractions of their quotas."""

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
SIMULATED_MS = 9000
ENDPOINTS = 20
CUSTOMERS = 40
PLAN = Plan("rated", 4, 12)
REQUEST_CLASS = RequestClass("look", 600, 1500, 2, Idempotency.IDEMPOTENT)
ATTEMPT_MS = 60.0  # time that an endpoint needs for an attempt
LOSS_PROBABILITY = 0.05  # probability that the network loses a datagram
MIN_DATAGRAM_MS = 1  # minimum network delay of a datagram
MAX_DATAGRAM_MS = 39  # maximum network delay of a datagram
MIN_TIMER_MS = 1e-3  # minimum delay of a timer


def quota_use_ratio(customer):
    """Return the ratio of a customer's request rate to the rate of its quota.

    One customer in eight exceeds its quota, one nearly uses it up, and six use a third of it.
    """
    if customer % 8 == 0:
        return 3.0
    return 0.9 if customer % 8 == 1 else 0.33


class BucketLevel(NamedTuple):
    """The level of a customer's token bucket, in units, at a point in time."""

    level: float
    at_ms: float


class QuotaFleet:
    """A fleet in which each customer sends its requests to half of the gateways, unevenly.

    It counts each attempt against a simulated token bucket of the customer, independently of the gateways.
    """

    def __init__(self, gateways, seed):
        self.rng = random.Random(seed)
        self.queue = EventQueue()
        changes = dict(gateways=gateways, plans=(PLAN,), classes=(REQUEST_CLASS,))
        self.controllers = {
            n: Controller(settings(gateway_number=n, **changes), self.rng.randrange(1 << 30))
            for n in range(gateways)
        }
        endpoints = tuple(Endpoint(f"s{n}", "z0", 0, EndpointState.READY) for n in range(ENDPOINTS))
        self.inboxes = {n: [EndpointUpdate(endpoints)] for n in self.controllers}
        self.spread = max(2, gateways // 2)
        self.use_ratios = [quota_use_ratio(customer) for customer in range(CUSTOMERS)]
        self.now_ms = START_MS
        self.serial = 0
        self.customers = {}  # the customer of each request, by request id
        self.buckets = {}  # the level of each customer's bucket, by customer
        self.sent = 0  # number of attempts
        self.sent_beyond_quota = 0  # number of attempts for which the customer's bucket held less than a unit
        self.arrived_within_quota = 0  # number of requests of customers that stay within their quota
        self.rejected_within_quota = 0  # number of rejections of requests of these customers

    def run(self):
        """Simulate the fleet for SIMULATED_MS."""
        while self.now_ms < START_MS + SIMULATED_MS:
            self.now_ms += TICK_MS
            if self.rng.random() < sum(self.use_ratios) * PLAN.rate_per_s * TICK_MS / 1000:
                self._add_arrival()
            for gateway, event in self.queue.pop_due(self.now_ms):
                self.inboxes[gateway].append(event)
            for gateway in [n for n, events in self.inboxes.items() if events]:
                events = self.inboxes[gateway]
                self.inboxes[gateway] = []
                for action in self.controllers[gateway].handle(self.now_ms, events):
                    self._execute_action(gateway, action)

    def _add_arrival(self):
        (customer,) = self.rng.choices(range(CUSTOMERS), self.use_ratios, k=1)
        self.serial += 1
        gateway_offset = int(self.rng.random() ** 2 * self.spread)
        gateways = len(self.controllers)
        self.customers[self.serial] = customer
        self.arrived_within_quota += self.use_ratios[customer] < 1
        arrival = RequestArrived(
            self.serial,
            f"{customer:016x}",
            REQUEST_CLASS.name,
            PLAN.name,
            self.now_ms + REQUEST_CLASS.deadline_ms,
            1,
            customer % gateways,
            self.spread,
        )
        self.inboxes[(customer + gateway_offset) % gateways].append(arrival)

    def _execute_action(self, gateway, action):
        match action:
            case SendAttempt():
                self._take_from_quota(self.customers[action.id])
                ended = AttemptEnded(action.id, 0, action.endpoint, ATTEMPT_MS, AttemptResult.OK, True)
                self.queue.schedule(self.now_ms + ATTEMPT_MS, gateway, ended)
            case SetTimer():
                fires_ms = self.now_ms + max(action.after_ms, MIN_TIMER_MS)
                self.queue.schedule(fires_ms, gateway, TimerFired(action.name))
            case SendGossip():
                self._send_datagram(gateway, action)
            case Reject():
                self.rejected_within_quota += self.use_ratios[self.customers[action.id]] < 1

    def _take_from_quota(self, customer):
        bucket = self.buckets.get(customer, BucketLevel(PLAN.burst, START_MS))
        refilled = bucket.level + (self.now_ms - bucket.at_ms) / 1000 * PLAN.rate_per_s
        level = min(PLAN.burst, refilled)
        is_within_quota = level >= 1
        self.sent += 1
        self.sent_beyond_quota += not is_within_quota
        self.buckets[customer] = BucketLevel(level - is_within_quota, self.now_ms)

    def _send_datagram(self, gateway, action):
        if self.rng.random() > LOSS_PROBABILITY:
            delay_ms = self.rng.uniform(MIN_DATAGRAM_MS, MAX_DATAGRAM_MS)
            received = GossipReceived(gateway, action.data)
            self.queue.schedule(self.now_ms + delay_ms, action.receiver, received)
