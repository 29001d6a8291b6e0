"""Tests of the packets between two processes, over a pair of connected sockets."""

import asyncio
import os
import socket
import struct

import pytest

from gateway.network.hot_restart import packet_link
from gateway.network.hot_restart.packet_link import (
    MAX_QUEUED_PACKETS,
    Packet,
    PacketKind,
    PacketLink,
    gossip_from,
    gossip_packet,
)


class RecordingListener:
    """Puts the packets of a link into a queue, and None at its end."""

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


def link_on(sock, listener):
    return PacketLink(asyncio.get_running_loop(), sock, listener)


def open_descriptors():
    return set(os.listdir("/proc/self/fd"))


PACKETS = [
    (Packet(PacketKind.TAKE_OVER), b"T"),
    (Packet(PacketKind.STATE, b'{"names":'), b'S{"names":'),
    (Packet(PacketKind.SOCKETS), b"G"),
    (Packet(PacketKind.CONNECTION), b"C"),
    (gossip_packet(258, b"\x00data"), b"H\x02\x01\x00data"),
]


@pytest.mark.parametrize(("packet", "data"), PACKETS)
async def test_packet_is_written_as_its_kind_and_payload_and_read_back(packet, data, sockets, listener):
    ours, theirs = sockets
    link = link_on(ours, listener)
    link.send(packet)
    assert theirs.recv(100) == data
    theirs.send(data)
    assert await listener.received.get() == packet
    link.close()


def test_gossip_packet_holds_the_sender_and_the_datagram():
    assert gossip_from(gossip_packet(65535, b"data")) == (65535, b"data")
    assert gossip_from(gossip_packet(0, b"")) == (0, b"")
    with pytest.raises(struct.error):
        gossip_from(Packet(PacketKind.GOSSIP, b"\x01"))


async def test_descriptors_are_passed_on_and_closed_by_the_sender(sockets, listener):
    ours, theirs = sockets
    link = link_on(ours, RecordingListener())
    other = link_on(theirs, listener)
    reader, writer = os.pipe()
    link.send(Packet(PacketKind.SOCKETS, descriptors=[writer]))
    with pytest.raises(OSError, match="Bad file descriptor"):
        os.fstat(writer)
    packet = await listener.received.get()
    os.write(packet.descriptors[0], b"x")
    assert os.read(reader, 1) == b"x"
    packet.close_descriptors()
    assert os.read(reader, 1) == b"" and not packet.descriptors
    os.close(reader)
    link.close()
    other.close()


async def test_packet_of_an_unknown_kind_is_ignored_and_its_descriptors_closed(sockets, listener):
    ours, theirs = sockets
    link = link_on(ours, listener)
    reader, writer = os.pipe()
    socket.send_fds(theirs, [b"?unknown"], [writer])
    os.close(writer)
    theirs.send(b"T")
    assert await listener.received.get() == Packet(PacketKind.TAKE_OVER)
    assert os.read(reader, 1) == b""
    os.close(reader)
    link.close()


async def test_packets_that_the_socket_does_not_take_are_queued_in_order(sockets, listener):
    ours, theirs = sockets
    link = link_on(ours, RecordingListener())
    payloads = [bytes([number]) * 30_000 for number in range(40)]
    for payload in payloads:
        link.send(Packet(PacketKind.STATE, payload))
    other = link_on(theirs, listener)
    assert [(await listener.received.get()).payload for _ in payloads] == payloads
    link.close()
    other.close()


async def test_datagrams_beyond_the_queue_limit_are_dropped(sockets, listener, monkeypatch):
    assert MAX_QUEUED_PACKETS == 1024
    monkeypatch.setattr(packet_link, "MAX_QUEUED_PACKETS", 3)
    ours, theirs = sockets
    link = link_on(ours, listener)
    accepted = 0
    while not link._queue:
        link.send_gossip(1, bytes(256))
        accepted += 1
    for _ in range(5):
        link.send_gossip(1, bytes(256))
    other_listener = RecordingListener()
    other = link_on(theirs, other_listener)
    for _ in range(accepted + 2):
        assert (await other_listener.received.get()).kind is PacketKind.GOSSIP
    link.close()
    assert await other_listener.received.get() is None
    other.close()


@pytest.mark.parametrize("closed_by", ["this side", "the other side"])
async def test_closed_link_is_reported_once_and_releases_all_descriptors(closed_by, sockets, listener):
    ours, theirs = sockets
    before = open_descriptors()
    link = link_on(ours, listener)
    for _ in range(60):
        link.send(Packet(PacketKind.STATE, bytes(30_000)))
    reader, writer = os.pipe()
    link.send(Packet(PacketKind.CONNECTION, descriptors=[writer]))
    if closed_by == "this side":
        link.close()
    else:
        theirs.close()
    assert await listener.received.get() is None
    link.close()
    assert listener.received.empty() and os.read(reader, 1) == b""
    os.close(reader)
    assert open_descriptors() < before
