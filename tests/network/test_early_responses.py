"""Tests of responses that begin before the body of their request is complete."""

import asyncio

import pytest
import pytest_asyncio
from support.fake_endpoint import RawEndpoint
from support.http_messages import http_request, http_response
from support.polling import wait_until

from gateway.interface.events import AttemptEnded, AttemptResult

BODY_BYTES = 300_000  # forwarded while it is received
WAIT_MS = 300  # time of the client


@pytest_asyncio.fixture
async def endpoint():
    """An endpoint whose reading and writing the test controls."""
    async with RawEndpoint() as endpoint:
        yield endpoint


@pytest.mark.parametrize("response_bytes", [70_000, 400_000])
async def test_long_response_that_begins_before_its_body_ends_is_not_cut_off_at_the_deadline(
    response_bytes, endpoint, controller, client
):
    """Guards against a timeout that starts with the end of the body although the response is forwarded."""
    request = http_request(path="/debit", body=bytes(BODY_BYTES), deadline=WAIT_MS)
    client.send(request[:-1])
    _, _, writer = await endpoint.next_request_head()
    response = http_response(body=bytes(response_bytes))
    writer.write(response[: response_bytes // 2])
    await client.reader.readuntil(b"\r\n\r\n")
    client.send(request[-1:])
    await asyncio.sleep(3 * WAIT_MS / 1000)
    writer.write(response[response_bytes // 2 :])
    assert await client.reader.readexactly(response_bytes) == bytes(response_bytes)
    ended = await controller.next_event(AttemptEnded)
    assert ended.result is AttemptResult.OK and ended.elapsed_ms >= 0


async def test_close_after_an_early_response_does_not_reset_a_client_that_is_still_writing(
    endpoint, gateway, client
):
    """Guards against a reset with which a client's system may discard the end of the response."""
    request = http_request(path="/debit", body=bytes(BODY_BYTES)).replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    client.send(request[:-100_000])
    _, _, writer = await endpoint.next_request_head()
    response = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + bytes(70_000)
    writer.write(response)
    await client.reader.readuntil(b"\r\n\r\n")
    assert await client.reader.readexactly(70_000) == bytes(70_000)
    (connection,) = gateway.connections.open_connections
    await wait_until(lambda: not connection.unread_output_bytes)
    writer.write_eof()
    assert await client.reader.read() == b""
    for _ in range(10):
        client.send(bytes(10_000))
        await client.writer.drain()
        await asyncio.sleep(0.01)
    assert connection in gateway.connections.open_connections
    client.close()
