"""Tests of buffering, forwarding and the outcome of one exchange, without a socket."""

import pytest

from gateway.interface.events import AttemptResult
from gateway.network.upstream.attempt import AttemptOutcome
from gateway.network.upstream.exchange import (
    MAX_BUFFERED_BYTES,
    MAX_BUFFERED_UNSIZED_BYTES,
    Exchange,
    ExchangeState,
)
from gateway.network.upstream.load_report import LoadReportParser

OK = b"HTTP/1.1 200 OK\r\n"


class FakeSink:
    """A client that records the forwarded parts."""

    transport = None

    def __init__(self):
        self.parts = []

    def forward_part(self, part):
        self.parts.append(part)


class FakeAttempt:
    """An attempt that records calls of `start_forwarding` and rejects large responses if it has no sink."""

    def __init__(self, sink):
        self.sink = sink
        self.started = []
        self.begun_responses = 0

    def on_response_begun(self):
        self.begun_responses += 1

    def start_forwarding(self, _source, length, content_type):
        self.started.append((length, content_type))
        return self.sink


@pytest.fixture
def sink():
    return FakeSink()


@pytest.fixture
def attempt(sink):
    return FakeAttempt(sink)


@pytest.fixture
def exchange(attempt):
    return Exchange(attempt, None)


def outcome_of(exchange):
    return exchange.outcome(LoadReportParser(("util",)))


@pytest.mark.parametrize(
    ("head", "outcome"),
    [
        (OK, AttemptOutcome(AttemptResult.OK, b"body")),
        (
            OK + b'Content-Type: a/b\r\nX-Load: {"util":0.5}\r\n',
            AttemptOutcome(AttemptResult.OK, b"body", b"a/b", (0.5,)),
        ),
        (
            b'HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Load: {"util":0.5}\r\n',
            AttemptOutcome(AttemptResult.OVERLOADED, load=(0.5,)),
        ),
        (b"HTTP/1.1 504 X\r\nX-Not-Run: 1\r\n", AttemptOutcome(AttemptResult.OVERLOADED)),
        (b"HTTP/1.1 503 X\r\n", AttemptOutcome(AttemptResult.ERROR)),
        (b"HTTP/1.1 504 X\r\nX-Not-Run: 0\r\n", AttemptOutcome(AttemptResult.ERROR)),
        (b"HTTP/1.1 500 X\r\nX-Not-Run: 1\r\n", AttemptOutcome(AttemptResult.ERROR)),
        (b"HTTP/1.1 201 X\r\nContent-Type: a/b\r\n", AttemptOutcome(AttemptResult.ERROR)),
    ],
)
def test_complete_response_determines_the_outcome(head, outcome, exchange, attempt):
    assert exchange.receive(head + b"Content-Length: 4\r\n\r\nbo") is ExchangeState.RECEIVING
    assert exchange.receive(b"dy") is ExchangeState.COMPLETE
    assert outcome_of(exchange) == outcome
    assert exchange.is_reusable
    assert attempt.started == []


@pytest.mark.parametrize(
    ("data", "is_reusable"),
    [
        (OK + b"Content-Length: 0\r\n\r\n", True),
        (OK + b"Content-Length: 0\r\n\r\n\r\n", True),
        (OK + b"Content-Length: 0\r\n\r\nHTTP", False),
        (OK + b"Connection: close\r\nContent-Length: 0\r\n\r\n", False),
    ],
)
def test_connection_is_reusable_only_after_exactly_one_response(data, is_reusable, exchange):
    assert exchange.receive(data) is ExchangeState.COMPLETE
    assert exchange.is_reusable is is_reusable


def test_malformed_response_fails(exchange):
    assert exchange.receive(b"noise\r\n") is ExchangeState.FAILED


def test_close_delimited_response_is_completed_by_the_close_of_the_connection(exchange):
    exchange.receive(OK + b"\r\nbody")
    assert exchange.is_close_delimited
    exchange.receive_eof()
    assert exchange.state is ExchangeState.COMPLETE
    assert outcome_of(exchange) == AttemptOutcome(AttemptResult.OK, b"body")
    assert not exchange.is_reusable


def test_response_with_length_is_not_completed_by_the_close_of_the_connection(exchange):
    exchange.receive(OK + b"Content-Length: 9\r\n\r\nbody")
    assert not exchange.is_close_delimited
    exchange.receive_eof()
    assert exchange.state is ExchangeState.RECEIVING


@pytest.mark.parametrize(("excess", "is_forwarded"), [(0, False), (1, True)])
def test_body_of_known_length_is_forwarded_from_its_first_part_if_it_exceeds_the_buffer(
    excess, is_forwarded, exchange, attempt, sink
):
    length = MAX_BUFFERED_BYTES + excess
    exchange.receive(OK + b"Content-Length: %d\r\n\r\nx" % length)
    assert attempt.started == ([(length, b"")] if is_forwarded else [])
    assert exchange.receive(b"y" * (length - 1)) is ExchangeState.COMPLETE
    body = b"x" + b"y" * (length - 1)
    assert b"".join(sink.parts) == (body if is_forwarded else b"")
    assert outcome_of(exchange).body == (b"" if is_forwarded else body)


def test_body_of_unknown_length_is_buffered_up_to_the_limit(exchange, attempt):
    exchange.receive(OK + b"\r\n" + b"x" * MAX_BUFFERED_UNSIZED_BYTES)
    exchange.receive_eof()
    assert attempt.started == []
    assert outcome_of(exchange).body == b"x" * MAX_BUFFERED_UNSIZED_BYTES


def test_body_of_unknown_length_is_forwarded_once_it_exceeds_the_buffer(exchange, attempt, sink):
    buffered = b"x" * MAX_BUFFERED_UNSIZED_BYTES
    exchange.receive(OK + b"Content-Type: a/b\r\n\r\n" + buffered)
    exchange.receive(b"y")
    assert attempt.started == [(None, b"a/b")]
    exchange.receive(b"z")
    assert sink.parts == [buffered + b"y", b"z"]
    exchange.receive_eof()
    assert outcome_of(exchange) == AttemptOutcome(AttemptResult.OK, b"", b"a/b")


def test_large_error_response_is_not_forwarded(exchange, attempt):
    length = MAX_BUFFERED_BYTES + 1
    data = b"HTTP/1.1 500 X\r\nContent-Length: %d\r\n\r\n" % length + bytes(length)
    assert exchange.receive(data) is ExchangeState.COMPLETE
    assert attempt.started == []


def test_large_response_that_the_attempt_rejects_fails(exchange, attempt):
    attempt.sink = None
    length = MAX_BUFFERED_BYTES + 1
    data = OK + b"Content-Length: %d\r\n\r\n" % length + bytes(length)
    assert exchange.receive(data) is ExchangeState.FAILED
    assert len(attempt.started) == 1
