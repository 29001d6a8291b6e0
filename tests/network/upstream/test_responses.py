"""Tests of endpoint responses and of the attempt results that follow from them."""

import asyncio
import socket
import struct

import pytest
from support.addresses import HOST
from support.configurations import endpoint_entry
from support.http_messages import http_request, http_response
from support.running_gateway import RunningGateway
from support.scripted_controller import ScriptedController

from gateway.interface.events import AttemptEnded, AttemptResult
from gateway.network.upstream.response_reader import MAX_BODY_BYTES


@pytest.mark.parametrize(
    ("reply", "result"),
    [
        (http_response(500), AttemptResult.ERROR),
        (http_response(503), AttemptResult.ERROR),
        (http_response(504), AttemptResult.ERROR),
        (http_response(429), AttemptResult.ERROR),
        (http_response(503, extra="X-Not-Run: 1\r\n"), AttemptResult.OVERLOADED),
        (http_response(504, extra="X-Not-Run: 1\r\n"), AttemptResult.OVERLOADED),
        (http_response(500, extra="X-Not-Run: 1\r\n"), AttemptResult.ERROR),
        (b"what is this\r\n\r\n", AttemptResult.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nhalf" % (MAX_BODY_BYTES + 1), AttemptResult.ERROR),
        (None, AttemptResult.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", AttemptResult.RESET),
    ],
)
async def test_endpoint_response_maps_to_its_attempt_result_and_is_not_forwarded(
    reply, result, endpoint, controller, client
):
    client.send(http_request())
    _, writer = await endpoint.next_request()
    if reply is not None:
        writer.write(reply)
    if result is AttemptResult.RESET:
        writer.close()
    status, _, body = await client.next_response()
    assert (status, body) == (502, b"")  # from the scripted controller
    assert (await controller.next_event(AttemptEnded)).result is result


@pytest.mark.parametrize("end", ["in order", "reset"])
@pytest.mark.parametrize("size", [6, 40_000])
async def test_close_delimited_response_is_complete_unless_it_is_reset(size, end):
    loop = asyncio.get_running_loop()
    with socket.create_server((HOST, 0)) as server:
        server.setblocking(False)
        async with RunningGateway(
            ScriptedController(), known=[endpoint_entry("w1", server.getsockname()[1])]
        ) as running_gateway:
            client = await running_gateway.connect()
            client.send(http_request())
            sock, _ = await loop.sock_accept(server)
            await loop.sock_recv(sock, 4096)
            # The event loop reads the bytes only after the end of the connection is pending as well.
            sock.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b"x" * size)
            if end == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            response = await client.next_response()
            outcome = await running_gateway.controller.next_event(AttemptEnded)
            if end == "in order":
                assert response.status_and_body == (200, b"x" * size)
                assert outcome.result is AttemptResult.OK
            else:
                assert outcome.result is AttemptResult.RESET
                assert response is None or response.status == 502


@pytest.mark.parametrize(
    "malformed",
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
        "negative length",
        "3 GB",
        "chunks",
        "1xx",
        "large 1xx",
        "upgrade",
    ],
)
async def test_malformed_response_fails_the_attempt_and_closes_the_connection(
    malformed, endpoint, controller, client
):
    client.send(http_request())
    _, writer = await endpoint.next_request()
    writer.write(malformed)
    outcome = asyncio.ensure_future(controller.next_event(AttemptEnded))
    while not outcome.done():  # the endpoint sends interim responses until the attempt ends
        if malformed.startswith(b"HTTP/1.1 10") and not writer.is_closing():
            writer.write(malformed)
        await asyncio.sleep(0)
    assert outcome.result().result is AttemptResult.ERROR
    assert (await client.next_response()).status == 502
    assert (await endpoint.next_request()).is_disconnect


async def test_bytes_after_a_complete_response_do_not_change_it(endpoint, controller, client):
    client.send(http_request())
    _, writer = await endpoint.next_request()
    load = 'X-Load: {"util":0.5,"latency_ms":7}\r\n'
    writer.write(http_response(extra=load) + http_response(500, b"", 'X-Load: {"util":9,"latency_ms":9}\r\n'))
    assert (await client.next_response()).status_and_body == (200, b"done")
    outcome = await controller.next_event(AttemptEnded)
    assert outcome.result is AttemptResult.OK and outcome.load == (0.5, 7.0)
    assert (await endpoint.next_request()).is_disconnect


async def test_interim_response_is_not_the_final_response(endpoint, client):
    client.send(http_request())
    _, writer = await endpoint.next_request()
    writer.write(b"HTTP/1.1 103 Early Hints\r\nX-Not-Run: 1\r\n\r\n" + http_response(body=b"real"))
    assert (await client.next_response()).status_and_body == (200, b"real")


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
async def test_malformed_load_report_is_ignored(text, endpoint, controller, client):
    client.send(http_request())
    _, writer = await endpoint.next_request()
    writer.write(http_response(extra=f"X-Load: {text}\r\n"))
    assert (await client.next_response()).status == 200
    assert (await controller.next_event(AttemptEnded)).load == ()
