"""Tests of the request writer, without a socket."""

import pytest

from gateway.network.admin.metrics import Metrics
from gateway.network.upstream.request_writer import RequestWriter, WriterState

PART = "part"
LAST = "last part"
FULL = "buffer full"
EMPTY = "buffer empty"


class FakeTransport:
    """A transport that records the written bytes and calls `on_write`, if set, during each write."""

    def __init__(self):
        self.data = b""
        self.on_write = None

    def write(self, data):
        self.data += data
        if self.on_write is not None:
            self.on_write()


def apply_step(writer, step):
    """Call the method of the writer that the step names."""
    if step is PART:
        writer.write_part(b"p")
    elif step is LAST:
        writer.write_last(b"l")
    elif step is FULL:
        writer.on_buffer_full()
    else:
        writer.on_buffer_empty()


@pytest.mark.parametrize(
    ("steps", "state", "blocked", "written"),
    [
        ([], WriterState.WRITING, False, 0),
        ([PART], WriterState.WRITING, False, 0),
        ([PART, FULL], WriterState.BLOCKED, True, 0),
        ([PART, FULL, FULL], WriterState.BLOCKED, True, 0),
        ([PART, FULL, EMPTY], WriterState.WRITING, False, 0),
        ([PART, FULL, LAST], WriterState.FLUSHING, True, 0),
        ([PART, FULL, LAST, EMPTY], WriterState.WRITTEN, False, 1),
        ([PART, FULL, EMPTY, LAST], WriterState.WRITTEN, False, 1),
        ([LAST], WriterState.WRITTEN, False, 1),
        ([LAST, EMPTY], WriterState.WRITTEN, False, 1),
        ([LAST, FULL], WriterState.FLUSHING, True, 0),
        ([LAST, FULL, FULL], WriterState.FLUSHING, True, 0),
        ([LAST, FULL, EMPTY], WriterState.WRITTEN, False, 1),
    ],
)
def test_sequence_of_steps_leads_to_the_expected_state(steps, state, blocked, written):
    metrics = Metrics([])
    transport = FakeTransport()
    writer = RequestWriter(transport, metrics)
    assert writer.state is WriterState.IDLE
    assert writer.is_unsent
    writer.start_request()
    for step in steps:
        apply_step(writer, step)
    assert writer.state is state
    assert writer.is_blocked is blocked
    assert writer.is_unsent is (state is not WriterState.WRITTEN)
    assert metrics.forwarded_attempts == written
    assert len(transport.data) == sum(step in (PART, LAST) for step in steps)


def test_buffer_that_fills_during_the_last_write_keeps_the_request_unsent():
    metrics = Metrics([])
    transport = FakeTransport()
    writer = RequestWriter(transport, metrics)
    writer.start_request()
    transport.on_write = writer.on_buffer_full
    writer.write_last(b"request")
    assert writer.state is WriterState.FLUSHING
    assert metrics.forwarded_attempts == 0


def test_each_sent_request_is_counted():
    metrics = Metrics([])
    writer = RequestWriter(FakeTransport(), metrics)
    for _ in range(2):
        writer.start_request()
        assert writer.is_unsent
        writer.write_last(b"request")
    assert metrics.forwarded_attempts == 2
