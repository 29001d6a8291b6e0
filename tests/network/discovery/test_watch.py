"""Tests of discovery: watch."""

import asyncio
import json
import socket

import pytest
from support.discovery_scenarios import WATCH
from support.fakes import HOST, FakeDiscovery, answer, entry, listing, told

from gateway.network.discovery.watch import Discovery


async def test_snapshot_is_followed_by_a_watch_from_its_version(discovery_service, received_lists, discovery):
    target, writer = await discovery_service.called()
    assert target == "/discovery/hosts" and not discovery.listed.is_set()
    writer.write(told(listing(entry("w1", 5001), index=41)))
    assert (await received_lists.get()).is_snapshot and discovery.listed.is_set()
    target, writer = await discovery_service.called()
    assert target == WATCH.format(41)
    writer.write(told(listing(entry("w1", 5001, "gone"), index=43, snapshot=False)))
    news = await received_lists.get()
    assert not news.is_snapshot and news.entries[0].endpoint.state.value == "gone"
    assert (await discovery_service.called())[0] == WATCH.format(43)


async def test_watch_without_changes_continues_and_reports_nothing(discovery_service, received_lists):
    _, writer = await discovery_service.called()
    writer.write(told(listing(index=41)))
    await received_lists.get()
    for _ in range(2):
        target, writer = await discovery_service.called()
        assert target == WATCH.format(41)
        writer.write(told(listing(index=41, snapshot=False)))
    await discovery_service.called()
    assert received_lists.empty()


@pytest.mark.parametrize(
    "reply",
    [
        answer(500),
        answer(body=b"no json"),
        answer(body=b"[" * 100_000),
        answer(body=b"3"),
        b"noise\r\n\r\n",
        answer(body=b'{"index":42,"endpoints":3}'),
        told(listing(index=40, snapshot=False)),
    ],
)
async def test_invalid_answer_is_followed_by_a_full_list(reply, discovery_service, received_lists):
    _, writer = await discovery_service.called()
    writer.write(told(listing(index=41)))
    await received_lists.get()
    _, writer = await discovery_service.called()
    writer.write(reply)
    target, writer = await discovery_service.called()
    assert target == "/discovery/hosts"
    writer.write(told(listing(entry("w1", 5001), index=44)))
    assert (await received_lists.get()).index == 44


@pytest.mark.parametrize("reply", [answer(503), answer(429), None])
async def test_refused_call_resumes_from_the_known_version(reply, discovery_service, received_lists):
    """Seen on a day with a fleet of 14: all asked for whole lists, and none was answered any more."""
    _, writer = await discovery_service.called()
    writer.write(told(listing(index=41)))
    await received_lists.get()
    _, writer = await discovery_service.called()
    writer.write(reply) if reply else writer.transport.abort()
    target, writer = await discovery_service.called()
    assert target == "/discovery/hosts?since=41&timeout_ms=1"  # what has changed meanwhile comes at once
    writer.write(told(listing(entry("w1", 5001), index=44, snapshot=False)))
    assert (await received_lists.get()).index == 44
    assert (await discovery_service.called())[0] == WATCH.format(44)


