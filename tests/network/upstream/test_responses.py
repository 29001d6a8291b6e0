"""Tests of upstream: responses."""

import asyncio
import socket
import struct

import pytest
from support.fakes import HOST, Gate, Script, answer, entry, request

from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
)
from gateway.network.upstream.connection import MAX_BODY


@pytest.mark.parametrize(
    ("reply", "result"),
    [
        (answer(500), AttemptResult.ERROR),
        (answer(503), AttemptResult.ERROR),
        (answer(504), AttemptResult.ERROR),
        (answer(429), AttemptResult.ERROR),
        (answer(503, extra="X-Not-Run: 1\r\n"), AttemptResult.OVERLOADED),
        (answer(504, extra="X-Not-Run: 1\r\n"), AttemptResult.OVERLOADED),
        (answer(500, extra="X-Not-Run: 1\r\n"), AttemptResult.ERROR),
        (b"what is this\r\n\r\n", AttemptResult.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nhalf" % (MAX_BODY + 1), AttemptResult.ERROR),
        (None, AttemptResult.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", AttemptResult.RESET),
    ],
)
async def test_endpoint_response_maps_to_its_attempt_result_and_is_not_forwarded(
    reply, result, endpoint, gate, client
):
    client.send(request())
    _, writer = await endpoint.asked()
    if reply is not None:
        writer.write(reply)
    if result is AttemptResult.RESET:
        writer.close()
    status, _, body = await client.answer()
    assert (status, body) == (502, b"")  # as the script has it
    assert (await gate.script.event(AttemptEnded)).result is result


@pytest.mark.parametrize("ends", ["in order", "reset"])
@pytest.mark.parametrize("size", [6, 40_000])
async def test_response_without_length_that_is_reset_is_incomplete(size, ends):
    """Seen on split+brink of brevik-ferries, seed 55: answered with 200 and what had come of the answer."""
    loop = asyncio.get_running_loop()
    with socket.create_server((HOST, 0)) as server:
        server.setblocking(False)
        async with Gate(Script(), known=[entry("w1", server.getsockname()[1])]) as gate:
            client = await gate.client()
            client.send(request())
            sock, _ = await loop.sock_accept(server)
            await loop.sock_recv(sock, 4096)
            # All before the loop looks again: the bytes, and behind them how the connection ends.
            sock.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b"x" * size)
            if ends == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            told = await client.answer()
            done = await gate.script.event(AttemptEnded)
            if ends == "in order":
                assert (told[0], told[2], done.result) == (200, b"x" * size, AttemptResult.OK)
            else:
                assert done.result is AttemptResult.RESET and (told is None or told[0] == 502)


@pytest.mark.parametrize(
    "spoilt",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 1000,
        b"HTTP/1.1 103 Early Hints\r\nLink: " + b"x" * 2000 + b"\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    ],
    ids=[
        "two lengths",
        "length and chunks",
        "below nothing",
        "3 GB",
        "chunks",
        "1xx",
        "large 1xx",
        "upgrade",
    ],
)
async def test_malformed_response_fails_the_attempt_and_closes_the_connection(spoilt, endpoint, gate, client):
    client.send(request())
    _, writer = await endpoint.asked()
    writer.write(spoilt)
    outcome = asyncio.ensure_future(gate.script.event(AttemptEnded))
    while not outcome.done():  # an answer of 1xx without end goes on coming
        if spoilt.startswith(b"HTTP/1.1 10") and not writer.is_closing():
            writer.write(spoilt)
        await asyncio.sleep(0)
    assert outcome.result().result is AttemptResult.ERROR
    assert (await client.answer())[0] == 502
    assert (await endpoint.asked())[0] is None


async def test_bytes_behind_a_complete_response_do_not_change_it(endpoint, gate, client):
    client.send(request())
    _, writer = await endpoint.asked()
    load = 'X-Load: {"util":0.5,"latency_ms":7}\r\n'
    writer.write(answer(extra=load) + answer(500, b"", 'X-Load: {"util":9,"latency_ms":9}\r\n'))
    assert (await client.answer())[::2] == (200, b"done")
    outcome = await gate.script.event(AttemptEnded)
    assert outcome.result is AttemptResult.OK and outcome.load == (0.5, 7.0)
    assert (await endpoint.asked())[0] is None


async def test_interim_response_is_not_the_final_response(endpoint, client):
    client.send(request())
    _, writer = await endpoint.asked()
    writer.write(b"HTTP/1.1 103 Early Hints\r\nX-Not-Run: 1\r\n\r\n" + answer(body=b"real"))
    assert (await client.answer())[::2] == (200, b"real")


@pytest.mark.parametrize(
    "text",
    [
        "",
        "no json",
        '{"util":-1,"latency_ms":1}',
        '{"util":0.5,"latency_ms":1e308}',
        "[1,2]",
        '{"util":0.5}',
        '{"util":"x","latency_ms":1}',
        '{"util":NaN,"latency_ms":1}',
        '{"util":1e999,"latency_ms":1}',
    ],
)
async def test_malformed_load_report_is_ignored(text, endpoint, gate, client):
    client.send(request())
    _, writer = await endpoint.asked()
    writer.write(answer(extra=f"X-Load: {text}\r\n"))
    assert (await client.answer())[0] == 200
    assert (await gate.script.event(AttemptEnded)).load == ()
