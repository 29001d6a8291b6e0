"""Tests of the connections that give way when descriptors or memory are scarce."""

import asyncio

import pytest
from support.gateway_steps import complete_request, sweep_connections_after, wait_until_connected
from support.http_messages import http_request, http_response
from support.polling import wait_until
from support.slow_reader import SlowReader

from gateway.network.clients.connection_limiter import (
    MIN_IDLE_MS,
    MIN_READ_BYTES_PER_MS,
    OUTPUT_STALL_TIMEOUT_MS,
    OVERLOAD_IDLE_MS,
)
from gateway.network.memory_limits import SEND_BUFFER_BYTES
from gateway.network.socket_buffers import SocketBuffers, limit_buffers

CLOSING_FIELD = "Connection: close\r\n"
HALF_A_HEAD = b"GET /look HTTP/1.1\r\n"


async def connect_reader(gateway, running_gateway):
    """Return a client that reads only if told, and its connection with the send buffer of a process."""
    before = set(gateway.connections.open_connections)
    reader = await SlowReader().connect(running_gateway.port)
    await wait_until_connected(gateway, len(before) + 1)
    (connection,) = gateway.connections.open_connections - before
    limit_buffers(connection.transport.get_extra_info("socket"), SocketBuffers(send_bytes=SEND_BUFFER_BYTES))
    return reader, connection


async def leave_response_unread(reader, endpoint, gateway, body, extra=""):
    """Have the gateway write a response that the client does not read."""
    reader.send(http_request(extra=extra))
    while (received := await endpoint.next_request()).is_disconnect:
        pass
    received.writer.write(http_response(body=body))
    await wait_until(lambda: not gateway.requests.open_requests)


def evict_all_after(gateway, elapsed_ms):
    """Evict as many connections as may be evicted `elapsed_ms` from now."""
    gateway.connections.eviction_threshold = 0
    gateway.connections.evict_excess(gateway.clock.now() + elapsed_ms)


@pytest.mark.parametrize("size", [9_000, 30_000, 64_000])
@pytest.mark.parametrize("extra", ["", CLOSING_FIELD], ids=["kept connection", "closing connection"])
@pytest.mark.parametrize("read_bytes", [0, 5_000], ids=["nothing read", "a part read"])
async def test_eviction_cuts_off_no_response_that_its_client_reads(
    read_bytes, extra, size, endpoint, gateway, running_gateway
):
    """Guards against responses that are discarded because their connections count as idle or closing."""
    body = b"a" * size
    reader, connection = await connect_reader(gateway, running_gateway)
    await leave_response_unread(reader, endpoint, gateway, body, extra)
    received = await reader.read(read_bytes)
    for _ in range(3):
        evict_all_after(gateway, 0.0)
    assert connection in gateway.connections.open_connections
    while len(received.partition(b"\r\n\r\n")[2]) < size:
        part = await reader.read_part(2_000)
        assert part
        received += part
        evict_all_after(gateway, 0.0)
    assert received.endswith(body)
    await wait_until(lambda: evict_all_after(gateway, 0.0) or not gateway.connections)
    assert not len(gateway.connections)
    assert gateway.metrics.unread_closes == dict.fromkeys(gateway.metrics.unread_closes, 0)
    reader.close()


@pytest.mark.parametrize("extra", ["", CLOSING_FIELD], ids=["kept connection", "closing connection"])
async def test_reader_that_takes_nothing_gives_way_after_the_stall_timeout(
    extra, endpoint, gateway, running_gateway
):
    """Guards against clients that fill the descriptors with responses which they never read."""
    reader, _ = await connect_reader(gateway, running_gateway)
    await leave_response_unread(reader, endpoint, gateway, bytes(30_000), extra)
    evict_all_after(gateway, 0.0)
    evict_all_after(gateway, OUTPUT_STALL_TIMEOUT_MS - 100)
    assert len(gateway.connections) == 1
    evict_all_after(gateway, OUTPUT_STALL_TIMEOUT_MS + 100)
    assert not len(gateway.connections)
    assert sum(gateway.metrics.unread_closes.values()) == 1
    reader.close()


async def test_eviction_order_is_read_responses_then_stalled_readers_then_incomplete_requests(
    endpoint, gateway, running_gateway, client
):
    limiter = gateway.connections
    await complete_request(endpoint, client)
    (idle,) = limiter.open_connections
    stalled_reader, stalled = await connect_reader(gateway, running_gateway)
    await leave_response_unread(stalled_reader, endpoint, gateway, bytes(30_000))
    receiving_client = (await running_gateway.connect()).send(HALF_A_HEAD)
    await wait_until(lambda: any(connection.is_receiving for connection in limiter.open_connections))
    (receiving,) = limiter.open_connections - {idle, stalled}
    limiter.sweep(gateway.clock.now(), False)  # records what the clients have read
    after_stall_ms = gateway.clock.now() + OUTPUT_STALL_TIMEOUT_MS + 100
    for threshold, remaining in ((2, {stalled, receiving}), (1, {receiving})):
        limiter.eviction_threshold = threshold
        limiter.evict_excess(after_stall_ms)
        assert limiter.open_connections == remaining and not receiving.is_closing
    limiter.eviction_threshold = 0
    limiter.evict_excess(after_stall_ms)
    assert receiving.is_closing
    assert (await receiving_client.next_response()).status == 503
    stalled_reader.close()


