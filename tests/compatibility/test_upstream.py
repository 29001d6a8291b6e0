"""Tests that compare the request heads which endpoints receive with recordings."""

import asyncio
import contextlib

from support.addresses import HOST
from support.configurations import endpoint_entry
from support.http_messages import http_request
from support.recordings import BOOK_REQUEST, check_json_recording, modified_request
from support.running_gateway import RunningGateway
from support.scripted_controller import ScriptedController

MAX_BUFFERED_BODY_BYTES = 256 * 1024  # a larger body is forwarded before it has been received completely


async def forwarded_heads(requests):
    """Return the head that the endpoint receives for each request.

    Each request is sent in two parts, the second after the endpoint has received the head. If a large request
    were sent at once, timing would decide whether its body is complete when it is forwarded, and the
    forwarded X-Deadline-Ms would depend on that.
    """
    heads = asyncio.Queue()

    async def serve(reader, writer):
        heads.put_nowait((await reader.readuntil(b"\r\n\r\n")).decode())
        with contextlib.suppress(ConnectionError):
            await reader.read()

    server = await asyncio.start_server(serve, HOST, 0)
    received = []
    known = [endpoint_entry("w1", server.sockets[0].getsockname()[1])]
    async with RunningGateway(ScriptedController(), known=known) as running_gateway:
        for first, rest in requests:
            client = await running_gateway.connect()
            client.send(first)
            received.append(await heads.get())
            client.send(rest)
            client.close()
    server.close()
    return received


async def test_forwarded_request_heads_match_the_recording():
    chunked = modified_request(b"Content-Length: 4\r\n", b"Transfer-Encoding: chunked\r\n", **BOOK_REQUEST)
    small = [
        http_request("00000000000000c1", "/look/3?q=%20", extra="Accept: x\r\nContent-Type: text/plain\r\n"),
        http_request("00000000000000c2", "/book/7", key="k~1", body=b"\x00body"),
        http_request("00000000000000c3", "/debit", body=b"1", extra="content-type:  a/b \r\n"),
        chunked.removesuffix(b"body") + b"4\r\nbody\r\n0\r\n\r\n",
    ]
    large = [
        http_request("00000000000000c4", "/book", key="k", body=bytes(MAX_BUFFERED_BODY_BYTES + 1)),
        chunked.removesuffix(b"body").replace(b"e1", b"e2") + b"50000\r\n%s\r\n0\r\n\r\n" % bytes(0x50000),
    ]
    sent = [(data, b"") for data in small] + [(data[:-1], data[-1:]) for data in large]
    check_json_recording("worker-heads.json", await forwarded_heads(sent))
