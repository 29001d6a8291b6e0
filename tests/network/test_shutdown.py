"""Tests of network: shutdown."""

import asyncio
import socket

import pytest
from support.fakes import HOST, FakeWorker, Script, answer, config, entry, request

from gateway.config import config_from
from gateway.interface.events import (
    RequestArrived,
)
from gateway.network.gateway import Gateway
from gateway.network.hot_restart.coordinator import HotRestart


async def test_connections_in_the_accept_queue_are_served_when_the_listener_closes():
    async with FakeWorker() as worker:
        with socket.create_server((HOST, 0)) as probe:
            port = probe.getsockname()[1]
        platform = config_from(config(listen_port=port, known=[entry("w1", worker.port)]), {})
        gateway = Gateway(platform, asyncio.get_running_loop(), Script())
        gateway.on_endpoint_list(platform.known)
        handover = HotRestart(gateway)
        await handover.find()
        with socket.create_connection((HOST, port), 5) as sock:
            sock.sendall(request())  # nothing has been accepted: no await since
            await handover.close()
            gateway.drain()
            gateway.frontend.close_idle()
            _, writer = await worker.asked()
            writer.write(answer())
            assert (await asyncio.to_thread(sock.recv, 99)).startswith(b"HTTP/1.1 200")
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection((HOST, port), 5)
            while gateway.continue_draining():
                await asyncio.sleep(0)


@pytest.mark.scripted_controller(endpoint=None)
async def test_requests_before_a_graceful_shutdown_are_answered_within_it(gate, client):
    gate.gateway.begin_shutdown(150.0)
    began = gate.gateway.clock.now()
    client.send(request(deadline=10_000))
    came = await gate.script.event(RequestArrived)
    assert came.deadline_at_ms < began + 150.0
    assert (await client.answer())[0] == 504 and not gate.gateway.requests.open
