"""A fleet on a simulated clock in which endpoints start cold."""

import math
import random
from collections import defaultdict
from dataclasses import replace

from gateway.interface.actions import SendAttempt, SetTimer
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    TimerFired,
)
from gateway.interface.settings import Idempotency, Plan, RequestClass
from gateway.policy.controller import Controller
from support.event_queue import EventQueue
from support.policy_settings import TICK_MS, settings

START_MS = 50_000.0
LEAD_MS = 2000  # between the start of gateways and that of the endpoints that they know
DURATION_MS = 2400  # from the start of the endpoints
DISCOVERY_SPREAD_MS = 0.0  # between the first and the last gateway that learns of the start
ENDPOINTS = 20
REQUESTS_PER_S = 30.0  # for each endpoint, which is its capacity
BATCH_SIZE = 3  # requests that arrive at once
DEADLINE_MS = 15_000
FAILURE_PROBABILITY = 1 / 6
SLOW_PROBABILITY = 0.1  # of an attempt that succeeds, which is then hedged
FAILED_MS = 20.0
FAST_MS = 70.0
SLOW_MS = 900.0
MIN_TIMER_MS = 1.0


class ColdFleet:
    """A fleet in full use, in which all endpoints but the first `warm` ones start at once.

    Gateways either start together with the endpoints, or have known them for a while as warm ones.
    """

    def __init__(self, gateways, seed, warm, known):
        self.rng = random.Random(seed)
        self.queue = EventQueue()
        self.settings = settings(
            gateways=gateways,
            plans=(Plan("free"),),
            classes=(RequestClass("look", 4000, DEADLINE_MS, 2, Idempotency.IDEMPOTENT),),
        )
        self.controllers = {
            n: Controller(replace(self.settings, gateway_number=n), self.rng.randrange(1 << 30))
            for n in range(gateways)
        }
        self.now = START_MS
        self.cold_start_ms = START_MS + LEAD_MS * known
        self.serial = 0
        before = [Endpoint(f"s{n}", "z0", 0, EndpointState.READY) for n in range(ENDPOINTS)]
        cold = [replace(endpoint, started_at_ms=self.cold_start_ms) for endpoint in before[warm:]]
        after = [*before[:warm], *cold]
        self.sent_ms = {endpoint.id: [] for endpoint in cold}
        for n in self.controllers:
            self.queue.schedule(START_MS, n, EndpointUpdate(tuple(before if known else after)))
            if known:
                learned_ms = self.cold_start_ms + self.rng.uniform(0, DISCOVERY_SPREAD_MS)
                self.queue.schedule(learned_ms, n, EndpointUpdate(tuple(after)))

    def run(self):
        """Simulate the time up to some seconds after the start of the cold endpoints."""
        while self.now < self.cold_start_ms + DURATION_MS:
            self.now += TICK_MS
            inboxes = defaultdict(list)
            if self.rng.random() < ENDPOINTS * REQUESTS_PER_S * TICK_MS / 1000 / BATCH_SIZE:
                self._add_arrivals(inboxes)
            for gateway, event in self.queue.pop_due(self.now):
                inboxes[gateway].append(event)
            for gateway, events in inboxes.items():
                for action in self.controllers[gateway].handle(self.now, events):
                    self._carry_out(gateway, action)

    def max_excess_attempts(self):
        """Return by how many attempts a cold endpoint got too many at the most.

        That is beyond what the settings allow in a window, and what chance may add. Each window begins
        with an attempt.
        """
        return max(
            (
                self._excess_in_window(times[first:])
                for times in self.sent_ms.values()
                for first in range(len(times))
            ),
            default=-math.inf,
        )

    def _excess_in_window(self, times):
        window_ms = self.settings.overload_window_ms
        floor = self.settings.slow_start_floor
        since_start_ms = times[0] - self.cold_start_ms
        warmth = floor + (1 - floor) * since_start_ms / self.settings.slow_start_ms
        allowed = self.settings.overload_multiple * warmth * REQUESTS_PER_S * window_ms / 1000
        count = sum(at_ms < times[0] + window_ms for at_ms in times)
        return count - (allowed + 2 * allowed**0.5 + 2)

    def _add_arrivals(self, inboxes):
        for _ in range(BATCH_SIZE):
            self.serial += 1
            gateway = self.rng.randrange(len(self.controllers))
            customer = f"{self.serial % 97:016x}"
            deadline_at_ms = self.now + DEADLINE_MS
            inboxes[gateway].append(
                RequestArrived(
                    self.serial, customer, "look", "free", deadline_at_ms, 1, 0, len(self.controllers)
                )
            )

    def _carry_out(self, gateway, action):
        if isinstance(action, SendAttempt):
            self._send_attempt(gateway, action)
        elif isinstance(action, SetTimer):
            fires_ms = self.now + max(MIN_TIMER_MS, action.after_ms)
            self.queue.schedule(fires_ms, gateway, TimerFired("agenda"))

    def _send_attempt(self, gateway, action):
        if self.now >= self.cold_start_ms and action.endpoint in self.sent_ms:
            self.sent_ms[action.endpoint].append(self.now)
        request = self.controllers[gateway].flow.open_requests.get(action.id)
        attempt = request.attempts_sent - 1 if request else 0
        if self.rng.random() < FAILURE_PROBABILITY:
            result = AttemptResult.ERROR
            duration_ms = FAILED_MS
        else:
            result = AttemptResult.OK
            duration_ms = SLOW_MS if self.rng.random() < SLOW_PROBABILITY else FAST_MS
        is_final = result is AttemptResult.OK
        ended = AttemptEnded(action.id, attempt, action.endpoint, duration_ms, result, is_final)
        self.queue.schedule(self.now + duration_ms, gateway, ended)
