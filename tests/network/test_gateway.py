"""Tests of a gateway with a client, a scripted controller and an endpoint."""

import pytest
from support.client import TestClient
from support.configurations import endpoint_entry
from support.fake_endpoint import FakeEndpoint
from support.http_messages import http_request, http_response
from support.running_gateway import RunningGateway

from gateway.interface.actions import SendAttempt, SetTimer
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    RequestArrived,
    TimerFired,
)
from gateway.network.memory_limits import BYTES_PER_MB, MIN_CAPACITY_BYTES, ProcessMemory


async def test_request_and_response_are_forwarded_unchanged(endpoint, controller, gateway, client):
    client.send(http_request("00000000000000ab", "/book/7?x=%20y", key="k1", body=b"\x00\r\nbody"))
    received, writer = await endpoint.next_request()
    assert (received.parser.get_method(), received.url) == (b"POST", b"/book/7?x=%20y")
    assert received.body == b"\x00\r\nbody" and received.headers["x-request-id"] == "00000000000000ab"
    assert received.headers["idempotency-key"] == "k1" and received.headers["x-deadline-ms"] == "20000"
    writer.write(http_response(body=b"\x01\r\n\r\nanswer", extra='X-Load: {"util":0.5,"latency_ms":7}\r\n'))
    status, _, body = await client.next_response()
    assert (status, body) == (200, b"\x01\r\n\r\nanswer")
    arrival = await controller.next_event(RequestArrived)
    assert (arrival.class_name, arrival.plan_name, arrival.spread) == ("book", "basic", 2)
    outcome = await controller.next_event(AttemptEnded)
    assert outcome.result is AttemptResult.OK and outcome.final and outcome.load == (0.5, 7.0)
    assert not gateway.requests.open_requests and not gateway.attempts.in_flight


async def test_first_response_of_two_attempts_is_sent_to_the_client(endpoint, controller, gateway, client):
    client.send(http_request())
    _, first = await endpoint.next_request()
    arrival = await controller.next_event(RequestArrived)
    controller.pending_actions = [SendAttempt(arrival.id, "w1", 9000.0, attempt=1)]
    gateway.controller_loop.enqueue(TimerFired("hedge"))
    _, second = await endpoint.next_request()
    second.write(http_response(body=b"second"))
    assert (await client.next_response()).body == b"second"
    first.write(http_response(body=b"first"))
    outcomes = [await controller.next_event(AttemptEnded) for _ in range(2)]
    assert [(outcome.attempt, outcome.final) for outcome in outcomes] == [(1, True), (0, True)]
    client.send(http_request())
    _, writer = await endpoint.next_request()
    writer.write(http_response(body=b"third"))
    assert (await client.next_response()).body == b"third"


async def test_attempt_for_a_request_that_is_not_open_is_reported_as_not_sent(
    endpoint, controller, gateway, client
):
    controller.pending_actions = [SendAttempt(77, "w1", 100.0)]
    gateway.controller_loop.enqueue(TimerFired("late"))
    outcome = await controller.next_event(AttemptEnded)
    assert outcome.result is AttemptResult.NOT_SENT
    assert endpoint.connection_count == 0


@pytest.mark.scripted_controller(endpoint=None)
async def test_request_without_an_attempt_gets_a_504_from_the_guard_timer(controller, client):
    status, _, _ = await client.send(http_request(deadline=60)).next_response()
    assert status == 504
    arrival = await controller.next_event(RequestArrived)
    assert (await controller.next_event(ClientDisconnected)).id == arrival.id


async def test_controller_timers_are_rounded_up_to_a_multiple_of_the_tick(gateway, client):
    times = []
    gateway.clock = type("FixedClock", (), {"now": staticmethod(lambda: 4_000_000.0)})
    gateway.timers = type(
        "RecordingTimers", (), {"call_at": staticmethod(lambda at_ms, call: times.append(at_ms))}
    )
    for after_ms in (0.0, 0.5, 4.0, 4.5):
        gateway.set_timer(SetTimer(after_ms, "agenda"))
    assert times == [4_000_000.0, 4_000_004.0, 4_000_004.0, 4_000_008.0]


async def test_request_gets_a_504_from_the_guard_timer_if_the_controller_raises(controller, client):
    controller.handle = lambda now, events: 1 / 0
    assert (await client.send(http_request(deadline=60)).next_response()).status == 504


async def test_request_is_served_with_the_controller_of_the_policy_package():
    async with (
        FakeEndpoint() as endpoint,
        RunningGateway(known=[endpoint_entry("w1", endpoint.port)]) as running_gateway,
    ):
        client = await TestClient().connect(running_gateway.port)
        client.send(http_request())
        _, writer = await endpoint.next_request()
        writer.write(http_response())
        assert (await client.next_response()).status_and_body == (200, b"done")


async def test_memory_that_the_process_occupies_is_not_available_for_requests(monkeypatch, gateway):
    before = gateway.memory.capacity_bytes
    occupied = ProcessMemory(500 * BYTES_PER_MB)
    monkeypatch.setattr("gateway.network.gateway.process_memory", lambda: occupied)
    gateway.start_serving()
    assert MIN_CAPACITY_BYTES < gateway.memory.capacity_bytes < before
    alone = gateway.memory.capacity_bytes
    gateway._limit_memory(processes=2)  # as in a hot restart
    assert gateway.memory.capacity_bytes < alone / 2
