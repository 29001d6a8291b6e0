"""Tests that compare the responses of the admin endpoint with recordings."""

import asyncio

from support.configurations import endpoint_entry
from support.fake_endpoint import FakeEndpoint
from support.http_messages import http_request, http_response
from support.recordings import check_json_recording, fetch_raw_response
from support.running_gateway import RunningGateway

from gateway.network.process_role import ServicePhase

REQUESTS = (
    b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /_vars HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /_vars HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
    b"what is this\r\n\r\n",
    b"GET /_ready HTTP/1.1\r\nA: " + b"a" * 20_000,
)


async def test_admin_responses_match_the_recording():
    async with FakeEndpoint() as endpoint:
        known = [endpoint_entry("w1", endpoint.port), endpoint_entry("w2", 9, "draining")]
        async with RunningGateway(None, known=known) as running_gateway:
            await asyncio.sleep(0.05)
            client = await running_gateway.connect()
            client.send(http_request())
            _, writer = await endpoint.next_request()
            writer.write(http_response())
            await client.next_response()
            replies = [await fetch_raw_response(running_gateway.admin_port, data) for data in REQUESTS]
            running_gateway.gateway.role.phase = ServicePhase.STARTING
            replies.append(await fetch_raw_response(running_gateway.admin_port, REQUESTS[0]))
            check_json_recording("operators.json", replies)
