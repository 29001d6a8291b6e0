"""Tests of compatibility: clients."""

import asyncio

from support.fakes import (
    FakeWorker,
    Gate,
    Script,
    answer,
    entry,
    request,
)
from support.recordings import BOOK, changed, check_json, reply_to

from gateway.interface.actions import Fail, Reject
from gateway.interface.events import (
    RequestArrived,
)
from gateway.network.process_role import ServicePhase

LOOK = {"path": "/look"}


BAD = {
    "no HTTP": b"what is this\r\n\r\n",
    "no path": changed(b"GET /look", b"GET look", **LOOK),
    "unknown class": changed(b"/look", b"/nothing", **LOOK),
    "wrong method": changed(b"GET", b"PUT", **LOOK),
    "GET with a body": changed(b"\r\n\r\n", b"\r\nContent-Length: 2\r\n\r\nab", **LOOK),
    "no key": changed(b"Idempotency-Key: k1\r\n", b"", **BOOK),
    "malformed key": changed(b"k1", b"k 1", **BOOK),
    "key on a class without": changed(b"\r\n\r\n", b"\r\nIdempotency-Key: k\r\n\r\n", **LOOK),
    "no id": changed(b"X-Request-Id: 00000000000000e1\r\n", b"", **LOOK),
    "malformed id": changed(b"00000000000000e1", b"e/1", **LOOK),
    "malformed customer": changed(b"00000000b4d65521", b"b4d65521", **LOOK),
    "customer out of range": changed(b"00000000b4d65521", b"f0000000b4d65521", **LOOK),
    "unknown plan": changed(b"basic", b"golden", **LOOK),
    "malformed deadline": changed(b"X-Deadline-Ms: 10000", b"X-Deadline-Ms: soon", **LOOK),
    "zero deadline": changed(b"X-Deadline-Ms: 10000", b"X-Deadline-Ms: 0", **LOOK),
    "no terms": changed(b"X-Call-Terms: units=1,spread=2,first=0\r\n", b"", **LOOK),
    "a term twice": changed(b"units=1", b"units=1,units=1", **LOOK),
    "units out of range": changed(b"units=1", b"units=9999", **LOOK),
    "spread out of range": changed(b"spread=2", b"spread=4", **LOOK),
    "first out of range": changed(b"first=0", b"first=3", **LOOK),
    "a header twice": changed(b"X-Tier: basic", b"X-Tier: basic\r\nX-Tier: basic", **LOOK),
    "malformed length": changed(b"Content-Length: 4", b"Content-Length: four", **BOOK),
    "length and chunks": changed(
        b"Content-Length: 4", b"Content-Length: 4\r\nTransfer-Encoding: chunked", **BOOK
    ),
    "too large": changed(b"Content-Length: 4", b"Content-Length: 999999999", **BOOK),
    "too long a head": changed(b"Host: h", b"Host: h\r\nX-Long: " + b"x" * 20_000, **LOOK),
    "close asked for": changed(b"X-Tier: basic", b"X-Tier: golden\r\nConnection: close", **LOOK),
}


async def test_responses_to_each_kind_of_bad_input():
    async with Gate(Script()) as gate:
        check_json("bad-input.json", {name: await reply_to(gate.port, data) for name, data in BAD.items()})


class Answering(Script):
    """Answers each request in the module's place, by the number that it has."""

    def handle(self, now, events):
        finals = (Reject, lambda number: Reject(number, 1234.5), Fail)
        return [finals[event.id % 3](event.id) for event in events if isinstance(event, RequestArrived)]


async def test_final_answers_without_an_endpoint_and_readiness():
    async with Gate(Answering()) as gate:
        replies = [
            await reply_to(gate.port, request(extra=extra)) for extra in ("", "", "", "Connection: close\r\n")
        ]
        up = b"GET /up HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        replies.append(await reply_to(gate.port, up))
        gate.gateway.role.phase = ServicePhase.STARTING
        replies.append(await reply_to(gate.port, up))
        check_json("final-answers.json", replies)


async def test_id_in_use_and_pipelined_request():
    async with FakeWorker() as worker, Gate(Script(), known=[entry("w1", worker.port)]) as gate:
        client = await gate.client()
        client.send(request("00000000000000d1"))
        _, writer = await worker.asked()
        replies = [await reply_to(gate.port, request("00000000000000d1"))]
        client.send(request("00000000000000d2"))
        await asyncio.sleep(0.05)
        writer.write(answer(body=b"first"))
        replies.append((await client.reader.read()).decode())
        check_json("in-use.json", replies)
