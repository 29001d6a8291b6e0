"""Tests of the resources that a gateway process uses: threads, memory, descriptors and CPU time."""

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import socket

from support.addresses import HOST
from support.client import TestClient
from support.configurations import endpoint_entry, endpoint_list
from support.fake_discovery import FakeDiscovery
from support.gateway_steps import complete_request
from support.http_messages import json_response
from support.processes import (
    fleet_configuration,
    free_port,
    kill_process,
    open_descriptor_count,
    start_process,
    wait_until_ready,
)

FLEET_SIZE = 1024  # number of gateways, and of endpoints
MAX_RESIDENT_KB = 96 * 1024  # upper limit of the peak resident memory in a fleet of FLEET_SIZE
MAX_OPEN_DESCRIPTORS = 64  # upper limit of open descriptors in that fleet, without clients
DESCRIPTOR_LIMIT = 256  # the smallest RLIMIT_NOFILE that the platform sets


def peak_resident_kb(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0])


def cpu_time_s(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    user_ticks, system_ticks = fields[11:13]
    return (int(user_ticks) + int(system_ticks)) / os.sysconf("SC_CLK_TCK")


async def endpoints_in_metrics(admin_port):
    """Return the number of endpoints that the metrics of the process report."""
    client = await TestClient().connect(admin_port)
    response = await client.send(b"GET /_vars HTTP/1.1\r\nHost: h\r\n\r\n").next_response()
    client.close()
    lines = response.body.decode().splitlines()
    (line,) = [line for line in lines if line.startswith("edge_balancer_registry")]
    return float(line.split()[-1])


@contextlib.contextmanager
def idle_clients(port, count):
    """Open this many connections, which send nothing, and close them at the end."""
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex((HOST, port))
        yield


def limit_descriptors():
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))


async def test_process_has_no_io_uring_thread(process, port, endpoint):
    await complete_request(endpoint, await TestClient().connect(port))
    # The names of the kernel threads that poll for io_uring begin with "iou-".
    tasks = pathlib.Path(f"/proc/{process.pid}/task")
    assert not [name for name in tasks.glob("*/comm") if name.read_text().startswith("iou-")]


async def test_process_in_a_fleet_of_1024_stays_within_memory_and_descriptor_limits(
    config_path, port, discovery_service
):
    endpoints = [endpoint_entry(f"s-{n:08x}", 5000 + n) for n in range(FLEET_SIZE)]
    value = fleet_configuration(
        discovery_service.port,
        port,
        FLEET_SIZE,
        known=endpoints,
        peer_listen=f"{HOST}:{free_port()}",
        peers=[f"127.1.{n // 256}.{n % 256}:7946" for n in range(FLEET_SIZE)],
    )
    config_path.write_text(json.dumps(value))
    process = await start_process(config_path)
    try:
        _, writer = await discovery_service.next_call()
        snapshot = endpoint_list(*endpoints, endpoint_entry("one-more", 4999), index=2)
        writer.write(json_response(snapshot))
        await wait_until_ready(port)
        assert peak_resident_kb(process) < MAX_RESIDENT_KB
        assert open_descriptor_count(process) < MAX_OPEN_DESCRIPTORS
    finally:
        await kill_process(process)


async def test_idle_clients_leave_descriptors_for_discovery_and_admin_endpoint(tmp_path, port):
    """At its descriptor limit the process keeps running without a busy loop, and applies a list in time."""
    loop = asyncio.get_running_loop()
    admin_port = free_port()
    discovery_port = free_port()
    config_path = tmp_path / "config.json"
    known = [endpoint_entry("w1", 9)]
    value = fleet_configuration(discovery_port, port, 230, known=known, control=f"{HOST}:{admin_port}")
    config_path.write_text(json.dumps(value))
    process = await start_process(config_path, preexec_fn=limit_descriptors)
    try:
        await wait_until_ready(port)
        cpu_time_before_s = cpu_time_s(process)
        began_s = loop.time()
        with idle_clients(port, 400):
            while open_descriptor_count(process) < 100:  # clients may hold 117 at most
                await asyncio.sleep(0)
            assert await endpoints_in_metrics(admin_port) == 1
            async with FakeDiscovery(discovery_port) as discovery_service, asyncio.timeout(6):
                _, writer = await discovery_service.next_call()
                change = endpoint_list(*known, endpoint_entry("w2", 7), index=2, snapshot=False)
                writer.write(json_response(change))
                while await endpoints_in_metrics(admin_port) != 2:
                    pass
            assert process.returncode is None
            assert cpu_time_s(process) - cpu_time_before_s < 0.5 + (loop.time() - began_s) / 2
    finally:
        await kill_process(process)
