"""A fleet on a simulated clock in which endpoints start, and have little capacity at first."""

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
KNOWN_BEFORE_START_MS = 2000  # time for which gateways know all endpoints as warm before cold ones restart
SIMULATED_AFTER_START_MS = 2400  # simulated time after the start of the cold endpoints
DISCOVERY_SPREAD_MS = 0.0  # maximum delay between the endpoints' start and a gateway's update about it
ENDPOINTS = 20
REQUESTS_PER_S = 30.0  # arrival rate of requests per endpoint, equal to a warm endpoint's capacity
ARRIVAL_BATCH_SIZE = 3  # number of requests that arrive at the same time
DEADLINE_MS = 15_000
FAILURE_PROBABILITY = 1 / 6  # probability that an attempt fails
SLOW_PROBABILITY = 0.1  # probability that a successful attempt is slow, so that the gateway hedges it
FAILED_ATTEMPT_MS = 20.0
FAST_ATTEMPT_MS = 70.0
SLOW_ATTEMPT_MS = 900.0
MIN_TIMER_MS = 1.0  # minimum delay of a timer


class ColdFleet:
    """A fleet at full load in which all endpoints except the first `warm_count` start at the same time.

    If `are_known` is true, the gateways have by then known all endpoints as warm ones for
    KNOWN_BEFORE_START_MS. Otherwise the gateways start together with the endpoints.
    """

    def __init__(self, gateways, seed, warm_count, are_known):
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
        self.now_ms = START_MS
        self.cold_start_ms = START_MS + KNOWN_BEFORE_START_MS * are_known
        self.serial = 0
        warm_list = [Endpoint(f"s{n}", "z0", 0, EndpointState.READY) for n in range(ENDPOINTS)]
        cold = [replace(endpoint, started_at_ms=self.cold_start_ms) for endpoint in warm_list[warm_count:]]
        started_list = [*warm_list[:warm_count], *cold]
        self.sent_ms = {endpoint.id: [] for endpoint in cold}  # times of the attempts at each cold endpoint
        for n in self.controllers:
            self.queue.schedule(START_MS, n, EndpointUpdate(tuple(warm_list if are_known else started_list)))
            if are_known:
                learned_ms = self.cold_start_ms + self.rng.uniform(0, DISCOVERY_SPREAD_MS)
                self.queue.schedule(learned_ms, n, EndpointUpdate(tuple(started_list)))

    def run(self):
        """Simulate the fleet until SIMULATED_AFTER_START_MS after the start of the cold endpoints."""
        while self.now_ms < self.cold_start_ms + SIMULATED_AFTER_START_MS:
            self.now_ms += TICK_MS
            inboxes = defaultdict(list)
            if self.rng.random() < ENDPOINTS * REQUESTS_PER_S * TICK_MS / 1000 / ARRIVAL_BATCH_SIZE:
                self._add_arrivals(inboxes)
            for gateway, event in self.queue.pop_due(self.now_ms):
                inboxes[gateway].append(event)
            for gateway, events in inboxes.items():
                for action in self.controllers[gateway].handle(self.now_ms, events):
                    self._execute_action(gateway, action)

    def max_excess_attempts(self):
        """Return the maximum number of attempts by which a window of a cold endpoint exceeds its limit.

        A window begins with an attempt and lasts for the overload window of the settings. Its limit is the
        number of attempts that the settings allow, plus a margin for random variation. The value is negative
        if all windows are below their limits, and minus infinity if no cold endpoint received an attempt.
        """
        return max(
            (
                self._excess_attempts_in_window(times[first:])
                for times in self.sent_ms.values()
                for first in range(len(times))
            ),
            default=-math.inf,
        )

    def _excess_attempts_in_window(self, times):
        window_ms = self.settings.overload_window_ms
        floor = self.settings.slow_start_floor
        since_start_ms = times[0] - self.cold_start_ms
        capacity_fraction = floor + (1 - floor) * since_start_ms / self.settings.slow_start_ms
        allowed = self.settings.overload_multiple * capacity_fraction * REQUESTS_PER_S * window_ms / 1000
        count = sum(at_ms < times[0] + window_ms for at_ms in times)
        # Two standard deviations of a Poisson distribution, plus two attempts.
        random_margin = 2 * allowed**0.5 + 2
        return count - (allowed + random_margin)

    def _add_arrivals(self, inboxes):
        for _ in range(ARRIVAL_BATCH_SIZE):
            self.serial += 1
            gateway = self.rng.randrange(len(self.controllers))
            customer = f"{self.serial % 97:016x}"
            deadline_at_ms = self.now_ms + DEADLINE_MS
            inboxes[gateway].append(
                RequestArrived(
                    self.serial, customer, "look", "free", deadline_at_ms, 1, 0, len(self.controllers)
                )
            )

    def _execute_action(self, gateway, action):
        if isinstance(action, SendAttempt):
            self._send_attempt(gateway, action)
        elif isinstance(action, SetTimer):
            fires_ms = self.now_ms + max(MIN_TIMER_MS, action.after_ms)
            self.queue.schedule(fires_ms, gateway, TimerFired("agenda"))

    def _send_attempt(self, gateway, action):
        if self.now_ms >= self.cold_start_ms and action.endpoint in self.sent_ms:
            self.sent_ms[action.endpoint].append(self.now_ms)
        request = self.controllers[gateway].flow.open_requests.get(action.id)
        attempt = request.attempts_sent - 1 if request else 0
        if self.rng.random() < FAILURE_PROBABILITY:
            result = AttemptResult.ERROR
            duration_ms = FAILED_ATTEMPT_MS
        else:
            result = AttemptResult.OK
            duration_ms = SLOW_ATTEMPT_MS if self.rng.random() < SLOW_PROBABILITY else FAST_ATTEMPT_MS
        is_final = result is AttemptResult.OK
        ended = AttemptEnded(action.id, attempt, action.endpoint, duration_ms, result, is_final)
        self.queue.schedule(self.now_ms + duration_ms, gateway, ended)
