"""Tests of clients: timeouts."""

import asyncio

import pytest
from support.fakes import request
from support.gateway_scenarios import later, taken

from gateway.network.clients.connection_limiter import SWEEP_INTERVAL_MS


@pytest.mark.parametrize(
    ("said", "status"),
    [
        (b"", None),
        (b"\r\n\r\n\r\n", None),
        (b"GET /look HTTP/1.1\r\n", 408),
        (request(body=b"half")[:-2], 408),
    ],
)
async def test_incomplete_request_times_out_with_an_error_or_a_close(said, status, gate, client):
    """Within 3 s, sweep and all; it was 11 s for half a request, and for ever for silence."""
    client.send(said)
    while said and not any(one.reader.raw_size for one in gate.gateway.connections.all):
        await asyncio.sleep(0)
    await taken(gate, 1)
    later(gate, 2000)
    (one,) = gate.gateway.connections.all
    assert not one.is_closing
    later(gate, 3000 - SWEEP_INTERVAL_MS)
    told = await client.answer()
    assert (told and told[0]) == status and await client.ends()
