"""Tests of packet links, over a pair of connected sockets in one process."""

import asyncio
import os
import socket
import struct

import pytest

from gateway.network.hot_restart import packet_link
from gateway.network.hot_restart.packet_link import (
    MAX_QUEUED_PACKETS,
    Packet,
    PacketLink,
    PacketType,
    decode_gossip,
    encode_gossip,
)


class RecordingListener:
    """Queues the packets that a link receives, and None when the link is closed."""

    def __init__(self):
        self.received = asyncio.Queue()

    def on_packet(self, _link, packet):
        self.received.put_nowait(packet)

    def on_link_closed(self, _link):
        self.received.put_nowait(None)


@pytest.fixture
def sockets():
    pair = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    for sock in pair:
        sock.setblocking(False)
    yield pair
    for sock in pair:
        sock.close()


@pytest.fixture
def listener():
    return RecordingListener()


def open_link(sock, listener):
    return PacketLink(asyncio.get_running_loop(), sock, listener)


def open_descriptors():
    return set(os.listdir("/proc/self/fd"))


# Packets and their bytes on the wire.
PACKETS = [
    (Packet(PacketType.TAKE_OVER), b"T"),
    (Packet(PacketType.STATE, b'{"names":'), b'S{"names":'),
    (Packet(PacketType.SOCKETS), b"G"),
    (Packet(PacketType.CONNECTION), b"C"),
    (encode_gossip(258, b"\x00data"), b"H\x02\x01\x00data"),
]


@pytest.mark.parametrize(("packet", "data"), PACKETS)
async def test_packet_is_sent_as_type_and_payload_and_received_back(packet, data, sockets, listener):
    local_socket, remote_socket = sockets
    link = open_link(local_socket, listener)
    link.send(packet)
    assert remote_socket.recv(100) == data
    remote_socket.send(data)
    assert await listener.received.get() == packet
    link.close()


def test_gossip_packet_carries_the_sender_number_and_the_datagram():
    assert decode_gossip(encode_gossip(65535, b"data")) == (65535, b"data")
    assert decode_gossip(encode_gossip(0, b"")) == (0, b"")
    with pytest.raises(struct.error):
        decode_gossip(Packet(PacketType.GOSSIP, b"\x01"))


async def test_sent_descriptors_are_closed_by_the_sender_and_usable_by_the_receiver(sockets, listener):
    local_socket, remote_socket = sockets
    link = open_link(local_socket, RecordingListener())
    remote_link = open_link(remote_socket, listener)
    reader, writer = os.pipe()
    link.send(Packet(PacketType.SOCKETS, descriptors=[writer]))
    with pytest.raises(OSError, match="Bad file descriptor"):
        os.fstat(writer)
    packet = await listener.received.get()
    os.write(packet.descriptors[0], b"x")
    assert os.read(reader, 1) == b"x"
    packet.close_descriptors()
    assert os.read(reader, 1) == b"" and not packet.descriptors
    os.close(reader)
    link.close()
    remote_link.close()


async def test_packet_of_unknown_type_is_ignored_and_its_descriptors_are_closed(sockets, listener):
    local_socket, remote_socket = sockets
    link = open_link(local_socket, listener)
    reader, writer = os.pipe()
    socket.send_fds(remote_socket, [b"?unknown"], [writer])
    os.close(writer)
    remote_socket.send(b"T")
    assert await listener.received.get() == Packet(PacketType.TAKE_OVER)
    assert os.read(reader, 1) == b""
    os.close(reader)
    link.close()


async def test_packets_beyond_the_socket_buffer_are_queued_and_sent_in_order(sockets, listener):
    local_socket, remote_socket = sockets
    link = open_link(local_socket, RecordingListener())
    payloads = [bytes([number]) * 30_000 for number in range(40)]
    for payload in payloads:
        link.send(Packet(PacketType.STATE, payload))
    remote_link = open_link(remote_socket, listener)
    assert [(await listener.received.get()).payload for _ in payloads] == payloads
    link.close()
    remote_link.close()


async def test_datagrams_beyond_the_queue_limit_are_dropped(sockets, listener, monkeypatch):
    assert MAX_QUEUED_PACKETS == 1024
    monkeypatch.setattr(packet_link, "MAX_QUEUED_PACKETS", 3)
    local_socket, remote_socket = sockets
    link = open_link(local_socket, listener)
    accepted = 0
    while not link._queue:
        link.send_gossip(1, bytes(256))
        accepted += 1
    for _ in range(5):
        link.send_gossip(1, bytes(256))
    remote_listener = RecordingListener()
    remote_link = open_link(remote_socket, remote_listener)
    for _ in range(accepted + 2):
        assert (await remote_listener.received.get()).type is PacketType.GOSSIP
    link.close()
    assert await remote_listener.received.get() is None
    remote_link.close()


@pytest.mark.parametrize("closed_by", ["this process", "the other process"])
async def test_closed_link_is_reported_once_and_releases_all_descriptors(closed_by, sockets, listener):
    local_socket, remote_socket = sockets
    before = open_descriptors()
    link = open_link(local_socket, listener)
    for _ in range(60):
        link.send(Packet(PacketType.STATE, bytes(30_000)))
    reader, writer = os.pipe()
    link.send(Packet(PacketType.CONNECTION, descriptors=[writer]))
    if closed_by == "this process":
        link.close()
    else:
        remote_socket.close()
    assert await listener.received.get() is None
    link.close()
    assert listener.received.empty() and os.read(reader, 1) == b""
    os.close(reader)
    assert open_descriptors() < before
