"""Tests of the admin endpoint."""

import pytest
from support.addresses import HOST
from support.admin_calls import admin_call, read_metrics
from support.client import TestClient
from support.configurations import configuration
from support.running_gateway import RunningGateway
from support.scripted_controller import ScriptedController

from gateway.config import config_from
from gateway.network.admin import endpoint as admin_endpoint
from gateway.network.descriptor_limits import RESERVED_DESCRIPTORS
from gateway.network.process_role import ServicePhase


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n", 200),
        (b"GET /_ready?x=1 HTTP/1.1\r\nHost: h\r\n\r\n", 200),
        (b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n", 404),
        (b"POST /_vars HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", 405),
        (b"what is this\r\n\r\n", 400),
        (b"GET /_ready HTTP/1.1\r\nbroken\r\n\r\n", 400),
        (b"GET /_ready HTTP/1.1\r\nA: " + bytes(20_000).replace(b"\0", b"a"), 431),
    ],
)
async def test_admin_request_gets_the_expected_status(data, status, running_gateway):
    assert (await admin_call(running_gateway, data))[0] == status


async def test_readiness_is_503_before_the_process_serves(running_gateway, gateway):
    gateway.role.phase = ServicePhase.STARTING
    assert (await admin_call(running_gateway, b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n"))[0] == 503


async def read_until_closed(client):
    try:
        return await client.reader.read()
    except ConnectionError:
        return b""


async def test_incomplete_requests_time_out_without_blocking_other_callers(monkeypatch, running_gateway):
    monkeypatch.setattr(admin_endpoint, "REQUEST_TIMEOUT_MS", 200.0)
    max_connections = admin_endpoint.MAX_ADMIN_CONNECTIONS
    callers = [await TestClient().connect(running_gateway.admin_port) for _ in range(3 * max_connections)]
    for caller in callers:
        caller.send(b"GET /_ready HT")
    assert await read_metrics(running_gateway)
    assert len(running_gateway.admin.connections) <= max_connections
    responses = [await read_until_closed(caller) for caller in callers]
    assert all(text == b"" or b" 408 " in text for text in responses) and any(responses)


def test_admin_address_comes_from_configuration_or_environment():
    assert config_from(configuration(), {}).admin_listen is None
    assert config_from(configuration(control=f"{HOST}:9100"), {}).admin_listen == (HOST, 9100)
    assert config_from(configuration(), {"BALANCER_CONTROL": f"{HOST}:9101"}).admin_listen == (HOST, 9101)
    with pytest.raises(ValueError, match=r"config\.control"):
        config_from(configuration(control="door"), {})


@pytest.mark.parametrize("sockets", [96, 192, 256, 1024])
async def test_descriptors_for_the_admin_endpoint_are_reserved(sockets):
    gateway = RunningGateway(ScriptedController(), limits={"sockets": sockets}).gateway
    remaining_descriptors = sockets - gateway.connections.max_admitted - gateway.upstreams.max_connections
    assert remaining_descriptors >= RESERVED_DESCRIPTORS >= 17 + 2 + admin_endpoint.MAX_ADMIN_CONNECTIONS + 3
    assert sockets < 256 or gateway.connections.max_admitted == int(0.46 * sockets)
