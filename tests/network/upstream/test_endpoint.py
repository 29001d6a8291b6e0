"""Tests of an endpoint's connections, without a socket."""

import dataclasses

import pytest

from gateway.config import EndpointEntry
from gateway.interface.events import AttemptResult, Endpoint, EndpointState
from gateway.network.upstream.endpoint import (
    MAX_CONNECTIONS_PER_ENDPOINT,
    MAX_IDLE_CONNECTIONS_PER_ENDPOINT,
    REUSE_DELAY_MS,
    UpstreamEndpoint,
)

ENTRY = EndpointEntry(Endpoint("w1", "a", 0, EndpointState.READY, 1.0, 1000.0), ("127.0.0.1", 5001))


class FakeConnection:
    """A connection that reports its close to the endpoint, as the pool does for a real connection."""

    def __init__(self, endpoint, *, has_input=False):
        self.endpoint = endpoint
        self.has_input = has_input
        self.idle_since_ms = 0.0
        self.is_closed = False
        endpoint.connection_count += 1

    def has_unread_input(self):
        return self.has_input

    def discard(self):
        assert not self.is_closed
        self.is_closed = True
        self.endpoint.on_connection_closed(self)


class FakeAttempt:
    """An attempt that waits for a connection and is removed from the endpoint's list when it fails."""

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.result = None
        endpoint.waiting_attempts.append(self)

    def fail(self, result):
        self.result = result
        self.endpoint.waiting_attempts.remove(self)


@pytest.fixture
def endpoint():
    return UpstreamEndpoint(ENTRY)


def add_idle_connections(endpoint, *since_ms, has_input=False):
    """Add connections that became idle at these clock times, and return them."""
    connections = [FakeConnection(endpoint, has_input=has_input) for _ in since_ms]
    for connection, time_ms in zip(connections, since_ms, strict=True):
        assert endpoint.keep_idle_connection(connection, time_ms)
    return connections


def test_most_recently_used_reusable_connection_is_taken_first(endpoint):
    older, newer, _too_recent = add_idle_connections(endpoint, 0.0, 1.0, 5.0)
    assert endpoint.take_idle_connection(1.0 + REUSE_DELAY_MS) is newer
    assert endpoint.take_idle_connection(1.0 + REUSE_DELAY_MS) is older
    assert endpoint.take_idle_connection(1.0 + REUSE_DELAY_MS) is None
    assert endpoint.connection_count == 3


def test_connection_is_not_taken_before_the_reuse_delay(endpoint):
    add_idle_connections(endpoint, 100.0)
    assert endpoint.take_idle_connection(100.0 + REUSE_DELAY_MS - 0.001) is None
    assert len(endpoint.idle) == 1


def test_connections_with_unread_input_are_closed_instead_of_taken(endpoint):
    (without_input,) = add_idle_connections(endpoint, 0.0)
    with_input = add_idle_connections(endpoint, 1.0, 2.0, has_input=True)
    assert endpoint.take_idle_connection(1000.0) is without_input
    assert all(connection.is_closed for connection in with_input)
    assert endpoint.idle == []
    assert endpoint.connection_count == 1


def test_idle_connection_beyond_the_limit_is_not_kept(endpoint):
    add_idle_connections(endpoint, *range(MAX_IDLE_CONNECTIONS_PER_ENDPOINT))
    assert not endpoint.keep_idle_connection(FakeConnection(endpoint), 1000.0)


def test_endpoint_at_its_connection_limit_has_no_capacity(endpoint):
    endpoint.connection_count = MAX_CONNECTIONS_PER_ENDPOINT - 1
    assert endpoint.has_capacity()
    endpoint.connection_count += 1
    assert not endpoint.has_capacity()


def test_only_connections_idle_since_before_the_given_time_are_closed(endpoint):
    older, at_given_time, newer = add_idle_connections(endpoint, 1.0, 2.0, 3.0)
    endpoint.close_idle_before(2.0)
    assert (older.is_closed, at_given_time.is_closed, newer.is_closed) == (True, False, False)


def test_retired_endpoint_closes_idle_connections_and_fails_waiting_attempts(endpoint):
    connections = add_idle_connections(endpoint, 1.0, 2.0)
    in_use = FakeConnection(endpoint)
    attempts = [FakeAttempt(endpoint), FakeAttempt(endpoint)]
    endpoint.retire()
    assert all(connection.is_closed for connection in connections)
    assert not in_use.is_closed
    assert [attempt.result for attempt in attempts] == [AttemptResult.CONNECT_FAILED] * 2
    assert not endpoint.keep_idle_connection(in_use, 3.0)


@pytest.mark.parametrize(
    ("entry", "is_same"),
    [
        (ENTRY, True),
        (dataclasses.replace(ENTRY, endpoint=dataclasses.replace(ENTRY.endpoint, weight=2.0)), True),
        (
            dataclasses.replace(ENTRY, endpoint=dataclasses.replace(ENTRY.endpoint, started_at_ms=2000.0)),
            False,
        ),
        (dataclasses.replace(ENTRY, address=("127.0.0.1", 5002)), False),
    ],
)
def test_process_is_identified_by_address_and_start_time(entry, is_same, endpoint):
    assert endpoint.is_same_process(entry) is is_same
