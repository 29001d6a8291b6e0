"""Tests of network: streamed responses."""

import asyncio

import pytest
import pytest_asyncio
from support.fakes import request
from support.streaming_scenarios import RawWorker, until

from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    RequestArrived,
    ResponseStarted,
)
from gateway.network.admin.metrics import FinalStatus
from gateway.network.upstream import connection as workers


@pytest_asyncio.fixture
async def endpoint():
    """An endpoint whose reading and writing the test does itself."""
    async with RawWorker() as endpoint:
        yield endpoint


@pytest.mark.parametrize("framing", ["length", "chunks"])
async def test_large_response_is_forwarded_before_it_is_complete(framing, endpoint, gate, client):
    client.send(request())
    _, _, writer = await endpoint.asked()
    half = bytes(range(256)) * 512
    if framing == "length":
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * len(half)) + half)
    else:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(half) + half)
    head = await client.reader.readuntil(b"\r\n\r\n")
    assert (b"chunked" in head) == (framing == "chunks") and b" 200 " in head
    started = await gate.script.event(ResponseStarted)
    assert started.attempt == 0 and len(gate.gateway.requests.open) == 1
    writer.write(half if framing == "length" else b"\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(half), half))
    got = b""
    while framing == "length" and len(got) < 2 * len(half):
        got += await client.reader.read(1 << 20)
    while framing == "chunks":
        size = int(await client.reader.readline(), 16)
        got += await client.reader.readexactly(size)
        assert await client.reader.readline() == b"\r\n"
        if not size:
            break
    assert got == 2 * half
    outcome = await gate.script.event(AttemptEnded)
    assert outcome.result is AttemptResult.OK and outcome.final and not gate.gateway.requests.open
    client.send(request())  # the connection stays
    await gate.script.event(RequestArrived)


async def test_broken_streamed_response_is_visibly_truncated_and_not_retried(endpoint, gate, client):
    client.send(request())
    _, _, writer = await endpoint.asked()
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + bytes(100_000))
    await client.reader.readuntil(b"\r\n\r\n")
    await gate.script.event(ResponseStarted)
    writer.transport.abort()
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        await client.reader.readexactly(200_000)
    outcome = await gate.script.event(AttemptEnded)
    assert outcome.result is AttemptResult.RESET and outcome.final
    assert gate.gateway.metrics.operations["look", FinalStatus.FAULTED] == 1


async def test_response_without_length_ends_with_its_connection(endpoint, client):
    """Seen on a day with slow peers: it was taken for a reset."""
    client.send(request())
    _, _, writer = await endpoint.asked()
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall there is")
    writer.close()
    assert (await client.answer())[::2] == (200, b"all there is")


async def test_client_that_does_not_read_pauses_its_endpoint(endpoint, gate, client):
    client.reader._transport.pause_reading()
    client.send(request())
    _, _, writer = await endpoint.asked()
    total = 32 * 1024 * 1024
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % total + bytes(total))
    await gate.script.event(ResponseStarted)
    (one,) = gate.gateway.connections.all
    await until(lambda: not one.response_source.transport.is_reading())
    assert one.transport.get_write_buffer_size() < 1024 * 1024
    client.reader._transport.resume_reading()
    await client.reader.readuntil(b"\r\n\r\n")
    left = total
    while left:
        left -= len(await client.reader.read(1 << 20))
    assert (await gate.script.event(AttemptEnded)).result is AttemptResult.OK


async def test_stalled_response_is_ended(monkeypatch, endpoint, gate, client):
    client.send(request())
    _, _, writer = await endpoint.asked()
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + bytes(100_000))
    await gate.script.event(ResponseStarted)
    monkeypatch.setattr(workers, "STALL_MS", -1.0)
    gate.gateway.upstreams._sweep()
    gate.gateway.upstreams._sweep()  # by now nothing has changed since the last look
    ended = await gate.script.event(AttemptEnded)
    assert ended.result is AttemptResult.RESET and not gate.gateway.requests.open
