"""Tests of network: http forms."""

import pytest
from support.fakes import answer, request

from gateway.network.clients.request_reader import MAX_HEAD_BYTES


@pytest.mark.parametrize("blank", [" ", "   "])
async def test_blanks_around_a_header_value_are_stripped(blank, endpoint, client):
    """Seen on a day with slow peers: 'X-Tier: basis ' was turned away as no plan, a length as no number."""
    head, _, body = request(path="/book/1", key="k", body=b"four").decode().partition("\r\n\r\n")
    first, *fields = head.replace(": ", f":{blank}").split("\r\n")
    client.send("\r\n".join([first, *(field + blank for field in fields), "", body]).encode())
    asked, writer = await endpoint.asked()
    assert asked.body == b"four" and asked.headers["idempotency-key"] == "k"
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Length:{blank}2{blank}\r\n\r\nok".encode())
    assert (await client.answer())[::2] == (200, b"ok")


async def test_rejected_large_message_gets_exactly_one_response(endpoint, client):
    """Seen there too: behind the 404 of a message longer than a head may be came a 431."""
    client.send(request(path="/nothing", body=bytes(2 * MAX_HEAD_BYTES)))
    assert (await client.answer())[0] == 404
    client.send(request())
    _, writer = await endpoint.asked()
    writer.write(answer())
    assert (await client.answer())[0] == 200
