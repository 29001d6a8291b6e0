"""Tests of network: gossip socket."""

import asyncio
import socket

from support.fakes import HOST, config

from gateway.config import config_from
from gateway.network.gossip_socket import GossipSocket


async def test_thousand_peers_exchange_datagrams():
    """The last of them, by its address alone."""
    heard = asyncio.Queue()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.bind((f"127.1.{1023 // 256}.{1023 % 256}", 0))
        port = sock.getsockname()[1]
        addresses = [f"127.1.{n // 256}.{n % 256}:{port}" for n in range(1024)]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((HOST, 0))
            own = probe.getsockname()[1]
        value = config(peer_listen=f"{HOST}:{own}", peers=addresses)
        value["settings"]["balancers"] = 1024
        peers = GossipSocket(config_from(value, {}), lambda *what: heard.put_nowait(what))
        peers.open(asyncio.get_running_loop())
        sock.sendto(b"news", (HOST, own))
        assert await heard.get() == (1023, b"news")
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
    own.close()  # the gatekeeper takes this address
    addresses[2] = f"{HOST}:1"
    heard = asyncio.Queue()
    peers = GossipSocket(
        config_from(config(peer_listen=addresses[0], peers=addresses), {}),
        lambda number, data: heard.put_nowait((number, data)),
    )
    peers.open(loop)
    there = (HOST, int(addresses[0].rpartition(":")[2]))
    stranger.sendto(b"stranger", there)
    peer.sendto(bytes(257), there)
    peer.sendto(b"hello", there)
    assert await heard.get() == (1, b"hello") and heard.empty()
    peers.send(1, bytes(257))  # too long: not sent
    peers.send(9, b"nobody")
    peers.send(-1, b"all")  # no such address in this configuration
    peers.send(1, b"back")
    assert await loop.sock_recv(peer, 300) == b"back"
    peers.close()
    peer.close()
    stranger.close()