async def test_configured_list_is_followed_by_its_changes():
    async with FakeDiscovery() as fake:
        discovery = Discovery((HOST, fake.port), print, 41)
        task = asyncio.get_running_loop().create_task(discovery.run())
        target, writer = await fake.called()
        assert target == "/discovery/hosts?since=41&timeout_ms=1"
        writer.write(told(listing(index=41, snapshot=False)))
        await discovery.listed.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize("reply", [b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", None])
async def test_first_call_after_a_failure_is_short(reply):
    """One that may wait for news could hang for 41 s before that is noticed."""
    async with FakeDiscovery() as fake:
        discovery = Discovery((HOST, fake.port), print, 41)
        task = asyncio.get_running_loop().create_task(discovery.run())
        _, writer = await fake.called()
        writer.write(told(listing(index=41, snapshot=False)))
        target, writer = await fake.called()
        assert target == WATCH.format(41)
        writer.write(reply) if reply else writer.transport.abort()
        assert (await fake.called())[0].endswith("timeout_ms=1")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def test_malformed_entry_is_skipped_and_the_list_is_used(discovery_service, received_lists):
    _, writer = await discovery_service.called()
    odd = [{"name": "w"}, 3, entry("w2", 0), entry("w3", 5001, "asleep")]
    writer.write(told(listing(*odd, entry("w1", 5001), index=41)))
    news = await received_lists.get()
    assert [one.endpoint.id for one in news.entries] == ["w1"] and news.is_snapshot
    assert (await discovery_service.called())[0] == WATCH.format(41)


async def test_watch_moves_to_a_new_address_and_starts_with_a_full_list(
    discovery_service, received_lists, discovery
):
    """Whatever it is doing at the old address: here a watch waits, and then a call that has no answer."""
    _, writer = await discovery_service.called()
    writer.write(told(listing(index=41)))
    await received_lists.get()
    assert (await discovery_service.called())[0] == WATCH.format(41)
    async with FakeDiscovery() as silent, FakeDiscovery() as new:
        discovery.move((HOST, silent.port))
        await silent.called()
        discovery.move((HOST, new.port))
        target, writer = await new.called()
        assert target == "/discovery/hosts"
        writer.write(told(listing(entry("w9", 5009), index=3)))
        assert (await received_lists.get()).index == 3
        assert (await new.called())[0] == WATCH.format(3)
        assert discovery_service.calls.empty() and silent.calls.empty()


async def test_internal_error_restarts_the_watch(monkeypatch, discovery_service, received_lists, discovery):
    monkeypatch.setattr("gateway.network.discovery.watch.MAX_WAIT_S", 0.0)
    discovery._on_list = lambda _news: 1 / 0
    _, writer = await discovery_service.called()
    writer.write(told(listing(index=41)))
    _, writer = await discovery_service.called()
    discovery._on_list = received_lists.put_nowait
    writer.write(told(listing(index=42)))
    assert (await received_lists.get()).index == 42


async def test_silent_discovery_is_survived(monkeypatch, discovery_service, received_lists):
    monkeypatch.setattr("gateway.network.discovery.watch.CALL_TIMEOUT_S", 0.05)
    for _ in range(3):
        assert (await discovery_service.called())[0] == "/discovery/hosts"  # and no answer

    async def answer_all():
        while True:
            _, writer = await discovery_service.called()
            writer.write(told(listing(index=7)))

    answering = asyncio.get_running_loop().create_task(answer_all())
    assert (await received_lists.get()).index == 7
    answering.cancel()


async def test_refusing_discovery_is_survived():
    async def serve_once(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(told(listing(index=9)))

    probe = socket.create_server((HOST, 0))
    port = probe.getsockname()[1]
    probe.close()
    lists = asyncio.Queue()
    discovery = Discovery((HOST, port), lists.put_nowait)
    failed = asyncio.Event()
    call = discovery._call

    async def watched_call(*args):
        try:
            return await call(*args)
        finally:
            failed.set()

    discovery._call = watched_call
    task = asyncio.get_running_loop().create_task(discovery.run())
    await failed.wait()
    server = await asyncio.start_server(serve_once, HOST, port)
    assert (await lists.get()).index == 9
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    server.close()


async def test_indented_list_of_a_thousand_endpoints_is_read(discovery_service, received_lists):
    _, writer = await discovery_service.called()
    text = json.dumps(listing(*(entry(f"s-{n:08x}", 5000 + n) for n in range(1024)), index=41), indent=4)
    writer.write(answer(body=text.encode()))
    news = await received_lists.get()
    assert len({one.endpoint.id for one in news.entries}) == len(news.entries) == 1024 and news.is_snapshot
