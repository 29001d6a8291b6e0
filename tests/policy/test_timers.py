"""Tests of the timer queue, by the wake-ups that a controller requests."""

from support.policy_events import SIX_ENDPOINTS, arrival, attempt_ended, new_controller, sends_in, timers_in

from gateway.interface.events import AttemptResult, TimerFired


def test_wake_up_is_requested_for_the_earliest_timer_of_open_requests():
    controller = new_controller(gateways=1)
    first = timers_in(controller.handle(1000, [SIX_ENDPOINTS]))
    assert [round(timer.after_ms) for timer in first] == [100]  # the control period
    actions = controller.handle(1001, [arrival(1)])
    (send,) = sends_in(actions)
    assert not timers_in(actions)  # the request has no timer within the control period
    controller.handle(1002, [attempt_ended(send, AttemptResult.OK)])
    wake_ups = []
    for period in range(1, 31):  # beyond the request's hedge timer, and up to its deadline
        now = 1002.0 + 100 * period
        wake_ups += timers_in(controller.handle(now, [TimerFired("agenda")]))
    assert len(wake_ups) == 30 and all(99 <= timer.after_ms <= 101 for timer in wake_ups)
