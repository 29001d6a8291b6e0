"""Tests of the metrics and log lines that tell why requests and connections ended."""

import logging

import pytest
from support.admin_calls import admin_call
from support.client import TestClient
from support.http_messages import http_request
from support.scripted_controller import ScriptedController

from gateway.interface.actions import Reject
from gateway.interface.events import RequestArrived
from gateway.network import request_log
from gateway.network.admin.metrics import CloseReason


class RejectingController(ScriptedController):
    """A controller that rejects each request on its arrival."""

    def handle(self, now, events):
        return [Reject(event.id) for event in events if isinstance(event, RequestArrived)]


async def read_diagnostics(running_gateway):
    """Return the values of the metrics for the analysis of faults, without their common prefix."""
    status, text = await admin_call(running_gateway, b"GET /_diagnostics HTTP/1.1\r\nHost: h\r\n\r\n")
    assert status == 200
    lines = [line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#")]
    return {name.removeprefix("edge_balancer_"): int(value) for name, value in lines}


@pytest.mark.scripted_controller(factory=RejectingController)
async def test_rejected_request_is_counted_and_logged_with_its_id(running_gateway, client, caplog):
    caplog.set_level(logging.INFO, logger=request_log.__name__)
    client.send(http_request(request_id="the-id"))
    assert (await client.next_response()).status == 503
    metrics = await read_diagnostics(running_gateway)
    assert metrics['ends_total{reason="rejected"}'] == 1
    assert metrics['held{what="request_ids"}'] == 1
    assert metrics['held{what="client_connections"}'] == 1
    for what in ("open_requests", "attempts", "policy_open_requests", "policy_attempts"):
        assert metrics[f'held{{what="{what}"}}'] == 0
    (line,) = [record.getMessage() for record in caplog.records]
    assert line.startswith("request the-id (class look) ended: rejected, status 503, after ")


@pytest.mark.scripted_controller(factory=RejectingController)
async def test_log_lines_are_limited_and_their_omission_is_logged(gateway, client, caplog):
    caplog.set_level(logging.INFO, logger=request_log.__name__)
    count = request_log.MAX_LINES_PER_INTERVAL + 5
    for _ in range(count):
        client.send(http_request())
        await client.next_response()
    assert len(caplog.records) == request_log.MAX_LINES_PER_INTERVAL
    gateway.requests.log._interval_ends_at_ms = 0.0
    gateway.requests.log.on_connection_closed(CloseReason.EVICTED, received_bytes=1)
    messages = [record.getMessage() for record in caplog.records]
    assert messages[-2:] == [
        "request log: 5 lines omitted",
        "connection closed: evicted, 1 bytes of a request received",
    ]


async def test_close_of_a_connection_in_the_middle_of_a_request_is_counted(running_gateway, gateway, caplog):
    caplog.set_level(logging.INFO, logger=request_log.__name__)
    client = await TestClient().connect(running_gateway.port)
    client.send(b"GET /look HTTP/1.1\r\n")
    while not any(connection.received_bytes for connection in gateway.connections.open_connections):
        await read_diagnostics(running_gateway)
    gateway.connections.eviction_threshold = 0
    gateway.connections.evict_excess(gateway.clock.now())
    assert (await read_diagnostics(running_gateway))['closes_total{reason="evicted"}'] == 1
    assert "connection closed: evicted, 20 bytes of a request received" in caplog.messages
