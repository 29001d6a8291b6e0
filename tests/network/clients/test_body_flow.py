"""Tests of the time from which a client's time counts, without sockets."""

import pytest

from gateway.network.clients.body_flow import CATCH_UP_MS, BodyFlow
from gateway.network.clients.body_progress import BodyProgress


class FakeTransport:
    """A transport that records whether reading is paused."""

    def __init__(self):
        self.is_paused = False

    def is_closing(self):
        return False

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False


class FakeConnection:
    """A connection on which a request is being received."""

    def __init__(self):
        self.transport = FakeTransport()
        self.request = object()
        self.is_receiving = True
        self.request_bytes = 0
        self.is_unread = False

    def has_unread_input(self):
        return self.is_unread


class FakeTimer:
    """A timer that can be cancelled."""

    def __init__(self, when_ms, callback):
        self.when_ms = when_ms
        self.callback = callback

    def cancel(self):
        self.callback = None


class Listener:
    """The clock and the timers of the flow, and the reports that it makes."""

    def __init__(self):
        self.clock = self.timers = self
        self.now_ms = 1000.0
        self.reports = []
        self._timers = []

    def now(self):
        return self.now_ms

    def call_at(self, when_ms, callback):
        self._timers.append(FakeTimer(when_ms, callback))
        return self._timers[-1]

    def advance(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while due := [timer for timer in self._timers if timer.callback and timer.when_ms <= end_ms]:
            timer = min(due, key=lambda due_timer: due_timer.when_ms)
            self.now_ms = max(self.now_ms, timer.when_ms)
            callback, timer.callback = timer.callback, None
            callback()
        self.now_ms = end_ms

    def on_request_held_up(self, request, since_ms):
        self.reports.append(since_ms)

    def on_request_flowing(self, request):
        self.reports.append("flowing")


@pytest.fixture
def connection():
    return FakeConnection()


@pytest.fixture
def listener():
    return Listener()


@pytest.fixture
def flow(connection, listener):
    return BodyFlow(connection, BodyProgress(), listener)


def test_time_counts_from_the_read_of_the_last_byte_without_a_pause(flow, listener):
    listener.advance(700.0)
    assert flow.sent_at_ms() == 1700.0 and listener.reports == []


def test_time_counts_from_the_first_of_several_pauses_while_bytes_keep_arriving(flow, connection, listener):
    """Guards against a clock that starts with the last byte read, although it was written long before."""
    for _ in range(5):
        flow.set_paused(True)
        listener.advance(300.0)
        flow.set_paused(False)
        connection.request_bytes += 1000
        listener.advance(CATCH_UP_MS - 1)
    assert flow.sent_at_ms() == 1000.0 and listener.reports == [1000.0]


def test_pause_counts_only_until_the_client_is_waited_for(flow, connection, listener):
    """Guards against slow clients whose time runs from an early pause on."""
    flow.set_paused(True)
    listener.advance(300.0)
    flow.set_paused(False)
    listener.advance(2 * CATCH_UP_MS)
    assert listener.reports == [1000.0, "flowing"]
    assert flow.sent_at_ms() == listener.now_ms
    flow.set_paused(True)
    assert listener.reports == [1000.0, "flowing", listener.now_ms]


@pytest.mark.parametrize("is_unread", [True, False])
def test_unread_bytes_do_not_count_as_waiting_for_the_client(is_unread, flow, connection, listener):
    flow.set_paused(True)
    flow.set_paused(False)
    connection.is_unread = is_unread
    listener.advance(10 * CATCH_UP_MS)
    assert listener.reports == ([1000.0] if is_unread else [1000.0, "flowing"])


def test_next_request_starts_with_a_clock_of_its_own(flow, connection, listener):
    flow.set_paused(True)
    listener.advance(300.0)
    flow.reset()
    assert not connection.transport.is_paused
    assert flow.sent_at_ms() == listener.now_ms
    listener.advance(300.0)
    assert listener.reports == [1000.0]


def test_closed_connection_is_not_used_any_more(flow, connection, listener):
    flow.set_paused(True)
    flow.close()
    connection.request = None
    flow.set_paused(False)
    listener.advance(100.0)
    assert connection.transport.is_paused and listener.reports == [1000.0]
