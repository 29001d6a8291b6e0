"""Tests of upstream: attempts."""

import asyncio

import pytest
from support.fakes import HOST, Gate, Script, answer, entry, request
from support.gateway_scenarios import exchange, hold_dials

from gateway.interface.actions import CancelAttempt, Reject, SendAttempt
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    RequestArrived,
    TimerFired,
)


async def test_large_request_not_written_completely_ends_as_connect_failed():
    """What the worker closes on while a part of it is still here has not run."""
    started = asyncio.Event()

    async def deaf(reader, writer):
        writer.transport.pause_reading()
        started.writer = writer
        started.set()

    loop = asyncio.get_running_loop()
    server = await asyncio.start_server(deaf, HOST, 0, limit=1)
    async with Gate(Script(), known=[entry("w1", server.sockets[0].getsockname()[1])]) as gate:
        client = await gate.client()
        client.send(request(path="/debit", body=bytes(60_000)))
        await started.wait()
        while not gate.gateway.attempts.in_flight:
            await gate.script.came.wait()
        (attempt,) = gate.gateway.attempts.in_flight.values()
        while attempt.connection is None:
            await asyncio.sleep(0)
        attempt.connection.pause_writing()  # as the transport tells it while bytes are left
        loop.call_soon(started.writer.transport.abort)
        assert (await gate.script.event(AttemptEnded)).result is AttemptResult.CONNECT_FAILED
    server.close()


@pytest.mark.scripted_controller(timeout_ms=30.0)
async def test_attempt_without_response_times_out_and_closes_its_connection(endpoint, gate, client):
    client.send(request())
    assert (await endpoint.asked())[0] is not None
    assert (await client.answer())[0] == 502
    assert (await gate.script.event(AttemptEnded)).result is AttemptResult.TIMEOUT
    assert (await endpoint.asked())[0] is None  # the end of the connection


async def test_cancelled_attempt_closes_its_connection_and_ignores_a_late_response(endpoint, gate, client):
    client.send(request("0000000000000001"))
    _, writer = await endpoint.asked()
    came = await gate.script.event(RequestArrived)
    gate.script.to_do = [Reject(came.id, 250.0), CancelAttempt(came.id, 0)]
    gate.gateway.controller_loop.enqueue(TimerFired("now"))
    status, headers, _ = await client.answer()
    assert status == 503 and headers["retry-after"] == "0.250"
    assert (await gate.script.event(AttemptEnded)).result is AttemptResult.CANCELLED
    writer.write(answer(body=b"late"))
    assert (await endpoint.asked())[0] is None
    client.send(request("0000000000000002"))
    _, writer = await endpoint.asked()
    writer.write(answer(body=b"second"))
    assert (await client.answer())[2] == b"second"


@pytest.mark.parametrize("end", ["the client leaves", "the guard answers", "another copy answers"])
async def test_attempt_waiting_for_a_connection_ends_with_its_request(end, endpoint, gate, client):
    """Where calling off is not allowed, or the guard answered in the module's place, it went out once the
    connection was up, for a client that had left."""
    deadline = 60 if end == "the guard answers" else 10_000
    if end == "another copy answers":
        client.send(request())
        _, first = await endpoint.asked()
        opened, go = hold_dials(gate)
        gate.script.to_do = [SendAttempt((await gate.script.event(RequestArrived)).id, "w1", 9000.0)]
        gate.gateway.controller_loop.enqueue(TimerFired("hedge"))
    else:
        opened, go = hold_dials(gate)
        client.send(request(deadline=deadline))
    await opened.wait()
    if end == "the client leaves":
        client.close()
        await gate.script.event(ClientDisconnected)
    elif end == "another copy answers":
        first.write(answer())
        assert (await client.answer())[0] == 200
    else:
        assert (await client.answer())[0] == 504
    go.set()
    done = await gate.script.event(AttemptEnded)
    assert (done.result, done.final) == (AttemptResult.NOT_SENT, True)
    while gate.gateway.upstreams._connections > len(gate.gateway.upstreams._known["w1"].idle):
        await asyncio.sleep(0)
    assert endpoint.requests.empty() and not gate.gateway.attempts.in_flight


def limit(gate, in_ms):
    """The script sends so that the last byte must be out in so many ms; the answer is that time."""
    gate.script.send_by_ms = gate.gateway.clock.now() + in_ms
    return gate.script.send_by_ms


@pytest.mark.parametrize("comes_up", [True, False])
async def test_attempt_past_its_send_deadline_is_not_written_on_a_late_connection(
    comes_up, endpoint, gate, client
):
    """Seen on zone+brink+mass, seed 53: a keyed request was sent again 47 ms before the end of its window,
    its connection came up 188 ms later, and it was written all the same."""
    opened, go = hold_dials(gate)
    until_ms = limit(gate, 5_000 if comes_up else 20)
    client.send(request())
    await opened.wait()
    if comes_up:
        gate.gateway.upstreams.clock = type("Late", (), {"now": staticmethod(lambda: until_ms + 0.01)})
        go.set()
    assert (await client.answer())[0] == 502
    assert (await gate.script.event(AttemptEnded)).result is AttemptResult.NOT_SENT
    assert gate.gateway.upstreams._connections == 0
    if comes_up:
        assert (await endpoint.asked())[0] is None  # the connection ended, and nothing came on it


async def test_attempt_carried_out_after_its_send_deadline_is_not_written(endpoint, gate, client):
    await exchange(endpoint, client)
    limit(gate, -0.01)
    client.send(request())
    assert (await client.answer())[0] == 502
    await gate.script.event(AttemptEnded)
    assert (await gate.script.event(AttemptEnded)).result is AttemptResult.NOT_SENT
    assert endpoint.requests.empty() and endpoint.connections == 1


@pytest.mark.parametrize(("blocked", "result"), [(True, AttemptResult.NOT_SENT), (False, AttemptResult.OK)])
async def test_attempt_is_aborted_when_its_send_deadline_passes_before_its_last_byte(
    blocked, result, endpoint, gate, client
):
    limit(gate, 200)
    client.send(request(path="/debit", body=bytes(60_000)))
    _, writer = await endpoint.asked()
    (attempt,) = gate.gateway.attempts.in_flight.values()
    if blocked:
        attempt.connection.pause_writing()  # as the transport tells it while bytes are left
        assert (await endpoint.asked())[0] is None  # the end of the connection
    else:
        attempt.expire()
        writer.write(answer())
        assert (await client.answer())[0] == 200
    assert (await gate.script.event(AttemptEnded)).result is result
