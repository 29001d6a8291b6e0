"""Tests of the sockets of client connections that one process hands over to another."""

import asyncio
import socket

import pytest
from support.addresses import HOST
from support.http_messages import http_request, http_response
from support.polling import wait_until
from support.slow_reader import SlowReader

from gateway.network.hot_restart.client_listener import ClientListener
from gateway.network.hot_restart.predecessor import Successor
from gateway.network.socket_buffers import DISCARD_ON_CLOSE, SocketBuffers

RESPONSE_SIZES = [1, 5_000, 20_000, 60_000]  # bytes; the kernel accepts each in one write
SECOND_RESPONSE = b"the response of the successor"
KEPT_ON_CLOSE = bytes(len(DISCARD_ON_CLOSE))  # value of SO_LINGER with which a close discards nothing


class RecordingLink:
    """A link to a successor that keeps the packets."""

    def __init__(self):
        self.packets = []

    def send(self, packet):
        """Keep a packet, whose descriptors belong to the test from now on."""
        self.packets.append(packet)


def linger_option(sock):
    """Return the value of SO_LINGER."""
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, len(DISCARD_ON_CLOSE))


async def answer(endpoint, response):
    """Answer the next request at the endpoint, ignoring ends of connections."""
    while True:
        received = await endpoint.next_request()
        if not received.is_disconnect:
            received.writer.write(response)
            return


@pytest.mark.parametrize("read_bytes", [0, 2_000], ids=["nothing read", "a part read"])
@pytest.mark.parametrize("size", RESPONSE_SIZES)
async def test_handover_changes_nothing_of_a_socket_that_the_successor_uses(
    size, read_bytes, endpoint, gateway, running_gateway
):
    """Guards against responses that a successor's close discards after an upgrade."""
    client = (await SlowReader().connect(running_gateway.port)).send(http_request())
    await answer(endpoint, http_response(body=b"a" * size))
    (connection,) = gateway.connections.open_connections
    await wait_until(lambda: connection.is_transferable() and not gateway.requests.open_requests)
    received = await client.read(min(read_bytes, size))
    link = RecordingLink()
    Successor(link, gateway).hand_over(connection)
    await wait_until(connection.transport.is_closing)
    assert not len(gateway.connections)
    with socket.socket(fileno=link.packets[0].descriptors.pop()) as taken_over:
        assert linger_option(taken_over) == KEPT_ON_CLOSE
        assert taken_over.send(SECOND_RESPONSE) == len(SECOND_RESPONSE)
    # The connection is closed, and its client reads what the kernel holds.
    received += await client.read(2 * size + 2_000)
    assert received.endswith(b"a" * size + SECOND_RESPONSE)
    client.close()


@pytest.mark.parametrize("is_set_before_adoption", [True, False])
@pytest.mark.parametrize("close", ["response while draining", "idle while draining", "end of the client"])
async def test_successor_delivers_responses_on_sockets_that_discard_on_close(
    close, is_set_before_adoption, endpoint, gateway
):
    """Guards against responses that are cut off because an earlier version handed the connection over."""
    loop = asyncio.get_running_loop()
    response = http_response(body=b"a" * 30_000)
    listener = ClientListener(
        loop,
        gateway.frontend,
        (HOST, 0),
        shares_address=False,
        buffers=SocketBuffers,
        backlog=lambda: 1,
    )
    with socket.create_server((HOST, 0)) as server:
        client = await SlowReader().connect(server.getsockname()[1])
        accepted, _ = server.accept()
    accepted.setblocking(False)
    with accepted.dup() as predecessor_socket:
        if is_set_before_adoption:
            predecessor_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_ON_CLOSE)
        await listener.adopt_connection(accepted)
        if not is_set_before_adoption:
            predecessor_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_ON_CLOSE)
    client.send(http_request())
    if close == "response while draining":
        gateway.start_draining()
    await answer(endpoint, response)
    await wait_until(lambda: not gateway.requests.open_requests)
    if close == "idle while draining":
        gateway.start_draining()
        gateway.frontend.close_idle_connections()
    elif close == "end of the client":
        client.sock.shutdown(socket.SHUT_WR)
    received = await client.read_at_rate(len(response) + 1_000, 20_000, 0.02)
    assert received.endswith(b"a" * 30_000)
    client.close()
