"""Tests of turns and incarnations."""

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
def test_turn_follows_a_stall_only_after_a_pause_of_more_than_the_stall_periods(pause_ms, is_stall):
    turn = Turn()
    turn.start(1000.0)
    turn.start(1000.0 + pause_ms)
    assert turn.follows_stall is is_stall


def test_new_turn_has_no_actions_and_leaves_the_previous_list_unchanged():
    turn = Turn()
    turn.start(1000.0)
    previous_actions = turn.actions
    previous_actions.append(SubscribeEndpoints())
    turn.start(1001.0)
    assert turn.actions == []
    assert previous_actions == [SubscribeEndpoints()]


def test_equal_seeds_give_equal_incarnations():
    assert PolicyContext(settings(), 3).role.incarnation == PolicyContext(settings(), 3).role.incarnation
