"""Tests of hot_restart: hot restart."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket

import pytest
import pytest_asyncio
from support.fakes import (
    HOST,
    Client,
    FakeDiscovery,
    FakeWorker,
    answer,
    config,
    entry,
    listing,
    request,
    told,
)
from support.process_scenarios import free_port, start

READY = b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n"


async def until_yes(port):
    """The first yes at a door."""
    while True:
        try:
            caller = await Client().open(port)
            reply = await caller.send(READY).answer()
        except OSError:
            await asyncio.sleep(0.01)
            continue
        caller.close()
        if reply and reply[0] == 200:
            return
        await asyncio.sleep(0.01)


async def answer_calls(fake, *entries):
    """Discovery as it mostly is: the list for whoever asks, and silent watches."""
    while True:
        target, writer = await fake.called()
        if "since" not in target:
            writer.write(told(listing(*entries)))


class Site:
    """Processes of one gatekeeper, one after another; each has a door of its own."""

    def __init__(self, folder, worker, fake):
        self.folder, self.worker, self.fake, self.port = folder, worker, fake, free_port()
        self.processes = []

    async def start(self, wait=True):
        door = free_port()
        path = self.folder / f"config{len(self.processes)}.json"
        path.write_text(json.dumps(config(self.fake.port, self.port, control=f"{HOST}:{door}")))
        process = await start(path, str(self.folder))
        self.processes.append(process)
        if wait:
            await until_yes(door)
        return process, door

    async def asked(self):
        """The way to answer the next request that comes to the worker; ends of connections are passed by."""
        while True:
            message, writer = await self.worker.asked()
            if message is not None:
                return writer

    async def asks(self, client=None):
        """One request from a client to the worker and back."""
        client = client or await Client().open(self.port)
        client.send(request())
        writer = await self.asked()
        writer.write(answer())
        return await client.answer(), client


@pytest_asyncio.fixture
async def site(tmp_path):
    """A place for processes of one gateway, with discovery and an endpoint."""
    async with FakeDiscovery() as fake, FakeWorker() as worker:
        site = Site(tmp_path, worker, fake)
        calls = asyncio.create_task(answer_calls(fake, entry("w1", worker.port)))
        try:
            yield site
        finally:
            calls.cancel()
            for process in site.processes:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()


async def test_successor_gets_the_connections_and_predecessor_answers_its_requests(site):
    old, old_door = await site.start()
    kept, busy = (await site.asks())[1], (await site.asks())[1]
    busy.send(request())
    writer = await site.asked()
    _new, _ = await site.start()
    caller = await Client().open(old_door)
    assert (await caller.send(READY).answer())[0] == 503  # it serves no more
    reply, _ = await site.asks(kept)
    assert reply[0] == 200 and "connection" not in reply[1]
    old.send_signal(signal.SIGTERM)
    assert (await site.asks())[0][0] == 200
    writer.write(answer(body=b"late"))
    assert (await busy.answer())[2] == b"late"
    assert await old.wait() == 0
    for client in (kept, busy, None):  # nothing was closed on the way
        assert (await site.asks(client))[0][0] == 200


async def test_third_process_follows_the_second(site):
    first, _ = await site.start()
    client = (await site.asks())[1]
    second, _ = await site.start()
    first.send_signal(signal.SIGTERM)
    assert await first.wait() == 0
    await site.start()
    second.send_signal(signal.SIGTERM)
    assert await second.wait() == 0
    assert (await site.asks(client))[0][0] == 200


@pytest.mark.parametrize("trouble", [signal.SIGSTOP, signal.SIGKILL])
async def test_unresponsive_predecessor_does_not_delay_the_start(trouble, site):
    old, _ = await site.start()
    old.send_signal(trouble)
    if trouble is signal.SIGKILL:
        await old.wait()  # its socket file stays
    async with asyncio.timeout(15):
        await site.start()
    if trouble is signal.SIGKILL:
        assert (await site.asks())[0][0] == 200


async def test_foreign_file_in_place_of_the_socket_does_not_delay_the_start(tmp_path, site):
    path = tmp_path / f"gatekeeper-{HOST}-{site.port}"
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as mute:
        mute.bind(str(path))
        mute.listen(1)
        async with asyncio.timeout(15):
            await site.start()
        assert (await site.asks())[0][0] == 200


async def test_predecessor_resumes_service_when_its_successor_dies(site):
    old, door = await site.start()
    new, _ = await site.start()
    new.kill()
    await new.wait()
    await until_yes(door)
    assert (await site.asks())[0][0] == 200
    await site.start()  # and hands over once more
    old.send_signal(signal.SIGTERM)
    assert await old.wait() == 0
    assert (await site.asks())[0][0] == 200


async def test_descriptors_of_both_processes_stay_within_the_limit(site):
    def held(process):
        return len(os.listdir(f"/proc/{process.pid}/fd"))

    old, _ = await site.start()
    clients = [(await site.asks())[1] for _ in range(20)]
    before = held(old)
    new, _ = await site.start()
    while held(old) > before - 20:
        await asyncio.sleep(0.01)
    assert held(old) + held(new) <= 2 * before
    for client in clients:
        assert (await site.asks(client))[0][0] == 200


async def test_socket_file_is_accessible_to_its_owner_only(tmp_path, site):
    await site.start()
    (path,) = pathlib.Path(tmp_path).glob("gatekeeper-*")
    assert path.stat().st_mode & 0o077 == 0
