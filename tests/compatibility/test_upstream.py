"""Tests of compatibility: upstream."""

import asyncio
import contextlib

from support.fakes import (
    HOST,
    Gate,
    Script,
    entry,
    request,
)
from support.recordings import BOOK, changed, check_json

BODY_LIMIT = 256 * 1024  # a larger body is passed on while it comes


async def heads_at_worker(sent):
    """The bytes that a worker gets for each of these requests, up to the end of the head.

    Each is sent in two parts, the second when the head of the first is there: whether a large body is whole
    when it is sent on would else be a matter of chance, and X-Deadline-Ms with it.
    """
    heads = asyncio.Queue()

    async def serve(reader, writer):
        heads.put_nowait((await reader.readuntil(b"\r\n\r\n")).decode())
        with contextlib.suppress(ConnectionError):
            await reader.read()

    server = await asyncio.start_server(serve, HOST, 0)
    received = []
    known = [entry("w1", server.sockets[0].getsockname()[1])]
    async with Gate(Script(), known=known) as gate:
        for first, rest in sent:
            client = await gate.client()
            client.send(first)
            received.append(await heads.get())
            client.send(rest)
            client.close()
    server.close()
    return received


async def test_request_head_at_an_endpoint():
    chunked = changed(b"Content-Length: 4\r\n", b"Transfer-Encoding: chunked\r\n", **BOOK)
    small = [
        request("00000000000000c1", "/look/3?q=%20", extra="Accept: x\r\nContent-Type: text/plain\r\n"),
        request("00000000000000c2", "/book/7", key="k~1", body=b"\x00body"),
        request("00000000000000c3", "/debit", body=b"1", extra="content-type:  a/b \r\n"),
        chunked.removesuffix(b"body") + b"4\r\nbody\r\n0\r\n\r\n",
    ]
    large = [
        request("00000000000000c4", "/book", key="k", body=bytes(BODY_LIMIT + 1)),
        chunked.removesuffix(b"body").replace(b"e1", b"e2") + b"50000\r\n%s\r\n0\r\n\r\n" % bytes(0x50000),
    ]
    sent = [(data, b"") for data in small] + [(data[:-1], data[-1:]) for data in large]
    check_json("worker-heads.json", await heads_at_worker(sent))
