"""Tests of the service rules: an independent checker checks every action of fleets with random events."""

import pytest
from support.simulated_fleet import SimulatedFleet

from gateway.interface.settings import Plan


@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_with_random_events_and_datagram_loss(seed):
    fleet = SimulatedFleet(seed, gateways=2 + seed % 3, loss_probability=(0.1, 0.5, 1.0)[seed % 3])
    fleet.run(20_000)
    assert len(fleet.checker.ended_requests) > 1000
    assert sum(len(request.attempts) > 1 for request in fleet.checker.requests.values()) > 20


@pytest.mark.parametrize("seed", range(3))
def test_no_attempt_is_sent_for_a_disconnected_client(seed):
    """Clients disconnect while their request is queued, waits for a lease, or is about to be retried."""
    fleet = SimulatedFleet(seed, arrivals_per_s=400, disconnect_probability=0.5)
    fleet.run(10_000)
    assert fleet.disconnected_before_sending > 100


UNUSUAL_SETTINGS = (
    dict(
        plans=(Plan("both", 6, 12, 2, 1.4, 0.8, 0.2), Plan("open", max_in_flight=3, overage_weight=0.5)),
        gossip_inbox_per_s=3,
        max_attempts=2,
        may_hedge=False,
        max_retry_after_ms=0.0,
    ),
    dict(
        plans=(Plan("free"), Plan("capped", 3, 9, 0, 1.0, 0.2, 1.0, 6, 18, 4)),
        may_cancel=False,
        max_attempts=1,
        post_paid=False,
    ),
    dict(
        plans=(Plan("rated", 2, 8, overage_weight=0.9),),
        may_gossip=False,
        slow_start_ms=0.0,
        report_fields=(),
    ),
)


@pytest.mark.parametrize("setting_changes", UNUSUAL_SETTINGS)
def test_rules_hold_with_unusual_settings(setting_changes):
    fleet = SimulatedFleet(5, arrivals_per_s=400, **setting_changes)
    fleet.run(8000)
    assert len(fleet.checker.ended_requests) > 2000


def test_rules_hold_when_gateways_are_killed_often():
    fleet = SimulatedFleet(99, kill_probability=0.01, arrivals_per_s=300)
    fleet.run(15_000)
    assert max(fleet.incarnations.values()) > 5


def test_same_seed_gives_same_actions():
    first = SimulatedFleet(7)
    second = SimulatedFleet(7)
    first.run(4000)
    second.run(4000)
    assert first.turns == second.turns