async def test_rejected_incomplete_requests_give_way_at_once(gateway, running_gateway):
    """Guards against a crowd whose rejections keep descriptors until they are acknowledged."""
    reader, connection = await connect_reader(gateway, running_gateway)
    reader.send(HALF_A_HEAD)
    await wait_until(lambda: connection.is_receiving)
    evict_all_after(gateway, 0.0)
    assert connection.is_closing
    evict_all_after(gateway, 0.0)
    assert not len(gateway.connections)
    reader.close()


@pytest.mark.parametrize("after_ms", [OVERLOAD_IDLE_MS + 100, MIN_IDLE_MS + 100])
async def test_connection_on_which_a_response_is_read_does_not_count_as_unused(
    after_ms, endpoint, gateway, running_gateway
):
    reader, connection = await connect_reader(gateway, running_gateway)
    await leave_response_unread(reader, endpoint, gateway, bytes(30_000))
    gateway.connections.max_idle = 0
    gateway.connections.overload_threshold = 0
    sweep_connections_after(gateway, 0.0)
    await reader.read(2_000)
    sweep_connections_after(gateway, after_ms)
    assert not connection.is_closing
    reader.close()


@pytest.mark.parametrize("is_scarce", [True, False])
async def test_memory_of_a_reader_that_takes_nothing_is_returned_if_memory_is_scarce(
    is_scarce, endpoint, gateway, running_gateway
):
    """Guards against clients that fill the memory with responses which they never read."""
    reader, _ = await connect_reader(gateway, running_gateway)
    await leave_response_unread(reader, endpoint, gateway, bytes(30_000))
    held_bytes = gateway.memory.reserved_bytes
    assert held_bytes >= 30_000
    gateway.memory.capacity_bytes = held_bytes if is_scarce else 4 * held_bytes
    assert gateway.memory.is_scarce == is_scarce
    for elapsed_ms in (0.0, OUTPUT_STALL_TIMEOUT_MS + 100):
        gateway.connections.sweep(
            gateway.clock.now() + elapsed_ms, False, is_memory_scarce=gateway.memory.is_scarce
        )
    await asyncio.sleep(0.05)
    assert (gateway.memory.reserved_bytes < held_bytes) == is_scarce
    reader.close()


async def test_refused_connection_makes_room_for_the_next_one(gateway, running_gateway):
    """Guards against a full gateway that refuses connections while it has some that may be evicted."""
    gateway.connections.eviction_threshold = 3
    peers = [await running_gateway.connect() for _ in range(3)]
    await wait_until_connected(gateway, 3)
    gateway.connections.max_admitted = 3
    gateway.connections.eviction_threshold = 2
    assert not gateway.frontend.may_admit(0)
    await wait_until(lambda: len(gateway.connections) == 2)
    assert gateway.frontend.may_admit(0)
    for peer in peers:
        peer.close()


@pytest.mark.parametrize("open_requests", [0, 1])
async def test_readers_in_excess_of_what_clients_may_hold_give_way_oldest_first(
    open_requests, endpoint, gateway, running_gateway, client
):
    """Guards against slow readers that fill the gateway, so that it refuses every new connection."""
    readers = []
    for _ in range(4):
        readers.append(await connect_reader(gateway, running_gateway))
        await leave_response_unread(readers[-1][0], endpoint, gateway, bytes(30_000))
    if open_requests:
        client.send(http_request())
        await wait_until(lambda: gateway.requests.open_requests)
    else:
        client.close()
        await wait_until(lambda: len(gateway.connections) == len(readers))
    gateway.connections.max_active = 2
    gateway.connections.min_readers = 1
    evict_all_after(gateway, 0.0)
    kept = [connection in gateway.connections.open_connections for _, connection in readers]
    assert kept == [False, False, not open_requests, True]
    for reader, _ in readers:
        reader.close()


@pytest.mark.parametrize("extra", ["", CLOSING_FIELD], ids=["kept connection", "closing connection"])
@pytest.mark.parametrize("is_memory_scarce", [True, False], ids=["memory", "descriptors"])
async def test_reader_below_the_minimum_rate_is_aborted_although_it_reads(
    is_memory_scarce, extra, endpoint, gateway, running_gateway
):
    reader, connection = await connect_reader(gateway, running_gateway)
    await leave_response_unread(reader, endpoint, gateway, bytes(30_000), extra)
    gateway.connections.eviction_threshold = 1 if is_memory_scarce else 0
    started_ms = gateway.clock.now()

    def close_after(elapsed_ms):
        now_ms = started_ms + elapsed_ms
        gateway.connections.evict_excess(now_ms)
        gateway.connections.sweep(now_ms, False, is_memory_scarce=is_memory_scarce)

    close_after(0.0)
    allowed_ms = OUTPUT_STALL_TIMEOUT_MS + connection.unread_output_bytes / MIN_READ_BYTES_PER_MS
    for elapsed_ms in (0.5 * allowed_ms, allowed_ms - 100, allowed_ms + 200):
        assert len(gateway.connections) == 1
        before_bytes = connection.unread_output_bytes
        while connection.unread_output_bytes == before_bytes:
            await reader.read(100)
            await asyncio.sleep(0.01)
        close_after(elapsed_ms)
    assert not len(gateway.connections)
    reader.close()
