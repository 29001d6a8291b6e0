"""Tests of the socket for datagrams between gateways."""

import asyncio
import socket

from support.addresses import HOST
from support.configurations import configuration

from gateway.config import config_from
from gateway.network.gossip_socket import GossipSocket


async def test_thousand_peers_exchange_datagrams():
    """A datagram's sender is found by its address alone."""
    received = asyncio.Queue()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.bind((f"127.1.{1023 // 256}.{1023 % 256}", 0))
        port = sock.getsockname()[1]
        addresses = [f"127.1.{n // 256}.{n % 256}:{port}" for n in range(1024)]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((HOST, 0))
            own = probe.getsockname()[1]
        value = configuration(peer_listen=f"{HOST}:{own}", peers=addresses)
        value["settings"]["balancers"] = 1024
        peers = GossipSocket(config_from(value, {}), lambda *datagram: received.put_nowait(datagram))
        peers.open(asyncio.get_running_loop())
        sock.sendto(b"news", (HOST, own))
        assert await received.get() == (1023, b"news")
        peers.send(1023, b"more")
        assert await asyncio.get_running_loop().sock_recv(sock, 300) == b"more"
        peers.close()


async def test_peers_receive_each_other_and_no_stranger():
    loop = asyncio.get_running_loop()
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
    for sock in socks:
        sock.bind((HOST, 0))
        sock.setblocking(False)
    addresses = [f"{HOST}:{sock.getsockname()[1]}" for sock in socks]
    own, peer, stranger = socks
    own.close()  # the gateway binds this address
    addresses[2] = f"{HOST}:1"
    received = asyncio.Queue()
    peers = GossipSocket(
        config_from(configuration(peer_listen=addresses[0], peers=addresses), {}),
        lambda number, data: received.put_nowait((number, data)),
    )
    peers.open(loop)
    there = (HOST, int(addresses[0].rpartition(":")[2]))
    stranger.sendto(b"stranger", there)
    peer.sendto(bytes(257), there)
    peer.sendto(b"hello", there)
    assert await received.get() == (1, b"hello") and received.empty()
    peers.send(1, bytes(257))  # above the size limit
    peers.send(9, b"nobody")
    peers.send(-1, b"all")  # no peer has such a number
    peers.send(1, b"back")
    assert await loop.sock_recv(peer, 300) == b"back"
    peers.close()
    peer.close()
    stranger.close()
