"""Tests of the input timeout of requests that arrive too slowly."""

import asyncio

import pytest
from support.gateway_steps import sweep_connections_after, wait_until_connected
from support.http_messages import http_request

from gateway.network.clients.connection_limiter import SWEEP_INTERVAL_MS


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"", None),
        (b"\r\n\r\n\r\n", None),
        (b"GET /look HTTP/1.1\r\n", 408),
        (http_request(body=b"half")[:-2], 408),
    ],
)
async def test_incomplete_request_gets_a_408_and_a_connection_without_a_request_closes(
    sent, status, gateway, client
):
    """The timeout takes effect after 2 to 3 s, including the interval of the sweep."""
    client.send(sent)
    while sent and not any(connection.reader.raw_size for connection in gateway.connections.open_connections):
        await asyncio.sleep(0)
    await wait_until_connected(gateway, 1)
    sweep_connections_after(gateway, 2000)
    (connection,) = gateway.connections.open_connections
    assert not connection.is_closing
    sweep_connections_after(gateway, 3000 - SWEEP_INTERVAL_MS)
    response = await client.next_response()
    assert (response and response.status) == status and await client.is_closed_by_peer()
