"""Tests of compatibility: admin."""

import asyncio

from support.fakes import (
    FakeWorker,
    Gate,
    answer,
    entry,
    request,
)
from support.recordings import check_json, reply_to

from gateway.network.process_role import ServicePhase

CALLS = (
    b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /_vars HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /_vars HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
    b"what is this\r\n\r\n",
    b"GET /_ready HTTP/1.1\r\nA: " + b"a" * 20_000,
)


async def test_admin_calls():
    async with FakeWorker() as worker:
        known = [entry("w1", worker.port), entry("w2", 9, "draining")]
        async with Gate(None, known=known) as gate:
            await asyncio.sleep(0.05)
            client = await gate.client()
            client.send(request())
            _, writer = await worker.asked()
            writer.write(answer())
            await client.answer()
            replies = [await reply_to(gate.door_port, data) for data in CALLS]
            gate.gateway.role.phase = ServicePhase.STARTING
            replies.append(await reply_to(gate.door_port, CALLS[0]))
            check_json("operators.json", replies)
