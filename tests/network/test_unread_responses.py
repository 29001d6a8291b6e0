"""Tests that no close by the gateway cuts off a response that its client still reads."""

import asyncio
import socket

import pytest
from support.gateway_steps import wait_until_connected
from support.http_messages import http_request, http_response
from support.polling import wait_until
from support.slow_reader import SlowReader

from gateway.interface.actions import SendAttempt
from gateway.interface.events import AttemptEnded, AttemptResult, ClientDisconnected, RequestArrived
from gateway.network.clients.connection_limiter import LINGER_TIMEOUT_MS
from gateway.network.clients.upload import MAX_BUFFERED_BYTES
from gateway.network.memory_limits import SEND_BUFFER_BYTES
from gateway.network.socket_buffers import SocketBuffers, limit_buffers
from gateway.network.upstream import exchange

BODY = b"a" * 30_000  # more than a SlowReader's system takes, and less than a request may leave unread
CLOSING_FIELD = "Connection: close\r\n"


@pytest.fixture
async def reader(gateway, running_gateway):
    """A client that reads only if told, on a connection with the send buffer of a gateway process."""
    client = await SlowReader().connect(running_gateway.port)
    await wait_until_connected(gateway, 1)
    (connection,) = gateway.connections.open_connections
    limit_buffers(connection.transport.get_extra_info("socket"), SocketBuffers(send_bytes=SEND_BUFFER_BYTES))
    yield client
    client.close()


async def leave_response_unread(reader, endpoint, gateway, body=BODY, extra=""):
    """Have the gateway write a response that the client does not read."""
    reader.send(http_request(extra=extra))
    _, writer = await endpoint.next_request()
    writer.write(http_response(body=body))
    await wait_until(lambda: gateway.connections and not gateway.requests.open_requests)


async def drain(gateway):
    """Drain until no connection is open, as the process does at its end."""
    gateway.start_draining()
    gateway.frontend.close_idle_connections()
    while gateway.continue_draining():
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("extra", ["", CLOSING_FIELD], ids=["kept connection", "closing connection"])
@pytest.mark.parametrize("is_written_while_draining", [True, False])
async def test_draining_process_waits_for_a_client_that_reads_late_and_slowly(
    is_written_while_draining, extra, endpoint, gateway, reader
):
    """Guards against responses of which a draining process discards what it still holds itself."""
    body = b"a" * exchange.MAX_BUFFERED_BYTES
    response = http_response(body=body)
    reader.send(http_request(extra=extra))
    _, writer = await endpoint.next_request()
    if is_written_while_draining:
        draining = asyncio.create_task(drain(gateway))
        await asyncio.sleep(0.02)
    writer.write(response)
    await wait_until(lambda: not gateway.requests.open_requests)
    if not is_written_while_draining:
        draining = asyncio.create_task(drain(gateway))
    await asyncio.sleep(1.3 * LINGER_TIMEOUT_MS / 1000)
    received = await reader.read_at_rate(len(response) + 1_000, 8_000, 0.1)
    assert received.endswith(body)
    async with asyncio.timeout(2 * LINGER_TIMEOUT_MS / 1000):
        await draining


async def test_process_does_not_drain_for_long_if_a_client_reads_nothing(endpoint, gateway, reader):
    await leave_response_unread(reader, endpoint, gateway)
    async with asyncio.timeout(5.0):
        await drain(gateway)


@pytest.mark.parametrize("body", [b"", bytes(2 * MAX_BUFFERED_BYTES)], ids=["complete", "in the upload"])
async def test_earlier_response_reaches_a_client_that_leaves_with_its_next_request(
    body, endpoint, controller, gateway, reader
):
    """Guards against a response that is discarded because its client has shut down its sending side."""
    await leave_response_unread(reader, endpoint, gateway)
    controller.endpoint = None
    await controller.next_event(RequestArrived)
    await controller.next_event(AttemptEnded)
    (connection,) = gateway.connections.open_connections
    request = http_request(path="/debit", body=body) if body else http_request()
    reader.send(request[: 1_000 + MAX_BUFFERED_BYTES])
    arrival = await controller.next_event(RequestArrived)
    connection.transport.pause_reading()  # the event loop does not report the end of the input
    reader.sock.shutdown(socket.SHUT_WR)
    await asyncio.sleep(0.05)
    if body:
        gateway.requests.close_disconnected_uploads()
    else:
        gateway.send_attempt(SendAttempt(arrival.id, "w1", 9000.0))
        assert (await controller.next_event(AttemptEnded)).result is AttemptResult.NOT_SENT
    assert (await controller.next_event(ClientDisconnected)).id == arrival.id
    assert (await reader.read(len(BODY) + 1_000)).endswith(BODY)
    await wait_until(lambda: not len(gateway.connections))
