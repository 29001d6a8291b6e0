"""Tests of the signals that a gateway process handles."""

import asyncio
import contextlib
import json
import os
import signal

import pytest
from support.addresses import HOST
from support.client import TestClient
from support.configurations import configuration, endpoint_entry, endpoint_list
from support.fake_discovery import FakeDiscovery
from support.fake_endpoint import FakeEndpoint
from support.http_messages import http_request, http_response, json_response
from support.processes import READINESS_REQUEST, kill_process, start_process

SIGNAL_INTERVAL_S = 0.0005  # between the signals sent to a process that shuts down


async def wait_until_not_ready(port):
    """Poll the gateway at this port until it reports that it is not ready."""
    while True:
        client = await TestClient().connect(port)
        response = await client.send(READINESS_REQUEST).next_response()
        if response.status == 503:
            return


async def test_sigterm_finishes_accepted_requests_serves_new_ones_and_exits_0(process, port, endpoint):
    busy = await TestClient().connect(port)
    idle = await TestClient().connect(port)
    await idle.send(READINESS_REQUEST).next_response()
    busy.send(http_request())
    _, writer = await endpoint.next_request()
    process.send_signal(signal.SIGTERM)
    await wait_until_not_ready(port)

    late = await TestClient().connect(port)
    late.send(http_request("00000000000000ac"))
    _, late_writer = await endpoint.next_request()
    late_writer.write(http_response(body=b"late"))
    response = await late.next_response()
    assert response.status_and_body == (200, b"late") and "connection" not in response.headers
    late.send(http_request())  # on the connection that is open already
    _, late_writer = await endpoint.next_request()
    late_writer.write(http_response(body=b"again"))
    assert (await late.next_response()).body == b"again"

    assert await late.is_closed_by_peer() and await idle.is_closed_by_peer()
    assert process.returncode is None
    writer.write(http_response(body=b"taken"))
    assert (await busy.next_response()).body == b"taken" and await busy.is_closed_by_peer()
    assert await process.wait() == 0


async def test_sighup_changes_the_discovery_address_unless_the_file_is_malformed(
    process, port, endpoint, discovery_service, config_path
):
    first = config_path.read_text()
    assert (await discovery_service.next_call()).target.startswith("/discovery/hosts?since=")
    config_path.write_text("{")
    process.send_signal(signal.SIGHUP)
    while b"keeping the current configuration" not in await process.stderr.readline():
        pass
    async with FakeDiscovery() as second, FakeDiscovery() as third, FakeEndpoint() as other:
        # The second change of the address arrives before the first has been completed.
        for new_discovery in (second, third):
            address = f"{HOST}:{discovery_service.port}"
            config_path.write_text(first.replace(address, f"{HOST}:{new_discovery.port}"))
            process.send_signal(signal.SIGHUP)
            target, writer = await new_discovery.next_call()
            assert target == "/discovery/hosts"
        writer.write(json_response(endpoint_list(endpoint_entry("w2", other.port), index=7)))
        assert (await third.next_call()).target.startswith("/discovery/hosts?since=7")
        client = await TestClient().connect(port)
        client.send(http_request())
        _, writer = await other.next_request()
        process.send_signal(signal.SIGTERM)
        writer.write(http_response())
        assert (await client.next_response()).status == 200
        assert await process.wait() == 0
    assert endpoint.requests.empty()


async def test_signals_during_shutdown_do_not_change_the_exit_code(process):
    process.send_signal(signal.SIGTERM)
    while process.returncode is None:
        for signal_number in (signal.SIGHUP, signal.SIGTERM):
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal_number)
        await asyncio.sleep(SIGNAL_INTERVAL_S)
    assert process.returncode == 0


@pytest.mark.parametrize("signals", [(signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM)])
async def test_signals_during_the_start_take_effect_once_ready(
    signals, port, endpoint, discovery_service, config_path
):
    known = [endpoint_entry("w1", endpoint.port)]
    config_path.write_text(json.dumps(configuration(discovery_service.port, port, known=known)))
    process = await start_process(config_path)
    try:
        await discovery_service.next_call()  # without a response from discovery the process is not ready yet
        for signal_number in signals:
            process.send_signal(signal_number)
        _, output = await process.communicate()
        assert process.returncode == 0 and b": shutdown complete" in output and b"Traceback" not in output
    finally:
        await kill_process(process)
