"""Tests of a graceful shutdown."""

import asyncio
import socket

import pytest
from support.addresses import HOST
from support.configurations import configuration, endpoint_entry
from support.fake_endpoint import FakeEndpoint
from support.http_messages import http_request, http_response
from support.scripted_controller import ScriptedController

from gateway.config import config_from
from gateway.interface.events import RequestArrived
from gateway.network.gateway import Gateway
from gateway.network.hot_restart.coordinator import HotRestart


async def test_connections_in_the_accept_queue_are_served_when_the_listener_closes():
    async with FakeEndpoint() as endpoint:
        with socket.create_server((HOST, 0)) as probe:
            port = probe.getsockname()[1]
        config = config_from(configuration(listen_port=port, known=[endpoint_entry("w1", endpoint.port)]), {})
        gateway = Gateway(config, asyncio.get_running_loop(), ScriptedController())
        gateway.on_endpoint_list(config.initial_endpoints)
        hot_restart = HotRestart(gateway)
        await hot_restart.connect_or_serve()
        with socket.create_connection((HOST, port), 5) as sock:
            # The connection stays in the accept queue, because the event loop does not run before
            # `close_listeners`.
            sock.sendall(http_request())
            await hot_restart.close_listeners()
            gateway.start_draining()
            gateway.frontend.close_idle_connections()
            _, writer = await endpoint.next_request()
            writer.write(http_response())
            assert (await asyncio.to_thread(sock.recv, 99)).startswith(b"HTTP/1.1 200")
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection((HOST, port), 5)
            while gateway.continue_draining():
                await asyncio.sleep(0)


@pytest.mark.scripted_controller(endpoint=None)
async def test_request_during_shutdown_gets_a_deadline_before_the_planned_end(controller, gateway, client):
    gateway.begin_shutdown(150.0)
    began_ms = gateway.clock.now()
    client.send(http_request(deadline=10_000))
    arrival = await controller.next_event(RequestArrived)
    assert arrival.deadline_at_ms < began_ms + 150.0
    assert (await client.next_response()).status == 504 and not gateway.requests.open_requests
