"""Tests of upstream: pool."""

import asyncio

import pytest
from support.fakes import FakeWorker, Gate, Script, answer, entry, request
from support.gateway_scenarios import exchange

from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
)
from gateway.network.upstream.connection import REUSE_DELAY_MS


async def test_idle_connections_are_reused(monkeypatch, endpoint, client):
    """Seen on the first calm day: keep-alive was asked of the parser too late, and none was kept."""
    monkeypatch.setattr("gateway.network.upstream.connection.REUSE_DELAY_MS", 0.0)
    for number in range(5):
        client.send(request(f"{number:016x}"))
        _, writer = await endpoint.asked()
        writer.write(answer())
        assert (await client.answer())[0] == 200
    assert endpoint.connections == 1


async def test_refused_connection_ends_the_attempt_as_connect_failed():
    async with FakeWorker() as worker:
        port = worker.port
    async with Gate(Script(), known=[entry("w1", port)]) as gate:
        client = await gate.client()
        assert (await client.send(request()).answer())[0] == 502
        assert (await gate.script.event(AttemptEnded)).result is AttemptResult.CONNECT_FAILED


@pytest.mark.scripted_controller(endpoint="w9")
async def test_unknown_endpoint_ends_the_attempt_as_connect_failed(gate, client):
    assert (await client.send(request()).answer())[0] == 502
    assert (await gate.script.event(AttemptEnded)).result is AttemptResult.CONNECT_FAILED


async def test_connection_attempt_is_abandoned_after_its_timeout(monkeypatch):
    loop = asyncio.get_running_loop()
    async with Gate(Script(), known=[entry("w1", 9)]) as gate:

        async def never(*_):
            await loop.create_future()

        gate.gateway.upstreams._loop = type(
            "Loop",
            (),
            {"create_task": staticmethod(loop.create_task), "create_connection": staticmethod(never)},
        )
        client = await gate.client()
        assert (await client.send(request()).answer())[0] == 502
        assert (await gate.script.event(AttemptEnded)).result is AttemptResult.CONNECT_FAILED
        assert gate.gateway.upstreams._connections == 0


async def test_unread_bytes_on_an_idle_connection_are_not_the_next_response(endpoint, gate, client):
    """The second copy is there, and the loop has not read it, when the next request goes out."""
    writer = await exchange(endpoint, client)
    workers = gate.gateway.upstreams
    (connection,) = workers._known["w1"].idle
    connection.idle_since_ms -= REUSE_DELAY_MS
    connection.transport.pause_reading()  # as if the loop had not come to it
    writer.write(answer(body=b"twice"))
    while connection.is_quiet():
        await asyncio.sleep(0)
    client.send(request())
    ended, again = await endpoint.asked(), await endpoint.asked()
    _, other = ended if ended[0] is not None else again
    other.write(answer(body=b"own"))
    assert (await client.answer())[2] == b"own" and endpoint.connections == 2


async def test_connection_is_reused_only_after_the_reuse_delay(endpoint, gate, client):
    """What a worker sends right behind its answer may come a moment later."""
    await exchange(endpoint, client)
    workers = gate.gateway.upstreams
    (connection,) = workers._known["w1"].idle
    since = connection.idle_since_ms
    assert workers._kept(connection.upstream, since + 9.9) is None
    assert workers._kept(connection.upstream, since + 10.1) is connection


async def test_late_duplicate_response_is_not_the_next_response(endpoint, gate, client):
    """Seen: of 100 uses of a kept connection 1 or 2 came 2 to 5 ms after its answer, and second answers come
    1 to 4 ms late."""
    now_ms = gate.gateway.clock.now()
    gate.gateway.upstreams.clock = type("Still", (), {"now": staticmethod(lambda: now_ms)})
    client.send(request())
    _, first = await endpoint.asked()
    first.write(answer(body=b"first"))
    assert (await client.answer())[2] == b"first"
    now_ms += 5
    client.send(request())
    _, writer = await endpoint.asked()
    first.write(answer(body=b"second"))  # late, and by now another request is out
    writer.write(answer(body=b"other"))
    assert (await client.answer())[2] == b"other"
    assert (await endpoint.asked())[0] is None  # the connection that it came on has ended


async def test_idle_connection_closed_by_the_endpoint_is_dropped_at_once(endpoint, gate, client):
    writer = await exchange(endpoint, client)
    writer.close()
    assert (await endpoint.asked())[0] is None
    while gate.gateway.upstreams._connections:
        await asyncio.sleep(0)
    await exchange(endpoint, client)
    assert endpoint.connections == 2


async def test_unsolicited_bytes_close_an_idle_connection(endpoint, client):
    client.send(request())
    _, writer = await endpoint.asked()
    writer.write(answer() + answer(body=b"twice"))
    assert (await client.answer())[2] == b"done"
    assert (await endpoint.asked())[0] is None
    await exchange(endpoint, client)
    assert endpoint.connections == 2


async def test_connections_to_one_endpoint_are_limited(monkeypatch, endpoint, gate, client):
    monkeypatch.setattr("gateway.network.upstream.connection.MAX_PER_UPSTREAM", 1)
    client.send(request())
    await endpoint.asked()
    other = await gate.client()
    assert (await other.send(request()).answer())[0] == 502
    assert (await gate.script.event(AttemptEnded)).result is AttemptResult.CONNECT_FAILED
    assert endpoint.connections == 1


async def test_idle_connections_close_before_the_endpoints_idle_timeout(endpoint, gate, client):
    await exchange(endpoint, client)
    workers = gate.gateway.upstreams
    now = workers.clock.now()
    workers.clock = type("Later", (), {"now": staticmethod(lambda: now + 17_500)})
    workers._sweep()  # of 30 s the endpoint allows, 18 s less a sweep are used
    assert (await endpoint.asked())[0] is None
