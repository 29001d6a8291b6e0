"""Tests of customers' ceilings, which must hold over all gateways and restarts."""

import pytest
from support.policy_events import SIX_ENDPOINTS, arrival, attempt_ended, leader_of, new_controller, sends_in
from support.policy_settings import settings

from gateway.interface.events import AttemptResult, RequestArrived, TimerFired
from gateway.interface.settings import Plan
from gateway.policy.controller import Controller


class ReferenceCeiling:
    """A token bucket with the ceiling of the plan "capped" for all gateways: 16 units/s, at most 32 units."""

    def __init__(self, now):
        self.level = 32.0
        self.at_ms = now

    def take(self, units, now):
        self.level = min(32.0, self.level + (now - self.at_ms) / 1000 * 16) - units
        self.at_ms = now


@pytest.mark.parametrize("gateways", [1, 3, 40])
def test_ceiling_holds_when_the_quota_leader_restarts_repeatedly(gateways):
    """Each incarnation of the leader serves for 1 s, and the next incarnation starts 1.6 s later.

    A new leader process does not know what the one before it granted, and must not grant it again. At once it
    may grant only what the ceiling allows beyond the quota.
    """
    number = leader_of("k", spread=min(3, gateways))
    now = 100_000.0
    granted = []
    ceiling = ReferenceCeiling(now)
    for incarnation in range(6):
        controller = Controller(settings(gateway_number=number, gateways=gateways), incarnation)
        events = [SIX_ENDPOINTS]
        for step in range(0, 1000, 20):
            sends = sends_in(controller.handle(now + step, [TimerFired("agenda"), *events]))
            ceiling.take(len(sends), now + step)
            assert ceiling.level >= -4
            granted.append(len(sends))
            after = step + 20
            events = [attempt_ended(send, AttemptResult.OK) for send in sends]
            request_id = 1000 * incarnation + after
            events += [RequestArrived(request_id, "k", "seat", "capped", now + after + 900, 1, 0, 3)]
        now += 2600
    assert sum(granted[:25]) >= 13  # in the first 0.5 s: 8 units at once, and 6 units of the refill


def test_ceiling_of_a_plan_with_a_quota_in_flight_starts_empty():
    """A quota in flight does not limit how many units a previous process may have granted."""
    plans = (Plan("capped", max_in_flight=4, ceiling_per_s=4, ceiling_burst=40, ceiling_slack=2),)
    controller = new_controller(gateway_number=leader_of("k"), plans=plans)
    controller.handle(1000, [SIX_ENDPOINTS])
    assert not sends_in(controller.handle(1001, [arrival(1, "seat", "capped", customer="k")]))
    assert sends_in(controller.handle(1400, [TimerFired("agenda")]))


def test_leaders_ceiling_fills_from_the_start_of_the_gateway():
    controller = new_controller(gateway_number=leader_of("k"))
    controller.handle(1000, [SIX_ENDPOINTS])
    now = 1000.0
    while now < 4000:
        now += 100
        controller.handle(now, [TimerFired("agenda")])
    burst = [arrival(n, "seat", "capped", 9000.0, "k") for n in range(1, 11)]
    assert len(sends_in(controller.handle(4001, burst))) == 10


def test_local_fraction_of_a_ceiling_fills_from_the_start_of_the_gateway():
    """The quota leader is silent; the ceiling's local bucket has filled and permits optimistic admission."""
    controller = new_controller(gateway_number=(leader_of("k") + 1) % 3)
    now = 1000.0
    sent = []
    controller.handle(now, [SIX_ENDPOINTS])
    while now < 9000 and not sent:
        now += 100
        events = [arrival(1, "seat", "capped", 9900.0, "k", units=2)] if now == 7000 else []
        sent = sends_in(controller.handle(now, [*events, TimerFired("agenda")]))
    assert 7000 < now < 7500


def test_leader_grants_the_whole_quota_of_a_plan_with_a_ceiling():
    plan = Plan("capped", 4, 12, ceiling_per_s=7.6, ceiling_burst=22.8, ceiling_slack=2)
    controller = new_controller(gateway_number=leader_of("k"), plans=(plan,))
    sent = 0
    request_id = 0
    now = 1000.0
    controller.handle(now, [SIX_ENDPOINTS])
    while now < 24_000:
        now += 50
        request_id += 1
        events = [arrival(request_id, "seat", "capped", now + 2000, "k")] if now > 4000 else []
        for send in sends_in(controller.handle(now, [*events, TimerFired("agenda")])):
            sent += 1
            controller.handle(now, [attempt_ended(send, AttemptResult.OK)])
    assert 12 + 4 * 20 - 2 <= sent <= 12 + 4 * 20
