"""Tests of the load that an endpoint in slow start gets from all gateways together."""

import heapq
import random

import pytest
from support.cold_fleet import ColdFleet
from support.policy_events import SIX_ENDPOINTS, sends_in
from support.policy_settings import TICK_MS, settings

from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
)
from gateway.policy.controller import Controller

FIRST_UPDATE_MS = 50_004.0  # time of the endpoint update with the warm endpoints
COLD_START_MS = 52_000.0  # time at which the cold endpoint starts and is listed
ATTEMPT_MS = 120.0  # duration of an attempt
WINDOW_MS = 1500  # overload_window_ms in the settings
SLOW_START_MS = 8000  # slow_start_ms in the settings
SLOW_START_FLOOR = 0.25  # slow_start_floor in the settings
WARM_ENDPOINTS = 5  # number of warm endpoints


def test_400_gateways_do_not_overload_a_cold_endpoint_after_a_stall():
    cold = Endpoint("cold", "z0", 0, EndpointState.READY, 1.0, 50_000.0)
    count = 0
    for n in range(400):
        controller = Controller(settings(gateway_number=n, gateways=400, may_gossip=False), n)
        controller.handle(50_000, [EndpointUpdate((*SIX_ENDPOINTS.endpoints, cold))])
        burst = [RequestArrived(k, f"c{k}", "look", "rated", 53_400.0, 1, n, 1) for k in range(1, 4)]
        count += sum(send.endpoint == "cold" for send in sends_in(controller.handle(52_000, burst)))
    sends_per_warm_endpoint = 400 * 3 / 7
    # 2 s after its start, the cold endpoint has less than 0.45 of its full capacity.
    assert 0 < count < 0.45 * 2 * sends_per_warm_endpoint


def endpoint_updates(now):
    """Return the endpoint updates that gateways receive at the time `now`.

    The first update lists the warm endpoints, and the second update lists the cold endpoint at its start.
    """
    if now == FIRST_UPDATE_MS:
        warm = [Endpoint(f"s{n}", "z0", 0, EndpointState.READY) for n in range(WARM_ENDPOINTS)]
        return [EndpointUpdate(tuple(warm))]
    if now == COLD_START_MS:
        cold = Endpoint("cold", "z0", 0, EndpointState.READY, 1.0, COLD_START_MS)
        return [EndpointUpdate((cold,), is_snapshot=False)]
    return []


def sends_while_an_endpoint_starts(seed):
    """Return the times and the endpoints of all attempts of three gateways, before and after a cold start."""
    rng = random.Random(seed)
    controllers = {n: Controller(settings(gateway_number=n), rng.randrange(1 << 30)) for n in range(3)}
    now = 50_000.0
    request_id = 0
    sends = []
    ends = []
    while now < 56_000:
        now += TICK_MS
        for n, controller in controllers.items():
            events = endpoint_updates(now)
            if rng.random() < 0.12:
                request_id += 1
                customer = f"c{request_id % 400}"
                events.append(RequestArrived(request_id, customer, "look", "rated", now + 1500, 1, 0, 3))
            while ends and ends[0][0] <= now and ends[0][1] == n:
                _, _, ended_id, endpoint = heapq.heappop(ends)
                events.append(AttemptEnded(ended_id, 0, endpoint, ATTEMPT_MS, AttemptResult.OK, True))
            for send in sends_in(controller.handle(now, events)):
                sends.append((now, send.endpoint))
                heapq.heappush(ends, (now + ATTEMPT_MS, n, send.id, send.endpoint))
    return sends


@pytest.mark.parametrize("seed", range(3))
def test_cold_endpoint_gets_no_more_attempts_than_its_capacity_fraction_allows(seed):
    sends = sends_while_an_endpoint_starts(seed)
    for start_ms in range(52_000, 54_500, 100):
        end_ms = start_ms + WINDOW_MS
        chosen = [endpoint for at_ms, endpoint in sends if start_ms <= at_ms < end_ms]
        fraction = SLOW_START_FLOOR + (1 - SLOW_START_FLOOR) * (end_ms - COLD_START_MS) / SLOW_START_MS
        sends_per_warm_endpoint = sum(endpoint != "cold" for endpoint in chosen) / WARM_ENDPOINTS
        assert chosen.count("cold") <= fraction * sends_per_warm_endpoint * 1.5 + 3


@pytest.mark.parametrize("gateways", [1, 3, 30, 230])
@pytest.mark.parametrize(("warm", "known"), [(19, True), (8, True), (8, False), (0, True), (0, False)])
def test_all_gateways_together_do_not_overload_a_cold_endpoint(gateways, warm, known):
    fleet = ColdFleet(gateways, 2, warm, known)
    fleet.run()
    assert any(fleet.sent_ms.values())  # an endpoint without an attempt would stay cold
    assert fleet.max_excess_attempts() <= 0
