"""Tests of process: limits."""

import asyncio
import json
import os
import pathlib
import resource
import socket

from support.fakes import (
    HOST,
    Client,
    FakeDiscovery,
    answer,
    entry,
    listing,
    request,
    told,
)
from support.process_scenarios import (
    free_port,
    of_a_fleet,
    start,
    until_up,
    with_program,
)


def test_no_kernel_thread_polls_for_the_process(tmp_path):
    """Seen in /proc: a thread iou-sqp beside the program took nearly all of its CPU share."""

    async def scenario(process, port, worker, _fake, _path):
        client = await Client().open(port)
        client.send(request())
        _, writer = await worker.asked()
        writer.write(answer())
        assert (await client.answer())[0] == 200
        tasks = pathlib.Path(f"/proc/{process.pid}/task")
        assert not [name for name in tasks.glob("*/comm") if name.read_text().startswith("iou-")]

    with_program(tmp_path, scenario)


async def test_thousand_peers_and_endpoints_stay_within_the_limits(tmp_path):
    """192 MB at most on the days that count, and 256 descriptors at least."""
    async with FakeDiscovery() as fake:
        port, path = free_port(), tmp_path / "config.json"
        workers = [entry(f"s-{n:08x}", 5000 + n) for n in range(1024)]
        value = of_a_fleet(
            fake.port,
            port,
            1024,
            known=workers,
            peer_listen=f"{HOST}:{free_port()}",
            peers=[f"127.1.{n // 256}.{n % 256}:7946" for n in range(1024)],
        )
        path.write_text(json.dumps(value))
        process = await start(path)
        try:
            _, writer = await fake.called()
            writer.write(told(listing(*workers, entry("one-more", 4999), index=2)))
            await until_up(port)
            status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
            kilobytes = int(status.split("VmHWM:")[1].split()[0])
            assert kilobytes < 96 * 1024 and len(os.listdir(f"/proc/{process.pid}/fd")) < 64
        finally:
            process.kill()
            await process.wait()


async def listed_at_admin(port):
    """How many workers the process knows, by the figures at its door."""
    client = await Client().open(port)
    _, _, body = await client.send(b"GET /_vars HTTP/1.1\r\nHost: h\r\n\r\n").answer()
    client.close()
    (line,) = [line for line in body.decode().splitlines() if line.startswith("edge_balancer_registry")]
    return float(line.split()[-1])


def cpu_s(process):
    user, system = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


async def test_idle_clients_leave_descriptors_for_discovery_and_admin_endpoint(tmp_path):
    """Discovery is down, and they take all that they may, and more. The process neither ends nor spins at the
    limit, and takes the list in time when discovery is back."""
    loop, idle = asyncio.get_running_loop(), []
    port, door, list_port, path = free_port(), free_port(), free_port(), tmp_path / "config.json"
    path.write_text(
        json.dumps(of_a_fleet(list_port, port, 230, known=[entry("w1", 9)], control=f"{HOST}:{door}"))
    )
    process = await start(path, preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (256, 256)))
    try:
        await until_up(port)
        spent_s, began_s = cpu_s(process), loop.time()
        for _ in range(400):
            idle.append(socket.socket())
            idle[-1].setblocking(False)
            idle[-1].connect_ex((HOST, port))
        while len(os.listdir(f"/proc/{process.pid}/fd")) < 100:  # of clients 117 at most, for 2.5 s
            await asyncio.sleep(0)
        assert await listed_at_admin(door) == 1
        async with FakeDiscovery(list_port) as fake, asyncio.timeout(6):
            _, writer = await fake.called()
            news = listing(entry("w1", 9), entry("w2", 7), index=2, snapshot=False)
            writer.write(told(news))
            while await listed_at_admin(door) != 2:
                pass
        assert process.returncode is None
        assert cpu_s(process) - spent_s < 0.5 + (loop.time() - began_s) / 2
    finally:
        for sock in idle:
            sock.close()
        process.kill()
        await process.wait()
