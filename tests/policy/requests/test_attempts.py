"""Tests of requests: attempts."""

import math
from dataclasses import replace

import pytest
from support.policy_scenarios import SIX_ENDPOINTS, ask, gateway, named, of, outcome
from support.policy_settings import settings

from gateway.interface.actions import (
    Fail,
    Reject,
    SendAttempt,
)
from gateway.interface.events import (
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointUpdate,
)
from gateway.policy.controller import Controller


def test_error_is_retried_elsewhere_if_idempotent_and_failed_otherwise():
    c = gateway()
    safe, unsafe = of(SendAttempt, c.handle(1000, [SIX_ENDPOINTS, ask(1), ask(2, "debit")]))
    if safe.id != 1:
        safe, unsafe = unsafe, safe
    actions = c.handle(1050, [outcome(safe, AttemptResult.ERROR), outcome(unsafe, AttemptResult.ERROR)])
    again = of(SendAttempt, actions)
    assert [send.id for send in again] == [1] and again[0].endpoint != safe.endpoint
    assert of(Fail, actions) == [Fail(2)]


def test_retry_of_a_keyed_request_carries_its_send_deadline():
    """From the first attempt's send; where that never ran, the next one is the first."""
    c = gateway()
    (first,) = of(SendAttempt, c.handle(1000, [SIX_ENDPOINTS, ask(1, "hold")]))
    (second,) = of(SendAttempt, c.handle(1050, [outcome(first, AttemptResult.CONNECT_FAILED)]))
    (third,) = of(SendAttempt, c.handle(1100, [outcome(second, AttemptResult.RESET, attempt=1)]))
    assert (first.send_by_ms, second.send_by_ms) == (math.inf, math.inf)
    assert (
        third.send_by_ms
        == 1050 + named(c.settings.classes)["hold"].deduplication_window_ms - c.settings.tick_ms
    )


@pytest.mark.parametrize(("after_ms", "harmless"), [(100, True), (1100, False)])
def test_possibly_executed_keyed_request_is_rejected_only_within_its_window(after_ms, harmless):
    """Reset long after it was sent it was answered with 503, come again, though no server knew it any more.
    Its window is of 1200 ms, and clients are told to wait for 250 ms."""
    c = gateway(max_attempts=1)
    (send,) = of(SendAttempt, c.handle(1000, [SIX_ENDPOINTS, ask(1, "seat")]))
    actions = c.handle(1000 + after_ms, [outcome(send, AttemptResult.RESET)])
    assert (len(of(Reject, actions)), len(of(Fail, actions))) == (harmless, not harmless)


@pytest.mark.parametrize(("name", "moved"), [("hold", ("z1", 0)), ("book", ("z0", 2))])
def test_retry_of_a_keyed_request_stays_in_its_first_endpoints_scope(name, moved):
    c, (zone, cell) = gateway(), moved
    first = Endpoint("a", "z0", 0, EndpointState.READY)
    (send,) = of(SendAttempt, c.handle(1000, [EndpointUpdate((first,)), ask(1, name)]))
    others = Endpoint("b", "z0", 0, EndpointState.READY), Endpoint("c", zone, cell, EndpointState.READY)
    c.handle(1010, [EndpointUpdate((replace(first, zone=zone, cell=cell), *others))])
    (again,) = of(SendAttempt, c.handle(1050, [outcome(send, AttemptResult.RESET)]))
    assert again.endpoint == "b"


def test_non_idempotent_request_is_retried_when_proved_not_executed():
    c = gateway()
    (send,) = of(SendAttempt, c.handle(1000, [SIX_ENDPOINTS, ask(1, "debit")]))
    (again,) = of(SendAttempt, c.handle(1010, [outcome(send, AttemptResult.OVERLOADED)]))
    assert again.id == 1


def test_not_executed_attempt_does_not_clear_a_possibly_executed_one():
    """An error, then a full at the same server: the first may have run all the same."""
    c = Controller(settings(may_gossip=False), 1)
    one = EndpointUpdate((Endpoint("s0", "z0", 0, EndpointState.READY),))
    (send,) = of(SendAttempt, c.handle(1000, [one, ask(1, "book", due=1900)]))
    (again,) = of(SendAttempt, c.handle(1010, [outcome(send, AttemptResult.ERROR)]))
    other = EndpointUpdate(
        (Endpoint("s0", "z0", 0, EndpointState.DRAINING), Endpoint("s9", "z0", 3, EndpointState.READY))
    )
    actions = c.handle(1020, [other, outcome(again, AttemptResult.OVERLOADED, 1)])
    assert not of(SendAttempt, actions) and of(Fail, actions) == [Fail(1)]
