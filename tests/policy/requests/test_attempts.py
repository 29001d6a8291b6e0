"""Tests of retries, and of final answers to requests that may have been executed."""

import math
from dataclasses import replace

import pytest
from support.policy_events import (
    SIX_ENDPOINTS,
    arrival,
    attempt_ended,
    failures_in,
    index_by_name,
    new_controller,
    rejections_in,
    sends_in,
)
from support.policy_settings import settings

from gateway.interface.actions import Fail
from gateway.interface.events import AttemptResult, Endpoint, EndpointState, EndpointUpdate
from gateway.policy.controller import Controller


def test_request_with_an_error_is_retried_elsewhere_if_idempotent_and_failed_otherwise():
    controller = new_controller()
    sends = sends_in(controller.handle(1000, [SIX_ENDPOINTS, arrival(1), arrival(2, "debit")]))
    idempotent, other = sorted(sends, key=lambda send: send.id)
    ends = [attempt_ended(idempotent, AttemptResult.ERROR), attempt_ended(other, AttemptResult.ERROR)]
    actions = controller.handle(1050, ends)
    (retry,) = sends_in(actions)
    assert retry.id == 1 and retry.endpoint != idempotent.endpoint
    assert failures_in(actions) == [Fail(2)]


def test_retry_of_a_keyed_request_carries_its_send_deadline():
    """The deduplication window starts with the first attempt that may have been executed."""
    controller = new_controller()
    (first,) = sends_in(controller.handle(1000, [SIX_ENDPOINTS, arrival(1, "hold")]))
    ended = attempt_ended(first, AttemptResult.CONNECT_FAILED)
    (second,) = sends_in(controller.handle(1050, [ended]))
    ended = attempt_ended(second, AttemptResult.RESET, attempt=1)
    (third,) = sends_in(controller.handle(1100, [ended]))
    assert (first.send_by_ms, second.send_by_ms) == (math.inf, math.inf)
    window_ms = index_by_name(controller.settings.classes)["hold"].deduplication_window_ms
    assert third.send_by_ms == 1050 + window_ms - controller.settings.tick_ms


@pytest.mark.parametrize(("after_ms", "harmless"), [(100, True), (1100, False)])
def test_possibly_executed_keyed_request_is_rejected_only_within_its_window(after_ms, harmless):
    """The deduplication window is 1200 ms, and Retry-After is 250 ms."""
    controller = new_controller(max_attempts=1)
    (send,) = sends_in(controller.handle(1000, [SIX_ENDPOINTS, arrival(1, "seat")]))
    actions = controller.handle(1000 + after_ms, [attempt_ended(send, AttemptResult.RESET)])
    assert (len(rejections_in(actions)), len(failures_in(actions))) == (harmless, not harmless)


@pytest.mark.parametrize(("name", "moved"), [("hold", ("z1", 0)), ("book", ("z0", 2))])
def test_retry_of_a_keyed_request_stays_in_the_key_scope_of_its_first_endpoint(name, moved):
    """The endpoint list moves the first endpoint to another zone or cell while the attempt is in flight."""
    zone, cell = moved
    controller = new_controller()
    first = Endpoint("a", "z0", 0, EndpointState.READY)
    (send,) = sends_in(controller.handle(1000, [EndpointUpdate((first,)), arrival(1, name)]))
    endpoints = (
        replace(first, zone=zone, cell=cell),
        Endpoint("b", "z0", 0, EndpointState.READY),
        Endpoint("c", zone, cell, EndpointState.READY),
    )
    controller.handle(1010, [EndpointUpdate(endpoints)])
    (retry,) = sends_in(controller.handle(1050, [attempt_ended(send, AttemptResult.RESET)]))
    assert retry.endpoint == "b"


def test_non_idempotent_request_is_retried_when_proved_not_executed():
    controller = new_controller()
    (send,) = sends_in(controller.handle(1000, [SIX_ENDPOINTS, arrival(1, "debit")]))
    (retry,) = sends_in(controller.handle(1010, [attempt_ended(send, AttemptResult.OVERLOADED)]))
    assert retry.id == 1


def test_attempt_proved_not_executed_does_not_disprove_an_earlier_possible_execution():
    """The first attempt ends with an error and may have been executed; the second attempt is refused."""
    controller = Controller(settings(may_gossip=False), 1)
    single = EndpointUpdate((Endpoint("s0", "z0", 0, EndpointState.READY),))
    (send,) = sends_in(controller.handle(1000, [single, arrival(1, "book", deadline_at_ms=1900)]))
    (retry,) = sends_in(controller.handle(1010, [attempt_ended(send, AttemptResult.ERROR)]))
    other = EndpointUpdate(
        (Endpoint("s0", "z0", 0, EndpointState.DRAINING), Endpoint("s9", "z0", 3, EndpointState.READY))
    )
    actions = controller.handle(1020, [other, attempt_ended(retry, AttemptResult.OVERLOADED, 1)])
    assert not sends_in(actions) and failures_in(actions) == [Fail(1)]
