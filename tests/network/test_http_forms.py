"""Tests of network: http forms."""

import pytest
from support.fakes import FakeWorker, Gate, Script, answer, entry, request, run

from gateway.network.clients.connection import MAX_HEAD


def with_worker(scenario, **more):
    async def whole():
        async with FakeWorker() as worker, Gate(Script(), known=[entry("w1", worker.port)], **more) as gate:
            await scenario(worker, gate, await gate.client())

    run(whole())


@pytest.mark.parametrize("blank", [" ", "   "])
def test_blanks_around_a_header_value_are_stripped(blank):
    """Seen on a day with slow peers: 'X-Tier: basis ' was turned away as no plan, a length as no number."""

    async def scenario(worker, _gate, client):
        head, _, body = request(path="/book/1", key="k", body=b"four").decode().partition("\r\n\r\n")
        first, *fields = head.replace(": ", f":{blank}").split("\r\n")
        client.send("\r\n".join([first, *(field + blank for field in fields), "", body]).encode())
        asked, writer = await worker.asked()
        assert asked.body == b"four" and asked.headers["idempotency-key"] == "k"
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length:{blank}2{blank}\r\n\r\nok".encode())
        assert (await client.answer())[::2] == (200, b"ok")

    with_worker(scenario)


def test_rejected_large_message_gets_exactly_one_response():
    """Seen there too: behind the 404 of a message longer than a head may be came a 431."""

    async def scenario(worker, _gate, client):
        client.send(request(path="/nothing", body=bytes(2 * MAX_HEAD)))
        assert (await client.answer())[0] == 404
        client.send(request())
        _, writer = await worker.asked()
        writer.write(answer())
        assert (await client.answer())[0] == 200

    with_worker(scenario)
