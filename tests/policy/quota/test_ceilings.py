"""Tests of quota: ceilings."""

import pytest
from support.policy_scenarios import SIX_ENDPOINTS, ask, gateway, home_of, of, outcome
from support.policy_settings import settings

from gateway.interface.actions import (
    SendAttempt,
)
from gateway.interface.events import (
    AttemptResult,
    RequestArrived,
    TimerFired,
)
from gateway.interface.settings import Plan
from gateway.policy.controller import Controller


@pytest.mark.parametrize("gateways", [1, 3, 40])
def test_ceiling_holds_however_often_its_leader_restarts(gateways):
    """Lives of a second, each after one at rest that lent the whole quota at once: units sent on against a
    store that fills all the while. In its first it may lend what the ceiling holds beyond the quota's."""
    number, now, lent = home_of("k", spread=min(3, gateways)), 100_000.0, []
    level, at = 32.0, now  # the ceiling, as the rules keep it
    for life in range(6):
        c, events, step = Controller(settings(number=number, gateways=gateways), life), [SIX_ENDPOINTS], 0
        while step < 1000:
            sends = of(SendAttempt, c.handle(now + step, [TimerFired("agenda"), *events]))
            level, at = min(32.0, level + (now + step - at) / 1000 * 16) - len(sends), now + step
            assert level >= -4
            lent.append(len(sends))
            step += 20
            events = [outcome(send, AttemptResult.OK) for send in sends]
            events += [RequestArrived(1000 * life + step, "k", "seat", "capped", now + step + 900, 1, 0, 3)]
        now += 2600
    assert sum(lent[:25]) >= 13  # in 0.5 s: 8 that were sure at the start, and 6 that came since


def test_ceiling_beside_an_in_flight_quota_starts_empty():
    """Such a quota does not bound what was sent on before."""
    plans = (Plan("capped", max_in_flight=4, ceiling_per_s=4, ceiling_burst=40, ceiling_slack=2),)
    c = gateway(number=home_of("k"), plans=plans)
    c.handle(1000, [SIX_ENDPOINTS])
    assert not of(SendAttempt, c.handle(1001, [ask(1, "seat", "capped", customer="k")]))
    assert of(SendAttempt, c.handle(1400, [TimerFired("agenda")]))


def test_ceiling_fills_from_the_gateways_start():
    """Seen in service: at a home whose stores were full, customers that came first or after a long pause
    waited for a ceiling that they had never touched, and most were refused."""
    c = gateway(number=home_of("k"))
    c.handle(1000, [SIX_ENDPOINTS])
    now = 1000.0
    while now < 4000:
        now += 100
        c.handle(now, [TimerFired("agenda")])
    burst = [ask(n, "seat", "capped", 9000.0, "k") for n in range(1, 11)]
    assert len(of(SendAttempt, c.handle(4001, burst))) == 10


def test_local_share_of_a_ceiling_fills_from_the_gateways_start():
    """Its home is silent: what goes out on credit of the bucket here must wait for no ceiling."""
    c = gateway(number=(home_of("k") + 1) % 3)
    now, sent = 1000.0, []
    c.handle(now, [SIX_ENDPOINTS])
    while now < 9000 and not sent:
        now += 100
        events = [ask(1, "seat", "capped", 9900.0, "k", units=2)] if now == 7000 else []
        sent = of(SendAttempt, c.handle(now, [*events, TimerFired("agenda")]))
    assert 7000 < now < 7500


def test_leader_can_grant_all_of_a_quota_under_a_ceiling():
    """Seen in service: homes with more than half of a quota in store refused what asked for it, as half of
    each ceiling lay in slices that nobody may use while the home answers."""
    plan = Plan("capped", 4, 12, ceiling_per_s=7.6, ceiling_burst=22.8, ceiling_slack=2)
    c = gateway(number=home_of("k"), plans=(plan,))
    sent, serial, now = 0, 0, 1000.0
    c.handle(now, [SIX_ENDPOINTS])
    while now < 24_000:
        now += 50
        serial += 1
        events = [ask(serial, "seat", "capped", now + 2000, "k")] if now > 4000 else []
        for send in of(SendAttempt, c.handle(now, [*events, TimerFired("agenda")])):
            sent += 1
            c.handle(now, [outcome(send, AttemptResult.OK)])
    assert 12 + 4 * 20 - 2 <= sent <= 12 + 4 * 20
