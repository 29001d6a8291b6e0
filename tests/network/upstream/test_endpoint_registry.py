"""Tests of the endpoint registry, without a socket."""

import pytest

from gateway.config import EndpointEntry, EndpointList
from gateway.interface.events import Endpoint, EndpointState
from gateway.network.upstream.endpoint_registry import EndpointRegistry


def entry(endpoint_id, port=5001, state=EndpointState.READY, started_ms=1000.0):
    return EndpointEntry(Endpoint(endpoint_id, "a", 0, state, 1.0, started_ms), ("127.0.0.1", port))


def snapshot(*entries):
    return EndpointList(1, True, entries)


def incremental(*entries):
    return EndpointList(2, False, entries)


@pytest.fixture
def registry():
    registry = EndpointRegistry()
    assert registry.update(snapshot(entry("w1"), entry("w2", 5002))) == []
    return registry


def test_snapshot_registers_ready_endpoints_only():
    registry = EndpointRegistry()
    registry.update(snapshot(entry("w1"), entry("w2", 5002, EndpointState.DRAINING)))
    assert list(registry.endpoints) == ["w1"]


def test_incremental_update_keeps_unlisted_endpoints(registry):
    assert registry.update(incremental(entry("w3", 5003))) == []
    assert list(registry.endpoints) == ["w1", "w2", "w3"]


def test_snapshot_retires_unlisted_endpoints(registry):
    unlisted = registry.endpoints["w1"]
    assert registry.update(snapshot(entry("w2", 5002))) == []
    assert unlisted.is_retired
    assert list(registry.endpoints) == ["w2"]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_endpoint_that_is_not_ready_is_retired(state, registry):
    withdrawn = registry.endpoints["w1"]
    assert registry.update(incremental(entry("w1", state=state))) == []
    assert withdrawn.is_retired
    assert list(registry.endpoints) == ["w2"]


@pytest.mark.parametrize("change", [{"port": 5009}, {"started_ms": 2000.0}])
def test_restarted_or_moved_endpoint_is_registered_anew(change, registry):
    registered = registry.endpoints["w1"]
    assert registry.update(incremental(entry("w1", **change))) == []
    assert registered.is_retired
    assert registry.endpoints["w1"] is not registered


def test_endpoint_that_is_listed_again_keeps_its_connections(registry):
    registered = registry.endpoints["w1"]
    listed_again = entry("w1")
    registry.update(incremental(listed_again))
    assert registry.endpoints["w1"] is registered
    assert not registered.is_retired
    assert registered.entry is listed_again


@pytest.mark.parametrize(("started_ms", "is_displaced"), [(999.0, False), (1000.0, True), (5000.0, True)])
def test_endpoint_is_displaced_by_one_at_its_address_that_started_no_earlier(
    started_ms, is_displaced, registry
):
    registered = registry.endpoints["w1"]
    displaced = registry.update(incremental(entry("w9", started_ms=started_ms)))
    assert displaced == ([registered.entry] if is_displaced else [])
    assert registered.is_retired is is_displaced
    assert ("w1" in registry.endpoints) is not is_displaced


def test_draining_endpoint_displaces_no_other_endpoint(registry):
    assert registry.update(incremental(entry("w9", state=EndpointState.DRAINING))) == []
    assert list(registry.endpoints) == ["w1", "w2"]
