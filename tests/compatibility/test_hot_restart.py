"""Tests of the packets between a process and its successor, which must not change between versions."""

import asyncio
import contextlib
import json
import socket
import struct

import pytest
import pytest_asyncio
from support.addresses import HOST
from support.client import TestClient
from support.configurations import endpoint_entry
from support.http_messages import http_request, http_response
from support.processes import kill_process, send_endpoint_list, start_process
from support.recordings import FIXTURES

MAX_PACKET_BYTES = 64 * 1024
MAX_PACKET_DESCRIPTORS = 4
STATE_CHUNK_BYTES = 1000  # size of the parts in which the test sends the recorded state
POLL_INTERVAL_S = 0.01
SETTLE_S = 0.05  # time for the process to handle a packet that gets no reply


async def receive_packet(link):
    """Return the bytes and the descriptors of the next packet."""
    loop = asyncio.get_running_loop()
    while True:
        with contextlib.suppress(BlockingIOError):
            return socket.recv_fds(link, MAX_PACKET_BYTES, MAX_PACKET_DESCRIPTORS)[:2]
        readable = loop.create_future()
        loop.add_reader(link, readable.set_result, None)
        await readable
        loop.remove_reader(link)


async def receive_state(link):
    """Return the state from the packets of type S, and the packet after them with its descriptors."""
    state = b""
    while True:
        packet, descriptors = await receive_packet(link)
        if packet[:1] != b"S":
            return json.loads(state), packet, descriptors
        state += packet[1:]


@pytest_asyncio.fixture
async def launch(config_path, tmp_path):
    """A function that starts a gateway process, which is killed after the test."""
    processes = []

    async def launch():
        process = await start_process(config_path, str(tmp_path))
        processes.append(process)
        return process

    yield launch
    for process in processes:
        await kill_process(process)


@pytest.fixture
def socket_file(tmp_path, port):
    """The path of the socket file, which must be the same in all versions."""
    return tmp_path / f"gatekeeper-{HOST}-{port}"


@pytest.fixture
def link():
    """A socket of the type that two processes of a gateway exchange packets on."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as link:
        yield link


async def test_predecessor_sends_the_packets_that_a_successor_expects(
    launch, socket_file, link, port, endpoint, discovery_service
):
    """The reply to T consists of S, G and C, and the process survives a forwarded datagram (H)."""
    process = await launch()
    await send_endpoint_list(discovery_service, endpoint_entry("w1", endpoint.port))
    while not socket_file.exists():
        await asyncio.sleep(POLL_INTERVAL_S)
    idle = await TestClient().connect(port)
    idle.send(http_request("00000000000000f1"))
    _, writer = await endpoint.next_request()
    writer.write(http_response())
    assert (await idle.next_response()).status == 200

    link.connect(str(socket_file))
    link.setblocking(False)
    link.send(b"T")
    state, packet, descriptors = await receive_state(link)
    assert list(state) == ["names", "module", "held"] and state["names"] == ["00000000000000f1"]
    assert list(state["module"]) == list(json.loads((FIXTURES / "state.json").read_text()))
    assert packet == b"G" and len(descriptors) == 1  # without peers there is no second socket
    with socket.socket(fileno=descriptors[0]) as listener:
        assert listener.getsockname() == (HOST, port)
    packet, descriptors = await receive_packet(link)
    assert packet == b"C" and len(descriptors) == 1
    with socket.socket(fileno=descriptors[0]) as client:
        assert client.getpeername() == idle.writer.get_extra_info("sockname")
    link.send(b"H" + struct.pack("<H", 1) + b"\x00")
    await asyncio.sleep(SETTLE_S)
    assert process.returncode is None


async def test_successor_takes_over_from_a_predecessor_of_the_previous_version(
    launch, socket_file, link, port, endpoint, discovery_service
):
    """The test, as the predecessor, sends a recorded state, a listening socket and a connection."""
    loop = asyncio.get_running_loop()
    link.bind(str(socket_file))
    link.listen(1)
    link.setblocking(False)
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server((HOST, port), reuse_port=True))
        client = await TestClient().connect(port)
        accepted, _ = listener.accept()
        await launch()
        await send_endpoint_list(discovery_service, endpoint_entry("w1", endpoint.port))
        successor, _ = await loop.sock_accept(link)
        stack.enter_context(successor)
        successor.setblocking(False)
        assert (await receive_packet(successor))[0] == b"T"
        module = json.loads((FIXTURES / "state.json").read_text())
        state = json.dumps({"names": ["00000000000000f2"], "module": module, "held": 20}).encode()
        for begin in range(0, len(state), STATE_CHUNK_BYTES):
            successor.send(b"S" + state[begin : begin + STATE_CHUNK_BYTES])
        socket.send_fds(successor, [b"G"], [listener.fileno()])
        socket.send_fds(successor, [b"C"], [accepted.fileno()])
        accepted.close()
        client.send(http_request("00000000000000f2"))  # the state lists this id as in use
        assert (await client.next_response()).status == 409
        client.send(http_request("00000000000000f3"))
        _, writer = await endpoint.next_request()
        writer.write(http_response(body=b"moved"))
        assert (await client.next_response()).body == b"moved"
