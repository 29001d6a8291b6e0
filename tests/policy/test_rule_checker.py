"""Tests of the independent rule checker: it raises for broken rules, and allows values at their limits."""

import math

import pytest
from support.policy_events import arrival
from support.policy_settings import CLOCK_SLACK_MS, DEDUPLICATION_WINDOW_MS, DRAIN_GRACE_MS, settings
from support.rule_checker import RuleChecker

from gateway.interface.actions import SendAttempt
from gateway.interface.events import Endpoint, EndpointState

NOW = 1000.0
DEADLINE_AT_MS = 2000.0
WINDOW_END_MS = NOW + DEDUPLICATION_WINDOW_MS
FIRST = Endpoint("s0", "z0", 0, EndpointState.READY)
OTHER_CELL = Endpoint("s1", "z0", 1, EndpointState.READY)
OTHER_ZONE = Endpoint("s2", "z1", 0, EndpointState.READY)


def checker_with(class_name, plan_name="rated", requests=1, units=1):
    """Return a checker with open requests of one customer, which have the ids from 1 to `requests`."""
    checker = RuleChecker(settings())
    for request_id in range(1, requests + 1):
        checker.on_arrival(0, arrival(request_id, class_name, plan_name, DEADLINE_AT_MS, units=units))
    return checker


def send(checker, now, endpoint=FIRST, send_by_ms=math.inf, request_id=1, withdrawn_ms=None):
    """Pass an attempt to the checker; `withdrawn_ms` is when its endpoint was withdrawn, if it was."""
    checker.on_send(now, SendAttempt(request_id, endpoint.id, 100.0, send_by_ms), endpoint, withdrawn_ms)


def test_attempt_after_the_end_of_its_request_raises():
    checker = checker_with("look")
    checker.close(1)
    with pytest.raises(AssertionError, match="rule 1"):
        send(checker, NOW)


@pytest.mark.parametrize("end", ["on_success", "on_failure"])
def test_answer_after_the_deadline_and_the_clock_slack_raises(end):
    checker = checker_with("look")
    getattr(checker, end)(DEADLINE_AT_MS + CLOCK_SLACK_MS, 1)
    checker = checker_with("look")
    with pytest.raises(AssertionError, match="rule 1"):
        getattr(checker, end)(DEADLINE_AT_MS + CLOCK_SLACK_MS + 1, 1)


def test_rejection_after_the_deadline_and_the_clock_slack_raises():
    checker = checker_with("look")
    with pytest.raises(AssertionError, match="rule 1"):
        checker.on_rejection(DEADLINE_AT_MS + CLOCK_SLACK_MS + 1, 1, 0.0)


def test_streamed_response_may_end_after_the_deadline():
    checker = checker_with("feed")
    checker.on_success(DEADLINE_AT_MS + 1000, 1)
    assert not checker.open_requests


def test_open_request_is_overdue_after_its_deadline_and_the_clock_slack():
    checker = checker_with("look")
    assert not checker.overdue_requests(DEADLINE_AT_MS + CLOCK_SLACK_MS)
    assert checker.overdue_requests(DEADLINE_AT_MS + CLOCK_SLACK_MS + 1) == [1]


def test_repetition_of_a_non_idempotent_request_raises_unless_proved_not_executed():
    checker = checker_with("debit")
    send(checker, NOW)
    checker.on_not_executed(1, 0)
    send(checker, NOW + 1)
    with pytest.raises(AssertionError, match="rule 2"):
        send(checker, NOW + 2)


@pytest.mark.parametrize(("now", "send_by_ms"), [(NOW + 1, WINDOW_END_MS + 1), (NOW + 10, NOW + 10)])
def test_repetition_of_a_keyed_request_after_its_deduplication_window_raises(now, send_by_ms):
    checker = checker_with("seat")
    send(checker, NOW)
    send(checker, NOW + 1, send_by_ms=WINDOW_END_MS)
    with pytest.raises(AssertionError, match="rule 2: past the window"):
        send(checker, now, send_by_ms=send_by_ms)


@pytest.mark.parametrize(
    ("class_name", "allowed", "forbidden"), [("book", FIRST, OTHER_CELL), ("hold", OTHER_CELL, OTHER_ZONE)]
)
def test_repetition_of_a_keyed_request_outside_its_key_scope_raises(class_name, allowed, forbidden):
    checker = checker_with(class_name)
    send(checker, NOW)
    send(checker, NOW + 1, allowed, WINDOW_END_MS)
    with pytest.raises(AssertionError, match="rule 2: another"):
        send(checker, NOW + 2, forbidden, WINDOW_END_MS)


@pytest.mark.parametrize("class_name", ["debit", "book", "hold"])
def test_rejection_of_a_possibly_executed_request_raises(class_name):
    checker = checker_with(class_name)
    send(checker, NOW)
    with pytest.raises(AssertionError, match="rule 2: rejected"):
        checker.on_rejection(NOW + 10, 1, 0.0)


@pytest.mark.parametrize("class_name", ["debit", "book", "look"])
def test_rejection_of_a_request_that_was_not_executed_or_is_idempotent_is_allowed(class_name):
    checker = checker_with(class_name)
    send(checker, NOW)
    if class_name != "look":
        checker.on_not_executed(1, 0)
    checker.on_rejection(NOW + 10, 1, 0.0)
    assert checker.ended_requests == {1}


def test_rejection_of_a_possibly_executed_request_with_a_global_key_is_allowed_only_within_its_window():
    retry_after_ms = WINDOW_END_MS - NOW - 10
    allowed = checker_with("seat")
    send(allowed, NOW)
    allowed.on_rejection(NOW + 9, 1, retry_after_ms)
    checker = checker_with("seat")
    send(checker, NOW)
    with pytest.raises(AssertionError, match="rule 2: rejected"):
        checker.on_rejection(NOW + 10, 1, retry_after_ms)


def test_attempt_at_an_endpoint_withdrawn_for_longer_than_the_grace_period_raises():
    checker = checker_with("look")
    send(checker, NOW, withdrawn_ms=NOW - DRAIN_GRACE_MS)
    with pytest.raises(AssertionError, match="rule 3"):
        send(checker, NOW + 1, withdrawn_ms=NOW - DRAIN_GRACE_MS)


def test_units_beyond_a_ceiling_and_its_slack_raise():
    """The burst is 32 and the slack 4, so nine requests of four units are allowed."""
    checker = checker_with("look", "capped", requests=10, units=4)
    for request_id in range(1, 10):
        send(checker, NOW, request_id=request_id)
    with pytest.raises(AssertionError, match="rule 5"):
        send(checker, NOW, request_id=10)
