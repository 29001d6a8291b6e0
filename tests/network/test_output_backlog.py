"""Tests of the output that a peer has not acknowledged, and of its end with the connection."""

import asyncio
import socket

import pytest
from support.addresses import HOST
from support.configurations import endpoint_entry
from support.fake_endpoint import RawEndpoint
from support.http_messages import http_request, http_response
from support.polling import wait_until
from support.running_gateway import RunningGateway
from support.scripted_controller import ScriptedController
from support.slow_reader import SlowReader

from gateway.network.clients.connection_limiter import LINGER_TIMEOUT_MS
from gateway.network.clock import Clock, Timers
from gateway.network.output_backlog import OutputBacklog
from gateway.network.socket_buffers import SocketBuffers, abort_and_discard, limit_buffers, output_bytes
from tools.fault_injection.socket_memory import socket_memory

LIMIT_BYTES = 8 * 1024
SMALL_BUFFER = 4096
BODY_BYTES = 32 * 1024 * 1024
MAX_UPLOAD_OUTPUT_BYTES = 512 * 1024  # what waits for the connection, the backlog and a read, and heads
RESPONSE_BYTES = 60_000
CLOSING_REQUEST = http_request().replace(b"\r\n", b"\r\nConnection: close\r\n", 1)


def sent_bytes(port):
    """Return what the kernel holds of the output of all connections at a local port."""
    return sum(memory.sent for memory in socket_memory() if memory.local_port == port)


class Pair:
    """A transport of the event loop, and the socket of its peer, which reads only if told."""

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        with socket.create_server((HOST, 0)) as server:
            limit_buffers(server, SocketBuffers(SMALL_BUFFER, SMALL_BUFFER))
            self.peer = socket.socket()
            self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
            self.peer.connect(server.getsockname())
            self.peer.setblocking(False)
            accepted, _ = server.accept()
            accepted.setblocking(False)
        self.port = accepted.getsockname()[1]
        self.transport, _ = await loop.connect_accepted_socket(asyncio.Protocol, accepted)
        return self

    async def __aexit__(self, *_):
        self.transport.abort()
        self.peer.close()

    def read_all(self):
        """Read and drop what has arrived at the peer."""
        try:
            while self.peer.recv(65536):
                pass
        except BlockingIOError:
            return


async def test_source_pauses_while_the_kernel_holds_too_much_and_goes_on_once_the_peer_has_read():
    changes = []
    clock = Clock()
    async with Pair() as pair:
        backlog = OutputBacklog(
            pair.transport, clock, Timers(asyncio.get_running_loop(), clock), changes.append, LIMIT_BYTES
        )
        written = 0
        while not backlog.is_full:
            pair.transport.write(bytes(1000))
            written += 1000
            backlog.on_written()
        assert changes == [True]
        assert LIMIT_BYTES < output_bytes(pair.transport) <= LIMIT_BYTES + 1000
        await asyncio.sleep(0.1)
        assert changes == [True]
        await wait_until(lambda: pair.read_all() or changes == [True, False])
        backlog.close()


async def test_source_pauses_until_both_the_transport_and_the_kernel_are_ready():
    changes = []
    clock = Clock()
    async with Pair() as pair:
        timers = Timers(asyncio.get_running_loop(), clock)
        backlog = OutputBacklog(pair.transport, clock, timers, changes.append, LIMIT_BYTES)
        pair.transport.write(bytes(4 * LIMIT_BYTES))
        backlog.on_written()
        backlog.on_transport_full()
        backlog.on_transport_writable()
        assert changes == [True] and backlog.is_full
        backlog.on_transport_full()
        await wait_until(lambda: pair.read_all() or not output_bytes(pair.transport))
        await asyncio.sleep(0.1)
        assert changes == [True] and backlog.is_full
        backlog.on_transport_writable()
        assert changes == [True, False]


