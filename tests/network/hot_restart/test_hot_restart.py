"""Tests of hot restart with gateway processes that take over from each other."""

import asyncio
import contextlib
import json
import pathlib
import signal
import socket

import pytest
import pytest_asyncio
from support.addresses import HOST
from support.client import TestClient
from support.configurations import configuration, endpoint_entry, endpoint_list
from support.http_messages import http_request, http_response, json_response
from support.processes import free_port, open_descriptor_count, start_process

READINESS_REQUEST = b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n"
POLL_INTERVAL_S = 0.01
START_TIMEOUT_S = 15.0  # from the start of a process to its readiness


async def wait_until_ready(admin_port):
    """Poll the admin endpoint at this port until it reports that the process is ready."""
    while True:
        try:
            client = await TestClient().connect(admin_port)
            response = await client.send(READINESS_REQUEST).next_response()
        except OSError:
            await asyncio.sleep(POLL_INTERVAL_S)
            continue
        client.close()
        if response and response.status == 200:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def serve_discovery(discovery_service, *entries):
    """Answer each request for a snapshot with these entries, and leave each watch open."""
    while True:
        target, writer = await discovery_service.next_call()
        if "since" not in target:
            writer.write(json_response(endpoint_list(*entries)))


class Deployment:
    """Consecutive processes of one gateway, which listen on the same port and on different admin ports."""

    def __init__(self, folder, port, endpoint, discovery_service):
        self.folder = folder
        self.port = port
        self.endpoint = endpoint
        self.discovery_service = discovery_service
        self.processes = []

    async def start(self):
        """Start another process, wait until it is ready, and return it with its admin port."""
        admin_port = free_port()
        path = self.folder / f"config{len(self.processes)}.json"
        control = f"{HOST}:{admin_port}"
        path.write_text(json.dumps(configuration(self.discovery_service.port, self.port, control=control)))
        process = await start_process(path, str(self.folder))
        self.processes.append(process)
        await wait_until_ready(admin_port)
        return process, admin_port

    async def next_request(self):
        """Return the writer for the response to the next request at the endpoint, ignoring disconnects."""
        while True:
            received = await self.endpoint.next_request()
            if not received.is_disconnect:
                return received.writer

    async def complete_request(self, client=None):
        """Send a request and answer it; return the response and the client.

        Without a client a new one is connected.
        """
        client = client or await TestClient().connect(self.port)
        client.send(http_request())
        writer = await self.next_request()
        writer.write(http_response())
        return await client.next_response(), client

    async def connect(self):
        """Return a client whose connection is idle after one request."""
        _, client = await self.complete_request()
        return client

    async def kill_processes(self):
        """Kill all processes, including stopped ones, and wait for their ends."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()


@pytest_asyncio.fixture
async def deployment(tmp_path, port, endpoint, discovery_service):
    """A gateway whose processes share discovery and one endpoint, and are killed after the test."""
    deployment = Deployment(tmp_path, port, endpoint, discovery_service)
    calls = asyncio.create_task(serve_discovery(discovery_service, endpoint_entry("w1", endpoint.port)))
    try:
        yield deployment
    finally:
        calls.cancel()
        await deployment.kill_processes()


async def test_handover_keeps_client_connections_and_open_requests(deployment):
    old, old_admin_port = await deployment.start()
    idle = await deployment.connect()
    busy = await deployment.connect()
    busy.send(http_request())
    writer = await deployment.next_request()
    await deployment.start()
    caller = await TestClient().connect(old_admin_port)
    assert (await caller.send(READINESS_REQUEST).next_response()).status == 503  # not ready any more
    response, _ = await deployment.complete_request(idle)
    assert response.status == 200 and "connection" not in response.headers
    old.send_signal(signal.SIGTERM)
    assert (await deployment.complete_request())[0].status == 200
    writer.write(http_response(body=b"late"))
    assert (await busy.next_response()).body == b"late"
    assert await old.wait() == 0
    for client in (idle, busy, None):  # the handover closed no connection
        assert (await deployment.complete_request(client))[0].status == 200


async def test_successor_hands_over_to_a_third_process(deployment):
    first, _ = await deployment.start()
    client = await deployment.connect()
    second, _ = await deployment.start()
    first.send_signal(signal.SIGTERM)
    assert await first.wait() == 0
    await deployment.start()
    second.send_signal(signal.SIGTERM)
    assert await second.wait() == 0
    assert (await deployment.complete_request(client))[0].status == 200


@pytest.mark.parametrize("fault", [signal.SIGSTOP, signal.SIGKILL])
async def test_process_starts_in_time_if_the_predecessor_is_unresponsive(fault, deployment):
    old, _ = await deployment.start()
    old.send_signal(fault)
    if fault is signal.SIGKILL:
        await old.wait()  # a killed process leaves its socket file behind
    async with asyncio.timeout(START_TIMEOUT_S):
        await deployment.start()
    if fault is signal.SIGKILL:
        assert (await deployment.complete_request())[0].status == 200


async def test_process_starts_in_time_if_the_listener_on_the_socket_file_never_answers(tmp_path, deployment):
    path = tmp_path / f"gatekeeper-{HOST}-{deployment.port}"
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as unresponsive_listener:
        unresponsive_listener.bind(str(path))
        unresponsive_listener.listen(1)
        async with asyncio.timeout(START_TIMEOUT_S):
            await deployment.start()
        assert (await deployment.complete_request())[0].status == 200


async def test_predecessor_resumes_service_when_its_successor_is_killed(deployment):
    old, admin_port = await deployment.start()
    new, _ = await deployment.start()
    new.kill()
    await new.wait()
    await wait_until_ready(admin_port)
    assert (await deployment.complete_request())[0].status == 200
    await deployment.start()  # takes over from the resumed predecessor
    old.send_signal(signal.SIGTERM)
    assert await old.wait() == 0
    assert (await deployment.complete_request())[0].status == 200


async def test_open_descriptors_of_both_processes_stay_within_twice_the_number_before(deployment):
    old, _ = await deployment.start()
    clients = [await deployment.connect() for _ in range(20)]
    before = open_descriptor_count(old)
    new, _ = await deployment.start()
    while open_descriptor_count(old) > before - 20:
        await asyncio.sleep(POLL_INTERVAL_S)
    assert open_descriptor_count(old) + open_descriptor_count(new) <= 2 * before
    for client in clients:
        assert (await deployment.complete_request(client))[0].status == 200


async def test_socket_file_is_accessible_to_its_owner_only(tmp_path, deployment):
    await deployment.start()
    (path,) = pathlib.Path(tmp_path).glob("gatekeeper-*")
    assert path.stat().st_mode & 0o077 == 0
