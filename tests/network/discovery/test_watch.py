"""Tests of the watch of the endpoint list."""

import asyncio
import json

import pytest
from support.addresses import HOST
from support.configurations import endpoint_entry, endpoint_list
from support.fake_discovery import WATCH_TARGET, FakeDiscovery
from support.http_messages import http_response, json_response


async def test_snapshot_is_followed_by_a_watch_from_its_index(discovery_service, received_lists, watch):
    target, writer = await discovery_service.next_call()
    assert target == "/discovery/hosts" and not watch.list_received.is_set()
    writer.write(json_response(endpoint_list(endpoint_entry("w1", 5001), index=41)))
    assert (await received_lists.get()).is_snapshot and watch.list_received.is_set()
    target, writer = await discovery_service.next_call()
    assert target == WATCH_TARGET.format(41)
    writer.write(json_response(endpoint_list(endpoint_entry("w1", 5001, "gone"), index=43, snapshot=False)))
    received = await received_lists.get()
    assert not received.is_snapshot and received.entries[0].endpoint.state.value == "gone"
    assert (await discovery_service.next_call()).target == WATCH_TARGET.format(43)


async def test_watch_without_changes_continues_and_reports_nothing(discovery_service, received_lists, watch):
    _, writer = await discovery_service.next_call()
    writer.write(json_response(endpoint_list(index=41)))
    await received_lists.get()
    for _ in range(2):
        target, writer = await discovery_service.next_call()
        assert target == WATCH_TARGET.format(41)
        writer.write(json_response(endpoint_list(index=41, snapshot=False)))
    await discovery_service.next_call()
    assert received_lists.empty()


@pytest.mark.parametrize(
    "reply",
    [
        http_response(500),
        http_response(body=b"no json"),
        http_response(body=b"[" * 100_000),
        http_response(body=b"3"),
        b"noise\r\n\r\n",
        http_response(body=b'{"index":42,"endpoints":3}'),
        json_response(endpoint_list(index=40, snapshot=False)),
    ],
)
async def test_invalid_response_is_followed_by_a_request_for_a_snapshot(
    reply, discovery_service, received_lists, watch
):
    _, writer = await discovery_service.next_call()
    writer.write(json_response(endpoint_list(index=41)))
    await received_lists.get()
    _, writer = await discovery_service.next_call()
    writer.write(reply)
    target, writer = await discovery_service.next_call()
    assert target == "/discovery/hosts"
    writer.write(json_response(endpoint_list(endpoint_entry("w1", 5001), index=44)))
    assert (await received_lists.get()).index == 44


@pytest.mark.parametrize("reply", [http_response(503), http_response(429), None])
async def test_watch_resumes_from_the_known_index_after_a_rejected_or_interrupted_call(
    reply, discovery_service, received_lists, watch
):
    _, writer = await discovery_service.next_call()
    writer.write(json_response(endpoint_list(index=41)))
    await received_lists.get()
    _, writer = await discovery_service.next_call()
    writer.write(reply) if reply else writer.transport.abort()
    target, writer = await discovery_service.next_call()
    # The watch has the short timeout, with which changes since index 41 are returned at once.
    assert target == "/discovery/hosts?since=41&timeout_ms=1"
    writer.write(json_response(endpoint_list(endpoint_entry("w1", 5001), index=44, snapshot=False)))
    assert (await received_lists.get()).index == 44
    assert (await discovery_service.next_call()).target == WATCH_TARGET.format(44)


async def test_watch_of_a_configured_list_begins_with_the_index_of_the_list(discovery_service, start_watch):
    watch = start_watch(discovery_service.port, 41)
    target, writer = await discovery_service.next_call()
    assert target == "/discovery/hosts?since=41&timeout_ms=1"
    writer.write(json_response(endpoint_list(index=41, snapshot=False)))
    await watch.list_received.wait()