async def test_discarded_output_does_not_stay_in_the_kernel():
    """Guards against output of closed connections that the kernel holds until the peer has read it."""
    async with Pair() as pair:
        pair.transport.write(bytes(4 * LIMIT_BYTES))
        await wait_until(lambda: sent_bytes(pair.port) > 0)
        abort_and_discard(pair.transport)
        await asyncio.sleep(0.05)
        assert sent_bytes(pair.port) == 0


async def connect_without_reading(port, request):
    """Return a socket that has sent a request and reads nothing, with a small receive buffer."""
    return (await SlowReader().connect(port)).send(request).sock


@pytest.mark.parametrize("keep_alive", [True, False])
async def test_memory_of_a_response_is_reserved_until_its_client_has_read_it(
    keep_alive, endpoint, gateway, running_gateway, client
):
    """Guards against memory that counts as free while the kernel holds the response."""
    request = http_request() if keep_alive else CLOSING_REQUEST
    with await connect_without_reading(running_gateway.port, request) as sock:
        _, writer = await endpoint.next_request()
        writer.write(http_response(body=bytes(RESPONSE_BYTES)))
        await wait_until(lambda: gateway.requests.log and not gateway.requests.open_requests)
        gateway.connections.sweep(gateway.clock.now(), False)
        assert gateway.memory.reserved_bytes >= RESPONSE_BYTES
        received = 0
        while received < RESPONSE_BYTES:
            received += len(await asyncio.get_running_loop().sock_recv(sock, 65536))
        await wait_until(
            lambda: gateway.connections.sweep(gateway.clock.now(), False)
            or not gateway.memory.reserved_bytes
            or not keep_alive
        )
    await wait_until(lambda: not gateway.memory.reserved_bytes)


async def test_response_before_a_close_reaches_a_client_that_reads_it_slowly(
    endpoint, gateway, running_gateway
):
    """Guards against a response that is cut off because its client needs longer than the linger timeout."""
    loop = asyncio.get_running_loop()
    with await connect_without_reading(running_gateway.port, CLOSING_REQUEST) as sock:
        _, writer = await endpoint.next_request()
        writer.write(http_response(body=bytes(RESPONSE_BYTES)))
        await wait_until(lambda: any(client.is_closing for client in gateway.connections.open_connections))
        received = 0
        for _ in range(4):
            received += len(await loop.sock_recv(sock, 4096))
            received += len(await loop.sock_recv(sock, 4096))
            await asyncio.sleep(LINGER_TIMEOUT_MS / 1000 * 0.6)
        while part := await loop.sock_recv(sock, 65536):
            received += len(part)
    assert received > RESPONSE_BYTES


async def test_client_that_reads_nothing_of_its_response_is_aborted_and_its_output_discarded(
    endpoint, gateway, running_gateway
):
    with await connect_without_reading(running_gateway.port, CLOSING_REQUEST):
        _, writer = await endpoint.next_request()
        writer.write(http_response(body=bytes(RESPONSE_BYTES)))
        await wait_until(lambda: any(client.is_closing for client in gateway.connections.open_connections))
        assert sent_bytes(running_gateway.port) + gateway.memory.reserved_bytes > RESPONSE_BYTES
        await wait_until(lambda: not len(gateway.connections))
        assert sent_bytes(running_gateway.port) == 0
        assert gateway.memory.reserved_bytes == 0


async def test_endpoint_that_does_not_read_holds_back_its_client_by_what_the_kernel_holds():
    """Guards against a body in the send buffer of the connection to its endpoint."""
    async with RawEndpoint() as endpoint:
        known = [endpoint_entry("w1", endpoint.port)]
        async with RunningGateway(ScriptedController(), known=known) as running_gateway:
            client = await running_gateway.connect()
            client.send(http_request(path="/debit", body=bytes(BODY_BYTES)))
            _, writer = await endpoint.accepted.get()
            writer.transport.pause_reading()
            (attempt,) = running_gateway.gateway.attempts.in_flight.values()
            await wait_until(lambda: attempt.connection and attempt.connection.writer.is_blocked)
            await asyncio.sleep(0.3)
            assert output_bytes(attempt.connection.transport) <= MAX_UPLOAD_OUTPUT_BYTES
            client.close()
