"""Tests of the socket for datagrams between gateways."""

import asyncio
import socket

from support.addresses import HOST
from support.configurations import configuration

from gateway.config import config_from
from gateway.network.gossip_socket import GossipSocket


async def test_sender_is_identified_by_its_address_among_1024_peers():
    received = asyncio.Queue()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.bind((f"127.1.{1023 // 256}.{1023 % 256}", 0))
        port = sock.getsockname()[1]
        addresses = [f"127.1.{n // 256}.{n % 256}:{port}" for n in range(1024)]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((HOST, 0))
            gateway_port = probe.getsockname()[1]
        value = configuration(peer_listen=f"{HOST}:{gateway_port}", peers=addresses)
        value["settings"]["balancers"] = 1024
        gossip_socket = GossipSocket(config_from(value, {}), lambda *datagram: received.put_nowait(datagram))
        gossip_socket.open(asyncio.get_running_loop())
        sock.sendto(b"news", (HOST, gateway_port))
        assert await received.get() == (1023, b"news")
        gossip_socket.send(1023, b"more")
        assert await asyncio.get_running_loop().sock_recv(sock, 300) == b"more"
        gossip_socket.close()


async def test_datagrams_from_unknown_addresses_and_oversized_datagrams_are_ignored():
    loop = asyncio.get_running_loop()
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
    for sock in socks:
        sock.bind((HOST, 0))
        sock.setblocking(False)
    addresses = [f"{HOST}:{sock.getsockname()[1]}" for sock in socks]
    gateway_sock, peer, stranger = socks
    gateway_sock.close()  # its address is free for the gateway now
    addresses[2] = f"{HOST}:1"  # the address of `stranger` is no peer's
    received = asyncio.Queue()
    gossip_socket = GossipSocket(
        config_from(configuration(peer_listen=addresses[0], peers=addresses), {}),
        lambda number, data: received.put_nowait((number, data)),
    )
    gossip_socket.open(loop)
    gateway_address = (HOST, int(addresses[0].rpartition(":")[2]))
    stranger.sendto(b"stranger", gateway_address)
    peer.sendto(bytes(257), gateway_address)  # above the size limit
    peer.sendto(b"hello", gateway_address)
    assert await received.get() == (1, b"hello") and received.empty()
    gossip_socket.send(1, bytes(257))  # above the size limit
    gossip_socket.send(9, b"nobody")  # no peer has this number
    gossip_socket.send(-1, b"all")  # ALL_PEERS, but no address of all peers is configured
    gossip_socket.send(1, b"back")
    assert await loop.sock_recv(peer, 300) == b"back"
    gossip_socket.close()
    peer.close()
    stranger.close()
