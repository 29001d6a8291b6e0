"""Tests of compatibility: hot restart."""

import asyncio
import contextlib
import json
import socket
import struct

from support.fakes import (
    HOST,
    Client,
    FakeDiscovery,
    FakeWorker,
    answer,
    config,
    entry,
    request,
    run,
)
from support.process_scenarios import free_port, start, tell_list
from support.recordings import FIXTURES


async def receive(loop, link):
    """One packet and its descriptors."""
    while True:
        with contextlib.suppress(BlockingIOError):
            return socket.recv_fds(link, 64 * 1024, 4)[:2]
        readable = loop.create_future()
        loop.add_reader(link, readable.set_result, None)
        await readable
        loop.remove_reader(link)


def at_process(tmp_path, scenario, **more):
    """Run a scenario with a started process that another one may follow."""

    async def whole():
        async with FakeDiscovery() as fake, FakeWorker() as worker:
            port = free_port()
            path = tmp_path / "config.json"
            path.write_text(json.dumps(config(fake.port, port, **more)))
            process = None
            try:
                process = await scenario(path, port, fake, worker)
            finally:
                if process is not None and process.returncode is None:
                    process.kill()
                    await process.wait()

    run(whole())


def test_packets_to_a_successor(tmp_path):
    """T asks; S, G and C answer; H passes on a peer's message. The file's name is known to both versions."""

    async def scenario(path, port, fake, worker):
        loop = asyncio.get_running_loop()
        process = await start(path, str(tmp_path))
        await tell_list(fake, entry("w1", worker.port))
        name = tmp_path / f"gatekeeper-{HOST}-{port}"
        while not name.exists():
            await asyncio.sleep(0.01)
        idle = await Client().open(port)
        idle.send(request("00000000000000f1"))
        _, writer = await worker.asked()
        writer.write(answer())
        assert (await idle.answer())[0] == 200
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as link:
            link.connect(str(name))
            link.setblocking(False)
            link.send(b"T")
            text = b""
            while (packet := await receive(loop, link))[0][:1] == b"S":
                text += packet[0][1:]
            assert packet[0] == b"G" and len(packet[1]) == 1  # it has no peers: no second socket
            with socket.socket(fileno=packet[1][0]) as listener:
                assert listener.getsockname() == (HOST, port)
            state = json.loads(text)
            assert list(state) == ["names", "module", "held"] and state["names"] == ["00000000000000f1"]
            assert list(state["module"]) == list(json.loads((FIXTURES / "state.json").read_text()))
            moved, descriptors = await receive(loop, link)
            assert moved == b"C" and len(descriptors) == 1
            with socket.socket(fileno=descriptors[0]) as client:
                assert client.getpeername() == idle.writer.get_extra_info("sockname")
            link.send(b"H" + struct.pack("<H", 1) + b"\x00")
            await asyncio.sleep(0.05)
        assert process.returncode is None
        return process

    at_process(tmp_path, scenario)


def test_predecessor_of_the_last_version_hands_over(tmp_path):
    """Its packets as recorded, with an idle connection of a client."""

    async def scenario(path, port, fake, worker):
        loop = asyncio.get_running_loop()
        with contextlib.ExitStack() as stack:
            door = stack.enter_context(socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET))
            door.bind(str(tmp_path / f"gatekeeper-{HOST}-{port}"))
            door.listen(1)
            door.setblocking(False)
            listener = stack.enter_context(socket.create_server((HOST, port), reuse_port=True))
            client = await Client().open(port)
            accepted, _ = listener.accept()
            process = await start(path, str(tmp_path))
            await tell_list(fake, entry("w1", worker.port))
            link, _ = await loop.sock_accept(door)
            stack.enter_context(link)
            link.setblocking(False)
            assert (await receive(loop, link))[0] == b"T"
            module = json.loads((FIXTURES / "state.json").read_text())
            text = json.dumps({"names": ["00000000000000f2"], "module": module, "held": 20}).encode()
            for begin in range(0, len(text), 1000):
                link.send(b"S" + text[begin : begin + 1000])
            socket.send_fds(link, [b"G"], [listener.fileno()])
            socket.send_fds(link, [b"C"], [accepted.fileno()])
            accepted.close()
            client.send(request("00000000000000f2"))  # its id is in use at the process before
            assert (await client.answer())[0] == 409
            client.send(request("00000000000000f3"))
            _, writer = await worker.asked()
            writer.write(answer(body=b"moved"))
            assert (await client.answer())[2] == b"moved"
        return process

    at_process(tmp_path, scenario)
