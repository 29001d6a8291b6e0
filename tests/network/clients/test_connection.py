"""Tests of the protocol of a client connection."""

import asyncio
import gc
import weakref

from support.http_messages import http_request, http_response

from gateway.network.process_role import ServicePhase


async def test_connection_closes_after_the_response_if_the_client_requests_it(endpoint, client):
    client.send(http_request(extra="Connection: close\r\n"))
    _, writer = await endpoint.next_request()
    writer.write(http_response())
    assert (await client.next_response()).headers[
        "connection"
    ] == "close" and await client.is_closed_by_peer()


async def test_request_pipelined_in_one_write_gets_a_400_after_the_first_response(endpoint, client):
    client.send(http_request() + http_request())
    _, writer = await endpoint.next_request()
    writer.write(http_response(body=b"first"))
    assert (await client.next_response()).status_and_body == (200, b"first")
    assert (await client.next_response()).status == 400 and await client.is_closed_by_peer()
    assert endpoint.requests.empty()


async def test_request_received_before_the_response_gets_a_400_after_the_first_response(
    endpoint, gateway, client
):
    client.send(http_request())
    _, writer = await endpoint.next_request()
    client.send(http_request())
    (request,) = gateway.requests.open_requests.values()
    while not request.client.is_pipelined:
        await asyncio.sleep(0)
    writer.write(http_response(body=b"first"))
    assert (await client.next_response()).status_and_body == (200, b"first")
    assert (await client.next_response()).status == 400


async def test_request_received_in_single_bytes_is_forwarded_completely(endpoint, client):
    for byte in http_request(path="/debit", body=b"piece"):
        client.send(bytes([byte]))
        await client.writer.drain()
        await asyncio.sleep(0)
    received, writer = await endpoint.next_request()
    assert received.body == b"piece"
    writer.write(http_response())
    assert (await client.next_response()).status == 200


async def test_closed_connection_is_freed_without_the_garbage_collector(endpoint, gateway, client):
    client.send(http_request())
    _, writer = await endpoint.next_request()
    writer.write(http_response())
    await client.next_response()
    gc.collect()
    gc.disable()
    try:
        connection = weakref.ref(*gateway.connections.open_connections)
        client.close()
        while connection() is not None:
            await asyncio.sleep(0)
    finally:
        gc.enable()


async def test_readiness_request_gets_a_503_before_service_and_a_200_in_service(gateway, client):
    readiness_request = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n"
    gateway.role.phase = ServicePhase.STARTING
    assert (await client.send(readiness_request).next_response()).status == 503
    gateway.role.phase = ServicePhase.SERVING
    assert (await client.send(readiness_request).next_response()).status == 200
