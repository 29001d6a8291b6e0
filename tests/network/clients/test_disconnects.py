"""Tests of clients that disconnect before their response."""

import asyncio
import socket

import pytest
from support.addresses import HOST
from support.gateway_steps import complete_request
from support.http_messages import http_request

from gateway.interface.actions import SendAttempt
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    RequestArrived,
    TimerFired,
)


async def test_client_disconnect_is_reported_and_closes_the_open_request(
    endpoint, controller, gateway, client
):
    client.send(http_request())
    await endpoint.next_request()
    arrival = await controller.next_event(RequestArrived)
    client.close()
    disconnected = await controller.next_event(ClientDisconnected)
    assert disconnected.id == arrival.id and not gateway.requests.open_requests


@pytest.mark.scripted_controller(endpoint=None)
async def test_client_disconnect_after_pipelined_bytes_is_reported(endpoint, controller, gateway, client):
    """An attempt that the controller starts afterwards is not sent."""
    client.send(http_request() + b"x" * (4 << 20))
    arrival = await controller.next_event(RequestArrived)
    client.writer.write_eof()
    async with asyncio.timeout(5):
        assert (await controller.next_event(ClientDisconnected)).id == arrival.id
    controller.pending_actions = [SendAttempt(arrival.id, "w1", 9000.0)]
    gateway.controller_loop.enqueue(TimerFired("dispatch"))
    outcome = await controller.next_event(AttemptEnded)
    assert outcome.result is AttemptResult.NOT_SENT
    assert endpoint.connection_count == 0


@pytest.mark.scripted_controller(endpoint=None)
async def test_client_disconnect_with_an_unread_response_is_reported(controller, gateway, client):
    """The disconnect is detected although the gateway cannot write all bytes to the client."""
    client.send(http_request())
    arrival = await controller.next_event(RequestArrived)
    (connection,) = gateway.connections.open_connections
    client.reader._transport.pause_reading()
    connection.transport.write(bytes(16 << 20))
    client.writer.write_eof()
    async with asyncio.timeout(5):
        assert (await controller.next_event(ClientDisconnected)).id == arrival.id
        while gateway.connections.open_connections:  # until the connection has released its descriptor
            await asyncio.sleep(0.01)


async def test_no_attempt_is_sent_for_a_client_whose_disconnect_is_unread(
    monkeypatch, endpoint, controller, gateway, running_gateway, client
):
    monkeypatch.setattr("gateway.network.upstream.endpoint.REUSE_DELAY_MS", 0.0)
    await complete_request(endpoint, client)  # leaves an idle connection to the endpoint
    await controller.next_event(RequestArrived)
    await controller.next_event(AttemptEnded)
    controller.endpoint = None
    with socket.socket() as sock:
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, running_gateway.port))
        sock.send(http_request())
        arrival = await controller.next_event(RequestArrived)
    # The event loop has not read the end of the connection yet.
    gateway.send_attempt(SendAttempt(arrival.id, "w1", 9000.0))
    outcome = await controller.next_event(AttemptEnded)
    assert (outcome.id, outcome.result, outcome.final) == (arrival.id, AttemptResult.NOT_SENT, True)
    assert (await controller.next_event(ClientDisconnected)).id == arrival.id
    assert endpoint.requests.empty() and not gateway.attempts.in_flight


async def test_incompletely_written_attempt_is_cancelled_when_the_client_disconnects(
    endpoint, controller, gateway, client
):
    client.send(http_request(path="/debit", body=bytes(60_000)))
    await endpoint.next_request()
    (attempt,) = gateway.attempts.in_flight.values()
    attempt.connection.pause_writing()  # as the transport does while bytes are unwritten
    client.close()
    outcome = await controller.next_event(AttemptEnded)
    assert (outcome.result, outcome.final) == (AttemptResult.NOT_SENT, True)
    assert (await endpoint.next_request()).is_disconnect
