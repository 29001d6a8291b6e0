"""Tests of the conditions under which attempts end, and of their results."""

import asyncio

import pytest
from support.addresses import HOST
from support.configurations import endpoint_entry
from support.gateway_steps import complete_request, hold_connections
from support.http_messages import http_request, http_response
from support.running_gateway import RunningGateway
from support.scripted_controller import ScriptedController

from gateway.interface.actions import CancelAttempt, Reject, SendAttempt
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    RequestArrived,
    TimerFired,
)


async def test_large_request_not_written_completely_ends_as_connect_failed():
    accepted = asyncio.Queue()

    async def accept_without_reading(_reader, writer):
        writer.transport.pause_reading()
        accepted.put_nowait(writer)

    server = await asyncio.start_server(accept_without_reading, HOST, 0, limit=1)
    controller = ScriptedController()
    known = [endpoint_entry("w1", server.sockets[0].getsockname()[1])]
    async with RunningGateway(controller, known=known) as running_gateway:
        client = await running_gateway.connect()
        client.send(http_request(path="/debit", body=bytes(60_000)))
        writer = await accepted.get()
        while not running_gateway.gateway.attempts.in_flight:
            await controller.event_received.wait()
        (attempt,) = running_gateway.gateway.attempts.in_flight.values()
        while attempt.connection is None:
            await asyncio.sleep(0)
        attempt.connection.pause_writing()  # as the transport does while its write buffer is full
        asyncio.get_running_loop().call_soon(writer.transport.abort)
        outcome = await controller.next_event(AttemptEnded)
        assert outcome.result is AttemptResult.CONNECT_FAILED
    server.close()


@pytest.mark.scripted_controller(timeout_ms=30.0)
async def test_attempt_without_response_times_out_and_closes_its_connection(endpoint, controller, client):
    client.send(http_request())
    assert not (await endpoint.next_request()).is_disconnect
    assert (await client.next_response()).status == 502
    assert (await controller.next_event(AttemptEnded)).result is AttemptResult.TIMEOUT
    assert (await endpoint.next_request()).is_disconnect


async def test_cancelled_attempt_closes_its_connection_and_ignores_a_late_response(
    endpoint, controller, gateway, client
):
    client.send(http_request("0000000000000001"))
    _, writer = await endpoint.next_request()
    arrival = await controller.next_event(RequestArrived)
    controller.pending_actions = [Reject(arrival.id, 250.0), CancelAttempt(arrival.id, 0)]
    gateway.controller_loop.enqueue(TimerFired("now"))
    status, headers, _ = await client.next_response()
    assert status == 503 and headers["retry-after"] == "0.250"
    assert (await controller.next_event(AttemptEnded)).result is AttemptResult.CANCELLED
    writer.write(http_response(body=b"late"))
    assert (await endpoint.next_request()).is_disconnect
    client.send(http_request("0000000000000002"))
    _, writer = await endpoint.next_request()
    writer.write(http_response(body=b"second"))
    assert (await client.next_response()).body == b"second"


@pytest.mark.parametrize("end", ["client disconnects", "guard answers", "other attempt answers"])
async def test_attempt_waiting_for_a_connection_is_not_sent_after_the_end_of_its_request(
    end, endpoint, controller, gateway, client
):
    deadline = 60 if end == "guard answers" else 10_000
    if end == "other attempt answers":
        client.send(http_request())
        _, first = await endpoint.next_request()
        due, release = hold_connections(gateway)
        controller.pending_actions = [
            SendAttempt((await controller.next_event(RequestArrived)).id, "w1", 9000.0, attempt=1)
        ]
        gateway.controller_loop.enqueue(TimerFired("hedge"))
    else:
        due, release = hold_connections(gateway)
        client.send(http_request(deadline=deadline))
    await due.wait()
    if end == "client disconnects":
        client.close()
        await controller.next_event(ClientDisconnected)
    elif end == "other attempt answers":
        first.write(http_response())
        assert (await client.next_response()).status == 200
    else:
        assert (await client.next_response()).status == 504
    release.set()
    outcome = await controller.next_event(AttemptEnded)
    assert (outcome.result, outcome.final) == (AttemptResult.NOT_SENT, True)
    while gateway.upstreams._connection_count > len(gateway.upstreams.registry.endpoints["w1"].idle):
        await asyncio.sleep(0)
    assert endpoint.requests.empty() and not gateway.attempts.in_flight


def set_send_deadline(controller, gateway, in_ms):
    """Set the send deadline of the attempts that the controller starts, and return its clock time.

    The deadline is `in_ms` milliseconds from now.
    """
    controller.send_by_ms = gateway.clock.now() + in_ms
    return controller.send_by_ms


@pytest.mark.parametrize("connects", [True, False])
async def test_attempt_past_its_send_deadline_is_not_written_on_a_late_connection(
    connects, endpoint, controller, gateway, client
):
    due, release = hold_connections(gateway)
    deadline_at_ms = set_send_deadline(controller, gateway, 5_000 if connects else 20)
    client.send(http_request())
    await due.wait()
    if connects:
        gateway.upstreams.clock = type("LateClock", (), {"now": staticmethod(lambda: deadline_at_ms + 0.01)})
        release.set()
    assert (await client.next_response()).status == 502
    assert (await controller.next_event(AttemptEnded)).result is AttemptResult.NOT_SENT
    assert gateway.upstreams._connection_count == 0
    if connects:
        assert (await endpoint.next_request()).is_disconnect  # no request was sent on the connection


async def test_attempt_started_after_its_send_deadline_is_not_written(endpoint, controller, gateway, client):
    await complete_request(endpoint, client)
    set_send_deadline(controller, gateway, -0.01)
    client.send(http_request())
    assert (await client.next_response()).status == 502
    await controller.next_event(AttemptEnded)
    assert (await controller.next_event(AttemptEnded)).result is AttemptResult.NOT_SENT
    assert endpoint.requests.empty() and endpoint.connection_count == 1


@pytest.mark.parametrize(("blocked", "result"), [(True, AttemptResult.NOT_SENT), (False, AttemptResult.OK)])
async def test_attempt_is_aborted_when_its_send_deadline_passes_before_its_last_byte(
    blocked, result, endpoint, controller, gateway, client
):
    set_send_deadline(controller, gateway, 200)
    client.send(http_request(path="/debit", body=bytes(60_000)))
    _, writer = await endpoint.next_request()
    (attempt,) = gateway.attempts.in_flight.values()
    if blocked:
        attempt.connection.pause_writing()  # as the transport does while its write buffer is full
        assert (await endpoint.next_request()).is_disconnect
    else:
        attempt.expire_if_unsent()
        writer.write(http_response())
        assert (await client.next_response()).status == 200
    assert (await controller.next_event(AttemptEnded)).result is result
