"""Tests of clients: disconnects."""

import asyncio
import socket

from support.fakes import HOST, request
from support.gateway_scenarios import exchange, one_worker

from gateway.interface.actions import SendAttempt
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    RequestArrived,
    TimerFired,
)


def test_client_disconnect_reaches_the_controller():
    async def scenario(worker, gate, client):
        client.send(request())
        await worker.asked()
        came = await gate.script.event(RequestArrived)
        client.close()
        assert (await gate.script.event(ClientDisconnected)).id == came.id and not gate.gateway.open

    one_worker(scenario)


def test_disconnect_behind_pipelined_bytes_reaches_the_controller():
    """The bytes behind it were left unread, and so was the end of the connection behind them: its request
    went out when its turn came, though nobody waited for it any more."""

    async def scenario(worker, gate, client):
        client.send(request() + b"x" * (4 << 20))
        came = await gate.script.event(RequestArrived)
        client.writer.write_eof()
        async with asyncio.timeout(5):
            assert (await gate.script.event(ClientDisconnected)).id == came.id
        gate.script.to_do = [SendAttempt(came.id, "w1", 9000.0)]
        gate.gateway.enqueue(TimerFired("its turn"))
        assert (
            await gate.script.event(AttemptEnded)
        ).result is AttemptResult.NOT_SENT and worker.connections == 0

    one_worker(scenario, worker=None)


def test_disconnect_with_an_unread_response_reaches_the_controller():
    """The connection's end was told once all was written, which may be never, and the request went out."""

    async def scenario(worker, gate, client):
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

    one_worker(scenario, worker=None)


def test_no_attempt_starts_for_a_client_whose_end_is_unread(monkeypatch):
    monkeypatch.setattr("gateway.network.upstream.connection.REUSE_DELAY_MS", 0.0)

    async def scenario(worker, gate, client):
        await exchange(worker, client)  # leaves a connection on which a request goes out at once
        await gate.script.event(RequestArrived)
        await gate.script.event(AttemptEnded)
        gate.script.worker = None
        with socket.socket() as sock:
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, (HOST, gate.port))
            sock.send(request())
            came = await gate.script.event(RequestArrived)
        gate.gateway._send(SendAttempt(came.id, "w1", 9000.0))  # before the loop can read it
        done = await gate.script.event(AttemptEnded)
        assert (done.id, done.result, done.final) == (came.id, AttemptResult.NOT_SENT, True)
        assert (await gate.script.event(ClientDisconnected)).id == came.id
        assert worker.requests.empty() and not gate.gateway.attempts

    one_worker(scenario)


def test_incompletely_written_attempt_ends_with_its_client():
    async def scenario(worker, gate, client):
        client.send(request(path="/debit", body=bytes(60_000)))
        await worker.asked()
        (attempt,) = gate.gateway.attempts.values()
        attempt.connection.pause_writing()  # as the transport tells it while bytes are left
        client.close()
        done = await gate.script.event(AttemptEnded)
        assert (done.result, done.final) == (AttemptResult.NOT_SENT, True)
        assert (await worker.asked())[0] is None

    one_worker(scenario)
