"""Gateway processes, started as the deploy file says."""

import asyncio
import os
import pathlib
import socket
import sys
import tomllib

from support.addresses import HOST
from support.client import TestClient
from support.configurations import configuration, endpoint_list
from support.http_messages import json_response

ROOT = pathlib.Path(__file__).parents[2]
READINESS_REQUEST = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n"


def free_port():
    """Return a port that nothing listens on."""
    with socket.create_server((HOST, 0)) as probe:
        return probe.getsockname()[1]


async def start_process(config_path, runtime_folder="", **options):
    """Start the gateway, which keeps its socket file in the runtime folder."""
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    command = command.replace(".venv/bin/python", sys.executable)
    environment = {**os.environ, "BALANCER_CONFIG": str(config_path), "TMPDIR": runtime_folder}
    options.setdefault("stderr", asyncio.subprocess.PIPE)
    return await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", command, cwd=ROOT, env=environment, **options
    )


async def kill_process(process):
    """Kill the process unless it has ended, and wait for its end."""
    if process.returncode is None:
        process.kill()
        await process.wait()


def open_descriptor_count(process):
    """Return how many descriptors the process has open."""
    return len(os.listdir(f"/proc/{process.pid}/fd"))


async def wait_until_ready(port):
    """Return once the gateway at this port answers that it is ready."""
    while True:
        try:
            client = await TestClient().connect(port)
        except OSError:
            await asyncio.sleep(0)
            continue
        try:
            response = await client.send(READINESS_REQUEST).next_response()
        except ConnectionError:
            continue
        client.close()
        if response and response.status == 200:
            return


async def send_endpoint_list(discovery_service, *entries):
    """Answer the next call with a snapshot of these endpoints, and leave the watch open."""
    _, writer = await discovery_service.next_call()
    writer.write(json_response(endpoint_list(*entries)))


def fleet_configuration(discovery_port, port, size, **more):
    """Return a configuration of a gateway in a fleet of this size."""
    value = configuration(discovery_port, port, **more)
    value["settings"]["balancers"] = size
    return value
