"""Tests of request bodies that are forwarded while they are being received."""

import asyncio

import pytest
import pytest_asyncio
from support.blocking_transport import BlockingTransport
from support.fake_endpoint import RawEndpoint
from support.gateway_steps import hold_connections
from support.http_messages import http_request, http_response
from support.polling import wait_until
from support.scripted_controller import ScriptedController

from gateway.interface.actions import Reject, SendAttempt
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    BodyReleased,
    ClientDisconnected,
    RequestArrived,
    RequestCompleted,
    TimerFired,
)
from gateway.network.clients import upload as uploads
from gateway.network.clients.connection_limiter import INPUT_TIMEOUT_MS
from gateway.network.upstream import connection as upstream_connection

LARGE = 3 * uploads.MAX_BUFFERED_BYTES


@pytest_asyncio.fixture
async def endpoint():
    """An endpoint whose reading and writing the test controls."""
    async with RawEndpoint() as endpoint:
        yield endpoint


def upload_head(length, extra=""):
    """Return the head of a request whose body has this length in bytes."""
    return (
        http_request(path="/debit", body=b"x").replace(b"Length: 1", b"Length: %d" % length)[:-3]
        + extra.encode()
        + b"\r\n"
    )


@pytest.mark.parametrize("chunked", [False, True])
async def test_large_body_is_forwarded_while_it_is_received(chunked, endpoint, controller, gateway, client):
    body = bytes(range(256)) * (LARGE // 256)
    if chunked:
        head = http_request(path="/debit", extra="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST")
        client.send(head + b"%x;ext=1\r\n" % LARGE + body[:-1])
    else:
        client.send(upload_head(LARGE) + body[:-1])
    assert not (await controller.next_event(RequestArrived)).is_complete
    head, reader, writer = await endpoint.next_request_head()
    await controller.next_event(BodyReleased)
    assert not [event for event in controller.events if isinstance(event, RequestCompleted)]
    assert gateway.metrics.forwarded_attempts == 0  # the request has not been sent completely
    client.send(body[-1:] + (b"\r\n0\r\nX-Trailer: t\r\n\r\n" if chunked else b""))
    received = b""
    while len(received) < LARGE:
        if chunked:
            size = int(await reader.readline(), 16)
            received += await reader.readexactly(size)
            await reader.readline()
        else:
            received += await reader.readexactly(LARGE - len(received))
    assert received == body
    await controller.next_event(RequestCompleted)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    assert (await client.next_response()).status_and_body == (200, b"ok")
    assert gateway.metrics.forwarded_attempts == 1


async def test_endpoint_that_does_not_read_pauses_its_client(
    monkeypatch, endpoint, controller, gateway, client
):
    total = 32 * 1024 * 1024
    client.send(upload_head(total) + bytes(total))
    _, writer = await endpoint.accepted.get()
    writer.transport.pause_reading()
    (connection,) = gateway.connections.open_connections
    (attempt,) = gateway.attempts.in_flight.values()
    await wait_until(
        lambda: attempt.connection
        and attempt.connection.writer.is_blocked
        and connection.body_progress.paused_since_ms
    )
    assert attempt.connection.transport.get_write_buffer_size() < 1024 * 1024
    gateway.connections.sweep(gateway.clock.now() + 60_000, False)
    assert not connection.is_closing  # the endpoint, not the client, causes the delay
    gateway.upstreams._sweep()
    assert gateway.attempts.in_flight and attempt.connection._unread_output_bytes
    monkeypatch.setattr(upstream_connection, "UPLOAD_STALL_TIMEOUT_MS", -1.0)
    gateway.upstreams._sweep()
    assert (await controller.next_event(AttemptEnded)).result is AttemptResult.CONNECT_FAILED
    assert (await client.next_response()).status == 502  # from the scripted controller


class RejectingController(ScriptedController):
    """A controller that rejects each request on its arrival."""

    def handle(self, now, events):
        return [Reject(event.id) for event in events if isinstance(event, RequestArrived)]


@pytest.mark.scripted_controller(factory=RejectingController)
async def test_client_rejected_during_its_body_gets_its_response_and_keeps_its_connection(gateway, client):
    client.send(upload_head(LARGE) + bytes(1000))
    assert (await client.next_response()).status == 503
    client.send(bytes(LARGE - 1000) + http_request())
    assert (await client.next_response()).status == 503
    assert not gateway.requests.open_requests


async def test_disconnect_during_a_body_ends_the_attempt_as_not_sent(endpoint, controller, gateway, client):
    client.send(upload_head(LARGE) + bytes(uploads.MAX_BUFFERED_BYTES))
    _, reader, _ = await endpoint.next_request_head()
    client.close()
    outcome = await controller.next_event(AttemptEnded)
    assert outcome.result is AttemptResult.NOT_SENT  # the result does not count as a failure of the endpoint
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        await reader.readexactly(LARGE)
    assert not gateway.requests.open_requests and not gateway.attempts.in_flight


@pytest.mark.scripted_controller(endpoint=None)
async def test_disconnect_while_the_body_is_paused_is_detected(controller, gateway, client):
    """The end of the connection follows bytes that the gateway does not read while the body is paused."""
    client.send(upload_head(LARGE) + bytes(uploads.MAX_BUFFERED_BYTES))
    arrival = await controller.next_event(RequestArrived)
    await wait_until(lambda: gateway.requests.open_requests[arrival.id].client.body_progress.paused_since_ms)
    client.close()
    async with asyncio.timeout(5):
        assert (await controller.next_event(ClientDisconnected)).id == arrival.id


async def test_second_attempt_of_a_request_is_not_sent_while_its_body_is_forwarded(
    endpoint, controller, gateway, client
):
    client.send(upload_head(LARGE) + bytes(uploads.MAX_BUFFERED_BYTES))
    arrival = await controller.next_event(RequestArrived)
    await controller.next_event(BodyReleased)
    await endpoint.next_request_head()
    controller.pending_actions = [SendAttempt(arrival.id, "w1", 9000.0, attempt=1)]
    gateway.controller_loop.enqueue(TimerFired("hedge"))
    outcome = await controller.next_event(AttemptEnded)
    assert (outcome.attempt, outcome.result) == (1, AttemptResult.NOT_SENT) and endpoint.accepted.empty()


async def test_connection_closed_by_the_endpoint_during_a_body_ends_as_connect_failed(
    endpoint, controller, client
):
    client.send(upload_head(LARGE) + bytes(uploads.MAX_BUFFERED_BYTES))
    _, _, writer = await endpoint.next_request_head()
    await controller.next_event(BodyReleased)
    writer.transport.abort()
    assert (await controller.next_event(AttemptEnded)).result is AttemptResult.CONNECT_FAILED
    assert (await client.next_response()).status == 502  # from the scripted controller


@pytest.mark.parametrize(("bytes_per_s", "is_accepted"), [(64_000, True), (8_000, False)])
async def test_slow_body_is_accepted_if_its_rate_is_above_the_minimum(
    bytes_per_s, is_accepted, gateway, client
):
    client.send(upload_head(300_000) + bytes(4 * bytes_per_s - 10))
    await wait_until(lambda: gateway.connections.open_connections)
    (connection,) = gateway.connections.open_connections
    await wait_until(lambda: connection.reader.body_size == 4 * bytes_per_s - 10)
    gateway.connections.sweep(gateway.clock.now() + 4000, False)
    assert connection.is_closing is not is_accepted and INPUT_TIMEOUT_MS < 4000


async def test_expect_100_continue_is_answered(endpoint, client):
    client.send(http_request(path="/debit", body=b"body", extra="Expect: 100-continue\r\n")[:-4])
    assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
    client.send(b"body")
    head, reader, writer = await endpoint.next_request_head()
    assert await reader.readexactly(4) == b"body" and "expect" not in head.lower()
    writer.write(b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    assert (await client.next_response()).status_and_body == (200, b"ok")


@pytest.mark.parametrize("length", [300_000, 375_000, 500_000])
async def test_connection_is_read_after_a_body_that_was_received_before_its_endpoint_was_connected(
    length, endpoint, controller, gateway, client
):
    """Guards against a second request that stays unread because the first body still pauses reading."""
    started, release = hold_connections(gateway)
    client.send(upload_head(length) + bytes(length))
    await started.wait()
    (connection,) = gateway.connections.open_connections
    await wait_until(
        lambda: connection.body_progress.paused_since_ms or connection.reader.body_size == length
    )
    release.set()
    _, reader, writer = await endpoint.next_request_head()
    await reader.readexactly(length)
    writer.write(http_response(body=b"first"))
    assert (await client.next_response()).body == b"first"
    await controller.next_event(RequestArrived)
    client.send(http_request())
    assert (await controller.next_event(RequestArrived)).is_complete


async def test_connection_is_read_after_a_body_whose_last_part_filled_the_buffer_to_the_endpoint(
    monkeypatch, endpoint, controller, gateway, client
):
    """Guards against a second request that stays unread because the endpoint stalled at the body's end."""
    client.send(upload_head(LARGE) + bytes(LARGE - 1))
    _, reader, writer = await endpoint.next_request_head()
    await reader.readexactly(LARGE - 1)
    (attempt,) = gateway.attempts.in_flight.values()
    monkeypatch.setattr(attempt.connection.writer, "_transport", BlockingTransport(attempt.connection))
    client.send(b"x")
    await controller.next_event(RequestCompleted)
    attempt.connection.resume_writing()
    writer.write(http_response(body=b"first"))
    assert (await client.next_response()).body == b"first"
    await controller.next_event(RequestArrived)
    client.send(http_request())
    assert (await controller.next_event(RequestArrived)).is_complete
