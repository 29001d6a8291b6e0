"""Tests of admin: endpoint."""

import pytest
from support.admin_scenarios import call, figures
from support.fakes import HOST, Client, Gate, Script, config

from gateway.config import config_from
from gateway.network.admin import endpoint as door
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
async def test_admin_calls_get_their_status(data, status):
    async with Gate(Script()) as gate:
        assert (await call(gate, data))[0] == status


async def test_readiness_is_503_before_the_process_serves():
    async with Gate(Script()) as gate:
        gate.gateway.role.phase = ServicePhase.STARTING
        assert (await call(gate, b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n"))[0] == 503


async def test_silent_callers_are_closed_and_exclude_nobody(monkeypatch):
    monkeypatch.setattr(door, "REQUEST_TIMEOUT_MS", 200.0)

    async def end_of(holder):
        try:
            return await holder.reader.read()
        except ConnectionError:
            return b""

    async with Gate(Script()) as gate:
        holders = [await Client().open(gate.door_port) for _ in range(3 * door.MAX_ADMIN_CONNECTIONS)]
        for holder in holders:
            holder.send(b"GET /_ready HT")
        assert await figures(gate)
        assert len(gate.door.connections) <= door.MAX_ADMIN_CONNECTIONS
        told = [await end_of(holder) for holder in holders]
        assert all(text == b"" or b" 408 " in text for text in told) and any(told)


def test_admin_address_comes_from_configuration_or_environment():
    assert config_from(config(), {}).control is None
    assert config_from(config(control=f"{HOST}:9100"), {}).control == (HOST, 9100)
    assert config_from(config(), {"BALANCER_CONTROL": f"{HOST}:9101"}).control == (HOST, 9101)
    with pytest.raises(ValueError, match=r"config\.control"):
        config_from(config(control="door"), {})


@pytest.mark.parametrize("sockets", [96, 192, 256, 1024])
async def test_descriptors_for_the_admin_endpoint_are_reserved(sockets):
    """Under a limit of 192 they could have held 168, with 26 to 28 in use beside them."""
    gateway = Gate(Script(), limits={"sockets": sockets}).gateway
    rest = sockets - gateway.connections.max_admitted - gateway.upstreams._max
    assert rest >= RESERVED_DESCRIPTORS >= 17 + 2 + door.MAX_ADMIN_CONNECTIONS + 3
    assert sockets < 256 or gateway.connections.max_admitted == int(0.46 * sockets)  # as before
