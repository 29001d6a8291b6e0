"""Tests of processes that replace each other while they serve."""

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
from support.processes import free_port, open_descriptors, start_process

READY = b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n"
POLL_INTERVAL_S = 0.01
START_TIMEOUT_S = 15.0


async def until_admin_ready(admin_port):
    """Return once the process at this admin port answers that it is ready."""
    while True:
        try:
            client = await TestClient().connect(admin_port)
            response = await client.send(READY).next_response()
        except OSError:
            await asyncio.sleep(POLL_INTERVAL_S)
            continue
        client.close()
        if response and response.status == 200:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def answer_calls(discovery_service, *entries):
    """Answer calls for a snapshot, and leave each watch open."""
    while True:
        target, writer = await discovery_service.next_call()
        if "since" not in target:
            writer.write(json_response(endpoint_list(*entries)))


class Deployment:
    """Successive processes of one gateway, each with an admin port of its own."""

    def __init__(self, folder, port, endpoint, discovery_service):
        self.folder = folder
        self.port = port
        self.endpoint = endpoint
        self.discovery_service = discovery_service
        self.processes = []

    async def start(self):
        """Start the next process, and return it with its admin port once it is ready."""
        admin_port = free_port()
        path = self.folder / f"config{len(self.processes)}.json"
        control = f"{HOST}:{admin_port}"
        path.write_text(json.dumps(configuration(self.discovery_service.port, self.port, control=control)))
        process = await start_process(path, str(self.folder))
        self.processes.append(process)
        await until_admin_ready(admin_port)
        return process, admin_port

    async def next_request(self):
        """Return the writer of the next request at the endpoint; ends of connections are skipped."""
        while True:
            received = await self.endpoint.next_request()
            if not received.is_disconnect:
                return received.writer

    async def complete_request(self, client=None):
        """Let a client's request be answered, and return the response and the client."""
        client = client or await TestClient().connect(self.port)
        client.send(http_request())
        writer = await self.next_request()
        writer.write(http_response())
        return await client.next_response(), client

    async def connect(self):
        """Return a client with an idle connection that has served a request."""
        _, client = await self.complete_request()
        return client

    async def kill(self):
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()


@pytest_asyncio.fixture
async def deployment(tmp_path, port, endpoint, discovery_service):
    """A place for processes of one gateway, with discovery and an endpoint."""
    deployment = Deployment(tmp_path, port, endpoint, discovery_service)
    calls = asyncio.create_task(answer_calls(discovery_service, endpoint_entry("w1", endpoint.port)))
    try:
        yield deployment
    finally:
        calls.cancel()
        await deployment.kill()


async def test_successor_gets_the_connections_and_predecessor_answers_its_requests(deployment):
    old, old_admin_port = await deployment.start()
    kept = await deployment.connect()
    busy = await deployment.connect()
    busy.send(http_request())
    writer = await deployment.next_request()
    await deployment.start()
    caller = await TestClient().connect(old_admin_port)
    assert (await caller.send(READY).next_response()).status == 503  # it serves no more
    response, _ = await deployment.complete_request(kept)
    assert response.status == 200 and "connection" not in response.headers
    old.send_signal(signal.SIGTERM)
    assert (await deployment.complete_request())[0].status == 200
    writer.write(http_response(body=b"late"))
    assert (await busy.next_response()).body == b"late"
    assert await old.wait() == 0
    for client in (kept, busy, None):  # nothing was closed on the way
        assert (await deployment.complete_request(client))[0].status == 200


async def test_third_process_follows_the_second(deployment):
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
async def test_unresponsive_predecessor_does_not_delay_the_start(fault, deployment):
    old, _ = await deployment.start()
    old.send_signal(fault)
    if fault is signal.SIGKILL:
        await old.wait()  # its socket file stays
    async with asyncio.timeout(START_TIMEOUT_S):
        await deployment.start()
    if fault is signal.SIGKILL:
        assert (await deployment.complete_request())[0].status == 200


async def test_foreign_file_in_place_of_the_socket_does_not_delay_the_start(tmp_path, deployment):
    path = tmp_path / f"gatekeeper-{HOST}-{deployment.port}"
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as mute:
        mute.bind(str(path))
        mute.listen(1)
        async with asyncio.timeout(START_TIMEOUT_S):
            await deployment.start()
        assert (await deployment.complete_request())[0].status == 200


async def test_predecessor_resumes_service_when_its_successor_dies(deployment):
    old, admin_port = await deployment.start()
    new, _ = await deployment.start()
    new.kill()
    await new.wait()
    await until_admin_ready(admin_port)
    assert (await deployment.complete_request())[0].status == 200
    await deployment.start()  # and hands over once more
    old.send_signal(signal.SIGTERM)
    assert await old.wait() == 0
    assert (await deployment.complete_request())[0].status == 200


async def test_descriptors_of_both_processes_stay_within_the_limit(deployment):
    old, _ = await deployment.start()
    clients = [await deployment.connect() for _ in range(20)]
    before = open_descriptors(old)
    new, _ = await deployment.start()
    while open_descriptors(old) > before - 20:
        await asyncio.sleep(POLL_INTERVAL_S)
    assert open_descriptors(old) + open_descriptors(new) <= 2 * before
    for client in clients:
        assert (await deployment.complete_request(client))[0].status == 200


async def test_socket_file_is_accessible_to_its_owner_only(tmp_path, deployment):
    await deployment.start()
    (path,) = pathlib.Path(tmp_path).glob("gatekeeper-*")
    assert path.stat().st_mode & 0o077 == 0
