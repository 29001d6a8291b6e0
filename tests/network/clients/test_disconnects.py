"""Tests of clients: disconnects."""

import asyncio
import socket

import pytest
from support.fakes import HOST, request
from support.gateway_scenarios import exchange

from gateway.interface.actions import SendAttempt
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    RequestArrived,
    TimerFired,
)


async def test_client_disconnect_reaches_the_controller(endpoint, gate, client):
    client.send(request())
    await endpoint.asked()
    came = await gate.script.event(RequestArrived)
    client.close()
    assert (await gate.script.event(ClientDisconnected)).id == came.id and not gate.gateway.requests.open


@pytest.mark.scripted_controller(endpoint=None)
async def test_disconnect_behind_pipelined_bytes_reaches_the_controller(endpoint, gate, client):
    """The bytes behind it were left unread, and so was the end of the connection behind them: its request
    went out when its turn came, though nobody waited for it any more."""
    client.send(request() + b"x" * (4 << 20))
    came = await gate.script.event(RequestArrived)
    client.writer.write_eof()
    async with asyncio.timeout(5):
        assert (await gate.script.event(ClientDisconnected)).id == came.id
    gate.script.to_do = [SendAttempt(came.id, "w1", 9000.0)]
    gate.gateway.controller_loop.enqueue(TimerFired("its turn"))
    assert (
        await gate.script.event(AttemptEnded)
    ).result is AttemptResult.NOT_SENT and endpoint.connections == 0


@pytest.mark.scripted_controller(endpoint=None)
async def test_disconnect_with_an_unread_response_reaches_the_controller(gate, client):
    """The connection's end was told once all was written, which may be never, and the request went out."""
    client.send(request())
    came = await gate.script.event(RequestArrived)
    (connection,) = gate.gateway.connections.all
    client.reader._transport.pause_reading()
    connection.transport.write(bytes(16 << 20))
    client.writer.write_eof()
    async with asyncio.timeout(5):
        assert (await gate.script.event(ClientDisconnected)).id == came.id
        while gate.gateway.connections.all:  # and its descriptor is free after a while
            await asyncio.sleep(0.01)


async def test_no_attempt_starts_for_a_client_whose_end_is_unread(monkeypatch, endpoint, gate, client):
    monkeypatch.setattr("gateway.network.upstream.connection.REUSE_DELAY_MS", 0.0)
    await exchange(endpoint, client)  # leaves a connection on which a request goes out at once
    await gate.script.event(RequestArrived)
    await gate.script.event(AttemptEnded)
    gate.script.endpoint = None
    with socket.socket() as sock:
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, gate.port))
        sock.send(request())
        came = await gate.script.event(RequestArrived)
    gate.gateway.send_attempt(SendAttempt(came.id, "w1", 9000.0))  # before the loop can read it
    done = await gate.script.event(AttemptEnded)
    assert (done.id, done.result, done.final) == (came.id, AttemptResult.NOT_SENT, True)
    assert (await gate.script.event(ClientDisconnected)).id == came.id
    assert endpoint.requests.empty() and not gate.gateway.attempts.in_flight


async def test_incompletely_written_attempt_ends_with_its_client(endpoint, gate, client):
    client.send(request(path="/debit", body=bytes(60_000)))
    await endpoint.asked()
    (attempt,) = gate.gateway.attempts.in_flight.values()
    attempt.connection.pause_writing()  # as the transport tells it while bytes are left
    client.close()
    done = await gate.script.event(AttemptEnded)
    assert (done.result, done.final) == (AttemptResult.NOT_SENT, True)
    assert (await endpoint.asked())[0] is None
