"""Tests of valid HTTP messages in unusual forms, and of messages that are rejected by their head."""

import pytest
from support.http_messages import http_request, http_response

from gateway.network.clients.request_reader import MAX_HEAD_BYTES


@pytest.mark.parametrize("whitespace", [" ", "   "])
async def test_whitespace_around_a_header_value_is_stripped(whitespace, endpoint, client):
    head, _, body = http_request(path="/book/1", key="k", body=b"four").decode().partition("\r\n\r\n")
    first, *fields = head.replace(": ", f":{whitespace}").split("\r\n")
    client.send("\r\n".join([first, *(field + whitespace for field in fields), "", body]).encode())
    received, writer = await endpoint.next_request()
    assert received.body == b"four" and received.headers["idempotency-key"] == "k"
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Length:{whitespace}2{whitespace}\r\n\r\nok".encode())
    assert (await client.next_response()).status_and_body == (200, b"ok")


async def test_rejected_large_message_gets_exactly_one_response(endpoint, client):
    client.send(http_request(path="/nothing", body=bytes(2 * MAX_HEAD_BYTES)))
    assert (await client.next_response()).status == 404
    client.send(http_request())
    _, writer = await endpoint.next_request()
    writer.write(http_response())
    assert (await client.next_response()).status == 200
