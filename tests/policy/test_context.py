"""Tests of the decision package: turns."""

import pytest
from support.policy_settings import settings

from gateway.interface.actions import SubscribeEndpoints
from gateway.policy.context import CONTROL_PERIOD_MS, STALL_PERIODS, PolicyContext, Turn


def test_first_turn_follows_no_stall():
    turn = Turn()
    turn.start(1e9)
    assert not turn.follows_stall
    assert turn.started_at_ms == turn.now_ms == 1e9


@pytest.mark.parametrize(
    ("pause_ms", "is_stall"),
    [(0.0, False), (STALL_PERIODS * CONTROL_PERIOD_MS, False), (STALL_PERIODS * CONTROL_PERIOD_MS + 1, True)],
)
def test_turn_after_a_long_pause_follows_a_stall(pause_ms, is_stall):
    turn = Turn()
    turn.start(1000.0)
    turn.start(1000.0 + pause_ms)
    assert turn.follows_stall is is_stall


def test_turn_starts_without_the_actions_of_the_last_one():
    turn = Turn()
    turn.start(1000.0)
    last = turn.actions
    last.append(SubscribeEndpoints())
    turn.start(1001.0)
    assert turn.actions == []
    assert last == [SubscribeEndpoints()]


def test_equal_seeds_give_equal_incarnations():
    assert PolicyContext(settings(), 3).role.incarnation == PolicyContext(settings(), 3).role.incarnation
