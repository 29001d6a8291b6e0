"""Tests of policy: timers."""

from support.policy_scenarios import SIX_ENDPOINTS, ask, gateway, of, outcome

from gateway.interface.actions import (
    SendAttempt,
    SetTimer,
)
from gateway.interface.events import (
    AttemptResult,
    TimerFired,
)


def test_wake_up_is_requested_for_the_earliest_timer_of_open_requests():
    """Seen on a calm day: 3500 wake-ups for 750 requests, most for some that had long been answered."""
    c = gateway(gateways=1)
    first = of(SetTimer, c.handle(1000, [SIX_ENDPOINTS]))
    assert [round(wake.after_ms) for wake in first] == [100]  # the period
    actions = c.handle(1001, [ask(1)])
    (send,) = of(SendAttempt, actions)
    assert not of(SetTimer, actions)  # all that is due for the request comes after the period
    c.handle(1002, [outcome(send, AttemptResult.OK)])
    wakes, now = [], 1002.0
    for _ in range(30):  # beyond its hedge, and up to where it would have been given up
        now += 100
        wakes += of(SetTimer, c.handle(now, [TimerFired("agenda")]))
    assert len(wakes) == 30 and all(99 <= wake.after_ms <= 101 for wake in wakes)