@pytest.mark.parametrize("reply", [b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", None])
async def test_first_watch_after_a_failure_has_the_short_timeout(reply, discovery_service, start_watch):
    start_watch(discovery_service.port, 41)
    _, writer = await discovery_service.next_call()
    writer.write(json_response(endpoint_list(index=41, snapshot=False)))
    target, writer = await discovery_service.next_call()
    assert target == WATCH_TARGET.format(41)
    writer.write(reply) if reply else writer.transport.abort()
    assert (await discovery_service.next_call()).target.endswith("timeout_ms=1")


async def test_malformed_entry_is_skipped_and_the_list_is_used(discovery_service, received_lists, watch):
    _, writer = await discovery_service.next_call()
    invalid_entries = [{"name": "w"}, 3, endpoint_entry("w2", 0), endpoint_entry("w3", 5001, "asleep")]
    writer.write(json_response(endpoint_list(*invalid_entries, endpoint_entry("w1", 5001), index=41)))
    received = await received_lists.get()
    assert [entry.endpoint.id for entry in received.entries] == ["w1"] and received.is_snapshot
    assert (await discovery_service.next_call()).target == WATCH_TARGET.format(41)


async def test_watch_at_a_new_address_begins_with_a_snapshot(discovery_service, received_lists, watch):
    """The first change of the address interrupts a watch, the second a call without a response."""
    _, writer = await discovery_service.next_call()
    writer.write(json_response(endpoint_list(index=41)))
    await received_lists.get()
    assert (await discovery_service.next_call()).target == WATCH_TARGET.format(41)
    async with FakeDiscovery() as silent_discovery, FakeDiscovery() as new_discovery:
        watch.set_address((HOST, silent_discovery.port))
        await silent_discovery.next_call()
        watch.set_address((HOST, new_discovery.port))
        target, writer = await new_discovery.next_call()
        assert target == "/discovery/hosts"
        writer.write(json_response(endpoint_list(endpoint_entry("w9", 5009), index=3)))
        assert (await received_lists.get()).index == 3
        assert (await new_discovery.next_call()).target == WATCH_TARGET.format(3)
        assert discovery_service.calls.empty() and silent_discovery.calls.empty()


async def test_internal_error_restarts_the_watch(monkeypatch, discovery_service, received_lists, watch):
    monkeypatch.setattr("gateway.network.discovery.watch.RESTART_DELAY_S", 0.0)
    watch._on_list = lambda _received: 1 / 0
    _, writer = await discovery_service.next_call()
    writer.write(json_response(endpoint_list(index=41)))
    _, writer = await discovery_service.next_call()
    watch._on_list = received_lists.put_nowait
    writer.write(json_response(endpoint_list(index=42)))
    assert (await received_lists.get()).index == 42


async def respond_to_each_call(discovery_service, value):
    """Respond to all calls with the same JSON value until cancelled."""
    while True:
        _, writer = await discovery_service.next_call()
        writer.write(json_response(value))


async def test_watch_recovers_after_calls_without_a_response(
    monkeypatch, discovery_service, received_lists, start_watch
):
    monkeypatch.setattr("gateway.network.discovery.watch.CALL_TIMEOUT_S", 0.05)
    start_watch(discovery_service.port)
    for _ in range(3):  # calls without a response
        assert (await discovery_service.next_call()).target == "/discovery/hosts"
    responding = asyncio.create_task(respond_to_each_call(discovery_service, endpoint_list(index=7)))
    assert (await received_lists.get()).index == 7
    responding.cancel()


async def test_watch_recovers_after_a_refused_connection(port, received_lists, start_watch):
    watch = start_watch(port)
    failed = asyncio.Event()
    call = watch._fetch_list

    async def observed_call(*args):
        try:
            return await call(*args)
        finally:
            failed.set()

    watch._fetch_list = observed_call
    await failed.wait()
    async with FakeDiscovery(port) as discovery_service:
        _, writer = await discovery_service.next_call()
        writer.write(json_response(endpoint_list(index=9)))
        assert (await received_lists.get()).index == 9


async def test_indented_list_of_a_thousand_endpoints_is_read(discovery_service, received_lists, watch):
    _, writer = await discovery_service.next_call()
    text = json.dumps(
        endpoint_list(*(endpoint_entry(f"s-{n:08x}", 5000 + n) for n in range(1024)), index=41), indent=4
    )
    writer.write(http_response(body=text.encode()))
    received = await received_lists.get()
    assert (
        len({entry.endpoint.id for entry in received.entries}) == len(received.entries) == 1024
        and received.is_snapshot
    )
