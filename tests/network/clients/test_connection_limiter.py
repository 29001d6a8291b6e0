"""Tests of the limits on client connections and of the choice of the connections that close."""

import asyncio
import os
import select

import pytest
from support.gateway_steps import complete_request, sweep_connections_after, wait_until_connected
from support.http_messages import http_request, http_response

from gateway.network.clients.connection_limiter import OVERLOAD_IDLE_MS


async def test_eviction_order_is_closing_then_awaiting_a_request_then_idle(
    endpoint, gateway, running_gateway, client
):
    limiter = gateway.connections
    client.send(http_request())
    await endpoint.next_request()
    idle = await running_gateway.connect()
    await complete_request(endpoint, idle)
    silent = [await running_gateway.connect() for _ in range(2)]
    rejected = (await running_gateway.connect()).send(b"noise\r\n\r\n")
    assert (await rejected.next_response()).status == 400
    for eviction_threshold, closed in ((4, rejected), (3, silent[0]), (2, silent[1]), (1, idle), (0, None)):
        limiter.eviction_threshold = eviction_threshold
        limiter.evict_excess(gateway.clock.now())
        if closed is not None:
            assert await closed.is_closed_by_peer() and len(limiter) == eviction_threshold
    assert len(limiter) == 1 and len(gateway.requests.open_requests) == 1


def send_without_reading(client, connection):
    """Send a request, and block the event loop until the request is unread in the gateway's socket."""
    os.write(client.writer.get_extra_info("socket").fileno(), http_request())
    while not select.select([connection.transport.get_extra_info("socket")], [], [], 5)[0]:
        pass


@pytest.mark.parametrize("close", ["draining", "eviction"])
@pytest.mark.parametrize("has_served", [True, False])
async def test_connection_with_an_unread_request_is_not_closed(close, has_served, endpoint, gateway, client):
    if has_served:
        await complete_request(endpoint, client)
    else:
        await wait_until_connected(gateway, 1)
    (connection,) = gateway.connections.open_connections
    send_without_reading(client, connection)
    if close == "draining":
        gateway.start_draining()
        gateway.frontend.close_idle_connections()
    else:
        gateway.connections.eviction_threshold = 0
        gateway.connections.evict_excess(gateway.clock.now())
    _, writer = await endpoint.next_request()
    writer.write(http_response())
    assert (await client.next_response()).status == 200


async def test_client_that_connects_again_is_served_while_unused_connections_fill_the_limit(
    endpoint, gateway, running_gateway, client
):
    limiter = gateway.connections
    await wait_until_connected(gateway, 1)
    others = [await running_gateway.connect() for _ in range(limiter.max_admitted + 20)]
    late = (await running_gateway.connect()).send(http_request())
    while True:  # above the limit the gateway closes a new connection, and the client connects again
        received = asyncio.ensure_future(endpoint.next_request())
        closed = asyncio.ensure_future(late.is_closed_by_peer())
        await asyncio.wait((received, closed), return_when=asyncio.FIRST_COMPLETED)
        if received.done():
            break
        received.cancel()
        late = (await running_gateway.connect()).send(http_request())
    closed.cancel()
    assert len(limiter) <= limiter.max_admitted and len(gateway.requests.open_requests) == 1
    for other in others:
        other.close()


async def test_excess_idle_connections_close_after_the_minimum_idle_time_longest_idle_first(
    endpoint, gateway, running_gateway, client
):
    gateway.connections.max_idle = 1
    second = await running_gateway.connect()
    for connected in (client, second):
        await complete_request(endpoint, connected)
    sweep_connections_after(gateway, 1900)
    assert len(gateway.connections) == 2
    sweep_connections_after(gateway, 2100)
    assert await client.is_closed_by_peer()
    assert len(gateway.connections) == 1
    sweep_connections_after(gateway, 61_000)
    assert await second.is_closed_by_peer()


async def test_excess_idle_connections_close_after_the_overload_idle_time_under_overload(
    endpoint, gateway, running_gateway, client
):
    gateway.connections.overload_threshold = 1
    other = await running_gateway.connect()
    for connected in (client, other):
        await complete_request(endpoint, connected)
    sweep_connections_after(gateway, 300)
    assert await client.is_closed_by_peer() and len(gateway.connections) == 1
    sweep_connections_after(gateway, 300)
    other.send(http_request())
    assert not (await endpoint.next_request()).is_disconnect


async def test_connection_that_is_kept_for_its_unread_request_does_not_count_as_closed(gateway, client):
    """Guards against a metric that counts a close again and again although the connection stays open."""
    await wait_until_connected(gateway, 1)
    (connection,) = gateway.connections.open_connections
    send_without_reading(client, connection)
    gateway.connections.new_connections_threshold = 0
    gateway.connections.sweep(gateway.clock.now() + OVERLOAD_IDLE_MS + 1, False)
    assert not connection.is_closing
    assert not any(gateway.metrics.closes.values())
